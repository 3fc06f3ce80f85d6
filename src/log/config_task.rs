//! The task that owns the configuration: it follows the stream, appends operators' changes, renews
//! the snapshot and publishes what is in force.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, oneshot, watch};

use crate::event::{Events, Kind};
use crate::log::Log;
use crate::log::config::{self, Applied};
use crate::log::follow::{ApplyError, ApplyOutcome, FollowStatus, Follower, StatePeers};
use crate::log::timer::RealTime;
use crate::log::view::ConfigView;
use crate::schema::config::{Change, State};
use crate::schema::peer::{ConfigReply, ConfigRequest};
use crate::util::{self, Clock};

/// Snapshots are renewed this many times within the log's retention, at least.
const RENEWALS: u32 = 16;

type ApplyReply = oneshot::Sender<Result<ApplyOutcome, ApplyError>>;

/// A question for other routers, and where the answer goes.
pub type PeerQuestion = (ConfigRequest, oneshot::Sender<Option<ConfigReply>>);

/// How the configuration is followed.
#[derive(Clone, Copy, Debug)]
pub struct Following {
    /// How often the stream is read.
    pub poll: Duration,
    /// How long the log surely keeps a record.
    pub retention: Duration,
}

/// A handle to the running task.
#[derive(Clone, Debug)]
pub struct ConfigHandle {
    tx: mpsc::Sender<(Change, ApplyReply)>,
    view: watch::Receiver<Arc<ConfigView>>,
    status: watch::Receiver<FollowStatus>,
}

impl ConfigHandle {
    /// Starts following the stream on the current runtime; `host` spreads the routers' renewals.
    /// Questions for other routers come out of the returned channel.
    pub fn spawn<L: Log + 'static>(
        log: L,
        host: &str,
        following: Following,
        events: Events,
    ) -> (Self, mpsc::Receiver<PeerQuestion>) {
        let (tx, rx) = mpsc::channel(64);
        let (questions, asked) = mpsc::channel(1);
        let nothing = State::default();
        let digest = config::digest(&nothing);
        let (publish, view) = watch::channel(Arc::new(ConfigView::new(nothing, digest)));
        let (publish_status, status) = watch::channel(FollowStatus::Starting);
        let task = Task {
            follower: Follower::new(log, Questions(questions), RealTime::new(Clock::start())),
            poll: following.poll,
            renew_after: renew_after(host, following.retention),
            renewed: Instant::now(),
            snapshot: None,
            events,
            published: (0, 0),
            publish,
            publish_status,
        };
        compio::runtime::spawn(task.run(rx)).detach();
        let config_handle = Self { tx, view, status };
        (config_handle, asked)
    }

    /// What is in force here.
    pub fn view(&self) -> watch::Receiver<Arc<ConfigView>> {
        self.view.clone()
    }

    /// How well it is known.
    pub fn status(&self) -> FollowStatus {
        self.status.borrow().clone()
    }

    /// Appends `change` and waits until it is read back.
    ///
    /// # Errors
    /// When the outcome isn't known or the change surely wasn't appended.
    pub async fn apply(&self, change: Change) -> Result<ApplyOutcome, ApplyError> {
        let (reply, outcome) = oneshot::channel();
        let stopping = |_| ApplyError::NotApplied {
            detail: "router is stopping".to_owned(),
        };
        self.tx
            .send((change, reply))
            .await
            .map_err(|_| stopping(()))?;
        // The task may have appended it before it ended.
        outcome.await.unwrap_or_else(|_| {
            Err(ApplyError::Unknown {
                detail: "router is stopping".to_owned(),
            })
        })
    }
}

/// Routers renew at different times, so that the first one spares the others.
fn renew_after(host: &str, retention: Duration) -> Duration {
    let base = retention / RENEWALS;
    let share = util::hash_parts(&[host]) % 1_000;
    base + base * u32::try_from(share).unwrap_or(0) / 1_000
}

struct Questions(mpsc::Sender<PeerQuestion>);

impl StatePeers for Questions {
    async fn ask(&self, ask: ConfigRequest) -> Option<ConfigReply> {
        let (reply, answer) = oneshot::channel();
        self.0.send((ask, reply)).await.ok()?;
        answer.await.ok().flatten()
    }
}

struct Task<L> {
    follower: Follower<L, Questions, RealTime>,
    poll: Duration,
    renew_after: Duration,
    /// When a snapshot was last read or appended.
    renewed: Instant,
    snapshot: Option<u64>,
    events: Events,
    /// Offset and version of the state that was published last.
    published: (u64, u64),
    publish: watch::Sender<Arc<ConfigView>>,
    publish_status: watch::Sender<FollowStatus>,
}

impl<L: Log> Task<L> {
    async fn run(mut self, mut rx: mpsc::Receiver<(Change, ApplyReply)>) {
        loop {
            let events = self.events.clone();
            self.follower.poll(&mut |a, s| note(&events, a, s)).await;
            self.publish();
            self.renew().await;
            match compio::time::timeout(self.poll, rx.recv()).await {
                Ok(Some((change, reply))) => {
                    let note = &mut |a: &Applied, s: &State| note(&events, a, s);
                    let outcome = self.follower.apply(change, note).await;
                    self.publish();
                    // The operator may have gone; the change stands all the same.
                    let _ = reply.send(outcome);
                }
                Ok(None) => return,
                Err(_) => {}
            }
        }
    }

    fn publish(&mut self) {
        let state = self.follower.state();
        let at = (state.offset, state.version);
        if at != self.published {
            self.published = at;
            let view = ConfigView::new(state.clone(), self.follower.digest());
            self.publish.send_replace(Arc::new(view));
        }
        let status = self.follower.status();
        if *self.publish_status.borrow() != *status {
            self.publish_status.send_replace(status.clone());
        }
    }

    async fn renew(&mut self) {
        if self.follower.snapshot() != self.snapshot {
            self.snapshot = self.follower.snapshot();
            self.renewed = Instant::now();
        }
        let due = self.renewed.elapsed() >= self.renew_after;
        if !due || *self.follower.status() != FollowStatus::Current {
            return;
        }
        match self.follower.renew().await {
            Ok(()) => self.renewed = Instant::now(),
            Err(e) => log::warn!("the configuration's snapshot can't be renewed: {e}"),
        }
    }
}

fn note(events: &Events, applied: &Applied, state: &State) {
    match applied {
        Applied::Accepted { version } => events.emit(Kind::ConfigApplied, |e| {
            e.detail = format!("version {version}, next offset {}", state.offset);
        }),
        Applied::Raced { .. } | Applied::Invalid { .. } | Applied::Newer { .. } => {
            events.emit(Kind::ConfigRejected, |e| e.detail = format!("{applied:?}"));
        }
        Applied::Skipped => {}
    }
}
