//! Helpers shared by several modules.

use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use futures_util::StreamExt;
use nix::time::ClockId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A shared immutable name.
pub type Name = Arc<str>;

/// Returns milliseconds since the Unix epoch by the host's clock.
pub(crate) fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

/// Converts a duration to whole microseconds.
pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Converts a duration to whole milliseconds.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Reads the body of an answer of at most `max_bytes`.
pub(crate) async fn read_body(
    answer: cyper::Response,
    max_bytes: usize,
) -> Result<Vec<u8>, cyper::Error> {
    let mut body = pin!(answer.bytes_stream());
    let mut bytes = Vec::new();
    while let Some(piece) = body.next().await {
        bytes.extend_from_slice(&piece?);
        if bytes.len() > max_bytes {
            return Err(io::Error::other("the answer exceeds its size limit").into());
        }
    }
    Ok(bytes)
}

/// A monotonic clock that starts at 1 ms at process start and includes the time the host is
/// suspended.
///
/// Failure guarded against: a host resumes after a suspend of seconds. By a clock that was suspended
/// too, state from before would still count as fresh and be used for requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    source: Source,
}

#[derive(Clone, Copy, Debug)]
enum Source {
    SinceBoot {
        start: Duration,
    },
    #[cfg(test)]
    Set(&'static std::sync::atomic::AtomicU64),
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self {
            source: Source::SinceBoot {
                start: since_boot(),
            },
        }
    }

    /// Creates a clock that returns the value a test sets.
    #[cfg(test)]
    pub(crate) fn set_by(now_ms: &'static std::sync::atomic::AtomicU64) -> Self {
        Self {
            source: Source::Set(now_ms),
        }
    }

    /// Returns the time in milliseconds; never zero, so that zero can mean "never".
    pub(crate) fn now_ms(&self) -> u64 {
        match self.source {
            Source::SinceBoot { start } => {
                let since = since_boot().saturating_sub(start);
                u64::try_from(since.as_millis()).unwrap_or(u64::MAX) + 1
            }
            #[cfg(test)]
            Source::Set(now_ms) => now_ms.load(std::sync::atomic::Ordering::Relaxed),
        }
    }
}

fn since_boot() -> Duration {
    match ClockId::CLOCK_BOOTTIME.now() {
        Ok(time) => time.into(),
        Err(e) => {
            // Linux has had this clock since 2.6.39.
            log::error!("cannot read CLOCK_BOOTTIME, using zero: {e}");
            Duration::ZERO
        }
    }
}

/// Hashes `parts` with a separator between them, so that `["ab", "c"]` and `["a", "bc"]` differ.
pub(crate) fn hash_parts(parts: &[&str]) -> u64 {
    parts
        .iter()
        .fold(0, |seed, part| xxh3_64_with_seed(part.as_bytes(), seed))
}

pub(crate) fn hash_bytes(bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, 0)
}

/// Combines two hashes with the SplitMix64 finaliser.
pub(crate) fn mix(a: u64, b: u64) -> u64 {
    let mut z = a.wrapping_add(b.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Whether `value` is zero; for fields that are left out of JSON then.
#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
pub(crate) fn is_zero(value: &u64) -> bool {
    *value == 0
}
