//! Cost of one placement decision, by pool size.

use std::hint::black_box;
use std::time::Instant;

use cassiagrade::decide::placement::{PlacementPolicy, PoolIndex};
use cassiagrade::decide::{ChatKey, Name};

const ROUNDS: u64 = 20_000;

pub(crate) fn print() {
    println!("\n== cost of a placement decision (real time, best of 5)");
    let mut last: Option<(usize, f64)> = None;
    for engines in [18, 200, 2_200] {
        let ns = best_ns(engines);
        let slope = last.map(|(n, was)| (ns - was) / (engines - n) as f64);
        let slope = slope.map_or(String::new(), |s| format!("  slope {s:.2} ns per engine"));
        println!("{engines:>6} engines  {ns:>8.0} ns{slope}");
        last = Some((engines, ns));
    }
}

fn best_ns(engines: usize) -> f64 {
    let names: Vec<Name> = (0..engines).map(|i| format!("engine-{i}").into()).collect();
    let pool = PoolIndex::new(names);
    let loads: Vec<f64> = (0..engines).map(|i| (i * 7 % 13) as f64).collect();
    let policy = PlacementPolicy::default();
    let round = || {
        let start = Instant::now();
        for chat in 0..ROUNDS {
            let key = ChatKey(chat.wrapping_mul(0x9e37_79b9_7f4a_7c15));
            black_box(pool.plan(black_box(key), None, &loads, policy));
        }
        start.elapsed().as_nanos() as f64 / ROUNDS as f64
    };
    (0..5).map(|_| round()).fold(f64::INFINITY, f64::min)
}
