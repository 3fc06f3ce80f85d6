//! HTTP server and client helpers shared by the stand-ins.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use compio::net::{TcpListener, TcpStream};
use cyper_core::{CompioTimer, HyperStream};
use http::{Request, Response, StatusCode};
use http_body::{Body, Frame};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::service::service_fn;
use serde::Serialize;
use tokio::sync::mpsc;

/// A response body.
pub(crate) enum ResponseBody {
    Full(Option<Bytes>),
    Stream(mpsc::Receiver<io::Result<Bytes>>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Stream(rx) => rx
                .poll_recv(cx)
                .map(|next| next.map(|r| r.map(Frame::data))),
        }
    }
}

/// A request with its whole body.
pub(crate) struct BufferedRequest {
    pub(crate) method: http::Method,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: Bytes,
}

impl BufferedRequest {
    /// Returns the value of a query parameter.
    pub(crate) fn query<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        let mut pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(k, _)| *k == name)?.1.parse().ok()
    }

    pub(crate) fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default()
    }
}

/// Answers requests; `None` closes the connection without a response.
pub(crate) trait Handler: 'static {
    fn handle(
        self: Rc<Self>,
        request: BufferedRequest,
    ) -> impl Future<Output = Option<Response<ResponseBody>>>;
}

/// Listens on `addr` and serves until the process ends.
pub(crate) async fn serve<H: Handler>(addr: SocketAddr, handler: Rc<H>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(addr).await?;
    let addr = listener.local_addr()?;
    compio::runtime::spawn(async move {
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                compio::runtime::spawn(connection(stream, handler.clone())).detach();
            }
        }
    })
    .detach();
    Ok(addr)
}

async fn connection<H: Handler>(stream: TcpStream, handler: Rc<H>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = handler.clone();
        async move { respond(handler, request).await }
    });
    // Errors are ignored: tests disconnect callers on purpose.
    let _ = hyper::server::conn::http1::Builder::new()
        .timer(CompioTimer)
        .serve_connection(HyperStream::new_plain(stream), service)
        .await;
}

async fn respond<H: Handler>(
    handler: Rc<H>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, io::Error> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let request = BufferedRequest {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or_default().to_owned(),
        headers: parts.headers,
        body,
    };
    let response = handler.handle(request).await;
    response
        .ok_or_else(|| io::Error::other("connection closed without a response, as set by a knob"))
}

/// Prints a run to standard output, so that the record survives if the process is killed.
pub(crate) fn print_run<T: Serialize>(run: &T) {
    if let Ok(line) = serde_json::to_string(run) {
        println!("{line}");
    }
}

pub(crate) fn json<T: Serialize>(value: &T) -> Response<ResponseBody> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    Response::new(ResponseBody::Full(Some(text.into())))
}

pub(crate) fn status(code: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Full(None));
    *response.status_mut() = code;
    response
}

/// Sends a POST request with `body` to another stand-in.
pub(crate) async fn post(url: &str, body: impl Into<cyper::Body>) -> io::Result<()> {
    let client = cyper::Client::new().map_err(io::Error::other)?;
    let request = client.post(url).map_err(io::Error::other)?.body(body);
    let response = request.send().await.map_err(io::Error::other)?;
    if response.status().is_success() {
        return Ok(());
    }
    Err(io::Error::other(response.status().to_string()))
}

/// Sends a GET request to another stand-in.
pub(crate) async fn get(url: &str) -> io::Result<()> {
    let client = cyper::Client::new().map_err(io::Error::other)?;
    let request = client.get(url).map_err(io::Error::other)?;
    let response = request.send().await.map_err(io::Error::other)?;
    if response.status().is_success() {
        return Ok(());
    }
    Err(io::Error::other(response.status().to_string()))
}
