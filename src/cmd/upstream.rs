//! `cassiagrade upstream`: manages the engines and plain hosts behind services.

use std::net::SocketAddr;

use bpaf::Bpaf;

use crate::cmd::CmdError;
use crate::cmd::client::{self, Target, Terms, target, terms};
use crate::cmd::output::{limit, or_dash, table, yes_no};
use crate::schema::config::Upstream;
use crate::schema::config::change::Op;

const KIND: &str = "upstream";

/// Creates, changes, lists and deletes upstreams.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("upstream"))]
pub struct Args {
    #[bpaf(external(action))]
    action: Action,
}

/// Operation to run.
#[derive(Clone, Debug, Bpaf)]
pub enum Action {
    /// Creates or changes an upstream.
    Put(#[bpaf(external(put))] Put),
    /// Lists all upstreams.
    List(#[bpaf(external(list))] List),
    /// Deletes an upstream.
    Delete(#[bpaf(external(delete))] Delete),
}

/// Creates an upstream, or changes the given fields of one.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    command("put"),
    footer(
        "Example: cassiagrade upstream put engine-1 --service draft --addr 10.0.1.1:8000 \
         --data-center north --slots 32 --honours-fencing true"
    )
)]
pub struct Put {
    #[bpaf(external(target))]
    target: Target,
    #[bpaf(external(terms))]
    terms: Terms,
    /// Service that it belongs to
    #[bpaf(long, argument("SERVICE"))]
    service: Option<String>,
    /// Address that it listens on
    #[bpaf(long, argument("ADDR"))]
    addr: Option<SocketAddr>,
    /// Data centre that it runs in
    #[bpaf(long, argument("NAME"))]
    data_center: Option<String>,
    /// Requests that it runs concurrently; 0 for the default
    #[bpaf(long, argument("COUNT"))]
    slots: Option<u32>,
    /// Whether it refuses orders with an old fencing number: true or false
    #[bpaf(long, argument("BOOL"))]
    honours_fencing: Option<bool>,
    /// Longest observed pause; if it ignores fencing, orders wait this long while an earlier one may
    /// still arrive
    #[bpaf(long, argument("MS"))]
    longest_pause_ms: Option<u32>,
    /// The upstream's name
    #[bpaf(positional("NAME"))]
    name: String,
}

/// Lists all upstreams.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("list"), footer("Example: cassiagrade upstream list"))]
pub struct List {
    #[bpaf(external(target))]
    target: Target,
}

/// Deletes an upstream: it gets no new work; its running requests finish normally.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    command("delete"),
    footer("Example: cassiagrade upstream delete engine-1")
)]
pub struct Delete {
    #[bpaf(external(target))]
    target: Target,
    #[bpaf(external(terms))]
    terms: Terms,
    /// The upstream's name
    #[bpaf(positional("NAME"))]
    name: String,
}

/// Runs the subcommand.
///
/// # Errors
/// When the call fails or the change is rejected.
pub fn run(args: Args) -> Result<(), CmdError> {
    match args.action {
        Action::Put(put) => client::change(&put.target, &put.terms, |state| {
            let found = state.upstreams.iter().find(|u| u.name == put.name);
            Ok(Op::PutUpstream(changed(found, &put)))
        }),
        Action::List(List { target }) => print(&target),
        Action::Delete(delete) => client::change(&delete.target, &delete.terms, |state| {
            client::find(&state.upstreams, KIND, &delete.name, |u| &u.name)?;
            Ok(Op::DeleteUpstream(delete.name.clone()))
        }),
    }
}

fn changed(found: Option<&Upstream>, put: &Put) -> Upstream {
    let mut upstream = found.cloned().unwrap_or_else(|| Upstream {
        name: put.name.clone(),
        ..Upstream::default()
    });
    client::set(&mut upstream.service, put.service.clone());
    client::set(&mut upstream.addr, put.addr.map(|a| a.to_string()));
    client::set(&mut upstream.data_center, put.data_center.clone());
    client::set(&mut upstream.slots, put.slots);
    client::set(&mut upstream.honours_fencing, put.honours_fencing);
    client::set(&mut upstream.longest_pause_ms, put.longest_pause_ms);
    upstream
}

fn print(target: &Target) -> Result<(), CmdError> {
    let upstreams = client::state(target)?.upstreams;
    if target.json {
        return client::print_json(&upstreams);
    }
    let head = [
        "NAME",
        "SERVICE",
        "ADDR",
        "DATA CENTRE",
        "SLOTS",
        "FENCING",
        "DRAINING",
    ];
    let rows = upstreams.iter().map(|u| {
        [
            u.name.clone(),
            u.service.clone(),
            u.addr.clone(),
            or_dash(&u.data_center),
            limit(u.slots),
            yes_no(u.honours_fencing),
            yes_no(u.draining),
        ]
    });
    table(head, rows);
    Ok(())
}
