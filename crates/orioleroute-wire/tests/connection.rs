//! What a connection keeps of its peer's input, and how it treats peers that do not read.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use http::HeaderMap;
use monoio::net::TcpListener;
use orioleroute_wire::server::{Connection, Fault, Limits, Request, Response, serve};
use orioleroute_wire::{Error, StatusCode, runtime};

/// The time that a request to `/slow` takes.
const SLOW: Duration = Duration::from_millis(300);

/// The parts of an endless answer.
const PART: [u8; 16 << 10] = [b'x'; 16 << 10];

fn start(limits: fn() -> Limits) -> SocketAddr {
    let (sender, address) = mpsc::channel();
    std::thread::spawn(move || {
        runtime::block_on(async move {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
            sender.send(listener.local_addr().expect("it is bound")).expect("the test waits");
            serve(listener, limits(), 8, explain, answer).await
        })
    });
    address.recv().expect("the server starts")
}

fn explain(fault: &Fault) -> Response {
    Response::text(fault.status(), fault.to_string())
}

async fn answer(connection: &mut Connection, request: Request) -> Result<(), Error> {
    if request.path == "/endless" {
        connection.begin(StatusCode::OK, &HeaderMap::new()).await?;
        loop {
            connection.chunk(&PART).await?;
        }
    }
    if request.path == "/slow" {
        monoio::select! {
            _ = monoio::time::sleep(SLOW) => {}
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

#[test]
fn half_a_pipelined_request_is_not_lost() {
    let mut stream = connect(start(Limits::default));
    let first = b"GET /slow HTTP/1.1\r\nhost: a\r\n\r\n";
    let (begin, rest) = (b"GET /next HTTP/1.1\r\nho", b"st: a\r\nconnection: close\r\n\r\n");
    stream.write_all(first).expect("the server reads");
    std::thread::sleep(SLOW / 3);
    stream.write_all(begin).expect("the server reads");
    std::thread::sleep(SLOW);
    stream.write_all(rest).expect("the server reads");
    let mut answers = String::new();
    stream.read_to_string(&mut answers).expect("the server closes");
    assert!(answers.contains("[/slow]"), "{answers}");
    assert!(answers.contains("[/next]"), "{answers}");
}

#[test]
fn a_peer_that_does_not_read_is_let_go_and_holds_nobody_up() {
    let limits = || Limits { write_time: Duration::from_millis(300), ..Limits::default() };
    let address = start(limits);
    let mut endless = connect(address);
    endless.write_all(b"GET /endless HTTP/1.1\r\nhost: a\r\n\r\n").expect("the server reads");
    std::thread::sleep(Duration::from_millis(100));
    let mut other = connect(address);
    let asked = Instant::now();
    other
        .write_all(b"GET /other HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
        .expect("the server reads");
    let mut answer = String::new();
    other.read_to_string(&mut answer).expect("the server closes");
    assert!(answer.contains("[/other]"), "{answer}");
    assert!(asked.elapsed() < Duration::from_millis(200), "held up for {:?}", asked.elapsed());
    std::thread::sleep(Duration::from_millis(500));
    // What the sockets hold is still read; the rest was never made.
    let mut taken = Vec::new();
    let _ = endless.read_to_end(&mut taken);
    assert!(!taken.ends_with(b"0\r\n\r\n"), "the answer never ends");
}
