//! HTTP server that gives scripted responses in place of an entry VM, for responses that a real one
//! rarely gives.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use serde_json::Value;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::program::Program;

/// Maximum number of bytes read from a call.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// A scripted response.
#[derive(Clone)]
pub struct Answer {
    /// Prefix of the request line that it responds to, such as `GET /v1/text`.
    pub call: &'static str,
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: String,
}

impl Answer {
    /// A JSON response with status 200.
    pub fn new(call: &'static str, body: &Value) -> Answer {
        Answer { call, status: 200, body: body.to_string() }
    }
}

/// Server that gives scripted responses.
pub struct ScriptedServer {
    address: SocketAddr,
}

/// Remaining responses. Those to the same call are given in order, and the last one repeatedly.
type Answers = Arc<Mutex<Vec<Answer>>>;

impl ScriptedServer {
    /// Starts a server; the connection of a call without a scripted response is closed.
    pub async fn start(answers: Vec<Answer>) -> ScriptedServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let answers: Answers = Arc::new(Mutex::new(answers));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, answers.clone()));
            }
        });
        ScriptedServer { address }
    }

    /// The program with the URL of this server.
    pub fn program(&self, args: &[&str]) -> Program {
        Program::new(args).env("BASILRACK_URL", &format!("http://{}", self.address))
    }
}

fn next_answer(answers: &Answers, head: &str) -> Option<Answer> {
    let mut answers = answers.lock().unwrap();
    let matches = |answer: &&Answer| head.starts_with(answer.call);
    let first = answers.iter().position(|answer| matches(&answer))?;
    let has_more = answers.iter().filter(matches).count() > 1;
    Some(if has_more { answers.remove(first) } else { answers[first].clone() })
}

async fn serve(mut stream: TcpStream, answers: Answers) {
    let mut head = vec![0; MAX_HEAD_BYTES];
    let length = stream.read(&mut head).await.unwrap_or(0);
    let head = String::from_utf8_lossy(&head[..length]).into_owned();
    let Some(Answer { status, body, .. }) = next_answer(&answers, &head) else { return };
    let length = body.len();
    let text = format!(
        "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\
         connection: close\r\n\r\n{body}"
    );
    // The program may already have closed the connection.
    let _ = stream.write_all(text.as_bytes()).await;
    let _ = stream.shutdown().await;
}
