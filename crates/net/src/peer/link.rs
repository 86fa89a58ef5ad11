//! One open connection: reads, writes and heartbeats until it ends.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::stream::SplitSink;
use futures_util::stream::SplitStream;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Error as WsError;
use tokio_tungstenite::tungstenite::Message;

use crate::peer::Config;
use crate::peer::Heartbeat;
use crate::peer::HeartbeatAction;
use crate::peer::Reason;
use crate::peer::Side;
use crate::peer::handshake::Socket;
use crate::peer::handshake::close_frame;
use crate::peer::handshake::close_reason;
use crate::peer::handshake::ws_reason;
use crate::peer::hub::Note;
use crate::peer::shared::Shared;
use wire::Frame;
use wire::Subsystem;

/// Heartbeats that may wait to be written.
const CONTROL_FRAMES: usize = 4;
/// Bytes that are written before heartbeats get their turn.
const BATCH_LEN: usize = 32 << 10;
/// Limit on writing a close frame.
const CLOSE_TIME: Duration = Duration::from_millis(200);

/// Limit on waiting for the peer to read what was sent before a close.
const LINGER_TIME: Duration = Duration::from_millis(1_000);

/// Frames that wait to be written on one link.
#[derive(Debug)]
pub(super) struct Outbox {
    frames: mpsc::Sender<Bytes>,
    waiting: Arc<AtomicUsize>,
    limit: usize,
}

/// Reading end of an [`Outbox`].
#[derive(Debug)]
pub(super) struct Queue {
    frames: mpsc::Receiver<Bytes>,
    waiting: Arc<AtomicUsize>,
}

impl Outbox {
    /// An empty outbox with the limits of `config`.
    pub(super) fn new(config: &Config) -> (Outbox, Queue) {
        let (sender, receiver) = mpsc::channel(config.queue_frames);
        let waiting = Arc::new(AtomicUsize::new(0));
        let queue = Queue { frames: receiver, waiting: Arc::clone(&waiting) };
        (Outbox { frames: sender, waiting, limit: config.queue_bytes }, queue)
    }

    /// Queues a frame, unless the queue is full or the link has ended.
    pub(super) fn push(&self, frame: Bytes) -> Result<(), PushError> {
        let len = frame.len();
        if self.waiting.fetch_add(len, Ordering::Relaxed) + len > self.limit {
            self.waiting.fetch_sub(len, Ordering::Relaxed);
            return Err(PushError::Full);
        }
        self.frames.try_send(frame).map_err(|error| {
            self.waiting.fetch_sub(len, Ordering::Relaxed);
            match error {
                mpsc::error::TrySendError::Full(_) => PushError::Full,
                mpsc::error::TrySendError::Closed(_) => PushError::Ended,
            }
        })
    }
}

/// A frame was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PushError {
    /// No room.
    Full,
    /// The link has ended.
    Ended,
}

impl Queue {
    async fn pop(&mut self) -> Option<Bytes> {
        let frame = self.frames.recv().await?;
        self.waiting.fetch_sub(frame.len(), Ordering::Relaxed);
        Some(frame)
    }

    fn pop_ready(&mut self) -> Option<Bytes> {
        let frame = self.frames.try_recv().ok()?;
        self.waiting.fetch_sub(frame.len(), Ordering::Relaxed);
        Some(frame)
    }
}

/// What a link needs to run.
pub(super) struct Link {
    /// Number of the link in this process.
    pub(super) id: u64,
    /// Which side opened it.
    pub(super) side: Side,
    /// Where its notes go.
    pub(super) notes: mpsc::Sender<Note>,
    /// Frames to write.
    pub(super) queue: Queue,
    /// Limits.
    pub(super) config: Arc<Config>,
    /// Counters.
    pub(super) shared: Arc<Shared>,
}

impl Link {
    /// Runs the link over `socket` until it ends, and reports the end.
    pub(super) async fn run(self, socket: Socket) {
        let Link { id, side, notes, queue, config, shared } = self;
        let (mut sink, mut stream) = socket.split();
        let (control, beats) = mpsc::channel(CONTROL_FRAMES);
        let mut reader = Reader { id, notes: &notes, control, shared: &shared };
        let pulse =
            Heartbeat::new(side, config.heartbeat_interval, config.silence_timeout, Instant::now());
        let reason = tokio::select! {
            reason = reader.run(&mut stream, pulse) => reason,
            reason = write(&mut sink, beats, queue, config.write_timeout) => reason,
        };
        let close = Message::Close(Some(close_frame(&reason)));
        // The socket may be unusable; what matters is that the close takes no longer than this.
        let closed = timeout(CLOSE_TIME, sink.send(close)).await;
        if matches!((&reason, closed), (Reason::Local, Ok(Ok(())))) {
            // Closing a socket that has unread bytes would discard what it has not sent yet.
            let _ = timeout(LINGER_TIME, drain(&mut stream)).await;
        }
        drop((sink, stream));
        // The hub outlives its links, except when it stops.
        let _ = notes.send(Note::Ended { link: id, reason }).await;
    }
}

/// Reads to the end of the connection.
async fn drain(stream: &mut SplitStream<Socket>) {
    while let Some(Ok(_)) = stream.next().await {}
}

struct Reader<'a> {
    id: u64,
    notes: &'a mpsc::Sender<Note>,
    control: mpsc::Sender<Frame>,
    shared: &'a Shared,
}

impl Reader<'_> {
    async fn run(&mut self, stream: &mut SplitStream<Socket>, mut pulse: Heartbeat) -> Reason {
        loop {
            let wake = match pulse.poll(Instant::now()) {
                HeartbeatAction::Wait(until) => until,
                HeartbeatAction::Silent => return Reason::Silent,
                HeartbeatAction::Ping(sequence) => {
                    self.reply(Frame::Ping(sequence));
                    continue;
                }
            };
            // Bytes that came while this process was paused count before the time that passed.
            let message = tokio::select! {
                biased;
                message = stream.next() => message,
                () = sleep_until(wake) => continue,
            };
            if let Err(reason) = self.take(message, &mut pulse).await {
                return reason;
            }
        }
    }

    async fn take(
        &mut self,
        message: Option<Result<Message, WsError>>,
        pulse: &mut Heartbeat,
    ) -> Result<(), Reason> {
        let bytes = match message {
            Some(Ok(Message::Binary(bytes))) => bytes,
            Some(Ok(Message::Ping(_) | Message::Pong(_))) => return Ok(()),
            Some(Ok(Message::Close(frame))) => return Err(Reason::Closed(close_reason(frame))),
            Some(Ok(_)) => return Err(Reason::Protocol("frame is not binary".to_owned())),
            Some(Err(error)) => return Err(ws_reason(error)),
            None => return Err(Reason::Closed("no reason given".to_owned())),
        };
        let frame = Frame::decode(&bytes).map_err(|error| Reason::Protocol(error.to_string()))?;
        match frame {
            Frame::Ping(sequence) => self.reply(Frame::Pong(sequence)),
            Frame::Pong(sequence) => pulse.pong(sequence, Instant::now()),
            Frame::Data { subsystem, body } => self.deliver(subsystem, body).await,
            Frame::Unknown { .. } => self.shared.count_unknown(),
            Frame::Hello(_) => return Err(Reason::Protocol("second hello".to_owned())),
        }
        pulse.heard(Instant::now());
        Ok(())
    }

    /// Queues a heartbeat; when the writer is stuck it is left out, and the link will go silent.
    fn reply(&mut self, frame: Frame) {
        if self.control.try_send(frame).is_err() {
            self.shared.count_dropped();
        }
    }

    async fn deliver(&mut self, subsystem: Subsystem, body: Bytes) {
        // The hub outlives its links, except when it stops.
        let _ = self.notes.send(Note::Frame { link: self.id, subsystem, body }).await;
    }
}

async fn write(
    sink: &mut SplitSink<Socket, Message>,
    mut beats: mpsc::Receiver<Frame>,
    mut queue: Queue,
    stall: Duration,
) -> Reason {
    loop {
        let first = tokio::select! {
            biased;
            Some(beat) = beats.recv() => match beat.encode() {
                Ok(frame) => frame,
                Err(error) => return Reason::Protocol(error.to_string()),
            },
            frame = queue.pop() => match frame {
                Some(frame) => frame,
                None => return Reason::Local,
            },
        };
        match timeout(stall, write_batch(sink, first, &mut queue)).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => return ws_reason(error),
            Err(_) => return Reason::Stalled,
        }
    }
}

/// Writes `first` and what waits behind it, so that a burst takes few system calls.
async fn write_batch(
    sink: &mut SplitSink<Socket, Message>,
    first: Bytes,
    queue: &mut Queue,
) -> Result<(), WsError> {
    let mut len = first.len();
    sink.feed(Message::Binary(first)).await?;
    while len < BATCH_LEN
        && let Some(frame) = queue.pop_ready()
    {
        len += frame.len();
        sink.feed(Message::Binary(frame)).await?;
    }
    sink.flush().await
}
