//! Which entry VM is asked, and with which token.

use tokio::net::TcpSocket;

use crate::program::Program;
use crate::program::write;
use crate::stage::Stage;
use crate::stage::TEXT;
use crate::stage::TOKEN;

/// A port that is taken, and on which nothing listens.
struct Unused(TcpSocket);

impl Unused {
    fn new() -> Unused {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        Unused(socket)
    }

    fn url(&self) -> String {
        format!("http://{}", self.0.local_addr().unwrap())
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_token() {
    let stage = Stage::configured("wrong-token", 1).await;
    let url = stage.url(0);
    let file = write("wrong-token.jsonc", TEXT);
    for args in [vec!["status"], vec!["text"], vec!["burn"], vec!["history"], vec!["apply", &file]]
    {
        for token in ["wrong", ""] {
            let program = Program::new(&args).args(["--url", &url, "--token", token]);
            let ended = program.run().await.expect(1);
            ended.warns(&["does not accept the operator token", "--token-file"]);
            assert_eq!(ended.out, "", "{ended:#?}");
        }
    }
    assert_eq!(stage.history().await.entries.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn token_file() {
    let stage = Stage::configured("token-file", 1).await;
    let path = write("token-file.txt", &format!("{TOKEN}\n"));
    let status = || Program::new(&["status", "--token-file", &path, "--url", &stage.url(0)]);
    status().run().await.expect(0);
    status().env("BASILRACK_TOKEN", "wrong").run().await.expect(0);
    let ended = stage.program(&["status", "--token-file", "/nonexistent"]).run().await.expect(1);
    ended.warns(&["/nonexistent cannot be read"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn urls_in_turn() {
    let stage = Stage::configured("urls", 1).await;
    let socket = Unused::new();
    let (unused, url) = (socket.url(), stage.url(0));
    let both = format!("{unused},{url}");
    stage.program_at(&both, &["status"]).run().await.expect(0);
    let file = write("urls.jsonc", &TEXT.replace("\"weight\": 2", "\"weight\": 5"));
    stage.program_at(&both, &["apply", &file]).run().await.expect(0);
    let twice = Program::new(&["status", "--url", &unused, "--url", &url, "--token", TOKEN]);
    twice.run().await.expect(0);
    let ended = stage.program_at(&unused, &["status"]).run().await.expect(1);
    ended.warns(&["cannot connect to", "--url"]);
    let ended = stage.program_at("entry.example:80/x", &["status"]).run().await.expect(1);
    ended.warns(&["is not the address of an entry VM"]);
}
