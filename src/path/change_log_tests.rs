use super::change_log::{Change, ChangeLog, Counts, MAX_LINES};
use super::position::StreamPosition;

fn at(offset: u64) -> StreamPosition {
    StreamPosition::new(1, offset)
}

/// Thousands of upstreams start within one interval. They are counted in one line; a line for each
/// on every router of a large fleet would delay the routers' start.
#[test]
fn many_changes_are_counted() {
    let log = ChangeLog::default();
    for _ in 0..10_000 {
        log.record("i-1", Change::Ready, at(7));
    }
    log.record("i-2", Change::Draining, at(8));
    log.record("i-3", Change::Gone, at(9));
    let counted = Counts {
        ready: 10_000 - MAX_LINES,
        draining: 1,
        gone: 1,
    };
    assert_eq!(log.flush(at(9)), counted);
    log.record("i-4", Change::Gone, at(10));
    assert_eq!(log.flush(at(10)), Counts::default(), "logged by itself");
}
