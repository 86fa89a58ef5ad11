//! Runs the built program.

use std::ffi::OsStr;
use std::path::PathBuf;
use std::process::Command;

use serde::de::DeserializeOwned;

/// One call of the program.
pub struct Program {
    command: Command,
}

/// What the program printed and how it ended.
#[derive(Debug)]
pub struct Ended {
    /// Exit code.
    pub code: i32,
    /// Standard output.
    pub out: String,
    /// Standard error.
    pub err: String,
}

impl Program {
    /// The program with arguments, without the variables of whoever runs the tests.
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

    /// Sets a variable.
    pub fn env(mut self, name: &str, value: &str) -> Program {
        self.command.env(name, value);
        self
    }

    /// Runs it to its end, off the runtime that the entry VMs need.
    pub async fn run(mut self) -> Ended {
        let output = tokio::task::spawn_blocking(move || self.command.output().unwrap());
        let output = output.await.unwrap();
        Ended {
            code: output.status.code().unwrap_or(-1),
            out: String::from_utf8(output.stdout).unwrap(),
            err: String::from_utf8(output.stderr).unwrap(),
        }
    }
}

impl Ended {
    /// The same, after a check of the exit code.
    #[track_caller]
    pub fn expect(self, code: i32) -> Ended {
        assert_eq!(self.code, code, "{self:#?}");
        self
    }

    /// Standard output as JSON.
    #[track_caller]
    pub fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_str(&self.out).unwrap_or_else(|error| panic!("{error}: {self:#?}"))
    }

    /// Checks that standard output holds each part.
    #[track_caller]
    pub fn says(&self, parts: &[&str]) {
        for part in parts {
            assert!(self.out.contains(part), "{part:?} is not printed: {self:#?}");
        }
    }

    /// Checks that standard error holds each part.
    #[track_caller]
    pub fn warns(&self, parts: &[&str]) {
        for part in parts {
            assert!(self.err.contains(part), "{part:?} is not printed: {self:#?}");
        }
    }
}

/// Writes a file for a test; `name` keeps the files of tests apart.
pub fn write(name: &str, content: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, content).unwrap();
    path.to_str().unwrap().to_owned()
}
