//! `check` and `diff` on files alone.

use crate::program::Program;
use crate::program::write;
use crate::stage::TEXT;
use text::Change;
use text::Fault;

#[tokio::test]
async fn faultless_text() {
    let file = write("check-good.jsonc", TEXT);
    let ended = Program::new(&["check", &file]).run().await.expect(0);
    ended.says(&["no faults"]);
    let faults: Vec<Fault> = Program::new(&["check", &file, "--json"]).run().await.json();
    assert_eq!(faults, []);
}

#[tokio::test]
async fn faults_with_places() {
    let names = TEXT.replace("\"pool\": \"hub\"", "\"pool\": \"hop\"");
    let place = "check-names.jsonc:6:66: services.tickets.pool";
    assert_faults(&write("check-names.jsonc", &names), &[place, "did you mean \"hub\"?"]).await;
    let units = TEXT.replace("2s", "2 sec").replace("\"quota\"", "\"quotta\"");
    let parts = [
        "check-units.jsonc:5:63: services.tickets.timeout",
        "check-units.jsonc:9:56: services.sorting.timeout",
        "accounts.growers.quotta",
        "accounts.loaders.quotta",
    ];
    assert_faults(&write("check-units.jsonc", &units), &parts).await;
}

/// Checks that all faults are printed with their places, and these parts among them.
async fn assert_faults(file: &str, parts: &[&str]) {
    let ended = Program::new(&["check", file]).run().await.expect(3);
    let faults: Vec<Fault> = Program::new(&["check", file, "--json"]).run().await.expect(3).json();
    assert!(faults.len() >= 2, "{faults:#?}");
    for fault in &faults {
        ended.says(&[&format!("{file}:{}:{}: ", fault.place.line, fault.place.column)]);
    }
    ended.says(parts);
}

#[tokio::test]
async fn guarantees_that_do_not_fit() {
    let file = write("check-fleet.jsonc", TEXT);
    let fleet = |workers: u32| {
        serde_json::json!({ "zones": { "zone-a": {
            "racks": 1,
            "workers": workers,
            "worker": { "accelerators": 8, "millicores": 128_000, "memory_mib": 262_144 },
        } } })
    };
    let small = write("fleet-small.json", &fleet(3).to_string());
    let ended = Program::new(&["check", &file, "--fleet", &small]).run().await.expect(3);
    ended.says(&["accounts.loaders.guarantees[0]"]);
    let large = write("fleet-large.json", &fleet(4).to_string());
    Program::new(&["check", &file, "--fleet", &large]).run().await.expect(0);
    let broken = write("fleet-broken.json", "{\n  \"zones\": 7\n}");
    let ended = Program::new(&["check", &file, "--fleet", &broken]).run().await.expect(3);
    ended.warns(&["fleet-broken.json:2:"]);
}

#[tokio::test]
async fn missing_file() {
    let ended = Program::new(&["check", "/nonexistent/text.jsonc"]).run().await.expect(1);
    ended.warns(&["/nonexistent/text.jsonc cannot be read"]);
}

#[tokio::test]
async fn differences_of_files() {
    let old = write("diff-old.jsonc", TEXT);
    let new = write("diff-new.jsonc", &TEXT.replace("\"weight\": 2", "\"weight\": 5"));
    let ended = Program::new(&["diff", &old, &new]).run().await.expect(0);
    assert_eq!(ended.out, "~ accounts.growers.weight: 2 -> 5\n");
    let changes: Vec<Change> = Program::new(&["diff", &old, &new, "--json"]).run().await.json();
    assert_eq!(changes.len(), 1);
    let ended = Program::new(&["diff", &old, &old]).run().await.expect(0);
    ended.says(&["no change"]);
    let ended = Program::new(&["diff", &old, &new, "--color", "always"]).run().await.expect(0);
    ended.says(&["\u{1b}[33m~ accounts.growers.weight: 2 -> 5\u{1b}[0m"]);
}
