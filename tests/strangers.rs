//! Unauthorised connections at the peer and operator ports: no wrong key is accepted.

mod support;

use std::net::SocketAddr;

use compio::net::TcpStream;
use cyper_core::{CompioTimer, HyperStream};
use http::header::AUTHORIZATION;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty};
use hyper::body::Bytes;
use hyper::rt::Executor;
use support::{Fleet, Shape};

const SHAPE: Shape = Shape {
    routers: 1,
    engines: 1,
    plains: 1,
};

/// Paths of requests between routers.
const PATHS: [&str; 3] = ["/forward", "/config", "/no-such"];

#[derive(Clone, Copy)]
struct LocalExecutor;

impl<F: Future + 'static> Executor<F> for LocalExecutor {
    fn execute(&self, fut: F) {
        compio::runtime::spawn(async {
            fut.await;
        })
        .detach();
    }
}

/// The status of one HTTP/2 request with this key, or with none.
async fn request(addr: SocketAddr, path: &str, key: Option<&str>) -> (StatusCode, Bytes) {
    let stream = TcpStream::connect(addr).await.unwrap();
    let (mut send, conn) = hyper::client::conn::http2::Builder::new(LocalExecutor)
        .timer(CompioTimer)
        .handshake(HyperStream::new_plain(stream))
        .await
        .unwrap();
    compio::runtime::spawn(async {
        let _ = conn.await;
    })
    .detach();
    let mut request = Request::post(format!("http://{addr}{path}"));
    if let Some(key) = key {
        request = request.header(AUTHORIZATION, key);
    }
    let request = request.body(Empty::<Bytes>::new()).unwrap();
    let response = send.send_request(request).await.unwrap();
    let status = response.status();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    (status, body)
}

/// Without the fleet key, any client that can reach a peer port could run requests in any account's
/// name.
#[compio::test]
async fn peers_need_the_fleet_key() {
    let fleet = Fleet::start(SHAPE).await;
    let addr = fleet.peer(0);
    // None, too short, one byte off, too long, and the key of operators.
    let wrong_keys = [
        None,
        Some("fleet-key"),
        Some("fleet-key-0123456780"),
        Some("fleet-key-01234567890"),
        Some(support::OPERATOR_KEY),
    ];
    for path in PATHS {
        for key in wrong_keys {
            let (status, body) = request(addr, path, key).await;
            assert_eq!(status, StatusCode::UNAUTHORIZED, "{path} {key:?}");
            assert!(body.is_empty());
        }
    }
    let (status, _) = request(addr, "/no-such", Some("fleet-key-0123456789")).await;
    assert_ne!(
        status,
        StatusCode::UNAUTHORIZED,
        "the right key must be accepted"
    );
}

/// Unauthorised clients keep many connections open to the admin pages and the operator port:
/// callers are still served, and operators too once these clients disconnect.
#[compio::test]
async fn idle_unauthorised_connections_block_no_caller() {
    let fleet = Fleet::start(SHAPE).await;
    let mut connections = Vec::new();
    for _ in 0..200 {
        for addr in [fleet.admin(0), fleet.operator_addr(0)] {
            connections.push(std::net::TcpStream::connect(addr).unwrap());
        }
    }
    let answer = support::call(fleet.caller(0), "GET", "/v1/entry", &[], "").await;
    assert_eq!(answer.unwrap().status, 200);
    drop(connections);
    support::wait_until("operators", || async {
        match fleet.operator(0).await {
            Ok(mut operator) => operator.config().await.is_ok(),
            Err(_) => false,
        }
    })
    .await;
    let page = support::get(fleet.admin(0), "/healthz").await;
    assert_eq!(page.as_deref(), Some("ok\n"));
}
