//! Why a link ended or could not be opened.

use std::io;

use thiserror::Error;

use model::Incarnation;

/// Why a link ended or could not be opened.
#[derive(Debug, Error)]
pub enum Reason {
    /// The socket failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The handshake took too long.
    #[error("no hello within the time limit")]
    Handshake,
    /// Heartbeats stayed without an answer.
    #[error("connection went silent")]
    Silent,
    /// The socket took no bytes.
    #[error("peer stopped reading")]
    Stalled,
    /// The peer closed the connection.
    #[error("closed by the peer: {0}")]
    Closed(String),
    /// The peer broke the protocol.
    #[error("protocol error: {0}")]
    Protocol(String),
    /// The peer speaks another version of the protocol.
    #[error("protocol version {found} is not supported, expected {expected}")]
    Version {
        /// The peer's version.
        found: u16,
        /// The version spoken here.
        expected: u16,
    },
    /// Another incarnation answers at the address.
    #[error("incarnation {found} answers in place of {expected}")]
    WrongPeer {
        /// The incarnation that answers.
        found: Incarnation,
        /// The one that was dialled.
        expected: Incarnation,
    },
    /// The address is this process's own.
    #[error("connection leads back to this process")]
    Itself,
    /// Another connection to the same peer took its place.
    #[error("replaced by another connection to the same peer")]
    Replaced,
    /// This side closed the link.
    #[error("closed by this side")]
    Local,
}
