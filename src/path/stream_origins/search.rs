//! Search for the version at which a stream began, when its caller takes it up again.

use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};

use crate::decide::Origin;
use crate::path::RequestPath;
use crate::path::dialect::Records;
use crate::path::routes::Route;
use crate::path::stream_origins::{KEEPERS, digest, group, keep, other_routers};
use crate::path::versions;
use crate::peers::ORIGIN;
use crate::schema::peer::{OriginReply, OriginRequest};
use crate::time_limit::within;
use crate::util::Name;

/// Number of routers that are asked after the keepers.
const MORE_ASKED: usize = 14;
/// Time limit of a round of queries; routers answer within milliseconds.
const ROUND_LIMIT: Duration = Duration::from_millis(150);

/// Where a stream began.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Found {
    /// There, by the record of a router.
    Origin(Origin),
    /// There, as its service has had no other version for longer than any stream lasts.
    Only(Origin),
    /// It may not go on anywhere.
    Unknown,
}

/// A caller's request to take up a stream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TakeUp<'a> {
    /// Id of this request.
    pub(crate) request_id: Option<&'a str>,
    /// Id of the request that brought the first event.
    pub(crate) began_as: Option<&'a str>,
    /// Last event that the caller has.
    pub(crate) last_event: Option<u64>,
}

/// What each place that was searched has said, for the log.
#[derive(Debug, Default)]
struct Trace(String);

impl Trace {
    fn add(&mut self, step: std::fmt::Arguments<'_>) {
        if !self.0.is_empty() {
            self.0.push_str("; ");
        }
        // Writing to a string can't fail.
        let _ = self.0.write_fmt(step);
    }
}

/// Result of a round of queries.
#[derive(Default)]
struct QueryResult {
    origin: Option<Origin>,
    /// Number of routers that have answered.
    answers: usize,
    /// Whether one of these knows all versions.
    is_whole: bool,
}

/// Finds where the stream began that the caller takes up. The time limit of all queries together is 300 ms,
/// and that of a read of what is stored another 500 ms.
pub(crate) async fn find<D: Records>(
    path: &Rc<RequestPath<D>>,
    take_up: TakeUp<'_>,
    route: &Route,
) -> Found {
    let started_ms = path.clock.now_ms();
    if !versions::is_current(path, started_ms) {
        // Whether it is current is decided below.
        path.replica.upstreams_fresh().wait_until_usable().await;
    }
    versions::refresh(path);
    let mut search = Search {
        path,
        service: only_service(route),
        started_ms,
        is_confirmed: false,
        trace: Trace::default(),
    };
    let found = match take_up.began_as {
        Some(id) => search.find_by_id(digest(id)).await,
        None => search.only().await,
    };
    let trace = search.trace;
    log_search(path, take_up, &found, &trace, started_ms);
    found
}

fn log_search<D: Records>(
    path: &RequestPath<D>,
    take_up: TakeUp<'_>,
    found: &Found,
    trace: &Trace,
    started_ms: u64,
) {
    let request_id = take_up.request_id.unwrap_or_default();
    let resumes = take_up.began_as.unwrap_or_default();
    let last_event = take_up.last_event.unwrap_or_default();
    let took_ms = path.clock.now_ms().saturating_sub(started_ms);
    let upstreams_age_ms = path.replica.upstreams_fresh().age_ms();
    let searched = &*trace.0;
    log::info!(
        request_id, resumes, last_event, took_ms, upstreams_age_ms, searched;
        "stream taken up: {}", describe(found)
    );
}

fn describe(found: &Found) -> String {
    match found {
        Found::Origin(origin) => format!("it began at {}", name(origin)),
        Found::Only(origin) => format!("{} is the only version", name(origin)),
        Found::Unknown => "it is unknown where it began".to_owned(),
    }
}

fn name(origin: &Origin) -> String {
    let software = origin.software.as_deref().unwrap_or("none");
    format!("{}, version {software}", origin.service)
}

/// One search, and what it has found so far.
struct Search<'a, D> {
    path: &'a Rc<RequestPath<D>>,
    /// The service of all streams of the route, if there is just one.
    service: Option<&'a Name>,
    /// Time by which the stream had begun.
    started_ms: u64,
    /// Whether another router has reported that it knows all versions.
    is_confirmed: bool,
    trace: Trace,
}

impl<D: Records> Search<'_, D> {
    async fn find_by_id(&mut self, stream: u64) -> Found {
        let path = self.path;
        let now_ms = path.clock.now_ms();
        if let Some((origin, age_ms)) = path.origins.get_with_age(stream, now_ms) {
            let found = format_args!("own table: {}, {age_ms} ms ago", name(&origin)).to_string();
            return self.keep(stream, origin, &found);
        }
        self.trace.add(format_args!("own table: unknown"));
        let addrs = other_routers(path, group(stream), KEEPERS + MORE_ASKED);
        let (keepers, more) = addrs.split_at(addrs.len().min(KEEPERS));
        // A version that was listed a moment ago may not be known here, but its streams' keepers know it.
        for (asked, round) in [("keepers", keepers), ("other routers", more)] {
            let result = ask(path, round, stream, self.service).await;
            let (answers, of) = (result.answers, round.len());
            if let Some(origin) = result.origin {
                let found = format!("{asked}: {}, {answers} of {of} answered", name(&origin));
                return self.keep(stream, origin, &found);
            }
            self.is_confirmed |= result.is_whole;
            let is_whole = result.is_whole;
            self.trace.add(format_args!(
                "{asked}: unknown, {answers} of {of} answered, knowing all versions: {is_whole}"
            ));
            // Beside several versions, what is stored comes first: it names the origin.
            if self.has_one_version() {
                let only = self.only().await;
                if only != Found::Unknown {
                    return only;
                }
            }
        }
        let stored = self.find_stored(stream).await;
        if stored == Found::Unknown && !self.has_one_version() {
            return self.only().await;
        }
        stored
    }

    /// Whether this router knows of just one version, in use or not.
    fn has_one_version(&self) -> bool {
        let (path, now_ms) = (self.path, self.path.clock.now_ms());
        self.service
            .is_some_and(|service| path.versions.only(service, now_ms).is_some())
    }

    /// Looks the stream up among those whose origins are stored: the routers that knew it may have ended.
    async fn find_stored(&mut self, stream: u64) -> Found {
        let path = self.path;
        let (routers, now_ms) = (path.routers(), path.clock.now_ms());
        let stored = path.origins.stored();
        let found = stored.find(stream, routers, now_ms).await;
        let read_age_ms = stored.read_age_ms(path.clock.now_ms());
        let Some(origin) = found else {
            self.trace
                .add(format_args!("stored: unknown, read {read_age_ms:?} ms ago"));
            return Found::Unknown;
        };
        let found = format!("stored: {}, read {read_age_ms:?} ms ago", name(&origin));
        self.keep(stream, origin, &found)
    }

    fn keep(&mut self, stream: u64, origin: Origin, found: &str) -> Found {
        self.trace.add(format_args!("{found}"));
        keep(self.path, stream, &origin);
        Found::Origin(origin)
    }

    /// The only version at which the stream can have begun, unless one may be missing in the lists of this router
    /// and of those that it has asked. While the log is away, the keepers know where streams began.
    ///
    /// Failure guarded against: routers that are cut off from the log agree that there is one version, while another
    /// router has learned of a second one and uses it.
    async fn only(&mut self) -> Found {
        let path = self.path;
        let service = self
            .service
            .filter(|service| !path.origins.is_moved(service));
        let Some(service) = service else {
            self.trace.add(format_args!(
                "only version: the route has or had several services"
            ));
            return Found::Unknown;
        };
        if versions::is_current(path, self.started_ms) {
            versions::read_if_needed(path, service).await;
            if path.versions.must_read(service, path.clock.now_ms()) && !self.is_confirmed {
                self.trace.add(format_args!(
                    "only version: the records of versions could not be read"
                ));
                return Found::Unknown;
            }
        } else if !self.is_confirmed {
            self.trace
                .add(format_args!("only version: others may be missing here"));
            return Found::Unknown;
        }
        let now_ms = path.clock.now_ms();
        match path.versions.only_used(service, self.started_ms, now_ms) {
            Some(software) => Found::Only(Origin {
                service: service.clone(),
                software,
            }),
            None => {
                let known = path.versions.describe(service, now_ms);
                self.trace.add(format_args!("only version: none, {known}"));
                Found::Unknown
            }
        }
    }
}

/// The service of all streams of `route`, if there is just one.
fn only_service(route: &Route) -> Option<&Name> {
    match route.targets.as_slice() {
        [target] => Some(&target.service),
        _ => None,
    }
}

/// Asks these routers at once where the stream began, until one knows, and applies the versions of
/// `service` that they know.
async fn ask<D>(
    path: &RequestPath<D>,
    addrs: &[Name],
    stream: u64,
    service: Option<&Name>,
) -> QueryResult {
    let question = OriginRequest {
        streams: vec![stream],
        origin: None,
        service: service.map_or_else(String::new, |service| service.to_string()),
    };
    let queries = addrs.iter().map(|addr| query(path, addr, &question));
    let mut queries: FuturesUnordered<_> = queries.collect();
    let mut result = QueryResult::default();
    let round = async {
        while let Some(reply) = queries.next().await {
            let Some(reply) = reply else { continue };
            result.answers += 1;
            if let Some(origin) = reply.origin {
                result.origin = Some(origin.into());
                return;
            }
            let report = reply.versions.unwrap_or_default();
            result.is_whole |= versions::is_whole(&report);
            let now_ms = path.clock.now_ms();
            path.versions
                .merge_service(&question.service, report, now_ms);
        }
    };
    // What arrived before the time limit counts.
    let _ = within(ROUND_LIMIT, round).await;
    result
}

/// Sends a query about a stream's origin to the router at `addr`.
pub(crate) async fn query<D>(
    path: &RequestPath<D>,
    addr: &Name,
    request: &OriginRequest,
) -> Option<OriginReply> {
    let reply = path.peers.query(addr, ORIGIN, request).await;
    reply
        .inspect_err(|e| log::debug!("{addr}: query about a stream's origin failed: {e}"))
        .ok()
}
