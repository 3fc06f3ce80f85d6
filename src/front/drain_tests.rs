use std::future::poll_fn;
use std::pin::pin;
use std::task::Poll;
use std::time::{Duration, Instant};

use futures_util::future::join;

use super::drain::{Drain, Phase, Schedule};
use super::in_flight::ConnectionEnd;
use crate::event::Events;

/// Longer than a stop without requests takes.
const LONGER: Duration = Duration::from_millis(500);
const LIMIT: Duration = Duration::from_secs(30);

fn drain() -> Drain {
    Drain::new(Events::open("router".into(), "north".into(), None))
}

/// A request arrives after the last one was answered, just before the process exits, and ends
/// without an answer.
#[compio::test]
async fn request_that_arrives_last_is_waited_for() {
    let drain = drain();
    let mut idle = pin!(drain.wait_until_idle(LIMIT));
    poll_fn(|cx| {
        assert!(idle.as_mut().poll(cx).is_pending());
        Poll::Ready(())
    })
    .await;
    let last = drain.begin(&ConnectionEnd::default());
    let early = compio::time::timeout(LONGER, idle.as_mut()).await;
    assert!(early.is_err(), "{early:?} in flight at the end");
    drop(last);
    assert_eq!(idle.await, 0);
}

/// A request never ends: the process exits once the limit has passed.
#[compio::test]
async fn wait_ends_at_the_limit() {
    let drain = drain();
    let _endless = drain.begin(&ConnectionEnd::default());
    assert_eq!(drain.wait_until_idle(LONGER).await, 1);
}

/// A process gets no processor time when its announcement ends, and takes what arrived after it before the
/// timer that ends the announcement.
#[compio::test]
async fn phase_goes_on_by_the_clock() {
    let drain = drain();
    let now = Instant::now();
    let later = now + LIMIT;
    let schedule = |refuse, close| Schedule {
        refuse,
        close,
        exit: later,
    };
    for (schedule, phase) in [
        (schedule(later, later), Phase::Leaving),
        (schedule(now, later), Phase::Refusing),
        (schedule(now, now), Phase::Closing),
    ] {
        drain.plan(schedule);
        assert_eq!(drain.phase(), phase);
    }
}

/// Answers are still being sent to another router, and the process exits.
#[compio::test]
async fn links_are_closed_before_the_process_exits() {
    let drain = drain();
    let mut link = drain.open_link();
    let sent_late = async {
        link.wait().await;
        compio::time::sleep(LONGER).await;
        drop(link);
    };
    let (open, ()) = join(drain.close_links(LIMIT), sent_late).await;
    assert_eq!(open, 0);
}

/// Another router doesn't answer any more: the process exits once a link to it would have ended.
#[compio::test]
async fn link_that_stays_open_is_not_waited_for() {
    let drain = drain();
    let _open = drain.open_link();
    assert_eq!(drain.close_links(LONGER).await, 1);
}
