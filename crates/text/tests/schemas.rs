//! Checks that the JSON Schemas and the parser accept and reject the same values.

use jsonschema::Validator;
use serde_json::Value;
use serde_json::json;

const TEXT: &str = include_str!("../../../schema/text.schema.json");
const SETTINGS: &str = include_str!("../../../schema/settings.schema.json");

/// One edit of a valid document and whether the result is valid. `None` removes the field.
struct Case {
    path: &'static str,
    value: Option<Value>,
    valid: bool,
}

fn good(path: &'static str, value: Value) -> Case {
    Case { path, value: Some(value), valid: true }
}

fn bad(path: &'static str, value: Value) -> Case {
    Case { path, value: Some(value), valid: false }
}

fn without(path: &'static str, valid: bool) -> Case {
    Case { path, value: None, valid }
}

fn validator(schema: &str) -> Validator {
    let schema: Value = serde_json::from_str(schema).expect("the schema is JSON");
    jsonschema::validator_for(&schema).expect("the schema is valid")
}

fn text() -> Value {
    json!({
        "services": {
            "billing": {
                "class": "batch", "idempotent": true, "timeout": "1s", "deadline": "9s",
                "retry_share": "10%", "hedge": "500ms", "depends": ["lots"], "pool": "main",
                "objective": { "availability": "99.9%", "latency": "2s" }
            },
            "lots": {
                "class": "interactive", "idempotent": false, "timeout": "1s", "deadline": "9s",
                "pool": "main", "objective": { "availability": "99%", "latency": "1s" }
            }
        },
        "pools": { "main": { "slots": 8, "connections": 64 } },
        "accounts": {
            "mill": {
                "weight": 2, "quota": 64, "rate": { "requests": 10, "burst": 20 },
                "guarantees": [{
                    "tasks": 2, "accelerators": 8, "cores": 16, "memory": "64GB",
                    "adjacency": "rack"
                }]
            }
        }
    })
}

fn settings() -> Value {
    json!({
        "vm": "entry-1", "zone": "a", "region": "north",
        "listen": {
            "callers": "0.0.0.0:80", "operators": "0.0.0.0:81", "peers": "[::1]:82"
        },
        "advertise": "10.0.0.1:82", "store": ["http://10.0.0.2:2379"],
        "vms": "http://10.0.0.3/vms", "token": "secret", "log_level": "info",
        "log_format": "json", "link_budget": "1MB",
        "limits": {
            "requests": 1, "body": "1MB", "answers": "1MB", "drain": "1m", "store_calls": 2
        }
    })
}

/// Sets or removes the field at a path such as `services/billing/timeout`.
fn edit(mut value: Value, case: &Case) -> Value {
    let (parent, name) = case.path.rsplit_once('/').unwrap_or(("", case.path));
    let pointer = if parent.is_empty() { String::new() } else { format!("/{parent}") };
    let object = value.pointer_mut(&pointer).and_then(Value::as_object_mut);
    let object = object.unwrap_or_else(|| panic!("{} does not exist", case.path));
    match &case.value {
        Some(new) => object.insert(name.to_owned(), new.clone()),
        None => object.remove(name),
    };
    value
}

fn compare(schema: &str, base: Value, cases: &[Case], parses: impl Fn(&str) -> bool) {
    let validator = validator(schema);
    assert!(validator.is_valid(&base), "the schema rejects the base document");
    assert!(parses(&base.to_string()), "the parser rejects the base document");
    for case in cases {
        let value = edit(base.clone(), case);
        let shown = format!("{}: {:?}", case.path, case.value);
        assert_eq!(validator.is_valid(&value), case.valid, "schema on {shown}");
        assert_eq!(parses(&value.to_string()), case.valid, "parser on {shown}");
    }
}

#[test]
fn configuration_schema_agrees() {
    let cases = [
        good("$schema", json!("text.schema.json")),
        good("services/billing/timeout", json!("2000000us")),
        good("services/billing/timeout", json!("0009s")),
        good("services/billing/retry_share", json!("0%")),
        good("services/billing/retry_share", json!("100%")),
        good("services/billing/retry_share", json!("100.0%")),
        good("services/billing/retry_share", json!("012.3456%")),
        good("services/billing/depends", json!([])),
        good("accounts/mill", json!({})),
        good("accounts/mill/quota", json!(4_294_967_295_u32)),
        good("accounts/mill/guarantees", json!([])),
        without("services/billing/hedge", true),
        without("services/billing/retry_share", true),
        without("services/billing/depends", true),
        without("services/billing/class", false),
        without("services/billing/idempotent", false),
        without("services/billing/timeout", false),
        without("services/billing/deadline", false),
        without("services/billing/objective", false),
        without("services/billing/objective/latency", false),
        without("services/billing/pool", false),
        without("pools/main/slots", false),
        without("accounts/mill/rate/burst", false),
        without("accounts", false),
        bad("extra", json!(1)),
        bad("services/billing/time_out", json!("1s")),
        bad("services/billing/class", json!("patient")),
        bad("services/billing/class", json!(null)),
        bad("services/billing/idempotent", json!("yes")),
        bad("services/billing/timeout", json!(250)),
        bad("services/billing/timeout", json!("250")),
        bad("services/billing/timeout", json!("1 s")),
        bad("services/billing/timeout", json!("1m30s")),
        bad("services/billing/timeout", json!("1.5s")),
        bad("services/billing/timeout", json!("0s")),
        bad("services/billing/timeout", json!("1M")),
        bad("services/billing/timeout", json!("1000000000us")),
        bad("services/billing/timeout", json!("-1s")),
        bad("services/billing/retry_share", json!(0.1)),
        bad("services/billing/retry_share", json!("101%")),
        bad("services/billing/retry_share", json!("100.1%")),
        bad("services/billing/retry_share", json!("1.23456%")),
        bad("services/billing/retry_share", json!(".5%")),
        bad("services/billing/objective/availability", json!("100%")),
        bad("services/billing/depends", json!("lots")),
        bad("services/billing/depends", json!(["lots", "lots"])),
        bad("services/billing/depends", json!([1])),
        bad("services/billing/pool", json!("")),
        bad("services/Billing", json!({})),
        bad("services/billing", json!([])),
        bad("pools/main/slots", json!(0)),
        bad("pools/main/slots", json!("8")),
        bad("pools/main/slots", json!(8.5)),
        bad("pools/main/connections", json!(65_536)),
        bad("accounts/mill/weight", json!(0)),
        bad("accounts/mill/weight", json!(10_001)),
        bad("accounts/mill/quota", json!(-1)),
        bad("accounts/mill/quota", json!("64 accelerators")),
        bad("accounts/mill/rate/requests", json!(0)),
    ];
    compare(TEXT, text(), &cases, |source| text::parse("t", source).is_ok());
}

#[test]
fn gang_shape_agrees() {
    let shape = text()["accounts"]["mill"]["guarantees"][0].clone();
    let cases = [
        good("memory", json!("1TiB")),
        without("memory", true),
        without("cores", true),
        without("tasks", false),
        without("adjacency", false),
        bad("memory", json!("64")),
        bad("memory", json!("64gb")),
        bad("memory", json!(64)),
        bad("tasks", json!(513)),
        bad("accelerators", json!(0)),
        bad("adjacency", json!("rock")),
        bad("gpus", json!(8)),
    ];
    let validator = validator(TEXT);
    for case in &cases {
        let mut value = text();
        value["accounts"]["mill"]["guarantees"][0] = edit(shape.clone(), case);
        value["accounts"]["mill"]["quota"] = json!(100_000);
        let shown = format!("{}: {:?}", case.path, case.value);
        assert_eq!(validator.is_valid(&value), case.valid, "schema on {shown}");
        let parses = text::parse("t", &value.to_string()).is_ok();
        assert_eq!(parses, case.valid, "parser on {shown}");
    }
}

#[test]
fn settings_schema_agrees() {
    let cases = [
        without("listen/operators", true),
        without("token", true),
        without("limits", true),
        without("limits/drain", true),
        without("log_level", true),
        without("vm", false),
        without("listen/peers", false),
        without("store", false),
        bad("vm", json!("Entry 1")),
        bad("advertise", json!("entry-1:82")),
        bad("advertise", json!("10.0.0.1")),
        bad("store", json!([])),
        bad("store", json!("http://10.0.0.2:2379")),
        bad("vms", json!("ftp://10.0.0.3/vms")),
        bad("vms", json!("http://10.0.0.3/ vms")),
        bad("log_level", json!("loud")),
        bad("log_format", json!("xml")),
        bad("link_budget", json!(1_000_000)),
        bad("limits/requests", json!(0)),
        bad("limits/drain", json!("5 minutes")),
        bad("limits/memory", json!("1GB")),
        bad("token", json!("")),
        bad("zones", json!("a")),
    ];
    let parses = |source: &str| text::parse_settings("s", source).is_ok();
    compare(SETTINGS, settings(), &cases, parses);
}

#[test]
fn examples_match_schemas() {
    let options = jsonc_parser::ParseOptions::default();
    let examples = [
        (TEXT, include_str!("../../../examples/graudu-talons.jsonc")),
        (TEXT, include_str!("../../../examples/kierratyskontti.jsonc")),
        (SETTINGS, include_str!("../../../examples/entry.jsonc")),
    ];
    for (schema, source) in examples {
        let value: Value = jsonc_parser::parse_to_serde_value(source, &options)
            .expect("the example is JSON with comments");
        assert!(validator(schema).is_valid(&value));
    }
}
