//! Non-blocking writer for logs and events: buffers lines and writes them in a separate thread.
//!
//! Failure guarded against: the reader of standard output falls behind, the pipe fills, and a
//! blocking write stops the router. When the buffer is full, lines are dropped and counted, and the
//! count is logged with the next write.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use metrics::counter;
use serde_json::json;

/// Size limit of the buffer, enough for some seconds at the highest logging rate.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Lines are written in batches at this interval, to save system calls. A killed process loses at
/// most the lines of one interval.
const WRITE_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
    is_writing: bool,
}

#[derive(Debug, Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    changed: Condvar,
}

/// Handle to the line buffer; writing to it never blocks and never fails.
#[derive(Clone, Debug, Default)]
pub(crate) struct StdoutWriter(Arc<Shared>);

impl StdoutWriter {
    /// Starts the thread that writes the buffer to standard output.
    pub(crate) fn spawn() -> Self {
        let writer = Self::default();
        let shared = writer.0.clone();
        std::thread::spawn(move || write_out(&shared));
        writer
    }

    /// Waits until all buffered lines are written, for at most `limit`.
    pub(crate) fn flush_within(&self, limit: Duration) {
        let buffer = self.lock();
        let is_pending = |w: &mut Buffer| !w.bytes.is_empty() || w.is_writing;
        // After `limit`, the remaining lines are lost.
        let _ = self.0.changed.wait_timeout_while(buffer, limit, is_pending);
    }

    fn lock(&self) -> MutexGuard<'_, Buffer> {
        let buffer = self.0.buffer.lock();
        buffer.unwrap_or_else(PoisonError::into_inner)
    }
}

impl Write for StdoutWriter {
    /// Buffers `line`, which must be a whole line.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut buffer = self.lock();
        if buffer.bytes.len() + line.len() > MAX_BUFFERED_BYTES {
            buffer.dropped += 1;
            counter!("cassiagrade_log_lines_dropped_total").increment(1);
            return Ok(line.len());
        }
        let was_empty = buffer.bytes.is_empty();
        buffer.bytes.extend_from_slice(line);
        drop(buffer);
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
    let lock = || shared.buffer.lock().unwrap_or_else(PoisonError::into_inner);
    let mut out = io::stdout();
    loop {
        let buffer = shared.changed.wait_while(lock(), |w| w.bytes.is_empty());
        drop(buffer.unwrap_or_else(PoisonError::into_inner));
        std::thread::sleep(WRITE_INTERVAL);
        let (bytes, dropped) = {
            let mut buffer = lock();
            buffer.is_writing = true;
            let dropped = std::mem::take(&mut buffer.dropped);
            (std::mem::take(&mut buffer.bytes), dropped)
        };
        // If the pipe is closed, there is nowhere to report the error.
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
#[path = "stdout_writer_tests.rs"]
mod stdout_writer_tests;
