use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::mpsc;

use super::batches::{Batches, OVERDUE, Ticket, WriteCall};
use crate::decide::Origin;
use crate::time_limit::within;

const SOON: Duration = Duration::from_secs(2);

fn origin() -> Origin {
    Origin {
        service: "s".into(),
        software: Some("v1".into()),
    }
}

fn open() -> (Rc<Batches>, mpsc::Receiver<WriteCall>) {
    let (writes, calls) = mpsc::channel(1);
    let batches = Rc::new(Batches::default());
    batches.set_store(writes);
    (batches, calls)
}

async fn next(calls: &mut mpsc::Receiver<WriteCall>) -> WriteCall {
    within(SOON, calls.recv()).await.unwrap().unwrap()
}

async fn is_stored(ticket: Ticket) -> bool {
    within(SOON, ticket).await.unwrap().unwrap_or(false)
}

fn streams(call: &WriteCall) -> Vec<u64> {
    let mut streams: Vec<u64> = call.streams.values().flatten().copied().collect();
    streams.sort_unstable();
    streams
}

/// A stream that begins alone would wait for an interval.
#[compio::test]
async fn lone_stream_is_written_at_once() {
    let (batches, mut calls) = open();
    let began = Instant::now();
    let ticket = batches.add(&origin(), &[1]);
    let call = next(&mut calls).await;
    assert!(began.elapsed() < Duration::from_millis(25));
    call.reply.send(()).unwrap();
    assert!(is_stored(ticket).await);
}

/// A stream would count as stored before the write that holds it was acknowledged, as an earlier one was.
#[compio::test]
async fn streams_added_during_a_write_are_in_the_next_one() {
    let (batches, mut calls) = open();
    let first = batches.add(&origin(), &[1]);
    let call = next(&mut calls).await;
    let mut later = batches.add(&origin(), &[2]);
    let last = batches.add(&origin(), &[3]);
    call.reply.send(()).unwrap();
    assert!(is_stored(first).await);
    let call = next(&mut calls).await;
    assert_eq!(streams(&call), [2, 3]);
    assert!(later.try_recv().is_err());
    call.reply.send(()).unwrap();
    assert!(is_stored(later).await && is_stored(last).await);
}

/// Streams that begin one after the other would cost a call each, more than a store takes.
#[compio::test]
async fn writes_of_many_streams_are_bounded() {
    let (batches, mut calls) = open();
    let began = Instant::now();
    let mut writes = 0_u32;
    for stream in 0..100 {
        let _ticket = batches.add(&origin(), &[stream]);
        compio::time::sleep(Duration::from_millis(4)).await;
        while let Ok(call) = calls.try_recv() {
            call.reply.send(()).unwrap();
            writes += 1;
        }
    }
    let most = began.elapsed().as_millis() / 30 + 1;
    assert!(writes > 2 && u128::from(writes) <= most, "{writes} writes");
}

/// Each stream that begins while the store fails would wait for it.
#[compio::test]
async fn failed_write_is_known_until_one_succeeds() {
    let (batches, mut calls) = open();
    let ticket = batches.add(&origin(), &[1]);
    assert!(!batches.is_failing());
    drop(next(&mut calls).await);
    assert!(!is_stored(ticket).await);
    assert!(batches.is_failing());
    // Its streams are written again.
    let call = next(&mut calls).await;
    assert_eq!(streams(&call), [1]);
    call.reply.send(()).unwrap();
    let ticket = batches.add(&origin(), &[2]);
    next(&mut calls).await.reply.send(()).unwrap();
    assert!(is_stored(ticket).await);
    assert!(!batches.is_failing());
}

/// A store that hangs would be noticed only after the time limit of its calls.
#[compio::test]
async fn overdue_write_is_known() {
    let (batches, mut calls) = open();
    let ticket = batches.add(&origin(), &[1]);
    let call = next(&mut calls).await;
    compio::time::sleep(OVERDUE * 2).await;
    assert!(batches.is_failing());
    call.reply.send(()).unwrap();
    assert!(is_stored(ticket).await);
    assert!(!batches.is_failing());
}

/// A router whose store was never opened would hold up its streams.
#[test]
fn nobody_waits_without_a_store() {
    let batches = Batches::default();
    assert!(batches.is_failing());
    assert!(batches.add(&origin(), &[1]).try_recv().is_err());
}
