//! One call to one upstream: sends the request and reads the head of the answer.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::HOST;
use http::request::Parts as RequestParts;
use http::response::Parts;
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Frame, Incoming};
use snafu::Snafu;
use strum::IntoStaticStr;

use crate::decide::connections::ConnectionQuota;
use crate::front::memory::ByteBudget;
use crate::http1::{self, Connection, MAX_HEAD_BYTES, SendError};
use crate::path::connection::ConnectionPool;
use crate::path::dialect::{AnswerHead, Dialect};
use crate::path::freshness::StreamFreshness;
use crate::path::router_state::{RouterState, RunningGuard};
use crate::path::upstreams::Upstream;
use crate::peers::Room;
use crate::time_limit::within;
use crate::util::{Clock, Name};

/// Time limit for opening a connection: some round trips between data centres, and short enough
/// that a caller of an interactive service does not notice when another upstream takes over.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Largest answer that is buffered so that the request can be retried.
const MAX_BUFFERED_BYTES: usize = 1 << 20;
/// Size up to which answers don't count towards the budget, so that small ones never wait for large ones.
const FREE_ANSWER_BYTES: usize = 16 << 10;
/// Largest body of a rejection that is read so that its connection can be reused: as large as a
/// head, as it says no more. Beyond it the connection is closed.
const MAX_DRAINED_BYTES: usize = MAX_HEAD_BYTES;

/// A call that ended without an answer.
#[derive(Debug)]
pub(crate) struct CallError {
    /// Whether the request may have run.
    pub(crate) kind: FailureKind,
    /// Reason of the failure, for the log.
    pub(crate) reason: String,
    /// Whether the call was abandoned because the upstream did not answer in time.
    pub(crate) timed_out: bool,
}

/// How far the request of a failed call got.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum FailureKind {
    /// No byte of the request was sent.
    NotSent,
    /// No byte of the request was sent, as the upstream stopped taking work before.
    Withheld,
    /// The upstream received the request and reported that it did not run it.
    Rejected,
    /// Another incarnation received the request and did not run it: the addressed one no longer
    /// exists.
    Replaced,
    /// The request may have run.
    Lost,
}

/// Why a body ended before its end.
#[derive(Debug, Snafu)]
pub(crate) enum BodyError {
    #[snafu(display("{source}"))]
    Failed { source: hyper::Error },
    #[snafu(display("the other router reset the answer"))]
    Reset,
}

/// Answer of an upstream whose body has not been read yet.
pub(crate) struct Reply {
    pub(crate) parts: Parts,
    body: Incoming,
    source: Source,
}

/// Where an answer comes from.
enum Source {
    /// The upstream itself.
    Upstream(CalledUpstream),
    /// The router that sent the request to an upstream in place of this one.
    Router { name: Name, _room: Room },
}

/// Upstream that answers, and what is held while it does.
struct CalledUpstream {
    upstream: Rc<Upstream>,
    connection: Connection,
    connections: ConnectionPool,
    quota: ConnectionQuota,
    running: RunningGuard,
}

impl CalledUpstream {
    /// Returns the connection to the pool after the whole body was read.
    fn finish(self, headers: &HeaderMap) {
        drop(self.running);
        self.connections
            .put_back(&self.upstream, self.connection, headers, self.quota);
    }
}

/// Completely read answer.
pub(crate) struct BufferedReply {
    /// Name of the upstream, or of the router that sent the request to it.
    pub(crate) sender: Name,
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
}

/// Context shared by the calls of a request.
pub(crate) struct UpstreamClient<'a> {
    pub(crate) state: &'a Rc<RouterState>,
    pub(crate) connections: &'a ConnectionPool,
    pub(crate) quota: ConnectionQuota,
    pub(crate) clock: Clock,
    pub(crate) upstreams_fresh: &'a StreamFreshness,
}

/// Content of one call.
pub(crate) struct Call<'a> {
    pub(crate) request: &'a RequestParts,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) request_id: Option<&'a str>,
    /// Whether to open a new connection. The upstream may close an idle connection while the
    /// request is in transit, and then it is unknown whether the request ran.
    pub(crate) new_connection: bool,
    pub(crate) timeout: Duration,
    /// Set once the request may run.
    pub(crate) is_sent: &'a Cell<bool>,
}

impl UpstreamClient<'_> {
    /// Calls `upstream` and waits for the head of its answer.
    pub(crate) async fn call<D: Dialect>(
        &self,
        upstream: Rc<Upstream>,
        call: Call<'_>,
    ) -> Result<Reply, CallError> {
        let running = self.state.start_request(&upstream, self.clock.now_ms());
        let started = Instant::now();
        let sent = self.send(&upstream, &call, &running).await;
        let now_ms = self.clock.now_ms();
        let (parts, body, connection) = match sent {
            Ok(answer) => answer,
            Err(failed) => {
                if failed.timed_out {
                    self.state
                        .record_overload(&upstream, &failed.reason, now_ms);
                } else if failed.kind != FailureKind::Withheld {
                    self.state.record_failure(&upstream, &failed.reason, now_ms);
                }
                return Err(failed);
            }
        };
        let head = D::answer_head(parts.status, &parts.headers);
        let checked = check(&parts, &head, call.request_id);
        // Another incarnation than the addressed one speaks for itself.
        if !matches!(&checked, Err(failed) if failed.kind == FailureKind::Replaced) {
            self.state.record_notices(&upstream, &head, now_ms);
        }
        match checked {
            Ok(()) if !parts.status.is_server_error() => {
                let took_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
                self.state.record_answer(&upstream, took_ms, now_ms);
            }
            Ok(()) if parts.status == StatusCode::GATEWAY_TIMEOUT => {
                self.state
                    .record_overload(&upstream, parts.status.as_str(), now_ms);
            }
            Ok(()) => self.state.record_error_answer(&upstream, now_ms),
            Err(failed) => {
                if failed.kind == FailureKind::Rejected {
                    self.state.record_rejected(&running, now_ms);
                }
                if matches!(failed.kind, FailureKind::Rejected | FailureKind::Replaced) {
                    call.is_sent.set(false);
                    self.drain_rejection(&upstream, body, connection, &parts)
                        .await;
                }
                match failed.kind {
                    // The upstream itself says how long to stay away; an ejection would outlast it.
                    FailureKind::Rejected if head.pushback_ms.is_some() => {}
                    FailureKind::Rejected => {
                        self.state
                            .record_overload(&upstream, &failed.reason, now_ms)
                    }
                    _ => self.state.record_failure(&upstream, &failed.reason, now_ms),
                }
                return Err(failed);
            }
        }
        Ok(Reply {
            parts,
            body,
            source: Source::Upstream(CalledUpstream {
                upstream,
                connection,
                connections: self.connections.clone(),
                quota: self.quota,
                running,
            }),
        })
    }

    async fn send(
        &self,
        upstream: &Upstream,
        call: &Call<'_>,
        running: &RunningGuard,
    ) -> Result<(Parts, Incoming, Connection), CallError> {
        let timeout = within(call.timeout, async {
            let idle = if call.new_connection {
                None
            } else {
                self.connections.take_idle(upstream)
            };
            let Some(connection) = idle else {
                return self.send_on_new(upstream, call, running).await;
            };
            match self.send_on(connection, upstream, call, running).await {
                // The upstream closed the idle connection; no byte was sent.
                Err(failed) if failed.kind == FailureKind::NotSent => {
                    call.is_sent.set(false);
                    self.send_on_new(upstream, call, running).await
                }
                answered => answered,
            }
        });
        timeout.await.unwrap_or_else(|_| {
            // The time limit covers connecting and sending, so it is unknown whether the request
            // was sent.
            let reason = format!("no answer within {} ms", call.timeout.as_millis());
            Err(CallError {
                timed_out: true,
                ..lost(reason)
            })
        })
    }

    async fn send_on_new(
        &self,
        upstream: &Upstream,
        call: &Call<'_>,
        running: &RunningGuard,
    ) -> Result<(Parts, Incoming, Connection), CallError> {
        let in_use = self.state.running(&upstream.id);
        self.connections
            .close_excess(&upstream.id, self.quota.open.saturating_sub(in_use));
        let opened = http1::open(upstream.addr, CONNECT_TIMEOUT.min(call.timeout)).await;
        let connection = opened.map_err(|e| not_sent(e.to_string()))?;
        self.state.record_connected(upstream);
        self.send_on(connection, upstream, call, running).await
    }

    async fn send_on(
        &self,
        mut connection: Connection,
        upstream: &Upstream,
        call: &Call<'_>,
        running: &RunningGuard,
    ) -> Result<(Parts, Incoming, Connection), CallError> {
        let now_ms = self.clock.now_ms();
        if !self.upstreams_fresh.may_decide()
            || !self.state.still_takes_work(upstream, now_ms)
            || !self.state.enter_gate(upstream, running, now_ms)
        {
            return Err(withheld());
        }
        call.is_sent.set(true);
        let sent = connection.send(build(call)).await;
        match sent {
            Ok(response) => {
                let (parts, body) = response.into_parts();
                Ok((parts, body, connection))
            }
            Err(e @ SendError::NotSent { .. }) => Err(not_sent(e.to_string())),
            Err(e) => Err(lost(e.to_string())),
        }
    }

    /// Reads and drops the body of a rejection, so that its connection can be reused.
    async fn drain_rejection(
        &self,
        upstream: &Upstream,
        body: Incoming,
        connection: Connection,
        parts: &Parts,
    ) {
        let mut body = Limited::new(body, MAX_DRAINED_BYTES);
        let read = within(CONNECT_TIMEOUT, async {
            while let Some(frame) = body.frame().await {
                if frame.is_err() {
                    return false;
                }
            }
            true
        });
        if matches!(read.await, Ok(true)) {
            self.connections
                .put_back(upstream, connection, &parts.headers, self.quota);
        }
    }
}

fn build(call: &Call<'_>) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.request.method.clone();
    *request.uri_mut() = call.request.uri.clone();
    *request.headers_mut() = call.headers.clone();
    if !request.headers().contains_key(HOST) {
        let host = call.request.headers.get(HOST).cloned();
        let host = host.unwrap_or_else(|| HeaderValue::from_static(""));
        request.headers_mut().insert(HOST, host);
    }
    request
}

/// Checks that the answer belongs to this request. A rejection may name no request.
///
/// Failure guarded against: an upstream sends a second answer late on a reused connection, where
/// the answer to the next request is expected. Its caller would receive the answer to a request of
/// another caller, or be told by the copy of a rejection that its request did not run.
fn check(parts: &Parts, head: &AnswerHead, request_id: Option<&str>) -> Result<(), CallError> {
    let of_another = || lost("the answer carries the id of another request".to_owned());
    if head.request_id.is_some() && head.request_id.as_deref() != request_id {
        return Err(of_another());
    }
    let is_replaced = parts.status == StatusCode::MISDIRECTED_REQUEST;
    if head.not_run || is_replaced {
        return Err(CallError {
            kind: if is_replaced {
                FailureKind::Replaced
            } else {
                FailureKind::Rejected
            },
            reason: format!("rejected with {}", parts.status.as_u16()),
            timed_out: false,
        });
    }
    if head.request_id.as_deref() != request_id {
        return Err(of_another());
    }
    if parts.status.is_success() && !head.has_proof {
        return Err(lost(
            "success status without the upstream's proof header".to_owned(),
        ));
    }
    if head.is_encoded {
        return Err(lost("the body is in a content coding".to_owned()));
    }
    Ok(())
}

fn withheld() -> CallError {
    CallError {
        kind: FailureKind::Withheld,
        reason: "the upstream takes no more work".to_owned(),
        timed_out: false,
    }
}

fn not_sent(reason: String) -> CallError {
    CallError {
        kind: FailureKind::NotSent,
        reason,
        timed_out: false,
    }
}

fn lost(reason: String) -> CallError {
    CallError {
        kind: FailureKind::Lost,
        reason,
        timed_out: false,
    }
}

impl Reply {
    /// Creates the answer that `router` forwards.
    pub(crate) fn of_router(name: Name, parts: Parts, body: Incoming, room: Room) -> Self {
        let source = Source::Router { name, _room: room };
        Self {
            parts,
            body,
            source,
        }
    }

    /// The upstream, if this router called it.
    pub(crate) fn upstream(&self) -> Option<&Rc<Upstream>> {
        match &self.source {
            Source::Upstream(called) => Some(&called.upstream),
            Source::Router { .. } => None,
        }
    }

    /// Name of the upstream, or of the router that sent the request to it.
    pub(crate) fn sender(&self) -> &Name {
        match &self.source {
            Source::Upstream(called) => &called.upstream.id,
            Source::Router { name, .. } => name,
        }
    }

    /// Reads the whole body. Returns `None` if it breaks off, exceeds the size limit or takes
    /// longer than `timeout`. A large one waits until `budget` has room for it.
    ///
    /// Failure guarded against: callers ask for large answers and don't read them, and these take all memory.
    pub(crate) async fn buffer(
        mut self,
        timeout: Duration,
        budget: &ByteBudget,
    ) -> Option<BufferedReply> {
        let sender = self.sender().clone();
        let body = within(timeout, self.read_whole(budget)).await.ok()??;
        let Self { parts, source, .. } = self;
        if let Source::Upstream(called) = source {
            called.finish(&parts.headers);
        }
        Some(BufferedReply {
            sender,
            parts,
            body,
        })
    }

    /// Reads a body of at most [`MAX_BUFFERED_BYTES`].
    async fn read_whole(&mut self, budget: &ByteBudget) -> Option<Bytes> {
        let announced = self.body.size_hint().upper();
        let most_bytes =
            announced.map_or(MAX_BUFFERED_BYTES, |b| (b as usize).min(MAX_BUFFERED_BYTES));
        let mut held = budget.nothing();
        let mut bytes = Vec::new();
        while let Some(data) = self.next().await {
            let data = data.ok()?;
            let len = bytes.len() + data.len();
            if len > MAX_BUFFERED_BYTES {
                return None;
            }
            // All at once: answers that wait for more room while they hold some could wait for each other.
            if len > FREE_ANSWER_BYTES && held.is_empty() {
                held = budget.hold_when_free(most_bytes.max(len)).await;
            }
            bytes.extend_from_slice(&data);
        }
        bytes.shrink_to_fit();
        held.shrink_to(bytes.len());
        Some(held.attach(bytes))
    }

    /// Returns the next chunk of the body, or `None` at its end.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        while let Some(frame) = self.body.frame().await {
            match frame.map(Frame::into_data) {
                Ok(Ok(data)) => return Some(Ok(data)),
                // Trailers.
                Ok(Err(_)) => {}
                Err(source) => return Some(Err(BodyError::Failed { source })),
            }
        }
        self.is_reset().then_some(Err(BodyError::Reset))
    }

    /// Whether another router reset the stream of its answer, of which no more comes.
    ///
    /// Failure guarded against: a stream that is reset without an error is the end of the body to the HTTP
    /// library.
    fn is_reset(&self) -> bool {
        matches!(self.source, Source::Router { .. }) && !self.body.is_end_stream()
    }

    /// Ends an answer whose whole body was read.
    pub(crate) fn finish(self) {
        if let Source::Upstream(called) = self.source {
            called.finish(&self.parts.headers);
        }
    }
}
