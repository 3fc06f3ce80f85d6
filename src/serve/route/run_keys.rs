//! Run keys: idempotency keys that only one incarnation of one router runs, without using the log.
//!
//! An entry answer contains a prefix, to which a caller adds a UUID of version 7 for each request.
//! Only the incarnation named in the prefix runs such a key. It keeps its claims in memory, so run
//! keys work during an outage of the log. Other routers forward the request to it. If it
//! gives no answer, a key whose outcome isn't on the log is refused with an unknown outcome; it is
//! never run elsewhere.

use std::cell::RefCell;

use uuid::Uuid;

use crate::log::claims::{CLOCK_MARGIN_MS, Claims, KeyStatus, Verdict};
use crate::schema::records::claim_record::Body;
use crate::schema::records::{Claim, ClaimRecord};
use crate::util::Clock;

const PREFIX: &str = "run.";
/// How long a run key may be used, and about how long its answer is stored.
pub(crate) const RUN_KEY_TTL_MS: u64 = 600_000;

/// The claims that this incarnation of the router holds for its run keys.
pub(crate) struct RunKeys {
    prefix: String,
    clock: Clock,
    claims: RefCell<Claims>,
}

/// A parsed run key.
#[derive(Debug, Eq, PartialEq)]
pub(crate) struct RunKey<'a> {
    /// The router's host and incarnation.
    pub(crate) prefix: &'a str,
    pub(crate) host: &'a str,
    /// The caller's UUID.
    pub(crate) id: &'a str,
}

impl<'a> RunKey<'a> {
    /// Parses `key` if it is a run key.
    pub(crate) fn parse(key: &'a str) -> Option<Self> {
        let rest = key.strip_prefix(PREFIX)?;
        let (prefix, id) = key.rsplit_once('.')?;
        let (rest, _) = rest.rsplit_once('.')?;
        let (host, _incarnation) = rest.rsplit_once('.')?;
        Some(Self { prefix, host, id })
    }
}

impl RunKeys {
    /// Creates the run keys of a new incarnation of `host`, which accepts no key of an earlier one.
    pub(crate) fn new(host: &str, clock: Clock) -> Self {
        Self {
            prefix: format!("{PREFIX}{host}.{}", Uuid::now_v7().simple()),
            clock,
            claims: RefCell::default(),
        }
    }

    /// The prefix that a caller puts before a dot and a UUID.
    pub(crate) fn prefix(&self) -> &str {
        &self.prefix
    }

    /// Claims a run key of this incarnation; the first claim wins.
    pub(crate) fn claim(&self, claim: &Claim) -> Verdict {
        let now_ms = self.clock.now_ms();
        let mut claims = self.claims.borrow_mut();
        // After this time the key is too old to be used, even if the wall clock was adjusted.
        let retention_ms = RUN_KEY_TTL_MS + 4 * CLOCK_MARGIN_MS;
        claims.remove_older_than(now_ms.saturating_sub(retention_ms));
        claims.apply(claim_record(Body::Claim(claim.clone())), now_ms);
        let verdict = claims.verdict(claim);
        verdict.unwrap_or(Verdict::Lost(KeyStatus::Free))
    }

    pub(crate) fn record(&self, body: Body) {
        let now_ms = self.clock.now_ms();
        self.claims.borrow_mut().apply(claim_record(body), now_ms);
    }
}

fn claim_record(body: Body) -> ClaimRecord {
    ClaimRecord {
        body: Some(body),
        ..ClaimRecord::default()
    }
}
