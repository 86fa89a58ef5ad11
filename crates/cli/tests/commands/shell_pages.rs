//! Completions, manual pages and help.

use std::path::PathBuf;

use crate::program::Program;

#[tokio::test]
async fn completions() {
    for shell in ["bash", "zsh", "fish", "elvish", "powershell"] {
        let ended = Program::new(&["completions", shell]).run().await.expect(0);
        ended.says(&["basilrack", "explain", "history", "token-file"]);
    }
    Program::new(&["completions", "tcl"]).run().await.expect(2);
}

#[tokio::test]
async fn manual_pages() {
    let ended = Program::new(&["man"]).run().await.expect(0);
    ended.says(&[".TH basilrack 1", "BASILRACK_URL", "Exit codes"]);
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("man");
    std::fs::create_dir_all(&folder).unwrap();
    Program::new(&["man", "--dir"]).args([&folder]).run().await.expect(0);
    let page = std::fs::read_to_string(folder.join("basilrack-apply.1")).unwrap();
    assert!(page.contains("expect"), "{page}");
}

#[tokio::test]
async fn exit_codes_in_help() {
    let ended = Program::new(&["--help"]).run().await.expect(0);
    ended.says(&[
        "Exit codes:",
        "3  the configuration or another input file has faults",
        "4  another change was stored first",
    ]);
    for command in ["apply", "jobs", "status"] {
        Program::new(&[command, "--help"]).run().await.expect(0).says(&["--url", "--color"]);
    }
    let ended = Program::new(&["status"]).env("BASILRACK_TOKEN", "a-secret").args(["--help"]);
    let ended = ended.run().await.expect(0);
    assert!(!ended.out.contains("a-secret"), "{ended:#?}");
    Program::new(&["nothing"]).run().await.expect(2);
    Program::new(&["jobs", "submit"]).run().await.expect(2);
}
