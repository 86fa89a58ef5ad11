//! `completions`, `man` and help texts.

use std::path::PathBuf;

use crate::program::Program;

#[tokio::test]
async fn completions() {
    for shell in ["bash", "zsh", "fish", "elvish", "powershell"] {
        let output = Program::new(&["completions", shell]).run().await.expect_code(0);
        output.assert_stdout(&["basilrack", "explain", "history", "token-file"]);
    }
    Program::new(&["completions", "tcl"]).run().await.expect_code(2);
}

#[tokio::test]
async fn manual_pages() {
    let output = Program::new(&["man"]).run().await.expect_code(0);
    output.assert_stdout(&[".TH basilrack 1", "BASILRACK_URL", "Exit codes"]);
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("man");
    std::fs::create_dir_all(&folder).unwrap();
    Program::new(&["man", "--dir"]).args([&folder]).run().await.expect_code(0);
    let page = std::fs::read_to_string(folder.join("basilrack-apply.1")).unwrap();
    assert!(page.contains("expect"), "{page}");
}

#[tokio::test]
async fn exit_codes_in_help() {
    let output = Program::new(&["--help"]).run().await.expect_code(0);
    output.assert_stdout(&[
        "Exit codes:",
        "3  the configuration or another input file has faults",
        "4  another change was stored first",
    ]);
    for command in ["apply", "jobs", "status"] {
        Program::new(&[command, "--help"])
            .run()
            .await
            .expect_code(0)
            .assert_stdout(&["--url", "--color"]);
    }
    let output = Program::new(&["status"]).env("BASILRACK_TOKEN", "a-secret").args(["--help"]);
    let output = output.run().await.expect_code(0);
    assert!(!output.stdout.contains("a-secret"), "{output:#?}");
    Program::new(&["nothing"]).run().await.expect_code(2);
    Program::new(&["jobs", "submit"]).run().await.expect_code(2);
}
