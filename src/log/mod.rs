//! Shared and durable state, stored in the platform's append-only log.
//!
//! Hosts have no durable storage. To agree on a value, a router appends a record to a stream and
//! reads the stream back up to that record; the order of the records decides. Every record has a
//! unique id, so that after a lost reply the router can find out by reading whether its append took
//! effect.

pub mod check;
pub mod claimant;
pub mod claims;
pub mod config;
pub mod config_task;
pub mod follow;
pub mod group;
pub mod lease;
pub mod platform;
#[cfg(test)]
mod platform_tests;
pub mod slot;
pub mod timer;
pub mod view;

#[cfg(test)]
mod check_tests;
#[cfg(test)]
mod claims_fuzz_tests;
#[cfg(test)]
mod config_fuzz_tests;
#[cfg(test)]
mod config_tests;
#[cfg(test)]
mod fake_tests;
#[cfg(test)]
pub(crate) mod fuzz_tests;
#[cfg(test)]
mod lease_fuzz_tests;

use snafu::Snafu;

/// One record read back from a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Position in the stream.
    pub offset: u64,
    /// The record as appended.
    pub text: String,
}

/// A contiguous range of records.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Batch {
    /// The number of times that the log was restored from an older copy. Each restore loses the
    /// newest records and gives their offsets out again.
    pub era: u64,
    /// Wall time at which this router had seen the era; zero if it was never restored.
    pub era_seen_ms: u64,
    /// The oldest offset the log still keeps.
    pub first: u64,
    /// The offset the next append will get.
    pub next: u64,
    /// Records in order of offset.
    pub entries: Vec<Entry>,
}

/// Why a call to the log failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum LogError {
    /// The call had no effect.
    #[snafu(display("the log can't be reached: {detail}"))]
    Unavailable {
        /// The transport's error.
        detail: String,
    },
    /// The call may have taken effect; reading the stream shows whether it did.
    #[snafu(display("no valid reply from the log; the call may have taken effect: {detail}"))]
    Indeterminate {
        /// The transport's error.
        detail: String,
    },
}

/// An append-only log of named streams.
pub trait Log {
    /// Appends `records` in order and returns the offset of the first.
    ///
    /// # Errors
    /// [`LogError::Indeterminate`] when the records may have been appended despite the error.
    fn append(
        &self,
        stream: &str,
        records: Vec<String>,
    ) -> impl Future<Output = Result<u64, LogError>>;

    /// Reads at most `max` records, starting at `from` or at the oldest kept record if that is
    /// later.
    ///
    /// # Errors
    /// Any failure to read.
    fn read(
        &self,
        stream: &str,
        from: u64,
        max: usize,
    ) -> impl Future<Output = Result<Batch, LogError>>;
}

/// Reports a broken invariant: panics in a debug build, counts and logs in a release build.
///
/// A release build doesn't panic because that would cut off the answers in progress; the caller of
/// this function refuses the operation instead.
pub(crate) fn invariant(holds: bool, what: &'static str) {
    if !holds {
        metrics::counter!("invariant_broken_total", "what" => what).increment(1);
        log::error!("invariant broken: {what}");
        debug_assert!(holds, "invariant broken: {what}");
    }
}
