use crate::decide::take_over::Inherited;

/// A home with nothing inherited starts its first job, and the engine's lagging report still says
/// that nothing runs. Failure guarded against: the estimate becomes NaN jobs, the home never has a
/// free slot again, and requests to that engine wait until their deadlines.
#[test]
fn lagging_report_leaves_nothing_inherited() {
    let mut inherited = Inherited::new(0, 0.0, 1);
    inherited.lower_to(-1.0, 2);
    assert!(inherited.jobs(3).abs() < f64::EPSILON);
    assert!(inherited.work_ms(3).abs() < f64::EPSILON);
}
