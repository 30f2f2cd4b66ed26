//! Reading from a peer that sends faster than its input is handled.

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use orioleroute_wire::http1::socket::Socket;
use orioleroute_wire::runtime;

/// The time limit of the reader.
const LIMIT: Duration = Duration::from_millis(300);

/// How late a time limit may take effect, as the platform's rules have it for a request.
const LATENESS: Duration = Duration::from_millis(500);

/// Starts a server that sends to each client without an end.
fn server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let block = vec![b'a'; 1 << 20];
            while stream.write_all(&block).is_ok() {}
        }
    });
    address
}

/// Guards against a reader that never waits for input and so lets no timer expire, on the one thread of a process.
#[test]
fn a_time_limit_holds_while_a_peer_sends_without_an_end() {
    let address = server();

    let elapsed = runtime::block_on(async move {
        let mut socket = Socket::connect(address, LIMIT).await.unwrap();
        let begun = Instant::now();
        let read = async {
            while matches!(socket.fill().await, Ok(read) if read > 0) {
                socket.input.clear();
            }
        };
        assert!(monoio::time::timeout(LIMIT, read).await.is_err());
        begun.elapsed()
    });

    assert!(elapsed < LIMIT + LATENESS, "ended after {elapsed:?}");
}
