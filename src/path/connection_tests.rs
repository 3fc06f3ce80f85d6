use std::time::Duration;

use compio::net::TcpListener;
use http::HeaderMap;
use test_case::test_case;

use super::connection::{self, ConnectionPool};
use super::upstreams::Upstream;
use crate::decide::connections::ConnectionQuota;

const QUOTA: ConnectionQuota = ConnectionQuota { open: 8, idle: 8 };

/// An upstream restarts under its id, and nothing closed the connections to its former start. None
/// of them may be used: requests on it would wait for their time limit.
#[test_case(7, true; "same start")]
#[test_case(8, false; "later start")]
#[test_case(6, false; "start after a step back of the clock")]
#[compio::test]
async fn connections_end_with_the_upstreams_start(started_ms: u64, is_reused: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let upstream = |started_ms| Upstream {
        id: "i-1".into(),
        service: "s".into(),
        addr,
        data_center: "north".into(),
        slots: 8,
        started_ms,
        draining: false,
        cold_ms: 0,
    };
    let mut opened = connection::open(addr, Duration::from_secs(1))
        .await
        .unwrap();
    opened.sender.ready().await.unwrap();
    let _accepted = listener.accept().await.unwrap();
    let pool = ConnectionPool::default();
    pool.put_back(&upstream(7), opened, &HeaderMap::new(), QUOTA);
    assert_eq!(pool.take_idle(&upstream(started_ms)).is_some(), is_reused);
}
