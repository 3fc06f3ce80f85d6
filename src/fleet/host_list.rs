//! The task that polls the platform's host list.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::sync::watch;

use crate::fleet::gossip::{Gossip, GossipCommand};
use crate::fleet::member::{Member, MemberState, View};
use crate::fleet::swim::Listed;
use crate::log::platform::{HostKind, ListedHost, Platform};

/// Average number of routers in the fleet that read the list within one poll interval.
const READERS_PER_POLL: u32 = 2;

/// Starts the task that reads the list and passes it to the membership task.
///
/// Only two routers of the whole fleet read the list per `poll` interval, and gossip spreads what
/// they find: the list grows with the fleet, and the control traffic of each router must not.
pub(crate) fn spawn(
    platform: Platform,
    gossip: Gossip,
    view: watch::Receiver<Arc<View>>,
    poll: Duration,
) {
    compio::runtime::spawn(poll_list(platform, gossip, view, poll)).detach();
}

/// Returns the time to the next read in a fleet of `routers`, with jitter so that they don't all
/// read at once.
fn pause<R: Rng>(poll: Duration, routers: usize, rng: &mut R) -> Duration {
    let routers = u32::try_from(routers).unwrap_or(u32::MAX);
    let mean = poll * routers.div_ceil(READERS_PER_POLL).max(1);
    mean.mul_f64(rng.random_range(0.75..1.25))
}

async fn poll_list(
    platform: Platform,
    gossip: Gossip,
    view: watch::Receiver<Arc<View>>,
    poll: Duration,
) {
    loop {
        match platform.hosts().await {
            Ok(hosts) => {
                let (routers, upstreams): (Vec<_>, Vec<_>) = hosts
                    .into_iter()
                    .partition(|host| host.kind == HostKind::Router);
                let routers = routers.into_iter().map(listed).collect();
                let leaving = upstreams.into_iter().filter(|host| host.leaving);
                let leaving = leaving.map(|host| host.name.into()).collect();
                gossip.send(GossipCommand::Listed(routers, leaving));
            }
            Err(e) => log::warn!(
                "reading the platform's host list failed; retrying at the next poll: {e}"
            ),
        }
        let routers = view.borrow().members.len();
        let pause = pause(poll, routers, &mut rand::rng());
        compio::time::sleep(pause).await;
    }
}

fn listed(host: ListedHost) -> Listed {
    let member = Member {
        host: host.name.into(),
        data_center: host.data_center.into(),
        incarnation: 0,
        state: MemberState::Alive,
        peer_addr: host.peer_addr.into(),
        caller_addr: host.caller_addr.into(),
    };
    Listed {
        member,
        leaving: host.leaving,
    }
}
