use std::net::SocketAddr;

/// The step of an exchange at which an error arose.
///
/// Callers use it to tell an exchange that cannot have reached the peer from one that may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The connection was not established, so no byte can have reached the peer.
    Connect,
    /// The request was being written.
    Send,
    /// The head of the answer was awaited.
    Head,
    /// The body was being read.
    Body,
    /// The message was complete but had no valid meaning.
    Decode,
}

/// A failed exchange with a peer, with the step at which it failed.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{step:?} with {peer}: {cause}")]
pub struct Error {
    /// The step that failed.
    pub step: Step,
    /// The other end of the connection.
    pub peer: SocketAddr,
    /// What the library or the peer said.
    pub cause: String,
}

impl Error {
    /// Returns an error of `step` with `peer`.
    pub fn new(step: Step, peer: SocketAddr, cause: impl std::fmt::Display) -> Self {
        let cause = cause.to_string();
        Self { step, peer, cause }
    }

    /// Returns whether the peer cannot have seen any part of the request.
    pub fn is_unsent(&self) -> bool {
        self.step == Step::Connect
    }
}
