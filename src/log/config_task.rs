//! The task that owns the configuration: it reads the stream, appends operators' changes, writes
//! snapshots and publishes the configuration in force.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, oneshot, watch};

use crate::event::{Events, Kind};
use crate::log::Log;
use crate::log::config::{self, Applied};
use crate::log::follow::{ApplyError, ApplyOutcome, ConfigPeers, FollowStatus, Follower};
use crate::log::timer::SystemTimer;
use crate::log::view::ConfigView;
use crate::path::position::StreamPosition;
use crate::schema::config::{Change, State};
use crate::schema::peer::{ConfigReply, ConfigRequest};
use crate::time_limit::within;
use crate::util::{self, Clock};

/// A snapshot is written after the log's retention divided by this, plus a delay that depends on
/// the host.
const SNAPSHOTS_PER_RETENTION: u32 = 16;

type ApplyReply = oneshot::Sender<Result<ApplyOutcome, ApplyError>>;

/// A query for other routers, and the channel for the reply.
pub type PeerQuery = (ConfigRequest, oneshot::Sender<Option<ConfigReply>>);

/// Settings for reading the configuration stream.
#[derive(Clone, Copy, Debug)]
pub struct FollowOptions {
    /// Interval between reads of the stream.
    pub poll: Duration,
    /// The time for which the log keeps every record.
    pub retention: Duration,
}

/// A handle to the configuration task.
#[derive(Clone, Debug)]
pub struct ConfigHandle {
    tx: mpsc::Sender<(Change, ApplyReply)>,
    view: watch::Receiver<Arc<ConfigView>>,
    status: watch::Receiver<FollowStatus>,
}

impl ConfigHandle {
    /// Starts the task on the current runtime. `host` determines the interval between snapshots, so
    /// that routers don't all write them at the same time. Queries for other routers are sent to
    /// the returned channel.
    pub fn spawn<L: Log + 'static>(
        log: L,
        host: &str,
        options: FollowOptions,
        events: Events,
    ) -> (Self, mpsc::Receiver<PeerQuery>) {
        let (tx, rx) = mpsc::channel(64);
        let (query_tx, query_rx) = mpsc::channel(1);
        let empty = State::default();
        let digest = config::digest(&empty);
        let (publish, view) = watch::channel(Arc::new(ConfigView::new(empty, digest)));
        let (publish_status, status) = watch::channel(FollowStatus::Starting);
        let task = Task {
            follower: Follower::new(log, PeerQueries(query_tx), SystemTimer::new(Clock::start())),
            poll: options.poll,
            snapshot_interval: snapshot_interval(host, options.retention),
            last_snapshot: Instant::now(),
            snapshot: None,
            events,
            published: <(StreamPosition, u64)>::default(),
            publish,
            publish_status,
        };
        compio::runtime::spawn(task.run(rx)).detach();
        let config_handle = Self { tx, view, status };
        (config_handle, query_rx)
    }

    /// Returns a receiver of the configuration in force.
    pub fn view(&self) -> watch::Receiver<Arc<ConfigView>> {
        self.view.clone()
    }

    /// Returns how current the configuration is.
    pub fn status(&self) -> FollowStatus {
        self.status.borrow().clone()
    }

    /// Appends `change` and waits until it has been read back.
    ///
    /// # Errors
    /// When the change wasn't appended, or when it isn't known whether it was.
    pub async fn apply(&self, change: Change) -> Result<ApplyOutcome, ApplyError> {
        let (reply, outcome) = oneshot::channel();
        let stopping = |_| ApplyError::NotApplied {
            detail: "router is stopping".to_owned(),
        };
        self.tx
            .send((change, reply))
            .await
            .map_err(|_| stopping(()))?;
        // The task may have appended the change before it ended.
        outcome.await.unwrap_or_else(|_| {
            Err(ApplyError::Unknown {
                detail: "router is stopping".to_owned(),
            })
        })
    }
}

/// Returns the interval after which `host` writes a snapshot if no other router has written one. It
/// differs between hosts, so that usually only one of them writes.
fn snapshot_interval(host: &str, retention: Duration) -> Duration {
    let base = retention / SNAPSHOTS_PER_RETENTION;
    let share = util::hash_parts(&[host]) % 1_000;
    base + base * u32::try_from(share).unwrap_or(0) / 1_000
}

struct PeerQueries(mpsc::Sender<PeerQuery>);

impl ConfigPeers for PeerQueries {
    async fn fetch(&self, request: ConfigRequest) -> Option<ConfigReply> {
        let (reply, answer) = oneshot::channel();
        self.0.send((request, reply)).await.ok()?;
        answer.await.ok().flatten()
    }
}

struct Task<L> {
    follower: Follower<L, PeerQueries, SystemTimer>,
    poll: Duration,
    snapshot_interval: Duration,
    /// When the last snapshot was read or appended.
    last_snapshot: Instant,
    snapshot: Option<u64>,
    events: Events,
    /// Position and version of the last published state.
    published: (StreamPosition, u64),
    publish: watch::Sender<Arc<ConfigView>>,
    publish_status: watch::Sender<FollowStatus>,
}

impl<L: Log> Task<L> {
    async fn run(mut self, mut rx: mpsc::Receiver<(Change, ApplyReply)>) {
        loop {
            let events = self.events.clone();
            self.follower.poll(&mut |a, s| emit(&events, a, s)).await;
            self.publish();
            self.write_snapshot_if_due().await;
            match within(self.poll, rx.recv()).await {
                Ok(Some((change, reply))) => {
                    let emit = &mut |a: &Applied, s: &State| emit(&events, a, s);
                    let outcome = self.follower.apply(change, emit).await;
                    self.publish();
                    // The operator may have disconnected; the change stays in force.
                    let _ = reply.send(outcome);
                }
                Ok(None) => return,
                Err(_) => {}
            }
        }
    }

    fn publish(&mut self) {
        let state = self.follower.state();
        let position = self.follower.position();
        let at = (position, state.version);
        if at != self.published {
            self.published = at;
            let view = ConfigView::of_era(position.era, state.clone(), self.follower.digest());
            self.publish.send_replace(Arc::new(view));
        }
        let status = self.follower.status();
        if *self.publish_status.borrow() != *status {
            self.publish_status.send_replace(status.clone());
        }
    }

    async fn write_snapshot_if_due(&mut self) {
        if self.follower.snapshot() != self.snapshot {
            self.snapshot = self.follower.snapshot();
            self.last_snapshot = Instant::now();
        }
        let due = self.last_snapshot.elapsed() >= self.snapshot_interval;
        if !due || *self.follower.status() != FollowStatus::Current {
            return;
        }
        match self.follower.write_snapshot().await {
            Ok(()) => self.last_snapshot = Instant::now(),
            Err(e) => log::warn!(
                "snapshot of the configuration not written, retrying at the next poll: {e}"
            ),
        }
    }
}

fn emit(events: &Events, applied: &Applied, state: &State) {
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
