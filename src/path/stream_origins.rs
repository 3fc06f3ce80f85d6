//! Finds the version of the upstream that began a stream, which is the only one that may go on with it.
//!
//! Load pattern: upstreams of two versions serve one service side by side. A stream breaks off, and its
//! caller resumes it at any router: the one that began it may have ended, or know nothing any more after
//! a restart. Two versions in one stream are worse than a refusal, so a router that can't learn where a
//! stream began refuses to resume it.
//!
//! The origin of a stream is known to the router that began it and, while its service has several
//! versions or shares a route with another one, to two more, its keepers: the first ones in a rendezvous
//! order. A router that is to resume the stream asks its keepers, and then some more, which reaches the
//! router that began it in a small fleet. While a service has had one version for longer than any stream
//! lasts, nobody is told, and that version is the origin. When a second one is listed, when a keeper
//! changes or restarts, and when the list of upstreams grows old, so that a second version may be missing there,
//! the keepers are told of the streams in progress.
//!
//! Those of streams whose keepers are told are also stored on the platform, for when all that know them end:
//! the first keeper of a stream, its writer, writes those that it is told of in batches. A stream's first
//! event is passed on once its origin is stored, or after [`STORED_LIMIT`]. If the writer doesn't confirm it
//! in time, the router that began the stream writes it itself. While the last write failed or is overdue,
//! nobody waits.
//!
//! Cost, by the code and not measured: a stream of which keepers are told costs two queries of some 30
//! bytes, answered by 2 and, once it is stored, some 20 bytes, whatever the size of the fleet; none otherwise. A stream that is resumed
//! at a router that didn't begin it costs two queries of some 25 bytes, answered by some 30; if that
//! settles nothing, 6 more at 9 routers and 14 more at 390 or 985, and then a read of what is stored, at most
//! four a second and router and 50 a second in all.
//!
//! Keepers are chosen by one of four groups of streams, so a router connects to at most 8 of them. There are
//! at most four writers at 9, 390 and 985 routers, of at most 33 calls a second each, and only while streams
//! begin whose keepers are told. A call holds the streams of up to a second, with 9 bytes each. At 1,500 streams a
//! second in all, a writer is told of 375 a second, and keeps 45,000 with 100 bytes each; its calls have
//! 1.7 KB on average and 3.4 KB at most, 220 KB a second for four writers, and a read brings 2.2 MB. A router that is a keeper of two
//! groups forgets at that rate after 87 s, as its table is full. While a writer stands still, each router that
//! begins a stream of its group writes: at 9 routers up to 300 calls a second in all, at 390 and 985 as many as
//! a quarter of the streams that begin.

mod batches;
mod moves;
mod search;
mod stored;
mod table;

#[cfg(test)]
mod batches_tests;
#[cfg(test)]
mod message_tests;
#[cfg(test)]
mod moves_tests;
#[cfg(test)]
mod stored_tests;
#[cfg(test)]
mod table_tests;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::decide::Origin;
use crate::fleet::homes;
use crate::fleet::member::{Member, View};
use crate::path::RequestPath;
use crate::path::dialect::Records;
use crate::path::stream_origins::batches::Ticket;
use crate::path::stream_origins::moves::Moves;
use crate::path::stream_origins::stored::Stored;
use crate::path::stream_origins::table::OriginTable;
use crate::path::versions;
use crate::schema::peer::{OriginReply, OriginRequest, StreamOrigin};
use crate::stats::{self, NotStored};
use crate::time_limit::within;
use crate::util::{self, Name};

pub(crate) use crate::path::stream_origins::batches::WriteCall;
pub(crate) use crate::path::stream_origins::search::{Found, TakeUp, find, query};
pub(crate) use crate::path::stream_origins::stored::{OriginLog, ReadCall, StreamsByOrigin};

/// Number of routers besides its own that are told where a stream began.
const KEEPERS: usize = 2;
/// Number of groups of streams, each of which has its own keepers, the first of which writes to the platform.
/// If each stream had its own, every router of a large fleet would connect to every other one. With 33
/// writes a second each, four writers take a third of the 400 that the store of a small site takes.
const GROUPS: usize = 4;
/// Interval at which the keepers are compared with those of before.
const KEEPER_CHECK_MS: u64 = 1_000;
/// Time for which a stream's first event waits for the writer's word that the origin is stored: a message
/// there and back, and the interval of writes with one of 5 ms.
const CONFIRM_LIMIT: Duration = Duration::from_millis(40);
/// Time for which it waits in all. Users count an event as late that reaches its caller 120 ms after it was
/// made, and the way there takes some of these.
const STORED_LIMIT: Duration = Duration::from_millis(80);

/// The streams whose origins this router knows.
#[derive(Debug, Default)]
pub(crate) struct StreamOrigins {
    table: RefCell<OriginTable>,
    /// Services whose streams were shared with keepers when that was last determined.
    shared: RefCell<HashSet<Name>>,
    keepers: RefCell<Keepers>,
    moves: RefCell<Moves>,
    stored: Rc<Stored>,
    /// Groups whose writer didn't confirm the last stream that it was told of.
    doubted: [Cell<bool>; GROUPS],
    /// Era of the store in which the streams in progress were stored.
    era: Cell<u64>,
}

/// Who is to say that an origin is stored.
enum Awaited {
    Writer(Ticket),
    Own(Ticket),
}

/// The keepers of each group of streams.
#[derive(Debug, Default)]
struct Keepers {
    checked_ms: u64,
    /// View of the members by which they were determined.
    view: u64,
    /// Name and start of each.
    by_group: Vec<Vec<(Name, u64)>>,
}

impl Keepers {
    /// Determines the keepers by `fleet`, and returns the groups of which one is new.
    fn update(&mut self, fleet: &View, own_host: &str) -> Vec<usize> {
        self.view = fleet.version;
        let keepers = |group| {
            let others = others(fleet, own_host, group).take(KEEPERS);
            others.map(|m| (m.host.clone(), m.incarnation)).collect()
        };
        let by_group: Vec<Vec<(Name, u64)>> = (0..GROUPS).map(keepers).collect();
        let before = std::mem::replace(&mut self.by_group, by_group);
        let is_new = |group: &usize| {
            let at = *group;
            let known = before.get(at).map_or(&[][..], Vec::as_slice);
            self.by_group[at].iter().any(|m| !known.contains(m))
        };
        (0..GROUPS).filter(is_new).collect()
    }
}

impl StreamOrigins {
    /// Has origins stored that are to outlive the routers that know them.
    pub(crate) fn set_store(&self, log: OriginLog) {
        self.stored.set_store(log);
    }

    fn get(&self, stream: u64, now_ms: u64) -> Option<Origin> {
        self.table.borrow().get(stream, now_ms).cloned()
    }

    /// Where the stream began, and the time since that was recorded here.
    fn get_with_age(&self, stream: u64, now_ms: u64) -> Option<(Origin, u64)> {
        let table = self.table.borrow();
        let (origin, age_ms) = table.get_with_age(stream, now_ms)?;
        Some((origin.clone(), age_ms))
    }

    fn stored(&self) -> &Rc<Stored> {
        &self.stored
    }

    /// Whether a route of streams was moved to or from `service` lately.
    fn is_moved(&self, service: &str) -> bool {
        self.moves.borrow().contains(service)
    }

    fn insert(&self, stream: u64, origin: Origin, is_own: bool, now_ms: u64) {
        let mut table = self.table.borrow_mut();
        table.insert(stream, origin, is_own, now_ms);
    }
}

/// Records that the stream of which `request_id` brought the first event began at `origin`. If only some
/// routers would know it, waits until the platform does, but not for long.
pub(crate) async fn record<D: Records>(
    path: &Rc<RequestPath<D>>,
    request_id: &str,
    origin: &Origin,
) {
    let now_ms = path.clock.now_ms();
    let software = origin.software.as_ref();
    path.versions
        .record_answer(&origin.service, software, now_ms);
    let stream = digest(request_id);
    let Some(awaited) = keep(path, stream, origin) else {
        return;
    };
    let began = Instant::now();
    let stored = wait_until_stored(path, stream, origin, awaited).await;
    stats::origin_stored(began.elapsed(), stored);
}

/// Waits until the origin of a stream that keepers were told of is stored. If the writer doesn't say so in
/// time, as it stands still or is cut off, this router writes it too.
async fn wait_until_stored<D: Records>(
    path: &RequestPath<D>,
    stream: u64,
    origin: &Origin,
    awaited: Awaited,
) -> Result<(), NotStored> {
    let began = Instant::now();
    let batches = path.origins.stored.batches();
    let own = match awaited {
        Awaited::Own(ticket) => ticket,
        Awaited::Writer(ticket) => {
            let doubted = &path.origins.doubted[group(stream)];
            if !doubted.get() {
                if matches!(within(CONFIRM_LIMIT, ticket).await, Ok(Ok(true))) {
                    return Ok(());
                }
                doubted.set(true);
            }
            batches.add(origin, &[stream])
        }
    };
    if batches.is_failing() {
        return Err(NotStored::Failing);
    }
    let left = STORED_LIMIT.saturating_sub(began.elapsed());
    match within(left, own).await {
        Ok(Ok(true)) => Ok(()),
        Ok(_) => Err(NotStored::Failed),
        Err(_) => Err(NotStored::Late),
    }
}

/// Keeps the origin of a stream that begins or goes on at this router. Unless its service has no other
/// version, tells its keepers, and returns who says that it is stored.
fn keep<D: Records>(path: &Rc<RequestPath<D>>, stream: u64, origin: &Origin) -> Option<Awaited> {
    let now_ms = path.clock.now_ms();
    path.origins.insert(stream, origin.clone(), true, now_ms);
    let is_only = path.versions.only(&origin.service, now_ms).is_some();
    let is_shared = !is_only || is_split(path, &origin.service) || versions::is_list_ageing(path);
    is_shared.then(|| share_group(path, group(stream), origin, vec![stream]))
}

/// Tells the keepers of this router's streams in progress where these began, unless it has: when
/// a service gets a second version or a common route with another service, and when a keeper is new.
pub(crate) fn share_in_progress<D: Records>(path: &Rc<RequestPath<D>>) {
    let now_ms = path.clock.now_ms();
    let mut shared: HashSet<Name> = path.versions.mixed(now_ms).into_iter().collect();
    let deployment = path.state.deployment();
    let mut moves = path.origins.moves.borrow_mut();
    moves.update(&deployment, now_ms);
    shared.extend(moves.services().cloned());
    drop(moves);
    shared.extend(deployment.split_streams().iter().cloned());
    if versions::is_list_ageing(path) {
        shared.extend(path.state.services());
    }
    let before = path.origins.shared.replace(shared.clone());
    if shared.is_empty() && before.is_empty() {
        return;
    }
    log_shared(&before, &shared);
    let groups = new_keepers(path, now_ms);
    let is_restored = is_restored(path);
    if groups.is_empty() && !is_restored && shared.is_subset(&before) {
        return;
    }
    let is_wanted = |service: &Name, stream| {
        let is_new = is_restored || !before.contains(service) || groups.contains(&group(stream));
        shared.contains(service) && is_new
    };
    let own = path.origins.table.borrow_mut().own(is_wanted, now_ms);
    for (origin, streams) in own {
        share(path, &origin, &streams);
    }
}

fn log_shared(before: &HashSet<Name>, shared: &HashSet<Name>) {
    for service in before.difference(shared) {
        log::info!(service:%; "the only version that is listed may be taken for that at which its streams began");
    }
    for service in shared.difference(before) {
        log::info!(service:%; "its streams may have begun at several versions or services, or the list of upstreams is old");
    }
}

/// Groups of streams that have a new keeper.
fn new_keepers<D>(path: &RequestPath<D>, now_ms: u64) -> Vec<usize> {
    let fleet = path.fleet.borrow();
    let mut keepers = path.origins.keepers.borrow_mut();
    let is_due = now_ms.saturating_sub(keepers.checked_ms) >= KEEPER_CHECK_MS;
    if !is_due || keepers.view == fleet.version {
        return Vec::new();
    }
    keepers.checked_ms = now_ms;
    keepers.update(&fleet, &path.host)
}

/// Whether the store was restored from an older copy, which lacks the origins that were stored last.
fn is_restored<D: Records>(path: &RequestPath<D>) -> bool {
    let era = *path.replica.era().borrow();
    let known = path.origins.era.replace(era);
    known != 0 && known != era
}

fn is_split<D>(path: &RequestPath<D>, service: &Name) -> bool {
    path.origins.is_moved(service) || path.state.deployment().split_streams().contains(service)
}

/// Tells the keepers of these streams that they began at `origin`, without waiting.
fn share<D: Records>(path: &Rc<RequestPath<D>>, origin: &Origin, streams: &[u64]) {
    let mut groups: BTreeMap<usize, Vec<u64>> = BTreeMap::new();
    for stream in streams {
        groups.entry(group(*stream)).or_default().push(*stream);
    }
    for (group, streams) in groups {
        share_group(path, group, origin, streams);
    }
}

/// Tells the keepers of these streams of one group that they began at `origin`, and returns who says that
/// this is stored.
fn share_group<D: Records>(
    path: &Rc<RequestPath<D>>,
    group: usize,
    origin: &Origin,
    streams: Vec<u64>,
) -> Awaited {
    let is_own = is_writer(path, group);
    let own = is_own.then(|| path.origins.stored.batches().add(origin, &streams));
    let request = Rc::new(OriginRequest {
        streams,
        origin: Some(origin.into()),
        service: String::new(),
    });
    let (confirmed, ticket) = oneshot::channel();
    // The first one is the writer, unless that is this router.
    let mut confirmed = (!is_own).then_some(confirmed);
    for addr in other_routers(path, group, KEEPERS) {
        let (path, request, confirmed) = (path.clone(), request.clone(), confirmed.take());
        compio::runtime::spawn(async move {
            let reply = query(&path, &addr, &request).await;
            if let Some(confirmed) = confirmed {
                let is_stored = reply.is_some_and(|reply| reply.origin.is_some());
                path.origins.doubted[group].set(!is_stored);
                // Without a receiver, the stream waits no longer.
                let _ = confirmed.send(is_stored);
            }
        })
        .detach();
    }
    own.map_or(Awaited::Writer(ticket), Awaited::Own)
}

/// Whether this router writes the origins of streams of this group for all: it is a keeper of each of them
/// that another router began. If no router takes work any more, each writes its own.
fn is_writer<D>(path: &RequestPath<D>, group: usize) -> bool {
    let fleet = path.fleet.borrow();
    let first = homes::home(&fleet, &format!("origins/{group}"), "");
    first.is_none_or(|m| *m.host == *path.host)
}

/// Answers another router. If this one writes the streams that it is told of, it does so once they are
/// stored or the other one waits no longer.
pub(crate) async fn reply<D: Records>(
    path: &RequestPath<D>,
    request: OriginRequest,
) -> OriginReply {
    let now_ms = path.clock.now_ms();
    if let Some(origin) = request.origin {
        let ticket = apply(path, &origin.clone().into(), &request.streams);
        let is_stored = match ticket {
            Some(ticket) => matches!(within(CONFIRM_LIMIT, ticket).await, Ok(Ok(true))),
            None => false,
        };
        return OriginReply {
            origin: is_stored.then_some(origin),
            versions: None,
        };
    }
    let mut streams = request.streams.into_iter();
    let known = streams.find_map(|stream| path.origins.get(stream, now_ms));
    let is_known = known.is_some() || request.service.is_empty();
    OriginReply {
        origin: known.as_ref().map(Into::into),
        versions: (!is_known).then(|| versions::report_of(path, &request.service)),
    }
}

/// Keeps origins of which another router told. Returns a ticket if they are to be stored, and there is hope.
fn apply<D: Records>(path: &RequestPath<D>, origin: &Origin, streams: &[u64]) -> Option<Ticket> {
    let now_ms = path.clock.now_ms();
    let software = origin.software.as_ref();
    path.versions
        .record_answer(&origin.service, software, now_ms);
    for stream in streams {
        path.origins.insert(*stream, origin.clone(), false, now_ms);
    }
    let group = group(*streams.first()?);
    if !is_writer(path, group) {
        return None;
    }
    let batches = path.origins.stored.batches();
    let ticket = batches.add(origin, streams);
    (!batches.is_failing()).then_some(ticket)
}

/// Addresses of the first `max` other routers that keep the origins of streams of this group.
fn other_routers<D>(path: &RequestPath<D>, group: usize, max: usize) -> Vec<Name> {
    let fleet = path.fleet.borrow();
    let others = others(&fleet, &path.host, group).take(max);
    others.map(|m| m.peer_addr.clone()).collect()
}

/// The other routers in the order in which they keep the origins of streams of this group.
fn others<'a>(fleet: &'a View, own_host: &str, group: usize) -> impl Iterator<Item = &'a Member> {
    let routers = homes::order(fleet, &format!("origins/{group}"), "").into_iter();
    routers.filter(move |m| *m.host != *own_host)
}

fn digest(request_id: &str) -> u64 {
    util::hash_bytes(request_id.as_bytes())
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "less than the number of groups"
)]
fn group(stream: u64) -> usize {
    (stream % GROUPS as u64) as usize
}

impl From<StreamOrigin> for Origin {
    fn from(received: StreamOrigin) -> Self {
        Self {
            service: received.service.into(),
            software: received.software.map(Into::into),
        }
    }
}

impl From<&Origin> for StreamOrigin {
    fn from(origin: &Origin) -> Self {
        Self {
            service: origin.service.to_string(),
            software: origin.software.as_ref().map(ToString::to_string),
        }
    }
}
