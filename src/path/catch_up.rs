//! What a router that has started learns from the others before it sends requests to upstreams: the
//! requests that are suspected of crashing them, and the software versions that services had lately.
//!
//! Failure guarded against: a router restarts while the others refuse a harmful request. Gossip reaches
//! it within a second, and until then it sends the request to upstreams, which end. Or it resumes a
//! stream at the only version that it knows, when the stream began at one that was removed before.

use std::cell::Cell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{join, join_all};
use rand::seq::IteratorRandom;
use tokio::sync::Notify;

use crate::decide::versions::FIRST_USE_MS;
use crate::fleet::member::MemberState;
use crate::path::RequestPath;
use crate::path::dialect::Records;
use crate::path::start_report::Part;
use crate::path::versions::{self, StoredVersions};
use crate::peers::{PeerClient, SUSPICIONS};
use crate::schema::peer::{Suspicion, SuspicionsReply, SuspicionsRequest};
use crate::time_limit::within;
use crate::util::{Clock, Name};

/// Time after start from which a router relies on gossip alone: it reaches no router that could tell it
/// anything, and callers wait.
const LIMIT_MS: u64 = 1_500;
/// Time after start from which a router that knows no other one asks the seed hosts. All routers of a fleet
/// that starts know the same few seeds.
const SEEDS_AFTER_MS: u64 = 300;
/// Longest wait for the platform's list of routers. The store answers two thousand routers within it.
const LIST_LIMIT_MS: u64 = 500;
/// Time in which a router meets some of those that are listed, if they are there.
const MEETING_MS: u64 = 1_500;
/// Time in which the membership task applies the platform's list of routers.
const LIST_APPLIED_MS: u64 = 100;
/// Time limit of a request; peers answer within milliseconds.
const QUERY_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause between two rounds of requests.
const PAUSE: Duration = Duration::from_millis(20);
/// Number of routers asked at once.
const ASKED_AT_ONCE: usize = 3;
/// Number of routers without an answer after which this one assumes that all have just started. If one in
/// three had not, this many would miss it once in a hundred starts.
const MAX_ASKED: usize = 12;

/// Suspicions that outlive a restart of all routers.
pub(crate) trait StoredSuspicions {
    /// Reads those that have not expired, or returns `None` if they can't be read.
    fn read(&self) -> impl Future<Output = Option<Vec<Suspicion>>>;
}

/// Whether this router knows what the others know against requests.
#[derive(Debug)]
pub(crate) struct CatchUp {
    clock: Clock,
    is_done: Cell<bool>,
    done: Notify,
    listing: Cell<Listing>,
    /// Number of routers by the summary of the fleet; 0 if it was not read.
    summarized_routers: Cell<usize>,
    loads_first: Cell<bool>,
}

/// The platform's list of routers.
#[derive(Clone, Copy, Debug, Default)]
enum Listing {
    /// It was not answered yet.
    #[default]
    Pending,
    /// It was not answered, and will be requested again.
    Failed,
    Read {
        /// When it was first read.
        at_ms: u64,
        routers: usize,
    },
}

/// Why a router no longer asks the others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Answered,
    AllHaveJustStarted,
    TimedOut,
}

impl CatchUp {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            is_done: Cell::default(),
            done: Notify::default(),
            listing: Cell::default(),
            summarized_routers: Cell::default(),
            loads_first: Cell::default(),
        }
    }

    /// Whether requests may be sent to upstreams.
    pub(crate) fn is_done(&self) -> bool {
        self.is_done.get()
    }

    /// Records that the list of routers was read from the platform, and how many it names.
    pub(crate) fn record_list_read(&self, routers: usize) {
        let at_ms = match self.listing.get() {
            Listing::Read { at_ms, .. } => at_ms,
            Listing::Pending | Listing::Failed => self.clock.now_ms(),
        };
        self.listing.set(Listing::Read { at_ms, routers });
    }

    /// Records what a summary of the fleet says: how many routers there are, and whether this one is to
    /// load at once what all need.
    pub(crate) fn record_summary(&self, routers: usize, loads_first: bool) {
        self.record_list_read(routers);
        self.summarized_routers.set(routers);
        self.loads_first.set(loads_first);
    }

    /// Number of routers by the summary of the fleet; 0 if this router did not join by it.
    pub(crate) fn summarized_routers(&self) -> usize {
        self.summarized_routers.get()
    }

    /// Whether this router is to load at once what all need.
    pub(crate) fn loads_first(&self) -> bool {
        self.loads_first.get()
    }

    /// Records that the list of routers could not be read.
    pub(crate) fn record_list_failed(&self) {
        if self.is_list_pending() {
            self.listing.set(Listing::Failed);
        }
    }

    /// Whether the platform's list of routers, which tells how many others start too, may still arrive
    /// soon.
    pub(crate) fn awaits_list(&self) -> bool {
        self.is_list_pending() && self.clock.now_ms() < LIST_LIMIT_MS
    }

    /// Whether the platform has named the routers.
    pub(crate) fn has_list(&self) -> bool {
        matches!(self.listing.get(), Listing::Read { .. })
    }

    /// Whether the listed routers have had the time to answer this one.
    pub(crate) fn has_had_time_to_meet(&self) -> bool {
        match self.listing.get() {
            Listing::Read { at_ms, .. } => self.clock.now_ms() >= at_ms + MEETING_MS,
            Listing::Pending | Listing::Failed => false,
        }
    }

    fn is_list_pending(&self) -> bool {
        matches!(self.listing.get(), Listing::Pending)
    }

    /// Number of routers that the platform lists; 0 before the list was read.
    pub(crate) fn listed_routers(&self) -> usize {
        match self.listing.get() {
            Listing::Read { routers, .. } => routers,
            Listing::Pending | Listing::Failed => 0,
        }
    }

    /// Whether this router knows the routers that the platform lists.
    pub(crate) fn knows_fleet(&self) -> bool {
        match self.listing.get() {
            Listing::Read { at_ms, .. } => self.clock.now_ms() >= at_ms + LIST_APPLIED_MS,
            Listing::Pending | Listing::Failed => false,
        }
    }

    /// Waits until requests may be sent to upstreams.
    pub(crate) async fn wait(&self) {
        let done = self.done.notified();
        if !self.is_done() {
            done.await;
        }
    }

    fn end(&self, end: End, asked: usize) {
        log::info!(asked; "suspicions of the other routers: {end:?}");
        self.is_done.set(true);
        self.done.notify_waiters();
    }
}

/// Where the platform keeps what outlives a restart of all routers.
pub(crate) struct Stored<S, V> {
    pub(crate) suspicions: Rc<S>,
    pub(crate) versions: Rc<V>,
}

/// Asks other routers for what they know, until one answers that didn't just start itself. If none
/// does, reads what is stored. The stored versions are read also if those of the others don't reach back
/// far enough.
pub(crate) async fn run<D: Records, S: StoredSuspicions, V: StoredVersions>(
    path: Rc<RequestPath<D>>,
    client: PeerClient,
    seeds: Vec<Name>,
    stored: Stored<S, V>,
) {
    let mut asked: HashSet<Name> = HashSet::new();
    let end = loop {
        if path.clock.now_ms() >= LIMIT_MS {
            break End::TimedOut;
        }
        let addrs = candidates(&path, &seeds, &asked);
        if addrs.is_empty() && path.catch_up.knows_fleet() || asked.len() >= MAX_ASKED {
            break End::AllHaveJustStarted;
        }
        let queries = addrs.iter().map(|addr| query(&client, addr));
        let replies = join_all(queries).await;
        if replies.iter().flatten().any(|reply| reply.has_caught_up) {
            for reply in replies.into_iter().flatten() {
                apply(&path, reply.suspicions);
                path.state.take_frailty(reply.brittle);
                let versions = reply.versions.unwrap_or_default();
                path.versions.merge(versions, path.clock.now_ms());
            }
            break End::Answered;
        }
        for (addr, reply) in addrs.into_iter().zip(replies) {
            if reply.is_some() {
                asked.insert(addr);
            }
        }
        compio::time::sleep(PAUSE).await;
    };
    let suspicions = async {
        if end != End::Answered {
            let stored = stored.suspicions.read().await;
            apply(&path, stored.unwrap_or_default());
        }
    };
    let have_all_started = end == End::AllHaveJustStarted;
    let versions = apply_stored_versions(&path, &*stored.versions, have_all_started);
    join(suspicions, versions).await;
    path.catch_up.end(end, asked.len());
    let source = match end {
        End::Answered => "other routers",
        End::AllHaveJustStarted => "stored records, as all have just started",
        End::TimedOut => "stored records, as no router answered",
    };
    let start = path.replica.start_report();
    start.record_arrival(Part::CatchUp, source);
}

/// Addresses of routers to ask next: members, those that are stopping included, and then seed hosts.
fn candidates<D>(path: &RequestPath<D>, seeds: &[Name], asked: &HashSet<Name>) -> Vec<Name> {
    let fleet = path.fleet.borrow();
    let running = fleet.members.iter();
    let running = running.filter(|m| m.state != MemberState::Dead && m.host != path.host);
    let members: Vec<&Name> = running
        .map(|m| &m.peer_addr)
        .filter(|addr| !asked.contains(*addr))
        .collect();
    let asks_seeds = members.is_empty()
        && (path.catch_up.knows_fleet() || path.clock.now_ms() >= SEEDS_AFTER_MS);
    let seeds = seeds
        .iter()
        .filter(|addr| asks_seeds && !asked.contains(*addr));
    let others = members.into_iter().chain(seeds).cloned();
    others.choose_multiple(&mut rand::rng(), ASKED_AT_ONCE)
}

/// Returns the answer of a router, an empty one if no process listens there, and `None` if it may still
/// answer.
async fn query(client: &PeerClient, addr: &Name) -> Option<SuspicionsReply> {
    let query = client.query(addr, SUSPICIONS, &SuspicionsRequest {});
    match within(QUERY_TIMEOUT, query).await {
        Ok(Ok(reply)) => Some(reply),
        Ok(Err(e)) => {
            log::debug!("{addr}: request for suspicions failed: {e}");
            e.is_refused().then(SuspicionsReply::default)
        }
        Err(_) => None,
    }
}

fn apply<D>(path: &RequestPath<D>, suspicions: impl IntoIterator<Item = Suspicion>) {
    let now_ms = path.clock.now_ms();
    for suspicion in suspicions {
        path.state.merge_suspicion(&suspicion, now_ms);
    }
}

/// If all routers have just started, each reads the records before it takes up a stream, so that none lacks
/// what they name.
async fn apply_stored_versions<D, V: StoredVersions>(
    path: &RequestPath<D>,
    stored: &V,
    have_all_started: bool,
) {
    let read_ms = path.clock.now_ms();
    if !path.versions.is_complete(read_ms)
        && let Some(mut listings) = stored.read().await
    {
        if have_all_started {
            for listing in &mut listings {
                let age_ms = listing.stored_age_ms.unwrap_or(0);
                listing.stored_age_ms = Some(age_ms.max(FIRST_USE_MS));
            }
        }
        let now_ms = path.clock.now_ms();
        path.versions.apply_stored(&listings, read_ms, now_ms);
    }
}

/// Answers another router that has started.
pub(crate) fn reply<D: Records>(path: &RequestPath<D>) -> SuspicionsReply {
    SuspicionsReply {
        has_caught_up: path.catch_up.is_done(),
        suspicions: path.state.isolated_suspicions(path.clock.now_ms()),
        brittle: path.state.known_frailty(),
        versions: Some(versions::report(path)),
    }
}
