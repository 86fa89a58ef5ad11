//! Differences between two configurations.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::Account;
use crate::Bytes;
use crate::Service;
use crate::Text;
use crate::unit::format_duration;
use model::GangShape;

/// One field that differs between two configurations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Path of the field, such as `services.billing.timeout`.
    pub path: String,
    /// Old value, or `None` if the field was added.
    pub old: Option<String>,
    /// New value, or `None` if the field was removed.
    pub new: Option<String>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.old, &self.new) {
            (Some(old), Some(new)) => write!(f, "~ {}: {old} -> {new}", self.path),
            (None, Some(new)) => write!(f, "+ {}: {new}", self.path),
            (Some(old), None) => write!(f, "- {}: {old}", self.path),
            (None, None) => write!(f, "  {}", self.path),
        }
    }
}

/// Returns the fields that differ between two configurations, ordered by path.
pub fn diff(old: &Text, new: &Text) -> Vec<Change> {
    let old = flatten(old);
    let new = flatten(new);
    let mut changes: Vec<Change> = old
        .iter()
        .filter(|(path, value)| new.get(*path) != Some(value))
        .map(|(path, value)| Change {
            path: path.clone(),
            old: Some(value.clone()),
            new: new.get(path).cloned(),
        })
        .collect();
    let added = new.iter().filter(|(path, _)| !old.contains_key(*path));
    changes.extend(added.map(|(path, value)| Change {
        path: path.clone(),
        old: None,
        new: Some(value.clone()),
    }));
    changes.sort_by(|a, b| a.path.cmp(&b.path));
    changes
}

/// Values of the fields, by path.
type FieldValues = BTreeMap<String, String>;

fn flatten(text: &Text) -> FieldValues {
    let mut fields = FieldValues::new();
    for (name, service) in &text.services {
        flatten_service(&mut fields, &format!("services.{name}"), service);
    }
    for (name, pool) in &text.pools {
        fields.insert(format!("pools.{name}.slots"), pool.slots.to_string());
        fields.insert(format!("pools.{name}.connections"), pool.connections.to_string());
    }
    for (name, account) in &text.accounts {
        flatten_account(&mut fields, &format!("accounts.{name}"), account);
    }
    fields
}

fn flatten_service(fields: &mut FieldValues, path: &str, service: &Service) {
    let mut insert = |name: &str, value: String| fields.insert(format!("{path}.{name}"), value);
    insert("class", service.class.to_string());
    insert("idempotent", service.idempotent.to_string());
    insert("timeout", format_duration(service.timeout));
    insert("deadline", format_duration(service.deadline));
    insert("retry_share", service.retry_share.to_string());
    insert("objective.availability", service.objective.availability.to_string());
    insert("objective.latency", format_duration(service.objective.latency));
    insert("pool", service.pool.clone());
    if let Some(hedge) = service.hedge {
        insert("hedge", format_duration(hedge));
    }
    if !service.depends.is_empty() {
        let names: Vec<&str> = service.depends.iter().map(|name| name.as_str()).collect();
        insert("depends", names.join(", "));
    }
}

fn flatten_account(fields: &mut FieldValues, path: &str, account: &Account) {
    let mut insert = |name: &str, value: String| fields.insert(format!("{path}.{name}"), value);
    insert("weight", account.weight.to_string());
    if let Some(quota) = account.quota {
        insert("quota", quota.to_string());
    }
    if let Some(rate) = account.rate {
        insert("rate", format!("{}/s, burst {}", rate.requests, rate.burst));
    }
    for (index, shape) in account.guarantees.iter().enumerate() {
        insert(&format!("guarantees[{index}]"), format_shape(shape));
    }
}

fn format_shape(shape: &GangShape) -> String {
    format!(
        "{} x ({} accelerators, {} millicores, {}) in one {}",
        shape.tasks,
        shape.accelerators,
        shape.millicores,
        Bytes(u64::from(shape.memory_mib) << 20),
        shape.adjacency
    )
}
