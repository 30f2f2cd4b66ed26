//! One exchange with an upstream: the request out, the answer in as it arrives.

use std::cell::RefCell;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Method};
use orioleroute::prelude::*;
use orioleroute_wire::http1::body::Decoder;
use orioleroute_wire::http1::head::{self, Response};
use orioleroute_wire::http1::socket::Socket;

/// The longest wait for a connection: a round trip between regions takes 24 ms, and a lost packet
/// costs another second, for which there are other upstreams.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// The longest head of an answer, in bytes.
const MAX_HEAD: usize = 32 << 10;

/// Idle connections kept open to one upstream.
const IDLE_PER_UPSTREAM: usize = 8;

/// How long an idle connection is used again if the upstream does not say how long it keeps it.
const IDLE_LIFE: Duration = Duration::from_millis(1_500);

/// The part of the time that an upstream promises to keep an idle connection in which it is used.
const IDLE_SHARE: f64 = 0.6;

/// How long an idle connection is used again for a request that may run only once: a request that
/// meets the closing of its connection has an unknown outcome.
const FRESH: Duration = Duration::from_millis(800);

/// An upstream to send to.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its id.
    pub id: Arc<str>,
    /// Where it takes requests.
    pub address: SocketAddr,
}

/// A request as it goes out.
pub struct Outgoing<'a> {
    /// The method.
    pub method: &'a Method,
    /// The path and query.
    pub target: &'a str,
    /// The header fields without the framing.
    pub headers: HeaderMap,
    /// The body.
    pub body: &'a Bytes,
    /// Whether it may run more than once.
    pub is_repeatable: bool,
}

/// Why an exchange has no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// The upstream could not be reached, so nothing was sent.
    #[error("connect: {0}")]
    Unreachable(String),
    /// The connection ended, or what came was no answer; the request may have run.
    #[error("answer: {0}")]
    Broken(String),
}

/// Connections to upstreams, kept open between requests.
#[derive(Default)]
pub struct Connections {
    idle: RefCell<Map<Arc<str>, Vec<Idle>>>,
}

struct Idle {
    socket: Socket,
    since: Instant,
    life: Duration,
}

/// An answer whose body is still arriving.
pub struct Incoming {
    /// The head.
    pub head: Response,
    socket: Socket,
    decoder: Decoder,
    target: Target,
    is_request_sent: bool,
}

impl Connections {
    /// Sends a request and returns once the head of the answer is there.
    ///
    /// # Errors
    ///
    /// Fails if the upstream cannot be reached or breaks off.
    pub async fn send(
        &self,
        target: &Target,
        request: Outgoing<'_>,
        now: Instant,
    ) -> Result<Incoming, Failure> {
        let life = if request.is_repeatable { Duration::MAX } else { FRESH };
        let mut socket = match self.take(&target.id, life, now) {
            Some(socket) => socket,
            None => Socket::connect(target.address, CONNECT_TIMEOUT)
                .await
                .map_err(|error| Failure::Unreachable(error.to_string()))?,
        };
        let mut output = encode(&request);
        let broken = |cause: &dyn std::fmt::Display| Failure::Broken(cause.to_string());
        loop {
            match Response::parse(&mut socket.input, request.method, MAX_HEAD) {
                Ok(Some(head)) => {
                    let decoder = Decoder::new(head.framing);
                    let is_request_sent = output.is_empty();
                    let target = target.clone();
                    return Ok(Incoming { head, socket, decoder, target, is_request_sent });
                }
                Ok(None) => {}
                Err(error) => return Err(broken(&error)),
            }
            match socket.write_or_fill(&mut output).await {
                Ok(Some(0)) => return Err(broken(&"closed without an answer")),
                Ok(_) => {}
                Err(error) => return Err(broken(&error)),
            }
        }
    }

    fn take(&self, id: &Arc<str>, life: Duration, now: Instant) -> Option<Socket> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(id)?;
        while let Some(mut candidate) = kept.pop() {
            let is_young = now.since(candidate.since) < candidate.life.min(life);
            if is_young && candidate.socket.is_quiet() {
                return Some(candidate.socket);
            }
        }
        None
    }

    fn give(&self, id: &Arc<str>, idle: Idle) {
        let mut all = self.idle.borrow_mut();
        let kept = all.entry(id.clone()).or_default();
        if kept.len() >= IDLE_PER_UPSTREAM {
            kept.remove(0);
        }
        kept.push(idle);
    }

    /// Closes the connections to upstreams that are gone, and those that are idle for too long.
    pub fn prune(&self, is_there: impl Fn(&str) -> bool, now: Instant) {
        self.idle.borrow_mut().retain(|id, kept| {
            kept.retain(|idle| now.since(idle.since) < idle.life);
            !kept.is_empty() && is_there(id)
        });
    }
}

impl Incoming {
    /// Returns the next piece of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails if the body breaks off.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            match self.decoder.decode(&mut self.socket.input) {
                Ok(Some(data)) => return Ok(Some(data)),
                Ok(None) if self.decoder.is_done() => return Ok(None),
                Ok(None) => {}
                Err(error) => return Err(Failure::Broken(error.to_string())),
            }
            match self.socket.fill().await {
                Ok(0) if self.decoder.end() => return Ok(None),
                Ok(0) => return Err(Failure::Broken("closed within the body".into())),
                Ok(_) => {}
                Err(error) => return Err(Failure::Broken(error.to_string())),
            }
        }
    }

    /// Returns the whole body.
    ///
    /// # Errors
    ///
    /// Fails if the body breaks off or is longer than `limit` bytes.
    pub async fn collect(&mut self, limit: usize) -> Result<Bytes, Failure> {
        let mut whole = Vec::new();
        while let Some(piece) = self.next().await? {
            if whole.len() + piece.len() > limit {
                return Err(Failure::Broken(format!("longer than {limit} bytes")));
            }
            whole.extend_from_slice(&piece);
        }
        Ok(whole.into())
    }

    /// Keeps the connection for the next request if nothing speaks against it.
    pub fn release(self, connections: &Connections, now: Instant) {
        let is_clean = self.is_request_sent
            && self.decoder.is_done()
            && self.head.keeps_alive
            && self.socket.input.is_empty();
        if is_clean {
            let life = kept_for(&self.head.headers);
            connections.give(&self.target.id, Idle { socket: self.socket, since: now, life });
        }
    }
}

fn encode(request: &Outgoing<'_>) -> Bytes {
    let mut output = Vec::with_capacity(1_024 + request.body.len());
    head::write_request(&mut output, request.method, request.target, &request.headers);
    if !request.body.is_empty() || *request.method != Method::GET {
        head::write_field(&mut output, "content-length", request.body.len().to_string());
    }
    output.extend_from_slice(b"\r\n");
    output.extend_from_slice(request.body);
    output.into()
}

/// Returns how long a connection may be idle, from the `Keep-Alive` field.
fn kept_for(headers: &HeaderMap) -> Duration {
    let field = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let timeout = field.and_then(|text| {
        let mut pairs = text.split(',').filter_map(|pair| pair.trim().split_once('='));
        pairs.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?.1.parse::<u64>().ok()
    });
    timeout.map_or(IDLE_LIFE, |seconds| Duration::from_secs(seconds).mul_f64(IDLE_SHARE))
}
