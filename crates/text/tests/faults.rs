//! Faults report the position, the field and a correction.

use model::ZoneId;
use text::Fault;
use text::FleetSize;
use text::WorkerSize;
use text::ZoneSize;

fn faults(source: &str) -> Vec<String> {
    let faults: Vec<Fault> =
        text::parse("t.jsonc", source).expect_err("the configuration has faults");
    faults.iter().map(Fault::to_string).collect()
}

fn service(name: &str, extra: &str) -> String {
    format!(
        r#""{name}": {{ "class": "batch", "idempotent": false, "timeout": "1s",
            "deadline": "5s", "pool": "main",
            "objective": {{ "availability": "99%", "latency": "2s" }} {extra} }}"#
    )
}

fn wrap(services: &str, accounts: &str) -> String {
    let pools = r#"{ "main": { "slots": 8, "connections": 64 } }"#;
    format!(r#"{{ "services": {{ {services} }}, "pools": {pools}, "accounts": {{ {accounts} }} }}"#)
}

#[test]
fn all_faults_are_reported_with_positions() {
    let source = "// head\n{\n  \"services\": {\n    \"billing\": {\n      \"clas\": \"batch\",\n      \
                  \"timeout\": 250,\n    },\n  },\n  \"pools\": {},\n  \"accounts\": {},\n}\n";
    let found = faults(source);
    let advice = "t.jsonc:5:7: services.billing.clas: is not a known field; did you mean \
                  \"class\"?";
    assert!(found.contains(&advice.to_owned()), "{found:#?}");
    let advice = "t.jsonc:6:18: services.billing.timeout: 250 is not valid here; write a \
                  duration with one unit (us, ms, s, m, h), such as \"250ms\"";
    assert!(found.contains(&advice.to_owned()), "{found:#?}");
    let missing = found.iter().filter(|fault| fault.contains("is missing; write")).count();
    assert_eq!(missing, 5, "{found:#?}");
}

#[test]
fn columns_count_characters() {
    let found = faults("{ /* äö */ \"x\": 1 }");
    assert!(found.iter().any(|fault| fault.starts_with("t.jsonc:1:12: x:")), "{found:#?}");
}

#[test]
fn syntax_error_has_a_position() {
    let found = faults("{\n  \"services\": {,}\n}");
    assert_eq!(found.len(), 1);
    assert!(found[0].starts_with("t.jsonc:2:"), "{found:#?}");
    assert!(faults("").concat().contains("is empty"));
}

#[test]
fn cycle_is_shown_as_a_path() {
    let services = [
        service("a", r#", "depends": ["b"]"#),
        service("b", r#", "depends": ["c"]"#),
        service("c", r#", "depends": ["b"]"#),
    ];
    let found = faults(&wrap(&services.join(","), ""));
    assert_eq!(found.len(), 1, "{found:#?}");
    assert!(found[0].contains("services.c.depends[0]: dependency cycle b -> c -> b"));
    let found = faults(&wrap(&service("a", r#", "depends": ["a"]"#), ""));
    assert!(found[0].contains("dependency cycle a -> a"), "{found:#?}");
}

#[test]
fn undeclared_names_are_rejected() {
    let services = [service("lots", ""), service("a", r#", "depends": ["lot"]"#)];
    let found = faults(&wrap(&services.join(","), ""));
    assert_eq!(found.len(), 1, "{found:#?}");
    assert!(found[0].contains("service \"lot\" is not declared; did you mean \"lots\"?"));
    let source = wrap(&service("a", ""), "").replace("\"main\": {", "\"mains\": {");
    assert!(faults(&source)[0].contains("pool \"main\" is not declared"));
}

#[test]
fn contradicting_fields_rejected() {
    let long_timeout = service("a", "").replace("\"1s\"", "\"6s\"");
    assert!(faults(&wrap(&long_timeout, ""))[0].contains("timeout: is longer than the deadline"));
    let hedged = service("a", r#", "hedge": "500ms""#);
    assert!(faults(&wrap(&hedged, ""))[0].contains("hedge: would run the request twice"));
    let shape = r#"{ "tasks": 2, "accelerators": 8, "adjacency": "rack" }"#;
    let account = format!(r#""mill": {{ "quota": 8, "guarantees": [{shape}] }}"#);
    let found = faults(&wrap("", &account));
    assert!(found[0].contains("accounts.mill.quota: 8 is less than the guarantees"), "{found:#?}");
    let twice = r#"{ "services": {}, "services": {}, "pools": {}, "accounts": {} }"#;
    assert!(faults(twice)[0].contains("is written twice, first at 1:3"));
}

fn one_zone(racks: u32) -> FleetSize {
    let worker = WorkerSize { accelerators: 8, millicores: 128_000, memory_mib: 262_144 };
    let zone = ZoneSize { racks, workers: 8, worker };
    FleetSize { zones: [(ZoneId::from("a"), zone)].into() }
}

fn fit_faults(guarantees: &str, fleet: &FleetSize) -> Vec<String> {
    let source = wrap("", &format!(r#""mill": {{ "guarantees": [{guarantees}] }}"#));
    let text = text::parse("t.jsonc", &source).expect("the configuration alone is valid");
    text::check_guarantees(&text, fleet).iter().map(Fault::to_string).collect()
}

#[test]
fn guarantees_must_fit_together() {
    let rack = r#"{ "tasks": 8, "accelerators": 8, "adjacency": "rack" }"#;
    let fleet = one_zone(2);
    assert_eq!(fit_faults(&[rack, rack].join(","), &fleet), Vec::<String>::new());
    let found = fit_faults(&[rack, rack, rack].join(","), &fleet);
    assert_eq!(found.len(), 1, "{found:#?}");
    assert!(found[0].contains("does not fit beside the other guarantees"), "{found:#?}");
    let too_wide = r#"{ "tasks": 9, "accelerators": 8, "adjacency": "rack" }"#;
    assert!(fit_faults(too_wide, &fleet)[0].contains("does not fit into any availability zone"));
}

#[test]
fn mixed_guarantees_fit() {
    let racks = r#"{ "tasks": 16, "accelerators": 8, "adjacency": "racks" }"#;
    let half = r#"{ "tasks": 4, "accelerators": 8, "adjacency": "rack" }"#;
    let small = r#"{ "tasks": 1, "accelerators": 4, "adjacency": "worker" }"#;
    let loose = r#"{ "tasks": 3, "accelerators": 8, "adjacency": "zone" }"#;
    let all = [small, loose, half, racks, small];
    assert_eq!(fit_faults(&all.join(","), &one_zone(3)), Vec::<String>::new());
    let more = [small, loose, half, racks, small, small];
    assert_eq!(fit_faults(&more.join(","), &one_zone(3)).len(), 1);
    let too_much_memory =
        r#"{ "tasks": 1, "accelerators": 1, "memory": "300GiB", "adjacency": "worker" }"#;
    assert_eq!(fit_faults(too_much_memory, &one_zone(3)).len(), 1);
}
