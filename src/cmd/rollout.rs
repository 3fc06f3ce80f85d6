//! `cassiagrade rollout`: changes the version of all engines of a service.

use bpaf::Bpaf;

use crate::cmd::client::{self, Target, Terms, target, terms};
use crate::cmd::output::{or_dash, table, yes_no};
use crate::cmd::{CmdError, RejectedSnafu};
use crate::schema::config::change::Op;
use crate::schema::config::{Rollout, State};

const KIND: &str = "rollout";

/// Starts, pauses, resumes, undoes and lists rollouts.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("rollout"))]
pub struct Args {
    #[bpaf(external(action))]
    action: Action,
}

/// Operation to run.
#[derive(Clone, Debug, Bpaf)]
pub enum Action {
    /// Starts a rollout.
    Start(#[bpaf(external(start))] Start),
    /// Pauses a rollout.
    Pause(#[bpaf(external(pause))] Pause),
    /// Resumes a rollout.
    Resume(#[bpaf(external(resume))] Resume),
    /// Undoes a rollout.
    Undo(#[bpaf(external(undo))] Undo),
    /// Lists all rollouts.
    List(#[bpaf(external(list))] List),
}

/// Starts changing the engines of a service to a version, a few at once.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    command("start"),
    footer("Example: cassiagrade rollout start draft --version 7 --at-once 2")
)]
pub struct Start {
    #[bpaf(external(target))]
    target: Target,
    #[bpaf(external(terms))]
    terms: Terms,
    /// Target version
    #[bpaf(long, argument("VERSION"))]
    version: String,
    /// Model; the service's own if not given
    #[bpaf(long, argument("MODEL"))]
    model: Option<String>,
    /// Number of engines that change at the same time
    #[bpaf(long, argument("COUNT"), fallback(1), display_fallback)]
    at_once: u32,
    /// The service's name
    #[bpaf(positional("SERVICE"))]
    service: String,
}

/// Pauses a rollout: no further engine gets an order.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("pause"), footer("Example: cassiagrade rollout pause draft"))]
pub struct Pause {
    #[bpaf(external(target))]
    target: Target,
    #[bpaf(external(terms))]
    terms: Terms,
    /// The service's name
    #[bpaf(positional("SERVICE"))]
    service: String,
}

/// Resumes a paused rollout.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("resume"), footer("Example: cassiagrade rollout resume draft"))]
pub struct Resume {
    #[bpaf(external(target))]
    target: Target,
    #[bpaf(external(terms))]
    terms: Terms,
    /// The service's name
    #[bpaf(positional("SERVICE"))]
    service: String,
}

/// Returns the engines of a service to their previous version.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("undo"), footer("Example: cassiagrade rollout undo draft"))]
pub struct Undo {
    #[bpaf(external(target))]
    target: Target,
    #[bpaf(external(terms))]
    terms: Terms,
    /// The service's name
    #[bpaf(positional("SERVICE"))]
    service: String,
}

/// Lists all rollouts.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("list"), footer("Example: cassiagrade rollout list"))]
pub struct List {
    #[bpaf(external(target))]
    target: Target,
}

/// Runs the subcommand.
///
/// # Errors
/// When the call fails or the change is rejected.
pub fn run(args: Args) -> Result<(), CmdError> {
    match args.action {
        Action::Start(start) => {
            client::change(&start.target, &start.terms, |state| start_op(state, &start))
        }
        Action::Pause(pause) => client::change(&pause.target, &pause.terms, |state| {
            pause_op(state, &pause.service, true)
        }),
        Action::Resume(resume) => client::change(&resume.target, &resume.terms, |state| {
            pause_op(state, &resume.service, false)
        }),
        Action::Undo(undo) => client::change(&undo.target, &undo.terms, |state| {
            undo_op(state, &undo.service)
        }),
        Action::List(List { target }) => print(&target),
    }
}

fn start_op(state: &State, start: &Start) -> Result<Op, CmdError> {
    let service = client::find(&state.services, "service", &start.service, |s| &s.name)?;
    let running = state.rollouts.iter().find(|r| r.service == start.service);
    Ok(Op::PutRollout(Rollout {
        service: start.service.clone(),
        model: start.model.clone().unwrap_or_else(|| service.model.clone()),
        version: start.version.clone(),
        at_once: start.at_once,
        paused: false,
        previous_version: running.map(|r| r.version.clone()).unwrap_or_default(),
    }))
}

fn pause_op(state: &State, service: &str, paused: bool) -> Result<Op, CmdError> {
    let mut rollout = find(state, service)?;
    rollout.paused = paused;
    Ok(Op::PutRollout(rollout))
}

fn undo_op(state: &State, service: &str) -> Result<Op, CmdError> {
    let mut rollout = find(state, service)?;
    if rollout.previous_version.is_empty() {
        let reason = "the service had no version before";
        return RejectedSnafu { reason }.fail();
    }
    std::mem::swap(&mut rollout.version, &mut rollout.previous_version);
    rollout.paused = false;
    Ok(Op::PutRollout(rollout))
}

fn find(state: &State, service: &str) -> Result<Rollout, CmdError> {
    let found = client::find(&state.rollouts, KIND, service, |r| &r.service);
    found.cloned()
}

fn print(target: &Target) -> Result<(), CmdError> {
    let rollouts = client::state(target)?.rollouts;
    if target.json {
        return client::print_json(&rollouts);
    }
    let head = ["SERVICE", "MODEL", "VERSION", "BEFORE", "AT ONCE", "PAUSED"];
    let rows = rollouts.iter().map(|r| {
        [
            r.service.clone(),
            r.model.clone(),
            r.version.clone(),
            or_dash(&r.previous_version),
            r.at_once.to_string(),
            yes_no(r.paused),
        ]
    });
    table(head, rows);
    Ok(())
}
