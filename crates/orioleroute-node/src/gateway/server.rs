//! The HTTP server for clients.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, StatusCode};
use monoio::net::TcpListener;
use orioleroute::ingress::configuration::Limits;
use orioleroute::prelude::*;
use orioleroute_platform::ingress;
use orioleroute_wire::admission::{Exhausted, Part, Reservation};
use orioleroute_wire::http1::Malformed;
use orioleroute_wire::http1::body::{Decoder, Framing};
use orioleroute_wire::http1::head::{self, Request};
use orioleroute_wire::http1::socket::Socket;
use slog::{info, warn};

use super::forward::{self, Disposition, Inbound};
use super::state::Gateway;
use super::turned_away;
use crate::work::Work;

/// The longest wait for a whole body: the longest deadline that clients currently use.
const BODY_TIMEOUT: Duration = Duration::from_secs(15);

/// How long the remaining input of a rejected request is read, so that the client receives the
/// response.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// The pause after a failed accept, which is mostly due to a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The longest wait for a client to read a response without a body.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// The retry-after time if this instance's memory for request bodies is used up. It is short because
/// other instances have capacity.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(200);

/// How many times the length of its head a request takes: the head, its fields and what is decoded from them.
const HEAD_COPIES: usize = 8;

/// The memory that a request takes besides its parts, in bytes.
const REQUEST_BYTES: usize = 8 << 10;

/// How many times the memory of a body is taken: the body and the copy that is sent to an upstream.
const BODY_COPIES: usize = 2;

/// The input that a connection may have buffered without holding memory for it, in bytes. [`Part::Connection`] covers it.
const COVERED_INPUT_BYTES: usize = 4 << 10;

/// Accepts connections from clients, forever.
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!(gateway.log, "accepting a client failed"; "error" => error.to_string());
                monoio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let reservation = match gateway.room.clients.admit(peer) {
            Ok(reservation) => reservation,
            Err(refusal) => {
                turned_away::report(&gateway, turned_away::Listener::Clients, refusal);
                continue;
            }
        };
        let Ok(socket) = Socket::accepted(stream) else { continue };
        let gateway = gateway.clone();
        monoio::spawn(async move {
            serve_connection(&gateway, &mut Client { socket, reservation }).await;
        });
    }
}

/// The connection of a client, and what is held for it.
pub struct Client {
    /// The connection.
    pub socket: Socket,
    /// What is held for it.
    pub reservation: Reservation,
}

impl Client {
    /// Holds memory for the input that has been received and not handled.
    ///
    /// # Errors
    ///
    /// Fails if there is no room for it.
    pub fn hold_input(&mut self) -> Result<(), Exhausted> {
        let covered = self.socket.input.len() <= COVERED_INPUT_BYTES;
        // A buffer that has grown may be twice as large as what is in it.
        let bytes = if covered { 0 } else { 2 * self.socket.input.len() };
        self.reservation.hold(Part::Input, bytes)
    }

    /// Returns what was held for a request that has been answered.
    fn end_request(&mut self) {
        self.reservation.end_request();
        if self.socket.input.is_empty() {
            self.socket.input = BytesMut::new();
        }
        // There is no more input than before.
        let _ = self.hold_input();
    }
}

/// Serves the requests of one connection sequentially.
async fn serve_connection(gateway: &Rc<Gateway>, client: &mut Client) {
    loop {
        if !await_request(gateway, &mut client.socket).await {
            return;
        }
        let limits = limits(gateway);
        let head = match read_head(client, &limits).await {
            Ok(Some(head)) => head,
            Ok(None) => return,
            Err(rejection) => return reject(client, None, rejection).await,
        };
        let _guard = gateway.in_flight.begin(Work::Request);
        let arrived = gateway.now();
        let id = ingress::attempt(&head.headers).id;
        let body = match read_body(gateway, client, &head, &limits).await {
            Ok(body) => body,
            Err(rejection) => {
                info!(gateway.log, "rejected"; "request" => id.as_deref(),
                    "status" => rejection.status().as_u16(), "reason" => ?rejection);
                return reject(client, id.as_deref(), rejection).await;
            }
        };
        let bytes = body.len();
        let keeps_alive = head.keeps_alive;
        let disposition = forward::handle(gateway, client, Inbound { head, body, arrived }).await;
        gateway.release_body(bytes);
        client.end_request();
        if disposition == Disposition::Close || !keeps_alive || gateway.is_stopping() {
            // The client may have disconnected already, and there is nothing left to send.
            let _ = client.socket.shutdown().await;
            return;
        }
    }
}

/// Why a request is rejected before it is routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rejection {
    Malformed(Malformed),
    TooLarge,
    TimedOut,
    NoMemory,
    Disconnected,
}

impl From<Exhausted> for Rejection {
    fn from(_: Exhausted) -> Self {
        Self::NoMemory
    }
}

impl Rejection {
    fn status(self) -> StatusCode {
        match self {
            Self::Malformed(Malformed::HeadTooLarge(_)) => {
                StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE
            }
            Self::Malformed(_) => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TimedOut | Self::Disconnected => StatusCode::REQUEST_TIMEOUT,
            Self::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Returns the limits in force.
fn limits(gateway: &Gateway) -> Limits {
    gateway.configuration().map_or_else(Limits::default, |configuration| configuration.limits)
}

/// Waits for the next request on a connection, and returns whether its first bytes have arrived. They have not if the
/// client closes the connection or is idle for longer than the configuration in force at the end of the wait permits.
async fn await_request(gateway: &Gateway, client: &mut Socket) -> bool {
    let since = gateway.now();
    while client.input.is_empty() {
        let left = limits(gateway).idle_timeout.saturating_sub(gateway.now().since(since));
        if left.is_zero() {
            metrics::counter!("orioleroute_idle_connections_closed_total").increment(1);
            return false;
        }
        match monoio::time::timeout(left, client.fill()).await {
            Ok(Ok(read)) if read > 0 => {}
            Ok(_) => return false,
            Err(_) => {}
        }
    }
    true
}

/// Reads a request head, or returns `None` if the client closes the connection.
async fn read_head(client: &mut Client, limits: &Limits) -> Result<Option<Request>, Rejection> {
    let read = async {
        loop {
            let received = client.socket.input.len();
            match Request::parse(&mut client.socket.input, limits.max_head_bytes) {
                Ok(Some(head)) => {
                    let length = received - client.socket.input.len();
                    let bytes = HEAD_COPIES * length + REQUEST_BYTES;
                    client.reservation.hold(Part::Head, bytes)?;
                    return Ok(Some(head));
                }
                Ok(None) => {}
                Err(error) => return Err(Rejection::Malformed(error)),
            }
            match client.socket.fill().await {
                Ok(read) if read > 0 => client.hold_input()?,
                _ => return Ok(None),
            }
        }
    };
    monoio::time::timeout(limits.head_timeout, read).await.unwrap_or(Err(Rejection::TimedOut))
}

async fn read_body(
    gateway: &Rc<Gateway>,
    client: &mut Client,
    head: &Request,
    limits: &Limits,
) -> Result<Bytes, Rejection> {
    let longest = match head.framing {
        Framing::Length(0) => return Ok(Bytes::new()),
        Framing::Length(length) if length > limits.max_body_bytes as u64 => {
            return Err(Rejection::TooLarge);
        }
        Framing::Length(length) => length as usize,
        Framing::Chunked | Framing::UntilClose => limits.max_body_bytes,
    };
    if head.expects_continue() && client.socket.input.is_empty() {
        let interim = client.socket.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        interim.map_err(|_| Rejection::Disconnected)?;
    }
    let mut whole = Vec::new();
    let mut reserved = 0;
    let mut decoder = Decoder::new(head.framing);
    let read = async {
        loop {
            match decoder.decode(&mut client.socket.input) {
                Ok(Some(chunk)) => {
                    let length = whole.len() + chunk.len();
                    if length > limits.max_body_bytes {
                        return Err(Rejection::TooLarge);
                    }
                    if !gateway.reserve_body(chunk.len()) {
                        return Err(Rejection::NoMemory);
                    }
                    reserved = length;
                    if length > whole.capacity() {
                        let capacity = length.max(2 * whole.capacity()).min(longest);
                        client.reservation.hold(Part::Body, BODY_COPIES * capacity)?;
                        whole.reserve_exact(capacity - whole.len());
                    }
                    whole.extend_from_slice(&chunk);
                }
                Ok(None) if decoder.is_done() => return Ok(()),
                Ok(None) => match client.socket.fill().await {
                    Ok(read) if read > 0 => client.hold_input()?,
                    _ => return Err(Rejection::Disconnected),
                },
                Err(error) => return Err(Rejection::Malformed(error)),
            }
        }
    };
    let read = monoio::time::timeout(BODY_TIMEOUT, read).await.unwrap_or(Err(Rejection::TimedOut));
    if read.is_err() {
        gateway.release_body(reserved);
        drop(std::mem::take(&mut whole));
        client.reservation.end_request();
    }
    read.map(|()| whole.into())
}

/// Responds to a rejected request, and closes the connection so that the response arrives.
async fn reject(client: &mut Client, id: Option<&str>, rejection: Rejection) {
    if rejection == Rejection::Disconnected {
        return;
    }
    let client = &mut client.socket;
    metrics::counter!("orioleroute_rejected_total", "status" => rejection.status().as_str().to_owned())
        .increment(1);
    let retry_after = (rejection == Rejection::NoMemory).then_some(NO_MEMORY_RETRY_AFTER);
    let message = local_response(rejection.status(), id, retry_after, true);
    let written = monoio::time::timeout(WRITE_TIMEOUT, client.write(&message)).await;
    if matches!(written, Ok(Ok(()))) {
        client.close_after_write(DISCARD_TIMEOUT).await;
    }
}

/// Returns a response without a body that is generated by this instance.
pub fn local_response(
    status: StatusCode,
    id: Option<&str>,
    retry_after: Option<Duration>,
    closes: bool,
) -> Vec<u8> {
    let mut headers = HeaderMap::new();
    ingress::set_local_response_headers(&mut headers, id, retry_after);
    let mut output = Vec::with_capacity(256);
    head::write_response(&mut output, status, &headers);
    head::write_field(&mut output, "content-length", "0");
    if closes {
        head::write_field(&mut output, "connection", "close");
    }
    output.extend_from_slice(b"\r\n");
    output
}
