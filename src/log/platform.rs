//! HTTP client of the platform's log and host list.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::log::{Batch, Entry, Log, LogError};
use crate::stats;
use crate::time_limit::within;
use crate::util::{read_body, wall_ms};

/// Label of the log's metrics that concern all its streams.
const STATS_NAME: &str = "all";
/// Header of the log's responses: the number of times that it was restored from an older copy.
const ERA_HEADER: &str = "log-era";

/// Largest answer: a quarter of the 260 MB that a router has at the smallest site. A read of the
/// log may hold several snapshots of about 1 MB.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// A client of the platform.
#[derive(Clone, Debug)]
pub struct Platform {
    http: cyper::Client,
    base: String,
    timeout: Duration,
    era: Rc<Cell<SeenEra>>,
}

/// The newest era seen in a response.
#[derive(Clone, Copy, Debug, Default)]
struct SeenEra {
    era: u64,
    /// Wall time after that response; zero for the first era.
    seen_ms: u64,
}

/// A successful response.
struct Answer {
    era: u64,
    body: Vec<u8>,
}

/// The kind of a listed host.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostKind {
    /// A host that runs a router.
    #[default]
    Router,
    /// An upstream; the host's name is the upstream's.
    Upstream,
}

/// One entry of the platform's host list, which may lag behind the actual hosts.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ListedHost {
    /// The host's name; for an upstream, its name in the configuration.
    pub name: String,
    /// Whether the host is a router or an upstream.
    #[serde(default)]
    pub kind: HostKind,
    /// The data centre of the host.
    #[serde(default)]
    pub data_center: String,
    /// The address at which a router accepts callers.
    #[serde(default)]
    pub caller_addr: String,
    /// The address at which a router accepts other routers.
    #[serde(default)]
    pub peer_addr: String,
    /// Whether the platform is removing the host.
    #[serde(default)]
    pub leaving: bool,
}

#[derive(Serialize)]
struct AppendBody {
    records: Vec<String>,
}

#[derive(Deserialize)]
struct AppendReply {
    offset: u64,
}

#[derive(Deserialize)]
struct ReadReply {
    first: u64,
    next: u64,
    records: Vec<ReadEntry>,
}

#[derive(Deserialize)]
struct ReadEntry {
    offset: u64,
    text: String,
}

impl Platform {
    /// Creates a client of the platform at `addr`, an IP address and port.
    ///
    /// # Errors
    /// When the HTTP client can't be created.
    pub fn open(addr: &str, timeout: Duration) -> Result<Self, LogError> {
        let http = cyper::Client::new().map_err(|e| unavailable(&e))?;
        Ok(Self {
            http,
            base: format!("http://{addr}"),
            timeout,
            era: Rc::default(),
        })
    }

    /// Returns the platform's list of hosts.
    ///
    /// # Errors
    /// When the platform can't be reached.
    pub async fn hosts(&self) -> Result<Vec<ListedHost>, LogError> {
        let answer = self.get(&format!("{}/hosts", self.base)).await?;
        serde_json::from_slice(&answer.body).map_err(|e| unavailable(&e))
    }

    /// Records the era of a response of the log.
    fn observe(&self, era: u64) {
        let seen = self.era.get();
        if era <= seen.era {
            return;
        }
        log::warn!(
            "the platform's log was restored from an older copy: era {era} after {}; records that \
             it acknowledged may be lost",
            seen.era
        );
        stats::log_restored(STATS_NAME);
        stats::log_era(STATS_NAME, era);
        let seen_ms = wall_ms();
        self.era.set(SeenEra { era, seen_ms });
    }

    async fn get(&self, url: &str) -> Result<Answer, LogError> {
        let call = async {
            let request = self.http.get(url).map_err(|e| unavailable(&e))?;
            let response = request.send().await.map_err(|e| unavailable(&e))?;
            if !response.status().is_success() {
                return Err(unavailable(&response.status()));
            }
            let era = era(response.headers());
            let body = read_body(response, MAX_ANSWER_BYTES).await;
            let body = body.map_err(|e| unavailable(&e))?;
            Ok(Answer { era, body })
        };
        within(self.timeout, call)
            .await
            .map_err(|e| unavailable(&e))?
    }

    async fn post(&self, url: &str, body: String) -> Result<Answer, LogError> {
        let call = async {
            let request = self.http.post(url).map_err(|e| unavailable(&e))?;
            let response = request
                .body(body)
                .send()
                .await
                .map_err(|e| indeterminate(&e))?;
            if response.status() == http::StatusCode::SERVICE_UNAVAILABLE {
                return Err(unavailable(&response.status()));
            }
            if !response.status().is_success() {
                return Err(indeterminate(&response.status()));
            }
            let era = era(response.headers());
            let body = read_body(response, MAX_ANSWER_BYTES).await;
            let body = body.map_err(|e| indeterminate(&e))?;
            Ok(Answer { era, body })
        };
        within(self.timeout, call)
            .await
            .map_err(|e| indeterminate(&e))?
    }
}

impl Log for Platform {
    async fn append(&self, stream: &str, records: Vec<String>) -> Result<u64, LogError> {
        let url = format!("{}/log/{stream}", self.base);
        let body = serde_json::to_string(&AppendBody { records }).map_err(|e| unavailable(&e))?;
        let started = Instant::now();
        let answer = self.post(&url, body).await?;
        stats::log_append(started.elapsed());
        self.observe(answer.era);
        let reply: AppendReply =
            serde_json::from_slice(&answer.body).map_err(|e| indeterminate(&e))?;
        Ok(reply.offset)
    }

    async fn read(&self, stream: &str, from: u64, max: usize) -> Result<Batch, LogError> {
        let url = format!("{}/log/{stream}?from={from}&max={max}", self.base);
        let answer = self.get(&url).await?;
        self.observe(answer.era);
        let seen = self.era.get();
        if answer.era < seen.era {
            return Err(unavailable(
                &"the response is from before a restore of the log",
            ));
        }
        let reply: ReadReply = serde_json::from_slice(&answer.body).map_err(|e| unavailable(&e))?;
        stats::log_read_lag(stream, reply.next.saturating_sub(from));
        let entries = reply.records.into_iter().map(|r| Entry {
            offset: r.offset,
            text: r.text,
        });
        Ok(Batch {
            era: seen.era,
            era_seen_ms: seen.seen_ms,
            first: reply.first,
            next: reply.next,
            entries: entries.collect(),
        })
    }
}

fn era(headers: &http::HeaderMap) -> u64 {
    let era = headers.get(ERA_HEADER).and_then(|v| v.to_str().ok());
    era.and_then(|text| text.parse().ok()).unwrap_or_default()
}

fn unavailable(detail: &impl ToString) -> LogError {
    LogError::Unavailable {
        detail: detail.to_string(),
    }
}

fn indeterminate(detail: &impl ToString) -> LogError {
    LogError::Indeterminate {
        detail: detail.to_string(),
    }
}
