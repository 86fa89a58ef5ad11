//! Loopback HTTP/1 listener that can refuse, drop and silence connections.

use std::fmt;
use std::future::Future;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::http::Body;
use crate::http::link::Link;

/// Length of the listener's accept queue.
const ACCEPT_BACKLOG: u32 = 1024;

/// Delay before binding the port is retried while the system has not released it yet.
const REBIND_DELAY: Duration = Duration::from_millis(1);

/// Error that makes the server close the connection instead of answering.
#[derive(Clone, Copy, Debug, Error)]
#[error("simulated service closed the connection")]
pub(crate) struct CloseConnection;

/// Request handler of a simulated service.
pub(crate) trait Handler: Clone + Send + Sync + 'static {
    /// Answers one request, or closes its connection.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<Body>, CloseConnection>> + Send;
}

/// Address on which a simulated service listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Address(pub SocketAddr);

impl Address {
    /// Returns the address as an `http` URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.0)
    }
}

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// An HTTP server that runs until it is dropped.
#[derive(Debug)]
pub(crate) struct Server {
    address: Address,
    control: watch::Sender<Control>,
    silent_below: Arc<AtomicU64>,
    accepted: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Server {
    /// Listens on a free loopback port.
    ///
    /// At most `limit` connections are open at once; further ones are closed when accepted.
    pub(crate) fn start<H: Handler>(handler: H, limit: Option<usize>) -> io::Result<Server> {
        let socket = bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let address = Address(socket.local_addr()?);
        let listener = socket.listen(ACCEPT_BACKLOG)?;
        let (control, control_changes) = watch::channel(Control::default());
        let silent_below = Arc::new(AtomicU64::new(0));
        let accepted = Arc::new(AtomicU64::new(0));
        let acceptor = Acceptor {
            address: address.0,
            handler,
            silent_below: silent_below.clone(),
            accepted: accepted.clone(),
            connections: JoinSet::new(),
            limit,
        };
        let task = tokio::spawn(acceptor.run(listener, control_changes));
        Ok(Server { address, control, silent_below, accepted, task })
    }

    pub(crate) fn address(&self) -> Address {
        self.address
    }

    /// Accepts connections, or refuses them and closes those that are open.
    pub(crate) fn set_accepting(&self, accepting: bool) {
        self.control.send_if_modified(|control| {
            std::mem::replace(&mut control.down, !accepting) == accepting
        });
    }

    /// Closes all open connections.
    pub(crate) fn drop_connections(&self) {
        self.control.send_modify(|control| control.drops += 1);
    }

    /// Stalls all open connections permanently without closing them. New connections work.
    pub(crate) fn silence(&self) {
        self.silent_below.store(self.accepted.load(Ordering::Relaxed), Ordering::Relaxed);
    }

    /// Returns the number of connections accepted so far.
    pub(crate) fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }
}

/// Desired state of the listener.
#[derive(Clone, Copy, Debug, Default)]
struct Control {
    /// Whether connections are refused.
    down: bool,
    /// Number of times that all connections were closed.
    drops: u64,
}

struct Acceptor<H> {
    address: SocketAddr,
    handler: H,
    silent_below: Arc<AtomicU64>,
    accepted: Arc<AtomicU64>,
    connections: JoinSet<()>,
    limit: Option<usize>,
}

impl<H: Handler> Acceptor<H> {
    async fn run(mut self, listener: TcpListener, mut control_changes: watch::Receiver<Control>) {
        let mut listener = Some(listener);
        loop {
            while self.connections.try_join_next().is_some() {}
            tokio::select! {
                accepted = accept(listener.as_ref()) => {
                    if let Ok((stream, _)) = accepted {
                        self.serve(stream);
                    }
                    continue;
                }
                changed = control_changes.changed() => if changed.is_err() { return },
            }
            self.connections.abort_all();
            if control_changes.borrow_and_update().down {
                drop(listener.take());
                listener = self.hold_port(&mut control_changes).await;
            }
        }
    }

    /// Binds the port without listening, so that connections are refused, until `down` is cleared.
    async fn hold_port(
        &self,
        control_changes: &mut watch::Receiver<Control>,
    ) -> Option<TcpListener> {
        let socket = loop {
            match bind(self.address) {
                Ok(socket) => break socket,
                Err(_) => sleep(REBIND_DELAY).await,
            }
        };
        control_changes.wait_for(|control| !control.down).await.ok()?;
        socket.listen(ACCEPT_BACKLOG).ok()
    }

    fn serve(&mut self, stream: TcpStream) {
        if self.limit.is_some_and(|limit| self.connections.len() >= limit) {
            return;
        }
        // Best effort: without TCP_NODELAY answers only arrive later.
        let _ = stream.set_nodelay(true);
        let number = self.accepted.fetch_add(1, Ordering::Relaxed);
        let link = Link { stream, number, silent_below: self.silent_below.clone() };
        let handler = self.handler.clone();
        let service = service_fn(move |request| {
            let handler = handler.clone();
            async move { handler.handle(request).await }
        });
        let connection = http1::Builder::new()
            .half_close(false)
            .pipeline_flush(true)
            .serve_connection(TokioIo::new(link), service);
        self.connections.spawn(async move {
            // The peer sees connection errors itself; the server has no use for them.
            let _ = connection.await;
        });
    }
}

/// Accepts a connection; stays pending while there is no listener.
async fn accept(listener: Option<&TcpListener>) -> io::Result<(TcpStream, SocketAddr)> {
    match listener {
        Some(listener) => listener.accept().await,
        None => std::future::pending().await,
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}
