use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpListener;

use super::suspects::is_up;

/// A crashing process can still accept a connection before its listening socket closes. If that
/// counted as up, the request would not be suspected and would crash one upstream after another.
#[compio::test]
async fn upstream_that_accepts_and_closes_a_connection_is_down() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let crashing = async {
        let (stream, _) = listener.accept().await.unwrap();
        drop(stream);
    };
    let (is_up, ()) = futures_util::join!(is_up(&addr), crashing);
    assert!(!is_up);
}

/// After a network fault the upstream still answers, so the request must not be suspected.
#[compio::test]
async fn upstream_that_answers_is_up() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let answering = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _request = stream.read(Vec::with_capacity(256)).await.unwrap();
        let answer = "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(answer).await.0.unwrap();
    };
    let (is_up, ()) = futures_util::join!(is_up(&addr), answering);
    assert!(is_up);
}
