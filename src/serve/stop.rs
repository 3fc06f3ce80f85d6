//! Planned stop: peers and callers move to other routers first, then requests in flight finish.

use std::time::Duration;

use tokio::sync::oneshot;

use crate::decide::refusal::Cause;
use crate::event::Kind;
use crate::fleet::gossip::GossipCommand;
use crate::front::drain::{Drain, Phase};
use crate::peers::refuse;
use crate::schema::peer;
use crate::serve::Ctx;
use crate::stats;
use crate::time_limit::within;

/// Timeout for notifying peers that this router has finished.
const LEAVE_NOTICE_TIMEOUT: Duration = Duration::from_millis(500);
/// Retry delay for refused callers. Their entry addresses have expired by then, so they retry at
/// another router.
const RETRY_AFTER_MS: u64 = 100;

/// Refuses new work once the router is in the refusing phase.
pub(crate) fn admit(drain: &Drain) -> Result<(), peer::Refusal> {
    if drain.phase() == Phase::Refusing {
        stats::home_refused("stopping");
        let detail = "this router is stopping: request new entry addresses";
        return Err(refuse::not_run(Cause::Draining, RETRY_AFTER_MS, detail));
    }
    Ok(())
}

/// Runs a planned stop; returns when the process may exit.
pub(crate) async fn run(ctx: &Ctx) {
    let fleet = ctx.settings.fleet.clone().unwrap_or_default();
    enter(ctx, Phase::Leaving);
    ctx.gossip.send(GossipCommand::Leave);
    let gossip_ms = propagation_ms(fleet.probe_interval_ms, ctx.fleet().members.len());
    let expiry_ms = gossip_ms + u64::from(fleet.entry_ttl_ms);
    compio::time::sleep(Duration::from_millis(expiry_ms)).await;
    enter(ctx, Phase::Refusing);
    let limit = Duration::from_millis(fleet.drain_limit_ms.into());
    let unfinished = ctx.drain.wait_until_idle(limit).await;
    let links = ctx.drain.close_links(limit).await;
    ctx.drain.report_stop();
    let (done, notified) = oneshot::channel();
    ctx.gossip.send(GossipCommand::Finish(done));
    let _ = within(LEAVE_NOTICE_TIMEOUT, notified).await;
    ctx.events.emit(Kind::RouterStopped, |e| {
        e.detail = format!(
            "{unfinished} still in flight at the limit, {links} links to other routers open"
        );
    });
}

/// Returns the time until all routers have received the leave by gossip, after which no entry
/// answer names this router. Gossip needs a number of rounds logarithmic in the size of the fleet.
fn propagation_ms(probe_interval_ms: u32, routers: usize) -> u64 {
    let rounds = u64::from(routers.max(2).ilog2()) + 1;
    u64::from(probe_interval_ms) * rounds
}

fn enter(ctx: &Ctx, phase: Phase) {
    ctx.drain.enter(phase);
    let phase: &'static str = phase.into();
    ctx.events.emit(Kind::RouterDraining, |e| {
        e.detail = format!("{phase}, {} in flight", ctx.drain.in_flight());
    });
}
