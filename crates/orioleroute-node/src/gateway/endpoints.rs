//! The auxiliary endpoints: readiness, address resolution for clients, and metrics.

use std::rc::Rc;

use http::StatusCode;
use metrics_exporter_prometheus::PrometheusHandle;
use monoio::net::TcpListener;
use orioleroute::prelude::*;
use orioleroute_platform::ingress;
use orioleroute_wire::admission::{Part, Reservation};
use orioleroute_wire::http1::body::Framing;
use orioleroute_wire::http1::head::{self, Request};
use orioleroute_wire::http1::socket::Socket;
use slog::warn;

use super::state::Gateway;
use super::turned_away::{self, Listener};

/// The largest request head, in bytes.
const MAX_HEAD_BYTES: usize = 8 << 10;

/// The longest wait for the next request on a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// The longest time from the first byte of a request to its end.
const HEAD_TIMEOUT: Duration = Duration::from_secs(1);

/// The longest wait for a client to read a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// The pause after a failed accept, which is mostly due to a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves the readiness of this instance, forever.
pub async fn serve_ready(gateway: Rc<Gateway>, listener: TcpListener) {
    let answer = |gateway: &Rc<Gateway>, request: &Request| match request.path() {
        ingress::READY_PATH if gateway.is_serving() => (StatusCode::OK, Vec::new()),
        ingress::READY_PATH => (StatusCode::SERVICE_UNAVAILABLE, Vec::new()),
        _ => (StatusCode::NOT_FOUND, Vec::new()),
    };
    serve(gateway, Listener::Ready, listener, answer, "text/plain").await;
}

/// Serves the addresses that clients should use, forever.
pub async fn serve_resolutions(gateway: Rc<Gateway>, listener: TcpListener) {
    let answer = |gateway: &Rc<Gateway>, request: &Request| {
        if request.path() != ingress::RESOLVE_PATH {
            return (StatusCode::NOT_FOUND, Vec::new());
        }
        let own = gateway.settings().region.clone();
        let addresses = gateway.addresses(request.query_parameter("region").unwrap_or(&own));
        if addresses.is_empty() {
            return (StatusCode::SERVICE_UNAVAILABLE, Vec::new());
        }
        let life = gateway.settings().resolution_life;
        (StatusCode::OK, ingress::resolution_body(&addresses, life))
    };
    serve(gateway, Listener::Directory, listener, answer, "application/json").await;
}

/// Serves the metrics, forever.
pub async fn serve_metrics(gateway: Rc<Gateway>, listener: TcpListener, metrics: PrometheusHandle) {
    let answer =
        move |_: &Rc<Gateway>, _: &Request| (StatusCode::OK, metrics.render().into_bytes());
    serve(gateway, Listener::Metrics, listener, answer, "text/plain; version=0.0.4").await;
}

async fn serve(
    gateway: Rc<Gateway>,
    name: Listener,
    listener: TcpListener,
    answer: impl Fn(&Rc<Gateway>, &Request) -> (StatusCode, Vec<u8>) + 'static,
    content_type: &'static str,
) {
    let answer = Rc::new(answer);
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!(gateway.log, "accepting a connection failed"; "error" => error.to_string());
                monoio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let mut reservation = match name.admission(&gateway.room).admit(peer) {
            Ok(reservation) => reservation,
            Err(refusal) => {
                turned_away::report(&gateway, name, refusal);
                continue;
            }
        };
        let Ok(socket) = Socket::accepted(stream) else { continue };
        let (gateway, answer) = (gateway.clone(), answer.clone());
        monoio::spawn(async move {
            let room = &mut reservation;
            // The error is dropped: a client that has disconnected needs no response.
            let _ = serve_connection(&gateway, socket, room, &*answer, content_type).await;
        });
    }
}

async fn serve_connection(
    gateway: &Rc<Gateway>,
    mut socket: Socket,
    reservation: &mut Reservation,
    answer: &impl Fn(&Rc<Gateway>, &Request) -> (StatusCode, Vec<u8>),
    content_type: &str,
) -> std::io::Result<()> {
    while let Some(request) = read_request(&mut socket).await {
        let (status, body) = answer(gateway, &request);
        // Without room for it, the client gets none and asks again.
        let held = reservation.hold(Part::Answer, 2 * body.len());
        held.map_err(|_| std::io::ErrorKind::OutOfMemory)?;
        let mut output = Vec::with_capacity(256 + body.len());
        head::write_response(&mut output, status, &http::HeaderMap::new());
        head::write_field(&mut output, "content-type", content_type);
        head::write_field(&mut output, "content-length", body.len().to_string());
        output.extend_from_slice(b"\r\n");
        output.extend_from_slice(&body);
        let written = monoio::time::timeout(WRITE_TIMEOUT, socket.write(&output)).await;
        written.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))?;
        reservation.end_request();
        if !request.keeps_alive {
            return socket.shutdown().await;
        }
    }
    Ok(())
}

/// Reads a request without a body. Returns `None` if the client closes the connection or is idle for too long, or if the
/// request is malformed, too slow or has a body, which these endpoints do not take.
async fn read_request(socket: &mut Socket) -> Option<Request> {
    if socket.input.is_empty() {
        let read = monoio::time::timeout(IDLE_TIMEOUT, socket.fill()).await.ok()?.ok()?;
        (read > 0).then_some(())?;
    }
    let read = async {
        loop {
            match Request::parse(&mut socket.input, MAX_HEAD_BYTES) {
                Ok(Some(request)) => return Some(request),
                Ok(None) if socket.fill().await.ok()? > 0 => {}
                _ => return None,
            }
        }
    };
    let request = monoio::time::timeout(HEAD_TIMEOUT, read).await.ok()??;
    (request.framing == Framing::Length(0)).then_some(request)
}
