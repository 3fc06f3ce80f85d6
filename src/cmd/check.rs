//! `cassiagrade check`: validates a settings file and prints it with defaults filled in.

use std::path::PathBuf;

use bpaf::Bpaf;

use crate::cmd::CmdError;
use crate::schema::settings::Settings;

/// Printed instead of a key.
const HIDDEN: &str = "(hidden)";

/// Validates a settings file and prints it with defaults filled in.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    command("check"),
    footer("Example: cassiagrade check settings/example.jsonc")
)]
pub struct Args {
    /// Print keys in plain text
    #[bpaf(long)]
    show_keys: bool,
    /// Settings file, JSON with comments
    #[bpaf(positional("FILE"))]
    settings: PathBuf,
}

/// Runs the subcommand.
///
/// # Errors
/// Lists every fault of the file with its line and field.
pub fn run(args: Args) -> Result<(), CmdError> {
    let mut settings = crate::config::load(&args.settings)?;
    if !args.show_keys {
        hide_keys(&mut settings);
    }
    println!("{}", serde_json::to_string_pretty(&settings)?);
    Ok(())
}

/// Replaces the keys, because the output may be copied into logs and tickets.
fn hide_keys(settings: &mut Settings) {
    if let Some(fleet) = &mut settings.fleet {
        HIDDEN.clone_into(&mut fleet.key);
    }
    if let Some(operator) = &mut settings.operator {
        HIDDEN.clone_into(&mut operator.key);
    }
}
