//! TCP proxy between the program and an entry VM that drops responses to writes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Size of the buffer for one direction, in bytes.
const BUFFER_LEN: usize = 64 << 10;

/// Drops the first responses to `PUT` after the entry VM has sent them, by closing the connection.
pub struct LossyProxy {
    address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    target: SocketAddr,
    max_drops: usize,
    dropped: AtomicUsize,
}

impl LossyProxy {
    /// Starts a proxy in front of `target` that drops up to `max_drops` responses.
    pub async fn start(target: SocketAddr, max_drops: usize) -> LossyProxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(Shared { target, max_drops, dropped: AtomicUsize::new(0) });
        let forwarding = shared.clone();
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                tokio::spawn(forwarding.clone().forward(caller));
            }
        });
        LossyProxy { address, shared }
    }

    /// URL at which the proxy listens.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Number of dropped responses.
    pub fn dropped(&self) -> usize {
        self.shared.dropped.load(Ordering::SeqCst)
    }
}

impl Shared {
    async fn forward(self: Arc<Shared>, caller: TcpStream) {
        let Ok(server) = TcpStream::connect(self.target).await else { return };
        let (mut from_caller, mut to_caller) = caller.into_split();
        let (mut from_server, mut to_server) = server.into_split();
        let is_write = AtomicBool::new(false);
        let upstream = async {
            let mut buffer = vec![0; BUFFER_LEN];
            while let Ok(length @ 1..) = from_caller.read(&mut buffer).await {
                if buffer[..length].starts_with(b"PUT ") {
                    is_write.store(true, Ordering::SeqCst);
                }
                if to_server.write_all(&buffer[..length]).await.is_err() {
                    break;
                }
            }
        };
        let downstream = async {
            let mut buffer = vec![0; BUFFER_LEN];
            while let Ok(length @ 1..) = from_server.read(&mut buffer).await {
                if is_write.load(Ordering::SeqCst) && self.take_drop() {
                    break;
                }
                if to_caller.write_all(&buffer[..length]).await.is_err() {
                    break;
                }
            }
        };
        tokio::select! {
            () = upstream => {}
            () = downstream => {}
        }
    }

    fn take_drop(&self) -> bool {
        let taken = self.dropped.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |dropped| {
            (dropped < self.max_drops).then_some(dropped + 1)
        });
        taken.is_ok()
    }
}
