//! What must be agreed or kept, on the platform's append-only log.
//!
//! Hosts keep nothing. A stream of the log is the arbiter: append, then read back up to one's own
//! record; the order of records decides. Every record carries a unique id, so a lost reply is
//! settled by reading, never by guessing.

pub mod check;
pub mod claimant;
pub mod claims;
pub mod config;
pub mod config_task;
pub mod follow;
pub mod group;
pub mod lease;
pub mod platform;
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

/// A run of records.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Batch {
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
    /// The call surely had no effect.
    #[snafu(display("the log can't be reached: {detail}"))]
    Unavailable {
        /// What the transport said.
        detail: String,
    },
    /// The call may have taken effect; only reading tells.
    #[snafu(display("the log's reply was lost: {detail}"))]
    Unsettled {
        /// What the transport said.
        detail: String,
    },
}

/// An append-only log of named streams.
pub trait Log {
    /// Appends `records` in order and returns the offset of the first.
    ///
    /// # Errors
    /// [`LogError::Unsettled`] when the records may have been appended all the same.
    fn append(
        &self,
        stream: &str,
        records: Vec<String>,
    ) -> impl Future<Output = Result<u64, LogError>>;

    /// Reads at most `max` records from `from` on, or from the oldest kept if that is later.
    ///
    /// # Errors
    /// Any failure to read; reading has no effect.
    fn read(
        &self,
        stream: &str,
        from: u64,
        max: usize,
    ) -> impl Future<Output = Result<Batch, LogError>>;
}

/// Reports a broken invariant: stops a debug build, counts and logs in a release.
///
/// A router that stopped here would cut its callers' answers; what the invariant guards is refused
/// by the caller of this function.
pub(crate) fn invariant(holds: bool, what: &'static str) {
    if !holds {
        metrics::counter!("invariant_broken_total", "what" => what).increment(1);
        log::error!("invariant broken: {what}");
        debug_assert!(holds, "invariant broken: {what}");
    }
}
