//! The HTTP/1.1 client, with connections pooled between calls.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};

use crate::connect::{OnClose, Options};
use crate::http1::body::Framing;
use crate::http1::head;
use crate::http1::incoming::{self, Cut};
use crate::http1::socket::Socket;
use crate::{Error, Step};

/// The time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The maximum number of idle connections kept open to one peer.
const MAX_IDLE_PER_PEER: usize = 64;

/// The default of the largest body of a response that is read as a whole, in bytes. Objects of the store have up to 8 MiB.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// A complete response.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The header fields.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Answer {
    /// Decodes the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails at [`Step::Decode`] if the body does not deserialize as a `T`.
    pub fn json<T: serde::de::DeserializeOwned>(&self, peer: SocketAddr) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(|error| Error::new(Step::Decode, peer, error))
    }
}

/// The time limits of a call whose response may be large. A transfer that makes progress is not cut short, because the next
/// one would take as long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The longest time to the head of the response.
    pub head: Duration,
    /// The longest time between two parts of its body.
    pub part: Duration,
    /// The longest time for the whole body.
    pub body: Duration,
}

/// A request to send, with builder methods for its parts.
#[derive(Clone, Debug)]
pub struct Call {
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
}

impl Call {
    /// Creates a request without header fields or body.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self { method, path: path.into(), headers: HeaderMap::new(), body: Bytes::new() }
    }

    /// Sets a header field; an invalid value is ignored.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: impl AsRef<str>) -> Self {
        if let Ok(value) = HeaderValue::from_str(value.as_ref()) {
            self.headers.insert(name, value);
        }
        self
    }

    /// Sets the body without a media type.
    #[must_use]
    pub fn raw_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets the body and its media type.
    #[must_use]
    pub fn body(mut self, media: &'static str, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self.header("content-type", media)
    }

    /// Sets a JSON body.
    #[must_use]
    pub fn json(self, value: &impl serde::Serialize) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        self.body("application/json", body)
    }
}

/// A pool of connections to all peers, reused between calls.
#[derive(Clone)]
pub struct Pool {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Socket>>>>,
    on_close: OnClose,
    /// The largest body of a response that is read as a whole, in bytes.
    max_answer: usize,
}

impl Default for Pool {
    fn default() -> Self {
        Self { idle: Rc::default(), on_close: OnClose::default(), max_answer: MAX_ANSWER_BYTES }
    }
}

impl Pool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates an empty pool that resets its connections when it closes them. A request whose time limit
    /// has expired then does not reach the peer later, when a partition between them has healed.
    pub fn resetting() -> Self {
        Self { on_close: OnClose::Reset, ..Self::default() }
    }

    /// Returns the pool with another limit on the bodies that are read as a whole, in bytes. Many peers may send without an
    /// end at the same time.
    #[must_use]
    pub fn with_max_answer(self, max_answer: usize) -> Self {
        Self { max_answer, ..self }
    }

    /// Sends a GET request for `path` to `peer` and reads the complete response.
    ///
    /// # Errors
    ///
    /// Fails as [`Pool::call`] does.
    pub async fn get(&self, peer: SocketAddr, path: impl Into<String>) -> Result<Answer, Error> {
        self.call(peer, Call::new(Method::GET, path)).await
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Fails with the step at which the exchange failed.
    pub async fn call(&self, peer: SocketAddr, call: Call) -> Result<Answer, Error> {
        self.open(peer, call).await?.collect().await
    }

    /// Sends a request and reads the complete response within `limit`.
    ///
    /// # Errors
    ///
    /// Fails as [`Pool::call`] does, and at [`Step::Head`] when the limit expires.
    pub async fn call_within(
        &self,
        peer: SocketAddr,
        call: Call,
        limit: Duration,
    ) -> Result<Answer, Error> {
        match monoio::time::timeout(limit, self.call(peer, call)).await {
            Ok(result) => result,
            Err(_) => Err(Error::new(Step::Head, peer, "timed out")),
        }
    }

    /// Sends a request and reads the complete response within these limits.
    ///
    /// # Errors
    ///
    /// Fails as [`Pool::call`] does, and at [`Step::Head`] or [`Step::Body`] when a limit expires.
    pub async fn call_limited(
        &self,
        peer: SocketAddr,
        call: Call,
        limits: Limits,
    ) -> Result<Answer, Error> {
        let expired = |step| Error::new(step, peer, "timed out");
        let opened = monoio::time::timeout(limits.head, self.open(peer, call)).await;
        let mut incoming = opened.unwrap_or_else(|_| Err(expired(Step::Head)))?;
        let collected = monoio::time::timeout(limits.body, async {
            let mut body = Vec::new();
            while let Some(part) = monoio::time::timeout(limits.part, incoming.next())
                .await
                .map_err(|_| expired(Step::Body))?
            {
                body.extend_from_slice(&part?);
                if body.len() > self.max_answer {
                    return Err(incoming.fail(Cut::TooLong(self.max_answer)));
                }
            }
            Ok(body)
        });
        let body = collected.await.unwrap_or_else(|_| Err(expired(Step::Body)))?;
        Ok(Answer { status: incoming.status, headers: incoming.headers, body: body.into() })
    }

    /// Sends a request and reads the complete response within `limit`, unless `check` returns false once
    /// the connection is open, right before the request is written.
    ///
    /// # Errors
    ///
    /// Fails as [`Pool::call_within`] does, and at [`Step::Check`] if the check fails. Nothing has been
    /// sent then.
    pub async fn call_checked(
        &self,
        peer: SocketAddr,
        call: Call,
        limit: Duration,
        check: impl Fn() -> bool,
    ) -> Result<Answer, Error> {
        let exchange = async {
            let socket = self.connection(peer).await?;
            match check() {
                true => self.exchange(socket, peer, call).await?.collect().await,
                false => {
                    self.put_idle(peer, socket);
                    Err(Error::new(Step::Check, peer, "not sent"))
                }
            }
        };
        match monoio::time::timeout(limit, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Error::new(Step::Head, peer, "timed out")),
        }
    }

    /// Sends a request over this connection and reads the complete response.
    ///
    /// # Errors
    ///
    /// Fails as [`Pool::call`] does.
    pub async fn call_over(
        &self,
        socket: Socket,
        peer: SocketAddr,
        call: Call,
    ) -> Result<Answer, Error> {
        self.exchange(socket, peer, call).await?.collect().await
    }

    /// Sends a request and returns once the head of the response has arrived.
    ///
    /// A pooled connection is checked for closure by the peer before anything is written to it. The
    /// pool therefore never sends a request a second time without the caller's knowledge.
    ///
    /// # Errors
    ///
    /// Fails with the step at which the exchange failed.
    pub async fn open(&self, peer: SocketAddr, call: Call) -> Result<Incoming, Error> {
        let socket = self.connection(peer).await?;
        self.exchange(socket, peer, call).await
    }

    /// Sends a request over a new connection and returns once the head of the response has arrived.
    ///
    /// A peer that has just closed one connection is likely to close the pooled ones too.
    ///
    /// # Errors
    ///
    /// Fails with the step at which the exchange failed.
    pub async fn open_new(&self, peer: SocketAddr, call: Call) -> Result<Incoming, Error> {
        let socket = self.connect(peer).await?;
        self.exchange(socket, peer, call).await
    }

    async fn connection(&self, peer: SocketAddr) -> Result<Socket, Error> {
        match self.take_idle(peer) {
            Some(socket) => Ok(socket),
            None => self.connect(peer).await,
        }
    }

    async fn connect(&self, peer: SocketAddr) -> Result<Socket, Error> {
        let options = Options { on_close: self.on_close, ..Options::default() };
        let socket = Socket::connect_with(peer, CONNECT_TIMEOUT, options).await;
        socket.map_err(|error| Error::new(Step::Connect, peer, error))
    }

    async fn exchange(
        &self,
        socket: Socket,
        peer: SocketAddr,
        call: Call,
    ) -> Result<Incoming, Error> {
        let request = encode(peer, &call)?;
        let received = incoming::Incoming::receive(socket, request, &call.method).await;
        let response = received.map_err(|cut| Error::new(Step::Head, peer, cut))?;
        Ok(Incoming {
            peer,
            status: response.head.status,
            headers: response.head.headers.clone(),
            framing: response.head.framing,
            response: Some(response),
            pool: self.clone(),
        })
    }

    /// Takes an idle connection from the pool, dropping those that the peer has closed.
    fn take_idle(&self, peer: SocketAddr) -> Option<Socket> {
        loop {
            let mut socket = self.idle.borrow_mut().get_mut(&peer)?.pop()?;
            if socket.is_idle() {
                return Some(socket);
            }
        }
    }

    fn put_idle(&self, peer: SocketAddr, socket: Socket) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(peer).or_default();
        if connections.len() < MAX_IDLE_PER_PEER {
            connections.push(socket);
        }
    }
}

/// A response whose body is still arriving.
///
/// Dropping it before the end of the body closes the connection, so that the peer stops sending.
pub struct Incoming {
    /// The status.
    pub status: StatusCode,
    /// The header fields.
    pub headers: HeaderMap,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// The address of the peer.
    pub peer: SocketAddr,
    /// The response, until it has been read to its end or has failed.
    response: Option<incoming::Incoming>,
    pool: Pool,
}

impl Incoming {
    /// Reads the rest of the body.
    async fn collect(mut self) -> Result<Answer, Error> {
        let body = match &mut self.response {
            Some(response) => response.collect(self.pool.max_answer).await,
            None => Ok(Bytes::new()),
        };
        let body = body.map_err(|cut| self.fail(cut))?;
        self.release();
        Ok(Answer { status: self.status, headers: self.headers, body })
    }

    /// Waits for the next part of the body and returns it, or `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// Fails at [`Step::Body`] if the connection fails before the end of the body.
    pub async fn next(&mut self) -> Option<Result<Bytes, Error>> {
        match self.response.as_mut()?.next().await {
            Ok(Some(part)) => Some(Ok(part)),
            Ok(None) => {
                self.release();
                None
            }
            Err(cut) => Some(Err(self.fail(cut))),
        }
    }

    fn fail(&mut self, cut: Cut) -> Error {
        self.response = None;
        Error::new(Step::Body, self.peer, cut)
    }

    /// Returns the connection to the pool, unless the peer closes it after this response.
    fn release(&mut self) {
        if let Some(socket) = self.response.take().and_then(incoming::Incoming::into_reusable) {
            self.pool.put_idle(self.peer, socket);
        }
    }
}

/// Encodes a request.
///
/// # Errors
///
/// Fails at [`Step::Check`] if the path is not valid, so that nothing is sent.
fn encode(peer: SocketAddr, call: &Call) -> Result<Bytes, Error> {
    let target: PathAndQuery =
        call.path.parse().map_err(|error| Error::new(Step::Check, peer, error))?;
    let mut headers = call.headers.clone();
    if let Ok(host) = HeaderValue::from_str(&peer.to_string()) {
        headers.insert(header::HOST, host);
    }
    let mut output = Vec::with_capacity(512 + call.body.len());
    head::write_request(&mut output, &call.method, target.as_str(), &headers);
    if !call.body.is_empty() || call.method != Method::GET {
        head::write_field(&mut output, "content-length", call.body.len().to_string());
    }
    output.extend_from_slice(b"\r\n");
    output.extend_from_slice(&call.body);
    Ok(output.into())
}
