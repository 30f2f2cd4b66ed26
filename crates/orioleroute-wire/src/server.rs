//! The server side of HTTP/1.1.

use std::cell::Cell;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use monoio::io::sink::Sink;
use monoio::io::stream::Stream;
use monoio::io::{AsyncWriteRent, AsyncWriteRentExt, OwnedWriteHalf, Splitable};
use monoio::net::{TcpListener, TcpStream};
use monoio_http::common::body::{Body, HttpBody};
use monoio_http::common::error::HttpError;
use monoio_http::h1::codec::decoder::{DecodeError, FillPayload, RequestDecoder};
use monoio_http::h1::codec::encoder::GenericEncoder;
use monoio_http::h1::payload::Payload;
use subtle::ConstantTimeEq;

use crate::intake::Intake;
use crate::{Error, Step};

/// The bounds that a connection keeps its peer to.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The largest head accepted, in bytes, to within one read.
    pub head_bytes: usize,
    /// The largest body accepted, in bytes.
    pub body_bytes: usize,
    /// The longest wait for the first byte of a request on an open connection.
    pub idle: Duration,
    /// The longest time from the first byte of a head to its end.
    pub head_time: Duration,
    /// The longest wait for a whole body.
    pub body_time: Duration,
    /// The longest wait for the peer to take one part of an answer.
    pub write_time: Duration,
    /// The bearer token without which only requests without a body are taken.
    ///
    /// It is checked before the body is read, so that a stranger cannot make a process hold large
    /// bodies in memory.
    pub token: Option<Rc<str>>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 32 << 10,
            body_bytes: 4 << 20,
            idle: Duration::from_secs(120),
            head_time: Duration::from_secs(10),
            body_time: Duration::from_secs(10),
            write_time: Duration::from_secs(30),
            token: None,
        }
    }
}

/// A whole request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path without the query.
    pub path: String,
    /// The query without its question mark; empty if there is none.
    pub query: String,
    /// The header fields.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Request {
    /// Returns the text of a header field, if it is there and readable.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the value of a query parameter, without percent decoding.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// Returns whether the request shows a bearer token.
    pub fn shows(&self, token: &str) -> bool {
        shows_token(&self.headers, token)
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status.
    pub status: StatusCode,
    /// The header fields; the body's length is added when it is written.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Response {
    /// Returns an answer with an empty body.
    pub fn empty(status: StatusCode) -> Self {
        Self { status, headers: HeaderMap::new(), body: Bytes::new() }
    }

    /// Returns an answer of type `application/json`.
    pub fn json(status: StatusCode, value: &impl serde::Serialize) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::typed(status, "application/json", body)
    }

    /// Returns an answer of the given media type.
    pub fn typed(status: StatusCode, media: &'static str, body: impl Into<Bytes>) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(media));
        Self { status, headers, body: body.into() }
    }

    /// Returns an answer of type `text/plain`.
    pub fn text(status: StatusCode, text: impl Into<Bytes>) -> Self {
        Self::typed(status, "text/plain; charset=utf-8", text)
    }

    /// Adds a header field, leaving it out if its value cannot be sent.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl AsRef<str>) -> Self {
        if let Ok(value) = HeaderValue::from_str(value.as_ref()) {
            self.headers.insert(name, value);
        }
        self
    }
}

/// Why no request could be read, and what to tell the peer.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Fault {
    /// The head or the framing of the body is malformed.
    #[error("malformed request: {0}")]
    Malformed(String),
    /// The body is larger than the limit, in bytes.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// The head is larger than the limit, in bytes.
    #[error("the head is larger than {0} bytes")]
    HeadTooLarge(usize),
    /// The request did not arrive in time.
    #[error("the request did not arrive in time")]
    Slow,
    /// The token is missing or wrong.
    #[error("the token is missing or wrong")]
    Unauthorized,
    /// Too many connections are open.
    #[error("too many connections are open")]
    Busy,
}

impl Fault {
    /// Returns the status that tells the peer of this fault.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Malformed(_) => StatusCode::BAD_REQUEST,
            Self::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::HeadTooLarge(_) => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::Slow => StatusCode::REQUEST_TIMEOUT,
            Self::Busy => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// An accepted connection.
pub struct Connection {
    peer: SocketAddr,
    limits: Limits,
    intake: Intake,
    reader: RequestDecoder<Intake>,
    writer: OwnedWriteHalf<TcpStream>,
    frame: Vec<u8>,
    closing: bool,
}

impl Connection {
    /// Returns a connection over `stream` that keeps its peer to `limits`.
    pub fn new(stream: TcpStream, peer: SocketAddr, limits: Limits) -> Self {
        // Tokens are single small writes, which Nagle's algorithm would hold back.
        let _ = stream.set_nodelay(true);
        let (read, writer) = stream.into_split();
        let intake = Intake::new(read);
        let reader = RequestDecoder::new(intake.clone());
        Self { peer, limits, intake, reader, writer, frame: Vec::new(), closing: false }
    }

    /// Returns the address of the other end.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Reads the next whole request, or `None` once the peer has closed the connection or sent
    /// nothing for too long.
    ///
    /// # Errors
    ///
    /// A fault leaves the connection unusable after its answer is written.
    pub async fn next(&mut self) -> Option<Result<Request, Fault>> {
        match self.read_head().await? {
            Ok(request) => Some(self.read_body(request).await),
            Err(fault) => Some(Err(fault)),
        }
    }

    async fn read_head(&mut self) -> Option<Result<http::Request<Payload>, Fault>> {
        let limits = &self.limits;
        self.intake.expect(limits.head_bytes);
        let late = async {
            if monoio::time::timeout(limits.idle, self.intake.begun()).await.is_err() {
                return None;
            }
            monoio::time::sleep(limits.head_time).await;
            Some(Err(Fault::Slow))
        };
        let next = monoio::select! {
            next = self.reader.next() => next?,
            late = late => return late,
        };
        match next {
            Ok(request) => Some(Ok(request)),
            Err(_) if self.intake.is_exceeded() => {
                Some(Err(Fault::HeadTooLarge(limits.head_bytes)))
            }
            Err(error) => fault_of(error).map(Err),
        }
    }

    async fn read_body(&mut self, request: http::Request<Payload>) -> Result<Request, Fault> {
        let (head, payload) = request.into_parts();
        let limit = self.limits.body_bytes;
        self.closing = asks_to_close(&head);
        if let Some(token) = &self.limits.token
            && head.method != Method::GET
            && !shows_token(&head.headers, token)
        {
            return Err(Fault::Unauthorized);
        }
        if declared_length(&head.headers)? > limit {
            return Err(Fault::TooLarge(limit));
        }
        self.intake.expect(limit.saturating_mul(2).saturating_add(FRAMING_BYTES));
        let read = collect(payload, limit);
        let fill = self.reader.fill_payload();
        let both = async {
            let (filled, body) = monoio::join!(fill, read);
            let body = body?;
            filled.map_err(|error| Fault::Malformed(error.to_string()))?;
            Ok(body)
        };
        let body = match monoio::time::timeout(self.limits.body_time, both).await {
            Err(_) => return Err(Fault::Slow),
            Ok(Err(_)) if self.intake.is_exceeded() => return Err(Fault::TooLarge(limit)),
            Ok(body) => body?,
        };
        Ok(Request {
            method: head.method,
            path: head.uri.path().to_owned(),
            query: head.uri.query().unwrap_or_default().to_owned(),
            headers: head.headers,
            body,
        })
    }

    /// Writes a whole answer.
    ///
    /// # Errors
    ///
    /// Fails if the peer is gone.
    pub async fn respond(&mut self, response: Response) -> Result<(), Error> {
        let mut message = http::Response::new(HttpBody::Ready(Some(response.body)));
        *message.status_mut() = response.status;
        *message.headers_mut() = response.headers;
        if self.closing {
            message.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        let mut encoder = GenericEncoder::new(&mut self.writer);
        let sent = async {
            encoder.send(message).await?;
            Sink::<http::Response<HttpBody>>::flush(&mut encoder).await
        };
        match monoio::time::timeout(self.limits.write_time, sent).await {
            Ok(sent) => sent.map_err(|error: HttpError| Error::new(Step::Send, self.peer, error)),
            Err(_) => Err(Error::new(Step::Send, self.peer, "the peer does not read")),
        }
    }

    /// Writes the head of a streamed answer; [`Connection::chunk`] and [`Connection::finish`] follow.
    ///
    /// # Errors
    ///
    /// Fails if the peer is gone.
    pub async fn begin(&mut self, status: StatusCode, headers: &HeaderMap) -> Result<(), Error> {
        let reason = status.canonical_reason().unwrap_or("Unknown");
        let mut head = format!("HTTP/1.1 {} {reason}\r\n", status.as_u16()).into_bytes();
        for (name, value) in headers {
            head.extend_from_slice(name.as_str().as_bytes());
            head.extend_from_slice(b": ");
            head.extend_from_slice(value.as_bytes());
            head.extend_from_slice(b"\r\n");
        }
        if self.closing {
            head.extend_from_slice(b"connection: close\r\n");
        }
        head.extend_from_slice(b"transfer-encoding: chunked\r\n\r\n");
        self.write(head).await.map(|_| ())
    }

    /// Writes one chunk of a streamed answer at once.
    ///
    /// # Errors
    ///
    /// Fails if the peer is gone.
    pub async fn chunk(&mut self, data: &[u8]) -> Result<(), Error> {
        if data.is_empty() {
            return Ok(());
        }
        let mut frame = std::mem::take(&mut self.frame);
        frame.clear();
        // Writing to a vector cannot fail.
        let _ = write!(frame, "{:x}\r\n", data.len());
        frame.extend_from_slice(data);
        frame.extend_from_slice(b"\r\n");
        self.frame = self.write(frame).await?;
        Ok(())
    }

    /// Ends a streamed answer.
    ///
    /// # Errors
    ///
    /// Fails if the peer is gone.
    pub async fn finish(&mut self) -> Result<(), Error> {
        self.write(b"0\r\n\r\n".to_vec()).await.map(|_| ())
    }

    /// Completes once the peer has closed its side.
    ///
    /// What it sends meanwhile is kept for [`Connection::next`].
    pub async fn closed(&mut self) {
        self.intake.ended(self.limits.head_bytes).await;
    }

    /// Answers what could not be read, and ends the connection so that the answer arrives.
    async fn reject(&mut self, response: Response) {
        self.closing = true;
        if self.respond(response).await.is_err() {
            return;
        }
        if self.writer.shutdown().await.is_ok() {
            self.intake.discard(DISCARD_TIME).await;
        }
    }

    /// Writes `bytes` and returns their buffer for the next ones.
    async fn write(&mut self, bytes: Vec<u8>) -> Result<Vec<u8>, Error> {
        let written = self.writer.write_all(bytes);
        match monoio::time::timeout(self.limits.write_time, written).await {
            Ok((Ok(_), buffer)) => Ok(buffer),
            Ok((Err(error), _)) => Err(Error::new(Step::Send, self.peer, error)),
            Err(_) => Err(Error::new(Step::Send, self.peer, "the peer does not read")),
        }
    }
}

/// Serves every connection of `listener` with `handler` until the future is dropped.
///
/// At most `connections` are open at a time; one more is answered with `busy` and closed. A fault
/// is answered with what `explain` makes of it, and its connection is closed.
///
/// # Errors
///
/// Fails when the listener does.
pub async fn serve<H>(
    listener: TcpListener,
    limits: Limits,
    connections: usize,
    explain: fn(&Fault) -> Response,
    handler: H,
) -> std::io::Result<()>
where
    H: AsyncFn(&mut Connection, Request) -> Result<(), Error> + 'static,
{
    let handler = Rc::new(handler);
    let open = Rc::new(Cell::new(0_usize));
    let rejecting = Rc::new(Cell::new(0_usize));
    loop {
        let (stream, peer) = listener.accept().await?;
        let mut connection = Connection::new(stream, peer, limits.clone());
        if open.get() >= connections {
            if rejecting.get() < REJECTIONS {
                rejecting.set(rejecting.get() + 1);
                let rejecting = rejecting.clone();
                monoio::spawn(async move {
                    connection.reject(explain(&Fault::Busy)).await;
                    rejecting.set(rejecting.get() - 1);
                });
            }
            continue;
        }
        open.set(open.get() + 1);
        let (handler, open) = (handler.clone(), open.clone());
        monoio::spawn(async move {
            serve_one(&mut connection, explain, &*handler).await;
            open.set(open.get() - 1);
        });
    }
}

async fn serve_one<H>(connection: &mut Connection, explain: fn(&Fault) -> Response, handler: &H)
where
    H: AsyncFn(&mut Connection, Request) -> Result<(), Error>,
{
    while let Some(request) = connection.next().await {
        match request {
            Ok(request) => {
                if handler(connection, request).await.is_err() || connection.closing {
                    return;
                }
            }
            Err(fault) => {
                return connection.reject(explain(&fault)).await;
            }
        }
    }
}

/// Connections beyond the limit that are told so at a time; more are just closed.
const REJECTIONS: usize = 256;

/// How long a rejected peer may go on sending before its connection is cut, in which case it may
/// not see the answer.
const DISCARD_TIME: Duration = Duration::from_millis(1_000);

/// Room for the framing of a chunked body, in bytes, beside as much again as the body.
const FRAMING_BYTES: usize = 64 << 10;

/// Returns whether the header fields show a bearer token, in a time that does not depend on how
/// much of it fits.
fn shows_token(headers: &HeaderMap, token: &str) -> bool {
    let shown = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let shown = shown.and_then(|text| text.strip_prefix("Bearer "));
    shown.is_some_and(|shown| bool::from(shown.as_bytes().ct_eq(token.as_bytes())))
}

/// Returns whether the peer wants the connection closed after the answer.
fn asks_to_close(head: &http::request::Parts) -> bool {
    let wish = head.headers.get(header::CONNECTION).and_then(|value| value.to_str().ok());
    let asks = |word: &str| {
        let mut words = wish.unwrap_or_default().split(',');
        words.any(|part| part.trim().eq_ignore_ascii_case(word))
    };
    asks("close") || (head.version == http::Version::HTTP_10 && !asks("keep-alive"))
}

fn declared_length(headers: &HeaderMap) -> Result<usize, Fault> {
    let Some(value) = headers.get(header::CONTENT_LENGTH) else { return Ok(0) };
    let length = value.to_str().ok().and_then(|text| text.parse().ok());
    length.ok_or_else(|| Fault::Malformed("the content length is not a number".to_owned()))
}

async fn collect(mut payload: Payload, limit: usize) -> Result<Bytes, Fault> {
    let mut whole = Vec::new();
    while let Some(part) = payload.next_data().await {
        let part = part.map_err(|error| Fault::Malformed(error.to_string()))?;
        if whole.len() + part.len() > limit {
            return Err(Fault::TooLarge(limit));
        }
        whole.extend_from_slice(&part);
    }
    Ok(Bytes::from(whole))
}

/// Returns what to tell the peer, or `None` if it is gone.
fn fault_of(error: HttpError) -> Option<Fault> {
    match error {
        HttpError::H1DecodeError(DecodeError::Io(_) | DecodeError::UnexpectedEof) => None,
        HttpError::IOError(_) => None,
        other => Some(Fault::Malformed(other.to_string())),
    }
}
