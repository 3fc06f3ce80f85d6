use std::cell::Cell;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpListener;
use futures_util::future::join;
use http::{HeaderMap, Request};
use test_case::test_case;

use super::call::{Call, FailureKind, UpstreamClient};
use super::connection::ConnectionPool;
use super::freshness::{Evidence, StreamFreshness};
use super::regions::Regions;
use super::router_state::{RetryLimit, RouterState};
use super::suspend::SuspendGuard;
use super::upstreams::Upstream;
use crate::decide::connections::ConnectionQuota;
use crate::fleet::gossip::Gossip;
use crate::fleet::log_reads::ReadSchedule;
use crate::platform::Headers;
use crate::util::Clock;

/// An upstream on a socket of the test, and a client that calls it.
struct Fixture {
    listener: TcpListener,
    state: Rc<RouterState>,
    upstream: Rc<Upstream>,
    connections: ConnectionPool,
    now_ms: &'static AtomicU64,
    clock: Clock,
    fresh: StreamFreshness,
}

impl Fixture {
    async fn open() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (gossip, _, _) = Gossip::open();
        let limit = RetryLimit {
            share: 0.2,
            burst: 10.0,
        };
        let regions = Regions::parse("north=home");
        let state = Rc::new(RouterState::new(limit, "north".into(), regions, gossip));
        let upstream = Rc::new(Upstream {
            id: "i-1".into(),
            service: "s".into(),
            addr: listener.local_addr().unwrap(),
            data_center: "north".into(),
            slots: 8,
            started_ms: 5,
            draining: false,
            cold_ms: 0,
            software: None,
        });
        state.change_upstreams(|upstreams| upstreams.put((*upstream).clone()));
        let now_ms: &'static AtomicU64 = Box::leak(Box::new(AtomicU64::new(10_000)));
        let clock = Clock::set_by(now_ms);
        let fresh = StreamFreshness::new(
            "upstreams",
            clock,
            Rc::new(SuspendGuard::new(clock)),
            ReadSchedule::within(2_000.0),
            Rc::default(),
        );
        fresh.confirm(clock.now_ms(), Evidence::Log);
        Self {
            listener,
            state,
            upstream,
            connections: ConnectionPool::default(),
            now_ms,
            clock,
            fresh,
        }
    }

    fn pass(&self, ms: u64) {
        self.now_ms.fetch_add(ms, Ordering::Relaxed);
    }

    /// Calls the upstream on behalf of request `request_id`, on a connection of the pool if it has
    /// one, and returns why that failed.
    async fn call(&self, request_id: Option<&str>) -> Option<FailureKind> {
        let (parts, ()) = Request::new(()).into_parts();
        let call = Call {
            request: &parts,
            headers: HeaderMap::new(),
            body: Bytes::new(),
            request_id,
            new_connection: false,
            timeout: Duration::from_secs(5),
            is_sent: &Cell::new(false),
        };
        let client = UpstreamClient {
            state: &self.state,
            connections: &self.connections,
            quota: ConnectionQuota { open: 4, idle: 4 },
            clock: self.clock,
            upstreams_fresh: &self.fresh,
        };
        let called = client.call::<Headers>(self.upstream.clone(), call).await;
        called.err().map(|failed| failed.kind)
    }
}

/// An upstream announces its shutdown after it was chosen for a request and before the connection
/// to it is open. No byte of the request may be sent to it.
#[compio::test]
async fn upstream_that_withdraws_while_connecting_gets_no_bytes() {
    let fixture = Fixture::open().await;
    let Fixture {
        state, upstream, ..
    } = &fixture;
    state.change_upstreams(|upstreams| upstreams.record_leaving(upstream, 1));
    assert_eq!(fixture.call(None).await, Some(FailureKind::Withheld));
    let (mut stream, _) = fixture.listener.accept().await.unwrap();
    let BufResult(read, _) = stream.read(Vec::with_capacity(64)).await;
    assert_eq!(read.unwrap(), 0, "the connection ends without a byte");
}

/// The log answers nobody, and a request has waited for a newer copy of the upstreams. It is sent: if the
/// copy's age withheld it, it would open and close connections until its deadline.
#[compio::test]
async fn request_that_an_old_copy_decides_is_sent() {
    let fixture = Fixture::open().await;
    fixture.pass(1_900);
    assert_eq!(fixture.call(None).await, Some(FailureKind::Withheld));
    fixture.fresh.refresh_if_needed();
    fixture.pass(401);
    let answers = async {
        let (withheld, _) = fixture.listener.accept().await.unwrap();
        drop(withheld);
        let (mut stream, _) = fixture.listener.accept().await.unwrap();
        let BufResult(read, _) = stream.read(Vec::with_capacity(4_096)).await;
        read.unwrap()
    };
    let (sent, failed) = join(answers, fixture.call(None)).await;
    assert!(sent > 0, "{failed:?}");
    assert_eq!(failed, Some(FailureKind::Lost), "closed without an answer");
}

/// An upstream that is full sends its rejection of one request a second time, where the answer to the
/// next one is expected. The router may not take that request for one that did not run, nor use the
/// connection again, on which its answer is still to come.
#[test_case("503 Service Unavailable", "Not-Executed: 1\r\n"; "rejection")]
#[test_case("421 Misdirected Request", ""; "another incarnation")]
#[compio::test]
async fn copy_of_a_rejection_rejects_no_other_request(status: &'static str, header: &'static str) {
    let fixture = Fixture::open().await;
    let answers = async {
        let (mut stream, _) = fixture.listener.accept().await.unwrap();
        let rejection =
            format!("HTTP/1.1 {status}\r\nattempt-id: first\r\n{header}content-length: 0\r\n\r\n");
        for _ in 0..2 {
            let BufResult(read, _) = stream.read(Vec::with_capacity(4_096)).await;
            assert!(read.unwrap() > 0, "a request");
            let sent = stream.write_all(rejection.clone().into_bytes()).await;
            sent.0.unwrap();
        }
        stream
    };
    let calls = async {
        let rejected = fixture.call(Some("first")).await;
        assert!(matches!(
            rejected,
            Some(FailureKind::Rejected | FailureKind::Replaced)
        ));
        assert_eq!(fixture.call(Some("second")).await, Some(FailureKind::Lost));
    };
    let (_stream, ()) = join(answers, calls).await;
    let idle = fixture.connections.take_idle(&fixture.upstream);
    assert!(idle.is_none(), "the connection is used again");
}
