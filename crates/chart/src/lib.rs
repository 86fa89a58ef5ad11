//! Finite state machines defined in data files.
//!
//! A chart is a JSON file with comments that lists states and, for each state, the events it
//! accepts and the next state for each event. [`Chart::parse`] checks that every state is reachable
//! and that every state that is not final has a transition to another state. [`Machine`] binds a
//! chart to an enum of states and an enum of events, so that a misspelled name is found when the
//! program starts, and looks transitions up in a table.

mod error;
mod machine;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;

pub use error::Error;
pub use machine::IllegalTransition;
pub use machine::Machine;

/// Definition of a state machine: its states, and the transitions between them.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Chart {
    /// Name of the chart, for error messages.
    pub name: String,
    /// Initial state.
    pub initial: String,
    /// All states by name.
    pub states: BTreeMap<String, State>,
}

/// One state of a chart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// Whether the state is final, so that it needs no outgoing transition.
    #[serde(default, rename = "final")]
    pub is_final: bool,
    /// Next state by event.
    #[serde(default)]
    pub on: BTreeMap<String, String>,
}

impl Chart {
    /// Parses a chart from JSON with comments and validates it.
    ///
    /// # Errors
    ///
    /// The text does not parse or the chart is invalid; see [`Error`].
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
        let mut reached = BTreeSet::from([self.initial.as_str()]);
        let mut pending = vec![self.initial.as_str()];
        while let Some(name) = pending.pop() {
            for target in self.states[name].on.values() {
                if reached.insert(target) {
                    pending.push(target);
                }
            }
        }
        match self.states.keys().find(|name| !reached.contains(name.as_str())) {
            Some(name) => Err(Error::Unreachable { chart: self.name.clone(), state: name.clone() }),
            None => Ok(()),
        }
    }

    fn check_exits(&self) -> Result<(), Error> {
        let has_exit = |(name, state): &(&String, &State)| {
            state.is_final || state.on.values().any(|target| target != *name)
        };
        match self.states.iter().find(|entry| !has_exit(entry)) {
            Some((name, _)) => Err(Error::NoExit { chart: self.name.clone(), state: name.clone() }),
            None => Ok(()),
        }
    }
}
