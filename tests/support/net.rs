//! A small fake network under the membership: every datagram is delivered after a delay, lost, or
//! held back while its receiver is frozen. Time and chance are the test's own.
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

pub(crate) struct Flying {
    from: usize,
    to: SocketAddr,
    incarnation: u64,
    rumours: Vec<Member>,
    message: Message,
}

pub(crate) struct Node {
    pub(crate) swim: Swim,
    pub(crate) up: bool,
    pub(crate) frozen_until_ms: u64,
    pub(crate) side: u8,
}

/// A fleet in which node `i` listens at port `1000 + i`.
pub(crate) struct Net {
    pub(crate) nodes: Vec<Node>,
    flying: BTreeMap<(u64, u64), Flying>,
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
    /// `n` routers that have read the platform's list and run for `settle_ms`.
    pub(crate) fn start(n: usize, settle_ms: u64) -> Self {
        let mut net = Self {
            nodes: Vec::new(),
            flying: BTreeMap::new(),
            sent: 0,
            now_ms: 1,
            loss: 0.0,
            rng: SmallRng::seed_from_u64(7),
        };
        for i in 0..n {
            net.nodes.push(net.node(i, 1_000));
        }
        for i in 0..n {
            net.list(i);
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
            side: 0,
        }
    }

    /// Node `i` reads the list, which names every host.
    pub(crate) fn list(&mut self, i: usize) {
        let hosts = (0..self.nodes.len()).map(|k| Listed {
            member: member(k, 0),
            leaving: false,
        });
        let now_ms = self.now_ms;
        self.nodes[i].swim.merge_listed(hosts.collect(), now_ms);
    }

    /// The host of node `i` is replaced by another process under the same name and address.
    pub(crate) fn replace(&mut self, i: usize, incarnation: u64) {
        self.nodes[i] = self.node(i, incarnation);
        self.list(i);
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

    /// Runs until `holds` or `limit_ms` passed; tells how long it took.
    pub(crate) fn until(&mut self, limit_ms: u64, holds: impl Fn(&Self) -> bool) -> u64 {
        let start_ms = self.now_ms;
        while !holds(self) && self.now_ms - start_ms < limit_ms {
            self.run(10);
        }
        assert!(holds(self), "not within {limit_ms} ms");
        self.now_ms - start_ms
    }

    pub(crate) fn runs(&self, i: usize) -> bool {
        self.nodes[i].up && self.nodes[i].frozen_until_ms <= self.now_ms
    }

    pub(crate) fn tick(&mut self) {
        for i in 0..self.nodes.len() {
            if self.runs(i) {
                let out = self.nodes[i].swim.tick(self.now_ms, &mut self.rng);
                self.send(i, out);
            }
        }
    }

    pub(crate) fn send(&mut self, from: usize, out: Vec<Outgoing>) {
        for Outgoing { to, host, message } in out {
            let swim = &mut self.nodes[from].swim;
            let rumours = swim.updates_for(host.as_ref(), MAX_MEMBERS, &mut self.rng);
            let incarnation = swim.me().incarnation;
            self.sent += 1;
            if self.rng.random_bool(self.loss) {
                continue;
            }
            let at_ms = self.now_ms + self.rng.random_range(1..4);
            let flying = Flying {
                from,
                to,
                incarnation,
                rumours,
                message,
            };
            self.flying.insert((at_ms, self.sent), flying);
        }
    }

    pub(crate) fn deliver(&mut self) {
        let due = self.flying.split_off(&(self.now_ms + 1, 0));
        let due = std::mem::replace(&mut self.flying, due);
        for ((at_ms, n), flying) in due {
            let to = usize::from(flying.to.port()) - 1000;
            let cut = self.nodes[to].side != self.nodes[flying.from].side;
            if !self.nodes[to].up || cut {
                continue;
            }
            if !self.runs(to) {
                self.flying.insert((at_ms + 1, n), flying);
                continue;
            }
            self.receive(to, flying);
        }
    }

    pub(crate) fn receive(&mut self, to: usize, flying: Flying) {
        let now_ms = self.now_ms;
        let from = SocketAddr::from(([127, 0, 0, 1], 1000 + u16::try_from(flying.from).unwrap()));
        let swim = &mut self.nodes[to].swim;
        swim.merge(flying.rumours, now_ms);
        swim.record_contact(&host(flying.from), flying.incarnation, now_ms);
        let out = swim.receive(from, flying.message, now_ms);
        self.send(to, out);
    }

    pub(crate) fn state(&self, at: usize, of: usize) -> MemberState {
        let view = self.nodes[at].swim.view();
        view.get(&host(of)).map_or(MemberState::Dead, |m| m.state)
    }

    /// All that run believe `state` of node `of`.
    pub(crate) fn all_say(&self, of: usize, state: MemberState) -> bool {
        let others = (0..self.nodes.len()).filter(|i| *i != of && self.nodes[*i].up);
        others.into_iter().all(|i| self.state(i, of) == state)
    }

    pub(crate) fn all_agree(&self) -> bool {
        let up: Vec<usize> = (0..self.nodes.len())
            .filter(|i| self.nodes[*i].up)
            .collect();
        let seen = |at: &usize| self.nodes[*at].swim.view().members;
        up.iter().all(|at| seen(at) == seen(&up[0]))
    }
}
