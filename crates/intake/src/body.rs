//! Reads the body of a request within the limits.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

use crate::connection::Reason;
use crate::intake::Lease;

/// Size of the pieces in which a body is held while it arrives.
const PIECE_BYTES: usize = 8 << 10;

/// Reason for which a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is longer than allowed.
    TooLong,
    /// The connection broke, or the body is malformed.
    Broken,
    /// The intake ended the request.
    Refused(Reason),
}

/// Reads the body of a request whose bytes are counted by `lease`.
///
/// Its pieces are copied into one allocation: a piece holds on to the whole read buffer that it is
/// in, and tiny chunks would hold many times their length.
///
/// # Errors
///
/// See [`BodyError`].
pub async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    lease: &Lease,
) -> Result<Bytes, BodyError> {
    let announced = body.size_hint().exact();
    if announced.is_some_and(|bytes| bytes > max_bytes as u64) {
        return Err(BodyError::TooLong);
    }
    let mut whole = Pieces::default();
    loop {
        let mut frame = std::pin::pin!(body.frame());
        let next = poll_fn(|cx| {
            if let Some(reason) = lease.refusal() {
                return Poll::Ready(Err(BodyError::Refused(reason)));
            }
            let polled = Pin::new(&mut frame).poll(cx);
            if polled.is_pending() {
                lease.park(cx.waker());
            }
            polled.map(Ok)
        });
        let Some(frame) = next.await? else { return Ok(whole.join()) };
        let Ok(data) = frame.map_err(|_| BodyError::Broken)?.into_data() else { continue };
        if whole.length == 0 && announced == Some(data.len() as u64) {
            // The whole body in one piece, as short ones are.
            lease.grow(data.len()).map_err(BodyError::Refused)?;
            return Ok(data);
        }
        if whole.length + data.len() > max_bytes {
            return Err(BodyError::TooLong);
        }
        let missing = data.len().saturating_sub(whole.room()).div_ceil(PIECE_BYTES);
        if missing > 0 {
            lease.grow(missing * PIECE_BYTES).map_err(BodyError::Refused)?;
            lease.settled().await;
        }
        whole.push(&data);
    }
}

/// Bytes in pieces of one size. Blocks that double their size while many bodies grow would leave
/// gaps in the heap that no other block fits in.
#[derive(Default)]
struct Pieces {
    pieces: Vec<Vec<u8>>,
    length: usize,
}

impl Pieces {
    /// Number of bytes that fit without a new piece.
    fn room(&self) -> usize {
        self.pieces.len() * PIECE_BYTES - self.length
    }

    fn push(&mut self, mut data: &[u8]) {
        self.length += data.len();
        while !data.is_empty() {
            let last = match self.pieces.last_mut().filter(|last| last.len() < PIECE_BYTES) {
                Some(last) => last,
                None => self.pieces.push_mut(Vec::with_capacity(PIECE_BYTES)),
            };
            let (fitting, rest) = data.split_at(data.len().min(PIECE_BYTES - last.len()));
            last.extend_from_slice(fitting);
            data = rest;
        }
    }

    fn join(self) -> Bytes {
        Bytes::from(self.pieces.concat())
    }
}
