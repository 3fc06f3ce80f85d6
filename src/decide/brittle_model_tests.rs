//! Three ways to keep brittle upstreams from falling, on the same days.
//!
//! A service of brittle upstreams, a burst of three times its traffic, a third of its routers killed in the
//! middle of it and back later, and some routers whose list of routers stays as it was. Routers reach
//! upstreams and each other after a few milliseconds, and learn of deaths and returns within seconds.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use test_case::test_case;

use super::brittle::{Gate, WINDOW_MS};
use crate::util;

const UPSTREAMS: usize = 12;
const SLOTS: u32 = 8;
/// Requests that wait at an upstream at first, and from [`NOTICE_MS`] on.
const PLACES: usize = 4;
const FEWER_PLACES: usize = 1;
const WORK_MS: f64 = 200.0;
/// Share of what the upstreams can run that arrives, outside the burst.
const CALM_LOAD: f64 = 0.7;
const BURST: f64 = 3.0;
const HOP_MS: std::ops::RangeInclusive<u64> = 1..=4;
/// From when on the upstreams say that they are brittle.
const BRITTLE_MS: u64 = 2_000;
const NOTICE_MS: u64 = 5_000;
const BURST_MS: std::ops::Range<u64> = 8_000..18_000;
const KILL_MS: u64 = 11_000;
const RETURN_MS: u64 = 14_000;
const END_MS: u64 = 24_000;
const DOWN_MS: u64 = 2_000;
/// Interval of the routers' reports.
const REPORT_MS: u64 = 1_000;
/// Time from a router's start until it is the home of any upstream: until all others know that it is back,
/// and what they sent in its place has ended.
const SETTLE_MS: u64 = 1_200;
/// One router in so many never learns of a death.
const DEAF: usize = 20;
/// Homes that a router asks for one request.
const MAX_ASKED: usize = 3;

/// How routers limit what they send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    /// By requests in flight per router and upstream, shrunk by rejections.
    InFlight,
    /// By a gate at the one home of each upstream.
    Home,
    /// By a share of the service's slots, before an upstream is chosen.
    Service,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    /// A request at an upstream, sent by a router in its given life.
    Reaches {
        upstream: usize,
        start: u32,
        sender: usize,
        life: u32,
    },
    /// A request at the router that a first one asked.
    Asked {
        upstream: usize,
        router: usize,
        from: usize,
        asked: usize,
    },
    /// The end of a run at an upstream.
    Ends { upstream: usize, start: u32 },
    /// An answer at the router that had sent the request.
    Answered {
        upstream: usize,
        sender: usize,
        life: u32,
        is_rejection: bool,
    },
}

struct Upstream {
    start: u32,
    up_ms: u64,
    running: u32,
    waiting: VecDeque<(usize, u32)>,
    /// Senders of the requests that run; which one ends is random.
    senders: Vec<(usize, u32)>,
    turned_away: VecDeque<u64>,
}

struct Router {
    life: u32,
    is_up: bool,
    /// Until when it counts the killed routers as alive, and from when on as back.
    sees_death_ms: u64,
    sees_return_ms: u64,
    arrived: f64,
    tokens: f64,
    refilled_ms: u64,
}

/// What a day shows.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    /// Falls from [`NOTICE_MS`] on.
    falls: u32,
    /// Falls before, while some or all routers haven't heard that the upstreams are brittle.
    falls_unheard: u32,
    /// Most requests that one upstream turned away in a second, from [`NOTICE_MS`] on.
    most_turned_away: usize,
    turned_away: u32,
    /// Share of what the upstreams can run that they ran in the burst.
    used: f64,
    /// Share of the requests outside the burst that were served.
    served_calm: f64,
    /// Requests that were passed to another router, per request served.
    hops: f64,
}

struct Day {
    way: Way,
    borne: u32,
    rng: SmallRng,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    seq: u64,
    upstreams: Vec<Upstream>,
    routers: Vec<Router>,
    gates: HashMap<(usize, usize), Gate>,
    /// Routers that refused a connection of another, which comes first.
    gone: HashSet<(usize, usize)>,
    /// Limit and requests in flight by router and upstream.
    in_flight: HashMap<(usize, usize), (f64, u32)>,
    /// Routers in each upstream's order.
    orders: Vec<Vec<usize>>,
    outcome: Outcome,
    served_burst: u32,
    served_calm: u32,
    arrived_calm: u32,
    hops: u32,
    served: u32,
}

impl Day {
    fn new(way: Way, routers: usize, borne: u32, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let router = |i: usize, rng: &mut SmallRng| Router {
            life: 0,
            is_up: true,
            sees_death_ms: if i.is_multiple_of(DEAF) {
                u64::MAX
            } else {
                KILL_MS + rng.random_range(500..2_500)
            },
            sees_return_ms: RETURN_MS + rng.random_range(0..REPORT_MS),
            arrived: 0.0,
            tokens: 1.0,
            refilled_ms: 0,
        };
        let order = |upstream: usize| {
            let score =
                |router: &usize| util::mix(util::mix(seed, upstream as u64), *router as u64);
            let mut order: Vec<usize> = (0..routers).collect();
            order.sort_unstable_by_key(|router| Reverse(score(router)));
            order
        };
        Self {
            way,
            borne,
            now_ms: 0,
            events: BinaryHeap::new(),
            seq: 0,
            upstreams: (0..UPSTREAMS)
                .map(|_| Upstream {
                    start: 0,
                    up_ms: 0,
                    running: 0,
                    waiting: VecDeque::new(),
                    senders: Vec::new(),
                    turned_away: VecDeque::new(),
                })
                .collect(),
            routers: (0..routers).map(|i| router(i, &mut rng)).collect(),
            gates: HashMap::new(),
            gone: HashSet::new(),
            in_flight: HashMap::new(),
            orders: (0..UPSTREAMS).map(order).collect(),
            rng,
            outcome: Outcome::default(),
            served_burst: 0,
            served_calm: 0,
            arrived_calm: 0,
            hops: 0,
            served: 0,
        }
    }

    fn run(mut self) -> Outcome {
        let rate = CALM_LOAD * UPSTREAMS as f64 * f64::from(SLOTS) / WORK_MS;
        let mut due_ms = 0.0;
        while self.now_ms < END_MS {
            if self.now_ms == KILL_MS || self.now_ms == RETURN_MS {
                self.kill_or_return();
            }
            let factor = if BURST_MS.contains(&self.now_ms) {
                BURST
            } else {
                1.0
            };
            while due_ms <= self.now_ms as f64 {
                due_ms -= (1.0 - self.rng.random::<f64>()).ln() / (rate * factor);
                self.arrives();
            }
            while let Some(Reverse((at_ms, _, event))) = self.events.peek().copied()
                && at_ms <= self.now_ms
            {
                self.events.pop();
                self.handle(event);
            }
            self.now_ms += 1;
        }
        let burst_ms = (BURST_MS.end - BURST_MS.start) as f64;
        let possible = UPSTREAMS as f64 * f64::from(SLOTS) * burst_ms / WORK_MS;
        Outcome {
            used: f64::from(self.served_burst) / possible,
            served_calm: f64::from(self.served_calm) / f64::from(self.arrived_calm),
            hops: f64::from(self.hops) / f64::from(self.served.max(1)),
            ..self.outcome
        }
    }

    fn kill_or_return(&mut self) {
        let is_up = self.now_ms == RETURN_MS;
        for at in (0..self.routers.len()).filter(|at| Self::is_killed(*at)) {
            let router = &mut self.routers[at];
            router.is_up = is_up;
            router.life += 1;
            router.sees_death_ms = 0;
            router.sees_return_ms = 0;
            self.gates.retain(|(router, _), _| *router != at);
            self.in_flight.retain(|(router, _), _| *router != at);
        }
    }

    fn is_killed(router: usize) -> bool {
        router % 3 == 1
    }

    fn after(&mut self, delay_ms: u64, event: Event) {
        self.seq += 1;
        self.events
            .push(Reverse((self.now_ms + delay_ms, self.seq, event)));
    }

    fn hop(&mut self, event: Event) {
        let delay_ms = self.rng.random_range(HOP_MS);
        self.after(delay_ms, event);
    }

    fn arrives(&mut self) {
        let router = loop {
            let router = self.rng.random_range(0..self.routers.len());
            if self.routers[router].is_up {
                break router;
            }
        };
        self.arrived_calm += u32::from(self.is_calm());
        let is_brittle = self.now_ms >= BRITTLE_MS + REPORT_MS;
        match self.way {
            Way::Home if is_brittle => self.ask(router, 0),
            Way::InFlight if is_brittle => self.send_within_limit(router),
            Way::Service if is_brittle => self.send_within_share(router),
            _ => {
                let upstream = self.rng.random_range(0..UPSTREAMS);
                self.send(router, upstream);
            }
        }
    }

    fn is_calm(&self) -> bool {
        (NOTICE_MS..BURST_MS.start).contains(&self.now_ms) || self.now_ms >= BURST_MS.end + 1_000
    }

    fn send(&mut self, router: usize, upstream: usize) {
        let (start, life) = (self.upstreams[upstream].start, self.routers[router].life);
        self.hop(Event::Reaches {
            upstream,
            start,
            sender: router,
            life,
        });
    }

    /// The router that `router` takes for the home of `upstream`.
    fn home(&self, router: usize, upstream: usize) -> usize {
        let Router {
            sees_death_ms,
            sees_return_ms,
            ..
        } = self.routers[router];
        let is_gone = self.now_ms >= sees_death_ms && self.now_ms < sees_return_ms;
        let is_back = self.now_ms >= sees_return_ms;
        let is_refused = |at: usize| !is_back && self.gone.contains(&(router, at));
        let is_home = |at: usize| !(is_refused(at) || is_gone && Self::is_killed(at));
        *self.orders[upstream]
            .iter()
            .find(|at| is_home(**at))
            .unwrap()
    }

    fn ask(&mut self, router: usize, asked: usize) {
        if asked == MAX_ASKED {
            return;
        }
        let upstream = self.rng.random_range(0..UPSTREAMS);
        self.ask_for(upstream, router, asked);
    }

    fn ask_for(&mut self, upstream: usize, router: usize, asked: usize) {
        if asked == MAX_ASKED {
            return;
        }
        let home = self.home(router, upstream);
        let event = Event::Asked {
            upstream,
            router: home,
            from: router,
            asked,
        };
        if home == router {
            self.handle(event);
        } else {
            self.hops += 1;
            self.hop(event);
        }
    }

    fn is_asked(&mut self, upstream: usize, router: usize, from: usize, asked: usize) {
        if !self.routers[router].is_up {
            // The connection is refused.
            self.gone.insert((from, router));
            self.ask_for(upstream, from, asked + 1);
            return;
        }
        let first = self.home(router, upstream);
        if !self.routers[first].is_up {
            self.gone.insert((router, first));
        }
        let is_home = self.home(router, upstream) == router && !self.is_settling(router);
        let (now_ms, borne) = (self.now_ms, self.borne);
        let gate = self.gates.entry((router, upstream));
        let gate = gate.or_insert_with(|| Gate::new(SLOTS, borne));
        if !is_home {
            gate.hand_over();
        }
        if is_home && gate.send(now_ms) {
            self.send(router, upstream);
        } else {
            // The refusal's way back is short beside what follows.
            self.ask(from, asked + 1);
        }
    }

    /// Whether a router has started so recently that another one may still stand in for it.
    fn is_settling(&self, router: usize) -> bool {
        Self::is_killed(router) && (RETURN_MS..RETURN_MS + SETTLE_MS).contains(&self.now_ms)
    }

    fn send_within_limit(&mut self, router: usize) {
        let first = self.rng.random_range(0..UPSTREAMS);
        for upstream in (0..UPSTREAMS).map(|i| (first + i) % UPSTREAMS) {
            let fraction = self.rng.random::<f64>();
            let entry = self.in_flight.entry((router, upstream));
            let (limit, in_flight) = entry.or_insert((f64::from(SLOTS), 0));
            // A limit below one is kept on average.
            if f64::from(*in_flight) + fraction < *limit {
                *in_flight += 1;
                self.send(router, upstream);
                return;
            }
        }
    }

    /// Each router may begin its share of what the upstreams can run, by the demand of the last report.
    fn send_within_share(&mut self, router: usize) {
        let now_ms = self.now_ms;
        let up = self.routers.iter().filter(|r| r.is_up).count();
        let rate = UPSTREAMS as f64 * f64::from(SLOTS) / WORK_MS / up as f64;
        let own = &mut self.routers[router];
        own.arrived += 1.0;
        let spent_ms = now_ms - own.refilled_ms;
        own.refilled_ms = now_ms;
        own.tokens = (own.tokens + rate * spent_ms as f64).min((rate * 100.0).max(1.0));
        if own.tokens < 1.0 {
            return;
        }
        own.tokens -= 1.0;
        let upstream = self.rng.random_range(0..UPSTREAMS);
        self.send(router, upstream);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Reaches {
                upstream,
                start,
                sender,
                life,
            } => {
                self.reaches(upstream, start, sender, life);
            }
            Event::Asked {
                upstream,
                router,
                from,
                asked,
            } => {
                self.is_asked(upstream, router, from, asked);
            }
            Event::Ends { upstream, start } => self.ends(upstream, start),
            Event::Answered {
                upstream,
                sender,
                life,
                is_rejection,
            } => {
                if self.routers[sender].life == life {
                    self.is_answered(upstream, sender, is_rejection);
                }
            }
        }
    }

    fn reaches(&mut self, at: usize, start: u32, sender: usize, life: u32) {
        let places = if self.now_ms < NOTICE_MS {
            PLACES
        } else {
            FEWER_PLACES
        };
        let now_ms = self.now_ms;
        let upstream = &mut self.upstreams[at];
        if upstream.start != start || now_ms < upstream.up_ms {
            self.hop(Event::Answered {
                upstream: at,
                sender,
                life,
                is_rejection: false,
            });
        } else if upstream.running < SLOTS {
            self.begin(at, sender, life);
        } else if upstream.waiting.len() < places {
            upstream.waiting.push_back((sender, life));
        } else {
            self.turn_away(at, sender, life);
        }
    }

    fn begin(&mut self, at: usize, sender: usize, life: u32) {
        let upstream = &mut self.upstreams[at];
        upstream.running += 1;
        upstream.senders.push((sender, life));
        let start = upstream.start;
        let work_ms = -WORK_MS * (1.0 - self.rng.random::<f64>()).ln();
        self.after(
            work_ms.ceil() as u64,
            Event::Ends {
                upstream: at,
                start,
            },
        );
    }

    fn turn_away(&mut self, at: usize, sender: usize, life: u32) {
        let now_ms = self.now_ms;
        let upstream = &mut self.upstreams[at];
        let turned_away = &mut upstream.turned_away;
        turned_away.push_back(now_ms);
        while turned_away
            .front()
            .is_some_and(|ms| now_ms - ms >= WINDOW_MS)
        {
            turned_away.pop_front();
        }
        let count = turned_away.len();
        self.outcome.turned_away += 1;
        if now_ms >= NOTICE_MS {
            self.outcome.most_turned_away = self.outcome.most_turned_away.max(count);
        }
        if now_ms >= BRITTLE_MS && count > self.borne as usize {
            self.fall(at);
        } else {
            self.hop(Event::Answered {
                upstream: at,
                sender,
                life,
                is_rejection: true,
            });
        }
    }

    fn fall(&mut self, at: usize) {
        if self.now_ms < NOTICE_MS {
            self.outcome.falls_unheard += 1;
        } else {
            self.outcome.falls += 1;
        }
        let upstream = &mut self.upstreams[at];
        upstream.start += 1;
        upstream.up_ms = self.now_ms + DOWN_MS;
        upstream.running = 0;
        upstream.turned_away.clear();
        let lost: Vec<(usize, u32)> = upstream
            .senders
            .drain(..)
            .chain(upstream.waiting.drain(..))
            .collect();
        for (sender, life) in lost {
            self.hop(Event::Answered {
                upstream: at,
                sender,
                life,
                is_rejection: false,
            });
        }
    }

    fn ends(&mut self, at: usize, start: u32) {
        if self.upstreams[at].start != start {
            return;
        }
        self.served += 1;
        self.served_calm += u32::from(self.is_calm());
        self.served_burst += u32::from(BURST_MS.contains(&self.now_ms));
        let upstream = &mut self.upstreams[at];
        upstream.running -= 1;
        let which = self.rng.random_range(0..upstream.senders.len());
        let (sender, life) = upstream.senders.swap_remove(which);
        let next = upstream.waiting.pop_front();
        self.hop(Event::Answered {
            upstream: at,
            sender,
            life,
            is_rejection: false,
        });
        if let Some((sender, life)) = next {
            self.begin(at, sender, life);
        }
    }

    fn is_answered(&mut self, upstream: usize, sender: usize, is_rejection: bool) {
        let now_ms = self.now_ms;
        if let Some(gate) = self.gates.get_mut(&(sender, upstream)) {
            if is_rejection {
                gate.rejected(now_ms);
            } else {
                gate.ended();
            }
        }
        if let Some((limit, in_flight)) = self.in_flight.get_mut(&(sender, upstream)) {
            *in_flight = in_flight.saturating_sub(1);
            *limit = if is_rejection {
                *limit / 2.0
            } else {
                *limit + 0.1 / limit.max(0.1)
            };
            *limit = limit.clamp(0.01, f64::from(SLOTS));
        }
    }
}

/// Days on which the way that is kept must hold.
const SEEDS: u64 = 10;
/// Days for the comparison with the others.
const FEW_SEEDS: u64 = 2;

/// The worst of some days; the means for what is served.
fn worst(way: Way, routers: usize, borne: u32, seeds: u64) -> Outcome {
    let days: Vec<Outcome> = (1..=seeds)
        .map(|seed| Day::new(way, routers, borne, seed).run())
        .collect();
    let mean = |of: fn(&Outcome) -> f64| days.iter().map(of).sum::<f64>() / days.len() as f64;
    Outcome {
        falls: days.iter().map(|day| day.falls).max().unwrap(),
        falls_unheard: days.iter().map(|day| day.falls_unheard).max().unwrap(),
        most_turned_away: days.iter().map(|day| day.most_turned_away).max().unwrap(),
        turned_away: days.iter().map(|day| day.turned_away).max().unwrap(),
        used: mean(|day| day.used),
        served_calm: mean(|day| day.served_calm),
        hops: mean(|day| day.hops),
    }
}

/// Many routers that each send little are too many together: an upstream turns away more than it bears, and
/// falls.
#[test_case(9)]
#[test_case(390)]
#[test_case(985)]
fn home_of_an_upstream_keeps_it_from_falling(routers: usize) {
    for borne in [2, 10, 50] {
        let day = worst(Way::Home, routers, borne, SEEDS);
        println!("{routers} routers, {borne} borne, {:?}: {day:?}", Way::Home);
        assert_eq!(day.falls, 0, "{borne} borne: {day:?}");
        assert!(
            day.most_turned_away <= borne as usize,
            "{borne} borne: {day:?}"
        );
        assert!(day.used >= 0.9, "{borne} borne: {day:?}");
    }
}

/// The grounds for one home: without it the upstreams of a large fleet fall, by either of the other ways.
#[test_case(Way::InFlight)]
#[test_case(Way::Service)]
fn limits_of_single_routers_let_upstreams_fall(way: Way) {
    for (routers, borne) in [9, 390, 985]
        .into_iter()
        .flat_map(|r| [2, 10, 50].map(|b| (r, b)))
    {
        let day = worst(way, routers, borne, FEW_SEEDS);
        println!("{routers} routers, {borne} borne, {way:?}: {day:?}");
        if routers > 9 && borne <= 10 {
            assert!(day.falls > 0, "{routers} routers, {borne} borne: {day:?}");
        }
    }
}
