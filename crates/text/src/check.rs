//! Checks of references between parts of the configuration: undeclared names and dependency
//! cycles.

use std::collections::BTreeMap;

use crate::Text;
use crate::reader::Reader;
use crate::reader::nearest;
use model::ServiceId;

/// Reports undeclared services and pools, duplicate dependencies and dependency cycles.
pub(crate) fn check_names(text: &Text, reader: &mut Reader<'_>) {
    let services: Vec<&str> = text.services.keys().map(ServiceId::as_str).collect();
    let pools: Vec<&str> = text.pools.keys().map(String::as_str).collect();
    for (name, service) in &text.services {
        if !text.pools.contains_key(&service.pool) {
            let path = format!("services.{name}.pool");
            report_undeclared(reader, &path, "pool", &service.pool, &pools);
        }
        for (index, target) in service.depends.iter().enumerate() {
            let path = format!("services.{name}.depends[{index}]");
            if !text.services.contains_key(target) {
                report_undeclared(reader, &path, "service", target.as_str(), &services);
            }
            if service.depends[..index].contains(target) {
                let message = format!("{target} is listed twice");
                reader.report(&path, message, "list it once");
            }
        }
    }
    check_cycles(text, reader);
}

fn report_undeclared(reader: &mut Reader<'_>, path: &str, kind: &str, name: &str, known: &[&str]) {
    let advice = match nearest(name, known) {
        Some(near) => format!("did you mean \"{near}\"?"),
        None if known.is_empty() => format!("declare a {kind} first"),
        None => format!("write one of {}", known.join(", ")),
    };
    reader.report(path, format!("{kind} \"{name}\" is not declared"), advice);
}

/// State of a service in the depth-first search.
#[derive(Clone, Copy, PartialEq, Eq)]
enum VisitState {
    /// On the stack.
    InProgress,
    /// All dependencies were visited.
    Done,
}

fn check_cycles(text: &Text, reader: &mut Reader<'_>) {
    let mut states = BTreeMap::new();
    for name in text.services.keys() {
        visit(text, reader, name, &mut states);
    }
}

/// Depth-first search from `root` that reports cycles. Uses an explicit stack, since a long chain
/// of dependencies would overflow the call stack.
fn visit<'t>(
    text: &'t Text,
    reader: &mut Reader<'_>,
    root: &'t ServiceId,
    states: &mut BTreeMap<&'t ServiceId, VisitState>,
) {
    if states.contains_key(root) {
        return;
    }
    states.insert(root, VisitState::InProgress);
    let mut stack = vec![(root, 0)];
    while let Some((name, index)) = stack.pop() {
        let Some(target) = text.services.get(name).and_then(|s| s.depends.get(index)) else {
            states.insert(name, VisitState::Done);
            continue;
        };
        stack.push((name, index + 1));
        match states.get(target) {
            Some(VisitState::Done) => {}
            Some(VisitState::InProgress) => report_cycle(reader, &stack, target, index),
            None => {
                states.insert(target, VisitState::InProgress);
                stack.push((target, 0));
            }
        }
    }
}

fn report_cycle(
    reader: &mut Reader<'_>,
    stack: &[(&ServiceId, usize)],
    target: &ServiceId,
    index: usize,
) {
    let start = stack.iter().position(|(name, _)| *name == target).unwrap_or(0);
    let names = stack[start..].iter().map(|(name, _)| name.as_str());
    let cycle: Vec<&str> = names.chain([target.as_str()]).collect();
    let last = stack[stack.len() - 1].0;
    let path = format!("services.{last}.depends[{index}]");
    let message = format!("dependency cycle {}", cycle.join(" -> "));
    reader.report(&path, message, "remove one of these dependencies");
}
