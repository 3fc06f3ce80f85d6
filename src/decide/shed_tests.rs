use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::decide::Priority;
use crate::decide::shed::Shedder;

/// A pool lacks engines for half a minute. Batch work is shed first, then normal work if that isn't
/// enough; urgent work never, because the operator didn't list it.
#[test]
fn classes_are_shed_in_the_operators_order() {
    let mut shedder = Shedder::new(vec![Priority::Batch, Priority::Normal]);
    let mut seen = Vec::new();
    for at_ms in (0..30_000).step_by(100) {
        shedder.observe(5_000, at_ms);
        seen.push((
            shedder.share(Priority::Batch),
            shedder.share(Priority::Normal),
        ));
    }
    assert!(
        seen.iter()
            .all(|(batch, normal)| *batch == 1.0 || *normal == 0.0)
    );
    assert_eq!(seen.last(), Some(&(1.0, 1.0)));
    let rng = &mut SmallRng::seed_from_u64(1);
    assert!(!shedder.sheds(Priority::Urgent, rng));
}

/// The overload ends. Shed work is readmitted over seconds in small steps: all at once would be a
/// second peak.
#[test]
fn recovery_is_gradual() {
    let mut shedder = Shedder::new(vec![Priority::Batch]);
    for at_ms in (0..5_000).step_by(100) {
        shedder.observe(5_000, at_ms);
    }
    let mut shares = vec![shedder.share(Priority::Batch)];
    for at_ms in (5_000..15_000).step_by(100) {
        shedder.observe(0, at_ms);
        shares.push(shedder.share(Priority::Batch));
    }
    let steps = shares.windows(2).map(|pair| pair[0] - pair[1]);
    assert!(steps.clone().all(|step| (0.0..=0.11).contains(&step)));
    assert_eq!(shares.last(), Some(&0.0));
}

/// A burst fills the queue and drains within half a second, repeatedly: nothing is shed.
#[test]
fn short_burst_sheds_nothing() {
    let mut shedder = Shedder::new(vec![Priority::Batch]);
    for at_ms in (0..20_000_u64).step_by(50) {
        let wait_ms = if at_ms % 500 < 300 { 3_000 } else { 100 };
        shedder.observe(wait_ms, at_ms);
        assert_eq!(shedder.share(Priority::Batch), 0.0);
    }
}
