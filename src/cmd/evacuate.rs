//! `cassiagrade evacuate`: stops or resumes sending new work to the upstreams of a data centre.

use bpaf::Bpaf;

use crate::cmd::CmdError;
use crate::cmd::client::{self, Target, Terms, target, terms};
use crate::schema::config::change::Op;
use crate::schema::config::{DataCenterMark, State};

/// Stops sending new work to the upstreams of a data centre; running requests are not cut.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    command("evacuate"),
    footer("Examples: cassiagrade evacuate north, cassiagrade evacuate north --undo")
)]
pub struct Args {
    #[bpaf(external(target))]
    target: Target,
    #[bpaf(external(terms))]
    terms: Terms,
    /// Resume sending new work
    #[bpaf(long)]
    undo: bool,
    /// The data centre
    #[bpaf(positional("DATA_CENTER"))]
    data_center: String,
}

/// Runs the subcommand.
///
/// # Errors
/// When the call fails or the change is rejected.
pub fn run(args: Args) -> Result<(), CmdError> {
    client::change(&args.target, &args.terms, |state| {
        check_data_center(state, &args.data_center)?;
        Ok(Op::MarkDataCenter(DataCenterMark {
            data_center: args.data_center.clone(),
            evacuated: !args.undo,
        }))
    })
}

/// Checks that the data centre is known. The change itself would accept a mistyped name.
fn check_data_center(state: &State, name: &str) -> Result<(), CmdError> {
    let is_marked = state.data_centers.iter().any(|m| m.data_center == name);
    if is_marked {
        return Ok(());
    }
    client::find(&state.upstreams, "data centre", name, |u| &u.data_center).map(|_| ())
}
