use super::moves::Moves;
use crate::decide::versions::WINDOW_MS;
use crate::path::routes::{Deployment, Draft, Repeat, Route, Target};

fn deployment(version: u64, service: &str) -> Deployment {
    let target = Target {
        service: service.into(),
        weight: 1.0,
    };
    let route = Route {
        name: "all".into(),
        path_prefix: "/".into(),
        targets: vec![target],
        repeat: Repeat::Stream { resumable: true },
        timeout_ms: 1_000,
        objective_ms: 100,
        gap_objective_ms: 0,
        max_attempts: 2,
        priority: 0,
        public: true,
        cached_prompts: false,
        allowed_regions: None,
    };
    let draft = Draft {
        version,
        routes: vec![("a.example".into(), route)],
        ..Draft::default()
    };
    draft.into()
}

/// A stream that began before its route was moved would go on at the other service. Changes that move
/// nothing would end streams.
#[test]
fn moved_services_are_known_for_the_window() {
    let mut moves = Moves::default();
    moves.update(&deployment(1, "s"), 1);
    moves.update(&deployment(2, "s"), 2);
    assert_eq!(moves.services().count(), 0);
    moves.update(&deployment(3, "t"), 3);
    assert!(moves.contains("s") && moves.contains("t"));
    moves.update(&deployment(3, "t"), 3 + WINDOW_MS - 1);
    assert!(moves.contains("t"));
    moves.update(&deployment(3, "t"), 3 + WINDOW_MS);
    assert!(!moves.contains("t"));
}
