//! Reasons for which a link ends or cannot be opened.

use std::io;

use thiserror::Error;

use model::Incarnation;

/// Why a link ended or could not be opened.
#[derive(Debug, Error)]
pub enum Reason {
    /// The socket failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The handshake exceeded its time limit.
    #[error("no hello within the time limit")]
    Handshake,
    /// No frame arrived within the time limit of the heartbeat.
    #[error("connection went silent")]
    Silent,
    /// Writing to the socket exceeded its time limit.
    #[error("peer stopped reading")]
    Stalled,
    /// The peer closed the connection, with the reason that it gave.
    #[error("closed by the peer: {0}")]
    Closed(String),
    /// The peer violated the protocol.
    #[error("protocol error: {0}")]
    Protocol(String),
    /// The peer uses another version of the protocol.
    #[error("protocol version {found} is not supported, expected {expected}")]
    Version {
        /// Protocol version of the peer.
        found: u16,
        /// Protocol version of this process.
        expected: u16,
    },
    /// Another incarnation than the expected one answered at the address.
    #[error("incarnation {found} answers in place of {expected}")]
    WrongPeer {
        /// Incarnation that answered.
        found: Incarnation,
        /// Incarnation that was dialled.
        expected: Incarnation,
    },
    /// The hello carries this process's own incarnation: it is connected to itself.
    #[error("connection leads back to this process")]
    Itself,
    /// Another connection to the same peer replaced the link.
    #[error("replaced by another connection to the same peer")]
    Replaced,
    /// This side closed the link.
    #[error("closed by this side")]
    Local,
}
