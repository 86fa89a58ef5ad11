//! Checks on random and damaged input that the parser never panics and that every fault has a
//! position inside the input.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use text::Fault;

const GRAUDU: &str = include_str!("../../../examples/graudu-talons.jsonc");
const ENTRY: &str = include_str!("../../../examples/entry.jsonc");

fn check_positions(source: &str, faults: &[Fault]) {
    assert!(!faults.is_empty());
    let lines: Vec<&str> = source.split('\n').collect();
    for fault in faults {
        let line = lines.get(fault.place.line as usize - 1);
        let line = line.unwrap_or_else(|| panic!("{fault} is past the last line"));
        assert!(fault.place.column as usize <= line.chars().count() + 1, "{fault}");
    }
}

fn check(source: &str) {
    if let Err(faults) = text::parse("t", source) {
        check_positions(source, &faults);
    }
    if let Err(faults) = text::parse_settings("t", source) {
        check_positions(source, &faults);
    }
}

/// Replaces characters of a valid source; each edit is an index and a replacement string.
fn apply_edits(source: &str, edits: &[(prop::sample::Index, String)]) -> String {
    let mut chars: Vec<char> = source.chars().collect();
    for (at, replacement) in edits {
        let at = at.index(chars.len());
        chars.splice(at..at + 1, replacement.chars());
        if chars.is_empty() {
            chars.push(' ');
        }
    }
    chars.into_iter().collect()
}

fn edits() -> impl Strategy<Value = Vec<(prop::sample::Index, String)>> {
    let replacement = prop_oneof![Just(String::new()), "[\\[\\]{},:\"a-z0-9%äö \n]{1,4}"];
    prop::collection::vec((any::<prop::sample::Index>(), replacement), 1..6)
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(6),
        cases: 512,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_string(source in "\\PC{0,200}") {
        check(&source);
    }

    #[test]
    fn any_json_like(source in "[\\[\\]{},:\"a-z0-9 ./\n*-]{0,80}") {
        check(&source);
    }

    #[test]
    fn damaged_configuration(edits in edits()) {
        check(&apply_edits(GRAUDU, &edits));
    }

    #[test]
    fn damaged_settings(edits in edits()) {
        check(&apply_edits(ENTRY, &edits));
    }
}

#[test]
fn deep_nesting() {
    let source = format!("{}1", "[".repeat(100_000));
    assert!(text::parse("t", &source).is_err());
}

#[test]
fn long_chain_of_dependencies() {
    let service = |i: u32| {
        let depends = if i == 0 { String::new() } else { format!("\"s{}\"", i - 1) };
        format!(
            r#""s{i}": {{ "class": "batch", "idempotent": true, "timeout": "1s",
                "deadline": "1s", "pool": "p", "depends": [{depends}],
                "objective": {{ "availability": "9%", "latency": "1s" }} }}"#
        )
    };
    let services: Vec<String> = (0..2_000).map(service).collect();
    let services = services.join(",");
    let pools = r#"{ "p": { "slots": 1, "connections": 1 } }"#;
    let source =
        format!(r#"{{ "services": {{ {services} }}, "pools": {pools}, "accounts": {{}} }}"#);
    assert_eq!(text::parse("t", &source).map(|text| text.services.len()).ok(), Some(2_000));
}
