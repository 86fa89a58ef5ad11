//! Peer channels and backend server connections.
