//! Runs the command line in its own work directory.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;

use serde_json::Value;
use tempfile::TempDir;

use super::process::{Process, router_program, spawn};
use super::{Fleet, OPERATOR_KEY};

/// Runs commands in a work directory, against router 0 of a fleet if there is one.
pub(crate) struct WorkDir {
    dir: TempDir,
    env: Vec<(&'static str, String)>,
}

/// The exit code and the outputs of a command.
#[derive(Debug)]
pub(crate) struct CommandOutput {
    pub(crate) code: i32,
    pub(crate) out: String,
    pub(crate) err: String,
}

impl WorkDir {
    pub(crate) fn new() -> Self {
        Self {
            dir: tempfile::tempdir().unwrap(),
            env: Vec::new(),
        }
    }

    pub(crate) fn for_fleet(fleet: &Fleet) -> Self {
        let mut work = Self::new();
        work.env = vec![
            ("CASSIAGRADE_ROUTER", fleet.operator_addr(0).to_string()),
            ("CASSIAGRADE_OPERATOR_KEY", OPERATOR_KEY.to_owned()),
        ];
        work
    }

    /// Writes a file into the work directory.
    pub(crate) fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.dir.path().join(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    pub(crate) fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    /// Starts a long-running command; its outputs are the files `cassiagrade.out` and `.err`.
    pub(crate) fn spawn(&self, args: &[&str], addr: SocketAddr) -> Process {
        let mut command = Command::new(router_program());
        command.args(args).current_dir(self.dir.path());
        spawn(self.dir.path(), "cassiagrade", command, addr)
    }

    pub(crate) fn run(&self, args: &[&str]) -> CommandOutput {
        let output = Command::new(router_program())
            .args(args)
            .current_dir(self.dir.path())
            .env_remove("CASSIAGRADE_ROUTER")
            .env_remove("CASSIAGRADE_OPERATOR_KEY")
            .envs(self.env.clone())
            .output()
            .unwrap();
        CommandOutput {
            code: output.status.code().unwrap(),
            out: String::from_utf8(output.stdout).unwrap(),
            err: String::from_utf8(output.stderr).unwrap(),
        }
    }

    /// The output of a command that must succeed.
    pub(crate) fn ok(&self, args: &[&str]) -> String {
        let ran = self.run(args);
        assert_eq!(ran.code, 0, "{args:?}: {ran:?}");
        ran.out
    }

    /// The JSON output of a command that must succeed.
    pub(crate) fn json(&self, args: &[&str]) -> Value {
        let out = self.ok(&[args, &["--json"]].concat());
        serde_json::from_str(&out).unwrap()
    }

    /// Runs a command that must exit with `code` and returns its standard error.
    pub(crate) fn fails(&self, code: i32, args: &[&str]) -> String {
        let ran = self.run(args);
        assert_eq!(ran.code, code, "{args:?}: {ran:?}");
        ran.err
    }
}
