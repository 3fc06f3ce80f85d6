//! Subcommands of the command line, one file each.

pub mod account;
pub mod apply;
pub mod check;
mod client;
pub mod config;
pub mod drain;
pub mod evacuate;
mod event_text;
pub mod fleet;
pub mod order;
mod output;
pub mod policy;
pub mod rollout;
pub mod router;
pub mod service;
pub mod timeline;
pub mod upstream;

use std::process::ExitCode;

use snafu::Snafu;
use tonic::Code;

use crate::serve::operator::CallError;

/// Errors of the subcommands.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CmdError {
    /// The settings are invalid or can't be read.
    #[snafu(display("{source}"), context(false))]
    Settings {
        /// The cause.
        source: crate::config::ConfigError,
    },
    /// The router failed to start.
    #[snafu(display("{source}"), context(false))]
    Router {
        /// The cause.
        source: crate::router::RouterError,
    },
    /// An operator call failed.
    #[snafu(display("{source}"), context(false))]
    Call {
        /// The cause.
        source: CallError,
    },
    /// The router didn't answer in time.
    #[snafu(display("no answer within {timeout_ms} ms: the outcome is unknown"))]
    TimedOut {
        /// The timeout of the call.
        timeout_ms: u64,
    },
    /// The router rejected the change or order.
    #[snafu(display("refused: {reason}"))]
    Rejected {
        /// The router's reason.
        reason: String,
    },
    /// Another change was applied first.
    #[snafu(display(
        "conflict: change {winner} made version {version} first ({reason}); \
         check the configuration and retry"
    ))]
    Conflict {
        /// Record id of the change that was applied.
        winner: String,
        /// The version in force.
        version: u64,
        /// The router's reason.
        reason: String,
    },
    /// The object to change or delete doesn't exist.
    #[snafu(display("no {kind} is named \"{name}\""))]
    Missing {
        /// Kind of the object.
        kind: &'static str,
        /// Name of the object.
        name: String,
    },
    /// An argument is invalid.
    #[snafu(display("{argument}: {reason}"))]
    Argument {
        /// Name of the argument.
        argument: &'static str,
        /// What is wrong with it.
        reason: String,
    },
    /// A system call failed.
    #[snafu(display("{source}"), context(false))]
    System {
        /// The system's error.
        source: std::io::Error,
    },
    /// A file can't be read.
    #[snafu(display("{path}: {source}"))]
    File {
        /// The file.
        path: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// Input or output can't be converted from or to JSON.
    #[snafu(display("{source}"), context(false))]
    Json {
        /// The parse error.
        source: serde_json::Error,
    },
}

/// Exit codes, which are stable for scripts; 1 is also used for a wrong command line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
enum Exit {
    /// A system call failed.
    System = 1,
    /// The settings or the input are invalid.
    Input = 2,
    /// The router rejected the change or order.
    Rejected = 3,
    /// Another change was applied first.
    Conflict = 4,
    /// The router is unreachable or can't serve now; nothing was changed.
    Unreachable = 5,
    /// The outcome is unknown.
    Unknown = 6,
    /// The operator key is wrong.
    Denied = 7,
    /// The named object doesn't exist.
    Missing = 8,
}

impl CmdError {
    /// Returns the exit code of the process.
    ///
    /// ```
    /// use cassiagrade::cmd::CmdError;
    /// let conflict = CmdError::Conflict {
    ///     winner: "id".to_owned(),
    ///     version: 2,
    ///     reason: "made against another version".to_owned(),
    /// };
    /// assert_eq!(conflict.exit_code(), std::process::ExitCode::from(4));
    /// ```
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(self.exit() as u8)
    }

    fn exit(&self) -> Exit {
        match self {
            Self::Settings { .. }
            | Self::Argument { .. }
            | Self::File { .. }
            | Self::Json { .. } => Exit::Input,
            Self::Router { .. } | Self::System { .. } => Exit::System,
            Self::Rejected { .. } => Exit::Rejected,
            Self::Conflict { .. } => Exit::Conflict,
            Self::TimedOut { .. } => Exit::Unknown,
            Self::Missing { .. } => Exit::Missing,
            Self::Call { source } => call_exit(source),
        }
    }
}

fn call_exit(error: &CallError) -> Exit {
    match error {
        CallError::Connect { .. } => Exit::Unreachable,
        CallError::Key { .. } => Exit::Input,
        CallError::Refused { source } => match source.code() {
            Code::Unauthenticated | Code::PermissionDenied => Exit::Denied,
            Code::Unavailable | Code::Unimplemented => Exit::Unreachable,
            Code::InvalidArgument | Code::FailedPrecondition => Exit::Rejected,
            Code::NotFound => Exit::Missing,
            // Includes connections lost during the call.
            _ => Exit::Unknown,
        },
    }
}

pub(crate) fn block_on<F: Future>(future: F) -> Result<F::Output, CmdError> {
    Ok(compio::runtime::Runtime::new()?.block_on(future))
}
