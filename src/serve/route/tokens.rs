//! Run keys: idempotency keys that one incarnation of one router honours, with no log on the path.
//!
//! An entry answer names a prefix; a caller adds a UUID of version 7 for each request. Only the
//! incarnation that the prefix names will run such a key, and it remembers what it ran, so the
//! counter goes on through an outage of the log. Other routers pass the request on to it. Once it
//! is gone nobody knows what it ran, and the key is refused as "unknown", never run elsewhere.

use std::cell::RefCell;

use uuid::Uuid;

use crate::log::claims::{CLOCK_MARGIN_MS, Claims, KeyStatus, Verdict};
use crate::schema::records::claim_record::Body;
use crate::schema::records::{Claim, ClaimRecord};
use crate::util::Clock;

const MARK: &str = "run.";
/// How long a run key may be used, and about how long its answer is kept.
pub(crate) const TOKEN_MS: u64 = 600_000;

/// What one incarnation of this router ran under its run keys.
pub(crate) struct Tokens {
    prefix: String,
    clock: Clock,
    claims: RefCell<Claims>,
}

/// A run key in its parts.
#[derive(Debug, Eq, PartialEq)]
pub(crate) struct RunKey<'a> {
    /// The router's host and incarnation.
    pub(crate) prefix: &'a str,
    pub(crate) host: &'a str,
    /// What the caller added.
    pub(crate) id: &'a str,
}

impl<'a> RunKey<'a> {
    /// The parts of `key`, if it is a run key.
    pub(crate) fn parse(key: &'a str) -> Option<Self> {
        let rest = key.strip_prefix(MARK)?;
        let (prefix, id) = key.rsplit_once('.')?;
        let (rest, _) = rest.rsplit_once('.')?;
        let (host, _incarnation) = rest.rsplit_once('.')?;
        Some(Self { prefix, host, id })
    }
}

impl Tokens {
    /// A new incarnation of `host`: it honours no key of an earlier one.
    pub(crate) fn new(host: &str, clock: Clock) -> Self {
        Self {
            prefix: format!("{MARK}{host}.{}", Uuid::now_v7().simple()),
            clock,
            claims: RefCell::default(),
        }
    }

    /// What a caller puts before a point and a UUID.
    pub(crate) fn prefix(&self) -> &str {
        &self.prefix
    }

    /// Claims a run key of this incarnation; its own order of claims decides.
    pub(crate) fn claim(&self, claim: &Claim) -> Verdict {
        let now_ms = self.clock.now_ms();
        let mut claims = self.claims.borrow_mut();
        // By then the key is too old to be used, whichever way the wall clock was set.
        let kept_ms = TOKEN_MS + 4 * CLOCK_MARGIN_MS;
        claims.remove_older_than(now_ms.saturating_sub(kept_ms));
        claims.apply(record(Body::Claim(claim.clone())), now_ms);
        let verdict = claims.verdict(claim);
        verdict.unwrap_or(Verdict::Lost(KeyStatus::Free))
    }

    pub(crate) fn note(&self, body: Body) {
        let now_ms = self.clock.now_ms();
        self.claims.borrow_mut().apply(record(body), now_ms);
    }
}

fn record(body: Body) -> ClaimRecord {
    ClaimRecord {
        body: Some(body),
        ..ClaimRecord::default()
    }
}
