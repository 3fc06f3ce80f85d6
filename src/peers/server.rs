//! Server for requests and queries of other routers.

use std::cell::RefCell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};
use cyper_core::HyperStream;
use futures_util::future::{Either, select};
use http::header::AUTHORIZATION;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use serde::Serialize;
use serde::de::DeserializeOwned;
use subtle::ConstantTimeEq;
use tokio::sync::oneshot;

use crate::fleet::gossip::{Gossip, GossipCommand};
use crate::front::Drain;
use crate::front::body::Answer;
use crate::front::in_flight::{ConnectionEnd, Tracker};
use crate::front::listen::{self, ConnectionPermit, ConnectionPermits};
use crate::peers::http2::{LocalExec, MAX_STREAMS, REQUEST_WINDOW_BYTES, SEND_BUFFER_BYTES};
use crate::peers::{frames, kind};
use crate::schema::peer::{self, MembersReply, MembersRequest};
use crate::socket::{OtherEnd, set_keepalive};
use crate::stats;
use crate::time_limit::HttpTimer;
use crate::util::Name;

/// Handler of other routers' queries.
pub(crate) trait PeerHandler: Clone + 'static {
    /// Answers the query received at `path`. One that passes a caller's request on is named to `tracker`.
    fn answer(
        &self,
        path: &str,
        body: Incoming,
        tracker: Tracker,
    ) -> impl Future<Output = Response<Answer>>;
}

/// Listens at `addr` and serves routers that send the fleet's `key`. At most `max_unauthenticated` connections are open on
/// which no request with the key has arrived; beyond that, the one is closed that has waited for longest.
pub(crate) async fn bind<H: PeerHandler>(
    addr: SocketAddr,
    key: Name,
    max_unauthenticated: usize,
    drain: Drain,
    handler: H,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(addr).await?;
    let addr = listener.local_addr()?;
    compio::runtime::spawn(async move {
        let permits = ConnectionPermits::new(max_unauthenticated);
        loop {
            let stream = listen::accept(&listener, "peer").await;
            if let Some(permit) = permits.take_or_evict(Duration::ZERO) {
                let served = serve(stream, permit, key.clone(), drain.clone(), handler.clone());
                compio::runtime::spawn(served).detach();
            }
        }
    })
    .detach();
    Ok(addr)
}

/// Serves a connection; `permit` is held until a request with the fleet's key has arrived on it.
///
/// Failure guarded against: others than routers open connections, and take all memory and descriptors.
async fn serve<H: PeerHandler>(
    stream: TcpStream,
    permit: ConnectionPermit,
    key: Name,
    drain: Drain,
    handler: H,
) {
    set_keepalive(&stream, OtherEnd::Peer);
    let permit = Rc::new(RefCell::new(Some(permit)));
    let unauthenticated = permit.clone();
    let end = ConnectionEnd::default();
    let mut closing = drain.open_link();
    let service = service_fn(move |request: Request<Incoming>| {
        let (key, handler) = (key.clone(), handler.clone());
        let permit = permit.clone();
        let in_flight = drain.begin(&end);
        async move {
            let response = if is_authorized(&key, &request) {
                permit.take();
                let (parts, body) = request.into_parts();
                let tracker = in_flight.tracker();
                handler.answer(parts.uri.path(), body, tracker).await
            } else {
                status(StatusCode::UNAUTHORIZED)
            };
            Ok::<_, Infallible>(in_flight.track(response))
        }
    });
    // Callers of the other router may leave all at once while this one stands still. That must not end the
    // connection.
    let connection = hyper::server::conn::http2::Builder::new(LocalExec)
        .timer(HttpTimer)
        .max_concurrent_streams(MAX_STREAMS)
        .initial_stream_window_size(REQUEST_WINDOW_BYTES)
        .initial_connection_window_size(REQUEST_WINDOW_BYTES)
        .max_send_buf_size(SEND_BUFFER_BYTES)
        .max_pending_accept_reset_streams(MAX_STREAMS as usize)
        .serve_connection(HyperStream::new_plain(stream), service);
    let mut connection = pin!(connection);
    let closing = pin!(closing.wait());
    let evicted = pin!(evicted(&unauthenticated));
    let served = match select(connection.as_mut(), select(closing, evicted)).await {
        Either::Left((served, _)) => served,
        Either::Right((Either::Left(_), _)) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
        Either::Right((Either::Right(_), _)) => {
            log::debug!(
                "connection from a peer closed: no request with the fleet's key arrived on it"
            );
            return;
        }
    };
    if let Err(e) = served {
        log::debug!("connection from a peer ended with an error: {e}");
    }
}

/// Returns once a connection has to be closed on which no request with the key has arrived.
async fn evicted(permit: &RefCell<Option<ConnectionPermit>>) {
    let eviction = permit.borrow().as_ref().map(ConnectionPermit::eviction);
    if let Some(eviction) = eviction {
        eviction.wait().await;
    }
    if permit.borrow().is_none() {
        std::future::pending().await
    }
}

/// Whether the request carries the fleet's key.
fn is_authorized(key: &str, request: &Request<Incoming>) -> bool {
    let given = request.headers().get(AUTHORIZATION);
    let given = given.map_or(&b""[..], HeaderValue::as_bytes);
    given.ct_eq(key.as_bytes()).into()
}

/// Decodes one query, received on `path`, and encodes its answer.
pub(crate) async fn reply<Q, A>(
    path: &'static str,
    body: Incoming,
    reply: impl AsyncFnOnce(Q) -> A,
) -> Response<Answer>
where
    Q: DeserializeOwned,
    A: Serialize,
{
    let Ok(body) = Limited::new(body, frames::MAX_FRAME_BYTES).collect().await else {
        return status(StatusCode::BAD_REQUEST);
    };
    let query = body.to_bytes();
    stats::control_bytes("received", kind(path), query.len());
    let query = match frames::from_slice(&query) {
        Ok(query) => query,
        Err(e) => {
            log::warn!("query of a peer on {path} can't be decoded; answering 400: {e}");
            return status(StatusCode::BAD_REQUEST);
        }
    };
    match frames::to_vec(&reply(query).await) {
        Ok(bytes) => {
            stats::control_bytes("sent", kind(path), bytes.len());
            Response::new(Answer::whole(bytes))
        }
        Err(e) => {
            log::warn!("answer to a peer on {path} can't be encoded; answering 500: {e}");
            status(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Returns all members that this router knows.
pub(crate) async fn members(gossip: &Gossip, MembersRequest {}: MembersRequest) -> MembersReply {
    let (reply, members) = oneshot::channel();
    gossip.send(GossipCommand::Members(reply));
    let members = members
        .await
        .inspect_err(|e| log::warn!("member list unavailable; answering an empty one: {e}"))
        .unwrap_or_default();
    MembersReply {
        members: members.iter().map(peer::Member::from).collect(),
    }
}

pub(crate) fn status(code: StatusCode) -> Response<Answer> {
    let mut response = Response::new(Answer::Whole(None));
    *response.status_mut() = code;
    response
}
