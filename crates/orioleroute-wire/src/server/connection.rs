//! A connection that the server has accepted: reads requests within limits and writes responses.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use monoio::net::TcpStream;

use super::{Fault, Limits, Request, Response, has_bearer_token};
use crate::admission::{Exhausted, Part, Refusal, Reservation};
use crate::http1::Malformed;
use crate::http1::body::{self, Decoder, Framing};
use crate::http1::head;
use crate::http1::socket::Socket;
use crate::{Error, Step};

/// How long input of a rejected peer is discarded before its connection is closed.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The fixed part of the allowance for the framing of a chunked body, in bytes. The variable part is as
/// large as the body size limit.
const CHUNK_FRAMING_BYTES: usize = 64 << 10;

/// The interim response that tells a peer to send the body of its request.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// An accepted connection.
pub struct Connection {
    peer: SocketAddr,
    limits: Limits,
    socket: Socket,
    frame: Vec<u8>,
    /// What is held for the connection, if its peer is not trusted.
    reservation: Option<Reservation>,
    /// Whether the connection is closed after the response.
    pub(super) closing: bool,
}

impl Connection {
    /// Creates a connection over `stream` that enforces `limits`.
    ///
    /// # Errors
    ///
    /// Fails if the socket cannot be configured.
    pub fn new(stream: TcpStream, peer: SocketAddr, limits: Limits) -> std::io::Result<Self> {
        let socket = Socket::accepted(stream)?;
        Ok(Self { peer, limits, socket, frame: Vec::new(), reservation: None, closing: false })
    }

    /// Holds memory for the connection itself.
    ///
    /// # Errors
    ///
    /// Fails if there is no room for it.
    pub(super) fn reserve(&mut self) -> Result<(), Refusal> {
        let admission = self.limits.admission.as_ref();
        self.reservation = admission.map(|it| it.admit(self.peer)).transpose()?;
        Ok(())
    }

    /// Returns the address of the peer.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Reads the next complete request. Returns `None` once the peer has closed the connection or has
    /// sent nothing within the idle limit.
    ///
    /// # Errors
    ///
    /// Fails if the request is malformed, exceeds a limit, or lacks the required token. After a fault,
    /// only its response can be written; the connection cannot be read any more.
    pub async fn next(&mut self) -> Option<Result<Request, Fault>> {
        if let Some(reservation) = &mut self.reservation {
            reservation.end_request();
        }
        match self.read_head().await? {
            Ok(head) => Some(self.read_body(head).await),
            Err(fault) => Some(Err(fault)),
        }
    }

    async fn read_head(&mut self) -> Option<Result<head::Request, Fault>> {
        let limits = &self.limits;
        let socket = &mut self.socket;
        let reservation = &mut self.reservation;
        if socket.input.is_empty() {
            match monoio::time::timeout(limits.idle_timeout, socket.fill()).await {
                Ok(Ok(read)) if read > 0 => {}
                _ => return None,
            }
        }
        let read = async {
            loop {
                match head::Request::parse(&mut socket.input, limits.max_head_bytes) {
                    Ok(Some(head)) => return Some(Ok(head)),
                    Ok(None) => {}
                    Err(Malformed::HeadTooLarge(limit)) => {
                        return Some(Err(Fault::HeadTooLarge(limit)));
                    }
                    Err(error) => return Some(Err(Fault::Malformed(error.to_string()))),
                }
                match socket.fill().await {
                    Ok(read) if read > 0 => {}
                    _ => return None,
                }
                if hold(reservation, Part::Input, 2 * socket.input.len()).is_err() {
                    return Some(Err(Fault::NoMemory));
                }
            }
        };
        match monoio::time::timeout(limits.head_timeout, read).await {
            Ok(read) => read,
            Err(_) => Some(Err(Fault::TimedOut)),
        }
    }

    async fn read_body(&mut self, head: head::Request) -> Result<Request, Fault> {
        let limit = self.limits.max_body_bytes;
        self.closing = !head.keeps_alive;
        if let Some(token) = &self.limits.token
            && (head.method != Method::GET || head.framing != Framing::Length(0))
            && !has_bearer_token(&head.headers, token)
        {
            return Err(Fault::Unauthorized);
        }
        if matches!(head.framing, Framing::Length(length) if length > limit as u64) {
            return Err(Fault::BodyTooLarge(limit));
        }
        let expects_body = head.framing != Framing::Length(0);
        if expects_body && head.expects_continue() && self.socket.input.is_empty() {
            let interim = self.write(CONTINUE.to_vec()).await;
            interim.map_err(|error| Fault::Malformed(error.to_string()))?;
        }
        let body = match expects_body {
            true => {
                let reservation = &mut self.reservation;
                let read = read_payload(&mut self.socket, reservation, head.framing, limit);
                match monoio::time::timeout(self.limits.body_timeout, read).await {
                    Ok(body) => body?,
                    Err(_) => return Err(Fault::TimedOut),
                }
            }
            false => Bytes::new(),
        };
        let (path, query) = head.target.split_once('?').unwrap_or((&head.target, ""));
        Ok(Request {
            method: head.method,
            path: path.to_owned(),
            query: query.to_owned(),
            headers: head.headers,
            body,
        })
    }

    /// Writes a complete response.
    ///
    /// # Errors
    ///
    /// Fails at [`Step::Send`] if the connection is lost or the write times out.
    pub async fn respond(&mut self, response: Response) -> Result<(), Error> {
        let Response { status, headers, body } = response;
        let mut message = Vec::with_capacity(256 + body.len());
        head::write_response(&mut message, status, &headers);
        if self.closing {
            head::write_field(&mut message, "connection", "close");
        }
        head::write_field(&mut message, "content-length", body.len().to_string());
        message.extend_from_slice(b"\r\n");
        message.extend_from_slice(&body);
        self.write(message).await.map(|_| ())
    }

    /// Writes the head of a streamed response. [`Connection::write_chunk`] and
    /// [`Connection::finish_response`] write its body.
    ///
    /// # Errors
    ///
    /// Fails at [`Step::Send`] if the connection is lost or the write times out.
    pub async fn start_response(
        &mut self,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Result<(), Error> {
        let mut message = Vec::with_capacity(256);
        head::write_response(&mut message, status, headers);
        if self.closing {
            head::write_field(&mut message, "connection", "close");
        }
        head::write_field(&mut message, "transfer-encoding", "chunked");
        message.extend_from_slice(b"\r\n");
        self.write(message).await.map(|_| ())
    }

    /// Writes one chunk of a streamed response without buffering. Empty data is skipped, since an empty
    /// chunk would end the body.
    ///
    /// # Errors
    ///
    /// Fails at [`Step::Send`] if the connection is lost or the write times out.
    pub async fn write_chunk(&mut self, data: &[u8]) -> Result<(), Error> {
        let mut frame = std::mem::take(&mut self.frame);
        frame.clear();
        body::write_chunk(&mut frame, data);
        self.frame = self.write(frame).await?;
        Ok(())
    }

    /// Writes the last chunk of a streamed response.
    ///
    /// # Errors
    ///
    /// Fails at [`Step::Send`] if the connection is lost or the write times out.
    pub async fn finish_response(&mut self) -> Result<(), Error> {
        self.write(body::LAST_CHUNK.to_vec()).await.map(|_| ())
    }

    /// Waits until the peer has closed its side of the connection.
    ///
    /// Input received in the meantime is kept for [`Connection::next`], up to about the size limit of a
    /// head. Beyond that, the future never completes.
    pub async fn closed(&mut self) {
        while self.socket.input.len() <= self.limits.max_head_bytes
            && hold(&mut self.reservation, Part::Input, 2 * self.socket.input.len()).is_ok()
        {
            match self.socket.fill().await {
                Ok(read) if read > 0 => {}
                _ => return,
            }
        }
        std::future::pending().await
    }

    /// Writes an error response and closes the connection in a way that lets the response arrive.
    pub(super) async fn reject(&mut self, response: Response) {
        self.closing = true;
        if self.respond(response).await.is_ok() {
            self.socket.close_after_write(DISCARD_TIMEOUT).await;
        }
    }

    /// Writes `bytes` and returns the buffer for reuse.
    async fn write(&mut self, bytes: Vec<u8>) -> Result<Vec<u8>, Error> {
        let written = monoio::time::timeout(self.limits.write_timeout, self.socket.write(&bytes));
        match written.await {
            Ok(Ok(())) => Ok(bytes),
            Ok(Err(error)) => Err(Error::new(Step::Send, self.peer, error)),
            Err(_) => Err(Error::new(Step::Send, self.peer, "timed out writing to the peer")),
        }
    }
}

/// How many times the memory of a body is taken: the body, the copy with the model's name, and the one that is sent on.
const BODY_COPIES: usize = 3;

/// Holds memory for a part, if the peer is not trusted.
fn hold(reservation: &mut Option<Reservation>, part: Part, bytes: usize) -> Result<(), Exhausted> {
    reservation.as_mut().map_or(Ok(()), |reservation| reservation.hold(part, bytes))
}

/// Reads a body of up to `limit` bytes. The framing of a chunked body is limited too, because chunk
/// extensions and trailers can be much longer than the data.
async fn read_payload(
    socket: &mut Socket,
    reservation: &mut Option<Reservation>,
    framing: Framing,
    limit: usize,
) -> Result<Bytes, Fault> {
    let longest = match framing {
        Framing::Length(length) => limit.min(length as usize),
        Framing::Chunked | Framing::UntilClose => limit,
    };
    let mut decoder = Decoder::new(framing);
    let mut body = Vec::new();
    let mut received = socket.input.len();
    loop {
        match decoder.decode(&mut socket.input) {
            Ok(Some(part)) if body.len() + part.len() > limit => {
                return Err(Fault::BodyTooLarge(limit));
            }
            Ok(Some(part)) => {
                let length = body.len() + part.len();
                if length > body.capacity() {
                    let capacity = length.max(2 * body.capacity()).min(longest);
                    hold(reservation, Part::Body, BODY_COPIES * capacity)?;
                    body.reserve_exact(capacity - body.len());
                }
                body.extend_from_slice(&part);
            }
            Ok(None) if decoder.is_done() => return Ok(body.into()),
            Ok(None) if received > limit.saturating_mul(2).saturating_add(CHUNK_FRAMING_BYTES) => {
                return Err(Fault::BodyTooLarge(limit));
            }
            Ok(None) => match socket.fill().await {
                Ok(0) => return Err(Fault::Malformed("the body ends early".to_owned())),
                Ok(read) => received += read,
                Err(error) => return Err(Fault::Malformed(error.to_string())),
            },
            Err(error) => return Err(Fault::Malformed(error.to_string())),
        }
    }
}
