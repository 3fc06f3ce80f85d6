use std::net::SocketAddr;
use std::time::{Duration, Instant};

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;

use super::{Backend, BackendConfig, Knobs, id};

/// An upstream that publishes its entry to nobody.
async fn backend() -> SocketAddr {
    let config = BackendConfig {
        id: None,
        service: "s1".to_owned(),
        data_center: "dc-0".to_owned(),
        store: "127.0.0.1:9".parse().unwrap(),
        slots: 8,
        software: "v1".to_owned(),
        knobs: Knobs::default(),
    };
    let addr = "127.0.0.1:0".parse().unwrap();
    Backend::bind(addr, config).await.unwrap().addr
}

async fn send(addr: SocketAddr, path: &str, body: &str) -> TcpStream {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let length = body.len();
    let request = format!("POST {path} HTTP/1.1\r\ncontent-length: {length}\r\n\r\n{body}");
    stream.write_all(request.into_bytes()).await.0.unwrap();
    stream
}

async fn set_knobs(addr: SocketAddr, knobs: &str) {
    let mut stream = send(addr, "/knobs", knobs).await;
    read_until(&mut stream, "\r\n\r\n").await;
}

async fn read_some(stream: &mut TcpStream) -> String {
    let BufResult(read, bytes) = stream.read(Vec::with_capacity(4_096)).await;
    assert!(read.unwrap() > 0);
    String::from_utf8(bytes).unwrap()
}

/// Reads until the text received ends with `end`.
async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    while !text.ends_with(end) {
        let BufResult(read, bytes) = stream.read(Vec::with_capacity(4_096)).await;
        assert!(read.unwrap() > 0, "ended after {text:?}");
        text.push_str(&String::from_utf8(bytes).unwrap());
    }
    text
}

/// A silence that let bytes through, ended connections or lost events would show nothing about
/// routers that wait for its end.
#[compio::test]
async fn silent_upstream_sends_everything_afterwards() {
    const SILENCE: Duration = Duration::from_millis(600);
    let addr = backend().await;
    set_knobs(addr, r#"{"delay_ms":100}"#).await;
    let mut running = send(addr, "/stream", "8").await;
    read_until(&mut running, "data: 2 of 8\n\n\r\n").await;

    let begun = Instant::now();
    set_knobs(addr, r#"{"delay_ms":100,"silent_ms":600}"#).await;
    assert!(begun.elapsed() < SILENCE / 2);
    let mut new = send(addr, "/get", "1").await;
    let rest = read_until(&mut running, "data: 8 of 8\n\n\r\n0\r\n\r\n").await;
    assert!(begun.elapsed() >= SILENCE);
    // The run went on in the silence.
    assert!(begun.elapsed() < SILENCE + Duration::from_millis(250));
    let ids = rest.lines().filter_map(|l| l.strip_prefix("id: "));
    assert_eq!(ids.collect::<Vec<_>>(), ["3", "4", "5", "6", "7", "8"]);
    assert!(read_until(&mut new, "}").await.starts_with("HTTP/1.1 200"));
}

/// A stream whose upstream ends right after its head must have a head, or it shows nothing about
/// routers that forward it.
#[compio::test]
async fn head_only_stream_ends_after_its_head() {
    let addr = backend().await;
    set_knobs(addr, r#"{"spoil":"head_only","spoilt":1}"#).await;
    let mut stream = send(addr, "/stream", "3").await;
    let text = read_until(&mut stream, "\r\n\r\n").await;
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    let BufResult(read, _) = stream.read(Vec::with_capacity(64)).await;
    assert_eq!(read.unwrap(), 0);
}

/// A request that finds no slot must wait in one of the places, and only what finds none there is turned away.
#[compio::test]
async fn requests_wait_in_the_places_and_further_ones_are_turned_away() {
    let addr = backend().await;
    set_knobs(addr, r#"{"delay_ms":1000,"places":1,"brittle":"many"}"#).await;
    let mut streams = Vec::new();
    for _ in 0..10 {
        streams.push(send(addr, "/get", "").await);
        compio::time::sleep(Duration::from_millis(5)).await;
    }
    let mut answers = Vec::new();
    for stream in &mut streams {
        let text = read_some(stream).await;
        assert!(text.contains("server-brittle: many\r\n"), "{text}");
        answers.push(text);
    }
    let is_served = |text: &String| text.starts_with("HTTP/1.1 200");
    assert_eq!(answers.iter().filter(|text| is_served(text)).count(), 9);
    assert!(!is_served(&answers[9]), "{answers:?}");
    assert!(answers[9].contains("not-executed: 1"), "{answers:?}");
}

/// Two upstreams that start within one microsecond on different hosts, at the same port, must not
/// share an id: they would overwrite each other's entry in the store.
#[test]
fn upstreams_started_in_the_same_microsecond_get_different_ids() {
    let started = Duration::from_micros(1_760_000_000_123_456);
    let ids =
        ["127.9.1.100:7010", "127.9.1.101:7010"].map(|addr| id(addr.parse().unwrap(), started));
    assert_ne!(ids[0], ids[1]);
}
