//! State machine whose states and events are enums.

use std::collections::BTreeSet;

use strum::VariantArray;
use thiserror::Error;

use crate::Chart;
use crate::Error;

/// The chart has no transition for this event from this state.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("chart {chart}: event {event} is not allowed in state {state}")]
pub struct IllegalTransition {
    /// Name of the chart.
    pub chart: String,
    /// The current state.
    pub state: String,
    /// The rejected event.
    pub event: String,
}

/// A chart whose states are the variants of `S` and whose events are those of `E`.
#[derive(Clone, Debug)]
pub struct Machine<S, E: 'static> {
    name: String,
    initial: S,
    /// Whether each state is final, in the order of `S::VARIANTS`.
    is_final: Vec<bool>,
    /// Next state by state and event, one row for each state.
    transitions: Vec<Option<S>>,
    events: &'static [E],
}

impl<S, E> Machine<S, E>
where
    S: VariantArray + AsRef<str> + Copy + PartialEq,
    E: VariantArray + AsRef<str> + Copy + PartialEq + 'static,
{
    /// Binds a parsed chart to its state and event enums.
    ///
    /// # Errors
    ///
    /// [`Error::Mismatch`] if a state or event is only in the chart or only in the enum.
    pub fn new(chart: &Chart) -> Result<Machine<S, E>, Error> {
        let states: BTreeSet<&str> = chart.states.keys().map(String::as_str).collect();
        let event_names = chart.states.values().flat_map(|state| state.on.keys());
        let events: BTreeSet<&str> = event_names.map(String::as_str).collect();
        check_names(chart, &states, S::VARIANTS)?;
        check_names(chart, &events, E::VARIANTS)?;
        let mut transitions = Vec::new();
        let mut is_final = Vec::new();
        for state in S::VARIANTS {
            let definition = &chart.states[state.as_ref()];
            is_final.push(definition.is_final);
            transitions.extend(
                E::VARIANTS
                    .iter()
                    .map(|e| definition.on.get(e.as_ref()).and_then(|s| find_variant(s))),
            );
        }
        let initial = find_variant(&chart.initial).ok_or_else(|| Error::NoSuchState {
            chart: chart.name.clone(),
            state: chart.initial.clone(),
        })?;
        Ok(Machine {
            name: chart.name.clone(),
            initial,
            is_final,
            transitions,
            events: E::VARIANTS,
        })
    }

    /// Parses a chart embedded in the program and binds it to its enums.
    ///
    /// # Panics
    ///
    /// The chart is invalid or differs from the enums, which is a bug in the program.
    pub fn embedded(text: &str) -> Machine<S, E> {
        let machine = Chart::parse(text).and_then(|chart| Machine::new(&chart));
        machine.unwrap_or_else(|error| panic!("embedded {error}"))
    }

    /// Initial state.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Whether `state` is final.
    pub fn is_final(&self, state: S) -> bool {
        self.is_final[variant_index(state)]
    }

    /// Returns the next state for `event` in `state`.
    ///
    /// # Errors
    ///
    /// [`IllegalTransition`] if the chart has no such transition.
    pub fn step(&self, state: S, event: E) -> Result<S, IllegalTransition> {
        let index = variant_index(state) * self.events.len() + variant_index(event);
        self.transitions[index].ok_or_else(|| IllegalTransition {
            chart: self.name.clone(),
            state: state.as_ref().to_owned(),
            event: event.as_ref().to_owned(),
        })
    }

    /// Replaces `state` by the next state for `event`.
    ///
    /// # Panics
    ///
    /// The chart has no such transition, which violates an invariant of the caller.
    pub fn advance(&self, state: &mut S, event: E) {
        *state = self.step(*state, event).unwrap_or_else(|error| panic!("{error}"));
    }
}

fn variant_index<T: VariantArray + PartialEq>(value: T) -> usize {
    T::VARIANTS.iter().position(|v| *v == value).unwrap_or(0)
}

fn find_variant<T: VariantArray + AsRef<str> + Copy>(name: &str) -> Option<T> {
    T::VARIANTS.iter().copied().find(|v| v.as_ref() == name)
}

fn check_names<T: AsRef<str>>(
    chart: &Chart,
    names: &BTreeSet<&str>,
    variants: &[T],
) -> Result<(), Error> {
    let known: BTreeSet<&str> = variants.iter().map(AsRef::as_ref).collect();
    let mismatch = |name: &str, place| Error::Mismatch {
        chart: chart.name.clone(),
        name: name.to_owned(),
        place,
    };
    if let Some(name) = names.difference(&known).next() {
        return Err(mismatch(name, "chart"));
    }
    match known.difference(names).next() {
        Some(name) => Err(mismatch(name, "enum")),
        None => Ok(()),
    }
}
