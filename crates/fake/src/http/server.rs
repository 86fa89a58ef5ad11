//! A listener and its connections.

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

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// Wait before the port is taken again, should the system not have freed it yet.
const REBIND_PAUSE: Duration = Duration::from_millis(1);

/// Ends the connection instead of answering.
#[derive(Clone, Copy, Debug, Error)]
#[error("the stand-in hangs up")]
pub(crate) struct Hangup;

/// Answers requests.
pub(crate) trait Handler: Clone + Send + Sync + 'static {
    /// Answers one request, or ends its connection.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<Body>, Hangup>> + Send;
}

/// Where a stand-in listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Address(pub SocketAddr);

impl Address {
    /// The address as an `http` URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.0)
    }
}

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A listener that answers until it is dropped.
#[derive(Debug)]
pub(crate) struct Server {
    address: Address,
    control: watch::Sender<Control>,
    mark: Arc<AtomicU64>,
    accepted: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Server {
    /// Listens on a free loopback port, for at most `limit` connections at once.
    pub(crate) fn start<H: Handler>(handler: H, limit: Option<usize>) -> io::Result<Server> {
        let socket = bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let address = Address(socket.local_addr()?);
        let listener = socket.listen(BACKLOG)?;
        let (control, orders) = watch::channel(Control::default());
        let mark = Arc::new(AtomicU64::new(0));
        let accepted = Arc::new(AtomicU64::new(0));
        let acceptor = Acceptor {
            address: address.0,
            handler,
            mark: mark.clone(),
            accepted: accepted.clone(),
            open: JoinSet::new(),
            limit,
        };
        let task = tokio::spawn(acceptor.run(listener, orders));
        Ok(Server { address, control, mark, accepted, task })
    }

    pub(crate) fn address(&self) -> Address {
        self.address
    }

    /// Refuses connections and ends those that are open, or accepts again.
    pub(crate) fn set_accepting(&self, up: bool) {
        self.control.send_if_modified(|control| std::mem::replace(&mut control.down, !up) == up);
    }

    /// Ends every open connection.
    pub(crate) fn drop_connections(&self) {
        self.control.send_modify(|control| control.drops += 1);
    }

    /// Lets every open connection go silent for good. New ones work.
    pub(crate) fn silence(&self) {
        self.mark.store(self.accepted.load(Ordering::Relaxed), Ordering::Relaxed);
    }

    /// Connections accepted so far.
    pub(crate) fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }
}

/// What the listener is told.
#[derive(Clone, Copy, Debug, Default)]
struct Control {
    /// Connections are refused.
    down: bool,
    /// Times that all connections were ended.
    drops: u64,
}

struct Acceptor<H> {
    address: SocketAddr,
    handler: H,
    mark: Arc<AtomicU64>,
    accepted: Arc<AtomicU64>,
    open: JoinSet<()>,
    limit: Option<usize>,
}

impl<H: Handler> Acceptor<H> {
    async fn run(mut self, listener: TcpListener, mut orders: watch::Receiver<Control>) {
        let mut listener = Some(listener);
        loop {
            while self.open.try_join_next().is_some() {}
            tokio::select! {
                accepted = accept(listener.as_ref()) => {
                    if let Ok((stream, _)) = accepted {
                        self.serve(stream);
                    }
                    continue;
                }
                changed = orders.changed() => if changed.is_err() { return },
            }
            self.open.abort_all();
            if orders.borrow_and_update().down {
                drop(listener.take());
                listener = self.reserve(&mut orders).await;
            }
        }
    }

    /// Holds the port without listening, so that connections are refused, until told to go on.
    async fn reserve(&self, orders: &mut watch::Receiver<Control>) -> Option<TcpListener> {
        let socket = loop {
            match bind(self.address) {
                Ok(socket) => break socket,
                Err(_) => sleep(REBIND_PAUSE).await,
            }
        };
        orders.wait_for(|control| !control.down).await.ok()?;
        socket.listen(BACKLOG).ok()
    }

    fn serve(&mut self, stream: TcpStream) {
        if self.limit.is_some_and(|limit| self.open.len() >= limit) {
            return;
        }
        // Without it answers are merely later.
        let _ = stream.set_nodelay(true);
        let number = self.accepted.fetch_add(1, Ordering::Relaxed);
        let link = Link { stream, number, mark: self.mark.clone() };
        let handler = self.handler.clone();
        let service = service_fn(move |request| {
            let handler = handler.clone();
            async move { handler.handle(request).await }
        });
        let connection = http1::Builder::new()
            .half_close(false)
            .pipeline_flush(true)
            .serve_connection(TokioIo::new(link), service);
        self.open.spawn(async move {
            // A connection that ends badly is what its other end sees; there is nothing to add.
            let _ = connection.await;
        });
    }
}

/// Accepts a connection; never returns without a listener.
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
