//! Load patterns for the decision module, on a virtual clock with fixed seeds, each with the module
//! off (plain consistent hashing and FIFO queues) and on, judged by what callers receive.

#[allow(dead_code, reason = "the tables use the rest")]
#[path = "../benches/policies/sim/mod.rs"]
mod sim;

use sim::model::{Policy, Setup, Surge};
use sim::{Outcome, quantile, run};

const BASE: Setup = Setup {
    engines: 6,
    load: 0.6,
    secs: 420,
    ..Setup::DEFAULT
};

fn off(setup: &Setup) -> Outcome {
    run(&Setup {
        policy: Policy::Hash,
        admission: false,
        import: false,
        ..setup.clone()
    })
}

fn small_p99_s(out: &Outcome, of: &[Vec<f64>]) -> f64 {
    quantile(&out.small(of), 0.99) / 1e3
}

fn refused_at_once(out: &Outcome) -> f64 {
    out.refused_at_once as f64 / out.refusals.max(1) as f64
}

/// For five seconds every account sends eight times its usual load. With FIFO queues, the few
/// requests of small accounts wait behind the rest. With fair queues their latency hardly changes,
/// and none is lost.
#[test]
fn burst_does_not_make_small_accounts_wait() {
    let surge = Some(Surge {
        from_ms: 200_000,
        to_ms: 205_000,
        factor: 8.0,
        largest_only: false,
    });
    let setup = Setup { surge, ..BASE };
    let (off, on) = (off(&setup), run(&setup));
    let (off_s, on_s) = (
        small_p99_s(&off, &off.waits_ms),
        small_p99_s(&on, &on.waits_ms),
    );
    assert!(
        on_s < 0.5 * off_s,
        "p99 wait of small accounts: {on_s} s, off {off_s} s"
    );
    assert_eq!(on.late, 0);
}

/// The largest account sends ten times its usual rate for two minutes. With FIFO queues, every
/// account's answers are minutes late. With weighted shares the small accounts' latency hardly
/// rises, and the large account is refused at once with a retry time.
#[test]
fn hot_caller_delays_only_itself() {
    let surge = Some(Surge {
        from_ms: 200_000,
        to_ms: 320_000,
        factor: 10.0,
        largest_only: true,
    });
    let setup = Setup { surge, ..BASE };
    let (baseline, off, on) = (run(&BASE), off(&setup), run(&setup));
    let baseline_s = small_p99_s(&baseline, &baseline.answers_ms);
    let (off_s, on_s) = (
        small_p99_s(&off, &off.answers_ms),
        small_p99_s(&on, &on.answers_ms),
    );
    assert!(
        off_s > 3.0 * baseline_s,
        "off: {off_s} s, baseline {baseline_s} s"
    );
    assert!(
        on_s <= 1.2 * baseline_s,
        "on: {on_s} s, baseline {baseline_s} s"
    );
    assert!(refused_at_once(&on) > 0.99);
    let share = on.refusals as f64 / on.answered as f64;
    assert!(
        on.late == 0 && share > 0.1,
        "late answers, or too few refusals: {share} per answer"
    );
}

/// A fifth of all requests share one prompt. Hashing sends them all to one engine, whose callers
/// wait for minutes while the other engines idle. The load bound spreads them over several.
#[test]
fn hot_key_spreads_over_engines() {
    let setup = Setup {
        hot_chat_share: 0.3,
        ..BASE
    };
    let (off, on) = (off(&setup), run(&setup));
    assert!(off.late > 0, "off: {} late", off.late);
    assert_eq!(on.late, 0);
    assert_eq!(on.over_bound, 0, "of {} samples", on.skews.len());
    assert!(quantile(&on.skews, 0.5) < 1.25);
}

/// One engine takes four times as long. Its chats keep coming, and its queue grows without end.
/// Load is measured as work in flight, so this engine reaches the load of the others with a quarter
/// of their jobs and gets fewer.
#[test]
fn slow_engine_gets_fewer_jobs() {
    let setup = Setup {
        slowdown: 4.0,
        ..BASE
    };
    let (off, on) = (off(&setup), run(&setup));
    let p99 = |out: &Outcome| quantile(&out.waits_ms.concat(), 0.99) / 1e3;
    assert!(p99(&off) > 20.0, "off: {} s", p99(&off));
    assert!(p99(&on) < 1.0, "on: {} s", p99(&on));
}

/// One request in twenty is ten times as long. Short ones must not wait behind them while another
/// engine has a free slot.
#[test]
fn short_jobs_pass_long_ones() {
    let setup = Setup {
        long_job_share: 0.05,
        load: 0.8,
        ..BASE
    };
    let (off, on) = (off(&setup), run(&setup));
    let (off_s, on_s) = (
        quantile(&off.short_waits_ms, 0.99) / 1e3,
        quantile(&on.short_waits_ms, 0.99) / 1e3,
    );
    assert!(
        on_s < 0.5 * off_s,
        "p99 wait of short jobs: {on_s} s, off {off_s} s"
    );
}

/// Work arrives at one and a half and at three times the engines' capacity. With FIFO queues,
/// soon every answer is late. With early refusals the engines complete as much in time as at full
/// load, and refused callers get a retry time at once.
#[test]
fn overload_keeps_goodput() {
    let at = |load| Setup { load, ..BASE };
    let good = |out: &Outcome| out.good as f64 / 300.0;
    let full = good(&run(&at(1.0)));
    for load in [1.5, 3.0] {
        let (off, on) = (off(&at(load)), run(&at(load)));
        assert!(good(&off) < 0.75 * full, "off at {load}x: {}", good(&off));
        assert!(good(&on) >= 0.95 * full, "on at {load}x: {}", good(&on));
        assert!(refused_at_once(&on) > 0.95);
        assert!(on.late <= 5, "{} late", on.late);
    }
}

/// Work arrives at three times the engines' capacity for a minute, then at half. Every refused
/// caller retries. A minute later the load must be back to normal, without a second peak.
#[test]
fn overload_ends_without_a_second_peak() {
    let surge = Some(Surge {
        from_ms: 150_000,
        to_ms: 210_000,
        factor: 6.0,
        largest_only: false,
    });
    let on = run(&Setup {
        surge,
        load: 0.5,
        ..BASE
    });
    let late = on.small_waits.iter().filter(|(at_ms, _)| *at_ms > 280_000);
    let waits: Vec<f64> = late.map(|(_, wait_ms)| *wait_ms).collect();
    assert!(waits.len() > 100);
    assert!(quantile(&waits, 0.99) < 500.0, "{}", quantile(&waits, 0.99));
}

/// Load reports are a second old, and one in five is lost. The bound must still hold, because each
/// home knows its own work exactly.
#[test]
fn stale_and_missing_reports_keep_the_bound() {
    let on = run(&Setup {
        report_loss: 0.2,
        load: 0.8,
        ..BASE
    });
    assert_eq!(on.over_bound, 0, "of {} samples", on.skews.len());
    assert!(quantile(&on.skews, 0.99) < 1.3);
}

/// Engines leave and join, one in ten a minute. Returning chats must find their prefix cached at
/// least as often as with plain hashing, whose busiest engine carries twice the mean.
#[test]
fn replaced_engines_keep_most_prefixes_cached() {
    let setup = Setup {
        churn: 0.17,
        load: 0.7,
        ..BASE
    };
    let (off, on) = (off(&setup), run(&setup));
    assert!(
        on.reuse() >= 0.98 * off.reuse(),
        "{} {}",
        on.reuse(),
        off.reuse()
    );
    assert!(quantile(&on.skews, 0.99) < 1.35);
    assert!(quantile(&off.skews, 0.99) > 1.4);
}
