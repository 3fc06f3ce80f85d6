//! One call to one upstream: a request's bytes out, an answer's head in.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::header::HOST;
use http::request::Parts as RequestParts;
use http::response::Parts;
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use strum::IntoStaticStr;

use crate::decide::connections::ConnectionQuota;
use crate::path::dialect::{AnswerHead, Dialect};
use crate::path::link::{self, Link, Links};
use crate::path::router_state::{RouterState, Running};
use crate::path::upstreams::Upstream;
use crate::util::{Clock, Name};

/// To open a connection: some round trips between data centres, and less than a counter's caller
/// notices when another upstream takes over.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// The longest answer that is held whole so that it can be asked for again.
const MAX_WHOLE_BYTES: usize = 1 << 20;

/// How a call ended without an answer.
#[derive(Debug)]
pub(crate) struct CallFailed {
    /// What may be said of the request.
    pub(crate) fate: Fate,
    /// What went wrong, for the log.
    pub(crate) why: String,
    /// This router gave the upstream up for its silence.
    pub(crate) timed_out: bool,
}

/// What a failed call means for its request.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Fate {
    /// No byte of it left.
    NotSent,
    /// The upstream got it and said that it didn't run it.
    Rejected,
    /// Another incarnation got it and didn't run it: the one that was meant is gone.
    Replaced,
    /// It may have run.
    Lost,
}

/// An upstream's answer whose body is still to be read.
pub(crate) struct Reply {
    pub(crate) upstream: Rc<Upstream>,
    pub(crate) parts: Parts,
    body: Incoming,
    link: Link,
    links: Links,
    share: ConnectionQuota,
    running: Running,
}

/// An answer that was read whole.
pub(crate) struct Whole {
    pub(crate) upstream: Name,
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
}

/// What a request's calls share.
pub(crate) struct Caller<'a> {
    pub(crate) state: &'a Rc<RouterState>,
    pub(crate) links: &'a Links,
    pub(crate) share: ConnectionQuota,
    pub(crate) clock: Clock,
}

/// One call's content.
pub(crate) struct Call<'a> {
    pub(crate) request: &'a RequestParts,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) request_id: Option<&'a str>,
    /// A kept connection may have been closed by the upstream while the request is on its way, and
    /// nobody could say whether it ran.
    pub(crate) fresh: bool,
    pub(crate) timeout: Duration,
}

impl Caller<'_> {
    /// Calls `upstream` and waits for its answer's head.
    pub(crate) async fn call<D: Dialect>(
        &self,
        upstream: Rc<Upstream>,
        call: Call<'_>,
    ) -> Result<Reply, CallFailed> {
        let running = self.state.run(&upstream, self.clock.now_ms());
        let started = Instant::now();
        let sent = self.send(&upstream, &call).await;
        let now_ms = self.clock.now_ms();
        let (parts, body, link) = match sent {
            Ok(answer) => answer,
            Err(failed) => {
                if failed.timed_out {
                    self.state.overran(&upstream, &failed.why, now_ms);
                } else {
                    self.state.failed(&upstream, &failed.why, now_ms);
                }
                return Err(failed);
            }
        };
        let head = D::answer_head(&parts.headers);
        let checked = check(&parts, &head, call.request_id);
        match checked {
            Ok(()) if !parts.status.is_server_error() => {
                let took_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
                self.state.answered(&upstream, took_ms, now_ms);
            }
            Ok(()) if parts.status == StatusCode::GATEWAY_TIMEOUT => {
                self.state.overran(&upstream, parts.status.as_str(), now_ms);
            }
            Ok(()) => self.state.answered_failure(&upstream, now_ms),
            Err(failed) => {
                if matches!(failed.fate, Fate::Rejected | Fate::Replaced) {
                    self.read_rejection(&upstream, body, link, &parts).await;
                }
                if failed.fate == Fate::Rejected {
                    self.state.overran(&upstream, &failed.why, now_ms);
                } else {
                    self.state.failed(&upstream, &failed.why, now_ms);
                }
                return Err(failed);
            }
        }
        Ok(Reply {
            upstream,
            parts,
            body,
            link,
            links: self.links.clone(),
            share: self.share,
            running,
        })
    }

    async fn send(
        &self,
        upstream: &Upstream,
        call: &Call<'_>,
    ) -> Result<(Parts, Incoming, Link), CallFailed> {
        let timeout = compio::time::timeout(call.timeout, async {
            let kept = if call.fresh {
                None
            } else {
                self.links.kept(&upstream.id)
            };
            let Some(link) = kept else {
                return self.send_fresh(upstream, call).await;
            };
            match send_on(link, call).await {
                // The upstream closed it while it was idle; not a byte left.
                Err(failed) if failed.fate == Fate::NotSent => {
                    self.send_fresh(upstream, call).await
                }
                answered => answered,
            }
        });
        timeout.await.unwrap_or_else(|_| {
            // The connection may still have been opening; nobody can say how far the request got.
            let why = format!("no answer within {} ms", call.timeout.as_millis());
            Err(CallFailed {
                timed_out: true,
                ..lost(why)
            })
        })
    }

    async fn send_fresh(
        &self,
        upstream: &Upstream,
        call: &Call<'_>,
    ) -> Result<(Parts, Incoming, Link), CallFailed> {
        let in_use = self.state.running(&upstream.id);
        self.links
            .make_room(&upstream.id, self.share.open.saturating_sub(in_use));
        let opened = link::open(upstream.addr, CONNECT_TIMEOUT.min(call.timeout)).await;
        let link = opened.map_err(|e| not_sent(e.to_string()))?;
        send_on(link, call).await
    }

    /// Reads a refusal to its end, so that its connection can be kept.
    async fn read_rejection(&self, upstream: &Upstream, body: Incoming, link: Link, parts: &Parts) {
        let read = compio::time::timeout(CONNECT_TIMEOUT, body.collect()).await;
        if matches!(read, Ok(Ok(_))) {
            self.links
                .keep(&upstream.id, link, &parts.headers, self.share);
        }
    }
}

async fn send_on(mut link: Link, call: &Call<'_>) -> Result<(Parts, Incoming, Link), CallFailed> {
    let sent = link.sender.try_send_request(build(call)).await;
    match sent {
        Ok(response) => {
            let (parts, body) = response.into_parts();
            Ok((parts, body, link))
        }
        Err(mut e) => {
            let why = e.error().to_string();
            match e.take_message() {
                Some(_) => Err(not_sent(why)),
                None => Err(lost(why)),
            }
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

/// Whether the answer may be believed.
///
/// Failure guarded against: an upstream sends a second answer late, and it stands where the next
/// request's answer is expected: that caller would get what another one asked for.
fn check(parts: &Parts, head: &AnswerHead, request_id: Option<&str>) -> Result<(), CallFailed> {
    let is_another = parts.status == StatusCode::MISDIRECTED_REQUEST;
    if head.not_run || is_another {
        return Err(CallFailed {
            fate: if is_another {
                Fate::Replaced
            } else {
                Fate::Rejected
            },
            why: format!("rejected with {}", parts.status.as_u16()),
            timed_out: false,
        });
    }
    if head.request_id.as_deref() != request_id {
        return Err(lost("answers another request".to_owned()));
    }
    if parts.status.is_success() && !head.has_proof {
        return Err(lost("success without proof".to_owned()));
    }
    Ok(())
}

fn not_sent(why: String) -> CallFailed {
    CallFailed {
        fate: Fate::NotSent,
        why,
        timed_out: false,
    }
}

fn lost(why: String) -> CallFailed {
    CallFailed {
        fate: Fate::Lost,
        why,
        timed_out: false,
    }
}

impl Reply {
    /// Reads the body whole; `None` if it breaks off, is too long or takes longer than `timeout`.
    pub(crate) async fn whole(self, timeout: Duration) -> Option<Whole> {
        let Self {
            upstream,
            parts,
            mut body,
            link,
            links,
            share,
            running,
        } = self;
        let read = compio::time::timeout(timeout, async {
            let mut bytes = BytesMut::new();
            while let Some(frame) = body.frame().await {
                if let Ok(data) = frame.ok()?.into_data() {
                    bytes.extend_from_slice(&data);
                }
                if bytes.len() > MAX_WHOLE_BYTES {
                    return None;
                }
            }
            Some(bytes.freeze())
        });
        let body = read.await.ok()??;
        drop(running);
        links.keep(&upstream.id, link, &parts.headers, share);
        Some(Whole {
            upstream: upstream.id.clone(),
            parts,
            body,
        })
    }

    /// The next bytes of the body; `None` at its end.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, hyper::Error>> {
        loop {
            match self.body.frame().await? {
                Ok(frame) => match frame.into_data() {
                    Ok(data) => return Some(Ok(data)),
                    Err(_) => continue,
                },
                Err(e) => return Some(Err(e)),
            }
        }
    }

    /// The body was read to its end.
    pub(crate) fn ended(self) {
        self.links.keep(
            &self.upstream.id,
            self.link,
            &self.parts.headers,
            self.share,
        );
    }
}
