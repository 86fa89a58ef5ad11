//! Stands in for an entry VM with answers that are written down, for what is rare in a real one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use serde_json::Value;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::program::Program;

/// Longest head of a call, in bytes.
const HEAD_LEN: usize = 16 << 10;

/// One answer.
#[derive(Clone)]
pub struct Answer {
    /// Start of the request line, such as `GET /v1/text`.
    pub call: &'static str,
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: String,
}

impl Answer {
    /// A JSON answer with status 200.
    pub fn new(call: &'static str, body: &Value) -> Answer {
        Answer { call, status: 200, body: body.to_string() }
    }
}

/// An entry VM that gives written answers.
pub struct Script {
    address: SocketAddr,
}

/// Answers that are left. Those to the same call are given in turn, the last one again and again.
type Answers = Arc<Mutex<Vec<Answer>>>;

impl Script {
    /// Starts one; a call without an answer has its connection closed.
    pub async fn start(answers: Vec<Answer>) -> Script {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let answers: Answers = Arc::new(Mutex::new(answers));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, answers.clone()));
            }
        });
        Script { address }
    }

    /// The program as an operator of this entry VM runs it.
    pub fn program(&self, args: &[&str]) -> Program {
        Program::new(args).env("BASILRACK_URL", &format!("http://{}", self.address))
    }
}

fn take(answers: &Answers, head: &str) -> Option<Answer> {
    let mut answers = answers.lock().unwrap();
    let matches = |answer: &&Answer| head.starts_with(answer.call);
    let first = answers.iter().position(|answer| matches(&answer))?;
    let more = answers.iter().filter(matches).count() > 1;
    Some(if more { answers.remove(first) } else { answers[first].clone() })
}

async fn serve(mut stream: TcpStream, answers: Answers) {
    let mut head = vec![0; HEAD_LEN];
    let length = stream.read(&mut head).await.unwrap_or(0);
    let head = String::from_utf8_lossy(&head[..length]).into_owned();
    let Some(Answer { status, body, .. }) = take(&answers, &head) else { return };
    let length = body.len();
    let text = format!(
        "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\
         connection: close\r\n\r\n{body}"
    );
    // The program may have gone away.
    let _ = stream.write_all(text.as_bytes()).await;
    let _ = stream.shutdown().await;
}
