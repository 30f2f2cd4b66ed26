//! Sends a request over a connection and reads the response as it arrives.

use bytes::{Bytes, BytesMut};
use http::Method;

use super::Malformed;
use super::body::Decoder;
use super::head::Response;
use super::socket::Socket;

/// The largest head of a response together with the interim responses before it, in bytes.
pub const MAX_HEAD_BYTES: usize = 32 << 10;

/// A response whose body is still arriving.
///
/// Dropping it before the end of the body closes the connection, so that the peer stops sending.
pub struct Incoming {
    /// The head.
    pub head: Response,
    socket: Socket,
    decoder: Decoder,
    /// The bytes of the body received, with its framing.
    body_bytes: usize,
    is_request_sent: bool,
}

/// Why a response was not received in full.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Cut {
    /// The connection was closed before the head was complete.
    #[error("closed without an answer")]
    Unanswered,
    /// The connection was closed before the end of the body.
    #[error("closed within the body")]
    ClosedEarly,
    /// The connection failed, with this error.
    #[error("{0}")]
    Disconnected(String),
    /// The response violates the protocol.
    #[error(transparent)]
    Malformed(#[from] Malformed),
    /// The body is longer than the limit, in bytes.
    #[error("longer than {0} bytes")]
    TooLong(usize),
}

impl From<std::io::Error> for Cut {
    fn from(error: std::io::Error) -> Self {
        Self::Disconnected(error.to_string())
    }
}

impl Incoming {
    /// Sends an encoded request and returns once the head of the response has arrived. An upstream may respond before
    /// it has read the whole request.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends early or the head is malformed. The request may have run then.
    pub async fn receive(
        mut socket: Socket,
        mut request: Bytes,
        method: &Method,
    ) -> Result<Self, Cut> {
        let mut received = 0;
        loop {
            if let Some(head) = Response::parse(&mut socket.input, method, MAX_HEAD_BYTES)? {
                return Ok(Self {
                    decoder: Decoder::new(head.framing),
                    body_bytes: socket.input.len(),
                    is_request_sent: request.is_empty(),
                    head,
                    socket,
                });
            }
            if received > MAX_HEAD_BYTES {
                return Err(Malformed::HeadTooLarge(MAX_HEAD_BYTES).into());
            }
            match socket.write_or_fill(&mut request).await? {
                Some(0) => return Err(Cut::Unanswered),
                read => received += read.unwrap_or_default(),
            }
        }
    }

    /// Returns how many bytes of the body have been received, with its framing.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Returns the next part of the body, all of it that one read has received, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails if the body is truncated or malformed.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Cut> {
        loop {
            if let Some(data) = self.decode_received()? {
                return Ok(Some(data));
            }
            if self.decoder.is_done() {
                return Ok(None);
            }
            match self.socket.fill().await? {
                0 if self.decoder.finish() => return Ok(None),
                0 => return Err(Cut::ClosedEarly),
                read => self.body_bytes += read,
            }
        }
    }

    /// Returns the rest of the body.
    ///
    /// # Errors
    ///
    /// Fails if the body is truncated, malformed or longer than `limit` bytes with its framing.
    pub async fn collect(&mut self, limit: usize) -> Result<Bytes, Cut> {
        let mut whole = Vec::new();
        while let Some(part) = self.next().await? {
            if self.body_bytes > limit {
                return Err(Cut::TooLong(limit));
            }
            whole.extend_from_slice(&part);
        }
        Ok(whole.into())
    }

    /// Decodes what has been received. A peer may send chunks of single bytes, so that a step of the caller for each
    /// of them would cost more than its bytes.
    fn decode_received(&mut self) -> Result<Option<Bytes>, Malformed> {
        let Some(first) = self.decoder.decode(&mut self.socket.input)? else { return Ok(None) };
        let mut joined = BytesMut::new();
        // An error is returned once what precedes it has been passed on.
        while let Ok(Some(part)) = self.decoder.decode(&mut self.socket.input) {
            if joined.is_empty() {
                joined.extend_from_slice(&first);
            }
            joined.extend_from_slice(&part);
        }
        Ok(Some(if joined.is_empty() { first } else { joined.freeze() }))
    }

    /// Returns the connection if it can be used for another request: this one was sent in full, the response was
    /// read in full with nothing after it, and the peer keeps the connection open.
    pub fn into_reusable(self) -> Option<Socket> {
        let is_reusable = self.is_request_sent
            && self.decoder.is_done()
            && self.head.keeps_alive
            && self.socket.input.is_empty();
        is_reusable.then_some(self.socket)
    }
}
