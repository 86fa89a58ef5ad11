//! Handshake of a connection: the WebSocket upgrade, then one hello in each direction.

use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Error as WsError;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::error::ProtocolError;
use tokio_tungstenite::tungstenite::protocol::CloseFrame;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::protocol::frame::coding::CloseCode;

use crate::counted::CountingStream;
use crate::peer::Config;
use crate::peer::Reason;
use crate::peer::Side;
use model::Incarnation;
use wire::DecodeError;
use wire::Frame;
use wire::Hello;
use wire::MAX_FRAME_LEN;
use wire::PROTOCOL_VERSION;

/// WebSocket connection to a peer.
pub(super) type Socket = WebSocketStream<CountingStream<TcpStream>>;

/// Maximum length of the reason in a close frame, in bytes.
const MAX_REASON_BYTES: usize = 120;

/// A connection that has completed its handshake.
#[derive(Debug)]
pub(super) struct Opened {
    /// The connection.
    pub(super) socket: Socket,
    /// Hello of the peer.
    pub(super) hello: Hello,
    /// Remote address of the connection.
    pub(super) address: SocketAddr,
}

/// Connects to `address` and performs the handshake.
///
/// Fails if `expected` is given and another incarnation answers.
pub(super) async fn dial(
    address: SocketAddr,
    expected: Option<Incarnation>,
    hello: &Hello,
    config: &Config,
) -> Result<Opened, Reason> {
    let work = async {
        let stream = CountingStream::new(connect(address).await?);
        let url = format!("ws://{address}/peer");
        let upgrade =
            tokio_tungstenite::client_async_with_config(url, stream, Some(websocket_config()));
        let (mut socket, _) = upgrade.await.map_err(ws_reason)?;
        let answer = exchange_hellos(&mut socket, hello, Side::Dialer).await;
        let answer = answer.and_then(|hello| check_incarnation(hello, expected));
        close_on_error(socket, answer).await
    };
    let (socket, hello) =
        timeout(config.handshake_timeout, work).await.map_err(|_| Reason::Handshake)??;
    Ok(Opened { socket, hello, address })
}

/// Performs the handshake on a connection that a peer dialled.
pub(super) async fn accept(
    stream: TcpStream,
    address: SocketAddr,
    hello: &Hello,
    config: &Config,
) -> Result<Opened, Reason> {
    let work = async {
        stream.set_nodelay(true)?;
        let stream = CountingStream::new(stream);
        let upgrade = tokio_tungstenite::accept_async_with_config(stream, Some(websocket_config()));
        let mut socket = upgrade.await.map_err(ws_reason)?;
        let answer = exchange_hellos(&mut socket, hello, Side::Acceptor).await;
        close_on_error(socket, answer).await
    };
    let (socket, hello) =
        timeout(config.handshake_timeout, work).await.map_err(|_| Reason::Handshake)??;
    Ok(Opened { socket, hello, address })
}

async fn connect(address: SocketAddr) -> Result<TcpStream, Reason> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_LEN))
        .max_frame_size(Some(MAX_FRAME_LEN))
        .read_buffer_size(16 << 10)
        .write_buffer_size(16 << 10)
}

/// Exchanges hellos. The dialer sends its hello first, so the acceptor can refuse it in reply.
async fn exchange_hellos(socket: &mut Socket, own: &Hello, side: Side) -> Result<Hello, Reason> {
    if side == Side::Dialer {
        send_hello(socket, own).await?;
    }
    let hello = read_hello(socket).await?;
    if hello.incarnation == own.incarnation {
        return Err(Reason::Itself);
    }
    if side == Side::Acceptor {
        send_hello(socket, own).await?;
    }
    Ok(hello)
}

fn check_incarnation(hello: Hello, expected: Option<Incarnation>) -> Result<Hello, Reason> {
    let found = hello.incarnation;
    match expected {
        Some(expected) if expected != found => Err(Reason::WrongPeer { found, expected }),
        _ => Ok(hello),
    }
}

async fn send_hello(socket: &mut Socket, hello: &Hello) -> Result<(), Reason> {
    let frame = Frame::Hello(hello.clone()).encode();
    let frame = frame.map_err(|error| Reason::Protocol(error.to_string()))?;
    socket.send(Message::Binary(frame)).await.map_err(ws_reason)
}

async fn read_hello(socket: &mut Socket) -> Result<Hello, Reason> {
    let bytes = read_first_binary(socket).await?;
    match Frame::decode(&bytes) {
        Ok(Frame::Hello(hello)) => Ok(hello),
        Ok(_) => Err(Reason::Protocol("first frame is not a hello".to_owned())),
        Err(DecodeError::Version { found }) => {
            Err(Reason::Version { found, expected: PROTOCOL_VERSION })
        }
        Err(error) => Err(Reason::Protocol(error.to_string())),
    }
}

async fn read_first_binary(socket: &mut Socket) -> Result<Bytes, Reason> {
    loop {
        match socket.next().await {
            Some(Ok(Message::Binary(bytes))) => return Ok(bytes),
            Some(Ok(Message::Ping(_) | Message::Pong(_))) => {}
            Some(Ok(Message::Close(frame))) => return Err(Reason::Closed(close_reason(frame))),
            Some(Ok(_)) => return Err(Reason::Protocol("frame is not binary".to_owned())),
            Some(Err(error)) => return Err(ws_reason(error)),
            None => return Err(Reason::Closed("no reason given".to_owned())),
        }
    }
}

async fn close_on_error(
    mut socket: Socket,
    answer: Result<Hello, Reason>,
) -> Result<(Socket, Hello), Reason> {
    match answer {
        Ok(hello) => Ok((socket, hello)),
        Err(reason) => {
            // The peer may be gone already; the first error is the one to report.
            let _ = socket.close(Some(close_frame(&reason))).await;
            Err(reason)
        }
    }
}

/// Returns a close frame that tells the peer `reason`.
pub(super) fn close_frame(reason: &Reason) -> CloseFrame {
    let code = match reason {
        Reason::Protocol(_) | Reason::Version { .. } => CloseCode::Protocol,
        Reason::WrongPeer { .. } => CloseCode::Policy,
        _ => CloseCode::Normal,
    };
    let mut text = reason.to_string();
    text.truncate(text.floor_char_boundary(MAX_REASON_BYTES));
    CloseFrame { code, reason: text.into() }
}

/// Returns the reason that the peer gave in its close frame.
pub(super) fn close_reason(frame: Option<CloseFrame>) -> String {
    match frame {
        Some(frame) if !frame.reason.is_empty() => frame.reason.to_string(),
        _ => "no reason given".to_owned(),
    }
}

/// Converts an error of the WebSocket library.
pub(super) fn ws_reason(error: WsError) -> Reason {
    match error {
        WsError::Io(error) => Reason::Io(error),
        WsError::ConnectionClosed | WsError::AlreadyClosed => {
            Reason::Closed("no reason given".to_owned())
        }
        WsError::Protocol(ProtocolError::ResetWithoutClosingHandshake) => {
            Reason::Closed("connection ended without a close frame".to_owned())
        }
        error => Reason::Protocol(error.to_string()),
    }
}
