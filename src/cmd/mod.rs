//! The command line: one file a subcommand.

pub mod account;
pub mod apply;
pub mod check;
mod client;
pub mod config;
pub mod drain;
pub mod evacuate;
pub mod fleet;
pub mod order;
mod output;
pub mod policy;
pub mod rollout;
pub mod router;
pub mod service;
mod story;
pub mod timeline;
pub mod upstream;

use std::process::ExitCode;

use snafu::Snafu;
use tonic::Code;

use crate::serve::operator::CallError;

/// Why a subcommand failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CmdError {
    /// The settings can't be used.
    #[snafu(display("{source}"), context(false))]
    Settings {
        /// Why.
        source: crate::config::ConfigError,
    },
    /// The router can't start.
    #[snafu(display("{source}"), context(false))]
    Router {
        /// Why.
        source: crate::router::RouterError,
    },
    /// An operator call failed.
    #[snafu(display("{source}"), context(false))]
    Call {
        /// Why.
        source: CallError,
    },
    /// The router gave no answer in time.
    #[snafu(display("no answer within {timeout_ms} ms: the outcome isn't known"))]
    TimedOut {
        /// How long was waited.
        timeout_ms: u64,
    },
    /// The router answered no.
    #[snafu(display("refused: {reason}"))]
    Rejected {
        /// Its reason.
        reason: String,
    },
    /// Another change came first.
    #[snafu(display(
        "lost a race: change {winner} made version {version} first ({reason}); look and try again"
    ))]
    Raced {
        /// Record id of the change that won.
        winner: String,
        /// The version in force.
        version: u64,
        /// What the router says of it.
        reason: String,
    },
    /// A thing to change or delete doesn't exist.
    #[snafu(display("no {kind} is named \"{name}\""))]
    Missing {
        /// What kind of thing.
        kind: &'static str,
        /// Its name.
        name: String,
    },
    /// An argument can't be used.
    #[snafu(display("{argument}: {reason}"))]
    Argument {
        /// Which.
        argument: &'static str,
        /// Why.
        reason: String,
    },
    /// The system refused something.
    #[snafu(display("{source}"), context(false))]
    System {
        /// What it said.
        source: std::io::Error,
    },
    /// A file can't be read.
    #[snafu(display("{path}: {source}"))]
    File {
        /// The file.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// Output or input isn't JSON.
    #[snafu(display("{source}"), context(false))]
    Json {
        /// Where.
        source: serde_json::Error,
    },
}

/// What scripts may rely on; 1 is also a wrong command line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
enum Exit {
    /// The system refused something.
    System = 1,
    /// Settings or input are wrong.
    Input = 2,
    /// The change or order breaks a rule.
    Rejected = 3,
    /// Another change came first.
    Raced = 4,
    /// The router couldn't be reached or can't serve now: surely nothing happened.
    Unreached = 5,
    /// It may or may not have happened.
    Unknown = 6,
    /// The operator key is wrong.
    Denied = 7,
    /// The thing named doesn't exist.
    Missing = 8,
}

impl CmdError {
    /// The process's exit code.
    ///
    /// ```
    /// use cassiagrade::cmd::CmdError;
    /// let lost = CmdError::Raced {
    ///     winner: "id".to_owned(),
    ///     version: 2,
    ///     reason: "made against another version".to_owned(),
    /// };
    /// assert_eq!(lost.exit_code(), std::process::ExitCode::from(4));
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
            Self::Raced { .. } => Exit::Raced,
            Self::TimedOut { .. } => Exit::Unknown,
            Self::Missing { .. } => Exit::Missing,
            Self::Call { source } => call_exit(source),
        }
    }
}

fn call_exit(error: &CallError) -> Exit {
    match error {
        CallError::Connect { .. } => Exit::Unreached,
        CallError::Key { .. } => Exit::Input,
        CallError::Refused { source } => match source.code() {
            Code::Unauthenticated | Code::PermissionDenied => Exit::Denied,
            Code::Unavailable | Code::Unimplemented => Exit::Unreached,
            Code::InvalidArgument | Code::FailedPrecondition => Exit::Rejected,
            Code::NotFound => Exit::Missing,
            // A connection that broke in the middle comes as one of these too.
            _ => Exit::Unknown,
        },
    }
}

pub(crate) fn block_on<F: Future>(future: F) -> Result<F::Output, CmdError> {
    Ok(compio::runtime::Runtime::new()?.block_on(future))
}
