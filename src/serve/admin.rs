//! Metrics, health and readiness pages.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::exporter::Exporter;
use crate::front::body::Answer;
use crate::front::pages::{self, Page};
use crate::log::follow::FollowStatus;
use crate::serve::SharedCtx;

/// Far more than scrapers need; the bound keeps file descriptors free for callers.
pub(crate) const MAX_CONNECTIONS: usize = 64;
const SCRAPE_TYPE: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");

/// The listener for admin pages.
pub(crate) struct Admin {
    addr: SocketAddr,
}

impl Admin {
    pub(crate) async fn bind(
        addr: SocketAddr,
        ctx: SharedCtx,
        metrics: Option<Exporter>,
    ) -> io::Result<Self> {
        let pages = Rc::new(AdminPages { ctx, metrics });
        let addr = pages::bind(addr, MAX_CONNECTIONS, pages).await?;
        Ok(Self { addr })
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }
}

/// Serves only the metrics and health pages.
pub(crate) struct Metrics(pub(crate) Exporter);

impl Page for Metrics {
    fn page(&self, request: &Request<Incoming>) -> Response<Answer> {
        match request.uri().path() {
            "/metrics" => text(StatusCode::OK, self.0.render()),
            "/healthz" => text(StatusCode::OK, "ok\n".to_owned()),
            _ => text(StatusCode::NOT_FOUND, "no such page\n".to_owned()),
        }
    }
}

/// The pages of a router on the project's own log.
struct AdminPages {
    ctx: SharedCtx,
    metrics: Option<Exporter>,
}

impl Page for AdminPages {
    fn page(&self, request: &Request<Incoming>) -> Response<Answer> {
        page(&self.ctx, self.metrics.as_ref(), request)
    }
}

fn page(
    ctx: &SharedCtx,
    metrics: Option<&Exporter>,
    request: &Request<Incoming>,
) -> Response<Answer> {
    match request.uri().path() {
        "/healthz" => text(StatusCode::OK, "ok\n".to_owned()),
        "/readyz" => ready(ctx),
        "/metrics" => {
            let rendered = metrics.map(Exporter::render);
            text(StatusCode::OK, rendered.unwrap_or_default())
        }
        _ => text(StatusCode::NOT_FOUND, "no such page\n".to_owned()),
    }
}

/// Returns 200 once a configuration is in force and no planned stop is in progress; otherwise 503
/// with one reason per line.
fn ready(ctx: &SharedCtx) -> Response<Answer> {
    let version = ctx.config().state.version;
    let mut reasons = Vec::new();
    if version == 0 {
        reasons.push(match ctx.config_handle.status() {
            FollowStatus::LogDown => "no configuration yet: not available from the log or a peer",
            FollowStatus::Gap => {
                "no configuration yet: the log's records expired and no peer has a copy"
            }
            FollowStatus::Newer { .. } => {
                "no configuration yet: the log's records use a newer schema"
            }
            FollowStatus::Starting | FollowStatus::Current => "no configuration yet",
        });
    }
    if ctx.drain.is_stopping() {
        reasons.push("a planned stop is in progress");
    }
    if reasons.is_empty() {
        return text(StatusCode::OK, format!("configuration version {version}\n"));
    }
    let detail = format!("{}\n", reasons.join("\n"));
    text(StatusCode::SERVICE_UNAVAILABLE, detail)
}

fn text(code: StatusCode, text: String) -> Response<Answer> {
    let mut response = Response::new(Answer::whole(text));
    *response.status_mut() = code;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, SCRAPE_TYPE);
    response
}
