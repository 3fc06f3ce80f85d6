use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpListener;

use super::suspects::is_up;

/// A request crashes its upstream: the call breaks, and while the process ends its socket still takes a connection. Held
/// for up, it isn't counted, and the request crashes the next one, and the one after that.
#[compio::test]
async fn upstream_that_takes_a_connection_while_it_dies_is_down() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let dying = async {
        let (stream, _) = listener.accept().await.unwrap();
        drop(stream);
    };
    let (is_up, ()) = futures_util::join!(is_up(&addr), dying);
    assert!(!is_up);
}

/// The network broke a call; its upstream goes on, and the request isn't to blame.
#[compio::test]
async fn upstream_that_answers_is_up() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let answering = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _question = stream.read(Vec::with_capacity(256)).await.unwrap();
        let answer = "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(answer).await.0.unwrap();
    };
    let (is_up, ()) = futures_util::join!(is_up(&addr), answering);
    assert!(is_up);
}
