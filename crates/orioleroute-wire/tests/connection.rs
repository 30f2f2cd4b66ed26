//! Tests of server connections: pipelined input is kept, and a peer that does not read is disconnected.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use http::HeaderMap;
use monoio::net::TcpListener;
use orioleroute_wire::server::{Connection, Fault, Limits, Request, Response, serve};
use orioleroute_wire::{Error, StatusCode, runtime};

/// How long the server takes to respond to `/slow`.
const SLOW_DELAY: Duration = Duration::from_millis(300);

/// One chunk of the endless response.
const CHUNK: [u8; 16 << 10] = [b'x'; 16 << 10];

fn start_server(limits: fn() -> Limits) -> SocketAddr {
    let (sender, address) = mpsc::channel();
    std::thread::spawn(move || {
        runtime::block_on(async move {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
            sender.send(listener.local_addr().expect("it is bound")).expect("the test waits");
            serve(listener, limits(), 8, fault_response, handle).await
        })
    });
    address.recv().expect("the server starts")
}

fn fault_response(fault: &Fault) -> Response {
    Response::text(fault.status(), fault.to_string())
}

async fn handle(connection: &mut Connection, request: Request) -> Result<(), Error> {
    if request.path == "/endless" {
        connection.start_response(StatusCode::OK, &HeaderMap::new()).await?;
        loop {
            connection.write_chunk(&CHUNK).await?;
        }
    }
    if request.path == "/slow" {
        monoio::select! {
            _ = monoio::time::sleep(SLOW_DELAY) => {}
            _ = connection.closed() => return Ok(()),
        }
    }
    connection.respond(Response::text(StatusCode::OK, format!("[{}]", request.path))).await
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the server listens");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("the time is not zero");
    stream
}

/// While a handler waits for its peer to disconnect, the server reads ahead. The part of the next
/// request that it reads must be kept for the decoder; otherwise the rest would be malformed.
#[test]
fn half_a_pipelined_request_is_not_lost() {
    let mut stream = connect(start_server(Limits::default));
    let first = b"GET /slow HTTP/1.1\r\nhost: a\r\n\r\n";
    let (second, rest) = (b"GET /next HTTP/1.1\r\nho", b"st: a\r\nconnection: close\r\n\r\n");
    stream.write_all(first).expect("the server reads");
    std::thread::sleep(SLOW_DELAY / 3);
    stream.write_all(second).expect("the server reads");
    std::thread::sleep(SLOW_DELAY);
    stream.write_all(rest).expect("the server reads");
    let mut responses = String::new();
    stream.read_to_string(&mut responses).expect("the server closes");
    assert!(responses.contains("[/slow]"), "{responses}");
    assert!(responses.contains("[/next]"), "{responses}");
}

/// A peer that requests an endless response and does not read it blocks the writes to its connection.
/// The write must time out, and other connections must be served in the meantime.
#[test]
fn a_peer_that_does_not_read_is_disconnected_and_blocks_no_other() {
    let limits = || Limits { write_timeout: Duration::from_millis(300), ..Limits::default() };
    let address = start_server(limits);
    let mut endless = connect(address);
    endless.write_all(b"GET /endless HTTP/1.1\r\nhost: a\r\n\r\n").expect("the server reads");
    std::thread::sleep(Duration::from_millis(100));
    let mut other = connect(address);
    let sent_at = Instant::now();
    other
        .write_all(b"GET /other HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
        .expect("the server reads");
    let mut response = String::new();
    other.read_to_string(&mut response).expect("the server closes");
    assert!(response.contains("[/other]"), "{response}");
    assert!(sent_at.elapsed() < Duration::from_millis(200), "delayed {:?}", sent_at.elapsed());
    std::thread::sleep(Duration::from_millis(500));
    // Data in the socket buffers can still be read, but the server wrote no more after that.
    let mut received = Vec::new();
    let _ = endless.read_to_end(&mut received);
    assert!(!received.ends_with(b"0\r\n\r\n"), "the endless response was completed");
}
