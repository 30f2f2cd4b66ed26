//! Follows the exchanges on a connection whose bytes are passed on unchanged.

use bytes::BytesMut;
use http::Method;

use super::body::Decoder;
use super::head::Response;
use super::incoming::MAX_HEAD_BYTES;

/// Whether a response is due on a connection, as far as the bytes in both directions show.
///
/// If that cannot be told, one is taken to be due.
#[derive(Debug, Default)]
pub struct Observer {
    state: State,
    /// What has been received of the response and not decoded.
    received: BytesMut,
    has_answered: bool,
}

#[derive(Debug, Default)]
enum State {
    /// No request is under way.
    #[default]
    Idle,
    /// The head of the response to a request with this method is due.
    Head(Method),
    /// The rest of the body of the response is due.
    Body(Decoder),
    /// It cannot be told where responses end.
    Opaque,
}

impl Observer {
    /// Observes bytes of the client.
    pub fn observe_request(&mut self, bytes: &[u8]) {
        if !bytes.is_empty() && matches!(self.state, State::Idle) {
            let method = bytes.split(|byte| *byte == b' ').next().unwrap_or_default();
            let is_whole = method.len() < bytes.len();
            self.state = match Method::from_bytes(method) {
                Ok(method) if is_whole => State::Head(method),
                Ok(_) | Err(_) => State::Opaque,
            };
        }
    }

    /// Observes bytes of the server.
    pub fn observe_response(&mut self, bytes: &[u8]) {
        self.received.extend_from_slice(bytes);
        if let State::Head(method) = &self.state {
            self.state = match Response::parse(&mut self.received, method, MAX_HEAD_BYTES) {
                Ok(Some(head)) => State::Body(Decoder::new(head.framing)),
                Ok(None) => return,
                Err(_) => State::Opaque,
            };
        }
        self.state = match std::mem::take(&mut self.state) {
            State::Body(decoder) => self.decode(decoder),
            // Nothing was asked for.
            State::Idle if !bytes.is_empty() => State::Opaque,
            state => state,
        };
        if matches!(self.state, State::Opaque) {
            self.received.clear();
        }
    }

    fn decode(&mut self, mut decoder: Decoder) -> State {
        loop {
            match decoder.decode(&mut self.received) {
                Ok(Some(_)) => {}
                Ok(None) if !decoder.is_done() => return State::Body(decoder),
                Ok(None) if self.received.is_empty() => {
                    self.has_answered = true;
                    return State::Idle;
                }
                Ok(None) | Err(_) => return State::Opaque,
            }
        }
    }

    /// Returns whether no response is due.
    pub fn is_idle(&self) -> bool {
        matches!(self.state, State::Idle)
    }

    /// Returns whether a response has been received in full.
    pub fn has_answered(&self) -> bool {
        self.has_answered
    }
}
