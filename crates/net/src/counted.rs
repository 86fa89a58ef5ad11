//! A wrapper that counts the bytes read from and written to a stream.
//!
//! Written bytes are counted when the kernel accepts them, not when they are buffered in this
//! process. An unchanged count therefore proves that the other side has received nothing.

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

/// Counters of the bytes read from and written to a stream.
#[derive(Debug, Default)]
pub(crate) struct ByteCounters {
    read: AtomicU64,
    written: AtomicU64,
}

impl ByteCounters {
    /// Returns the number of bytes read so far.
    pub(crate) fn read(&self) -> u64 {
        self.read.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes that the kernel has accepted so far.
    pub(crate) fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }
}

/// A stream that counts its bytes.
#[derive(Debug)]
pub(crate) struct CountingStream<S> {
    inner: S,
    counters: Arc<ByteCounters>,
}

impl<S> CountingStream<S> {
    /// Wraps `inner` with new counters.
    pub(crate) fn new(inner: S) -> CountingStream<S> {
        CountingStream { inner, counters: Arc::new(ByteCounters::default()) }
    }

    /// Returns the counters, which can outlive the stream.
    pub(crate) fn counters(&self) -> Arc<ByteCounters> {
        Arc::clone(&self.counters)
    }

    fn count_written(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(len)) = &result {
            self.counters.written.fetch_add(*len as u64, Ordering::Relaxed);
        }
        result
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.inner).poll_read(cx, buf);
        let len = buf.filled().len() - before;
        self.counters.read.fetch_add(len as u64, Ordering::Relaxed);
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountingStream<S> {
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
