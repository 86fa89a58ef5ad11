//! Checks across the whole text: names that lead nowhere, and dependency cycles.

use std::collections::BTreeMap;

use crate::Text;
use crate::reader::Reader;
use crate::reader::nearest;
use model::ServiceId;

/// Reports dangling names and dependency cycles.
pub(crate) fn check_names(text: &Text, reader: &mut Reader<'_>) {
    let services: Vec<&str> = text.services.keys().map(ServiceId::as_str).collect();
    let pools: Vec<&str> = text.pools.keys().map(String::as_str).collect();
    for (name, service) in &text.services {
        if !text.pools.contains_key(&service.pool) {
            let path = format!("services.{name}.pool");
            dangling(reader, &path, "pool", &service.pool, &pools);
        }
        for (index, target) in service.depends.iter().enumerate() {
            let path = format!("services.{name}.depends[{index}]");
            if !text.services.contains_key(target) {
                dangling(reader, &path, "service", target.as_str(), &services);
            }
            if service.depends[..index].contains(target) {
                let message = format!("{target} is listed twice");
                reader.fault(&path, message, "list it once");
            }
        }
    }
    check_cycles(text, reader);
}

fn dangling(reader: &mut Reader<'_>, path: &str, kind: &str, name: &str, known: &[&str]) {
    let advice = match nearest(name, known) {
        Some(near) => format!("did you mean \"{near}\"?"),
        None if known.is_empty() => format!("declare a {kind} first"),
        None => format!("write one of {}", known.join(", ")),
    };
    reader.fault(path, format!("{kind} \"{name}\" is not declared"), advice);
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Mark {
    Open,
    Done,
}

fn check_cycles(text: &Text, reader: &mut Reader<'_>) {
    let mut marks = BTreeMap::new();
    for name in text.services.keys() {
        visit(text, reader, name, &mut marks);
    }
}

/// Depth-first search with its own stack, since a text may hold a long chain.
fn visit<'t>(
    text: &'t Text,
    reader: &mut Reader<'_>,
    root: &'t ServiceId,
    marks: &mut BTreeMap<&'t ServiceId, Mark>,
) {
    if marks.contains_key(root) {
        return;
    }
    marks.insert(root, Mark::Open);
    let mut stack = vec![(root, 0)];
    while let Some((name, index)) = stack.pop() {
        let Some(target) = text.services.get(name).and_then(|s| s.depends.get(index)) else {
            marks.insert(name, Mark::Done);
            continue;
        };
        stack.push((name, index + 1));
        match marks.get(target) {
            Some(Mark::Done) => {}
            Some(Mark::Open) => report_cycle(reader, &stack, target, index),
            None => {
                marks.insert(target, Mark::Open);
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
    reader.fault(&path, message, "remove one of these dependencies");
}
