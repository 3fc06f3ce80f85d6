//! A planned stop: the others and the callers are led away first, then what is in flight ends.

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

/// Waits at most this long for the others to be told.
const GOODBYE: Duration = Duration::from_millis(500);
/// When a refused caller should come back, to another router: by now its list is old.
const RETRY_AFTER_MS: u64 = 100;

/// Refuses work that comes too late.
pub(crate) fn admit(drain: &Drain) -> Result<(), peer::Refusal> {
    if drain.phase() == Phase::Refusing {
        stats::home_refused("stopping");
        let detail = "this router is stopping: ask for new entry addresses";
        return Err(refuse::not_run(Cause::Draining, RETRY_AFTER_MS, detail));
    }
    Ok(())
}

/// Stops by plan; returns when the process may end.
pub(crate) async fn run(ctx: &Ctx) {
    let fleet = ctx.settings.fleet.clone().unwrap_or_default();
    enter(ctx, Phase::Leaving);
    ctx.gossip.send(GossipCommand::Leave);
    let news_ms = news_ms(fleet.probe_interval_ms, ctx.fleet().members.len());
    let old_ms = news_ms + u64::from(fleet.entry_ttl_ms);
    compio::time::sleep(Duration::from_millis(old_ms)).await;
    enter(ctx, Phase::Refusing);
    let limit = Duration::from_millis(fleet.drain_limit_ms.into());
    let cut = ctx.drain.wait_until_idle(limit).await;
    let (done, told) = oneshot::channel();
    ctx.gossip.send(GossipCommand::Finish(done));
    let _ = compio::time::timeout(GOODBYE, told).await;
    ctx.events.emit(Kind::RouterStopped, |e| {
        e.detail = format!("{cut} still in flight at the limit");
    });
}

/// Until all have heard of the leave: only then is the last entry answer given that names this
/// router. It grows with the logarithm of the fleet, as rumours do.
fn news_ms(probe_interval_ms: u32, routers: usize) -> u64 {
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
