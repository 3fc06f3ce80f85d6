//! Single sequences of events around a restore of the log from an older copy.

use std::sync::atomic::Ordering;

use super::log_replica_fake_tests::UpstreamWrite;
use super::log_replica_world_tests::World;

fn run(world: &mut World, ticks: u32) {
    (0..ticks).for_each(|_| world.tick());
    world.check();
    // Nothing is read in the millisecond of a further event.
    world.now_ms.fetch_add(1, Ordering::Relaxed);
}

/// Guards against a router that is resumed when the others no longer hold a departure, and takes
/// that for a sign of life of the upstream.
#[test]
fn end_of_a_hold_at_peers_is_no_new_record() {
    let mut world = World::new();
    world.store.start_upstream(world.now_ms());
    run(&mut world, 10);
    let left_ms = world.now_ms();
    world.store.write_upstream(left_ms, 0, UpstreamWrite::Leave);
    run(&mut world, 5);
    let restored_ms = world.now_ms();
    world.store.restore(restored_ms, restored_ms - left_ms + 1);
    world.hosts[3].suspended_until_ms = restored_ms + 7_000;
    run(&mut world, 3);
    world.store.start_upstream(world.now_ms());
    run(&mut world, 2);
    world.down_since_ms = world.now_ms();
    world.store.start_outage(world.now_ms());
    run(&mut world, 32);
}
