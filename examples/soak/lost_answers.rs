//! Which answers a router lost around its stops, its reloads and new versions of the configuration.
//! Decides on records alone.

/// Grace time of a router's stop.
pub(crate) const GRACE_MS: u64 = 5_000;
/// Time after the acknowledgement of a version, or after a reload, from which it is in force.
pub(crate) const APPLY_BOUND_MS: u64 = 2_000;
/// Time for which a stop or a version counts beyond its bound.
const AFTER_BOUND_MS: u64 = 1_000;
/// Time before a request in which a disruption excuses its end.
const DISRUPTED_BEFORE_MS: u64 = 3_000;
/// Longest time from the last byte of a request to the end of a connection that didn't read it.
const UNREAD_MS: u64 = 200;
/// Time after the start of a stop from which a request comes too late to be held against its own
/// duration.
const LATE_ARRIVAL_MS: u64 = 3_000;
/// The last part of the grace time, in which an upstream that is still at work excuses the router.
const LAST_GRACE_DIVISOR: u64 = 6;
/// Versions count if a router cuts this many times as often beside them as at other times.
const VERSION_FACTOR: u128 = 3;
/// Share of a request's time limit from which a version isn't held to have ended it, in tenths.
const VERSION_TENTHS: u64 = 7;

/// A period in Unix milliseconds; one that hasn't ended ends at `u64::MAX`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Period {
    pub(crate) from_ms: u64,
    pub(crate) to_ms: u64,
}

impl Period {
    fn overlaps(self, from_ms: u64, to_ms: u64) -> bool {
        self.from_ms <= to_ms && from_ms <= self.to_ms
    }
}

/// What one upstream did with a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Work {
    pub(crate) period: Period,
    /// Whether the upstream itself ended its answer early.
    pub(crate) is_broken_off: bool,
}

/// A request as its caller and the upstreams saw it.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// The router that took it.
    pub(crate) router: usize,
    pub(crate) sent_ms: u64,
    /// Unix time at which its answer or its connection ended.
    pub(crate) ended_ms: u64,
    /// The lower of the caller's and the route's time limit.
    pub(crate) limit_ms: u64,
    pub(crate) is_answered: bool,
    /// One entry for each time that it reached an upstream.
    pub(crate) work: Vec<Work>,
}

/// What was done to the fleet. Routers are given by index, times as Unix milliseconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    /// Kills, freezes and faults of any process or link.
    pub(crate) disruptions: Vec<Period>,
    pub(crate) stops: Vec<(usize, u64)>,
    pub(crate) reloads: Vec<(usize, u64)>,
    /// From the sending of each version to its acknowledgement.
    pub(crate) versions: Vec<Period>,
}

/// What stood beside a lost answer, and how long before the answer's end it began.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Beside {
    Stop { before_ms: u64 },
    Reload { before_ms: u64 },
    Version { before_ms: u64 },
}

/// The answers that routers lost, as indexes of `requests`.
pub(crate) fn lost(requests: &[Request], history: &History) -> Vec<(usize, Beside)> {
    let ends = requests.iter().enumerate();
    let lost = ends.filter(|(_, request)| history.is_cut(request));
    let lost = lost.filter_map(|(index, request)| {
        let version = history.version_beside(request).filter(|_| {
            !request.is_near_limit() && history.cuts_beside_versions(request, requests)
        });
        let beside = history.stop_beside(request);
        let beside = beside.or_else(|| history.reload_beside(request));
        Some((index, beside.or(version)?))
    });
    lost.collect()
}

impl Request {
    fn took_ms(&self) -> u64 {
        self.ended_ms.saturating_sub(self.sent_ms)
    }

    /// Whether its router has read it, as far as can be told from outside.
    fn was_read(&self) -> bool {
        !self.work.is_empty() || self.took_ms() > UNREAD_MS
    }

    fn is_near_limit(&self) -> bool {
        self.took_ms() * 10 >= self.limit_ms * VERSION_TENTHS
    }

    /// Whether it came early in the stop that began at `stop_ms`, or before it, and an upstream still
    /// worked on it when the grace time was nearly over.
    fn outlasts(&self, stop_ms: u64) -> bool {
        let end_ms = stop_ms + GRACE_MS;
        let last_ms = end_ms - GRACE_MS / LAST_GRACE_DIVISOR;
        self.sent_ms <= stop_ms + LATE_ARRIVAL_MS
            && self.ended_ms >= stop_ms
            && self.work.iter().any(|w| w.period.overlaps(last_ms, end_ms))
    }
}

impl History {
    /// Whether the end of a request is judged: no disruption is near, and a stop, reload or version is.
    pub(crate) fn judges(&self, request: &Request) -> bool {
        let beside = self.stop_beside(request);
        let beside = beside.or_else(|| self.reload_beside(request));
        let beside = beside.or_else(|| self.version_beside(request));
        beside.is_some() && !self.is_disrupted(request)
    }

    /// Whether the router cut a request that it had read, without an excuse.
    fn is_cut(&self, request: &Request) -> bool {
        !request.is_answered
            && request.was_read()
            && request.took_ms() < request.limit_ms
            && !request.work.iter().any(|w| w.is_broken_off)
            && !self.is_disrupted(request)
            && !self
                .stops_of(request)
                .any(|stop_ms| request.outlasts(stop_ms))
    }

    fn is_disrupted(&self, request: &Request) -> bool {
        let from_ms = request.sent_ms.saturating_sub(DISRUPTED_BEFORE_MS);
        let mut disruptions = self.disruptions.iter();
        disruptions.any(|d| d.overlaps(from_ms, request.ended_ms))
    }

    fn stops_of(&self, request: &Request) -> impl Iterator<Item = u64> {
        let stops = self.stops.iter().filter(|(r, _)| *r == request.router);
        stops.map(|(_, at_ms)| *at_ms)
    }

    fn stop_beside(&self, request: &Request) -> Option<Beside> {
        let ended_ms = request.ended_ms;
        let is_beside =
            |at_ms: &u64| (*at_ms..=*at_ms + GRACE_MS + AFTER_BOUND_MS).contains(&ended_ms);
        let at_ms = self.stops_of(request).filter(is_beside).max()?;
        let before_ms = ended_ms - at_ms;
        Some(Beside::Stop { before_ms })
    }

    fn reload_beside(&self, request: &Request) -> Option<Beside> {
        let reloads = self.reloads.iter().filter(|(r, _)| *r == request.router);
        let is_beside =
            |at_ms: &u64| request.sent_ms <= *at_ms + APPLY_BOUND_MS && *at_ms <= request.ended_ms;
        let at_ms = reloads.map(|(_, at_ms)| *at_ms).filter(is_beside).max()?;
        let before_ms = request.ended_ms - at_ms;
        Some(Beside::Reload { before_ms })
    }

    fn version_beside(&self, request: &Request) -> Option<Beside> {
        let versions = self.versions.iter().filter(|version| {
            let until_ms = version
                .to_ms
                .saturating_add(APPLY_BOUND_MS + AFTER_BOUND_MS);
            (version.from_ms..=until_ms).contains(&request.ended_ms)
        });
        let from_ms = versions.map(|version| version.from_ms).max()?;
        let before_ms = request.ended_ms - from_ms;
        Some(Beside::Version { before_ms })
    }

    /// Whether the router of `request` cuts far more of its requests beside versions than of the others.
    fn cuts_beside_versions(&self, request: &Request, requests: &[Request]) -> bool {
        let of_router = requests.iter().filter(|r| r.router == request.router);
        let (beside, others): (Vec<&Request>, Vec<&Request>) = of_router
            .filter(|r| !self.is_disrupted(r))
            .partition(|r| self.version_beside(r).is_some());
        let cuts = |all: &[&Request]| all.iter().filter(|r| self.is_cut(r)).count() as u128;
        let (cuts_beside, cuts_else) = (cuts(&beside), cuts(&others));
        // Compares shares. A router without other times has cut none in them.
        cuts_else == 0
            || cuts_beside * others.len() as u128
                > VERSION_FACTOR * cuts_else * beside.len() as u128
    }
}
