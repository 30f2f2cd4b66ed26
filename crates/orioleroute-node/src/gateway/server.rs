//! The HTTP server for clients.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use monoio::net::TcpListener;
use orioleroute::ingress::configuration::Limits;
use orioleroute::prelude::*;
use orioleroute_platform::ingress;
use orioleroute_wire::http1::Malformed;
use orioleroute_wire::http1::body::{Decoder, Framing};
use orioleroute_wire::http1::head::{self, Request};
use orioleroute_wire::http1::socket::Socket;
use slog::{info, warn};

use super::forward::{self, Disposition, Inbound};
use super::state::Gateway;

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

/// Accepts connections from clients, forever.
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener) {
    let open_connections = Rc::new(Cell::new(0_usize));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(gateway.log, "accepting a client failed"; "error" => error.to_string());
                monoio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Ok(mut socket) = Socket::accepted(stream) else { continue };
        let gateway = gateway.clone();
        if open_connections.get() >= gateway.settings().connections {
            metrics::counter!("orioleroute_connections_rejected_total").increment(1);
            continue;
        }
        open_connections.set(open_connections.get() + 1);
        let open_connections = open_connections.clone();
        monoio::spawn(async move {
            serve_connection(&gateway, &mut socket).await;
            open_connections.set(open_connections.get() - 1);
        });
    }
}

/// Serves the requests of one connection sequentially.
async fn serve_connection(gateway: &Rc<Gateway>, client: &mut Socket) {
    loop {
        if !await_request(gateway, client).await {
            return;
        }
        let limits = limits(gateway);
        let head = match read_head(client, &limits).await {
            Ok(Some(head)) => head,
            Ok(None) => return,
            Err(rejection) => return reject(client, None, rejection).await,
        };
        let _guard = gateway.track_request();
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
        if disposition == Disposition::Close || !keeps_alive || gateway.is_stopping() {
            // The client may have disconnected already, and there is nothing left to send.
            let _ = client.shutdown().await;
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
async fn read_head(client: &mut Socket, limits: &Limits) -> Result<Option<Request>, Rejection> {
    let read = async {
        loop {
            match Request::parse(&mut client.input, limits.max_head_bytes) {
                Ok(Some(head)) => return Ok(Some(head)),
                Ok(None) => {}
                Err(error) => return Err(Rejection::Malformed(error)),
            }
            match client.fill().await {
                Ok(read) if read > 0 => {}
                _ => return Ok(None),
            }
        }
    };
    monoio::time::timeout(limits.head_timeout, read).await.unwrap_or(Err(Rejection::TimedOut))
}

async fn read_body(
    gateway: &Rc<Gateway>,
    client: &mut Socket,
    head: &Request,
    limits: &Limits,
) -> Result<Bytes, Rejection> {
    if head.framing == Framing::Length(0) {
        return Ok(Bytes::new());
    }
    if matches!(head.framing, Framing::Length(length) if length > limits.max_body_bytes as u64) {
        return Err(Rejection::TooLarge);
    }
    if head.expects_continue() && client.input.is_empty() {
        let interim = client.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        interim.map_err(|_| Rejection::Disconnected)?;
    }
    let mut whole = Vec::new();
    let mut decoder = Decoder::new(head.framing);
    let read = async {
        loop {
            match decoder.decode(&mut client.input) {
                Ok(Some(chunk)) => {
                    if whole.len() + chunk.len() > limits.max_body_bytes {
                        return Err(Rejection::TooLarge);
                    }
                    if !gateway.reserve_body(chunk.len()) {
                        return Err(Rejection::NoMemory);
                    }
                    whole.extend_from_slice(&chunk);
                }
                Ok(None) if decoder.is_done() => return Ok(()),
                Ok(None) => match client.fill().await {
                    Ok(read) if read > 0 => {}
                    _ => return Err(Rejection::Disconnected),
                },
                Err(error) => return Err(Rejection::Malformed(error)),
            }
        }
    };
    let read = monoio::time::timeout(BODY_TIMEOUT, read).await.unwrap_or(Err(Rejection::TimedOut));
    if read.is_err() {
        gateway.release_body(whole.len());
    }
    read.map(|()| whole.into())
}

/// Responds to a rejected request, and closes the connection so that the response arrives.
async fn reject(client: &mut Socket, id: Option<&str>, rejection: Rejection) {
    if rejection == Rejection::Disconnected {
        return;
    }
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
