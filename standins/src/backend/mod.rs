//! An upstream that speaks the users' platform's dialect of HTTP/1.1. It writes its responses byte
//! by byte, because an HTTP library would refuse to send the malformed ones.

mod endless;
mod room;
mod silence;
mod wire;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::{BufMut, BytesMut};
use compio::net::{TcpListener, TcpStream};
use futures_util::future::{Either, select};
use futures_util::pin_mut;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::Notify;

pub use crate::backend::endless::{EndlessFault, EndlessResponse};
use crate::backend::room::{NoSlot, Room, start_again};
use crate::backend::silence::{Connection, Silence};
use crate::backend::wire::{ParsedRequest, chunk, format_response, read_request};
use crate::http::{post, print_run};

/// Interval at which an upstream publishes its entry to the store.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(300);

/// Time from the announcement that an upstream is brittle until it has fewer places to wait.
pub const BRITTLE_NOTICE: Duration = Duration::from_secs(3);
/// Time after which a brittle upstream that fell starts again, unless the knobs say otherwise.
const DOWN_MS: u64 = 2_000;
/// Longest wait for a slot of a request without a time limit.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// A request whose body contains this text aborts the process whatever its knobs are, after its run is
/// printed.
pub const HARMFUL_BODY: &str = "crashes every upstream";

/// Faults that a test can set.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Knobs {
    /// Duration of a request, or the interval between two events of a stream.
    pub delay_ms: u64,
    /// Size that responses have at least to targets that end in `/large`, except for streams.
    pub response_bytes: usize,
    /// Fault applied to the next responses.
    pub spoil: ResponseFault,
    /// Number of responses that get the fault.
    pub spoilt: u32,
    /// A request whose body contains this text aborts the process, after its run is printed.
    pub crash_marker: String,
    /// Whether such a request gets half of its answer first.
    pub crash_in_answer: bool,
    /// Publishes its state as draining.
    pub draining: bool,
    /// Publishes nothing to the store.
    pub mute: bool,
    /// Removes its entry from the store and publishes none.
    pub withdrawn: bool,
    /// Value with which every response announces a shutdown; empty: no announcement.
    pub leaving: String,
    /// Time that rejections ask for, in seconds; empty: none.
    pub retry_after: String,
    /// Requests that wait for a slot at once; further ones are rejected.
    pub places: u32,
    /// Value with which every response announces that the upstream is brittle; empty: no announcement. If it
    /// is a number, the upstream falls when it rejects more requests in a second for want of room: all its
    /// connections end, and it starts again later, with the same knobs.
    pub brittle: String,
    /// Requests that wait for a slot from [`BRITTLE_NOTICE`] after the first announcement on.
    pub brittle_places: u32,
    /// Time after which an upstream that fell starts again; 0: some seconds.
    pub down_ms: u64,
    /// Time for which new connections are refused, from the knobs' arrival on. Open ones live on.
    pub refuses_connections_ms: u64,
    /// Time for which nothing is sent or read on any connection, from the knobs' arrival on. Requests
    /// that run go on, and what they produce is sent afterwards. Other knobs wait for the end, too.
    pub silent_ms: u64,
}

/// A fault in a response. The request has run in all cases but `Reject`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseFault {
    /// No fault.
    #[default]
    None,
    /// 503 with the header that marks the request as not executed.
    Reject,
    /// 500 from the upstream itself.
    Fail,
    /// 503 from the upstream itself, without the header that marks the request as not executed.
    Busy,
    /// Closes the connection before the response.
    Cut,
    /// Closes the connection after the head, before any event or the body.
    HeadOnly,
    /// Closes the connection in the middle of the body.
    Half,
    /// Sends a second response immediately after the first.
    Extra,
    /// Sends bytes that are not an HTTP response.
    Garbage,
    /// The response carries the id of another request.
    Crossed,
    /// 200 without the upstream's signature and load headers.
    Unproved,
    /// No content length: the end of the connection ends the response.
    Unframed,
    /// Never responds.
    Silent,
    /// Responds without end.
    Endless(EndlessFault),
}

/// One execution of a request, printed before the response is sent.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Run {
    /// Id of the incarnation that ran the request.
    pub upstream: String,
    /// Id that the caller gave the request.
    pub request_id: String,
    /// Account named by the router.
    pub account: String,
    /// Request target.
    pub target: String,
    /// Request body.
    pub body: String,
    /// Event after which the stream resumed; 0 if it began at the start.
    pub after: u64,
    /// Whether the request still carried the caller's key.
    pub had_key: bool,
    /// Version of the software that ran the request; empty: none.
    #[serde(default)]
    pub software: String,
    /// Value of the request's `resumes` header; empty if absent.
    #[serde(default)]
    pub resumes: String,
}

/// A request that reached an upstream, whether it runs or is rejected, printed before the response
/// is sent.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Arrival {
    /// Id of the upstream.
    pub arrived_at: String,
    /// Start of the upstream, in Unix milliseconds.
    pub started_ms: u64,
    /// Id that the caller gave the request.
    pub request_id: String,
    /// Time of the arrival, in Unix milliseconds.
    pub at_ms: u64,
    /// Time without requests that the response asks for; 0 if none.
    pub pushback_ms: u64,
    /// Whether it is rejected for want of room.
    #[serde(default)]
    pub found_no_room: bool,
}

/// The fall of a brittle upstream, printed before it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Fall {
    /// Id of the upstream.
    pub fallen: String,
    /// Requests that it rejected for want of room within a second.
    pub turned_away: u32,
    /// How many it would have borne.
    pub borne: u32,
    /// Time of the fall, in Unix milliseconds.
    pub at_ms: u64,
}

/// The end of a request that reached an upstream, printed when the upstream no longer works on it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RunEnd {
    /// Id of the upstream.
    pub ended_at: String,
    /// Id that the caller gave the request.
    pub request_id: String,
    /// Time of the end, in Unix milliseconds.
    pub ended_ms: u64,
    /// Whether a fault that a test set spoilt the response.
    pub was_spoilt: bool,
}

/// Configuration of an upstream.
#[derive(Clone, Debug)]
pub struct BackendConfig {
    /// Id of the upstream, which a later start may have too; if absent, each start has its own.
    pub id: Option<String>,
    /// Service that the upstream belongs to.
    pub service: String,
    /// Data centre that it runs in.
    pub data_center: String,
    /// Address of the store that it publishes its entry to.
    pub store: SocketAddr,
    /// Maximum number of concurrent requests; further ones wait or are rejected.
    pub slots: u32,
    /// Version of its software in its entry; empty: the entry has no version.
    pub software: String,
    /// Faults from the start on.
    pub knobs: Knobs,
}

/// A running upstream.
pub struct Backend {
    /// Address that it listens on.
    pub addr: SocketAddr,
}

struct Server {
    id: String,
    started_ms: u64,
    config: BackendConfig,
    addr: SocketAddr,
    knobs: RefCell<Knobs>,
    /// Notified when the knobs say that new connections are refused.
    refused: Notify,
    silence: Silence,
    room: Room,
    /// When the knobs first said that the upstream is brittle.
    brittle_since: Cell<Option<Instant>>,
}

impl Backend {
    /// Starts an upstream on the current runtime; it publishes its entry to the store.
    ///
    /// # Errors
    /// Fails if `addr` can't be listened on.
    pub async fn bind(addr: SocketAddr, config: BackendConfig) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let started = since_epoch();
        let id = config.id.clone().unwrap_or_else(|| id(addr, started));
        let server = Rc::new(Server {
            id,
            started_ms: millis(started),
            room: Room::new(config.slots),
            config: config.clone(),
            addr,
            knobs: RefCell::default(),
            refused: Notify::new(),
            silence: Silence::default(),
            brittle_since: Cell::default(),
        });
        server.set_knobs(config.knobs);
        compio::runtime::spawn(server.clone().publish_entries()).detach();
        compio::runtime::spawn(server.accept(listener)).detach();
        Ok(Self { addr })
    }
}

fn since_epoch() -> Duration {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default()
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// The delay that a request asks for in its query, instead of the knob.
fn wanted_delay(target: &str) -> Option<Duration> {
    let (_, delay_ms) = target.split_once("delay_ms=")?;
    delay_ms.parse().ok().map(Duration::from_millis)
}

/// Returns the unique id of an incarnation.
///
/// The id contains the IP address, because the upstreams of a test share one port: without it, two
/// that start within one microsecond get the same id and overwrite each other's entry in the store,
/// so that routers never see one of them.
fn id(addr: SocketAddr, started: Duration) -> String {
    format!("{}{}", id_prefix(addr), started.as_micros())
}

/// Returns the prefix shared by the ids of all incarnations at `addr`.
pub fn id_prefix(addr: SocketAddr) -> String {
    let ip = addr.ip().to_string().replace(['.', ':'], "-");
    format!("i-{ip}-{}-", addr.port())
}

/// Encodes a record of the store: record length, key length, key and value.
pub fn record(key: &str, value: &str) -> Vec<u8> {
    let mut record = BytesMut::new();
    record.put_u32(u32::try_from(1 + key.len() + value.len()).unwrap_or_default());
    record.put_u8(u8::try_from(key.len()).unwrap_or_default());
    record.put_slice(key.as_bytes());
    record.put_slice(value.as_bytes());
    record.to_vec()
}

impl Server {
    fn entry(&self, is_draining: bool) -> Value {
        let mut entry = json!({
            "service": self.config.service,
            "address": self.addr.to_string(),
            "zone": self.config.data_center,
            "slots": self.config.slots,
            "state": if is_draining { "draining" } else { "ready" },
            "cold_remaining_ms": 0,
            "born": self.started_ms,
        });
        if !self.config.software.is_empty() {
            entry["version"] = json!(self.config.software);
        }
        entry
    }

    async fn publish_entries(self: Rc<Self>) {
        loop {
            let knobs = self.knobs.borrow().clone();
            if !knobs.mute {
                let entry = self.entry(knobs.draining);
                let store = self.config.store;
                let url = format!("http://{store}/log-append?stream_name=keyed.servers&part=0");
                // An empty value deletes the entry.
                let value = if knobs.withdrawn {
                    String::new()
                } else {
                    entry.to_string()
                };
                let body = record(&self.id, &value);
                // If the store is unavailable, the next publication makes up for it.
                let _ = compio::time::timeout(PUBLISH_INTERVAL, post(&url, body)).await;
            }
            compio::time::sleep(PUBLISH_INTERVAL).await;
        }
    }

    /// Accepts connections, and refuses them for a time when the knobs say so.
    async fn accept(self: Rc<Self>, mut listener: TcpListener) {
        loop {
            self.accept_until_refused(&listener).await;
            drop(listener);
            let refuses_ms = std::mem::take(&mut self.knobs.borrow_mut().refuses_connections_ms);
            compio::time::sleep(Duration::from_millis(refuses_ms)).await;
            listener = TcpListener::bind(self.addr).await.expect("its own address");
        }
    }

    /// Accepts connections until the knobs say that new ones are refused. An accept that is abandoned may
    /// have taken a connection, which it closes: it is abandoned at the end only.
    async fn accept_until_refused(self: &Rc<Self>, listener: &TcpListener) {
        let refused = self.refused.notified();
        pin_mut!(refused);
        loop {
            let accept = listener.accept();
            pin_mut!(accept);
            match select(accept, refused.as_mut()).await {
                Either::Left((Ok((stream, _)), _)) => {
                    // An accept that was pending when the silence began may end within it.
                    self.silence.ended().await;
                    compio::runtime::spawn(self.clone().connection(stream)).detach();
                }
                Either::Left((Err(_), _)) => {}
                Either::Right(_) => return,
            }
        }
    }

    fn set_knobs(&self, knobs: Knobs) {
        if knobs.refuses_connections_ms > 0 {
            self.refused.notify_one();
        }
        if knobs.silent_ms > 0 {
            self.silence.begin(Duration::from_millis(knobs.silent_ms));
        }
        let is_brittle = !knobs.brittle.is_empty();
        let since = self.brittle_since.get().unwrap_or_else(Instant::now);
        self.brittle_since.set(is_brittle.then_some(since));
        self.knobs.replace(knobs);
    }

    async fn connection(self: Rc<Self>, stream: TcpStream) {
        let mut connection = Connection::new(stream, &self.silence);
        let mut buffer = BytesMut::new();
        while let Some(request) = read_request(&mut connection, &mut buffer).await {
            if !self.answer(&mut connection, &request).await {
                break;
            }
        }
        connection.close().await;
    }

    /// Answers one request; returns whether the connection stays open.
    async fn answer(&self, connection: &mut Connection<'_>, request: &ParsedRequest) -> bool {
        if request.method == "POST" && request.target == "/knobs" {
            let parsed = serde_json::from_str(&request.body).map(|knobs| {
                self.set_knobs(knobs);
            });
            let status = if parsed.is_ok() {
                "200 OK"
            } else {
                "400 Bad Request"
            };
            return connection
                .send_at_once(&format_response(status, "", ""))
                .await;
        }
        let target_instance = request.header("target-instance");
        if !target_instance.is_empty() && target_instance != self.id {
            let head = format!("instance-id: {}\r\n{}", self.id, self.notices());
            return connection
                .send(&format_response("421 Misdirected Request", &head, ""))
                .await;
        }
        let fault = self.take_fault();
        let is_endless_rejection = fault == ResponseFault::Endless(EndlessFault::Rejection);
        let places = self.places();
        let is_spoilt = fault == ResponseFault::Reject;
        let is_rejected = is_spoilt || self.room.is_full(places);
        let found_no_room = is_rejected && !is_spoilt && !is_endless_rejection;
        self.print_arrival(request, is_rejected || is_endless_rejection, found_no_room);
        if is_endless_rejection {
            return self
                .respond_endlessly(connection, request, EndlessFault::Rejection)
                .await;
        }
        if is_spoilt {
            return self.turn_down(connection, request).await;
        }
        let patience = request.header("deadline-ms").parse();
        let patience = patience.map_or(MAX_WAIT, Duration::from_millis);
        match self.room.take_slot(places, patience).await {
            Ok(_slot) => {
                let keep_open = self.run(connection, request, fault).await;
                self.print_end(request, fault != ResponseFault::None);
                keep_open
            }
            Err(NoSlot::TooLate) => self.turn_down(connection, request).await,
            Err(NoSlot::NoRoom) => {
                self.fall_if_overrun();
                self.turn_down(connection, request).await
            }
        }
    }

    /// Rejects a request, and prints that it has ended.
    async fn turn_down(&self, connection: &mut Connection<'_>, request: &ParsedRequest) -> bool {
        let keep_open = self.reject(connection, request).await;
        self.print_end(request, false);
        keep_open
    }

    /// Requests that may wait for a slot now.
    fn places(&self) -> u32 {
        let knobs = self.knobs.borrow();
        let since = self.brittle_since.get();
        if since.is_some_and(|since| since.elapsed() >= BRITTLE_NOTICE) {
            knobs.brittle_places
        } else {
            knobs.places
        }
    }

    /// Records that a request was turned away for want of room, and falls if these are more than a brittle
    /// upstream bears.
    fn fall_if_overrun(&self) {
        let turned_away = self.room.turn_away(Instant::now());
        let knobs = self.knobs.borrow().clone();
        let Some(borne) = knobs.brittle.parse().ok().filter(|n| turned_away > *n) else {
            return;
        };
        print_run(&Fall {
            fallen: self.id.clone(),
            turned_away,
            borne,
            at_ms: millis(since_epoch()),
        });
        let down_ms = if knobs.down_ms == 0 {
            DOWN_MS
        } else {
            knobs.down_ms
        };
        let error = start_again(&self.config, self.addr, knobs, down_ms);
        panic!("the upstream can't be started again: {error}");
    }

    async fn reject(&self, connection: &mut Connection<'_>, request: &ParsedRequest) -> bool {
        let retry_after = self.knobs.borrow().retry_after.clone();
        let mut head = format!(
            "not-executed: 1\r\nattempt-id: {}\r\n{}",
            request.header("attempt-id"),
            self.notices()
        );
        if !retry_after.is_empty() {
            head.push_str(&format!("retry-after: {retry_after}\r\n"));
        }
        let response = format_response("503 Service Unavailable", &head, "");
        connection.send(&response).await
    }

    /// Responds without end; returns that the connection doesn't stay open.
    async fn respond_endlessly(
        &self,
        connection: &mut Connection<'_>,
        request: &ParsedRequest,
        fault: EndlessFault,
    ) -> bool {
        let id = request.header("attempt-id");
        endless::respond(connection.stream(), fault, &self.response_headers(id), id).await;
        false
    }

    fn print_arrival(&self, request: &ParsedRequest, is_rejected: bool, found_no_room: bool) {
        let retry_after_s: f64 = self.knobs.borrow().retry_after.parse().unwrap_or(0.0);
        let pushback_ms = if is_rejected {
            (retry_after_s * 1_000.0) as u64
        } else {
            0
        };
        print_run(&Arrival {
            arrived_at: self.id.clone(),
            started_ms: self.started_ms,
            request_id: request.header("attempt-id").to_owned(),
            at_ms: millis(since_epoch()),
            pushback_ms,
            found_no_room,
        });
    }

    fn print_end(&self, request: &ParsedRequest, was_spoilt: bool) {
        print_run(&RunEnd {
            ended_at: self.id.clone(),
            request_id: request.header("attempt-id").to_owned(),
            ended_ms: millis(since_epoch()),
            was_spoilt,
        });
    }

    /// What every response says about the upstream.
    fn notices(&self) -> String {
        let knobs = self.knobs.borrow();
        let notices = [
            ("server-leaving", &knobs.leaving),
            ("server-brittle", &knobs.brittle),
        ];
        let said = notices.iter().filter(|(_, value)| !value.is_empty());
        said.map(|(name, value)| format!("{name}: {value}\r\n"))
            .collect()
    }

    fn take_fault(&self) -> ResponseFault {
        let mut knobs = self.knobs.borrow_mut();
        if knobs.spoilt == 0 {
            return ResponseFault::None;
        }
        knobs.spoilt -= 1;
        knobs.spoil
    }

    async fn run(
        &self,
        connection: &mut Connection<'_>,
        request: &ParsedRequest,
        fault: ResponseFault,
    ) -> bool {
        let after = request.header("last-event-id").parse().unwrap_or(0);
        print_run(&Run {
            upstream: self.id.clone(),
            request_id: request.header("attempt-id").to_owned(),
            account: request.header("tenant-id").to_owned(),
            target: request.target.clone(),
            body: request.body.clone(),
            after,
            had_key: !request.header("authorization").is_empty(),
            software: self.config.software.clone(),
            resumes: request.header("resumes").to_owned(),
        });
        if request.body.contains(HARMFUL_BODY) {
            std::process::abort();
        }
        let knobs = self.knobs.borrow().clone();
        if !knobs.crash_marker.is_empty() && request.body.contains(&knobs.crash_marker) {
            if knobs.crash_in_answer {
                let head = self.response_headers(request.header("attempt-id"));
                let text = format_response("200 OK", &head, &request.body);
                connection.send(&text[..text.len() - 1]).await;
            }
            std::process::abort();
        }
        if let ResponseFault::Endless(fault) = fault {
            return self.respond_endlessly(connection, request, fault).await;
        }
        let delay = wanted_delay(&request.target).unwrap_or(Duration::from_millis(knobs.delay_ms));
        if request.target.contains("/stream") {
            return self.stream(connection, request, after, delay, fault).await;
        }
        compio::time::sleep(delay).await;
        let id = request.header("attempt-id");
        let body = json!({ "request_id": id, "echo": request.body }).to_string();
        let is_large = request.target.ends_with("/large");
        let least_bytes = if is_large { knobs.response_bytes } else { 0 };
        let body = format!("{body:least_bytes$}");
        let head = self.response_headers(id);
        match fault {
            ResponseFault::None | ResponseFault::Reject => {
                connection
                    .send(&format_response("200 OK", &head, &body))
                    .await
            }
            ResponseFault::Fail => {
                connection
                    .send(&format_response("500 Internal Server Error", &head, ""))
                    .await
            }
            ResponseFault::Busy => {
                connection
                    .send(&format_response("503 Service Unavailable", &head, ""))
                    .await
            }
            ResponseFault::Cut => false,
            ResponseFault::HeadOnly => {
                let text = format_response("200 OK", &head, &body);
                connection.send(&text[..text.len() - body.len()]).await;
                false
            }
            ResponseFault::Half => {
                let text = format_response("200 OK", &head, &body);
                connection.send(&text[..text.len() - body.len() / 2]).await;
                false
            }
            ResponseFault::Extra => {
                let text = format_response("200 OK", &head, &body);
                connection.send(&format!("{text}{text}")).await
            }
            ResponseFault::Garbage => connection.send("\u{1}\u{2} no answer at all\r\n\r\n").await,
            ResponseFault::Crossed => {
                connection
                    .send(&format_response(
                        "200 OK",
                        &self.response_headers("another"),
                        &body,
                    ))
                    .await
            }
            ResponseFault::Unproved => {
                let head = format!("attempt-id: {id}\r\n");
                connection
                    .send(&format_response("200 OK", &head, &body))
                    .await
            }
            ResponseFault::Unframed => {
                connection
                    .send(&format!("HTTP/1.1 200 OK\r\n{head}\r\n{body}"))
                    .await;
                false
            }
            ResponseFault::Silent | ResponseFault::Endless(_) => std::future::pending().await,
        }
    }

    fn response_headers(&self, request_id: &str) -> String {
        format!(
            "attempt-id: {request_id}\r\nserver-signature: {}\r\ninstance-load: {},{},{}\r\n{}",
            self.id,
            self.room.running(self.config.slots),
            self.room.waiting(),
            self.config.slots,
            self.notices()
        )
    }

    /// Streams events up to the number given in the body, each with its id.
    async fn stream(
        &self,
        connection: &mut Connection<'_>,
        request: &ParsedRequest,
        after: u64,
        delay: Duration,
        fault: ResponseFault,
    ) -> bool {
        let id = request.header("attempt-id");
        let last: u64 = request.body.trim().parse().unwrap_or(5);
        let break_after = (after + last) / 2;
        let head = self.response_headers(id);
        let text = format!(
            "HTTP/1.1 200 OK\r\n{head}content-type: text/event-stream\r\n\
             keep-alive: timeout=5\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        if !connection.send(&text).await {
            return false;
        }
        if fault == ResponseFault::HeadOnly {
            return false;
        }
        let mut due = Instant::now();
        for event in after + 1..=last {
            // Events that fall due in a silence follow it at once.
            due += delay;
            compio::time::sleep_until(due).await;
            let text = format!("id: {event}\ndata: {event} of {last}\n\n");
            if fault == ResponseFault::Half && event > break_after {
                // Ends in the middle of an event, as after a crash.
                connection.send(&chunk(&text[..text.len() / 2])).await;
                return false;
            }
            if fault == ResponseFault::Silent && event > break_after {
                std::future::pending::<()>().await;
            }
            if !connection.send(&chunk(&text)).await {
                return false;
            }
        }
        connection.send("0\r\n\r\n").await
    }
}

#[cfg(test)]
mod tests;
