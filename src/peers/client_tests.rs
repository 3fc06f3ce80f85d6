use std::cell::Cell;
use std::io::{self, Read, Write};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpListener;
use futures_util::future::{join_all, select, try_join_all};
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use test_case::test_case;
use tokio::sync::mpsc;

use super::client::{PeerClient, QueryError};
use super::server::{self, PeerHandler};
use super::{MEMBERS, frames};
use crate::event::Events;
use crate::front::Drain;
use crate::front::body::Answer;
use crate::front::in_flight::Tracker;
use crate::front::memory::ByteBudget;
use crate::path::call::Reply;
use crate::schema::peer::DelegatedRequest;
use crate::time_limit::within;
use crate::util::Name;

const PIECE: &[u8] = &[0; 64 << 10];
/// Requests that one router hands to another at a time.
const MAX_REQUESTS: usize = 1_000;
/// Bytes of an answer that are on their way while its caller reads nothing: windows, buffers and pieces.
const MAX_UNREAD_BYTES: usize = 5 * PIECE.len();
/// Time limit of whatever may not wait.
const TIME_LIMIT: Duration = Duration::from_secs(5);

/// A peer whose answers have no end. It counts the bytes that were taken from it.
#[derive(Clone, Default)]
struct EndlessPeer {
    taken: Rc<Cell<usize>>,
}

impl PeerHandler for EndlessPeer {
    async fn answer(&self, _path: &str, _body: Incoming, _: Tracker) -> Response<Answer> {
        let (tx, rx) = mpsc::channel::<io::Result<Bytes>>(1);
        let taken = self.taken.clone();
        compio::runtime::spawn(async move {
            while tx.send(Ok(Bytes::from_static(PIECE))).await.is_ok() {
                taken.set(taken.get() + PIECE.len());
            }
        })
        .detach();
        Response::new(Answer::Stream(rx))
    }
}

/// Starts `peer`, and returns a client and its address.
async fn start(peer: &EndlessPeer) -> (PeerClient, Name) {
    let key: Name = "fleet-key-0123456789".into();
    let addr = "127.0.0.1:0".parse().unwrap();
    let events = Events::open("r".into(), "north".into(), None);
    let drain = Drain::new(events.clone());
    let addr = server::bind(addr, key.clone(), 64, drain, peer.clone())
        .await
        .unwrap();
    let addr: Name = addr.to_string().as_str().into();
    (PeerClient::new(&key, events, ByteBudget::new(0)), addr)
}

/// A peer answers a query without end. The answer may not fill the memory of the router that asked.
#[compio::test]
async fn answer_without_end_is_given_up() {
    let peer = EndlessPeer::default();
    let (client, addr) = start(&peer).await;
    let answer = client.query::<_, u8>(&addr, MEMBERS, &0_u8).await;
    let taken = peer.taken.get();
    assert!(taken <= 2 * frames::MAX_FRAME_BYTES, "{taken} bytes");
    assert!(matches!(answer, Err(QueryError::TooLong)), "{answer:?}");
}

/// Only 200 requests at a time went on at the other router, a limit of the HTTP/2 library. All others waited
/// without an answer, until their deadline.
#[compio::test]
async fn as_many_requests_as_a_router_holds_go_on_at_another() {
    let peer = EndlessPeer::default();
    let (client, addr) = start(&peer).await;
    let request = DelegatedRequest::default();
    let _first = client.delegate(&addr, &request).await.unwrap();
    let delegations = (1..MAX_REQUESTS).map(|_| client.delegate(&addr, &request));
    let answers = within(TIME_LIMIT, try_join_all(delegations)).await;
    assert!(answers.is_ok_and(|a| a.is_ok()));
}

/// A router that gave another one as much as it takes waited for room until the deadline, though a further
/// router could have taken the request.
#[compio::test]
async fn router_that_takes_no_more_is_noticed_at_once() {
    let peer = EndlessPeer::default();
    let (client, addr) = start(&peer).await;
    let request = DelegatedRequest::default();
    let mut answers = Vec::new();
    let refusal = loop {
        let answer = within(TIME_LIMIT, client.delegate(&addr, &request)).await;
        match answer.expect("the request waits") {
            Ok(answer) => answers.push(answer),
            Err(e) => break e,
        }
    };
    assert!(refusal.to_string().contains("already"), "{refusal}");
    assert_eq!(answers.len(), MAX_REQUESTS);
    let answer = client.query::<_, u8>(&addr, MEMBERS, &0_u8).await;
    assert!(matches!(answer, Err(QueryError::TooLong)), "{answer:?}");
    answers.pop();
    assert!(client.delegate(&addr, &request).await.is_ok());
}

/// Three callers who read nothing used up the window of the connection, and held up the answers of all
/// others that came from the same router.
#[compio::test]
async fn callers_who_read_nothing_hold_up_no_others() {
    const UNREAD: usize = 40;
    const READ_BYTES: usize = 1 << 20;
    let peer = EndlessPeer::default();
    let (client, addr) = start(&peer).await;
    let request = DelegatedRequest::default();
    let _first = client.delegate(&addr, &request).await.unwrap();
    let unread = (1..UNREAD).map(|_| client.delegate(&addr, &request));
    let unread = try_join_all(unread).await.unwrap();
    compio::time::sleep(Duration::from_millis(300)).await;
    let taken = peer.taken.get();

    let (answer, _room) = client.delegate(&addr, &request).await.unwrap();
    let mut body = answer.into_body();
    let mut read = 0;
    while read < READ_BYTES {
        let frame = within(TIME_LIMIT, body.frame()).await;
        let frame = frame.expect("the answer is held up").unwrap().unwrap();
        read += frame.into_data().map_or(0, |data| data.len());
    }
    drop(unread);
    assert!(taken <= UNREAD * MAX_UNREAD_BYTES, "{taken} bytes");
}

/// Requests that came at once each opened a connection of their own to a router that they met for the first
/// time.
#[compio::test]
async fn requests_that_come_at_once_share_a_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr: Name = listener.local_addr().unwrap().to_string().as_str().into();
    let events = Events::open("r".into(), "north".into(), None);
    let client = PeerClient::new("fleet-key-0123456789", events, ByteBudget::new(0));
    let request = DelegatedRequest::default();
    let delegations = join_all((0..20).map(|_| client.delegate(&addr, &request)));
    let mut streams = Vec::new();
    let accept = async {
        loop {
            streams.push(listener.accept().await.unwrap());
        }
    };
    let both = async {
        select(pin!(delegations), pin!(accept)).await;
    };
    let _ = within(Duration::from_millis(500), both).await;
    assert_eq!(streams.len(), 1);
}

/// Frames of HTTP/2: type, flags, stream and payload.
fn h2_frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).unwrap().to_be_bytes();
    let mut frame = length[1..].to_vec();
    frame.extend([kind, flags]);
    frame.extend(stream.to_be_bytes());
    frame.extend(payload);
    frame
}

/// Answers the first request of a connection with a 200 and part of a body, and then sends `last`.
fn serve_part(listener: std::net::TcpListener, last: Vec<u8>) {
    const PREFACE_BYTES: usize = 24;
    const HEAD_BYTES: usize = 9;
    const HEADERS: u8 = 1;
    const DATA: u8 = 0;
    const SETTINGS: u8 = 4;
    const END_HEADERS: u8 = 4;
    /// The header field `:status: 200` of the static table.
    const STATUS_200: u8 = 0x88;
    let (mut stream, _) = listener.accept().unwrap();
    stream.read_exact(&mut [0; PREFACE_BYTES]).unwrap();
    stream.write_all(&h2_frame(SETTINGS, 0, 0, &[])).unwrap();
    let mut head = [0; HEAD_BYTES];
    while stream.read_exact(&mut head).is_ok() {
        let length = u32::from_be_bytes([0, head[0], head[1], head[2]]);
        let mut payload = vec![0; length as usize];
        stream.read_exact(&mut payload).unwrap();
        if head[3] != HEADERS {
            continue;
        }
        let answer = [
            h2_frame(HEADERS, END_HEADERS, 1, &[STATUS_200]),
            h2_frame(DATA, 0, 1, b"part"),
            last.clone(),
        ];
        stream.write_all(&answer.concat()).unwrap();
    }
}

/// Another router ends the stream of an answer without having sent all of it. The HTTP library takes one of the
/// ways for the end of the body.
#[test_case(h2_frame(0, 1, 1, &[]), true; "end of the stream")]
#[test_case(h2_frame(3, 0, 1, &[0, 0, 0, 0]), false; "reset without an error")]
#[test_case(h2_frame(3, 0, 1, &[0, 0, 0, 8]), false; "reset as cancelled")]
#[compio::test]
async fn answer_whose_stream_is_reset_is_not_whole(last: Vec<u8>, is_whole: bool) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr: Name = listener.local_addr().unwrap().to_string().as_str().into();
    std::thread::spawn(move || serve_part(listener, last));
    let events = Events::open("r".into(), "north".into(), None);
    let client = PeerClient::new("fleet-key-0123456789", events, ByteBudget::new(0));
    let request = DelegatedRequest::default();
    let (answer, room) = client.delegate(&addr, &request).await.unwrap();
    let (parts, body) = answer.into_parts();
    let reply = Reply::of_router("router-2".into(), parts, body, room);
    let whole = reply.buffer(TIME_LIMIT, &ByteBudget::new(0)).await;
    assert_eq!(whole.is_some(), is_whole);
}
