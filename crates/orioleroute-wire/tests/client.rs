//! Reading responses as a client: when a response is complete, and how much of one that has no end is read.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use orioleroute_wire::client::{Answer, Pool};
use orioleroute_wire::{Error, Step, runtime};
use rstest::rstest;
use socket2::SockRef;

/// How a server ends its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Close,
    Reset,
}

/// Starts a server that answers the first request of each connection with `bytes` and ends the connection.
fn server(bytes: &'static str, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            read_request(&mut stream);
            stream.write_all(bytes.as_bytes()).unwrap();
            if end == End::Reset {
                // The reset must not overtake the response.
                std::thread::sleep(Duration::from_millis(50));
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            }
        }
    });
    address
}

fn read_request(stream: &mut TcpStream) {
    let mut request = Vec::new();
    let mut buffer = [0; 1_024];
    while !request.ends_with(b"\r\n\r\n") {
        match stream.read(&mut buffer) {
            Ok(read) if read > 0 => request.extend_from_slice(&buffer[..read]),
            _ => return,
        }
    }
}

fn call(address: SocketAddr) -> Result<Answer, Error> {
    runtime::block_on(async move { Pool::new().get(address, "/").await })
}

/// Guards against a response that is taken for complete because its connection has ended.
#[rstest]
#[case::before_the_body("Content-Length: 3\r\n\r\n", End::Close)]
#[case::within_the_body("Content-Length: 3\r\n\r\nab", End::Close)]
#[case::before_the_chunks("Transfer-Encoding: chunked\r\n\r\n", End::Close)]
#[case::within_a_chunk("Transfer-Encoding: chunked\r\n\r\n3\r\nab", End::Close)]
#[case::after_a_chunk("Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", End::Close)]
#[case::within_the_last_chunk("Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n", End::Close)]
#[case::by_a_reset("\r\nab", End::Reset)]
fn a_response_that_is_cut_off_is_not_complete(#[case] rest: &'static str, #[case] end: End) {
    let address = server(format!("HTTP/1.1 200 OK\r\n{rest}").leak(), end);

    let answer = call(address);

    assert_eq!(answer.map(|answer| answer.body).map_err(|error| error.step), Err(Step::Body));
}

/// A response without a length or chunks ends with its connection.
#[rstest]
#[case::length("Content-Length: 3\r\n\r\nabc")]
#[case::chunks("Transfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nX-A: b\r\n\r\n")]
#[case::end_of_the_connection("\r\nabc")]
fn a_response_is_read_to_its_end(#[case] rest: &'static str) {
    let address = server(format!("HTTP/1.1 200 OK\r\n{rest}").leak(), End::Close);

    let answer = call(address);

    assert_eq!(answer.unwrap().body, "abc");
}

/// Guards against the rest of one response being read as the next one.
#[test]
fn a_connection_with_unread_input_is_not_reused() {
    let bytes = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 500 -\r\n\r\n";
    let address = server(bytes, End::Close);

    let statuses: Vec<u16> = runtime::block_on(async move {
        let pool = Pool::new();
        let mut statuses = Vec::new();
        for _ in 0..3 {
            statuses.push(pool.get(address, "/").await.unwrap().status.as_u16());
        }
        statuses
    });

    assert_eq!(statuses, [200; 3]);
}

/// A server that repeats `unit` until its connection is closed, and counts the bytes that were taken.
struct Flood {
    address: SocketAddr,
    taken: Arc<AtomicUsize>,
}

fn flood(start: &'static str, unit: &'static str) -> Flood {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let taken: Arc<AtomicUsize> = Arc::default();
    let counter = taken.clone();
    std::thread::spawn(move || {
        let block = unit.repeat(65_536 / unit.len());
        for mut stream in listener.incoming().flatten() {
            read_request(&mut stream);
            let mut sent = stream.write_all(start.as_bytes());
            while sent.is_ok() && counter.load(Ordering::Relaxed) < 4 * MAX_TAKEN {
                sent = stream.write_all(block.as_bytes());
                counter.fetch_add(block.len(), Ordering::Relaxed);
            }
        }
    });
    Flood { address, taken }
}

/// The most bytes that a peer may get rid of in one response: the limit of a body, and as much again for framing and
/// for the buffers of the kernel.
const MAX_TAKEN: usize = 32 << 20;

/// The longest time for which a response without an end is read, less than any time limit of a call.
const MAX_TIME: Duration = Duration::from_secs(2);

#[rstest]
#[case::head("HTTP/1.1 200 OK\r\nX-A: ", "aaaa")]
#[case::fields("HTTP/1.1 200 OK\r\n", "X-A: b\r\n")]
#[case::interim_responses("", "HTTP/1.1 103 -\r\n\r\n")]
#[case::empty_lines("", "\r\n")]
#[case::body("HTTP/1.1 200 OK\r\n\r\n", "aaaa")]
#[case::chunks("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\naaaa\r\n")]
#[case::chunk_extensions(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "1;aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\na\r\n"
)]
#[case::trailers("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n")]
fn a_response_without_an_end_is_cut_off(#[case] start: &'static str, #[case] unit: &'static str) {
    let flood = flood(start, unit);
    let asked = Instant::now();

    let answer = call(flood.address);

    assert!(answer.is_err());
    assert!(asked.elapsed() < MAX_TIME, "{:?}", asked.elapsed());
    let taken = flood.taken.load(Ordering::Relaxed);
    assert!(taken <= MAX_TAKEN, "{taken} bytes were taken");
}
