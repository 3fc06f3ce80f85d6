//! Tasks that claim keys, one task per hash slot.
//!
//! A claim is appended immediately if the last append is at least one window ago. Otherwise claims
//! are grouped until the window has passed, so that a stream gets at most one append per window.
//! While the log is down, claims are refused immediately.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, oneshot};

use crate::log::Log;
use crate::log::claims::{self, KeyStatus, SLOTS, Verdict};
use crate::log::group::{Group, LogDown, PendingClaim};
use crate::log::timer::SystemTimer;
use crate::schema::records::Claim;
use crate::schema::records::claim_record::Body;
use crate::time_limit::within;
use crate::util::Clock;

/// Interval between attempts to reach a log that is down.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Messages that may wait for one slot's task.
const CHANNEL_CAPACITY: usize = 4_096;

/// A message to a slot's task.
enum Msg {
    Claim(PendingClaim),
    Append(Body),
    Lookup(Lookup),
}

/// A query for the status of a key.
struct Lookup {
    key: String,
    key_ms: u64,
    reply: oneshot::Sender<Result<KeyStatus, LogDown>>,
}

/// Settings for the grouping of claims and their retention.
#[derive(Clone, Copy, Debug)]
pub struct ClaimOptions {
    /// Minimum time between two appends to one stream.
    pub window: Duration,
    /// The time for which the log keeps every record, in milliseconds.
    pub retention_ms: u64,
}

/// A handle to the claim tasks.
#[derive(Clone, Debug)]
pub struct ClaimHandle {
    slots: Arc<[mpsc::Sender<Msg>]>,
}

impl ClaimHandle {
    /// Starts one task per slot on the current runtime.
    pub fn spawn<L: Log + Clone + 'static>(log: &L, options: ClaimOptions) -> Self {
        let clock = Clock::start();
        let start = |slot| {
            let (tx, rx) = mpsc::channel(CHANNEL_CAPACITY);
            let stream = claims::stream(slot);
            let task = Task {
                group: Group::new(
                    log.clone(),
                    stream,
                    SystemTimer::new(clock),
                    options.retention_ms,
                ),
                window: options.window,
                last_attempt: None,
            };
            compio::runtime::spawn(task.run(rx)).detach();
            tx
        };
        Self {
            slots: (0..SLOTS).map(start).collect(),
        }
    }

    /// Appends `claim` of a key with time `key_ms` and returns the verdict read back from the log.
    ///
    /// # Errors
    /// [`LogDown`] when the claim doesn't hold the key and never will.
    pub async fn claim(&self, claim: Claim, key_ms: u64) -> Result<Verdict, LogDown> {
        let (reply, verdict) = oneshot::channel();
        let slot = self.slot(&claim.key);
        let pending = PendingClaim {
            claim,
            key_ms,
            reply,
        };
        // A full channel means that the log is slower than the claims: refuse instead of queueing.
        slot.try_send(Msg::Claim(pending)).map_err(|_| LogDown)?;
        verdict.await.unwrap_or(Err(LogDown))
    }

    /// Reads the log and returns the status of `key` with time `key_ms`.
    ///
    /// # Errors
    /// [`LogDown`] when the log can't be read.
    pub async fn lookup(&self, key: &str, key_ms: u64) -> Result<KeyStatus, LogDown> {
        let (reply, status) = oneshot::channel();
        let lookup = Lookup {
            key: key.to_owned(),
            key_ms,
            reply,
        };
        let sent = self.slot(key).try_send(Msg::Lookup(lookup));
        sent.map_err(|_| LogDown)?;
        status.await.unwrap_or(Err(LogDown))
    }

    /// Queues a release or an outcome to be appended with the next group, once the log is up.
    pub fn append_later(&self, key: &str, body: Body) {
        if self.slot(key).try_send(Msg::Append(body)).is_err() {
            metrics::counter!("claim_notes_lost_total").increment(1);
        }
    }

    fn slot(&self, key: &str) -> &mpsc::Sender<Msg> {
        let at = usize::try_from(claims::slot(key)).unwrap_or(0);
        &self.slots[at]
    }
}

/// The channel is closed because the router is stopping.
struct Stopped;

struct Task<L> {
    group: Group<L, SystemTimer>,
    window: Duration,
    /// Time of the last append, or of the last attempt to reach the log.
    last_attempt: Option<Instant>,
}

impl<L: Log> Task<L> {
    async fn run(mut self, mut rx: mpsc::Receiver<Msg>) {
        loop {
            let Ok(msg) = self.next(&mut rx).await else {
                return;
            };
            if !self.group.is_down() {
                compio::time::sleep(self.remaining(self.window)).await;
            }
            let mut group = Vec::new();
            let mut lookups = Vec::new();
            self.dispatch(msg, &mut group, &mut lookups);
            while let Ok(msg) = rx.try_recv() {
                self.dispatch(Some(msg), &mut group, &mut lookups);
            }
            for lookup in lookups {
                let status = self.group.lookup(&lookup.key, lookup.key_ms).await;
                // The caller may have cancelled.
                let _ = lookup.reply.send(status);
            }
            if !self.group.is_down() || self.remaining(PROBE_INTERVAL).is_zero() {
                self.process(group).await;
            }
        }
    }

    /// Returns the next message, or `None` when it is time to try a log that is down or to append
    /// queued records.
    async fn next(&self, rx: &mut mpsc::Receiver<Msg>) -> Result<Option<Msg>, Stopped> {
        let wait = match (self.group.is_down(), self.group.has_queued()) {
            (true, _) => self.remaining(PROBE_INTERVAL),
            (false, true) => self.remaining(self.window),
            (false, false) => return rx.recv().await.map(Some).ok_or(Stopped),
        };
        if wait.is_zero() {
            return Ok(None);
        }
        match within(wait, rx.recv()).await {
            Ok(msg) => msg.map(Some).ok_or(Stopped),
            Err(_) => Ok(None),
        }
    }

    /// Returns how much of `time` is left since the last group.
    fn remaining(&self, time: Duration) -> Duration {
        let left = self
            .last_attempt
            .and_then(|at| time.checked_sub(at.elapsed()));
        left.unwrap_or_default()
    }

    async fn process(&mut self, group: Vec<PendingClaim>) {
        let appended = self.group.process(group).await;
        if appended {
            metrics::counter!("claim_appends_total").increment(1);
        }
        if appended || self.group.is_down() {
            self.last_attempt = Some(Instant::now());
        }
    }

    fn dispatch(
        &mut self,
        msg: Option<Msg>,
        group: &mut Vec<PendingClaim>,
        lookups: &mut Vec<Lookup>,
    ) {
        match msg {
            Some(Msg::Claim(pending)) if self.group.is_down() => {
                // The caller may have cancelled.
                let _ = pending.reply.send(Err(LogDown));
            }
            Some(Msg::Claim(pending)) => group.push(pending),
            Some(Msg::Append(body)) => self.group.enqueue(body),
            Some(Msg::Lookup(lookup)) if self.group.is_down() => {
                let _ = lookup.reply.send(Err(LogDown));
            }
            Some(Msg::Lookup(lookup)) => lookups.push(lookup),
            None => {}
        }
    }
}
