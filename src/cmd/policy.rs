//! `cassiagrade policy`: manages the routing policies of services.

use bpaf::Bpaf;

use crate::cmd::CmdError;
use crate::cmd::client::{self, Target, Terms, target, terms};
use crate::cmd::output::{or_dash, table};
use crate::schema::config::Policy;
use crate::schema::config::change::Op;

const KIND: &str = "policy";
const DEFAULT: &str = "default";

/// Creates, changes, lists and deletes routing policies.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("policy"))]
pub struct Args {
    #[bpaf(external(action))]
    action: Action,
}

/// Operation to run.
#[derive(Clone, Debug, Bpaf)]
pub enum Action {
    /// Creates or changes a policy.
    Put(#[bpaf(external(put))] Put),
    /// Lists all policies.
    List(#[bpaf(external(list))] List),
    /// Deletes a policy.
    Delete(#[bpaf(external(delete))] Delete),
}

/// Creates the policy of a service, or changes the given fields of it; 0 means the default.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    command("put"),
    footer("Example: cassiagrade policy put draft --epsilon 0.25 --queue-wait-ms 2000")
)]
pub struct Put {
    #[bpaf(external(target))]
    target: Target,
    #[bpaf(external(terms))]
    terms: Terms,
    /// Load bound: no upstream gets more than (1 + epsilon) times the mean load
    #[bpaf(long, argument("SHARE"))]
    epsilon: Option<f64>,
    /// Number of upstreams over which one busy chat is spread
    #[bpaf(long, argument("COUNT"))]
    spread_width: Option<u32>,
    /// Limit on requests queued for one upstream
    #[bpaf(long, argument("COUNT"))]
    queue_limit: Option<u32>,
    /// Limit on the time a request is queued
    #[bpaf(long, argument("MS"))]
    queue_wait_ms: Option<u32>,
    /// Limit on retries as a share of requests
    #[bpaf(long, argument("SHARE"))]
    retry_share: Option<f64>,
    /// Limit on concurrently ejected upstreams as a share of the pool
    #[bpaf(long, argument("SHARE"))]
    eject_share: Option<f64>,
    /// Priority to shed, in the given order; may be given several times
    #[bpaf(long("shed"), argument("PRIORITY"))]
    shed_order: Vec<String>,
    /// The service's name
    #[bpaf(positional("SERVICE"))]
    service: String,
}

/// Lists all policies.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("list"), footer("Example: cassiagrade policy list"))]
pub struct List {
    #[bpaf(external(target))]
    target: Target,
}

/// Deletes a policy; its service is then routed with the defaults.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("delete"), footer("Example: cassiagrade policy delete draft"))]
pub struct Delete {
    #[bpaf(external(target))]
    target: Target,
    #[bpaf(external(terms))]
    terms: Terms,
    /// The service's name
    #[bpaf(positional("SERVICE"))]
    service: String,
}

/// Runs the subcommand.
///
/// # Errors
/// When the call fails or the change is rejected.
pub fn run(args: Args) -> Result<(), CmdError> {
    match args.action {
        Action::Put(put) => client::change(&put.target, &put.terms, |state| {
            let found = state.policies.iter().find(|p| p.service == put.service);
            Ok(Op::PutPolicy(changed(found, &put)))
        }),
        Action::List(List { target }) => print(&target),
        Action::Delete(delete) => client::change(&delete.target, &delete.terms, |state| {
            client::find(&state.policies, KIND, &delete.service, |p| &p.service)?;
            Ok(Op::DeletePolicy(delete.service.clone()))
        }),
    }
}

fn changed(found: Option<&Policy>, put: &Put) -> Policy {
    let mut policy = found.cloned().unwrap_or_else(|| Policy {
        service: put.service.clone(),
        ..Policy::default()
    });
    client::set(&mut policy.epsilon, put.epsilon);
    client::set(&mut policy.spread_width, put.spread_width);
    client::set(&mut policy.queue_limit, put.queue_limit);
    client::set(&mut policy.queue_wait_ms, put.queue_wait_ms);
    client::set(&mut policy.retry_share, put.retry_share);
    client::set(&mut policy.eject_share, put.eject_share);
    let shed = Some(put.shed_order.clone()).filter(|order| !order.is_empty());
    client::set(&mut policy.shed_order, shed);
    policy
}

fn print(target: &Target) -> Result<(), CmdError> {
    let policies = client::state(target)?.policies;
    if target.json {
        return client::print_json(&policies);
    }
    let head = [
        "SERVICE", "EPSILON", "SPREAD", "QUEUE", "WAIT MS", "RETRIES", "EJECTED", "SHED",
    ];
    let rows = policies.iter().map(|p| {
        [
            p.service.clone(),
            share(p.epsilon),
            count(p.spread_width),
            count(p.queue_limit),
            count(p.queue_wait_ms),
            share(p.retry_share),
            share(p.eject_share),
            or_dash(&p.shed_order.join(", ")),
        ]
    });
    table(head, rows);
    Ok(())
}

fn share(value: f64) -> String {
    if value == 0.0 {
        return DEFAULT.to_owned();
    }
    value.to_string()
}

fn count(value: u32) -> String {
    if value == 0 {
        return DEFAULT.to_owned();
    }
    value.to_string()
}
