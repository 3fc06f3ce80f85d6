use std::io::Write;
use std::net::TcpStream as StdStream;
use std::time::{Duration, Instant};

use compio::BufResult;
use compio::io::{AsyncRead, AsyncReadExt};
use compio::net::{TcpListener, TcpStream};
use futures_util::future::join_all;
use test_case::test_case;
use tokio::sync::oneshot;

use super::{Elapsed, within};

/// Time without processor time, and limits that run out within it.
const STALL: Duration = Duration::from_millis(600);
const LIMIT: Duration = Duration::from_millis(200);
const CONNECTIONS: usize = 40;

/// Connections, and their other ends.
async fn connect() -> (Vec<TcpStream>, Vec<StdStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (mut own, mut others) = (Vec::new(), Vec::new());
    for _ in 0..CONNECTIONS {
        others.push(StdStream::connect(addr).unwrap());
        own.push(listener.accept().await.unwrap().0);
    }
    (own, others)
}

/// Lets all tasks begin to wait, writes to the connections while this thread stands still past their limits,
/// and returns.
async fn stall(others: &mut [StdStream]) {
    compio::time::sleep(Duration::from_millis(20)).await;
    for other in others {
        other.write_all(b"head body").unwrap();
    }
    std::thread::sleep(STALL);
}

/// Reads a head and a body, each with a read of its own, in a task that passes them on.
async fn read_in_task(mut stream: TcpStream) -> Result<Vec<u8>, Elapsed> {
    let (tx, rx) = oneshot::channel();
    compio::runtime::spawn(async move {
        let BufResult(head, _) = stream.read_exact(vec![0; 5]).await;
        head.unwrap();
        let BufResult(body, bytes) = stream.read(Vec::with_capacity(4)).await;
        body.unwrap();
        let _ = tx.send(bytes);
    })
    .detach();
    within(LIMIT, rx).await.map(Result::unwrap)
}

/// A process goes on after a stall: data has arrived on all its connections and all its limits have run out.
/// Those that count first end requests that are answered.
#[compio::test]
async fn what_arrived_during_a_stall_is_in_time() {
    let (own, mut others) = connect().await;
    let reads = own
        .into_iter()
        .map(|stream| compio::runtime::spawn(read_in_task(stream)));
    let reads: Vec<_> = reads.collect();
    stall(&mut others).await;
    let results = join_all(reads).await;
    let late = results
        .iter()
        .filter(|r| !matches!(r, Ok(Ok(bytes)) if bytes == b"body"));
    assert_eq!(late.count(), 0);
}

/// A connection is established during a stall, and counts as failed.
#[compio::test]
async fn connection_established_during_a_stall_is_in_time() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let connects = (0..CONNECTIONS).map(|_| within(LIMIT, TcpStream::connect(addr)));
    let stalled = async { std::thread::sleep(STALL) };
    let (connected, ()) = futures_util::future::join(join_all(connects), stalled).await;
    assert_eq!(connected.iter().filter(|c| c.is_err()).count(), 0);
}

/// A limit that never ends what doesn't come leaves callers without an answer.
#[test_case(Duration::ZERO; "without a stall")]
#[test_case(STALL; "with a stall")]
#[compio::test]
async fn what_does_not_arrive_is_late(stall: Duration) {
    let started = Instant::now();
    let waits = within(LIMIT, std::future::pending::<()>());
    let stalled = async { std::thread::sleep(stall) };
    let (result, ()) = futures_util::future::join(waits, stalled).await;
    assert_eq!(result, Err(Elapsed));
    assert!(started.elapsed() >= LIMIT);
}

/// A limit that has already passed ends a request whose answer is there.
#[compio::test]
async fn what_is_ready_is_never_late() {
    for _ in 0..CONNECTIONS {
        assert_eq!(within(Duration::ZERO, async { 1 }).await, Ok(1));
    }
}
