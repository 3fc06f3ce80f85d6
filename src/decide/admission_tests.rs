use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::admission::{Admission, AdmissionRequest, Offer, Quota, Ready, STANDING_MS};
use super::refusal::RunState;
use super::{ChatKey, Cost, Job, JobId, Priority};

const FULL: Quota = Quota {
    allowed: 10,
    has_spare: false,
};

/// Takes 400 ms of a slot by the default rates, has an objective of 500 ms and a deadline of 6 s.
fn request(id: u64, account: &str, priority: Priority, now_ms: u64) -> AdmissionRequest {
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

/// Simulates the callers of one service, each kind at `per_s` requests a second. A request occupies
/// its slot for 100 to 700 ms.
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
    received: u64,
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
        // The id encodes kind and arrival time.
        self.next += 1;
        let id = self.next * 1_000_000_000 + at as u64 * 100_000_000 + now_ms;
        let kind = &mut self.kinds[at];
        kind.received += 1;
        let request = request(id, kind.account, kind.priority, now_ms);
        match self.admission.offer(request, quota, now_ms, &mut self.rng) {
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
        let (ended, running) = self.ends.iter().partition(|(at, _)| *at <= now_ms);
        self.ends = running;
        let ended: Vec<(u64, JobId)> = ended;
        for (_, id) in ended {
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
        self.kinds[at].in_time as f64 / self.kinds[at].received as f64
    }
}

fn kind_of(id: JobId) -> usize {
    usize::try_from(id.0 / 100_000_000 % 10).unwrap()
}

/// Ten times the capacity of the slots for ten seconds. First come, first served would make every
/// answer late, by the wait of all before it. Nearly all answers that the slots produce are in
/// time.
#[test]
fn goodput_stays_at_ten_times_the_load() {
    let mut callers = Callers::new(&[("a", Priority::Normal, 250)]);
    callers.run(0, 10_000, FULL);
    let Kind { in_time, late, .. } = callers.kinds[0];
    // 10 slots of 400 ms: 25 a second.
    assert!(
        in_time + late >= 245,
        "slots stayed empty: {in_time} + {late}"
    );
    assert!(in_time >= 190, "{in_time} in time, {late} late");
}

/// Urgent requests need half of the slots, the least urgent ones ten times all of them. Refused at
/// random, nine of ten urgent ones would fail.
#[test]
fn urgent_requests_are_served_before_others() {
    let kinds = [("a", Priority::Urgent, 12), ("a", Priority::Batch, 250)];
    let mut callers = Callers::new(&kinds);
    callers.run(0, 10_000, FULL);
    assert!(callers.in_time(0) > 0.95, "{:?}", callers.kinds);
    assert!(callers.kinds[1].in_time > 60, "{:?}", callers.kinds);
}

/// One account sends ten times what the others send. It gets the rest of the slots, and the other
/// accounts are unaffected.
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

/// A burst of a quarter of a second, as large as the capacity of 1.2 s. No request is refused: all
/// can be answered well before their deadlines.
#[test]
fn short_burst_is_queued_not_refused() {
    let mut callers = Callers::new(&[("a", Priority::Normal, 120)]);
    callers.run(0, 250, FULL);
    callers.kinds[0].per_s = 0;
    callers.run(250, 4_000, FULL);
    assert_eq!(callers.kinds[0].refused, 0, "{:?}", callers.kinds);
    assert_eq!(callers.admission.demand(), 0);
}

/// A surge ends. New callers get slots within the time of one request, and don't wait behind a
/// queue of requests whose callers have given up.
#[test]
fn surge_leaves_no_queue_behind() {
    let mut callers = Callers::new(&[("a", Priority::Normal, 250)]);
    callers.run(0, 5_000, FULL);
    callers.kinds[0].per_s = 20;
    callers.kinds[0].received = 0;
    callers.kinds[0].in_time = 0;
    callers.run(5_000 + STANDING_MS, 8_000, FULL);
    assert!(callers.in_time(0) > 0.9, "{:?}", callers.kinds);
}

/// The other routers leave slots free, but this router hasn't reported its higher demand yet. Its
/// callers wait for the next report and aren't refused while upstreams idle.
#[test]
fn no_request_is_refused_while_others_leave_slots() {
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

/// A caller disconnects while its request waits; the request must not be started.
#[test]
fn request_of_a_disconnected_caller_is_removed() {
    let mut admission = Admission::default();
    let mut rng = SmallRng::seed_from_u64(1);
    let quota = Quota {
        allowed: 1,
        has_spare: false,
    };
    let first = admission.offer(request(1, "a", Priority::Normal, 0), quota, 0, &mut rng);
    assert_eq!(first, Offer::Start);
    let second = admission.offer(request(2, "a", Priority::Normal, 0), quota, 0, &mut rng);
    assert_eq!(second, Offer::Wait);
    admission.finish(JobId(2), 1);
    admission.finish(JobId(1), 2);
    assert_eq!(admission.poll(quota, 2, &mut rng), None);
    assert_eq!(admission.demand(), 0);
}

/// All waiting requests are withdrawn. Later ones meet a new queue, which is a burst, not one that
/// has been standing since the first wait, so they may wait for as long as a burst's requests.
#[test]
fn queue_that_emptied_without_starts_is_a_new_one() {
    let mut admission = Admission::default();
    let mut rng = SmallRng::seed_from_u64(1);
    let quota = Quota {
        allowed: 1,
        has_spare: false,
    };
    admission.offer(request(1, "a", Priority::Normal, 0), quota, 0, &mut rng);
    admission.offer(request(2, "a", Priority::Normal, 0), quota, 0, &mut rng);
    admission.finish(JobId(2), 1);
    admission.offer(
        request(3, "a", Priority::Normal, 5_000),
        quota,
        5_000,
        &mut rng,
    );
    assert_eq!(
        admission.poll(quota, 5_900, &mut rng),
        None,
        "request 3 still waits"
    );
}

/// A short request: takes 60 ms, has an objective of 300 ms and a deadline of 1.5 s.
fn short_request(id: u64, now_ms: u64) -> AdmissionRequest {
    let mut request = request(id, "a", Priority::Normal, now_ms);
    request.job.deadline_ms = now_ms + 1_500;
    request.objective_ms = 300;
    request
}

/// Short requests arrive in a burst. Upstreams take three for each slot, so one that starts takes
/// some 180 ms, a long one 240 ms, and it may wait here for the remaining 60 ms. Given half of its
/// objective like a longer request, or the 600 ms of a burst, all would be late, each behind the
/// one before.
#[test]
fn short_request_waits_for_what_the_upstreams_queue_leaves() {
    let (mut admission, mut rng) = (Admission::default(), SmallRng::seed_from_u64(1));
    for id in 0..40 {
        let started = admission.offer(short_request(id, 0), FULL, 0, &mut rng);
        assert_eq!(started, Offer::Start);
        admission.finish(JobId(id), 60);
    }
    assert_eq!(admission.requests_per_slot(), 3.0);
    for id in 100..110 {
        let offer = admission.offer(short_request(id, 100), FULL, 100, &mut rng);
        assert_eq!(offer, Offer::Start);
    }
    // Ten slots end a short request every 6 ms.
    let offers = (110..130).map(|id| admission.offer(short_request(id, 100), FULL, 100, &mut rng));
    let offers: Vec<Offer> = offers.collect();
    let waiting = offers.iter().take_while(|o| **o == Offer::Wait).count();
    assert!((9..=11).contains(&waiting), "{waiting} wait");
    let refused = |o: &Offer| matches!(o, Offer::Refused(r) if r.run == RunState::NotRun);
    assert!(offers[waiting..].iter().all(refused), "at once, as not run");
    assert_eq!(admission.poll(FULL, 155, &mut rng), None);
    let refused_late = admission.poll(FULL, 165, &mut rng);
    assert!(
        matches!(refused_late, Some(Ready::Refused(..))),
        "{refused_late:?}"
    );
}
