use std::time::Duration;

use bytes::Bytes;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpListener;
use futures_util::future::join;
use http::{Request, StatusCode};
use http_body_util::Full;
use test_case::test_case;

use super::connection;

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
