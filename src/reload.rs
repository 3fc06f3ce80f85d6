//! Reloads the settings file when it changes or on SIGHUP.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime};

use crate::config;
use crate::schema::settings::Settings;

/// Signal number, the same on every POSIX system.
const SIGHUP: i32 = 1;
/// Interval between checks for a signal.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// The file's metadata is read once in this many polls, to notice changes without a signal.
const POLLS_PER_STAT: u32 = 4;

/// Modification time and size of a file.
type FileStamp = Option<(SystemTime, u64)>;

/// Watches one settings file.
#[derive(Debug)]
pub(crate) struct Watch {
    path: PathBuf,
    hangup: Arc<AtomicBool>,
    seen: FileStamp,
}

impl Watch {
    /// Starts watching and handles SIGHUP, which by default would end the process.
    ///
    /// # Errors
    /// When the signal handler can't be installed.
    pub(crate) fn open(path: &Path) -> std::io::Result<Self> {
        let hangup = Arc::new(AtomicBool::new(false));
        signal_hook::flag::register(SIGHUP, hangup.clone())?;
        Ok(Self {
            path: path.to_owned(),
            hangup,
            seen: file_stamp(path),
        })
    }

    /// Passes each valid new version of the settings to `apply`. If the file is invalid, logs every
    /// fault and keeps the current settings.
    pub(crate) async fn follow(mut self, apply: impl Fn(&Settings)) {
        let mut polls = 0_u32;
        loop {
            compio::time::sleep(POLL_INTERVAL).await;
            polls = polls.wrapping_add(1);
            let signalled = self.hangup.swap(false, Ordering::Relaxed);
            if !signalled && !polls.is_multiple_of(POLLS_PER_STAT) {
                continue;
            }
            let now = file_stamp(&self.path);
            if !signalled && now == self.seen {
                continue;
            }
            self.seen = now;
            match config::load(&self.path) {
                Ok(settings) => {
                    log::info!("settings read again, by signal: {signalled}");
                    apply(&settings);
                }
                Err(e) => log::error!("settings not taken, the old ones stay: {e}"),
            }
        }
    }
}

fn file_stamp(path: &Path) -> FileStamp {
    let metadata = std::fs::metadata(path).ok()?;
    Some((metadata.modified().ok()?, metadata.len()))
}
