//! A simulated network for the membership tests: each datagram is delivered after a delay, lost, or
//! held back while its receiver is frozen. The clock and the random numbers belong to the test.
#![allow(dead_code, reason = "each user needs a part of it")]

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cassiagrade::decide::Name;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use cassiagrade::fleet::member::{Member, MemberState};
use cassiagrade::fleet::swim::{Listed, Message, Outgoing, Swim, SwimPolicy};

const TICK_MS: u64 = 50;
const MAX_MEMBERS: usize = 2;

pub(crate) struct InFlight {
    from: usize,
    to: SocketAddr,
    incarnation: u64,
    updates: Vec<Member>,
    message: Message,
}

pub(crate) struct Node {
    pub(crate) swim: Swim,
    pub(crate) up: bool,
    pub(crate) frozen_until_ms: u64,
    pub(crate) partition: u8,
}

/// A fleet in which node `i` listens at port `1000 + i`.
pub(crate) struct Net {
    pub(crate) nodes: Vec<Node>,
    in_flight: BTreeMap<(u64, u64), InFlight>,
    pub(crate) sent: u64,
    pub(crate) now_ms: u64,
    pub(crate) loss: f64,
    pub(crate) rng: SmallRng,
}

pub(crate) fn host(i: usize) -> Name {
    format!("host-{i}").into()
}

pub(crate) fn member(i: usize, incarnation: u64) -> Member {
    Member {
        host: host(i),
        data_center: "north".into(),
        incarnation,
        state: MemberState::Alive,
        peer_addr: format!("127.0.0.1:{}", 1000 + i).into(),
        caller_addr: format!("127.0.0.1:{}", 3000 + i).into(),
    }
}

impl Net {
    /// Starts `n` routers that have read the platform's host list, and runs them for `settle_ms`.
    pub(crate) fn start(n: usize, settle_ms: u64) -> Self {
        let mut net = Self {
            nodes: Vec::new(),
            in_flight: BTreeMap::new(),
            sent: 0,
            now_ms: 1,
            loss: 0.0,
            rng: SmallRng::seed_from_u64(7),
        };
        for i in 0..n {
            net.nodes.push(net.node(i, 1_000));
        }
        for i in 0..n {
            net.merge_host_list(i);
        }
        net.run(settle_ms);
        net
    }

    pub(crate) fn node(&self, i: usize, incarnation: u64) -> Node {
        let me = member(i, incarnation);
        Node {
            swim: Swim::new(me, SwimPolicy::default(), self.now_ms),
            up: true,
            frozen_until_ms: 0,
            partition: 0,
        }
    }

    /// Node `i` reads the host list, which names every host.
    pub(crate) fn merge_host_list(&mut self, i: usize) {
        let hosts = (0..self.nodes.len()).map(|k| Listed {
            member: member(k, 0),
            leaving: false,
        });
        let now_ms = self.now_ms;
        self.nodes[i].swim.merge_listed(hosts.collect(), now_ms);
    }

    /// Replaces the host of node `i` by another process with the same name and address.
    pub(crate) fn replace(&mut self, i: usize, incarnation: u64) {
        self.nodes[i] = self.node(i, incarnation);
        self.merge_host_list(i);
    }

    pub(crate) fn run(&mut self, ms: u64) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.now_ms += 1;
            self.deliver();
            if self.now_ms.is_multiple_of(TICK_MS) {
                self.tick();
            }
        }
    }

    /// Runs until `condition` is true and returns the time it took; panics after `limit_ms`.
    pub(crate) fn run_until(&mut self, limit_ms: u64, condition: impl Fn(&Self) -> bool) -> u64 {
        let start_ms = self.now_ms;
        while !condition(self) && self.now_ms - start_ms < limit_ms {
            self.run(10);
        }
        assert!(condition(self), "condition not met within {limit_ms} ms");
        self.now_ms - start_ms
    }

    pub(crate) fn is_running(&self, i: usize) -> bool {
        self.nodes[i].up && self.nodes[i].frozen_until_ms <= self.now_ms
    }

    pub(crate) fn tick(&mut self) {
        for i in 0..self.nodes.len() {
            if self.is_running(i) {
                let out = self.nodes[i].swim.tick(self.now_ms, &mut self.rng);
                self.send(i, out);
            }
        }
    }

    pub(crate) fn send(&mut self, from: usize, out: Vec<Outgoing>) {
        for Outgoing { to, host, message } in out {
            let swim = &mut self.nodes[from].swim;
            let updates = swim.updates_for(host.as_ref(), MAX_MEMBERS, &mut self.rng);
            let incarnation = swim.me().incarnation;
            self.sent += 1;
            if self.rng.random_bool(self.loss) {
                continue;
            }
            let at_ms = self.now_ms + self.rng.random_range(1..4);
            let in_flight = InFlight {
                from,
                to,
                incarnation,
                updates,
                message,
            };
            self.in_flight.insert((at_ms, self.sent), in_flight);
        }
    }

    pub(crate) fn deliver(&mut self) {
        let due = self.in_flight.split_off(&(self.now_ms + 1, 0));
        let due = std::mem::replace(&mut self.in_flight, due);
        for ((at_ms, n), in_flight) in due {
            let to = usize::from(in_flight.to.port()) - 1000;
            let partitioned = self.nodes[to].partition != self.nodes[in_flight.from].partition;
            if !self.nodes[to].up || partitioned {
                continue;
            }
            if !self.is_running(to) {
                self.in_flight.insert((at_ms + 1, n), in_flight);
                continue;
            }
            self.receive(to, in_flight);
        }
    }

    pub(crate) fn receive(&mut self, to: usize, in_flight: InFlight) {
        let now_ms = self.now_ms;
        let from = SocketAddr::from((
            [127, 0, 0, 1],
            1000 + u16::try_from(in_flight.from).unwrap(),
        ));
        let swim = &mut self.nodes[to].swim;
        swim.merge(in_flight.updates, now_ms);
        swim.record_contact(&host(in_flight.from), in_flight.incarnation, now_ms);
        let out = swim.receive(from, in_flight.message, now_ms);
        self.send(to, out);
    }

    pub(crate) fn state(&self, at: usize, of: usize) -> MemberState {
        let member = self.nodes[at].swim.member(&host(of));
        member.map_or(MemberState::Dead, |m| m.state)
    }

    /// Whether all running nodes list node `of` in `state`.
    pub(crate) fn all_see(&self, of: usize, state: MemberState) -> bool {
        let others = (0..self.nodes.len()).filter(|i| *i != of && self.nodes[*i].up);
        others.into_iter().all(|i| self.state(i, of) == state)
    }

    pub(crate) fn views_agree(&self) -> bool {
        let up: Vec<usize> = (0..self.nodes.len())
            .filter(|i| self.nodes[*i].up)
            .collect();
        let members_at = |at: &usize| self.nodes[*at].swim.view().members;
        up.iter().all(|at| members_at(at) == members_at(&up[0]))
    }
}
