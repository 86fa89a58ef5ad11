//! Differences between two configurations, printed one per line.

const GRAUDU: &str = include_str!("../../../examples/graudu-talons.jsonc");

fn diff_lines(old: &str, new: &str) -> Vec<String> {
    let old = text::parse("old", old).expect("the old configuration is valid");
    let new = text::parse("new", new).expect("the new configuration is valid");
    text::diff(&old, &new).iter().map(ToString::to_string).collect()
}

#[test]
fn changed_field() {
    let new = GRAUDU.replace("\"timeout\": \"400ms\"", "\"timeout\": \"450ms\"");
    assert_eq!(diff_lines(GRAUDU, &new), ["~ services.intake-tickets.timeout: 400ms -> 450ms"]);
}

#[test]
fn comments_are_no_change() {
    let new = GRAUDU.replace("// Tickets", "// All tickets");
    assert_ne!(GRAUDU, new);
    assert_eq!(diff_lines(GRAUDU, &new), Vec::<String>::new());
}

#[test]
fn added_and_removed() {
    let empty = r#"{ "services": {}, "pools": {}, "accounts": {} }"#;
    let one = r#"{ "services": {}, "pools": {}, "accounts": { "mill": { "quota": 8 } } }"#;
    assert_eq!(diff_lines(empty, one), ["+ accounts.mill.quota: 8", "+ accounts.mill.weight: 1"]);
    assert_eq!(diff_lines(one, empty), ["- accounts.mill.quota: 8", "- accounts.mill.weight: 1"]);
}
