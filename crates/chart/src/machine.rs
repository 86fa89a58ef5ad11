//! A chart bound to the enums of its states and events.

use std::collections::BTreeSet;

use strum::VariantArray;
use thiserror::Error;

use crate::Chart;
use crate::Error;

/// An event that the chart does not allow in this state.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("chart {chart}: event {event} is not allowed in state {state}")]
pub struct IllegalTransition {
    /// The chart's name.
    pub chart: String,
    /// The state the instance was in.
    pub state: String,
    /// The event that came.
    pub event: String,
}

/// A chart whose states are the variants of `S` and whose events are those of `E`.
#[derive(Clone, Debug)]
pub struct Machine<S, E: 'static> {
    name: String,
    initial: S,
    last: Vec<bool>,
    next: Vec<Option<S>>,
    events: &'static [E],
}

impl<S, E> Machine<S, E>
where
    S: VariantArray + AsRef<str> + Copy + PartialEq,
    E: VariantArray + AsRef<str> + Copy + PartialEq + 'static,
{
    /// Binds a parsed chart to its enums.
    ///
    /// # Errors
    ///
    /// [`Error::Mismatch`] if a state or event is in the chart or the enum alone.
    pub fn new(chart: &Chart) -> Result<Machine<S, E>, Error> {
        let states: BTreeSet<&str> = chart.states.keys().map(String::as_str).collect();
        let used = chart.states.values().flat_map(|state| state.on.keys());
        let events: BTreeSet<&str> = used.map(String::as_str).collect();
        compare(chart, &states, S::VARIANTS)?;
        compare(chart, &events, E::VARIANTS)?;
        let mut next = Vec::new();
        let mut last = Vec::new();
        for state in S::VARIANTS {
            let row = &chart.states[state.as_ref()];
            last.push(row.is_final);
            next.extend(E::VARIANTS.iter().map(|e| row.on.get(e.as_ref()).and_then(|s| find(s))));
        }
        let initial = find(&chart.initial).ok_or_else(|| Error::NoSuchState {
            chart: chart.name.clone(),
            state: chart.initial.clone(),
        })?;
        Ok(Machine { name: chart.name.clone(), initial, last, next, events: E::VARIANTS })
    }

    /// Parses a chart embedded in the program and binds it.
    ///
    /// # Panics
    ///
    /// The chart is unsound or differs from the enums, which is a defect of the program.
    pub fn embedded(text: &str) -> Machine<S, E> {
        let machine = Chart::parse(text).and_then(|chart| Machine::new(&chart));
        machine.unwrap_or_else(|error| panic!("embedded {error}"))
    }

    /// State of a new instance.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Whether an instance may stay in `state` for good.
    pub fn is_final(&self, state: S) -> bool {
        self.last[position(state)]
    }

    /// The state that `event` leads to from `state`.
    ///
    /// # Errors
    ///
    /// [`IllegalTransition`] if the chart has no such transition.
    pub fn step(&self, state: S, event: E) -> Result<S, IllegalTransition> {
        let cell = position(state) * self.events.len() + position(event);
        self.next[cell].ok_or_else(|| IllegalTransition {
            chart: self.name.clone(),
            state: state.as_ref().to_owned(),
            event: event.as_ref().to_owned(),
        })
    }

    /// Moves `state` along `event`.
    ///
    /// # Panics
    ///
    /// The chart has no such transition, which is a broken invariant.
    pub fn advance(&self, state: &mut S, event: E) {
        *state = self.step(*state, event).unwrap_or_else(|illegal| panic!("{illegal}"));
    }
}

fn position<T: VariantArray + PartialEq>(value: T) -> usize {
    T::VARIANTS.iter().position(|v| *v == value).unwrap_or(0)
}

fn find<T: VariantArray + AsRef<str> + Copy>(name: &str) -> Option<T> {
    T::VARIANTS.iter().copied().find(|v| v.as_ref() == name)
}

fn compare<T: AsRef<str>>(
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
