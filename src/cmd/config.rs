//! `cassiagrade config`: shows the current configuration.

use bpaf::Bpaf;

use crate::cmd::CmdError;
use crate::cmd::client::{self, Target, target};

/// Shows the current configuration of a router.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    command("config"),
    footer("Example: cassiagrade config --json > before.json")
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
    let state = client::state(&args.target)?;
    if args.target.json {
        return client::print_json(&state);
    }
    println!("version    {}", state.version);
    println!("offset     {}", state.offset);
    println!("accounts   {}", state.accounts.len());
    println!("services   {}", state.services.len());
    println!("upstreams  {}", state.upstreams.len());
    println!("policies   {}", state.policies.len());
    println!("rollouts   {}", state.rollouts.len());
    let drained = state.hosts.iter().filter(|h| h.draining);
    for host in drained {
        println!("draining   {}", host.host);
    }
    for mark in &state.data_centers {
        println!("evacuated  {}", mark.data_center);
    }
    Ok(())
}
