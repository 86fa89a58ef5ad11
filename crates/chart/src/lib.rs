//! State charts kept in data files and interpreted by code.
//!
//! A chart is a JSON file with comments that lists states and, for each, the events it accepts and
//! the state that each leads to. [`Chart::parse`] checks that every state can be reached and that
//! every state that is not final can be left. [`Machine`] binds a chart to two enums, so that a
//! typing mistake in either is found when the program starts, and looks transitions up in a table.

mod error;
mod machine;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;

pub use error::Error;
pub use machine::IllegalTransition;
pub use machine::Machine;

/// One life cycle: states, and the events that lead from one to another.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Chart {
    /// What the life cycle belongs to.
    pub name: String,
    /// State of a new instance.
    pub initial: String,
    /// All states by name.
    pub states: BTreeMap<String, State>,
}

/// One state of a chart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// Whether an instance may stay here for good.
    #[serde(default, rename = "final")]
    pub is_final: bool,
    /// Next state by event.
    #[serde(default)]
    pub on: BTreeMap<String, String>,
}

impl Chart {
    /// Reads a chart from JSON with comments and checks it.
    ///
    /// # Errors
    ///
    /// The text does not parse, or the chart is unsound: see [`Error`].
    pub fn parse(text: &str) -> Result<Chart, Error> {
        let options = jsonc_parser::ParseOptions::default();
        let chart: Chart = jsonc_parser::parse_to_serde_value(text, &options)
            .map_err(|error| Error::Syntax { reason: error.to_string() })?;
        chart.check()?;
        Ok(chart)
    }

    fn check(&self) -> Result<(), Error> {
        self.check_targets()?;
        self.check_reachable()?;
        self.check_exits()
    }

    fn check_targets(&self) -> Result<(), Error> {
        let targets = self.states.values().flat_map(|state| state.on.values());
        for target in targets.chain([&self.initial]) {
            if !self.states.contains_key(target) {
                return Err(Error::NoSuchState { chart: self.name.clone(), state: target.clone() });
            }
        }
        Ok(())
    }

    fn check_reachable(&self) -> Result<(), Error> {
        let mut seen = BTreeSet::from([self.initial.as_str()]);
        let mut open = vec![self.initial.as_str()];
        while let Some(name) = open.pop() {
            for target in self.states[name].on.values() {
                if seen.insert(target) {
                    open.push(target);
                }
            }
        }
        match self.states.keys().find(|name| !seen.contains(name.as_str())) {
            Some(name) => Err(Error::Unreachable { chart: self.name.clone(), state: name.clone() }),
            None => Ok(()),
        }
    }

    fn check_exits(&self) -> Result<(), Error> {
        let leaves = |(name, state): &(&String, &State)| {
            state.is_final || state.on.values().any(|target| target != *name)
        };
        match self.states.iter().find(|entry| !leaves(entry)) {
            Some((name, _)) => Err(Error::NoExit { chart: self.name.clone(), state: name.clone() }),
            None => Ok(()),
        }
    }
}
