//! `cassiagrade order`: sends an order to an upstream.

use bpaf::Bpaf;

use crate::cmd::client::{self, Target, target};
use crate::cmd::{CmdError, RejectedSnafu};
use crate::schema::operator::OrderRequest;

/// Orders an engine to load a model, adapter or version, or to change its role.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    command("order"),
    footer("Example: cassiagrade order engine-1 load_version 7")
)]
pub struct Args {
    #[bpaf(external(target))]
    target: Target,
    /// The upstream's name
    #[bpaf(positional("UPSTREAM"))]
    upstream: String,
    /// load_model, load_adapter, load_version or change_role
    #[bpaf(positional("ACTION"))]
    action: String,
    /// Model, adapter or version to load, or the new role
    #[bpaf(positional("VALUE"))]
    value: String,
}

/// Runs the subcommand.
///
/// # Errors
/// When the call fails or the upstream refuses the order.
pub fn run(args: Args) -> Result<(), CmdError> {
    let request = OrderRequest {
        upstream: args.upstream,
        action: args.action,
        value: args.value,
    };
    let reply = client::call(&args.target, async |caller| {
        Ok(caller.order(request).await?)
    })?;
    if args.target.json {
        client::print_json(&reply)?;
    }
    if !reply.done {
        return RejectedSnafu {
            reason: reply.detail,
        }
        .fail();
    }
    if !args.target.json {
        println!("done: fencing number {}", reply.fencing);
    }
    Ok(())
}
