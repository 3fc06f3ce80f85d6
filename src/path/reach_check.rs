//! Checks whether upstreams can be reached again by a router that was cut off from them.
//!
//! Failure guarded against: a router that is cut off sends its requests through others, and so never
//! notices that the paths are back.

use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpStream;
use futures_util::future::join_all;

use crate::decide::reach::REACHED;
use crate::path::RequestPath;
use crate::path::upstreams::Upstream;
use crate::time_limit::within;

/// Pause between two checks. Callers of a router whose paths are back soon are served directly.
const INTERVAL: Duration = Duration::from_millis(200);
/// Time limit of a check.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Connects to some upstreams of each service that can't be reached, again and again.
pub(crate) async fn run<D>(path: Rc<RequestPath<D>>) {
    loop {
        compio::time::sleep(INTERVAL).await;
        let upstreams = path.state.unreached_upstreams(REACHED);
        join_all(upstreams.iter().map(|upstream| check(&path, upstream))).await;
    }
}

async fn check<D>(path: &RequestPath<D>, upstream: &Upstream) {
    let connected = within(CONNECT_TIMEOUT, TcpStream::connect(upstream.addr)).await;
    if matches!(connected, Ok(Ok(_))) {
        path.state.record_connected(upstream);
    }
}
