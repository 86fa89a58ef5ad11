//! Plays the schedules against faults that are put into the decision code one at a time, and prints
//! which of them no test notices.
//!
//! `cargo run --release -p batch --example mutations [NAME...]`
//!
//! The faults are applied to a copy of the workspace under `target`.

mod list;

use std::collections::BTreeSet;
use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::ExitCode;

use list::MUTATIONS;
use list::Mutation;

/// Numbers of seeds for each test of the schedules, tried in turn.
const SEEDS: [u32; 2] = [6, 200];

/// A copy of the workspace and its build folder.
struct Copy {
    root: PathBuf,
    target: PathBuf,
}

impl Copy {
    fn create(workspace: &Path) -> io::Result<Copy> {
        let root = workspace.join("target/mutations");
        if root.exists() {
            fs::remove_dir_all(&root)?;
        }
        for entry in fs::read_dir(workspace)? {
            let entry = entry?;
            let name = entry.file_name();
            if !["target", ".git", "journal"].iter().any(|left_out| *left_out == name) {
                copy(&entry.path(), &root.join(name))?;
            }
        }
        Ok(Copy { root, target: workspace.join("target/mutations-build") })
    }

    fn cargo_test(&self) -> Command {
        let mut command = Command::new("cargo");
        command
            .args(["test", "--release", "--locked", "-p", "batch", "--test", "schedules"])
            .env("CARGO_TARGET_DIR", &self.target)
            .current_dir(&self.root);
        command
    }

    fn builds(&self) -> io::Result<bool> {
        Ok(self.cargo_test().arg("--no-run").output()?.status.success())
    }

    /// Returns the tests that fail with this number of seeds.
    fn failing_tests(&self, seeds: u32) -> io::Result<BTreeSet<String>> {
        let output = self.cargo_test().env("SCHEDULE_SEEDS", seeds.to_string()).output()?;
        let text = String::from_utf8_lossy(&output.stdout);
        let failed = text.lines().filter_map(|line| line.strip_suffix(" ... FAILED"));
        Ok(failed.map(|line| line.trim_start_matches("test ").to_owned()).collect())
    }

    /// Returns how the schedules end with a fault.
    fn play(&self, mutation: &Mutation, known: &[BTreeSet<String>]) -> io::Result<Outcome> {
        let file = self.root.join("crates/batch/src").join(mutation.file);
        let text = fs::read_to_string(&file)?;
        if text.matches(mutation.from).count() != 1 {
            return Ok(Outcome::Stale);
        }
        fs::write(&file, text.replacen(mutation.from, mutation.to, 1))?;
        let outcome = self.play_changed(known);
        fs::write(&file, text)?;
        outcome
    }

    fn play_changed(&self, known: &[BTreeSet<String>]) -> io::Result<Outcome> {
        if !self.builds()? {
            return Ok(Outcome::Stale);
        }
        for (seeds, known) in SEEDS.into_iter().zip(known) {
            let failing = self.failing_tests(seeds)?;
            if let Some(test) = failing.difference(known).next() {
                return Ok(Outcome::Noticed { seeds, test: test.clone() });
            }
        }
        Ok(Outcome::Unnoticed)
    }
}

enum Outcome {
    /// A test failed within this many seeds.
    Noticed { seeds: u32, test: String },
    /// All tests passed.
    Unnoticed,
    /// The code has changed, so that the fault cannot be applied or built.
    Stale,
}

fn copy(from: &Path, to: &Path) -> io::Result<()> {
    if !from.is_dir() {
        fs::copy(from, to)?;
        return Ok(());
    }
    fs::create_dir_all(to)?;
    for entry in fs::read_dir(from)? {
        let entry = entry?;
        copy(&entry.path(), &to.join(entry.file_name()))?;
    }
    Ok(())
}

fn main() -> io::Result<ExitCode> {
    let names: Vec<String> = std::env::args().skip(1).collect();
    let workspace = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").canonicalize()?;
    let copy = Copy::create(&workspace)?;
    // Tests that fail without a fault of the list notice nothing.
    let known = SEEDS.map(|seeds| copy.failing_tests(seeds));
    let known = known.into_iter().collect::<io::Result<Vec<_>>>()?;
    println!("failing without a fault: {known:?}");
    let mut unnoticed = 0;
    for mutation in MUTATIONS {
        if !names.is_empty() && !names.iter().any(|name| name == mutation.name) {
            continue;
        }
        let result = match copy.play(mutation, &known)? {
            Outcome::Noticed { seeds, test } => format!("noticed by {test} with {seeds} seeds"),
            Outcome::Unnoticed => "NOT NOTICED".to_owned(),
            Outcome::Stale => "NOT APPLICABLE".to_owned(),
        };
        unnoticed += usize::from(result.starts_with("NOT"));
        println!("{}: {}: {result}", mutation.file, mutation.name);
    }
    println!("{unnoticed} not noticed");
    Ok(if unnoticed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
