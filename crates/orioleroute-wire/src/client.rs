//! The client side of HTTP/1.1, with connections kept open between calls.

use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use monoio::io::sink::Sink;
use monoio::io::stream::Stream;
use monoio::net::TcpStream;
use monoio_http::common::body::HttpBody;
use monoio_http::common::error::HttpError;
use monoio_http::h1::BorrowFramedRead;
use monoio_http::h1::codec::ClientCodec;
use monoio_http::h1::codec::decoder::{
    ChunkedBodyDecoder, DecodeError, FixedBodyDecoder, PayloadDecoder,
};

use crate::{Error, Step};

type Codec = ClientCodec<TcpStream>;

/// The longest wait for a connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle connections kept open to one peer.
const IDLE_PER_PEER: usize = 64;

/// A whole answer.
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
    /// Fails at [`Step::Decode`] if the body is not a `T`.
    pub fn json<T: serde::de::DeserializeOwned>(&self, peer: SocketAddr) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(|error| Error::new(Step::Decode, peer, error))
    }
}

/// A request to be sent, built up field by field.
#[derive(Clone, Debug)]
pub struct Call {
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
}

impl Call {
    /// Returns a request without header fields or body.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self { method, path: path.into(), headers: HeaderMap::new(), body: Bytes::new() }
    }

    /// Adds a header field, leaving it out if its value cannot be sent.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: impl AsRef<str>) -> Self {
        if let Ok(value) = HeaderValue::from_str(value.as_ref()) {
            self.headers.insert(name, value);
        }
        self
    }

    /// Sets the body without saying what it is.
    #[must_use]
    pub fn payload(mut self, body: impl Into<Bytes>) -> Self {
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

/// Connections to all peers, reused between calls.
#[derive(Clone, Default)]
pub struct Pool {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Codec>>>>,
}

impl Pool {
    /// Returns an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Gets `path` from `peer`.
    ///
    /// # Errors
    ///
    /// Fails as [`Pool::call`] does.
    pub async fn get(&self, peer: SocketAddr, path: impl Into<String>) -> Result<Answer, Error> {
        self.call(peer, Call::new(Method::GET, path)).await
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Fails with the step at which the exchange broke.
    pub async fn call(&self, peer: SocketAddr, call: Call) -> Result<Answer, Error> {
        let mut stream = self.open(peer, call).await?;
        let mut whole = Vec::new();
        while let Some(part) = stream.next().await {
            whole.extend_from_slice(&part?);
        }
        Ok(Answer { status: stream.status, headers: stream.headers, body: Bytes::from(whole) })
    }

    /// Sends a request and reads the whole answer within `limit`.
    ///
    /// # Errors
    ///
    /// Fails as [`Pool::call`] does, and at [`Step::Head`] when the time is over.
    pub async fn call_within(
        &self,
        peer: SocketAddr,
        call: Call,
        limit: Duration,
    ) -> Result<Answer, Error> {
        match monoio::time::timeout(limit, self.call(peer, call)).await {
            Ok(answer) => answer,
            Err(_) => Err(Error::new(Step::Head, peer, "timed out")),
        }
    }

    /// Sends a request and returns once the head of the answer is there.
    ///
    /// A kept connection that the peer has closed is noticed before anything is written to it, so
    /// that a call is never repeated behind its maker's back.
    ///
    /// # Errors
    ///
    /// Fails with the step at which the exchange broke.
    pub async fn open(&self, peer: SocketAddr, call: Call) -> Result<Incoming, Error> {
        let mut codec = match self.take(peer).await {
            Some(codec) => codec,
            None => connect(peer).await?,
        };
        let request = request_of(peer, call);
        let sent = async {
            codec.send(request).await?;
            Sink::<http::Request<HttpBody>>::flush(&mut codec).await
        };
        sent.await.map_err(|error: HttpError| Error::new(Step::Send, peer, error))?;
        let answer = match codec.next().await {
            Some(Ok(answer)) => answer,
            Some(Err(error)) => return Err(Error::new(Step::Head, peer, error)),
            None => return Err(Error::new(Step::Head, peer, "closed without an answer")),
        };
        let (head, decoder) = answer.into_parts();
        let reusable = head.headers.get(header::CONNECTION).is_none_or(|value| value != "close");
        Ok(Incoming {
            peer,
            status: head.status,
            headers: head.headers,
            decoder,
            codec: Some(codec),
            pool: reusable.then(|| self.clone()),
        })
    }

    /// Takes a kept connection that the peer has not closed meanwhile.
    async fn take(&self, peer: SocketAddr) -> Option<Codec> {
        loop {
            let mut codec = self.idle.borrow_mut().get_mut(&peer)?.pop()?;
            if is_quiet(&mut codec).await {
                return Some(codec);
            }
        }
    }

    fn give(&self, peer: SocketAddr, codec: Codec) {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(peer).or_default();
        if kept.len() < IDLE_PER_PEER {
            kept.push(codec);
        }
    }
}

type BodyDecoder = PayloadDecoder<FixedBodyDecoder, ChunkedBodyDecoder>;

/// An answer whose body is still arriving.
///
/// Dropping it before the end closes the connection, which tells the peer to stop.
pub struct Incoming {
    /// The status.
    pub status: StatusCode,
    /// The header fields.
    pub headers: HeaderMap,
    /// The address of the other end.
    pub peer: SocketAddr,
    decoder: BodyDecoder,
    codec: Option<Codec>,
    pool: Option<Pool>,
}

impl Incoming {
    /// Returns the next part of the body as it arrives, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails at [`Step::Body`] if the body breaks off.
    pub async fn next(&mut self) -> Option<Result<Bytes, Error>> {
        let codec = self.codec.as_mut()?;
        let framed = codec.framed_mut();
        let part = match &mut self.decoder {
            PayloadDecoder::None => Ok(None),
            PayloadDecoder::Fixed(decoder) => {
                let part = framed.next_with(decoder).await;
                self.decoder = PayloadDecoder::None;
                part.transpose()
            }
            PayloadDecoder::Streamed(decoder) => match framed.next_with(decoder).await {
                Some(part) => part,
                None => Err(DecodeError::UnexpectedEof),
            },
        };
        match part {
            Ok(Some(part)) => Some(Ok(part)),
            Ok(None) => {
                self.release();
                None
            }
            Err(error) => {
                self.codec = None;
                Some(Err(Error::new(Step::Body, self.peer, error)))
            }
        }
    }

    /// Hands the connection back for the next call.
    fn release(&mut self) {
        if let (Some(codec), Some(pool)) = (self.codec.take(), self.pool.take()) {
            pool.give(self.peer, codec);
        }
    }
}

/// Returns whether nothing, not even an end, has arrived on a kept connection.
async fn is_quiet(codec: &mut Codec) -> bool {
    let mut peek = std::pin::pin!(codec.framed_mut().peek_data());
    std::future::poll_fn(|context| Poll::Ready(peek.as_mut().poll(context).is_pending())).await
}

async fn connect(peer: SocketAddr) -> Result<Codec, Error> {
    let stream = crate::connect::connect(peer, CONNECT_TIMEOUT).await;
    stream.map(ClientCodec::new).map_err(|error| Error::new(Step::Connect, peer, error))
}

fn request_of(peer: SocketAddr, call: Call) -> http::Request<HttpBody> {
    let mut request = http::Request::new(HttpBody::Ready(Some(call.body)));
    *request.method_mut() = call.method;
    *request.uri_mut() = call.path.parse().unwrap_or_default();
    *request.headers_mut() = call.headers;
    if let Ok(host) = HeaderValue::from_str(&peer.to_string()) {
        request.headers_mut().insert(header::HOST, host);
    }
    request
}
