//! The HTTP/1.1 server.

mod connection;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use monoio::net::TcpListener;
use subtle::ConstantTimeEq;

pub use connection::Connection;

use crate::Error;
use crate::admission::{Admission, Exhausted};

/// The size and time limits of a connection, and the token that it requires.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The maximum size of a head, in bytes. A head may exceed it by up to one read.
    pub max_head_bytes: usize,
    /// The maximum size of a body, in bytes.
    pub max_body_bytes: usize,
    /// The time limit for the first byte of a request on an open connection.
    pub idle_timeout: Duration,
    /// The time limit from the first byte of a head to its end.
    pub head_timeout: Duration,
    /// The time limit for reading a complete body.
    pub body_timeout: Duration,
    /// The time limit for writing one part of a response to the peer.
    pub write_timeout: Duration,
    /// The memory of the listener's connections, or `None` if the peers are trusted.
    pub admission: Option<Admission>,
    /// The bearer token that every request but a GET without a body requires, or `None` if no token is required.
    ///
    /// It is checked before the body is read, so that an unauthenticated peer cannot make the process
    /// buffer large bodies.
    pub token: Option<Rc<str>>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_head_bytes: 32 << 10,
            max_body_bytes: 4 << 20,
            idle_timeout: Duration::from_secs(120),
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(30),
            admission: None,
            token: None,
        }
    }
}

/// A complete request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path without the query.
    pub path: String,
    /// The query without its question mark, or an empty string.
    pub query: String,
    /// The header fields.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Request {
    /// Returns the value of a header field, if it is present and printable ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the first value of a query parameter, without percent decoding.
    pub fn query_parameter(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// Returns whether the request carries `token` as its bearer token.
    pub fn has_bearer_token(&self, token: &str) -> bool {
        has_bearer_token(&self.headers, token)
    }
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status.
    pub status: StatusCode,
    /// The header fields. `Content-Length` is added when the response is written.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Response {
    /// Creates a response with an empty body.
    pub fn empty(status: StatusCode) -> Self {
        Self { status, headers: HeaderMap::new(), body: Bytes::new() }
    }

    /// Creates a response of type `application/json`.
    pub fn json(status: StatusCode, value: &impl serde::Serialize) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::typed(status, "application/json", body)
    }

    /// Creates a response of the given media type.
    pub fn typed(status: StatusCode, media: &'static str, body: impl Into<Bytes>) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(media));
        Self { status, headers, body: body.into() }
    }

    /// Creates a response of type `text/plain`.
    pub fn text(status: StatusCode, text: impl Into<Bytes>) -> Self {
        Self::typed(status, "text/plain; charset=utf-8", text)
    }

    /// Sets a header field; an invalid value is ignored.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: impl AsRef<str>) -> Self {
        if let Ok(value) = HeaderValue::from_str(value.as_ref()) {
            self.headers.insert(name, value);
        }
        self
    }
}

/// The reason why a request or a connection is rejected. Its text is meant for the peer.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Fault {
    /// The head or the framing of the body is malformed, for the given reason.
    #[error("malformed request: {0}")]
    Malformed(String),
    /// The body is larger than the limit, in bytes.
    #[error("the body is larger than {0} bytes")]
    BodyTooLarge(usize),
    /// The head is larger than the limit, in bytes.
    #[error("the head is larger than {0} bytes")]
    HeadTooLarge(usize),
    /// The request did not arrive in time.
    #[error("the request did not arrive in time")]
    TimedOut,
    /// The bearer token is missing or wrong.
    #[error("the token is missing or wrong")]
    Unauthorized,
    /// The limit of open connections is reached.
    #[error("too many connections are open")]
    TooManyConnections,
    /// There is no memory for the request.
    #[error("too much is held for other requests")]
    NoMemory,
}

impl From<Exhausted> for Fault {
    fn from(_: Exhausted) -> Self {
        Self::NoMemory
    }
}

impl Fault {
    /// Returns the response status for this fault.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Malformed(_) => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::HeadTooLarge(_) => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::TimedOut => StatusCode::REQUEST_TIMEOUT,
            Self::TooManyConnections | Self::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Serves every connection of `listener` with `handler` until the future is dropped.
///
/// At most `max_connections` are open at a time. A connection beyond that is rejected with
/// [`Fault::TooManyConnections`]. `fault_response` converts a fault to a response; the connection is
/// closed after it.
///
/// # Errors
///
/// Fails if accepting a connection fails for another reason than a lack of descriptors or memory, or a peer that has
/// disconnected already.
pub async fn serve<H>(
    listener: TcpListener,
    limits: Limits,
    max_connections: usize,
    fault_response: fn(&Fault) -> Response,
    handler: H,
) -> std::io::Result<()>
where
    H: AsyncFn(&mut Connection, Request) -> Result<(), Error> + 'static,
{
    let handler = Rc::new(handler);
    let open = Rc::new(Cell::new(0_usize));
    let rejecting = Rc::new(Cell::new(0_usize));
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) if error.raw_os_error().is_some_and(|code| PASSING.contains(&code)) => {
                monoio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
            Err(error) => return Err(error),
        };
        // Fails if the peer has already reset the connection.
        let Ok(mut connection) = Connection::new(stream, peer, limits.clone()) else { continue };
        if open.get() >= max_connections || connection.reserve().is_err() {
            if rejecting.get() < MAX_CONCURRENT_REJECTIONS {
                rejecting.set(rejecting.get() + 1);
                let rejecting = rejecting.clone();
                monoio::spawn(async move {
                    connection.reject(fault_response(&Fault::TooManyConnections)).await;
                    rejecting.set(rejecting.get() - 1);
                });
            }
            continue;
        }
        open.set(open.get() + 1);
        let (handler, open) = (handler.clone(), open.clone());
        monoio::spawn(async move {
            serve_connection(&mut connection, fault_response, &*handler).await;
            open.set(open.get() - 1);
        });
    }
}

/// The numbers of errors that pass: ENOMEM, ENFILE, EMFILE, ECONNABORTED and ENOBUFS.
const PASSING: [i32; 5] = [12, 23, 24, 103, 105];

/// The pause after such an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

async fn serve_connection<H>(
    connection: &mut Connection,
    fault_response: fn(&Fault) -> Response,
    handler: &H,
) where
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
                return connection.reject(fault_response(&fault)).await;
            }
        }
    }
}

/// The number of connections beyond the limit that receive an error response at the same time; further
/// ones are closed without a response.
const MAX_CONCURRENT_REJECTIONS: usize = 256;

/// Returns whether the header fields carry `token` as the bearer token. The time of the comparison does
/// not depend on how much of the token matches.
fn has_bearer_token(headers: &HeaderMap, token: &str) -> bool {
    let presented = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let presented = presented.and_then(|text| text.strip_prefix("Bearer "));
    presented.is_some_and(|presented| bool::from(presented.as_bytes().ct_eq(token.as_bytes())))
}
