//! Result tables and their goals. Each function with goals returns those that were missed.

use crate::sim::model::{Policy, SMALL_FROM, Setup, Surge};
use crate::sim::{Outcome, quantile, run};

const POOLS: [(&str, usize); 2] = [("12 engines", 12), ("18 engines", 18)];
const BASELINES: [Policy; 4] = [
    Policy::Random,
    Policy::RoundRobin,
    Policy::LeastOfTwo,
    Policy::Hash,
];

/// Adds `goal` to `missed` if it was not met, and returns its label.
fn check_goal(missed: &mut Vec<String>, goal: &str, met: bool) -> &'static str {
    if !met {
        missed.push(goal.to_owned());
    }
    if met { "met" } else { "MISSED" }
}

fn flatten(of: &[Vec<f64>]) -> Vec<f64> {
    of.iter().flatten().copied().collect()
}

fn print_row(name: &str, out: &Outcome) {
    let max_skew = out.skews.iter().copied().fold(0.0, f64::max);
    let waits = flatten(&out.waits_ms);
    println!(
        "  {name:<34} reuse {:.3}  skew p50 {:.2} p99 {:.2} max {max_skew:.2}  over bound {:>3}/{}  wait p50 {:.0} p99 {:.0} ms  n {}",
        out.reuse(),
        quantile(&out.skews, 0.5),
        quantile(&out.skews, 0.99),
        out.over_bound,
        out.skews.len(),
        quantile(&waits, 0.5),
        quantile(&waits, 0.99),
        out.answered,
    );
}

fn baseline(setup: &Setup, policy: Policy) -> Setup {
    Setup {
        policy,
        admission: false,
        import: false,
        ..setup.clone()
    }
}

/// Cache reuse and load skew, with and without churn.
pub(crate) fn reuse() -> Vec<String> {
    let mut missed = Vec::new();
    for (shape, engines) in POOLS {
        for load in [0.5, 0.8] {
            println!("\n== {shape}, load {load}, no churn");
            let setup = Setup {
                engines,
                load,
                ..Setup::default()
            };
            let mut hash = 0.0;
            for policy in BASELINES {
                let out = run(&baseline(&setup, policy));
                print_row(&format!("{policy:?}"), &out);
                hash = out.reuse();
            }
            let out = run(&setup);
            print_row("Ours", &out);
            let goal = format!(
                "{shape}, load {load}: reuse {:.3} >= 0.95 x {hash:.3}",
                out.reuse()
            );
            println!(
                "  {goal}: {}",
                check_goal(&mut missed, &goal, out.reuse() >= 0.95 * hash)
            );
            check_skew(&mut missed, &format!("{shape}, load {load}"), &out);
            print_row(
                "Ours, 1 in 5 reports lost",
                &run(&Setup {
                    report_loss: 0.2,
                    ..setup.clone()
                }),
            );
            print_row(
                "Ours, reports 3 s old",
                &run(&Setup {
                    report_interval_ms: 3_000,
                    ..setup.clone()
                }),
            );
            print_row(
                "Ours, lengths estimated (sigma 0.5)",
                &run(&Setup {
                    estimate_sigma: 0.5,
                    ..setup.clone()
                }),
            );
            print_row(
                "Ours, no KV import",
                &run(&Setup {
                    import: false,
                    ..setup
                }),
            );
        }
        println!("\n== {shape}, load 0.7, one engine in ten replaced every minute");
        let setup = Setup {
            engines,
            load: 0.7,
            churn: 0.1,
            ..Setup::default()
        };
        let mut hash = 0.0;
        for policy in BASELINES {
            let out = run(&baseline(&setup, policy));
            print_row(&format!("{policy:?}"), &out);
            hash = out.reuse();
        }
        let out = run(&setup);
        print_row("Ours", &out);
        let goal = format!("{shape}, churn: reuse {:.3} > {hash:.3}", out.reuse());
        println!(
            "  {goal}: {}",
            check_goal(&mut missed, &goal, out.reuse() > hash)
        );
        check_skew(&mut missed, &format!("{shape}, churn"), &out);
        print_row(
            "Ours, planned leave: KV transferred",
            &run(&Setup {
                planned_leave: true,
                ..setup
            }),
        );
    }
    missed
}

fn check_skew(missed: &mut Vec<String>, name: &str, out: &Outcome) {
    let p99 = quantile(&out.skews, 0.99);
    let goal = format!("{name}: skew p99 {p99:.3} <= 1.25");
    println!("  {goal}: {}", check_goal(missed, &goal, p99 <= 1.25));
    let goal = format!(
        "{name}: over 1.25 x mean + one job in {} samples",
        out.over_bound
    );
    println!(
        "  {goal}: {}",
        check_goal(missed, &goal, out.over_bound == 0)
    );
}

/// Goodput under sustained overload.
pub(crate) fn overload() -> Vec<String> {
    let mut missed = Vec::new();
    for (shape, engines) in POOLS {
        println!("\n== {shape}, sustained overload (answers per second by the caller's deadline)");
        let mut goodput_at_1x = 0.0;
        for load in [1.0, 1.5, 3.0] {
            let setup = Setup {
                engines,
                load,
                secs: 900,
                ..Setup::default()
            };
            for (name, setup) in [
                ("off (hash, FIFO)", baseline(&setup, Policy::Hash)),
                ("on", setup),
            ] {
                let out = run(&setup);
                let secs = (setup.secs - 120) as f64;
                let good = out.good as f64 / secs;
                let at_once = out.refused_at_once as f64 / out.refusals.max(1) as f64;
                println!(
                    "  {load}x {name:<17} good {good:>6.1}/s  late {:>6}  abandoned {:>6}  refusals {:>7}  at once {at_once:.3}  reuse {:.3}  small p50/p99 {:.1}/{:.1} s  largest {:.1}/{:.1} s",
                    out.late,
                    out.abandoned,
                    out.refusals,
                    out.reuse(),
                    quantile(&out.small(&out.waits_ms), 0.5) / 1e3,
                    quantile(&out.small(&out.waits_ms), 0.99) / 1e3,
                    quantile(&out.waits_ms[0], 0.5) / 1e3,
                    quantile(&out.waits_ms[0], 0.99) / 1e3,
                );
                if name == "on" && load == 1.0 {
                    goodput_at_1x = good;
                }
                if name == "on" && load == 3.0 {
                    let goal =
                        format!("{shape}: goodput at 3x {good:.1} >= 0.95 x {goodput_at_1x:.1}");
                    println!(
                        "  {goal}: {}",
                        check_goal(&mut missed, &goal, good >= 0.95 * goodput_at_1x)
                    );
                }
            }
        }
    }
    missed
}

/// Runs merged for goals of single accounts: the smallest sends one request per second, so the p99
/// of a single run would be its tenth slowest request.
const SEEDS: u64 = 5;

fn run_seeds(setup: &Setup) -> Outcome {
    let mut merged = Outcome::default();
    for seed in 1..=SEEDS {
        merged.merge(run(&Setup {
            seed,
            ..setup.clone()
        }));
    }
    merged
}

/// The largest account sends at ten times its usual rate.
pub(crate) fn surge() -> Vec<String> {
    let mut missed = Vec::new();
    for (shape, engines) in POOLS {
        println!(
            "\n== {shape}, load 0.6, largest account at 10x from 300 s to 600 s, {SEEDS} seeds"
        );
        let no_surge = Setup {
            engines,
            load: 0.6,
            secs: 900,
            ..Setup::default()
        };
        let surge = Some(Surge {
            from_ms: 300_000,
            to_ms: 600_000,
            factor: 10.0,
            largest_only: true,
        });
        let on = Setup {
            surge,
            ..no_surge.clone()
        };
        let no_surge = run_seeds(&no_surge);
        for (name, setup) in [
            ("off (hash, FIFO)", baseline(&on, Policy::Hash)),
            ("on", on),
        ] {
            let out = run_seeds(&setup);
            println!(
                "  {name}: refusals {}  at once {:.3}  recovered after {} s",
                out.refusals,
                out.refused_at_once as f64 / out.refusals.max(1) as f64,
                recovery_s(&out, 300_000)
            );
            print_accounts(&out, &no_surge);
            if name == "on" {
                check_small_accounts(&mut missed, shape, &out, &no_surge);
            }
        }
    }
    missed
}

fn check_small_accounts(missed: &mut Vec<String>, shape: &str, out: &Outcome, no_surge: &Outcome) {
    for account in SMALL_FROM..out.answers_ms.len() {
        let p99 = quantile(&out.answers_ms[account], 0.99) / 1e3;
        let base_p99 = quantile(&no_surge.answers_ms[account], 0.99) / 1e3;
        let goal =
            format!("{shape}: account {account} p99 answer {p99:.1} s <= 1.2 x {base_p99:.1} s");
        println!(
            "  {goal}: {}",
            check_goal(missed, &goal, p99 <= 1.2 * base_p99)
        );
    }
}

fn print_accounts(out: &Outcome, no_surge: &Outcome) {
    for account in [0, 1, 3, 7, 11] {
        println!(
            "    account {account:<2} wait p50/p99 {:>6.0}/{:>6.0} ms (no surge {:.0}/{:.0})  answer p50/p99 {:.1}/{:.1} s (no surge {:.1}/{:.1})",
            quantile(&out.waits_ms[account], 0.5),
            quantile(&out.waits_ms[account], 0.99),
            quantile(&no_surge.waits_ms[account], 0.5),
            quantile(&no_surge.waits_ms[account], 0.99),
            quantile(&out.answers_ms[account], 0.5) / 1e3,
            quantile(&out.answers_ms[account], 0.99) / 1e3,
            quantile(&no_surge.answers_ms[account], 0.5) / 1e3,
            quantile(&no_surge.answers_ms[account], 0.99) / 1e3,
        );
    }
}

/// Returns the seconds from the start of the surge to the end of the last five-second window in
/// which the median wait of small accounts exceeds 500 ms.
fn recovery_s(out: &Outcome, from_ms: u64) -> u64 {
    let mut windows = std::collections::BTreeMap::<u64, Vec<f64>>::new();
    for (at_ms, wait_ms) in &out.small_waits {
        if (from_ms..from_ms + 300_000).contains(at_ms) {
            let window = windows.entry((at_ms - from_ms) / 5_000).or_default();
            window.push(*wait_ms);
        }
    }
    let slow_windows = windows.iter().filter(|(_, w)| quantile(w, 0.5) > 500.0);
    slow_windows.map(|(at, _)| (at + 1) * 5).max().unwrap_or(0)
}

/// The remaining load patterns, with admission control off and on.
pub(crate) fn patterns() {
    let base = Setup {
        load: 0.7,
        secs: 600,
        ..Setup::default()
    };
    let burst = Some(Surge {
        from_ms: 300_000,
        to_ms: 305_000,
        factor: 6.0,
        largest_only: false,
    });
    let cases = [
        (
            "burst: 6x for 5 s",
            Setup {
                surge: burst,
                ..base.clone()
            },
        ),
        (
            "hot chat: 1 in 5 requests",
            Setup {
                hot_chat_share: 0.2,
                ..base.clone()
            },
        ),
        (
            "slow engine: one takes 4x as long",
            Setup {
                slowdown: 4.0,
                load: 0.6,
                ..base.clone()
            },
        ),
        (
            "mixed lengths: 1 in 20 is 10x",
            Setup {
                long_job_share: 0.05,
                ..base.clone()
            },
        ),
    ];
    println!("\n== patterns, 18 engines: off (hash, FIFO), then on");
    for (name, setup) in cases {
        println!(" {name}");
        for (mode, setup) in [
            ("off", baseline(&setup, Policy::Hash)),
            ("on", setup.clone()),
        ] {
            let out = run(&setup);
            print_row(mode, &out);
            println!(
                "     good {}  late {}  abandoned {}  p99 wait: short jobs {:.1} s, small accounts {:.1} s",
                out.good,
                out.late,
                out.abandoned,
                quantile(&out.short_waits_ms, 0.99) / 1e3,
                quantile(&out.small(&out.waits_ms), 0.99) / 1e3,
            );
        }
    }
}
