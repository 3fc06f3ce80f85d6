//! HTTP client of the platform's log and host list.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::log::{Batch, Entry, Log, LogError};
use crate::stats;

/// A client of the platform.
#[derive(Clone, Debug)]
pub struct Platform {
    http: cyper::Client,
    base: String,
    timeout: Duration,
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
        })
    }

    /// Returns the platform's list of hosts.
    ///
    /// # Errors
    /// When the platform can't be reached.
    pub async fn hosts(&self) -> Result<Vec<ListedHost>, LogError> {
        let text = self.get(&format!("{}/hosts", self.base)).await?;
        serde_json::from_slice(&text).map_err(|e| unavailable(&e))
    }

    async fn get(&self, url: &str) -> Result<Vec<u8>, LogError> {
        let call = async {
            let request = self.http.get(url).map_err(|e| unavailable(&e))?;
            let response = request.send().await.map_err(|e| unavailable(&e))?;
            if !response.status().is_success() {
                return Err(unavailable(&response.status()));
            }
            let body = response.bytes().await.map_err(|e| unavailable(&e))?;
            Ok(body.to_vec())
        };
        compio::time::timeout(self.timeout, call)
            .await
            .map_err(|e| unavailable(&e))?
    }

    async fn post(&self, url: &str, body: String) -> Result<Vec<u8>, LogError> {
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
            let body = response.bytes().await.map_err(|e| indeterminate(&e))?;
            Ok(body.to_vec())
        };
        compio::time::timeout(self.timeout, call)
            .await
            .map_err(|e| indeterminate(&e))?
    }
}

impl Log for Platform {
    async fn append(&self, stream: &str, records: Vec<String>) -> Result<u64, LogError> {
        let url = format!("{}/log/{stream}", self.base);
        let body = serde_json::to_string(&AppendBody { records }).map_err(|e| unavailable(&e))?;
        let started = Instant::now();
        let reply = self.post(&url, body).await?;
        stats::log_append(started.elapsed());
        let reply: AppendReply = serde_json::from_slice(&reply).map_err(|e| indeterminate(&e))?;
        Ok(reply.offset)
    }

    async fn read(&self, stream: &str, from: u64, max: usize) -> Result<Batch, LogError> {
        let url = format!("{}/log/{stream}?from={from}&max={max}", self.base);
        let reply = self.get(&url).await?;
        let reply: ReadReply = serde_json::from_slice(&reply).map_err(|e| unavailable(&e))?;
        stats::log_read_lag(stream, reply.next.saturating_sub(from));
        let entries = reply.records.into_iter().map(|r| Entry {
            offset: r.offset,
            text: r.text,
        });
        Ok(Batch {
            first: reply.first,
            next: reply.next,
            entries: entries.collect(),
        })
    }
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
