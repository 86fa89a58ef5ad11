//! `dev`: a complete system in one process.

use crate::program::Program;

#[tokio::test]
async fn two_seconds() {
    let output = Program::new(&["dev", "--for", "2s", "--quiet"]).run().await.expect_code(0);
    output.assert_stdout(&[
        "All checks passed.",
        "duplicate executions: 0",
        "answers of another request: 0",
    ]);
}
