use std::cell::Cell;
use std::io;
use std::rc::Rc;

use bytes::Bytes;
use http::Response;
use hyper::body::Incoming;
use tokio::sync::mpsc;

use super::client::{PeerClient, QueryError};
use super::server::{self, PeerHandler};
use super::{MEMBERS, frames};
use crate::event::Events;
use crate::front::Drain;
use crate::front::body::Answer;
use crate::front::in_flight::Tracker;
use crate::util::Name;

const PIECE: &[u8] = &[0; 64 << 10];

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

/// A peer answers a query without end. The answer may not fill the memory of the router that asked.
#[compio::test]
async fn answer_without_end_is_given_up() {
    let peer = EndlessPeer::default();
    let key: Name = "fleet-key-0123456789".into();
    let addr = "127.0.0.1:0".parse().unwrap();
    let events = Events::open("r".into(), "north".into(), None);
    let drain = Drain::new(events.clone());
    let addr = server::bind(addr, key.clone(), drain, peer.clone())
        .await
        .unwrap();
    let client = PeerClient::new(&key, events);
    let addr: Name = addr.to_string().as_str().into();
    let answer = client.query::<_, u8>(&addr, MEMBERS, &0_u8).await;
    let taken = peer.taken.get();
    assert!(taken <= 2 * frames::MAX_FRAME_BYTES, "{taken} bytes");
    assert!(matches!(answer, Err(QueryError::TooLong)), "{answer:?}");
}
