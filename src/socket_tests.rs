use std::time::Duration;

use compio::net::{TcpListener, TcpStream};
use socket2::SockRef;
use test_case::test_case;

use super::{OtherEnd, set_keepalive};

/// Longest silence of a sound upstream that its connections must outlive.
const SILENCE: Duration = Duration::from_secs(2);

async fn connect(other_end: OtherEnd) -> TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await;
    let stream = stream.unwrap();
    set_keepalive(&stream, other_end);
    stream
}

/// Data sent into a silence of an upstream is acknowledged after it, at most as late again as the silence was
/// long. A connection that is closed before ends answers that are alive.
#[compio::test]
async fn connection_to_an_upstream_outlives_a_silence() {
    let stream = connect(OtherEnd::Upstream).await;
    let limit = SockRef::from(&stream).tcp_user_timeout().unwrap();
    assert!(limit.is_some_and(|limit| limit >= 2 * SILENCE), "{limit:?}");
}

/// The other end loses power, and its connections stay open without an answer.
#[test_case(OtherEnd::Plain, 2; "other router or caller")]
#[test_case(OtherEnd::Upstream, 5; "upstream")]
#[compio::test]
async fn connection_to_a_dead_host_ends(other_end: OtherEnd, within_s: u64) {
    let stream = connect(other_end).await;
    let socket = SockRef::from(&stream);
    let limit = socket.tcp_user_timeout().unwrap();
    assert!(limit.is_some_and(|limit| limit <= Duration::from_secs(within_s)));
    assert!(socket.keepalive().unwrap());
    assert_eq!(socket.tcp_keepalive_time().unwrap(), Duration::from_secs(1));
    assert_eq!(
        socket.tcp_keepalive_interval().unwrap(),
        Duration::from_secs(1)
    );
}
