//! The tasks that claim keys, one task a slot.
//!
//! A lone claim is appended at once; the next group waits until the window since the last append
//! has passed, so that a stream gets at most one append a window. While the log is down, claims are
//! refused at once and nothing waits for it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, oneshot};

use crate::log::Log;
use crate::log::claims::{self, KeyStatus, SLOTS, Verdict};
use crate::log::group::{Group, LogDown, Waiting};
use crate::log::timer::RealTime;
use crate::schema::records::Claim;
use crate::schema::records::claim_record::Body;
use crate::util::Clock;

/// How often a log that was down is tried.
const PROBE: Duration = Duration::from_millis(500);
/// Claims and notes that wait for one slot.
const CHANNEL: usize = 4_096;

/// What the request path asks for.
enum Msg {
    Claim(Waiting),
    Note(Body),
    Look(Look),
}

/// A question how a key stands.
struct Look {
    key: String,
    key_ms: u64,
    reply: oneshot::Sender<Result<KeyStatus, LogDown>>,
}

/// How claims are grouped and kept.
#[derive(Clone, Copy, Debug)]
pub struct Grouping {
    /// Least time between two appends to one stream.
    pub window: Duration,
    /// How long the log surely keeps a record, in milliseconds.
    pub retention_ms: u64,
}

/// A handle to the running tasks.
#[derive(Clone, Debug)]
pub struct Claimant {
    slots: Arc<[mpsc::Sender<Msg>]>,
}

impl Claimant {
    /// Starts one task a slot on the current runtime.
    pub fn spawn<L: Log + Clone + 'static>(log: &L, grouping: Grouping) -> Self {
        let clock = Clock::start();
        let start = |slot| {
            let (tx, rx) = mpsc::channel(CHANNEL);
            let stream = claims::stream(slot);
            let task = Task {
                group: Group::new(
                    log.clone(),
                    stream,
                    RealTime::new(clock),
                    grouping.retention_ms,
                ),
                window: grouping.window,
                last: None,
            };
            compio::runtime::spawn(task.run(rx)).detach();
            tx
        };
        Self {
            slots: (0..SLOTS).map(start).collect(),
        }
    }

    /// Appends `claim` of a key of time `key_ms` and reads it back.
    ///
    /// # Errors
    /// [`LogDown`] when the claim surely doesn't hold the key and won't.
    pub async fn claim(&self, claim: Claim, key_ms: u64) -> Result<Verdict, LogDown> {
        let (reply, verdict) = oneshot::channel();
        let slot = self.slot(&claim.key);
        let waiting = Waiting {
            claim,
            key_ms,
            reply,
        };
        // A full channel means a log that is slower than the claims: refuse, don't queue deeper.
        slot.try_send(Msg::Claim(waiting)).map_err(|_| LogDown)?;
        verdict.await.unwrap_or(Err(LogDown))
    }

    /// How `key` of time `key_ms` stands, read anew from the log.
    ///
    /// # Errors
    /// [`LogDown`] when the log can't be read.
    pub async fn look(&self, key: &str, key_ms: u64) -> Result<KeyStatus, LogDown> {
        let (reply, status) = oneshot::channel();
        let look = Look {
            key: key.to_owned(),
            key_ms,
            reply,
        };
        let sent = self.slot(key).try_send(Msg::Look(look));
        sent.map_err(|_| LogDown)?;
        status.await.unwrap_or(Err(LogDown))
    }

    /// Appends a release or an outcome at the next occasion, however long the log is down.
    pub fn note(&self, key: &str, body: Body) {
        if self.slot(key).try_send(Msg::Note(body)).is_err() {
            metrics::counter!("claim_notes_lost_total").increment(1);
        }
    }

    fn slot(&self, key: &str) -> &mpsc::Sender<Msg> {
        let at = usize::try_from(claims::slot(key)).unwrap_or(0);
        &self.slots[at]
    }
}

/// The router is stopping.
struct Stopped;

struct Task<L> {
    group: Group<L, RealTime>,
    window: Duration,
    /// When the last group was appended, or the log last tried.
    last: Option<Instant>,
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
            let mut looks = Vec::new();
            self.sort(msg, &mut group, &mut looks);
            while let Ok(msg) = rx.try_recv() {
                self.sort(Some(msg), &mut group, &mut looks);
            }
            for look in looks {
                let status = self.group.look(&look.key, look.key_ms).await;
                // The caller may have gone.
                let _ = look.reply.send(status);
            }
            if !self.group.is_down() || self.remaining(PROBE).is_zero() {
                self.turn(group).await;
            }
        }
    }

    /// The next message, or `None` when it is time to look at the log without one.
    async fn next(&self, rx: &mut mpsc::Receiver<Msg>) -> Result<Option<Msg>, Stopped> {
        let wait = match (self.group.is_down(), self.group.owes()) {
            (true, _) => self.remaining(PROBE),
            (false, true) => self.remaining(self.window),
            (false, false) => return rx.recv().await.map(Some).ok_or(Stopped),
        };
        if wait.is_zero() {
            return Ok(None);
        }
        match compio::time::timeout(wait, rx.recv()).await {
            Ok(msg) => msg.map(Some).ok_or(Stopped),
            Err(_) => Ok(None),
        }
    }

    /// What is left of `time` since the last group.
    fn remaining(&self, time: Duration) -> Duration {
        let left = self.last.and_then(|at| time.checked_sub(at.elapsed()));
        left.unwrap_or_default()
    }

    async fn turn(&mut self, group: Vec<Waiting>) {
        let appended = self.group.turn(group).await;
        if appended {
            metrics::counter!("claim_appends_total").increment(1);
        }
        if appended || self.group.is_down() {
            self.last = Some(Instant::now());
        }
    }

    fn sort(&mut self, msg: Option<Msg>, group: &mut Vec<Waiting>, looks: &mut Vec<Look>) {
        match msg {
            Some(Msg::Claim(waiting)) if self.group.is_down() => {
                // The caller may have gone.
                let _ = waiting.reply.send(Err(LogDown));
            }
            Some(Msg::Claim(waiting)) => group.push(waiting),
            Some(Msg::Note(body)) => self.group.owe(body),
            Some(Msg::Look(look)) if self.group.is_down() => {
                let _ = look.reply.send(Err(LogDown));
            }
            Some(Msg::Look(look)) => looks.push(look),
            None => {}
        }
    }
}
