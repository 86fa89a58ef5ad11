//! `check` and `diff` on files, without an entry VM.

use crate::program::Program;
use crate::program::write;
use crate::stage::CONFIG;
use text::Change;
use text::Fault;

#[tokio::test]
async fn faultless_configuration() {
    let file = write("check-good.jsonc", CONFIG);
    let output = Program::new(&["check", &file]).run().await.expect_code(0);
    output.assert_stdout(&["no faults"]);
    let faults: Vec<Fault> = Program::new(&["check", &file, "--json"]).run().await.json();
    assert_eq!(faults, []);
}

#[tokio::test]
async fn faults_with_places() {
    let names = CONFIG.replace("\"pool\": \"hub\"", "\"pool\": \"hop\"");
    let place = "check-names.jsonc:6:66: services.tickets.pool";
    assert_faults(&write("check-names.jsonc", &names), &[place, "did you mean \"hub\"?"]).await;
    let units = CONFIG.replace("2s", "2 sec").replace("\"quota\"", "\"quotta\"");
    let parts = [
        "check-units.jsonc:5:63: services.tickets.timeout",
        "check-units.jsonc:9:56: services.sorting.timeout",
        "accounts.growers.quotta",
        "accounts.loaders.quotta",
    ];
    assert_faults(&write("check-units.jsonc", &units), &parts).await;
}

/// Checks that the file has at least two faults, that each is printed with its line and column, and
/// that the output contains `parts`.
async fn assert_faults(file: &str, parts: &[&str]) {
    let output = Program::new(&["check", file]).run().await.expect_code(3);
    let faults: Vec<Fault> =
        Program::new(&["check", file, "--json"]).run().await.expect_code(3).json();
    assert!(faults.len() >= 2, "{faults:#?}");
    for fault in &faults {
        output.assert_stdout(&[&format!("{file}:{}:{}: ", fault.place.line, fault.place.column)]);
    }
    output.assert_stdout(parts);
}

#[tokio::test]
async fn guarantees_that_do_not_fit() {
    let file = write("check-fleet.jsonc", CONFIG);
    let fleet = |workers: u32| {
        serde_json::json!({ "zones": { "zone-a": {
            "racks": 1,
            "workers": workers,
            "worker": { "accelerators": 8, "millicores": 128_000, "memory_mib": 262_144 },
        } } })
    };
    let small = write("fleet-small.json", &fleet(3).to_string());
    let output = Program::new(&["check", &file, "--fleet", &small]).run().await.expect_code(3);
    output.assert_stdout(&["accounts.loaders.guarantees[0]"]);
    let large = write("fleet-large.json", &fleet(4).to_string());
    Program::new(&["check", &file, "--fleet", &large]).run().await.expect_code(0);
    let broken = write("fleet-broken.json", "{\n  \"zones\": 7\n}");
    let output = Program::new(&["check", &file, "--fleet", &broken]).run().await.expect_code(3);
    output.assert_stderr(&["fleet-broken.json:2:"]);
}

#[tokio::test]
async fn missing_file() {
    let output = Program::new(&["check", "/nonexistent/text.jsonc"]).run().await.expect_code(1);
    output.assert_stderr(&["/nonexistent/text.jsonc cannot be read"]);
}

#[tokio::test]
async fn differences_of_files() {
    let old = write("diff-old.jsonc", CONFIG);
    let new = write("diff-new.jsonc", &CONFIG.replace("\"weight\": 2", "\"weight\": 5"));
    let output = Program::new(&["diff", &old, &new]).run().await.expect_code(0);
    assert_eq!(output.stdout, "~ accounts.growers.weight: 2 -> 5\n");
    let changes: Vec<Change> = Program::new(&["diff", &old, &new, "--json"]).run().await.json();
    assert_eq!(changes.len(), 1);
    let output = Program::new(&["diff", &old, &old]).run().await.expect_code(0);
    output.assert_stdout(&["no change"]);
    let output =
        Program::new(&["diff", &old, &new, "--color", "always"]).run().await.expect_code(0);
    output.assert_stdout(&["\u{1b}[33m~ accounts.growers.weight: 2 -> 5\u{1b}[0m"]);
}
