//! A stream that counts the bytes that pass it.
//!
//! The count of written bytes rises when the kernel takes bytes, not when they are buffered in the
//! process. A count that has not risen therefore proves that the other side has seen nothing.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Bytes that passed a stream.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    read: AtomicU64,
    written: AtomicU64,
}

impl Traffic {
    /// Bytes read so far.
    pub(crate) fn read(&self) -> u64 {
        self.read.load(Ordering::Relaxed)
    }

    /// Bytes written so far.
    pub(crate) fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }
}

/// A stream and the count of its bytes.
#[derive(Debug)]
pub(crate) struct Counted<S> {
    inner: S,
    traffic: Arc<Traffic>,
}

impl<S> Counted<S> {
    /// Counts the bytes of `inner`.
    pub(crate) fn new(inner: S) -> Counted<S> {
        Counted { inner, traffic: Arc::new(Traffic::default()) }
    }

    /// The count, which outlives the stream.
    pub(crate) fn traffic(&self) -> Arc<Traffic> {
        Arc::clone(&self.traffic)
    }

    fn count_written(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(len)) = &result {
            self.traffic.written.fetch_add(*len as u64, Ordering::Relaxed);
        }
        result
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Counted<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.inner).poll_read(cx, buf);
        let len = buf.filled().len() - before;
        self.traffic.read.fetch_add(len as u64, Ordering::Relaxed);
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Counted<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.count_written(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.count_written(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
