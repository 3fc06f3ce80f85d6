//! Holds what callers were told against what upstreams recorded.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use crate::Args;
use crate::ledger::{Ledger, Outcome, What};
use crate::support::{
    ACCOUNT_KEY, CallOutcome, Caller, OPERATOR_KEY, Runs, chat_body, expected_answer, sleep_ms,
};
use crate::world::World;
use cassiagrade::serve::operator::OperatorCaller;

const RECOVERY_CALLS: u32 = 20;
const RECOVERY_TRIES: u32 = 40;
const SHOWN: usize = 5;

/// One must-hold, and what breaks it.
struct Check {
    name: &'static str,
    checked: usize,
    broken: Vec<String>,
}

/// What a run showed.
pub(crate) struct Verdict {
    seed: u64,
    seconds: u64,
    checks: Vec<Check>,
    figures: Vec<String>,
}

impl Verdict {
    pub(crate) fn passed(&self) -> bool {
        self.checks.iter().all(|c| c.broken.is_empty())
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for figure in &self.figures {
            writeln!(f, "  {figure}")?;
        }
        for check in &self.checks {
            let mark = if check.broken.is_empty() {
                "holds"
            } else {
                "BROKEN"
            };
            let (name, checked, broken) = (check.name, check.checked, check.broken.len());
            writeln!(f, "  {mark:<6} {name}: {checked} checked, {broken} broken")?;
            for text in check.broken.iter().take(SHOWN) {
                writeln!(f, "         {text}")?;
            }
        }
        let word = if self.passed() { "PASS" } else { "FAIL" };
        writeln!(f, "{word} seed {} seconds {}", self.seed, self.seconds)
    }
}

pub(crate) async fn judge(world: &World, args: &Args) -> Verdict {
    let runs = world.fleet.borrow().runs();
    let recovered = recovery(world).await;
    let configuration = configuration(world).await;
    let ledger = world.ledger.borrow();
    let checks = vec![
        own_answers(&ledger),
        not_run(&ledger, &runs),
        at_most_once(&ledger, &runs),
        leaving(&ledger),
        planned_stops(&ledger),
        configuration,
        reverts(&ledger),
        recovered,
    ];
    Verdict {
        seed: args.seed,
        seconds: args.seconds,
        checks,
        figures: figures(&ledger, &runs),
    }
}

fn check<'a>(
    name: &'static str,
    outcomes: impl Iterator<Item = &'a Outcome>,
    broken: impl Fn(&Outcome) -> Option<String>,
) -> Check {
    let outcomes: Vec<&Outcome> = outcomes.collect();
    Check {
        name,
        checked: outcomes.len(),
        broken: outcomes.iter().filter_map(|o| broken(o)).collect(),
    }
}

fn own_answers(ledger: &Ledger) -> Check {
    let served = ledger
        .outcomes
        .iter()
        .filter(|o| o.told == CallOutcome::Served);
    check("whole answers are the caller's own", served, |o| {
        (!o.own_content).then(|| format!("{o:?}"))
    })
}

fn not_run(ledger: &Ledger, runs: &Runs) -> Check {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for run in &runs.all {
        *counts.entry(&run.request_id).or_default() += 1;
    }
    let refused = ledger.outcomes.iter().filter(|o| told_not_run(o));
    check("\"not run\" is true", refused, |o| {
        let ran = counts.get(o.request_id.as_str()).copied().unwrap_or(0);
        (ran > 0).then(|| format!("ran {ran} times: {o:?}"))
    })
}

fn told_not_run(outcome: &Outcome) -> bool {
    matches!(&outcome.told, CallOutcome::Refused { run_state, .. } if run_state == "not_run")
}

fn at_most_once(ledger: &Ledger, runs: &Runs) -> Check {
    let counts = runs.by_key();
    let mut last: BTreeMap<&str, &Outcome> = BTreeMap::new();
    for outcome in ledger.outcomes.iter().filter(|o| o.what == What::Entry) {
        last.insert(&outcome.key, outcome);
    }
    check(
        "entries run at most once, as told",
        last.into_values(),
        |o| {
            let ran = counts.get(o.key.as_str()).copied().unwrap_or(0);
            let untrue = match o.told {
                CallOutcome::Served => ran != 1,
                _ if told_not_run(o) => ran > 0,
                _ => ran > 1,
            };
            untrue.then(|| format!("ran {ran} times: {o:?}"))
        },
    )
}

fn leaving(ledger: &Ledger) -> Check {
    let broken = ledger.leaves.iter().filter(|l| l.new_runs > 0);
    Check {
        name: "leaving upstreams get nothing new",
        checked: ledger.leaves.len(),
        broken: broken
            .map(|l| format!("{}: {} new runs", l.upstream, l.new_runs))
            .collect(),
    }
}

/// Answers that had begun when their router was told to stop must have come whole.
fn planned_stops(ledger: &Ledger) -> Check {
    let mut broken = Vec::new();
    for stop in &ledger.stops {
        if stop.exited_ms.is_none() {
            broken.push(format!("router {} never ended", stop.router));
        }
        let end_ms = stop.exited_ms.unwrap_or(u64::MAX);
        let disturbed = |o: &Outcome| {
            let faults = &ledger.router_faults_ms;
            faults
                .iter()
                .any(|(from, to)| *from <= o.to_ms && o.from_ms <= *to)
        };
        let cut = ledger.outcomes.iter().filter(|o| {
            let there = o.router == stop.router && o.from_ms < stop.at_ms;
            there && o.to_ms >= stop.at_ms && o.to_ms <= end_ms + 1_000
        });
        let cut = cut.filter(|o| o.began && o.told == CallOutcome::Cut && !disturbed(o));
        broken.extend(cut.map(|o| format!("cut by the stop at {} ms: {o:?}", stop.at_ms)));
    }
    Check {
        name: "planned stops cut nothing",
        checked: ledger.stops.len(),
        broken,
    }
}

fn reverts(ledger: &Ledger) -> Check {
    Check {
        name: "configuration never reverts",
        checked: ledger.accepted.len(),
        broken: ledger.reverts.clone(),
    }
}

/// After all faults ended, every router has every account that was accepted.
async fn configuration(world: &World) -> Check {
    let accepted = world.ledger.borrow().accepted.clone();
    let mut broken = Vec::new();
    for (i, addr) in world.operators.iter().enumerate() {
        let mut missing = accepted.clone();
        for _ in 0..RECOVERY_TRIES {
            if let Ok(mut operator) = OperatorCaller::open(*addr, OPERATOR_KEY).await
                && let Ok(state) = operator.config().await
            {
                missing.retain(|name| !state.accounts.iter().any(|a| a.name == *name));
            }
            if missing.is_empty() {
                break;
            }
            sleep_ms(250).await;
        }
        if !missing.is_empty() {
            broken.push(format!("router {i} lacks {missing:?}"));
        }
    }
    Check {
        name: "accepted configuration is in force everywhere",
        checked: accepted.len() * world.operators.len(),
        broken,
    }
}

/// With all faults ended, every router must serve again.
async fn recovery(world: &World) -> Check {
    let mut broken = Vec::new();
    for n in 0..RECOVERY_CALLS {
        let addr = world.callers[n as usize % world.callers.len()];
        let prompt = format!("after {n}");
        let body = chat_body(&format!("after-{n}"), &prompt, 5);
        let mut last = None;
        for _ in 0..RECOVERY_TRIES {
            let received = Caller::new(ACCOUNT_KEY).chat(addr, &body).await;
            let told = received.as_ref().map(crate::support::Received::outcome);
            let text = received.map(|r| r.text());
            if told == Some(CallOutcome::Served) && text == Some(expected_answer(&prompt, 5)) {
                last = None;
                break;
            }
            last = Some(told);
            sleep_ms(250).await;
        }
        if let Some(told) = last {
            broken.push(format!("{addr}: {told:?}"));
        }
    }
    Check {
        name: "the fleet serves again after the faults",
        checked: RECOVERY_CALLS as usize,
        broken,
    }
}

fn figures(ledger: &Ledger, runs: &Runs) -> Vec<String> {
    let mut lines = Vec::new();
    let faults = ledger.faults.iter().map(|(name, n)| format!("{name} {n}"));
    lines.push(format!("faults: {}", faults.collect::<Vec<_>>().join(", ")));
    for what in [What::Chat, What::Lookup, What::Entry] {
        lines.push(told_of(ledger, what));
    }
    lines.push(format!("runs recorded by upstreams: {}", runs.all.len()));
    lines.push(refusals(ledger));
    let back: Vec<&Outcome> = ledger.outcomes.iter().filter(|o| o.came_back).collect();
    let served = back
        .iter()
        .filter(|o| o.told == CallOutcome::Served)
        .count();
    let share = percent(served, back.len());
    lines.push(format!(
        "came back at the told time: {}, served {share}",
        back.len()
    ));
    let mut skews = ledger.skews.clone();
    skews.sort_unstable_by(f64::total_cmp);
    let p90 = skews.get(skews.len() * 9 / 10).copied().unwrap_or(0.0);
    lines.push(format!("skew p90 {p90:.2} over {} samples", skews.len()));
    let in_force: Vec<u64> = ledger.leaves.iter().filter_map(|l| l.in_force_ms).collect();
    lines.push(format!(
        "a leave in force everywhere after ms: {in_force:?}"
    ));
    lines
}

fn told_of(ledger: &Ledger, what: What) -> String {
    let outcomes: Vec<&Outcome> = ledger.outcomes.iter().filter(|o| o.what == what).collect();
    let count =
        |told: &dyn Fn(&CallOutcome) -> bool| outcomes.iter().filter(|o| told(&o.told)).count();
    let served = count(&|t| *t == CallOutcome::Served);
    let cut = count(&|t| *t == CallOutcome::Cut);
    let refused = outcomes.len() - served - cut;
    let share = percent(served, outcomes.len());
    format!(
        "{what:?}: {} calls, served {served} ({share}), refused {refused}, cut {cut}",
        outcomes.len()
    )
}

/// Refusals by cause and run state, with the median and the longest time to the refusal.
fn refusals(ledger: &Ledger) -> String {
    let mut by_cause: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    for outcome in &ledger.outcomes {
        if let CallOutcome::Refused {
            cause, run_state, ..
        } = &outcome.told
        {
            let took_ms = outcome.to_ms - outcome.from_ms;
            by_cause
                .entry(format!("{cause}/{run_state}"))
                .or_default()
                .push(took_ms);
        }
    }
    let texts = by_cause.into_iter().map(|(cause, mut took)| {
        took.sort_unstable();
        let (median, longest) = (took[took.len() / 2], took[took.len() - 1]);
        format!(
            "{cause} {} (median {median} ms, longest {longest} ms)",
            took.len()
        )
    });
    format!("refusals: {}", texts.collect::<Vec<_>>().join(", "))
}

fn percent(part: usize, whole: usize) -> String {
    format!("{:.1} %", 100.0 * part as f64 / whole.max(1) as f64)
}
