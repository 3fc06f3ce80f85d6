//! A plain service: answers any path and records every run.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{HeaderValue, Method, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::http::{BufferedRequest, Handler, ResponseBody, json, print_run, serve, status};

/// Faults that a test can set.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Knobs {
    /// Duration of a request.
    pub delay_ms: u64,
    /// Size that responses have at least to paths that end in `/large`.
    pub response_bytes: usize,
    /// Number of requests whose responses are dropped, after they ran.
    pub drop_replies: u32,
    /// A request whose body contains this text aborts the process.
    pub crash_marker: String,
}

/// One execution of a request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Run {
    /// Id that the router gave the request.
    pub request_id: String,
    /// Idempotency key of the caller.
    pub idempotency_key: String,
    /// HTTP method.
    pub method: String,
    /// Request path.
    pub path: String,
    /// Request body.
    pub body: String,
}

#[derive(Serialize)]
struct RunResponse<'a> {
    request_id: &'a str,
    ran: usize,
    echo: &'a str,
}

#[derive(Default)]
struct State {
    knobs: Knobs,
    runs: Vec<Run>,
}

/// A running plain service.
pub struct Plain {
    /// Address that it listens on.
    pub addr: SocketAddr,
}

#[derive(Default)]
struct Server {
    state: RefCell<State>,
}

impl Plain {
    /// Starts a plain service on the current runtime.
    ///
    /// # Errors
    /// Fails if `addr` can't be listened on.
    pub async fn bind(addr: SocketAddr, knobs: Knobs) -> io::Result<Self> {
        let server = Server::default();
        server.state.borrow_mut().knobs = knobs;
        let addr = serve(addr, Rc::new(server)).await?;
        Ok(Self { addr })
    }
}

impl Handler for Server {
    async fn handle(self: Rc<Self>, request: BufferedRequest) -> Option<Response<ResponseBody>> {
        match (&request.method, request.path.as_str()) {
            (&Method::POST, "/knobs") => Some(self.set_knobs(&request)),
            (&Method::GET, "/runs") => Some(json(&self.state.borrow().runs)),
            _ => self.run(&request).await,
        }
    }
}

impl Server {
    fn set_knobs(&self, request: &BufferedRequest) -> Response<ResponseBody> {
        match serde_json::from_slice(&request.body) {
            Ok(knobs) => {
                self.state.borrow_mut().knobs = knobs;
                status(StatusCode::OK)
            }
            Err(_) => status(StatusCode::BAD_REQUEST),
        }
    }

    async fn run(&self, request: &BufferedRequest) -> Option<Response<ResponseBody>> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let knobs = self.state.borrow().knobs.clone();
        let ran = self.record(request, &body);
        if !knobs.crash_marker.is_empty() && body.contains(&knobs.crash_marker) {
            std::process::abort();
        }
        compio::time::sleep(Duration::from_millis(knobs.delay_ms)).await;
        if self.take_dropped_response() {
            return None;
        }
        let request_id = request.header("x-request-id");
        let is_large = request.path.ends_with("/large");
        let least_bytes = if is_large { knobs.response_bytes } else { 0 };
        let echo = format!("{body:least_bytes$}");
        let mut response = json(&RunResponse {
            request_id,
            ran,
            echo: &echo,
        });
        if let Ok(id) = HeaderValue::from_str(request_id) {
            response.headers_mut().insert("x-request-id", id);
        }
        Some(response)
    }

    fn record(&self, request: &BufferedRequest, body: &str) -> usize {
        let mut state = self.state.borrow_mut();
        let run = Run {
            request_id: request.header("x-request-id").to_owned(),
            idempotency_key: request.header("idempotency-key").to_owned(),
            method: request.method.to_string(),
            path: request.path.clone(),
            body: body.to_owned(),
        };
        print_run(&run);
        state.runs.push(run);
        state.runs.len()
    }

    fn take_dropped_response(&self) -> bool {
        let mut state = self.state.borrow_mut();
        let drop = state.knobs.drop_replies > 0;
        state.knobs.drop_replies = state.knobs.drop_replies.saturating_sub(1);
        drop
    }
}
