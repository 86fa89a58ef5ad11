//! A socket that reports what it transfers, and the kernel's buffers of a listener.

use std::io;
use std::net::TcpListener;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use rustix::net::RecvFlags;
use rustix::net::SendFlags;
use rustix::net::recv;
use rustix::net::send;
use rustix::net::sockopt::set_socket_recv_buffer_size;
use rustix::net::sockopt::set_socket_send_buffer_size;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::connection::Reason;
use crate::intake::Lease;
use crate::limits::RECEIVE_BYTES;

/// Send buffer of a connection, in bytes. Answers to callers are shorter.
const SEND_BYTES: usize = 16 << 10;
/// Bytes that are read from a connection before it is refused: an ordinary head and its body.
const DISCARDED_BYTES: usize = 4 << 10;
/// Answer to a connection that cannot be registered.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
    content-length: 0\r\nconnection: close\r\n\r\n";

/// Limits the kernel's buffers of the connections of a listener: bytes that nobody has read yet
/// count as memory of the VM.
///
/// # Errors
///
/// The kernel refuses the sizes.
pub fn shrink_buffers(listener: &TcpListener) -> io::Result<()> {
    set_socket_recv_buffer_size(listener, RECEIVE_BYTES)?;
    set_socket_send_buffer_size(listener, SEND_BYTES)?;
    Ok(())
}

/// Answers a connection that cannot be registered, if its buffer takes the answer at once.
pub fn refuse(stream: &TcpStream) {
    discard(stream);
    // Sent without the runtime, which does not know yet that a new connection is writable. A client
    // that does not get the answer sees the connection closed.
    let _ = send(stream, REFUSAL, SendFlags::DONTWAIT | SendFlags::NOSIGNAL);
}

/// Discards an ordinary request that has arrived, and returns whether there was one. Unread bytes
/// would reset the connection when it is closed, and its client would lose the answer.
fn discard(stream: &TcpStream) -> bool {
    let mut discarded = [0; DISCARDED_BYTES];
    let received = recv(stream, &mut discarded, RecvFlags::DONTWAIT);
    received.is_ok_and(|(bytes, _)| bytes > 0)
}

/// A connection of a client, registered with an intake.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    lease: Rc<Lease>,
}

impl Socket {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream, lease: Rc<Lease>) -> Socket {
        Socket { stream, lease }
    }

    fn check(&self) -> io::Result<()> {
        self.lease.closing().map_or(Ok(()), |reason| Err(closed(reason)))
    }

    /// Refuses a request that has arrived on a connection that is to be closed. Without an answer, its
    /// caller could not know that nothing has run.
    fn refuse_arrived(&self) {
        if self.lease.is_unread() && discard(&self.stream) {
            refuse(&self.stream);
        }
    }

    /// Records the outcome of a write.
    fn wrote<T>(&self, cx: &Context<'_>, outcome: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        match outcome {
            Poll::Pending => self.lease.park(cx.waker()),
            Poll::Ready(_) => self.lease.wrote(),
        }
        outcome
    }
}

fn closed(reason: Reason) -> io::Error {
    let name: &'static str = reason.into();
    io::Error::new(io::ErrorKind::ConnectionAborted, name)
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(reason) = self.lease.closing() {
            self.refuse_arrived();
            return Poll::Ready(Err(closed(reason)));
        }
        let before = buf.filled().len();
        let outcome = Pin::new(&mut self.stream).poll_read(cx, buf);
        if outcome.is_pending() {
            self.lease.park(cx.waker());
        }
        ready!(outcome)?;
        let bytes = buf.filled().len() - before;
        if bytes > 0 {
            self.lease.received(bytes).map_err(closed)?;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        let outcome = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.wrote(cx, outcome)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        let outcome = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.wrote(cx, outcome)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.lease.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
