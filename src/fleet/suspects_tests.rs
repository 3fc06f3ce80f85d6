use super::suspects::SuspectTable;
use crate::decide::quarantine::MANY_DEATHS;
use crate::schema::peer::{Suspicion, UpstreamDeath};

const ROUTERS: usize = 9;
const HARMFUL: u64 = 0;
/// Entries in a report.
const MAX: usize = 24;

fn suspicion(fingerprint: u64, deaths: u32) -> Suspicion {
    let death = |upstream_digest| UpstreamDeath {
        upstream_digest,
        age_ms: 0,
    };
    Suspicion {
        fingerprint,
        deaths: (1..=deaths).map(death).collect(),
        ..Suspicion::default()
    }
}

fn knows(table: &SuspectTable) -> bool {
    let all = table.all(0);
    all.iter().any(|s| s.fingerprint == HARMFUL)
}

/// Upstreams die one after the other, each with many harmless requests beside the harmful one. The
/// quarantine must not wait behind the suspicions of those: its caller sends it again at once.
#[test]
fn quarantine_is_reported_before_suspicions_of_single_deaths() {
    let mut tables: Vec<SuspectTable> = Vec::new();
    for router in 0..ROUTERS as u64 {
        let mut table = SuspectTable::default();
        let harmless = (1..=100).map(|n| suspicion(router * 100 + n, 1));
        table.merge(&harmless.collect::<Vec<_>>(), 0);
        tables.push(table);
    }
    tables[0].merge(&[suspicion(HARMFUL, MANY_DEATHS)], 0);
    let report = tables[0].report(MAX, 0);
    for table in &mut tables[1..] {
        table.merge(&report, 0);
    }
    assert!(tables.iter().all(knows));
    let gossip = tables[0].updates_to_send(9, 12, 0);
    assert_eq!(gossip[0].fingerprint, HARMFUL);
}

/// A router starts long after a quarantine began, when the others have sent it as often as they do.
/// It must learn of it from the first gossip that it gets, or it passes the request on.
#[test]
fn started_router_learns_of_a_quarantine() {
    let (mut old, mut new) = (SuspectTable::default(), SuspectTable::default());
    old.merge(&[suspicion(HARMFUL, MANY_DEATHS)], 0);
    for _ in 0..100 {
        old.updates_to_send(9, 12, 0);
        old.report(MAX, 0);
    }
    new.merge(&old.updates_to_send(9, 12, 10_000), 10_000);
    assert!(knows(&new));
}

/// News are reported a few times, and then no more, however long the table keeps them.
#[test]
fn news_are_reported_a_few_times() {
    let mut table = SuspectTable::default();
    table.merge(&[suspicion(HARMFUL, MANY_DEATHS)], 0);
    let reports = (0..100).filter(|_| !table.report(MAX, 0).is_empty());
    assert_eq!(reports.count(), 3);
}

/// A request was answered long ago and crashes upstreams since. At a router that has just started, whose clock
/// is younger than both, the answer must not count as newer than the deaths.
#[test]
fn answer_from_before_a_routers_start_refutes_no_deaths() {
    let mut suspicion = suspicion(HARMFUL, MANY_DEATHS);
    for death in &mut suspicion.deaths {
        death.age_ms = 10_000;
    }
    suspicion.answered_age_ms = Some(60_000);
    for now_ms in [100, 9_000, 12_000, 70_000] {
        let evidence = suspicion.evidence(now_ms);
        assert_eq!(evidence.death_count(), MANY_DEATHS, "at {now_ms} ms");
    }
}
