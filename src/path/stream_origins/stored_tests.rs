use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join;
use futures_util::future::join_all;
use tokio::sync::mpsc;

use super::stored::{OriginLog, ReadCall, Stored, StreamsByOrigin};
use crate::decide::Origin;
use crate::time_limit::within;

/// Fleets whose routers may read every 250 ms, and every 20 s.
const SMALL_FLEET: usize = 3;
const LARGE_FLEET: usize = 985;

fn origin(software: &str) -> Origin {
    Origin {
        service: "s".into(),
        software: Some(software.into()),
    }
}

fn open() -> (Rc<Stored>, mpsc::Receiver<ReadCall>) {
    let (writes, _) = mpsc::channel(1);
    let (reads, calls) = mpsc::channel(1);
    let stored = Rc::new(Stored::default());
    stored.set_store(OriginLog { writes, reads });
    (stored, calls)
}

async fn next(calls: &mut mpsc::Receiver<ReadCall>) -> ReadCall {
    let call = within(Duration::from_secs(2), calls.recv()).await;
    call.unwrap().unwrap()
}

fn holds(streams: &[(u64, &str)]) -> Vec<StreamsByOrigin> {
    let one = |(stream, software): &(u64, &str)| [(origin(software), vec![*stream])].into();
    streams.iter().map(one).collect()
}

/// A stream that was stored after a read began would be unknown by that read.
#[compio::test]
async fn stream_taken_up_during_a_read_waits_for_the_next_one() {
    let (stored, mut calls) = open();
    let (first, later) = (stored.clone(), stored.clone());
    let first = compio::runtime::spawn(async move { first.find(1, SMALL_FLEET, 1).await });
    let call = next(&mut calls).await;
    let later = compio::runtime::spawn(async move { later.find(2, SMALL_FLEET, 2).await });
    compio::time::sleep(Duration::from_millis(10)).await;
    call.send(holds(&[(1, "v1")])).unwrap();
    assert_eq!(first.await.unwrap(), Some(origin("v1")));
    let call = next(&mut calls).await;
    call.send(holds(&[(1, "v1"), (2, "v2")])).unwrap();
    assert_eq!(later.await.unwrap(), Some(origin("v2")));
}

/// Many streams that are taken up at once would cost a read each.
#[compio::test]
async fn one_read_serves_all_that_wait() {
    let (stored, mut calls) = open();
    let found = join_all((0..20).map(|stream| stored.find(stream, SMALL_FLEET, 1)));
    let answered = async {
        let call = next(&mut calls).await;
        compio::time::sleep(Duration::from_millis(20)).await;
        call.send(holds(&[(3, "v1")])).unwrap();
    };
    let (found, ()) = join(found, answered).await;
    assert_eq!(found.iter().flatten().count(), 1);
    assert!(calls.try_recv().is_err());
}

/// A large fleet would read more often than its store takes, or its callers would wait for a read that
/// can't come in time.
#[compio::test]
async fn routers_of_a_large_fleet_read_seldom() {
    let (stored, mut calls) = open();
    let (found, ()) = join(stored.find(1, LARGE_FLEET, 1), async {
        next(&mut calls).await.send(holds(&[])).unwrap();
    })
    .await;
    assert_eq!(found, None);
    let began = Instant::now();
    assert_eq!(stored.find(1, LARGE_FLEET, 300).await, None);
    assert!(began.elapsed() < Duration::from_millis(100));
    assert!(calls.try_recv().is_err());
}

/// A read that failed would say that the stream is unknown.
#[compio::test]
async fn failed_read_is_made_again() {
    let (stored, mut calls) = open();
    let (found, ()) = join(stored.find(1, LARGE_FLEET, 1), async {
        drop(next(&mut calls).await);
        next(&mut calls).await.send(holds(&[(1, "v1")])).unwrap();
    })
    .await;
    assert_eq!(found, Some(origin("v1")));
}

/// A stream with records of two origins would go on at either.
#[compio::test]
async fn contradicting_records_say_nothing() {
    let (stored, mut calls) = open();
    let records = [(1, "v1"), (1, "v2"), (2, "v1"), (2, "v1")];
    let found = join(
        stored.find(1, SMALL_FLEET, 1),
        stored.find(2, SMALL_FLEET, 1),
    );
    let (found, ()) = join(found, async {
        next(&mut calls).await.send(holds(&records)).unwrap();
    })
    .await;
    assert_eq!(found, (None, Some(origin("v1"))));
}

/// The store hangs. A caller would wait for it until its own time limit.
#[compio::test]
async fn wait_for_a_read_is_bounded() {
    let (stored, mut calls) = open();
    let began = Instant::now();
    assert_eq!(stored.find(1, SMALL_FLEET, 1).await, None);
    assert!(began.elapsed() < Duration::from_millis(900));
    assert!(calls.try_recv().is_ok());
}
