//! Engine reports: load, which arrives late, and cache events, which may have gaps.
//!
//! Both are hints. A home counts its own work exactly; the reported load corrects a new home's
//! count, and the events show which chats are cached. After a gap in the events, the full cache
//! digest replaces them.

use std::time::Duration;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use tokio::sync::mpsc;

use crate::decide::ChatKey;
use crate::time_limit::within;
use crate::util::read_body;

const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_DIGEST_ENTRIES: usize = 1_000;
/// Largest answer: room for some 100,000 events of 80 bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// The load that an engine reports.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(default)]
pub(crate) struct ReportedLoad {
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    /// Whether the engine asks for no new work.
    pub(crate) leaving: bool,
}

/// A chat's cached tokens; zero if it was evicted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct CacheHint {
    pub(crate) chat: ChatKey,
    pub(crate) tokens: u32,
}

/// One report of one engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Report {
    pub(crate) load: ReportedLoad,
    pub(crate) cached: Vec<CacheHint>,
    /// Whether `cached` is the whole cache rather than a change to it.
    pub(crate) full: bool,
}

#[derive(Deserialize)]
struct ReportBody {
    load: ReportedLoad,
    events: Vec<CacheEvent>,
}

#[derive(Deserialize)]
struct CacheEvent {
    seq: u64,
    key: u64,
    tokens: u32,
}

#[derive(Deserialize)]
struct CacheEntry {
    key: u64,
    tokens: u32,
}

#[derive(Debug, Snafu)]
enum ReportError {
    #[snafu(display("{source}"))]
    Call { source: cyper::Error },
    #[snafu(display("malformed report: {source}"))]
    Malformed { source: serde_json::Error },
    #[snafu(display("report request timed out"))]
    TimedOut,
}

/// Polls the engine at `addr` every `interval` until the receiver is dropped. A failed poll is sent
/// as `None`, so that the home can distinguish it from an idle engine.
pub(crate) fn spawn(
    http: cyper::Client,
    addr: &str,
    interval: Duration,
) -> mpsc::Receiver<Option<Report>> {
    let (tx, rx) = mpsc::channel(4);
    let poller = Poller {
        http,
        base: format!("http://{addr}"),
        next_seq: None,
    };
    compio::runtime::spawn(poller.run(interval, tx)).detach();
    rx
}

struct Poller {
    http: cyper::Client,
    base: String,
    /// Sequence number of the next event; unknown before the first digest.
    next_seq: Option<u64>,
}

impl Poller {
    async fn run(mut self, interval: Duration, tx: mpsc::Sender<Option<Report>>) {
        loop {
            let report = match self.poll().await {
                Ok(report) => Some(report),
                Err(e) => {
                    log::debug!("report from {} failed: {e}", self.base);
                    None
                }
            };
            if tx.send(report).await.is_err() {
                return;
            }
            compio::time::sleep(interval).await;
        }
    }

    async fn poll(&mut self) -> Result<Report, ReportError> {
        let from = self.next_seq.unwrap_or(0);
        let body: ReportBody = self.get(&format!("/report?from={from}")).await?;
        let seqs: Vec<u64> = body.events.iter().map(|e| e.seq).collect();
        let contiguous = self.next_seq.is_some() && is_contiguous(from, &seqs);
        self.next_seq = Some(seqs.last().map_or(from, |seq| seq + 1));
        if contiguous {
            let cached = body.events.iter().map(|e| hint(e.key, e.tokens));
            return Ok(Report {
                load: body.load,
                cached: cached.collect(),
                full: false,
            });
        }
        let entries: Vec<CacheEntry> = self
            .get(&format!("/cache/digest?max={MAX_DIGEST_ENTRIES}"))
            .await?;
        Ok(Report {
            load: body.load,
            cached: entries.iter().map(|e| hint(e.key, e.tokens)).collect(),
            full: true,
        })
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ReportError> {
        let call = async {
            let request = self
                .http
                .get(format!("{}{path}", self.base))
                .context(CallSnafu)?;
            let response = request.send().await.context(CallSnafu)?;
            let body = read_body(response, MAX_ANSWER_BYTES).await;
            let body = body.context(CallSnafu)?;
            serde_json::from_slice(&body).context(MalformedSnafu)
        };
        let polled = within(REPORT_TIMEOUT, call).await;
        polled.unwrap_or(Err(ReportError::TimedOut))
    }
}

fn hint(key: u64, tokens: u32) -> CacheHint {
    CacheHint {
        chat: ChatKey(key),
        tokens,
    }
}

/// Whether `seqs` are `from`, `from + 1` and so on, without a gap.
pub(crate) fn is_contiguous(from: u64, seqs: &[u64]) -> bool {
    seqs.iter()
        .zip(from..)
        .all(|(seq, expected)| *seq == expected)
}
