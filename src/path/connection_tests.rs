use std::net::SocketAddr;
use std::time::Duration;

use compio::net::TcpListener;
use http::{HeaderMap, HeaderValue};
use test_case::test_case;

use super::connection::ConnectionPool;
use super::upstreams::Upstream;
use crate::decide::connections::ConnectionQuota;
use crate::http1;

const QUOTA: ConnectionQuota = ConnectionQuota { open: 8, idle: 8 };

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
    let mut opened = http1::open(addr, Duration::from_secs(1)).await.unwrap();
    opened.ready().await.unwrap();
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
    let mut opened = http1::open(upstream.addr, Duration::from_secs(1))
        .await
        .unwrap();
    opened.ready().await.unwrap();
    let _accepted = listener.accept().await.unwrap();
    let mut answer = HeaderMap::new();
    answer.insert("keep-alive", HeaderValue::from_static(keep_alive));
    let pool = ConnectionPool::default();
    pool.put_back(&upstream, opened, &answer, QUOTA);
    assert_eq!(pool.take_idle(&upstream).is_some(), is_reused);
}
