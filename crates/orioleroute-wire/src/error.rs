use std::net::SocketAddr;

/// The step of an exchange at which an error occurred.
///
/// It separates requests that cannot have reached the peer from those that may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The connection was not established, so no byte can have reached the peer.
    Connect,
    /// The connection was open, but a check before the request was written failed.
    Check,
    /// The request was being written.
    Send,
    /// The client was waiting for the head of the response.
    Head,
    /// The response body was being read.
    Body,
    /// The message was complete but could not be encoded or decoded, or was rejected.
    Decode,
}

/// A failed exchange with a peer, with the step at which it failed.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{step:?} with {peer}: {cause}")]
pub struct Error {
    /// The step at which the exchange failed.
    pub step: Step,
    /// The address of the peer.
    pub peer: SocketAddr,
    /// The error message of the library, or the response status of the peer.
    pub cause: String,
}

impl Error {
    /// Creates an error for an exchange with `peer` that failed at `step`.
    pub fn new(step: Step, peer: SocketAddr, cause: impl std::fmt::Display) -> Self {
        let cause = cause.to_string();
        Self { step, peer, cause }
    }

    /// Returns whether it is certain that no part of the request reached the peer.
    pub fn is_unsent(&self) -> bool {
        matches!(self.step, Step::Connect | Step::Check)
    }
}
