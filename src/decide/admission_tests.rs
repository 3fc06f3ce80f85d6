use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::admission::{Admission, AdmissionRequest, Offer, Quota, Ready, STANDING_MS};
use super::refusal::RunState;
use super::{ChatKey, Cost, Job, JobId, Priority};

const FULL: Quota = Quota {
    allowed: 10,
    has_spare: false,
};

/// 400 ms in a place by the default rates, to be answered within 500 ms, given up after 6 s.
fn ask(id: u64, account: &str, priority: Priority, now_ms: u64) -> AdmissionRequest {
    AdmissionRequest {
        job: Job {
            id: JobId(id),
            account: account.into(),
            weight: 1.0,
            priority,
            chat: ChatKey::default(),
            cost: Cost {
                output_tokens: 10,
                ..Cost::default()
            },
            deadline_ms: now_ms + 6_000,
            last_choice: true,
            suspect: false,
        },
        objective_ms: 500,
    }
}

/// Callers of one service, each kind at `per_s` requests a second; a place is taken for 100 to 700 ms.
/// Counts what became of each.
struct Callers {
    admission: Admission,
    rng: SmallRng,
    ends: Vec<(u64, JobId)>,
    kinds: Vec<Kind>,
    next: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Kind {
    account: &'static str,
    priority: Priority,
    per_s: u64,
    asked: u64,
    in_time: u64,
    late: u64,
    refused: u64,
}

impl Callers {
    fn new(kinds: &[(&'static str, Priority, u64)]) -> Self {
        let kind = |&(account, priority, per_s)| Kind {
            account,
            priority,
            per_s,
            ..Kind::default()
        };
        Self {
            admission: Admission::default(),
            rng: SmallRng::seed_from_u64(3),
            ends: Vec::new(),
            kinds: kinds.iter().map(kind).collect(),
            next: 0,
        }
    }

    fn run(&mut self, from_ms: u64, to_ms: u64, quota: Quota) {
        for now_ms in from_ms..to_ms {
            self.end(now_ms, quota);
            for at in 0..self.kinds.len() {
                let per_s = self.kinds[at].per_s;
                if now_ms * per_s / 1_000 != (now_ms + 1) * per_s / 1_000 {
                    self.arrive(at, now_ms, quota);
                }
            }
        }
    }

    fn arrive(&mut self, at: usize, now_ms: u64, quota: Quota) {
        // Kind and time of arrival are read back from the id.
        self.next += 1;
        let id = self.next * 1_000_000_000 + at as u64 * 100_000_000 + now_ms;
        let kind = &mut self.kinds[at];
        kind.asked += 1;
        let ask = ask(id, kind.account, kind.priority, now_ms);
        match self.admission.offer(ask, quota, now_ms, &mut self.rng) {
            Offer::Start => self.started(JobId(id), now_ms),
            Offer::Wait => {}
            Offer::Refused(refusal) => {
                assert_eq!(refusal.run, RunState::NotRun);
                assert!(refusal.retry_after_ms > 0);
                self.kinds[at].refused += 1;
            }
        }
    }

    fn end(&mut self, now_ms: u64, quota: Quota) {
        let (over, running) = self.ends.iter().partition(|(at, _)| *at <= now_ms);
        self.ends = running;
        let over: Vec<(u64, JobId)> = over;
        for (_, id) in over {
            self.admission.finish(id, now_ms);
        }
        while let Some(ready) = self.admission.poll(quota, now_ms, &mut self.rng) {
            match ready {
                Ready::Start(id) => self.started(id, now_ms),
                Ready::Refused(id, _) => self.kinds[kind_of(id)].refused += 1,
            }
        }
    }

    fn started(&mut self, id: JobId, now_ms: u64) {
        let waited_ms = now_ms - id.0 % 100_000_000;
        let kind = &mut self.kinds[kind_of(id)];
        if waited_ms <= 250 {
            kind.in_time += 1;
        } else {
            kind.late += 1;
        }
        let took_ms = self.rng.random_range(100..700);
        self.ends.push((now_ms + took_ms, id));
    }

    fn in_time(&self, at: usize) -> f64 {
        self.kinds[at].in_time as f64 / self.kinds[at].asked as f64
    }
}

fn kind_of(id: JobId) -> usize {
    usize::try_from(id.0 / 100_000_000 % 10).unwrap()
}

/// Ten times what the places can do, for ten seconds. First come, first served would make everybody
/// late: each answer waits for all before it. Nearly all that the places do must be in time.
#[test]
fn goodput_stays_at_ten_times_the_load() {
    let mut callers = Callers::new(&[("a", Priority::Normal, 250)]);
    callers.run(0, 10_000, FULL);
    let Kind { in_time, late, .. } = callers.kinds[0];
    // 10 places of 400 ms: 25 a second.
    assert!(
        in_time + late >= 245,
        "places stayed empty: {in_time} + {late}"
    );
    assert!(in_time >= 190, "{in_time} in time, {late} late");
}

/// Urgent requests want half of the places, the least urgent want ten times all. Turned away at
/// random, nine of ten urgent ones would be refused.
#[test]
fn urgent_requests_are_served_before_others() {
    let kinds = [("a", Priority::Urgent, 12), ("a", Priority::Batch, 250)];
    let mut callers = Callers::new(&kinds);
    callers.run(0, 10_000, FULL);
    assert!(callers.in_time(0) > 0.95, "{:?}", callers.kinds);
    assert!(callers.kinds[1].in_time > 60, "{:?}", callers.kinds);
}

/// One account sends ten times what the others send. It gets what they leave, and they don't notice.
#[test]
fn account_at_ten_times_its_share_waits_behind_itself() {
    let kinds = [
        ("small", Priority::Normal, 6),
        ("other", Priority::Normal, 6),
        ("large", Priority::Normal, 120),
    ];
    let mut callers = Callers::new(&kinds);
    callers.run(0, 10_000, FULL);
    assert!(callers.in_time(0) > 0.95, "{:?}", callers.kinds);
    assert!(callers.in_time(1) > 0.95, "{:?}", callers.kinds);
    assert!(callers.kinds[2].in_time > 90, "{:?}", callers.kinds);
}

/// A burst of a quarter of a second, as large as the places do in 1.2 s. Nobody need be refused: all can
/// be answered well before they stop waiting.
#[test]
fn short_burst_is_queued_not_refused() {
    let mut callers = Callers::new(&[("a", Priority::Normal, 120)]);
    callers.run(0, 250, FULL);
    callers.kinds[0].per_s = 0;
    callers.run(250, 4_000, FULL);
    assert_eq!(callers.kinds[0].refused, 0, "{:?}", callers.kinds);
    assert_eq!(callers.admission.demand(), 0);
}

/// A surge ends. The next caller must find places within the time of one request, not behind a queue of
/// those that nobody waits for any more.
#[test]
fn surge_leaves_no_queue_behind() {
    let mut callers = Callers::new(&[("a", Priority::Normal, 250)]);
    callers.run(0, 5_000, FULL);
    callers.kinds[0].per_s = 20;
    callers.kinds[0].asked = 0;
    callers.kinds[0].in_time = 0;
    callers.run(5_000 + STANDING_MS, 8_000, FULL);
    assert!(callers.in_time(0) > 0.9, "{:?}", callers.kinds);
}

/// The others leave places, but this router hasn't told yet that it wants more: its callers wait for the
/// next telling and aren't refused beside idle upstreams.
#[test]
fn nobody_is_refused_while_others_leave_places() {
    let mut callers = Callers::new(&[("a", Priority::Normal, 250)]);
    callers.run(0, 2_000, FULL);
    let refused = callers.kinds[0].refused;
    let spare = Quota {
        allowed: 10,
        has_spare: true,
    };
    callers.run(2_000, 2_200, spare);
    assert_eq!(callers.kinds[0].refused, refused);
}

/// A caller goes while it waits: its place in the queue must not start a request that nobody wants.
#[test]
fn caller_that_went_is_forgotten() {
    let mut admission = Admission::default();
    let mut rng = SmallRng::seed_from_u64(1);
    let quota = Quota {
        allowed: 1,
        has_spare: false,
    };
    let first = admission.offer(ask(1, "a", Priority::Normal, 0), quota, 0, &mut rng);
    assert_eq!(first, Offer::Start);
    let second = admission.offer(ask(2, "a", Priority::Normal, 0), quota, 0, &mut rng);
    assert_eq!(second, Offer::Wait);
    admission.finish(JobId(2), 1);
    admission.finish(JobId(1), 2);
    assert_eq!(admission.poll(quota, 2, &mut rng), None);
    assert_eq!(admission.demand(), 0);
}

/// All who wait give up at once. Those who come later meet a new queue, a burst, not one that has stood for
/// as long as nobody waited: they may wait until their time would be over.
#[test]
fn queue_that_emptied_by_itself_is_a_new_one() {
    let mut admission = Admission::default();
    let mut rng = SmallRng::seed_from_u64(1);
    let quota = Quota {
        allowed: 1,
        has_spare: false,
    };
    admission.offer(ask(1, "a", Priority::Normal, 0), quota, 0, &mut rng);
    admission.offer(ask(2, "a", Priority::Normal, 0), quota, 0, &mut rng);
    admission.finish(JobId(2), 1);
    admission.offer(ask(3, "a", Priority::Normal, 5_000), quota, 5_000, &mut rng);
    assert_eq!(
        admission.poll(quota, 5_900, &mut rng),
        None,
        "it still waits"
    );
}

/// A ticket: over in 60 ms, to be answered within 300 ms, given up after 1.5 s.
fn ticket(id: u64, now_ms: u64) -> AdmissionRequest {
    let mut ask = ask(id, "a", Priority::Normal, now_ms);
    ask.job.deadline_ms = now_ms + 1_500;
    ask.objective_ms = 300;
    ask
}

/// Tickets come in a burst. Upstreams have three for each of their places, so one that starts takes some 180 ms, and a
/// long one 240 ms: it may wait here for the 60 ms that are left. Given the half of its objective that a longer request gets,
/// or the 600 ms of a burst, all would come late, each behind the one before.
#[test]
fn ticket_waits_for_what_the_upstreams_queue_leaves() {
    let (mut admission, mut rng) = (Admission::default(), SmallRng::seed_from_u64(1));
    for id in 0..40 {
        let started = admission.offer(ticket(id, 0), FULL, 0, &mut rng);
        assert_eq!(started, Offer::Start);
        admission.finish(JobId(id), 60);
    }
    assert_eq!(admission.fill(), 3.0);
    for id in 100..110 {
        let offer = admission.offer(ticket(id, 100), FULL, 100, &mut rng);
        assert_eq!(offer, Offer::Start);
    }
    // Ten places end a ticket each 6 ms.
    let offers = (110..130).map(|id| admission.offer(ticket(id, 100), FULL, 100, &mut rng));
    let offers: Vec<Offer> = offers.collect();
    let waiting = offers.iter().take_while(|o| **o == Offer::Wait).count();
    assert!((9..=11).contains(&waiting), "{waiting} wait");
    let refused = |o: &Offer| matches!(o, Offer::Refused(r) if r.run == RunState::NotRun);
    assert!(offers[waiting..].iter().all(refused), "at once, as not run");
    assert_eq!(admission.poll(FULL, 155, &mut rng), None);
    let given_up = admission.poll(FULL, 165, &mut rng);
    assert!(matches!(given_up, Some(Ready::Refused(..))), "{given_up:?}");
}
