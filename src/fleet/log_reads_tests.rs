//! Reads of the platform's log by whole fleets, on a virtual clock: how many there are, and how old
//! the routers' state becomes.

use rand::rngs::SmallRng;
use rand::seq::index::sample;
use rand::{Rng, SeedableRng};
use test_case::test_case;

use super::first_load::{LoadCost, load_delay_ms};
use super::in_flight::{REPORT_INTERVAL_MS, receivers};
use super::log_reads::{
    Backoff, Freshness, READERS, ReadSchedule, Role, is_reader, read_due, readers,
};
use super::member::{Member, MemberState, View};

const READ_CHECK_MS: u64 = 100;
const ANSWER_MS: u64 = 5;
/// Time from the start of a fleet until its routers know one another and have chosen readers.
const MEETING_MS: u64 = 400;

struct Router {
    fresh: Freshness,
    backoff: Backoff,
    /// Times at which the open read is answered and as of which its answer is current.
    read: Option<(u64, u64)>,
    last_read_ms: u64,
    is_up: bool,
}

/// Routers, of which the first [`READERS`] are readers, with one stream of the log, and
/// publications in between.
struct Fleet {
    routers: Vec<Router>,
    schedule: ReadSchedule,
    is_log_up: bool,
    /// When the readers are chosen.
    readers_from_ms: u64,
    /// Time between two records of the stream.
    quiet_ms: u64,
    now_ms: u64,
    calls: u32,
    rng: SmallRng,
}

fn member(n: usize) -> Member {
    Member {
        host: format!("host-{n}").into(),
        data_center: "dc".into(),
        incarnation: 1,
        state: MemberState::Alive,
        peer_addr: "".into(),
        caller_addr: "".into(),
    }
}

impl Fleet {
    fn start(routers: usize, bound_ms: f64) -> Self {
        let mut fleet = Self::starting(routers, bound_ms);
        fleet.run(5_000);
        fleet.calls = 0;
        fleet
    }

    /// A fleet of which nothing has run yet.
    fn starting(routers: usize, bound_ms: f64) -> Self {
        let router = || Router {
            fresh: Freshness::default(),
            backoff: Backoff::default(),
            read: None,
            last_read_ms: 0,
            is_up: true,
        };
        Self {
            routers: (0..routers).map(|_| router()).collect(),
            schedule: ReadSchedule::within(bound_ms),
            is_log_up: true,
            readers_from_ms: MEETING_MS,
            quiet_ms: u64::MAX,
            now_ms: 1,
            calls: 0,
            rng: SmallRng::seed_from_u64(routers as u64),
        }
    }

    fn run(&mut self, ms: u64) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.now_ms += 1;
            self.answer();
            if self.now_ms.is_multiple_of(REPORT_INTERVAL_MS) {
                self.publish();
            }
            if self.now_ms.is_multiple_of(READ_CHECK_MS) {
                self.start_reads();
            }
        }
    }

    fn answer(&mut self) {
        for router in self.routers.iter_mut().filter(|r| r.is_up) {
            let Some((_, seen_ms)) = router.read.take_if(|(at_ms, _)| *at_ms <= self.now_ms) else {
                continue;
            };
            if self.is_log_up {
                router.fresh.confirm(seen_ms, &mut self.rng);
                router.backoff.answered();
            } else {
                router.backoff.failed(self.now_ms, &mut self.rng);
            }
        }
    }

    /// Each router publishes to a random part of the others when its state was last confirmed.
    fn publish(&mut self) {
        let n = self.routers.len();
        for from in 0..n {
            if !self.routers[from].is_up {
                continue;
            }
            let confirmed_ms = self.routers[from].fresh.confirmed_ms();
            let receivers: Vec<usize> = sample(&mut self.rng, n, receivers(n).min(n)).into_vec();
            for to in receivers {
                self.routers[to].fresh.confirm(confirmed_ms, &mut self.rng);
            }
        }
    }

    fn start_reads(&mut self) {
        let n = self.routers.len();
        for (at, router) in self.routers.iter_mut().enumerate() {
            let role = Role {
                is_reader: at < READERS && self.now_ms >= self.readers_from_ms,
                routers: n,
                last_read_ms: router.last_read_ms,
            };
            let due = read_due(
                role,
                router.fresh,
                router.backoff,
                self.schedule,
                self.now_ms,
            );
            let (true, None, Some(wait)) = (router.is_up, router.read, due) else {
                continue;
            };
            // A log that is unavailable answers with a failure at once.
            let wait_ms = u64::try_from(wait.as_millis()).unwrap();
            let wait_ms = wait_ms.min(self.quiet_ms) * u64::from(self.is_log_up);
            router.read = Some((self.now_ms + wait_ms + ANSWER_MS, self.now_ms + wait_ms));
            router.last_read_ms = self.now_ms;
            self.calls += 1;
        }
    }

    /// Runs for `ms`, and returns the greatest age of a router's state from its first load on.
    fn oldest_while_running(&mut self, ms: u64) -> u64 {
        let mut oldest_ms = 0;
        for _ in 0..ms / READ_CHECK_MS {
            self.run(READ_CHECK_MS);
            oldest_ms = oldest_ms.max(self.oldest_ms());
        }
        oldest_ms
    }

    fn oldest_ms(&self) -> u64 {
        let live = self.routers.iter().filter(|r| r.is_up);
        live.map(|r| r.fresh.age_ms(self.now_ms)).max().unwrap()
    }
}

/// Hundreds of routers stay up to date with no more calls to the log than three readers make.
#[test_case(3; "three")]
#[test_case(24; "a small fleet")]
#[test_case(195; "a large fleet")]
#[test_case(390; "a very large fleet")]
#[test_case(985; "a thousand routers")]
#[test_case(2_000; "two thousand routers")]
fn calls_do_not_grow_with_the_fleet(routers: usize) {
    const SECONDS: u32 = 30;
    let mut fleet = Fleet::start(routers, 4_000.0);
    fleet.run(u64::from(SECONDS) * 1_000);
    // Three readers that wait 0.9 s for a change, whatever the fleet's size.
    assert!(fleet.calls <= SECONDS * 10 / 3 + 6, "{} calls", fleet.calls);
}

/// Thousands of upstreams write their records, so each read is answered at once. The readers must
/// not read again as soon as they have the answer.
#[test_case(9, 72; "a hundred upstreams")]
#[test_case(985, 5_000; "ten thousand upstreams")]
fn calls_do_not_grow_with_the_records(routers: usize, records_per_s: u64) {
    const SECONDS: u32 = 10;
    let mut fleet = Fleet::start(routers, 2_000.0);
    fleet.quiet_ms = 1_000 / records_per_s;
    fleet.run(u64::from(SECONDS) * 1_000);
    // Three readers that read every 300 ms.
    assert!(fleet.calls <= SECONDS * 10 + 6, "{} calls", fleet.calls);
    assert!(fleet.oldest_ms() < 2_000, "{} ms old", fleet.oldest_ms());
}

/// The log is unavailable for eight seconds, and hundreds of stale routers would each retry four
/// times a second. The fleet's rate of retries must stay within its limit, and all routers must be
/// up to date soon after the log is back.
#[test_case(9, 2_000.0; "a small fleet")]
#[test_case(195, 4_000.0; "a large fleet")]
#[test_case(390, 4_000.0; "a very large fleet")]
fn retries_to_an_unavailable_log_are_shared(routers: usize, bound_ms: f64) {
    let mut fleet = Fleet::start(routers, bound_ms);
    fleet.is_log_up = false;
    fleet.run(8_000);
    // The shared rate, and the first try of each router.
    let most = 8 * 40 + routers;
    assert!(fleet.calls as usize <= most, "{} calls", fleet.calls);
    fleet.is_log_up = true;
    fleet.run(2_000);
    assert!(fleet.oldest_ms() < 2_000 + bound_ms as u64 / 2);
}

/// Guards against a fleet whose reads fail all at once and of which nobody tries again for half a minute.
/// Few routers may try within the next seconds, but some must.
#[test_case(195)]
#[test_case(985)]
#[test_case(2_000)]
fn some_routers_read_again_soon_after_all_failed(routers: usize) {
    let mut rng = SmallRng::seed_from_u64(routers as u64);
    let mut failed = vec![Backoff::default(); routers];
    failed.iter_mut().for_each(|b| b.failed(10_000, &mut rng));
    let due = failed.iter().filter(|b| b.is_due(12_000, false, routers));
    let due = due.count();
    // The shared rate is 20 in a second.
    assert!((1..=60).contains(&due), "{due} of {routers}");
}

/// All readers die at once. The others must be up to date within the bound all the same, without
/// reading each for itself.
#[test_case(9, 2_000.0; "a small fleet")]
#[test_case(195, 4_000.0; "a large fleet")]
#[test_case(390, 4_000.0; "a very large fleet")]
fn loss_of_all_readers_keeps_the_bound(routers: usize, bound_ms: f64) {
    let mut fleet = Fleet::start(routers, bound_ms);
    for reader in &mut fleet.routers[..READERS] {
        reader.is_up = false;
    }
    let mut oldest_ms = 0;
    for _ in 0..100 {
        fleet.run(100);
        oldest_ms = oldest_ms.max(fleet.oldest_ms());
    }
    assert!(
        (oldest_ms as f64) < bound_ms.min(2_000.0),
        "state {oldest_ms} ms old"
    );
    // Reading each for itself, every 1.3 s: a quarter of that.
    let alone = routers as f64 * 10_000.0 / 1_300.0;
    assert!(
        f64::from(fleet.calls) < (alone / 4.0).max(200.0),
        "{} calls",
        fleet.calls
    );
}

/// A whole fleet starts at once: all have read the log, and no readers are chosen yet. As many of a
/// thousand routers as of a hundred read again before the first can tell the others.
#[test_case(100)]
#[test_case(985)]
#[test_case(2_000)]
fn reads_of_a_fleet_without_readers_do_not_grow_with_it(routers: usize) {
    let mut fleet = Fleet::start(routers, 2_000.0);
    for reader in &mut fleet.routers[..READERS] {
        reader.is_up = false;
    }
    fleet.run(3_000);
    assert!(fleet.calls <= 150, "{} calls", fleet.calls);
    assert!(fleet.oldest_ms() < 2_000, "{} ms old", fleet.oldest_ms());
}

/// A fleet that starts at once decides requests by what it loaded at its start, though changes were
/// made since. Its state may not become older than the bound, and beyond the load of each router there
/// are no more calls than the readers make.
#[test_case(9)]
#[test_case(985)]
#[test_case(2_000)]
fn starting_fleet_reads_on_by_few_calls(routers: usize) {
    const SECONDS: u32 = 5;
    let mut fleet = Fleet::starting(routers, 2_000.0);
    let oldest_ms = fleet.oldest_while_running(u64::from(SECONDS) * 1_000);
    assert!(oldest_ms < 2_000, "{oldest_ms} ms old");
    let most = u32::try_from(routers).unwrap() + SECONDS * 10 / 3 + 6;
    assert!(fleet.calls <= most, "{} calls", fleet.calls);
}

/// The routers of a starting fleet find no reader: those that were chosen didn't start. The others keep
/// the bound from their start on, without reading each for itself.
#[test_case(9, 60)]
#[test_case(985, 250)]
#[test_case(2_000, 250)]
fn starting_fleet_without_readers_keeps_the_bound(routers: usize, most_reads: u32) {
    let mut fleet = Fleet::starting(routers, 2_000.0);
    fleet.readers_from_ms = u64::MAX;
    let oldest_ms = fleet.oldest_while_running(4_000);
    assert!(oldest_ms < 2_000, "{oldest_ms} ms old");
    let reads = fleet.calls - u32::try_from(routers).unwrap();
    assert!(reads <= most_reads, "{reads} reads");
}

/// A fleet starts for the first time, and each router knows only those that registered before it. A few
/// of them may take themselves for readers, but not as many as grow with the fleet.
#[test_case(9, 9)]
#[test_case(985, 45)]
#[test_case(2_000, 45)]
fn few_routers_of_a_fleet_that_meets_are_readers(routers: usize, most: usize) {
    let all: Vec<Member> = (0..routers).map(member).collect();
    let is_reader = |known: usize| {
        let view = View {
            members: all[..known].to_vec(),
            ..View::default()
        };
        is_reader(&view, &all[known - 1].host)
    };
    let readers = (1..=routers).filter(|known| is_reader(*known)).count();
    assert!(readers <= most, "{readers} readers");
}

/// A router that receives nothing from others keeps the bound by itself, whatever the size of the
/// fleet it has lost contact with.
#[test]
fn isolated_router_keeps_the_bound() {
    let mut rng = SmallRng::seed_from_u64(1);
    let schedule = ReadSchedule::within(4_000.0);
    for _ in 0..1_000 {
        let mut fresh = Freshness::default();
        let confirmed_ms = rng.random_range(1..10_000);
        fresh.confirm(confirmed_ms, &mut rng);
        for routers in [1, 9, 2_000] {
            assert!(fresh.is_stale(confirmed_ms + 1_900, schedule, routers));
        }
    }
}

/// Times after the start of a fleet at which its routers have a list of ten thousand records: from the
/// log, which divides its bandwidth among those that load, or from a peer that has it.
fn list_times_ms(routers: usize, delay_ms: impl Fn(f64) -> u64) -> Vec<u64> {
    const LIST_BYTES: f64 = 3.4e6;
    const LOG_BYTES_PER_MS: f64 = 80e3;
    const LINK_BYTES_PER_MS: f64 = 2.5e3;
    /// Time in which a router sends the compressed list to one peer.
    const SEND_MS: u64 = 125;
    let mut rng = SmallRng::seed_from_u64(routers as u64);
    let turns_ms: Vec<u64> = (0..routers).map(|_| delay_ms(rng.random())).collect();
    let mut has_ms: Vec<Option<u64>> = vec![None; routers];
    let mut unread_bytes: Vec<Option<f64>> = vec![None; routers];
    for now_ms in (0..60_000).step_by(SEND_MS as usize) {
        for at in 0..routers {
            if has_ms[at].is_none() && now_ms >= turns_ms[at] {
                unread_bytes[at].get_or_insert(LIST_BYTES);
            }
        }
        let loading = unread_bytes.iter().flatten().filter(|bytes| **bytes > 0.0);
        let share = LOG_BYTES_PER_MS / loading.count().max(1) as f64;
        let read_bytes = share.min(LINK_BYTES_PER_MS) * SEND_MS as f64;
        for (unread, has_ms) in unread_bytes.iter_mut().zip(&mut has_ms) {
            if let Some(bytes) = unread.as_mut().filter(|bytes| **bytes > 0.0) {
                *bytes -= read_bytes;
                if *bytes <= 0.0 {
                    has_ms.get_or_insert(now_ms + SEND_MS);
                }
            }
        }
        let senders = has_ms.iter().flatten().filter(|ms| **ms <= now_ms).count();
        for _ in 0..senders {
            has_ms[rng.random_range(0..routers)].get_or_insert(now_ms + SEND_MS);
        }
    }
    let mut times_ms: Vec<u64> = has_ms.into_iter().flatten().collect();
    times_ms.sort_unstable();
    times_ms
}

/// All routers are killed and start again before ten thousand upstreams. Nine in ten have the list
/// soon enough to serve again; if each loaded it from the log, that would take most of a minute.
#[test_case(300)]
#[test_case(985)]
#[test_case(2_000)]
fn restarted_fleet_has_a_long_list_in_time(routers: usize) {
    const BOUND_MS: u64 = 8_000;
    let nine_in_ten = routers * 9 / 10;
    let times_ms = list_times_ms(routers, |jitter| {
        load_delay_ms(jitter, routers, LoadCost::Upstreams)
    });
    assert_eq!(times_ms.len(), routers);
    assert!(
        times_ms[nine_in_ten] < BOUND_MS,
        "{} ms",
        times_ms[nine_in_ten]
    );
}

/// A router would ask others than those that read the log for it.
#[test_case(1)]
#[test_case(9)]
#[test_case(390)]
fn readers_are_those_that_take_themselves_for_readers(routers: usize) {
    let view = View {
        version: 1,
        members: (0..routers).map(member).collect(),
        ..View::default()
    };
    let mut found: Vec<&str> = readers(&view).iter().map(|m| &*m.host).collect();
    found.sort_unstable();
    let hosts = view.members.iter().map(|m| &*m.host);
    let mut expected: Vec<&str> = hosts.filter(|host| is_reader(&view, host)).collect();
    expected.sort_unstable();
    assert_eq!(found, expected);
    assert_eq!(found.len(), READERS.min(routers));
}
