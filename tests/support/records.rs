//! The runs that the stand-ins recorded, for comparison with what callers received.

use std::collections::HashMap;
use std::path::Path;

use serde::Deserialize;

/// A run as an upstream recorded it.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Run {
    pub(crate) request_id: String,
    pub(crate) idempotency_key: String,
    #[serde(default)]
    pub(crate) method: String,
    #[serde(default)]
    pub(crate) path: String,
    #[serde(default)]
    pub(crate) body: String,
    /// The upstream.
    #[serde(skip)]
    pub(crate) upstream: String,
}

/// All runs at all upstreams, including killed ones.
#[derive(Debug, Default)]
pub(crate) struct Runs {
    pub(crate) all: Vec<Run>,
}

impl Runs {
    /// Reads the records that these upstreams wrote to files in `dir`.
    pub(crate) fn read(dir: &Path, upstreams: &[String]) -> Self {
        let mut all = Vec::new();
        for name in upstreams {
            let path = dir.join(format!("{name}.out"));
            let text = std::fs::read_to_string(path).unwrap_or_default();
            for line in text.lines() {
                // The first line is the address.
                let Ok(mut run) = serde_json::from_str::<Run>(line) else {
                    continue;
                };
                run.upstream.clone_from(name);
                all.push(run);
            }
        }
        Self { all }
    }

    pub(crate) fn count_by_request(&self, request_id: &str) -> usize {
        let matching = self.all.iter().filter(|r| r.request_id == request_id);
        matching.count()
    }

    /// The number of runs by idempotency key, of requests that had one.
    pub(crate) fn by_key(&self) -> HashMap<&str, usize> {
        let mut counts = HashMap::new();
        for run in self.all.iter().filter(|r| !r.idempotency_key.is_empty()) {
            *counts.entry(run.idempotency_key.as_str()).or_default() += 1;
        }
        counts
    }

    pub(crate) fn count_at(&self, upstream: &str) -> usize {
        let matching = self.all.iter().filter(|r| r.upstream == upstream);
        matching.count()
    }
}
