//! Slots and places to wait of an upstream, and its fall when it turns too many requests away.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::process::Command;
use std::time::{Duration, Instant};

use tokio::sync::{Semaphore, SemaphorePermit};

use crate::backend::{BackendConfig, Knobs};

/// Window over which requests that are turned away are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Why a request gets no slot.
#[derive(Debug, Eq, PartialEq)]
pub(super) enum NoSlot {
    /// All slots and places to wait are taken.
    NoRoom,
    /// The caller's time ended while the request waited.
    TooLate,
}

/// The requests that an upstream runs, keeps waiting and turns away.
pub(super) struct Room {
    slots: Semaphore,
    waiting: Cell<u32>,
    turned_away: RefCell<VecDeque<Instant>>,
}

impl Room {
    pub(super) fn new(slots: u32) -> Self {
        Self {
            slots: Semaphore::new(slots as usize),
            waiting: Cell::default(),
            turned_away: RefCell::default(),
        }
    }

    /// Number of requests that wait for a slot.
    pub(super) fn waiting(&self) -> u32 {
        self.waiting.get()
    }

    /// Number of requests that run, out of `slots`.
    pub(super) fn running(&self, slots: u32) -> u32 {
        let free = u32::try_from(self.slots.available_permits()).unwrap_or(u32::MAX);
        slots.saturating_sub(free)
    }

    /// Whether a request finds neither a slot nor one of `places` to wait.
    pub(super) fn is_full(&self, places: u32) -> bool {
        self.slots.available_permits() == 0 && self.waiting.get() >= places
    }

    /// Takes a slot, or waits for one in one of `places` for at most `patience`.
    pub(super) async fn take_slot(
        &self,
        places: u32,
        patience: Duration,
    ) -> Result<SemaphorePermit<'_>, NoSlot> {
        if let Ok(slot) = self.slots.try_acquire() {
            return Ok(slot);
        }
        if self.waiting.get() >= places {
            return Err(NoSlot::NoRoom);
        }
        self.waiting.set(self.waiting.get() + 1);
        let slot = compio::time::timeout(patience, self.slots.acquire()).await;
        self.waiting.set(self.waiting.get() - 1);
        slot.ok()
            .and_then(std::result::Result::ok)
            .ok_or(NoSlot::TooLate)
    }

    /// Records that a request was turned away for want of room, and returns how many were within a second.
    pub(super) fn turn_away(&self, now: Instant) -> u32 {
        let mut turned_away = self.turned_away.borrow_mut();
        turned_away.push_back(now);
        while turned_away
            .front()
            .is_some_and(|at| now.duration_since(*at) >= WINDOW)
        {
            turned_away.pop_front();
        }
        u32::try_from(turned_away.len()).unwrap_or(u32::MAX)
    }
}

/// Replaces this process by a new start of the upstream, which listens after `down_ms` with the same knobs.
/// All connections end at once. Returns only if that fails.
pub(super) fn start_again(
    config: &BackendConfig,
    addr: SocketAddr,
    knobs: Knobs,
    down_ms: u64,
) -> io::Error {
    let knobs = Knobs {
        refuses_connections_ms: 0,
        silent_ms: 0,
        ..knobs
    };
    let knobs = match serde_json::to_string(&knobs) {
        Ok(knobs) => knobs,
        Err(e) => return io::Error::other(e),
    };
    let program = match std::env::current_exe() {
        Ok(program) => program,
        Err(e) => return e,
    };
    let mut command = Command::new(program);
    command.arg("backend");
    if let Some(id) = &config.id {
        command.args(["--id", id]);
    }
    let (store, slots, down_ms) = (
        config.store.to_string(),
        config.slots.to_string(),
        down_ms.to_string(),
    );
    command.args(["--service", &config.service]);
    command.args(["--data-center", &config.data_center]);
    command.args(["--store", &store, "--slots", &slots]);
    command.args(["--software", &config.software]);
    command.args(["--knobs", &knobs, "--starts-after-ms", &down_ms]);
    command.arg(addr.to_string()).exec()
}
