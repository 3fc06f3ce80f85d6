//! `cassiagrade fleet`: the fleet as one router sees it.

use bpaf::Bpaf;

use crate::cmd::CmdError;
use crate::cmd::client::{self, Target, target};
use crate::cmd::output::{or_dash, table, yes_no};
use crate::schema::operator::{FleetReply, HostState, UpstreamState};

/// Shows the fleet as one router sees it.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    command("fleet"),
    footer("Example: cassiagrade fleet --router 10.0.0.11:7003 --key \"$KEY\"")
)]
pub struct Args {
    #[bpaf(external(target))]
    target: Target,
}

/// Runs the subcommand.
///
/// # Errors
/// When the router can't be reached or refuses the call.
pub fn run(args: Args) -> Result<(), CmdError> {
    let reply = client::call(&args.target, async |caller| Ok(caller.fleet().await?))?;
    if args.target.json {
        return client::print_json(&reply);
    }
    print(&reply);
    Ok(())
}

fn print(reply: &FleetReply) {
    println!(
        "as {} sees it: configuration version {}",
        reply.host, reply.config_version
    );
    for data_center in &reply.evacuated {
        println!("evacuated: {data_center}");
    }
    println!();
    print_hosts(&reply.hosts);
    println!();
    print_upstreams(&reply.upstreams);
}

fn print_hosts(hosts: &[HostState]) {
    let head = ["HOST", "DATA CENTRE", "STATE", "CALLERS"];
    let rows = hosts.iter().map(|h| {
        [
            h.name.clone(),
            h.data_center.clone(),
            h.state.clone(),
            h.caller_addr.clone(),
        ]
    });
    table(head, rows);
}

fn print_upstreams(upstreams: &[UpstreamState]) {
    let head = [
        "UPSTREAM",
        "SERVICE",
        "HOME",
        "IN FLIGHT",
        "QUEUED",
        "WORK MS",
        "EJECTED",
        "DRAINING",
    ];
    let rows = upstreams.iter().map(|u| {
        [
            u.name.clone(),
            u.service.clone(),
            or_dash(&u.home),
            u.in_flight.to_string(),
            u.queued.to_string(),
            format!("{:.0}", u.work_ms),
            yes_no(u.ejected),
            yes_no(u.draining),
        ]
    });
    table(head, rows);
}
