//! Compares the responses that callers received with the runs that upstreams recorded.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use crate::Args;
use crate::harness::Harness;
use crate::ledger::{Ledger, Outcome, RequestKind};
use crate::support::{
    ACCOUNT_KEY, CallOutcome, Caller, OPERATOR_KEY, Runs, chat_body, expected_answer, sleep_ms,
};
use cassiagrade::serve::operator::OperatorCaller;

const RECOVERY_CALLS: u32 = 20;
const RECOVERY_ATTEMPTS: u32 = 40;
const MAX_SHOWN: usize = 5;

/// One guarantee and its violations.
struct Check {
    name: &'static str,
    checked: usize,
    violations: Vec<String>,
}

/// Result of a run.
pub(crate) struct Verdict {
    seed: u64,
    seconds: u64,
    checks: Vec<Check>,
    figures: Vec<String>,
}

impl Verdict {
    pub(crate) fn passed(&self) -> bool {
        self.checks.iter().all(|c| c.violations.is_empty())
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for figure in &self.figures {
            writeln!(f, "  {figure}")?;
        }
        for check in &self.checks {
            let label = if check.violations.is_empty() {
                "holds"
            } else {
                "BROKEN"
            };
            let (name, checked, violations) = (check.name, check.checked, check.violations.len());
            writeln!(
                f,
                "  {label:<6} {name}: {checked} checked, {violations} broken"
            )?;
            for text in check.violations.iter().take(MAX_SHOWN) {
                writeln!(f, "         {text}")?;
            }
        }
        let word = if self.passed() { "PASS" } else { "FAIL" };
        writeln!(f, "{word} seed {} seconds {}", self.seed, self.seconds)
    }
}

pub(crate) async fn evaluate(harness: &Harness, args: &Args) -> Verdict {
    let runs = harness.fleet.borrow().runs();
    let recovered = recovery(harness).await;
    let configuration = configuration(harness).await;
    let ledger = harness.ledger.borrow();
    let checks = vec![
        answers_match(&ledger),
        not_run(&ledger, &runs),
        at_most_once(&ledger, &runs),
        draining_upstreams(&ledger),
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
    violation: impl Fn(&Outcome) -> Option<String>,
) -> Check {
    let outcomes: Vec<&Outcome> = outcomes.collect();
    Check {
        name,
        checked: outcomes.len(),
        violations: outcomes.iter().filter_map(|o| violation(o)).collect(),
    }
}

fn answers_match(ledger: &Ledger) -> Check {
    let served = ledger
        .outcomes
        .iter()
        .filter(|o| o.result == CallOutcome::Served);
    check("complete answers belong to their request", served, |o| {
        (!o.content_matches).then(|| format!("{o:?}"))
    })
}

fn not_run(ledger: &Ledger, runs: &Runs) -> Check {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for run in &runs.all {
        *counts.entry(&run.request_id).or_default() += 1;
    }
    let refused = ledger.outcomes.iter().filter(|o| is_reported_not_run(o));
    check(
        "requests reported as \"not run\" did not run",
        refused,
        |o| {
            let ran = counts.get(o.request_id.as_str()).copied().unwrap_or(0);
            (ran > 0).then(|| format!("ran {ran} times: {o:?}"))
        },
    )
}

fn is_reported_not_run(outcome: &Outcome) -> bool {
    matches!(&outcome.result, CallOutcome::Refused { run_state, .. } if run_state == "not_run")
}

fn at_most_once(ledger: &Ledger, runs: &Runs) -> Check {
    let counts = runs.by_key();
    let mut last: BTreeMap<&str, &Outcome> = BTreeMap::new();
    for outcome in ledger
        .outcomes
        .iter()
        .filter(|o| o.kind == RequestKind::Entry)
    {
        last.insert(&outcome.key, outcome);
    }
    check(
        "entries run at most once, as reported",
        last.into_values(),
        |o| {
            let ran = counts.get(o.key.as_str()).copied().unwrap_or(0);
            let violated = match o.result {
                CallOutcome::Served => ran != 1,
                _ if is_reported_not_run(o) => ran > 0,
                _ => ran > 1,
            };
            violated.then(|| format!("ran {ran} times: {o:?}"))
        },
    )
}

fn draining_upstreams(ledger: &Ledger) -> Check {
    let violations = ledger.drains.iter().filter(|l| l.new_runs > 0);
    Check {
        name: "draining upstreams get no new requests",
        checked: ledger.drains.len(),
        violations: violations
            .map(|l| format!("{}: {} new runs", l.upstream, l.new_runs))
            .collect(),
    }
}

/// Responses that had begun when their router was stopped must be complete.
fn planned_stops(ledger: &Ledger) -> Check {
    let mut violations = Vec::new();
    for stop in &ledger.stops {
        if stop.exited_ms.is_none() {
            violations.push(format!(
                "router {} did not exit within the limit",
                stop.router
            ));
        }
        let end_ms = stop.exited_ms.unwrap_or(u64::MAX);
        let overlaps_router_fault = |o: &Outcome| {
            let faults = &ledger.router_faults_ms;
            faults
                .iter()
                .any(|(from, to)| *from <= o.to_ms && o.from_ms <= *to)
        };
        let cut = ledger.outcomes.iter().filter(|o| {
            let was_running = o.router == stop.router && o.from_ms < stop.at_ms;
            was_running && o.to_ms >= stop.at_ms && o.to_ms <= end_ms + 1_000
        });
        let cut =
            cut.filter(|o| o.began && o.result == CallOutcome::Cut && !overlaps_router_fault(o));
        violations.extend(cut.map(|o| format!("cut by the stop at {} ms: {o:?}", stop.at_ms)));
    }
    Check {
        name: "planned stops cut no responses",
        checked: ledger.stops.len(),
        violations,
    }
}

fn reverts(ledger: &Ledger) -> Check {
    Check {
        name: "configuration never reverts",
        checked: ledger.accepted.len(),
        violations: ledger.reverts.clone(),
    }
}

/// After all faults are cleared, every router must have every accepted account.
async fn configuration(harness: &Harness) -> Check {
    let accepted = harness.ledger.borrow().accepted.clone();
    let mut violations = Vec::new();
    for (i, addr) in harness.operators.iter().enumerate() {
        let mut missing = accepted.clone();
        for _ in 0..RECOVERY_ATTEMPTS {
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
            violations.push(format!("router {i} is missing accounts {missing:?}"));
        }
    }
    Check {
        name: "accepted configuration is in force everywhere",
        checked: accepted.len() * harness.operators.len(),
        violations,
    }
}

/// After all faults are cleared, every router must serve again.
async fn recovery(harness: &Harness) -> Check {
    let mut violations = Vec::new();
    for n in 0..RECOVERY_CALLS {
        let addr = harness.callers[n as usize % harness.callers.len()];
        let prompt = format!("after {n}");
        let body = chat_body(&format!("after-{n}"), &prompt, 5);
        let mut last = None;
        for _ in 0..RECOVERY_ATTEMPTS {
            let received = Caller::new(ACCOUNT_KEY).chat(addr, &body).await;
            let result = received.as_ref().map(crate::support::Received::outcome);
            let text = received.map(|r| r.text());
            if result == Some(CallOutcome::Served) && text == Some(expected_answer(&prompt, 5)) {
                last = None;
                break;
            }
            last = Some(result);
            sleep_ms(250).await;
        }
        if let Some(result) = last {
            violations.push(format!("{addr}: {result:?}"));
        }
    }
    Check {
        name: "the fleet serves again after the faults",
        checked: RECOVERY_CALLS as usize,
        violations,
    }
}

fn figures(ledger: &Ledger, runs: &Runs) -> Vec<String> {
    let mut lines = Vec::new();
    let faults = ledger.faults.iter().map(|(name, n)| format!("{name} {n}"));
    lines.push(format!("faults: {}", faults.collect::<Vec<_>>().join(", ")));
    for kind in [RequestKind::Chat, RequestKind::Lookup, RequestKind::Entry] {
        lines.push(outcome_summary(ledger, kind));
    }
    lines.push(format!("runs recorded by upstreams: {}", runs.all.len()));
    lines.push(refusals(ledger));
    let retries: Vec<&Outcome> = ledger.outcomes.iter().filter(|o| o.is_retry).collect();
    let served = retries
        .iter()
        .filter(|o| o.result == CallOutcome::Served)
        .count();
    let share = percent(served, retries.len());
    lines.push(format!(
        "retries at the time given by a refusal: {}, served {share}",
        retries.len()
    ));
    let mut skews = ledger.skews.clone();
    skews.sort_unstable_by(f64::total_cmp);
    let p90 = skews.get(skews.len() * 9 / 10).copied().unwrap_or(0.0);
    lines.push(format!("skew p90 {p90:.2} over {} samples", skews.len()));
    let in_force: Vec<u64> = ledger.drains.iter().filter_map(|l| l.in_force_ms).collect();
    lines.push(format!(
        "drains in force at every router after ms: {in_force:?}"
    ));
    lines
}

fn outcome_summary(ledger: &Ledger, kind: RequestKind) -> String {
    let outcomes: Vec<&Outcome> = ledger.outcomes.iter().filter(|o| o.kind == kind).collect();
    let count = |is_counted: &dyn Fn(&CallOutcome) -> bool| {
        outcomes.iter().filter(|o| is_counted(&o.result)).count()
    };
    let served = count(&|t| *t == CallOutcome::Served);
    let cut = count(&|t| *t == CallOutcome::Cut);
    let refused = outcomes.len() - served - cut;
    let share = percent(served, outcomes.len());
    format!(
        "{kind:?}: {} calls, served {served} ({share}), refused {refused}, cut {cut}",
        outcomes.len()
    )
}

/// Lists refusals by cause and run state, with the median and the longest time to the refusal.
fn refusals(ledger: &Ledger) -> String {
    let mut by_cause: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    for outcome in &ledger.outcomes {
        if let CallOutcome::Refused {
            cause, run_state, ..
        } = &outcome.result
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
