//! `trace` on log files, without an entry VM.

use crate::program::Program;
use crate::program::write;

fn record(time: &str, message: &str, job: &str) -> String {
    format!(
        r#"{{"timestamp":"2026-12-04T10:00:{time}+00:00","message":"{message}","kvs":{{"job":"{job}","age_ms":7}}}}"#
    )
}

#[tokio::test]
async fn lines_in_order() {
    let first = [
        record("01.0", "answer", "aa"),
        "not a record of aa".to_owned(),
        record("04.0", "ends", "aa"),
        record("04.5", "ends", "bb"),
    ];
    // The clock of the second VM jumps back between its second and third record.
    let second = [
        record("02.0", "placed", "aa"),
        record("03.0", "waits", "bb"),
        record("01.5", "gives_up", "aa"),
    ];
    let first = write("trace-entry-1.log", &first.join("\n"));
    let second = write("trace-entry-2.log", &second.join("\n"));
    let output = Program::new(&["trace", "aa", &first, &second]).run().await.expect_code(0);
    let words = |line: &str| line.split_whitespace().nth(2).unwrap_or_default().to_owned();
    let order: Vec<String> = output.stdout.lines().map(words).collect();
    assert_eq!(order, ["answer", "placed", "gives_up", "ends"]);
    output.assert_stdout(&["trace-entry-2 placed age_ms=7 job=aa"]);
}

#[tokio::test]
async fn unknown_id() {
    let log = write("trace-none.log", &record("01.0", "answer", "aa"));
    Program::new(&["trace", "cc", &log]).run().await.expect_code(1);
}
