//! The server side of HTTP/1.1.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use monoio::io::sink::Sink;
use monoio::io::stream::Stream;
use monoio::io::{AsyncWriteRentExt, OwnedReadHalf, OwnedWriteHalf, Splitable};
use monoio::net::{TcpListener, TcpStream};
use monoio_http::common::body::{Body, HttpBody};
use monoio_http::h1::codec::decoder::{FillPayload, RequestDecoder};
use monoio_http::h1::codec::encoder::GenericEncoder;
use monoio_http::h1::payload::Payload;

use crate::{Error, Step};

/// The bounds that a connection keeps its peer to.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The largest body accepted, in bytes.
    pub body_bytes: usize,
    /// The longest wait for a request head on an open connection.
    pub idle: Duration,
    /// The longest wait for a whole body.
    pub body_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 4 << 20,
            idle: Duration::from_secs(120),
            body_time: Duration::from_secs(10),
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
    /// The request did not arrive in time.
    #[error("the request did not arrive in time")]
    Slow,
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
            Self::Slow => StatusCode::REQUEST_TIMEOUT,
            Self::Busy => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// An accepted connection.
pub struct Connection {
    peer: SocketAddr,
    limits: Limits,
    reader: RequestDecoder<OwnedReadHalf<TcpStream>>,
    writer: OwnedWriteHalf<TcpStream>,
    pipelined: Option<http::Request<Payload>>,
}

impl Connection {
    /// Returns a connection over `stream` that keeps its peer to `limits`.
    pub fn new(stream: TcpStream, peer: SocketAddr, limits: Limits) -> Self {
        // Tokens are single small writes, which Nagle's algorithm would hold back.
        let _ = stream.set_nodelay(true);
        let (read, writer) = stream.into_split();
        let mut reader = RequestDecoder::new(read);
        reader.set_timeout(Some(limits.idle));
        Self { peer, limits, reader, writer, pipelined: None }
    }

    /// Returns the address of the other end.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Reads the next whole request, or `None` once the peer has closed the connection.
    ///
    /// # Errors
    ///
    /// A fault leaves the connection unusable after its answer is written.
    pub async fn next(&mut self) -> Option<Result<Request, Fault>> {
        let request = match self.pipelined.take() {
            Some(request) => request,
            None => match self.reader.next().await? {
                Ok(request) => request,
                Err(error) => return fault_of(error),
            },
        };
        Some(self.read_body(request).await)
    }

    async fn read_body(&mut self, request: http::Request<Payload>) -> Result<Request, Fault> {
        let (head, payload) = request.into_parts();
        let limit = self.limits.body_bytes;
        if declared_length(&head.headers) > limit {
            return Err(Fault::TooLarge(limit));
        }
        let read = collect(payload, limit);
        let fill = self.reader.fill_payload();
        let both = async {
            let (filled, body) = monoio::join!(fill, read);
            let body = body?;
            filled.map_err(|error| Fault::Malformed(error.to_string()))?;
            Ok(body)
        };
        let body =
            monoio::time::timeout(self.limits.body_time, both).await.map_err(|_| Fault::Slow)??;
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
        let mut encoder = GenericEncoder::new(&mut self.writer);
        let sent = async {
            encoder.send(message).await?;
            Sink::<http::Response<HttpBody>>::flush(&mut encoder).await
        };
        sent.await.map_err(|error: monoio_http::common::error::HttpError| {
            Error::new(Step::Send, self.peer, error)
        })
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
        head.extend_from_slice(b"transfer-encoding: chunked\r\n\r\n");
        self.write(head).await
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
        let mut frame = Vec::with_capacity(data.len() + CHUNK_FRAME_BYTES);
        frame.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
        frame.extend_from_slice(data);
        frame.extend_from_slice(b"\r\n");
        self.write(frame).await
    }

    /// Ends a streamed answer.
    ///
    /// # Errors
    ///
    /// Fails if the peer is gone.
    pub async fn finish(&mut self) -> Result<(), Error> {
        self.write(b"0\r\n\r\n".to_vec()).await
    }

    /// Completes once the peer has closed its side or sent what cannot be a request.
    ///
    /// A request that was pipelined meanwhile is kept for [`Connection::next`], and the future then
    /// stays pending, since the peer is still there.
    pub async fn closed(&mut self) {
        if self.pipelined.is_some() {
            return std::future::pending().await;
        }
        self.reader.set_timeout(None);
        let next = self.reader.next().await;
        self.reader.set_timeout(Some(self.limits.idle));
        if let Some(Ok(request)) = next {
            self.pipelined = Some(request);
            std::future::pending().await
        }
    }

    async fn write(&mut self, bytes: Vec<u8>) -> Result<(), Error> {
        let (written, _) = self.writer.write_all(bytes).await;
        written.map(|_| ()).map_err(|error| Error::new(Step::Send, self.peer, error))
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
    loop {
        let (stream, peer) = listener.accept().await?;
        let mut connection = Connection::new(stream, peer, limits);
        if open.get() >= connections {
            monoio::spawn(async move {
                let _ = connection.respond(explain(&Fault::Busy)).await;
            });
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
                if handler(connection, request).await.is_err() {
                    return;
                }
            }
            Err(fault) => {
                let _ = connection.respond(explain(&fault).with("connection", "close")).await;
                return;
            }
        }
    }
}

/// Room for a chunk's length and line ends, in bytes.
const CHUNK_FRAME_BYTES: usize = 20;

fn declared_length(headers: &HeaderMap) -> usize {
    headers
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
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

fn fault_of(error: monoio_http::common::error::HttpError) -> Option<Result<Request, Fault>> {
    use monoio_http::common::error::HttpError;
    use monoio_http::h1::codec::decoder::DecodeError;
    match error {
        HttpError::H1DecodeError(DecodeError::TimedOut) => Some(Err(Fault::Slow)),
        HttpError::H1DecodeError(DecodeError::Io(_) | DecodeError::UnexpectedEof) => None,
        HttpError::IOError(_) => None,
        other => Some(Err(Fault::Malformed(other.to_string()))),
    }
}
