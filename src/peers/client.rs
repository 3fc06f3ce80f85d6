//! Client for requests and queries to other routers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::{Either, select};
use futures_util::pin_mut;
use http::header::AUTHORIZATION;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http2::SendRequest;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use tokio::sync::{Mutex, OwnedSemaphorePermit, Semaphore, mpsc};

use super::{DELEGATE, FORWARD, FRAME_CHANNEL_CAPACITY, kind};
use crate::decide::refusal::{Cause, Refusal, jittered_ms};
use crate::event::Events;
use crate::front::check::{FREE_BODY_BYTES, NO_ROOM_RETRY_MS};
use crate::front::memory::{ByteBudget, Held, NoRoom};
use crate::peers::frames::{self, Decoder, FrameError};
use crate::peers::http2::{self, ConnectError, MAX_STREAMS, Traffic};
use crate::peers::{Frames, refuse};
use crate::schema::peer::frame::Body;
use crate::schema::peer::{DelegatedRequest, Forward, Frame};
use crate::stats;
use crate::time_limit::within;
use crate::util::Name;

const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Requests that this router hands to another at a time. Beyond the number of streams that the other one
/// accepts, a request would wait in the connection without notice; some streams may be about to end.
const MAX_HANDED_OVER: usize = MAX_STREAMS as usize - 24;

/// Room for one of the requests that are handed to another router, until the end of its answer.
pub(crate) type Room = OwnedSemaphorePermit;

/// A connection.
#[derive(Clone)]
struct Link {
    sender: SendRequest<Full<Bytes>>,
    /// Room for requests, if it carries any.
    rooms: Arc<Semaphore>,
}

/// The connections, by the router's address and by what they carry.
type Slots = HashMap<(Name, Traffic), Rc<Slot>>;

/// The connection to a router, while it is opened or open.
#[derive(Default)]
struct Slot {
    link: Mutex<Option<Link>>,
    /// Number of attempts to connect that have ended.
    attempts: Cell<u64>,
}

/// Error of a query to a peer.
#[derive(Debug, Snafu)]
pub(crate) enum QueryError {
    #[snafu(display("{source}"))]
    Encode { source: FrameError },
    #[snafu(display("{source}"))]
    Request { source: http::Error },
    #[snafu(display("{source}"))]
    Connect { source: ConnectError },
    #[snafu(display("connection to the peer lost: {source}"))]
    Lost { source: hyper::Error },
    #[snafu(display("peer answered {status}"))]
    Status { status: StatusCode },
    #[snafu(display("peer's answer exceeds the limit of 16 MiB"))]
    TooLong,
    #[snafu(display("peer did not answer within 1 s"))]
    TimedOut,
}

impl QueryError {
    /// Whether no process listens at the peer's address.
    pub(crate) fn is_refused(&self) -> bool {
        let Self::Connect { source } = self else {
            return false;
        };
        matches!(source, ConnectError::Refused { source } if source.kind() == io::ErrorKind::ConnectionRefused)
    }
}

/// Error of delegating a request to a peer.
#[derive(Debug, Snafu)]
#[snafu(context(suffix(DelegateSnafu)))]
pub(crate) enum DelegateError {
    /// No byte of the request was sent.
    #[snafu(display("{reason}"))]
    NotSent { reason: String },
    /// The peer has as many requests of this router as it takes. No byte of this one was sent.
    #[snafu(display("it has {MAX_HANDED_OVER} requests of this router already"))]
    Full,
    /// This router has no room for the message. No byte of it was sent.
    #[snafu(display("{source}"))]
    NoRoom { source: NoRoom },
    /// The peer may have received the request.
    #[snafu(display("{reason}"))]
    Lost { reason: String },
}

impl DelegateError {
    fn not_sent(e: impl std::fmt::Display) -> Self {
        Self::NotSent {
            reason: e.to_string(),
        }
    }
}

/// Connections to the other routers.
#[derive(Clone)]
pub(crate) struct PeerClient {
    key: Name,
    events: Events,
    request_bytes: ByteBudget,
    slots: Rc<RefCell<Slots>>,
}

impl PeerClient {
    /// `request_bytes` is what the copies of callers' requests count towards.
    pub(crate) fn new(fleet_key: &str, events: Events, request_bytes: ByteBudget) -> Self {
        Self {
            key: fleet_key.into(),
            events,
            request_bytes,
            slots: Rc::default(),
        }
    }

    /// Forwards a request to the router at `addr` and returns the frames of the answer.
    pub(crate) async fn forward(&self, addr: &Name, forward: &Forward) -> Frames {
        let (tx, rx) = mpsc::channel(FRAME_CHANNEL_CAPACITY);
        let this = self.clone();
        let addr = addr.clone();
        let forward = forward.clone();
        compio::runtime::spawn(async move {
            if let Err(refused) = this.exchange(&addr, &forward, &tx).await {
                // If the caller has disconnected, the refusal isn't needed.
                let _ = tx.send(Body::Refused(refused)).await;
            }
        })
        .detach();
        rx
    }

    async fn exchange(
        &self,
        addr: &Name,
        forward: &Forward,
        tx: &mpsc::Sender<Body>,
    ) -> Result<(), crate::schema::peer::Refusal> {
        let bad = |e: &dyn ToString| refuse::not_run(Cause::BadRequest, 0, e.to_string());
        let held = self.hold_copy(&forward.body).map_err(|e| no_room(&e))?;
        let payload = frames::encode(forward).map_err(|e| bad(&e))?;
        let request = Request::post(format!("http://{addr}{FORWARD}"))
            .header(AUTHORIZATION, &*self.key)
            .body(Full::new(held.attach(payload)))
            .map_err(|e| bad(&e))?;
        let unreachable = |e: &dyn std::fmt::Display| {
            refuse::not_run(Cause::HomeUnreachable, 0, format!("home {addr}: {e}"))
        };
        let link = self.link(addr, Traffic::Requests).await;
        let mut link = link.map_err(|e| unreachable(&e))?;
        let _room = link.room().map_err(|e| unreachable(&e))?;
        let lost = |e: &dyn std::fmt::Display| {
            let refusal = Refusal::unknown(Cause::UpstreamFailed);
            refuse::message(
                &refusal,
                format!("connection to home {addr} lost before the end of the answer: {e}"),
            )
        };
        let response = link.sender.send_request(request).await;
        let response = response.map_err(|e| lost(&e))?;
        if response.status() == StatusCode::SERVICE_UNAVAILABLE {
            return Err(no_room(&format!("home {addr} has no room for the request")));
        }
        if response.status() != StatusCode::OK {
            let detail = format!("home {addr} answered {}", response.status());
            return Err(refuse::not_run(Cause::UpstreamFailed, 0, detail));
        }
        let ended = relay(response.into_body(), &forward.request_id, &self.events, tx).await;
        ended.map_err(|e| lost(&e))
    }

    /// Delegates a request to the router at `addr`, and returns the head of the answer and the room to keep
    /// until its end.
    pub(crate) async fn delegate(
        &self,
        addr: &Name,
        request: &DelegatedRequest,
    ) -> Result<(Response<Incoming>, Room), DelegateError> {
        let held = self.hold_copy(&request.body).context(NoRoomDelegateSnafu)?;
        let payload = frames::to_vec(request).map_err(DelegateError::not_sent)?;
        let request = Request::post(format!("http://{addr}{DELEGATE}"))
            .header(AUTHORIZATION, &*self.key)
            .body(Full::new(held.attach(payload)))
            .map_err(DelegateError::not_sent)?;
        let link = self.link(addr, Traffic::Requests).await;
        let mut link = link.map_err(DelegateError::not_sent)?;
        let room = link.room()?;
        stats::hop();
        let sent = link.sender.try_send_request(request).await;
        let answer = sent.map_err(|mut e| {
            let reason = e.error().to_string();
            match e.take_message() {
                Some(_) => DelegateError::NotSent { reason },
                None => DelegateError::Lost { reason },
            }
        })?;
        Ok((answer, room))
    }

    /// Sends a query to the router at `addr` and waits for the answer.
    pub(crate) async fn query<Q, A>(
        &self,
        addr: &Name,
        path: &'static str,
        query: &Q,
    ) -> Result<A, QueryError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let call = async {
            let payload = frames::to_vec(query).context(EncodeSnafu)?;
            stats::control_bytes("sent", kind(path), payload.len());
            let request = Request::post(format!("http://{addr}{path}"))
                .header(AUTHORIZATION, &*self.key)
                .body(Full::new(payload.into()))
                .context(RequestSnafu)?;
            let link = self.link(addr, Traffic::Queries).await;
            let mut link = link.context(ConnectSnafu)?;
            let response = link.sender.send_request(request).await;
            let response = response.context(LostSnafu)?;
            let status = response.status();
            if status != StatusCode::OK {
                return StatusSnafu { status }.fail();
            }
            let body = Limited::new(response.into_body(), frames::MAX_FRAME_BYTES);
            let answer = body.collect().await.map_err(incomplete)?.to_bytes();
            stats::control_bytes("received", kind(path), answer.len());
            frames::from_slice(&answer).context(EncodeSnafu)
        };
        within(QUERY_TIMEOUT, call)
            .await
            .unwrap_or_else(|_| TimedOutSnafu.fail())
    }

    /// Counts a copy of a request's body, unless it is small.
    fn hold_copy(&self, body: &Bytes) -> Result<Held, NoRoom> {
        let bytes = body.len().saturating_sub(FREE_BODY_BYTES);
        self.request_bytes.hold(bytes, bytes)
    }

    /// Returns the connection to `addr`. Only one attempt to connect is under way at a time: its end is that
    /// of all that wait for it.
    async fn link(&self, addr: &Name, traffic: Traffic) -> Result<Link, ConnectError> {
        let slot = self.slot(addr, traffic);
        let attempts_before = slot.attempts.get();
        let mut known = slot.link.lock().await;
        if let Some(link) = known.as_ref()
            && link.sender.is_ready()
        {
            return Ok(link.clone());
        }
        if slot.attempts.get() > attempts_before {
            return Err(ConnectError::Shared);
        }
        *known = None;
        let socket = addr.parse().map_err(|_| ConnectError::Refused {
            source: io::Error::other("peer address is not an IP address and port"),
        })?;
        let connected = http2::connect(socket, traffic).await;
        slot.attempts.update(|attempts| attempts + 1);
        let link = Link {
            sender: connected?,
            rooms: Arc::new(Semaphore::new(MAX_HANDED_OVER)),
        };
        *known = Some(link.clone());
        Ok(link)
    }

    fn slot(&self, addr: &Name, traffic: Traffic) -> Rc<Slot> {
        let mut slots = self.slots.borrow_mut();
        slots.entry((addr.clone(), traffic)).or_default().clone()
    }
}

impl Link {
    /// Takes room for a request, without waiting for any.
    fn room(&self) -> Result<Room, DelegateError> {
        let room = self.rooms.clone().try_acquire_owned();
        room.map_err(|_| DelegateError::Full)
    }
}

fn no_room(e: &dyn std::fmt::Display) -> crate::schema::peer::Refusal {
    let retry_after_ms = jittered_ms(NO_ROOM_RETRY_MS, &mut rand::rng());
    refuse::not_run(Cause::MemoryLimit, retry_after_ms, e.to_string())
}

/// Converts the error of a limited body.
fn incomplete(e: Box<dyn std::error::Error + Send + Sync>) -> QueryError {
    match e.downcast() {
        Ok(source) => QueryError::Lost { source: *source },
        Err(_) => QueryError::TooLong,
    }
}

/// Passes frames on until the end frame. A frame of another request is an error and isn't passed
/// on.
async fn relay(
    mut body: Incoming,
    request_id: &str,
    events: &Events,
    tx: &mpsc::Sender<Body>,
) -> Result<(), String> {
    let mut decoder = Decoder::default();
    while let Some(piece) = next_piece(&mut body, tx).await {
        let piece = piece.map_err(|e| e.to_string())?;
        let Ok(data) = piece.into_data() else {
            continue;
        };
        decoder.push(&data);
        while let Some(frame) = decoder.next::<Frame>().map_err(|e| e.to_string())? {
            if frame.request_id != request_id {
                return Err("received a frame of another request".to_owned());
            }
            events.observe(frame.stamp.as_ref());
            let Some(body) = frame.body else { continue };
            let last = matches!(body, Body::End(_) | Body::Refused(_));
            if tx.send(body).await.is_err() || last {
                return Ok(());
            }
        }
    }
    if tx.is_closed() {
        return Ok(());
    }
    Err("stream ended without an end frame".to_owned())
}

/// Returns the next piece of a peer's answer, or `None` once the receiver is closed. Dropping the
/// body then resets the HTTP/2 stream, which notifies the home.
async fn next_piece(
    body: &mut Incoming,
    tx: &mpsc::Sender<Body>,
) -> Option<Result<hyper::body::Frame<Bytes>, hyper::Error>> {
    let next = body.frame();
    let closed = tx.closed();
    pin_mut!(next, closed);
    match select(next, closed).await {
        Either::Left((piece, _)) => piece,
        Either::Right(_) => None,
    }
}
