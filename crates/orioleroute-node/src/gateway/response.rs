//! The response to one request, which is written to the client at most once.
//!
//! A head that is written within a started body would be read by the client as a part of that body, or as
//! the response to its next request. The types exclude this: only [`Unstarted`] writes a head, it is
//! used up by writing one, and there is none for a response that has been started.

use orioleroute::prelude::*;
use orioleroute_wire::admission::{Exhausted, Part};
use orioleroute_wire::http1::body;

use super::server::Client;

/// The longest wait for a client to read one part of its response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// The largest pipelined input that is buffered while a client waits for its response, in bytes.
const MAX_PIPELINED_BYTES: usize = 64 << 10;

/// The part of a response that takes no more than the request does anyway, in bytes.
const COVERED_BYTES: usize = 16 << 10;

/// How often a response for which there is no room checks whether there is.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The client has disconnected, or has not read a part of its response in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disconnected;

/// The response to one request, and how much of it has been written.
pub struct Response<'a> {
    client: &'a mut Client,
    is_started: bool,
}

/// A response of which nothing has been written.
pub struct Unstarted<'a, 'b> {
    response: &'b mut Response<'a>,
}

/// A streamed response whose head has been written. It can be continued, ended, or cut by closing the
/// connection.
pub struct Started<'a, 'b> {
    response: &'b mut Response<'a>,
}

/// Either state of a response.
pub enum State<'a, 'b> {
    /// Nothing has been written.
    Unstarted(Unstarted<'a, 'b>),
    /// The head of a stream has been written.
    Started(Started<'a, 'b>),
}

impl<'a> Response<'a> {
    /// Returns the response to a request that was read from `client`.
    pub fn new(client: &'a mut Client) -> Self {
        Self { client, is_started: false }
    }

    /// Returns whether a part of the response has been written.
    pub fn is_started(&self) -> bool {
        self.is_started
    }

    /// Returns the state, which decides what can be written next.
    pub fn state(&mut self) -> State<'a, '_> {
        match self.is_started {
            true => State::Started(Started { response: self }),
            false => State::Unstarted(Unstarted { response: self }),
        }
    }

    /// Completes once the client has closed its connection. Stops reading once more than
    /// [`MAX_PIPELINED_BYTES`] are buffered, or as much as there is room for, and then never completes.
    pub async fn closed(&mut self) {
        while self.client.socket.input.len() <= MAX_PIPELINED_BYTES
            && self.client.hold_input().is_ok()
        {
            match self.client.socket.fill().await {
                Ok(read) if read > 0 => {}
                _ => return,
            }
        }
        std::future::pending().await
    }

    /// Holds memory for what the client has not read of its response, in place of what was held for that.
    ///
    /// # Errors
    ///
    /// Fails if there is no room for it.
    pub fn hold(&mut self, bytes: usize) -> Result<(), Exhausted> {
        let bytes = if bytes <= COVERED_BYTES { 0 } else { bytes };
        self.client.reservation.hold(Part::Answer, bytes)
    }

    /// Waits until there is room, and holds memory as [`Response::hold`] does.
    pub async fn held(&mut self, bytes: usize) {
        while self.hold(bytes).is_err() {
            metrics::counter!("orioleroute_waits_for_memory_total").increment(1);
            monoio::time::sleep(ROOM_POLL_INTERVAL).await;
        }
    }

    async fn write(&mut self, output: &[u8]) -> Result<(), Disconnected> {
        match monoio::time::timeout(WRITE_TIMEOUT, self.client.socket.write(output)).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(Disconnected),
        }
    }
}

impl<'a, 'b> Unstarted<'a, 'b> {
    /// Writes a complete response.
    ///
    /// # Errors
    ///
    /// Fails if the client does not read it.
    pub async fn send(self, message: &[u8]) -> Result<(), Disconnected> {
        self.response.is_started = true;
        self.response.write(message).await
    }

    /// Writes a complete response whose body is not copied if it is long.
    ///
    /// # Errors
    ///
    /// Fails if the client does not read it.
    pub async fn send_parts(self, mut head: Vec<u8>, body: &[u8]) -> Result<(), Disconnected> {
        if body.len() <= COVERED_BYTES {
            head.extend_from_slice(body);
            return self.send(&head).await;
        }
        self.response.is_started = true;
        self.response.write(&head).await?;
        self.response.write(body).await
    }

    /// Writes the head of a response with a chunked body, together with its first events.
    ///
    /// # Errors
    ///
    /// Fails if the client does not read it.
    pub async fn start(
        self,
        mut head: Vec<u8>,
        events: &[u8],
    ) -> Result<Started<'a, 'b>, Disconnected> {
        body::write_chunk(&mut head, events);
        self.response.is_started = true;
        self.response.write(&head).await?;
        Ok(Started { response: self.response })
    }
}

impl Started<'_, '_> {
    /// Writes further events.
    ///
    /// # Errors
    ///
    /// Fails if the client does not read them.
    pub async fn send(&mut self, events: &[u8]) -> Result<(), Disconnected> {
        let mut output = Vec::with_capacity(events.len() + 16);
        body::write_chunk(&mut output, events);
        self.response.write(&output).await
    }

    /// Writes the end of the body.
    ///
    /// # Errors
    ///
    /// Fails if the client does not read it.
    pub async fn end(self) -> Result<(), Disconnected> {
        self.response.write(body::LAST_CHUNK).await
    }
}
