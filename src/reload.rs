//! Settings files that change while the process runs.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime};

use crate::config;
use crate::schema::settings::Settings;

/// Its number is the same on every POSIX system.
const SIGHUP: i32 = 1;
/// How soon a signal is noticed.
const LOOK: Duration = Duration::from_millis(500);
/// Looks between two at the file: some replace it without a signal.
const LOOKS_PER_STAT: u32 = 4;

/// What of a file shows that it was changed.
type Version = Option<(SystemTime, u64)>;

/// Watches one settings file.
#[derive(Debug)]
pub(crate) struct Watch {
    path: PathBuf,
    hangup: Arc<AtomicBool>,
    seen: Version,
}

impl Watch {
    /// Starts watching; from now on the signal no longer ends the process.
    ///
    /// # Errors
    /// When the system refuses a handler.
    pub(crate) fn open(path: &Path) -> std::io::Result<Self> {
        let hangup = Arc::new(AtomicBool::new(false));
        signal_hook::flag::register(SIGHUP, hangup.clone())?;
        Ok(Self {
            path: path.to_owned(),
            hangup,
            seen: version(path),
        })
    }

    /// Hands each change to `apply`, once it is checked. Of a bad file every fault is logged, and the
    /// old settings stay in force.
    pub(crate) async fn follow(mut self, apply: impl Fn(&Settings)) {
        let mut looks = 0_u32;
        loop {
            compio::time::sleep(LOOK).await;
            looks = looks.wrapping_add(1);
            let asked = self.hangup.swap(false, Ordering::Relaxed);
            if !asked && !looks.is_multiple_of(LOOKS_PER_STAT) {
                continue;
            }
            let now = version(&self.path);
            if !asked && now == self.seen {
                continue;
            }
            self.seen = now;
            match config::load(&self.path) {
                Ok(settings) => {
                    log::info!("settings read again, by signal: {asked}");
                    apply(&settings);
                }
                Err(e) => log::error!("settings not taken, the old ones stay: {e}"),
            }
        }
    }
}

fn version(path: &Path) -> Version {
    let of_file = std::fs::metadata(path).ok()?;
    Some((of_file.modified().ok()?, of_file.len()))
}
