//! Task of one open connection: reads and writes frames and exchanges heartbeats until it ends.

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
use crate::peer::hub::Report;
use crate::peer::shared::Shared;
use wire::Frame;
use wire::Subsystem;

/// Maximum number of heartbeat frames waiting to be written.
const HEARTBEAT_QUEUE_LEN: usize = 4;
/// Number of bytes after which a batch of queued frames ends, so that heartbeats can be written.
const MAX_BATCH_BYTES: usize = 32 << 10;
/// Time limit on writing a close frame.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Time limit on waiting for the peer to read what was sent before a close frame.
const LINGER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Sending end of the queue of frames to be written on one link.
#[derive(Debug)]
pub(super) struct Outbox {
    frames: mpsc::Sender<Bytes>,
    queued_bytes: Arc<AtomicUsize>,
    max_bytes: usize,
}

/// Receiving end of an [`Outbox`].
#[derive(Debug)]
pub(super) struct Queue {
    frames: mpsc::Receiver<Bytes>,
    queued_bytes: Arc<AtomicUsize>,
}

impl Outbox {
    /// Creates an empty queue with the limits of `config`.
    pub(super) fn new(config: &Config) -> (Outbox, Queue) {
        let (sender, receiver) = mpsc::channel(config.queue_frames);
        let queued_bytes = Arc::new(AtomicUsize::new(0));
        let queue = Queue { frames: receiver, queued_bytes: Arc::clone(&queued_bytes) };
        (Outbox { frames: sender, queued_bytes, max_bytes: config.queue_bytes }, queue)
    }

    /// Queues a frame, unless the queue is full or the link has ended.
    pub(super) fn push(&self, frame: Bytes) -> Result<(), PushError> {
        let len = frame.len();
        if self.queued_bytes.fetch_add(len, Ordering::Relaxed) + len > self.max_bytes {
            self.queued_bytes.fetch_sub(len, Ordering::Relaxed);
            return Err(PushError::Full);
        }
        self.frames.try_send(frame).map_err(|error| {
            self.queued_bytes.fetch_sub(len, Ordering::Relaxed);
            match error {
                mpsc::error::TrySendError::Full(_) => PushError::Full,
                mpsc::error::TrySendError::Closed(_) => PushError::Ended,
            }
        })
    }
}

/// Error of queueing a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PushError {
    /// The queue has reached its limit of frames or bytes.
    Full,
    /// The link has ended.
    Ended,
}

impl Queue {
    async fn pop(&mut self) -> Option<Bytes> {
        let frame = self.frames.recv().await?;
        self.queued_bytes.fetch_sub(frame.len(), Ordering::Relaxed);
        Some(frame)
    }

    fn pop_ready(&mut self) -> Option<Bytes> {
        let frame = self.frames.try_recv().ok()?;
        self.queued_bytes.fetch_sub(frame.len(), Ordering::Relaxed);
        Some(frame)
    }
}

/// Parameters of a link's task.
pub(super) struct Link {
    /// Number of the link, unique within this process.
    pub(super) id: u64,
    /// Which side dialled the connection.
    pub(super) side: Side,
    /// Channel to the hub.
    pub(super) reports: mpsc::Sender<Report>,
    /// Frames to write.
    pub(super) queue: Queue,
    /// Time and queue limits.
    pub(super) config: Arc<Config>,
    /// Counters of all links.
    pub(super) shared: Arc<Shared>,
}

impl Link {
    /// Runs the link over `socket` until it ends, then reports the reason to the hub.
    pub(super) async fn run(self, socket: Socket) {
        let Link { id, side, reports, queue, config, shared } = self;
        let (mut sink, mut stream) = socket.split();
        let (control, heartbeats) = mpsc::channel(HEARTBEAT_QUEUE_LEN);
        let mut reader = Reader { id, reports: &reports, control, shared: &shared };
        let heartbeat =
            Heartbeat::new(side, config.heartbeat_interval, config.silence_timeout, Instant::now());
        let reason = tokio::select! {
            reason = reader.run(&mut stream, heartbeat) => reason,
            reason = write_frames(&mut sink, heartbeats, queue, config.write_timeout) => reason,
        };
        let close = Message::Close(Some(close_frame(&reason)));
        // The socket may be unusable; the timeout bounds the time that closing it takes.
        let closed = timeout(CLOSE_TIMEOUT, sink.send(close)).await;
        if matches!((&reason, closed), (Reason::Local, Ok(Ok(())))) {
            // Closing a socket with unread bytes would discard the bytes that it has not sent yet.
            let _ = timeout(LINGER_TIMEOUT, drain(&mut stream)).await;
        }
        drop((sink, stream));
        // Sending fails only when the hub is stopping.
        let _ = reports.send(Report::Ended { link: id, reason }).await;
    }
}

/// Reads and discards messages until the connection ends.
async fn drain(stream: &mut SplitStream<Socket>) {
    while let Some(Ok(_)) = stream.next().await {}
}

struct Reader<'a> {
    id: u64,
    reports: &'a mpsc::Sender<Report>,
    control: mpsc::Sender<Frame>,
    shared: &'a Shared,
}

impl Reader<'_> {
    async fn run(&mut self, stream: &mut SplitStream<Socket>, mut heartbeat: Heartbeat) -> Reason {
        loop {
            let wakeup = match heartbeat.poll(Instant::now()) {
                HeartbeatAction::Wait(until) => until,
                HeartbeatAction::Silent => return Reason::Silent,
                HeartbeatAction::Ping(sequence) => {
                    self.queue_heartbeat(Frame::Ping(sequence));
                    continue;
                }
            };
            // Received bytes take precedence over the timer: if this process was paused, frames
            // that arrived meanwhile must prevent the link from counting as silent.
            let message = tokio::select! {
                biased;
                message = stream.next() => message,
                () = sleep_until(wakeup) => continue,
            };
            if let Err(reason) = self.handle_message(message, &mut heartbeat).await {
                return reason;
            }
        }
    }

    async fn handle_message(
        &mut self,
        message: Option<Result<Message, WsError>>,
        heartbeat: &mut Heartbeat,
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
            Frame::Ping(sequence) => self.queue_heartbeat(Frame::Pong(sequence)),
            Frame::Pong(sequence) => heartbeat.record_pong(sequence, Instant::now()),
            Frame::Data { subsystem, body } => self.deliver_message(subsystem, body).await,
            Frame::Unknown { .. } => self.shared.count_unknown(),
            Frame::Hello(_) => return Err(Reason::Protocol("second hello".to_owned())),
        }
        heartbeat.record_frame(Instant::now());
        Ok(())
    }

    /// Queues a heartbeat frame; it is dropped when the writer is blocked, so the link goes silent.
    fn queue_heartbeat(&mut self, frame: Frame) {
        if self.control.try_send(frame).is_err() {
            self.shared.count_dropped();
        }
    }

    async fn deliver_message(&mut self, subsystem: Subsystem, body: Bytes) {
        // Sending fails only when the hub is stopping.
        let _ = self.reports.send(Report::Frame { link: self.id, subsystem, body }).await;
    }
}

async fn write_frames(
    sink: &mut SplitSink<Socket, Message>,
    mut heartbeats: mpsc::Receiver<Frame>,
    mut queue: Queue,
    stall: Duration,
) -> Reason {
    loop {
        let first = tokio::select! {
            biased;
            Some(frame) = heartbeats.recv() => match frame.encode() {
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

/// Writes `first` and the frames queued behind it, so that a burst takes few system calls.
async fn write_batch(
    sink: &mut SplitSink<Socket, Message>,
    first: Bytes,
    queue: &mut Queue,
) -> Result<(), WsError> {
    let mut len = first.len();
    sink.feed(Message::Binary(first)).await?;
    while len < MAX_BATCH_BYTES
        && let Some(frame) = queue.pop_ready()
    {
        len += frame.len();
        sink.feed(Message::Binary(frame)).await?;
    }
    sink.flush().await
}
