//! Choice of the entry VM and of the operator token.

use tokio::net::TcpSocket;

use crate::program::Program;
use crate::program::write;
use crate::stage::CONFIG;
use crate::stage::TOKEN;
use crate::stage::TestCluster;

/// A port that is bound but not listened on, so that connections are refused.
struct UnusedPort(TcpSocket);

impl UnusedPort {
    fn new() -> UnusedPort {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        UnusedPort(socket)
    }

    fn url(&self) -> String {
        format!("http://{}", self.0.local_addr().unwrap())
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_token() {
    let cluster = TestCluster::configured("wrong-token", 1).await;
    let url = cluster.url(0);
    let file = write("wrong-token.jsonc", CONFIG);
    for args in [vec!["status"], vec!["text"], vec!["burn"], vec!["history"], vec!["apply", &file]]
    {
        for token in ["wrong", ""] {
            let program = Program::new(&args).args(["--url", &url, "--token", token]);
            let output = program.run().await.expect_code(1);
            output.assert_stderr(&["does not accept the operator token", "--token-file"]);
            assert_eq!(output.stdout, "", "{output:#?}");
        }
    }
    assert_eq!(cluster.history().await.entries.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn token_file() {
    let cluster = TestCluster::configured("token-file", 1).await;
    let path = write("token-file.txt", &format!("{TOKEN}\n"));
    let status = || Program::new(&["status", "--token-file", &path, "--url", &cluster.url(0)]);
    status().run().await.expect_code(0);
    status().env("BASILRACK_TOKEN", "wrong").run().await.expect_code(0);
    let output =
        cluster.program(&["status", "--token-file", "/nonexistent"]).run().await.expect_code(1);
    output.assert_stderr(&["/nonexistent cannot be read"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn urls_in_turn() {
    let cluster = TestCluster::configured("urls", 1).await;
    let socket = UnusedPort::new();
    let (unused, url) = (socket.url(), cluster.url(0));
    let both = format!("{unused},{url}");
    cluster.program_at(&both, &["status"]).run().await.expect_code(0);
    let file = write("urls.jsonc", &CONFIG.replace("\"weight\": 2", "\"weight\": 5"));
    cluster.program_at(&both, &["apply", &file]).run().await.expect_code(0);
    let twice = Program::new(&["status", "--url", &unused, "--url", &url, "--token", TOKEN]);
    twice.run().await.expect_code(0);
    let output = cluster.program_at(&unused, &["status"]).run().await.expect_code(1);
    output.assert_stderr(&["cannot connect to", "--url"]);
    let output = cluster.program_at("entry.example:80/x", &["status"]).run().await.expect_code(1);
    output.assert_stderr(&["is not the address of an entry VM"]);
}
