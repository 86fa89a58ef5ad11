//! Stands between the program and an entry VM and loses answers to writes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Size of the buffer of one direction, in bytes.
const BUFFER_LEN: usize = 64 << 10;

/// Loses the first answers to `PUT`, after they have been given.
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    target: SocketAddr,
    losses: usize,
    cut: AtomicUsize,
}

impl Relay {
    /// Starts one in front of `target` that loses this many answers.
    pub async fn start(target: SocketAddr, losses: usize) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(Shared { target, losses, cut: AtomicUsize::new(0) });
        let serving = shared.clone();
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                tokio::spawn(serving.clone().carry(caller));
            }
        });
        Relay { address, shared }
    }

    /// Where it listens.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Answers that were lost.
    pub fn cut(&self) -> usize {
        self.shared.cut.load(Ordering::SeqCst)
    }
}

impl Shared {
    async fn carry(self: Arc<Shared>, caller: TcpStream) {
        let Ok(server) = TcpStream::connect(self.target).await else { return };
        let (mut from_caller, mut to_caller) = caller.into_split();
        let (mut from_server, mut to_server) = server.into_split();
        let writes = AtomicBool::new(false);
        let forth = async {
            let mut buffer = vec![0; BUFFER_LEN];
            while let Ok(length @ 1..) = from_caller.read(&mut buffer).await {
                if buffer[..length].starts_with(b"PUT ") {
                    writes.store(true, Ordering::SeqCst);
                }
                if to_server.write_all(&buffer[..length]).await.is_err() {
                    break;
                }
            }
        };
        let back = async {
            let mut buffer = vec![0; BUFFER_LEN];
            while let Ok(length @ 1..) = from_server.read(&mut buffer).await {
                if writes.load(Ordering::SeqCst) && self.loses() {
                    break;
                }
                if to_caller.write_all(&buffer[..length]).await.is_err() {
                    break;
                }
            }
        };
        tokio::select! {
            () = forth => {}
            () = back => {}
        }
    }

    fn loses(&self) -> bool {
        let counted = self.cut.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |cut| {
            (cut < self.losses).then_some(cut + 1)
        });
        counted.is_ok()
    }
}
