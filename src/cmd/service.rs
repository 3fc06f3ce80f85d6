//! `cassiagrade service`: manages services and marks their non-idempotent calls.

use bpaf::Bpaf;

use crate::cmd::CmdError;
use crate::cmd::client::{self, Target, Terms, target, terms};
use crate::cmd::output::{limit, or_dash, table};
use crate::schema::config::change::Op;
use crate::schema::config::{IdempotencyRule, Service, State};

const KIND: &str = "service";

/// Creates, changes, lists and deletes services.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("service"))]
pub struct Args {
    #[bpaf(external(action))]
    action: Action,
}

/// Operation to run.
#[derive(Clone, Debug, Bpaf)]
pub enum Action {
    /// Creates or changes a service.
    Put(#[bpaf(external(put))] Put),
    /// Lists all services.
    List(#[bpaf(external(list))] List),
    /// Deletes a service.
    Delete(#[bpaf(external(delete))] Delete),
    /// Marks calls as non-idempotent.
    Mark(#[bpaf(external(mark))] Mark),
    /// Removes such a mark.
    Unmark(#[bpaf(external(unmark))] Unmark),
}

/// Creates a service, or changes the given fields of one.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    command("put"),
    footer("Example: cassiagrade service put draft --kind engine --model small")
)]
pub struct Put {
    #[bpaf(external(target))]
    target: Target,
    #[bpaf(external(terms))]
    terms: Terms,
    /// Kind of service: engine or plain
    #[bpaf(long, argument("KIND"))]
    kind: Option<String>,
    /// Model name in callers' requests, for engines
    #[bpaf(long, argument("MODEL"))]
    model: Option<String>,
    /// Path prefix of callers' requests, for plain services
    #[bpaf(long, argument("PATH"))]
    path_prefix: Option<String>,
    /// Timeout of one call; 0 for the default
    #[bpaf(long, argument("MS"))]
    call_timeout_ms: Option<u32>,
    /// The service's name
    #[bpaf(positional("NAME"))]
    name: String,
}

/// Lists all services.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("list"), footer("Example: cassiagrade service list"))]
pub struct List {
    #[bpaf(external(target))]
    target: Target,
}

/// Deletes a service that has no upstreams.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("delete"), footer("Example: cassiagrade service delete draft"))]
pub struct Delete {
    #[bpaf(external(target))]
    target: Target,
    #[bpaf(external(terms))]
    terms: Terms,
    /// The service's name
    #[bpaf(positional("NAME"))]
    name: String,
}

/// Marks a service's calls as non-idempotent: each runs at most once.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    command("mark"),
    footer("Example: cassiagrade service mark counter --method POST --path /counter/tickets")
)]
pub struct Mark {
    #[bpaf(external(target))]
    target: Target,
    #[bpaf(external(terms))]
    terms: Terms,
    #[bpaf(external(calls))]
    calls: Calls,
    /// The service's name
    #[bpaf(positional("NAME"))]
    name: String,
}

/// Removes the mark of non-idempotent calls.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    command("unmark"),
    footer("Example: cassiagrade service unmark counter --method POST --path /counter/tickets")
)]
pub struct Unmark {
    #[bpaf(external(target))]
    target: Target,
    #[bpaf(external(terms))]
    terms: Terms,
    #[bpaf(external(calls))]
    calls: Calls,
    /// The service's name
    #[bpaf(positional("NAME"))]
    name: String,
}

/// Selects calls of a service.
#[derive(Clone, Debug, Bpaf)]
pub struct Calls {
    /// HTTP method of the calls
    #[bpaf(long, argument("METHOD"))]
    method: http::Method,
    /// Path prefix of the calls
    #[bpaf(long, argument("PATH"))]
    path: String,
}

/// Runs the subcommand.
///
/// # Errors
/// When the call fails or the change is rejected.
pub fn run(args: Args) -> Result<(), CmdError> {
    match args.action {
        Action::Put(put) => client::change(&put.target, &put.terms, |state| {
            let found = state.services.iter().find(|s| s.name == put.name);
            Ok(Op::PutService(changed(found, &put)))
        }),
        Action::List(List { target }) => print(&target),
        Action::Delete(delete) => client::change(&delete.target, &delete.terms, |state| {
            find(state, &delete.name)?;
            Ok(Op::DeleteService(delete.name.clone()))
        }),
        Action::Mark(mark) => client::change(&mark.target, &mark.terms, |state| {
            let mut service = find(state, &mark.name)?.clone();
            let rule = mark.calls.rule();
            service.non_idempotent.retain(|r| *r != rule);
            service.non_idempotent.push(rule);
            Ok(Op::PutService(service))
        }),
        Action::Unmark(unmark) => client::change(&unmark.target, &unmark.terms, |state| {
            let mut service = find(state, &unmark.name)?.clone();
            let rule = unmark.calls.rule();
            client::find(&service.non_idempotent, "mark", &rule.path_prefix, |r| {
                if *r == rule { &r.path_prefix } else { "" }
            })?;
            service.non_idempotent.retain(|r| *r != rule);
            Ok(Op::PutService(service))
        }),
    }
}

impl Calls {
    fn rule(&self) -> IdempotencyRule {
        IdempotencyRule {
            method: self.method.to_string(),
            path_prefix: self.path.clone(),
        }
    }
}

fn find<'s>(state: &'s State, name: &str) -> Result<&'s Service, CmdError> {
    client::find(&state.services, KIND, name, |s| &s.name)
}

fn changed(found: Option<&Service>, put: &Put) -> Service {
    let mut service = found.cloned().unwrap_or_else(|| Service {
        name: put.name.clone(),
        ..Service::default()
    });
    client::set(&mut service.kind, put.kind.clone());
    client::set(&mut service.model, put.model.clone());
    client::set(&mut service.path_prefix, put.path_prefix.clone());
    client::set(&mut service.timeout_ms, put.call_timeout_ms);
    service
}

fn print(target: &Target) -> Result<(), CmdError> {
    let services = client::state(target)?.services;
    if target.json {
        return client::print_json(&services);
    }
    let head = [
        "NAME",
        "KIND",
        "MODEL",
        "PATH",
        "TIMEOUT MS",
        "NON-IDEMPOTENT",
    ];
    let rows = services.iter().map(|s| {
        let marks = s.non_idempotent.iter();
        let marks: Vec<String> = marks
            .map(|r| format!("{} {}", r.method, r.path_prefix))
            .collect();
        [
            s.name.clone(),
            s.kind.clone(),
            or_dash(&s.model),
            or_dash(&s.path_prefix),
            limit(s.timeout_ms),
            or_dash(&marks.join(", ")),
        ]
    });
    table(head, rows);
    Ok(())
}
