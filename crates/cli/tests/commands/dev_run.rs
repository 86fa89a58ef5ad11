//! A whole system in one process.

use crate::program::Program;

#[tokio::test]
async fn two_seconds() {
    let ended = Program::new(&["dev", "--for", "2s", "--quiet"]).run().await.expect(0);
    ended.says(&["All checks passed.", "duplicate executions: 0", "answers of another request: 0"]);
}
