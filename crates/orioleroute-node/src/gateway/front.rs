//! The connections of clients.

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
use slog::warn;

use super::forward::{self, Ending, Inbound};
use super::state::Gateway;

/// The longest wait for a whole body: as long as the longest deadline of today's clients.
const BODY_TIME: Duration = Duration::from_secs(15);

/// How long a client that sent what cannot be taken may go on sending, so that it sees the answer.
const DISCARD_TIME: Duration = Duration::from_millis(500);

/// The wait after a failed accept, which is mostly for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The longest wait for a client to take a small answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// When a client that met a limit of this instance is to come back; others have room.
const BUSY_RETRY: Duration = Duration::from_millis(200);

/// Takes connections of clients, forever.
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener) {
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(gateway.log, "no client accepted"; "error" => error.to_string());
                monoio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(mut socket) = Socket::accepted(stream) else { continue };
        let gateway = gateway.clone();
        if open.get() >= gateway.settings().connections {
            metrics::counter!("orioleroute_connections_rejected_total").increment(1);
            continue;
        }
        open.set(open.get() + 1);
        let open = open.clone();
        monoio::spawn(async move {
            converse(&gateway, &mut socket).await;
            open.set(open.get() - 1);
        });
    }
}

/// Answers the requests of one connection, one after another.
async fn converse(gateway: &Rc<Gateway>, client: &mut Socket) {
    loop {
        let limits = gateway.configuration().map_or_else(Limits::default, |known| known.limits);
        let head = match read_head(client, &limits).await {
            Ok(Some(head)) => head,
            Ok(None) => return,
            Err(fault) => return reject(client, None, fault).await,
        };
        let _guard = gateway.enter();
        let arrived = gateway.now();
        let id = ingress::attempt(&head.headers).id;
        let body = match read_body(gateway, client, &head, &limits).await {
            Ok(body) => body,
            Err(fault) => return reject(client, id.as_deref(), fault).await,
        };
        let bytes = body.len();
        let keeps_alive = head.keeps_alive;
        let ending = forward::answer(gateway, client, Inbound { head, body, arrived }).await;
        gateway.release_body(bytes);
        if ending == Ending::Close || !keeps_alive || gateway.is_stopping() {
            // The peer may be gone; there is nothing more to tell it.
            let _ = client.shutdown().await;
            return;
        }
    }
}

/// Why a request cannot be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Malformed(Malformed),
    TooLarge,
    Slow,
    Busy,
    Gone,
}

impl Fault {
    fn status(self) -> StatusCode {
        match self {
            Self::Malformed(Malformed::HeadTooLarge(_)) => {
                StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE
            }
            Self::Malformed(_) => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Slow | Self::Gone => StatusCode::REQUEST_TIMEOUT,
            Self::Busy => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Reads a head, or returns `None` once the client has closed or been idle for too long.
async fn read_head(client: &mut Socket, limits: &Limits) -> Result<Option<Request>, Fault> {
    if client.input.is_empty() {
        match monoio::time::timeout(limits.idle_time, client.fill()).await {
            Ok(Ok(read)) if read > 0 => {}
            _ => return Ok(None),
        }
    }
    let read = async {
        loop {
            match Request::parse(&mut client.input, limits.head_bytes) {
                Ok(Some(head)) => return Ok(Some(head)),
                Ok(None) => {}
                Err(error) => return Err(Fault::Malformed(error)),
            }
            match client.fill().await {
                Ok(read) if read > 0 => {}
                _ => return Ok(None),
            }
        }
    };
    monoio::time::timeout(limits.head_time, read).await.unwrap_or(Err(Fault::Slow))
}

async fn read_body(
    gateway: &Rc<Gateway>,
    client: &mut Socket,
    head: &Request,
    limits: &Limits,
) -> Result<Bytes, Fault> {
    if head.framing == Framing::Length(0) {
        return Ok(Bytes::new());
    }
    if matches!(head.framing, Framing::Length(length) if length > limits.body_bytes as u64) {
        return Err(Fault::TooLarge);
    }
    if head.expects_continue() && client.input.is_empty() {
        let interim = client.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        interim.map_err(|_| Fault::Gone)?;
    }
    let mut whole = Vec::new();
    let mut decoder = Decoder::new(head.framing);
    let read = async {
        loop {
            match decoder.decode(&mut client.input) {
                Ok(Some(piece)) => {
                    if whole.len() + piece.len() > limits.body_bytes {
                        return Err(Fault::TooLarge);
                    }
                    if !gateway.reserve_body(piece.len()) {
                        return Err(Fault::Busy);
                    }
                    whole.extend_from_slice(&piece);
                }
                Ok(None) if decoder.is_done() => return Ok(()),
                Ok(None) => match client.fill().await {
                    Ok(read) if read > 0 => {}
                    _ => return Err(Fault::Gone),
                },
                Err(error) => return Err(Fault::Malformed(error)),
            }
        }
    };
    let read = monoio::time::timeout(BODY_TIME, read).await.unwrap_or(Err(Fault::Slow));
    if read.is_err() {
        gateway.release_body(whole.len());
    }
    read.map(|()| whole.into())
}

/// Answers what cannot be taken, and ends the connection so that the answer arrives.
async fn reject(client: &mut Socket, id: Option<&str>, fault: Fault) {
    if fault == Fault::Gone {
        return;
    }
    metrics::counter!("orioleroute_rejected_total", "status" => fault.status().as_str().to_owned())
        .increment(1);
    let retry_after = (fault == Fault::Busy).then_some(BUSY_RETRY);
    if respond(client, fault.status(), id, retry_after, true).await.is_err()
        || client.shutdown().await.is_err()
    {
        return;
    }
    // Closing with unread input would reset the connection before the client reads the answer.
    let drained = async {
        while matches!(client.fill().await, Ok(read) if read > 0) {
            client.input.clear();
        }
    };
    let _ = monoio::time::timeout(DISCARD_TIME, drained).await;
}

/// Writes an answer of this system's own, without a body.
pub async fn respond(
    client: &mut Socket,
    status: StatusCode,
    id: Option<&str>,
    retry_after: Option<Duration>,
    closes: bool,
) -> std::io::Result<()> {
    let mut headers = HeaderMap::new();
    ingress::set_own_answer(&mut headers, id, retry_after);
    let mut output = Vec::with_capacity(256);
    head::write_response(&mut output, status, &headers);
    head::write_field(&mut output, "content-length", "0");
    if closes {
        head::write_field(&mut output, "connection", "close");
    }
    output.extend_from_slice(b"\r\n");
    match monoio::time::timeout(WRITE_TIMEOUT, client.write(&output)).await {
        Ok(written) => written,
        Err(_) => Err(std::io::ErrorKind::TimedOut.into()),
    }
}
