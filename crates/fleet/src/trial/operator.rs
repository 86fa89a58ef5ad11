//! Operators who change the configuration concurrently.

use crate::Apply;
use crate::Outcome;
use crate::Step;
use crate::WriteId;
use model::Revision;
use model::Stamp;

/// An operator's change in progress.
#[derive(Debug)]
pub(crate) struct Operator {
    pub(crate) apply: Apply,
    pub(crate) write: WriteId,
}

impl Operator {
    /// Starts a change. With a base, the change fails if the configuration has changed since.
    pub(crate) fn new(write: WriteId, base: Option<Revision>, weight: u64, at: Stamp) -> Operator {
        let text = format!(
            "{{\n  \"services\": {{}},\n  \"pools\": {{}},\n  \"accounts\": {{\n    \
             \"mill\": {{ \"weight\": {} }},\n    \"write-{write}\": {{}},\n  }},\n}}\n",
            weight % 10_000 + 1
        );
        let apply = Apply::new(&text, base, "operator", write, at);
        Operator { apply, write }
    }

    /// Returns the outcome once the change is finished.
    pub(crate) fn outcome(&self) -> Option<&Outcome> {
        match self.apply.step() {
            Step::Finished(outcome) => Some(outcome),
            _ => None,
        }
    }
}

/// Name of an outcome in reports.
pub(crate) fn outcome_name(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Applied { .. } => "applied",
        Outcome::Unchanged { .. } => "unchanged",
        Outcome::Raced { .. } => "raced",
        Outcome::Missing { .. } => "missing",
        Outcome::Refused { .. } => "refused",
        Outcome::Unreachable => "unreachable",
        Outcome::Unsettled => "unsettled",
        Outcome::Record(_) => "record",
    }
}
