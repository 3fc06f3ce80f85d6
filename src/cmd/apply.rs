//! `cassiagrade apply`: applies one configuration change given as JSON.

use bpaf::Bpaf;

use crate::cmd::CmdError;
use crate::cmd::client::{self, Target, Terms, target, terms};
use crate::schema::config::change::Op;

/// Applies one configuration change given as JSON.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    command("apply"),
    footer(
        "Example: cassiagrade apply \
         '{\"PutService\": {\"name\": \"draft\", \"kind\": \"engine\", \"model\": \"small\"}}'"
    )
)]
pub struct Args {
    #[bpaf(external(target))]
    target: Target,
    #[bpaf(external(terms))]
    terms: Terms,
    /// The change: one of the operations of Change in schema/config.proto
    #[bpaf(positional("CHANGE"))]
    change: String,
}

/// Runs the subcommand.
///
/// # Errors
/// When the change is rejected or its outcome is unknown.
pub fn run(args: Args) -> Result<(), CmdError> {
    let op: Op = serde_json::from_str(&args.change).map_err(|e| CmdError::Argument {
        argument: "CHANGE",
        reason: e.to_string(),
    })?;
    client::change(&args.target, &args.terms, |_| Ok(op))
}
