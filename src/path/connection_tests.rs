use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpListener;
use futures_util::future::join;
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use http_body_util::Full;
use test_case::test_case;

use super::connection::{self, ConnectionPool};
use super::upstreams::Upstream;
use crate::decide::connections::ConnectionQuota;

const QUOTA: ConnectionQuota = ConnectionQuota { open: 8, idle: 8 };

/// Sends a request to an upstream that sends `answer`, and returns the status.
async fn status_of(answer: String) -> Option<StatusCode> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut opened = connection::open(listener.local_addr().unwrap(), Duration::from_secs(1))
        .await
        .unwrap();
    let answers = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _request = stream.read(Vec::with_capacity(4_096)).await.0.unwrap();
        // The router may close the connection first.
        let _ = stream.write_all(answer.into_bytes()).await;
        stream
    };
    let request = Request::new(Full::new(Bytes::new()));
    let (_stream, sent) = join(answers, opened.send(request)).await;
    sent.ok().map(|answer| answer.status())
}

fn upstream(addr: SocketAddr, started_ms: u64) -> Upstream {
    Upstream {
        id: "i-1".into(),
        service: "s".into(),
        addr,
        data_center: "north".into(),
        slots: 8,
        started_ms,
        draining: false,
        cold_ms: 0,
        software: None,
    }
}

/// An upstream restarts under its id, and nothing closed the connections to its former start. None
/// of them may be used: requests on it would wait for their time limit.
#[test_case(7, true; "same start")]
#[test_case(8, false; "later start")]
#[test_case(6, false; "start after a step back of the clock")]
#[compio::test]
async fn connections_end_with_the_upstreams_start(started_ms: u64, is_reused: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let mut opened = connection::open(addr, Duration::from_secs(1))
        .await
        .unwrap();
    opened.sender.ready().await.unwrap();
    let _accepted = listener.accept().await.unwrap();
    let pool = ConnectionPool::default();
    pool.put_back(&upstream(addr, 7), opened, &HeaderMap::new(), QUOTA);
    let idle = pool.take_idle(&upstream(addr, started_ms));
    assert_eq!(idle.is_some(), is_reused);
}

/// An upstream states an idle timeout beyond any clock, and the router that adds it to the time ends.
#[test_case("timeout=0", false; "zero")]
#[test_case("timeout=1", true; "one")]
#[test_case("timeout=18446744073709551615", true; "the largest number")]
#[test_case("timeout=18446744073709551616", true; "one above the largest number")]
#[test_case("timeout=-1", true; "negative")]
#[test_case("timeout=NaN", true; "not a number")]
#[test_case("timeout=", true; "empty")]
#[test_case("max=5, timeout=9223372036854775808", true; "beside another parameter")]
#[compio::test]
async fn any_stated_idle_timeout_is_bounded(keep_alive: &'static str, is_reused: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let upstream = upstream(listener.local_addr().unwrap(), 7);
    let mut opened = connection::open(upstream.addr, Duration::from_secs(1))
        .await
        .unwrap();
    opened.sender.ready().await.unwrap();
    let _accepted = listener.accept().await.unwrap();
    let mut answer = HeaderMap::new();
    answer.insert("keep-alive", HeaderValue::from_static(keep_alive));
    let pool = ConnectionPool::default();
    pool.put_back(&upstream, opened, &answer, QUOTA);
    assert_eq!(pool.take_idle(&upstream).is_some(), is_reused);
}

/// The heads of many answers without end arrive at once. Each takes memory up to the limit before
/// it is known to be none: with the library's limit of 408 KB, a thousand take more than a router
/// of the smallest site has.
#[test_case(16 << 10, true; "as large as that of a caller")]
#[test_case(60 << 10, true; "below the limit")]
#[test_case(68 << 10, false; "above the limit")]
#[compio::test]
async fn head_of_an_answer_is_bounded(bytes: usize, is_answer: bool) {
    let filler = "x".repeat(bytes);
    let answer = format!("HTTP/1.1 200 OK\r\nfiller: {filler}\r\ncontent-length: 0\r\n\r\n");
    let wanted = is_answer.then_some(StatusCode::OK);
    assert_eq!(status_of(answer).await, wanted);
}

/// An upstream sends informational responses, whose number is its own choice, before an answer. Those
/// of a long run don't spoil the answer; more than fit a head may be without end.
#[test_case(0, true; "none")]
#[test_case(1_000, true; "one a second of a long run")]
#[test_case(10_000, false; "too many")]
#[compio::test]
async fn informational_responses_are_bounded(count: usize, is_answer: bool) {
    let informational = "HTTP/1.1 102 Processing\r\nretry-after: 1\r\n\r\n".repeat(count);
    let answer = format!("{informational}HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
    let wanted = is_answer.then_some(StatusCode::OK);
    assert_eq!(status_of(answer).await, wanted);
}
