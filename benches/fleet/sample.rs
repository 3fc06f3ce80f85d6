//! Resource usage of a router process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use crate::support::get;

/// Counters of one process at one time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sample {
    /// Control bytes by direction and kind, with the key "way kind".
    pub(crate) bytes: BTreeMap<String, f64>,
    /// CPU time of all threads.
    pub(crate) cpu_ns: u64,
    pub(crate) resident_kb: u64,
}

impl Sample {
    pub(crate) async fn take(admin: SocketAddr, pid: u32) -> Self {
        let metrics = get(admin, "/metrics").await.unwrap_or_default();
        Self {
            bytes: control_bytes(&metrics),
            cpu_ns: cpu_ns(pid),
            resident_kb: resident_kb(pid),
        }
    }
}

fn control_bytes(metrics: &str) -> BTreeMap<String, f64> {
    let lines = metrics
        .lines()
        .filter_map(|l| l.strip_prefix("cassiagrade_control_bytes_total{"));
    lines
        .filter_map(|line| {
            let (labels, value) = line.split_once("} ")?;
            let label = |name: &str| {
                let from = labels.split_once(&format!("{name}=\""))?.1;
                Some(from.split_once('"')?.0)
            };
            let key = format!("{} {}", label("way")?, label("kind")?);
            Some((key, value.parse().ok()?))
        })
        .collect()
}

/// Returns the sum of a metric over its labels.
pub(crate) fn metric(metrics: &str, name: &str) -> f64 {
    let lines = metrics.lines().filter(|l| l.starts_with(name));
    let values = lines.filter_map(|l| l.rsplit_once(' ')?.1.parse::<f64>().ok());
    values.sum()
}

fn cpu_ns(pid: u32) -> u64 {
    let Ok(tasks) = std::fs::read_dir(format!("/proc/{pid}/task")) else {
        return 0;
    };
    let ns = |dir: &Path| {
        let text = std::fs::read_to_string(dir.join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<u64>().ok()
    };
    tasks.flatten().filter_map(|task| ns(&task.path())).sum()
}

fn resident_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kb = line.and_then(|l| l.trim().split(' ').next()?.parse().ok());
    kb.unwrap_or_default()
}
