//! Shared code of operator calls: router address, key, output format and configuration changes.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use serde::Serialize;

use crate::cmd::{CmdError, ConflictSnafu, RejectedSnafu, TimedOutSnafu, block_on};
use crate::schema::config::change::Op;
use crate::schema::config::{Change, State};
use crate::schema::operator::{ApplyReply, ApplyRequest};
use crate::serve::operator::{CallError, OperatorCaller};
use crate::time_limit::within;

const TIMEOUT_MS: u64 = 30_000;

/// Router to call, and output options.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Target {
    /// Operator address of any router
    #[bpaf(short, long, env("CASSIAGRADE_ROUTER"), argument("ADDR"))]
    pub(crate) router: SocketAddr,
    /// Operator key
    #[bpaf(short, long, env("CASSIAGRADE_OPERATOR_KEY"), argument("KEY"))]
    pub(crate) key: String,
    /// Print JSON
    #[bpaf(long)]
    pub(crate) json: bool,
    /// Timeout of the whole command
    #[bpaf(long, argument("MS"), fallback(TIMEOUT_MS), display_fallback)]
    pub(crate) timeout_ms: u64,
}

/// Options of a configuration change.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Terms {
    /// Configuration version that the change is based on; the current one if not given
    #[bpaf(long, argument("VERSION"))]
    pub(crate) against: Option<u64>,
    /// Author of the change, stored with it
    #[bpaf(long, env("USER"), argument("NAME"), fallback("cassiagrade".to_owned()))]
    pub(crate) author: String,
}

/// Connects to the router and runs `work` within the timeout of `target`.
pub(crate) fn call<T, F>(target: &Target, work: F) -> Result<T, CmdError>
where
    F: AsyncFnOnce(&mut OperatorCaller) -> Result<T, CmdError>,
{
    let timeout_ms = target.timeout_ms;
    block_on(async {
        let session = async {
            let mut caller = OperatorCaller::open(target.router, &target.key).await?;
            work(&mut caller).await
        };
        within(Duration::from_millis(timeout_ms), session)
            .await
            .unwrap_or_else(|_| TimedOutSnafu { timeout_ms }.fail())
    })?
}

/// Returns the current configuration of the router.
pub(crate) fn state(target: &Target) -> Result<State, CmdError> {
    call(target, async |caller| Ok(caller.config().await?))
}

/// Builds a change from the current configuration, applies it and prints the outcome.
pub(crate) fn change<F>(target: &Target, terms: &Terms, build: F) -> Result<(), CmdError>
where
    F: FnOnce(&State) -> Result<Op, CmdError>,
{
    let reply = call(target, async |caller| {
        let state = caller.config().await?;
        let change = Change {
            against_version: terms.against.unwrap_or(state.version),
            author: terms.author.clone(),
            op: Some(build(&state)?),
        };
        Ok(apply(caller, change).await?)
    })?;
    print_outcome(target, &reply)
}

async fn apply(caller: &mut OperatorCaller, change: Change) -> Result<ApplyReply, CallError> {
    let change = Some(change);
    caller.apply(ApplyRequest { change }).await
}

fn print_outcome(target: &Target, reply: &ApplyReply) -> Result<(), CmdError> {
    if target.json {
        print_json(reply)?;
    }
    if reply.accepted {
        if !target.json {
            println!("accepted: version {}", reply.version);
        }
        return Ok(());
    }
    if reply.winner.is_empty() {
        let reason = &reply.reason;
        return RejectedSnafu { reason }.fail();
    }
    ConflictSnafu {
        winner: &reply.winner,
        version: reply.version,
        reason: &reply.reason,
    }
    .fail()
}

pub(crate) fn print_json<T: Serialize>(value: &T) -> Result<(), CmdError> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

/// Returns the object called `name`, or [`CmdError::Missing`].
pub(crate) fn find<'s, T>(
    list: &'s [T],
    kind: &'static str,
    name: &str,
    name_of: impl Fn(&T) -> &str,
) -> Result<&'s T, CmdError> {
    let found = list.iter().find(|t| name_of(t) == name);
    found.ok_or_else(|| CmdError::Missing {
        kind,
        name: name.to_owned(),
    })
}

/// Sets `field` if a value is given.
pub(crate) fn set<T>(field: &mut T, given: Option<T>) {
    if let Some(value) = given {
        *field = value;
    }
}
