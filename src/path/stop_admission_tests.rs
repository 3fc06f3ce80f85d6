use std::future::{pending, ready};
use std::time::{Duration, Instant};

use test_case::test_case;

use crate::decide::refusal::{Cause, RunState};
use crate::event::Events;
use crate::front::Drain;
use crate::front::drain::Schedule;
use crate::front::in_flight::{ConnectionEnd, Stage};
use crate::path::refusal::Refused;
use crate::path::stop_admission::until_closing;

/// Ends the wait for an answer that isn't to be waited for.
const LIMIT: Duration = Duration::from_millis(200);

/// A router that exits tells a caller that its request did not run, though an upstream may have run it.
#[test_case(Stage::Reading, Some((Cause::Draining, RunState::NotRun)))]
#[test_case(Stage::Waiting, Some((Cause::Draining, RunState::NotRun)))]
#[test_case(Stage::Retrying, Some((Cause::UpstreamFailed, RunState::Unknown)))]
#[test_case(Stage::Sent, None)]
#[test_case(Stage::Answering, None)]
#[compio::test]
async fn only_what_no_upstream_has_is_refused_as_not_run(
    stage: Stage,
    refusal: Option<(Cause, RunState)>,
) {
    let drain = Drain::new(Events::open("router".into(), "north".into(), None));
    let in_flight = drain.begin(&ConnectionEnd::default());
    let tracker = in_flight.tracker();
    tracker.set_stage(stage);
    let now = Instant::now();
    drain.plan(Schedule {
        refuse: now,
        close: now,
        exit: now + LIMIT,
    });
    let answered = until_closing(&drain, &tracker, pending::<Result<(), Refused>>());
    let answered = compio::time::timeout(LIMIT, answered).await.ok();
    let refused = answered.map(|answer| answer.unwrap_err());
    assert_eq!(refused.map(|r| (r.cause, r.run)), refusal);
}

/// An answer that is there when the router closes is replaced by a refusal.
#[compio::test]
async fn answer_that_is_there_is_passed_on() {
    let drain = Drain::new(Events::open("router".into(), "north".into(), None));
    let in_flight = drain.begin(&ConnectionEnd::default());
    let now = Instant::now();
    drain.plan(Schedule {
        refuse: now,
        close: now,
        exit: now,
    });
    let answered = ready(Ok::<_, Refused>(1));
    let answered = until_closing(&drain, &in_flight.tracker(), answered).await;
    assert_eq!(answered.unwrap(), 1);
}
