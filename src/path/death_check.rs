//! Checks whether an upstream that lost an answer or accepts no connection is dead.
//!
//! Failure guarded against: an upstream crashes and its lost answers eject it, so nothing connects to
//! it and its death is noticed only when its entry expires, seconds later. Meanwhile the request that
//! crashed it runs at others.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpStream;

use crate::path::RequestPath;
use crate::path::dialect::Records;
use crate::path::trials::Trial;
use crate::path::upstreams::Upstream;
use crate::time_limit::within;

/// Pauses before the attempts to connect. A crashing process closes its connections before its
/// listening socket and may still accept for a moment, and longer on a loaded host.
const PAUSES: [Duration; 3] = [
    Duration::from_millis(20),
    Duration::from_millis(130),
    Duration::from_millis(850),
];
/// Time limit of an attempt. A host without power doesn't refuse; its entry expires.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Interval at which the end of a check that is under way is noticed.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Checks `upstream` in the background, unless a check is under way. The `trial` that lost the answer
/// ends with the check.
pub(crate) fn spawn<D: Records>(
    path: &Rc<RequestPath<D>>,
    upstream: Rc<Upstream>,
    trial: Option<Trial>,
) {
    let is_first = path.state.begin_death_check(&upstream);
    if !is_first && trial.is_none() {
        return;
    }
    let path = path.clone();
    compio::runtime::spawn(async move {
        if is_first {
            check(&path, &upstream).await;
            path.state.end_death_check(&upstream);
        }
        while path.state.is_death_checked(&upstream) {
            compio::time::sleep(POLL_INTERVAL).await;
        }
        drop(trial);
    })
    .detach();
}

async fn check<D>(path: &RequestPath<D>, upstream: &Upstream) {
    for pause in PAUSES {
        compio::time::sleep(pause).await;
        if refuses(upstream.addr).await {
            let now_ms = path.clock.now_ms();
            path.state.record_unreachable(upstream, now_ms);
            // If others reach the service, this router is cut off, and a refusal shows nothing. They may
            // not have noticed yet that the service is down.
            if path.delegates(&upstream.service, &[]).is_empty() {
                path.state.record_death(&upstream.incarnation(), now_ms);
                return;
            }
        }
    }
}

/// Whether connections to `addr` are refused, so that no process listens there.
async fn refuses(addr: SocketAddr) -> bool {
    let connected = within(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
    matches!(connected, Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused)
}
