//! Runs the built program and checks its output.

use std::ffi::OsStr;
use std::path::PathBuf;
use std::process::Command;

use serde::de::DeserializeOwned;

/// An invocation of the program.
pub struct Program {
    command: Command,
}

/// Output and exit code of the program.
#[derive(Debug)]
pub struct CommandOutput {
    /// Exit code; -1 if a signal ended the program.
    pub code: i32,
    /// Standard output.
    pub stdout: String,
    /// Standard error.
    pub stderr: String,
}

impl Program {
    /// The program with arguments, without the environment variables that it reads by default.
    pub fn new(args: &[&str]) -> Program {
        let mut command = Command::new(env!("CARGO_BIN_EXE_basilrack"));
        command.args(args);
        for name in ["BASILRACK_URL", "BASILRACK_TOKEN", "USER"] {
            command.env_remove(name);
        }
        Program { command }
    }

    /// Adds arguments.
    pub fn args<S: AsRef<OsStr>>(mut self, args: impl IntoIterator<Item = S>) -> Program {
        self.command.args(args);
        self
    }

    /// Sets an environment variable.
    pub fn env(mut self, name: &str, value: &str) -> Program {
        self.command.env(name, value);
        self
    }

    /// Runs the program to its end on a blocking thread, so that the entry VMs in this process keep
    /// running.
    pub async fn run(mut self) -> CommandOutput {
        let output = tokio::task::spawn_blocking(move || self.command.output().unwrap());
        let output = output.await.unwrap();
        CommandOutput {
            code: output.status.code().unwrap_or(-1),
            stdout: String::from_utf8(output.stdout).unwrap(),
            stderr: String::from_utf8(output.stderr).unwrap(),
        }
    }
}

impl CommandOutput {
    /// Checks the exit code and returns the output.
    #[track_caller]
    pub fn expect_code(self, code: i32) -> CommandOutput {
        assert_eq!(self.code, code, "{self:#?}");
        self
    }

    /// Parses standard output as JSON.
    #[track_caller]
    pub fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_str(&self.stdout).unwrap_or_else(|error| panic!("{error}: {self:#?}"))
    }

    /// Checks that standard output contains each part.
    #[track_caller]
    pub fn assert_stdout(&self, parts: &[&str]) {
        for part in parts {
            assert!(self.stdout.contains(part), "{part:?} is not printed: {self:#?}");
        }
    }

    /// Checks that standard error contains each part.
    #[track_caller]
    pub fn assert_stderr(&self, parts: &[&str]) {
        for part in parts {
            assert!(self.stderr.contains(part), "{part:?} is not printed: {self:#?}");
        }
    }
}

/// Writes a file to the tests' folder and returns its path; `name` must be unique to the test.
pub fn write(name: &str, content: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, content).unwrap();
    path.to_str().unwrap().to_owned()
}
