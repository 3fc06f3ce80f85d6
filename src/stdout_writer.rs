//! Standard output for logs and events: lines wait in memory, and nobody waits for a reader.
//!
//! Failure guarded against: whoever reads the log falls behind, the pipe fills, and a router that
//! writes into it stops serving. Lines that find no room are dropped and counted; the count is the
//! next line that goes out.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use metrics::counter;
use serde_json::json;

/// Bytes that may wait; some seconds of the heaviest logging.
const MAX_WAITING_BYTES: usize = 256 << 10;
/// Lines are gathered for this long and written together: each write is a system call, and a killed
/// process loses no more than this.
const GATHER: Duration = Duration::from_millis(20);

#[derive(Debug, Default)]
struct Waiting {
    bytes: Vec<u8>,
    dropped: u64,
    is_writing: bool,
}

#[derive(Debug, Default)]
struct Shared {
    waiting: Mutex<Waiting>,
    changed: Condvar,
}

/// A handle to the lines that wait; writing to it never blocks and never fails.
#[derive(Clone, Debug, Default)]
pub(crate) struct StdoutWriter(Arc<Shared>);

impl StdoutWriter {
    /// Starts the thread that writes to standard output.
    pub(crate) fn spawn() -> Self {
        let writer = Self::default();
        let shared = writer.0.clone();
        std::thread::spawn(move || write_out(&shared));
        writer
    }

    /// Waits until what was written before has left, at most `limit`.
    pub(crate) fn flush_within(&self, limit: Duration) {
        let waiting = self.lock();
        let is_left = |w: &mut Waiting| !w.bytes.is_empty() || w.is_writing;
        // A reader that is behind by more loses the rest.
        let _ = self.0.changed.wait_timeout_while(waiting, limit, is_left);
    }

    fn lock(&self) -> MutexGuard<'_, Waiting> {
        let waiting = self.0.waiting.lock();
        waiting.unwrap_or_else(PoisonError::into_inner)
    }
}

impl Write for StdoutWriter {
    /// Takes a whole line.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut waiting = self.lock();
        if waiting.bytes.len() + line.len() > MAX_WAITING_BYTES {
            waiting.dropped += 1;
            counter!("cassiagrade_log_lines_dropped_total").increment(1);
            return Ok(line.len());
        }
        let was_empty = waiting.bytes.is_empty();
        waiting.bytes.extend_from_slice(line);
        drop(waiting);
        if was_empty {
            self.0.changed.notify_all();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_out(shared: &Shared) {
    let lock = || {
        shared
            .waiting
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    };
    let mut out = io::stdout();
    loop {
        let waiting = shared.changed.wait_while(lock(), |w| w.bytes.is_empty());
        drop(waiting.unwrap_or_else(PoisonError::into_inner));
        std::thread::sleep(GATHER);
        let (bytes, dropped) = {
            let mut waiting = lock();
            waiting.is_writing = true;
            let dropped = std::mem::take(&mut waiting.dropped);
            (std::mem::take(&mut waiting.bytes), dropped)
        };
        // A closed pipe has no reader to tell.
        let _ = out.write_all(&bytes);
        if dropped > 0 {
            let line = json!({ "level": "WARN", "message": "log lines dropped", "lines": dropped });
            let _ = writeln!(out, "{line}");
        }
        let _ = out.flush();
        lock().is_writing = false;
        shared.changed.notify_all();
    }
}

#[cfg(test)]
#[path = "outlet_tests.rs"]
mod outlet_tests;
