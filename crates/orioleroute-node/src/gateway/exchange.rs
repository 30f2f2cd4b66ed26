//! HTTP exchanges with upstreams: sends a request and reads the response as it arrives.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http::{HeaderMap, Method};
use orioleroute::ingress::upstream::Description;
use orioleroute::prelude::*;
use orioleroute_platform::ingress::Connection;
use orioleroute_wire::http1::head::{self, Response};
use orioleroute_wire::http1::incoming::{self, Cut};
use orioleroute_wire::http1::socket::Socket;
use orioleroute_wire::sse::Broken;

use super::state::Gateway;
use crate::detour::{self, Way};

/// The most idle connections kept open to one upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 8;

/// How long an idle connection can be reused if the upstream sends no `Keep-Alive` timeout.
const DEFAULT_MAX_IDLE: Duration = Duration::from_millis(1_500);

/// The fraction of the upstream's `Keep-Alive` timeout during which an idle connection is reused.
const KEEP_ALIVE_FRACTION: f64 = 0.6;

/// How long an idle connection can be reused for a request that may run only once. If the upstream
/// closes the connection while the request is being sent, its outcome is unknown.
const NON_REPEATABLE_MAX_IDLE: Duration = Duration::from_millis(800);

/// The upstream to send a request to.
#[derive(Clone, Debug)]
pub struct Target {
    /// The id of the upstream.
    pub id: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// The address for requests.
    pub address: SocketAddr,
}

impl From<&Description> for Target {
    fn from(upstream: &Description) -> Self {
        let Description { id, service, address, .. } = upstream.clone();
        Self { id, service, address }
    }
}

/// A request to send to an upstream.
pub struct Outgoing<'a> {
    /// The method.
    pub method: &'a Method,
    /// The path and query.
    pub target: &'a str,
    /// The header fields, without `content-length` and `transfer-encoding`.
    pub headers: HeaderMap,
    /// The body.
    pub body: &'a Bytes,
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
}

/// The connection on which a request went to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transport {
    /// The way that it takes.
    pub way: Way,
    /// Whether it had carried other requests.
    pub connection: Connection,
}

/// Why an exchange failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// Connecting failed, so nothing was sent.
    #[error("connect: {0}")]
    Unreachable(String),
    /// The connection ended early or the response was malformed; the request may have run.
    #[error("{0}")]
    Broken(Cut, Transport),
}

/// Why a response is lost to the client, although the request may have run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Loss {
    /// It was not received in full.
    #[error(transparent)]
    Cut(#[from] Cut),
    /// Its body was received in full, but its events are incomplete.
    #[error(transparent)]
    Stream(#[from] Broken),
    /// A started stream sent nothing for too long.
    #[error("silent")]
    Silent,
    /// It answers another request.
    #[error("an answer to another request")]
    Mismatched,
    /// It should continue a stream, but is none.
    #[error("resumed with status {0}")]
    NotResumed(u16),
}

impl Loss {
    /// Returns the name of the innermost cause, for metrics.
    pub fn cause(&self) -> &'static str {
        match self {
            Self::Cut(cut) => cut.into(),
            Self::Stream(broken) => broken.into(),
            other => other.into(),
        }
    }
}

/// The pool of idle connections to upstreams.
#[derive(Default)]
pub struct Connections {
    idle: RefCell<Map<Arc<str>, Vec<IdleConnection>>>,
}

struct IdleConnection {
    socket: Socket,
    /// The service of the upstream.
    service: Arc<str>,
    way: Way,
    idle_since: Instant,
    max_idle: Duration,
}

/// A response of an upstream whose body is still arriving.
pub struct Incoming {
    response: incoming::Incoming,
    target: Target,
    transport: Transport,
}

impl Connections {
    /// Sends a request and returns once the head of the response has arrived.
    ///
    /// # Errors
    ///
    /// Fails if the upstream is unreachable, closes the connection early or sends a malformed head.
    pub async fn send(
        &self,
        gateway: &Rc<Gateway>,
        target: &Target,
        request: Outgoing<'_>,
    ) -> Result<Incoming, Failure> {
        let max_idle = if request.is_repeatable { Duration::MAX } else { NON_REPEATABLE_MAX_IDLE };
        let (socket, transport) = match self.take_idle(gateway, &target.id, max_idle) {
            Some((socket, way)) => (socket, Transport { way, connection: Connection::Reused }),
            None => {
                let connected = detour::connect(gateway, target).await;
                let (socket, way) = connected.map_err(Failure::Unreachable)?;
                (socket, Transport { way, connection: Connection::New })
            }
        };
        let received = incoming::Incoming::receive(socket, encode(&request), request.method).await;
        if transport.connection == Connection::New {
            // A malformed answer shows that the upstream can be reached, too.
            let is_answered = matches!(received, Ok(_) | Err(Cut::Malformed(_)));
            detour::observe(gateway, target, &transport.way, is_answered);
        }
        match received {
            Ok(response) => Ok(Incoming { response, target: target.clone(), transport }),
            Err(cut) => Err(Failure::Broken(cut, transport)),
        }
    }

    fn take_idle(
        &self,
        gateway: &Gateway,
        id: &Arc<str>,
        max_idle: Duration,
    ) -> Option<(Socket, Way)> {
        let now = gateway.now();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(id)?;
        while let Some(mut candidate) = kept.pop() {
            let is_fresh = now.since(candidate.idle_since) < candidate.max_idle.min(max_idle);
            if is_fresh && candidate.is_usable(gateway) && candidate.socket.is_idle() {
                return Some((candidate.socket, candidate.way));
            }
        }
        None
    }

    fn put_idle(&self, id: &Arc<str>, idle: IdleConnection) {
        let mut all = self.idle.borrow_mut();
        let kept = all.entry(id.clone()).or_default();
        if kept.len() >= MAX_IDLE_PER_UPSTREAM {
            kept.remove(0);
        }
        kept.push(idle);
    }

    /// Closes the connections to upstreams of a service that are not in use.
    pub fn clear(&self, service: &Arc<str>) {
        let mut idle = self.idle.borrow_mut();
        idle.values_mut().for_each(|kept| kept.retain(|idle| idle.service != *service));
        idle.retain(|_, kept| !kept.is_empty());
    }

    /// Closes connections to upstreams that are no longer listed, those that were idle for too long, and those whose way is no
    /// longer to be used.
    pub fn prune(&self, gateway: &Gateway, is_listed: impl Fn(&str) -> bool) {
        let now = gateway.now();
        self.idle.borrow_mut().retain(|id, kept| {
            kept.retain(|idle| {
                now.since(idle.idle_since) < idle.max_idle && idle.is_usable(gateway)
            });
            !kept.is_empty() && is_listed(id)
        });
    }
}

impl IdleConnection {
    fn is_usable(&self, gateway: &Gateway) -> bool {
        detour::is_usable(gateway, &self.service, &self.way)
    }
}

impl Incoming {
    /// Returns the head.
    pub fn head(&self) -> &Response {
        &self.response.head
    }

    /// Returns the connection on which the request went.
    pub fn transport(&self) -> &Transport {
        &self.transport
    }

    /// Returns how many bytes of the body have been received, with its framing.
    pub fn body_bytes(&self) -> usize {
        self.response.body_bytes()
    }

    /// Returns the next part of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails if the body is truncated or malformed.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Cut> {
        self.response.next().await
    }

    /// Returns the connection to the pool if it can be reused.
    pub fn release(self, gateway: &Gateway) {
        let max_idle = max_idle_from(&self.response.head.headers);
        if let Some(socket) = self.response.into_reusable() {
            let (service, way) = (self.target.service, self.transport.way);
            let idle = IdleConnection { socket, service, way, idle_since: gateway.now(), max_idle };
            if idle.is_usable(gateway) {
                gateway.connections.put_idle(&self.target.id, idle);
            }
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

/// Returns how long a connection may stay idle in the pool, from the `Keep-Alive` field.
fn max_idle_from(headers: &HeaderMap) -> Duration {
    let field = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let timeout = field.and_then(|text| {
        let mut pairs = text.split(',').filter_map(|pair| pair.trim().split_once('='));
        pairs.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?.1.parse::<u64>().ok()
    });
    timeout.map_or(DEFAULT_MAX_IDLE, |seconds| {
        Duration::from_secs(seconds).mul_f64(KEEP_ALIVE_FRACTION)
    })
}
