//! Error budgets and burn rates.
