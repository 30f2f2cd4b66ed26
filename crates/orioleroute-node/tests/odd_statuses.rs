//! Plain services behind the documents edge that answer with a status that is none.
//!
//! Guards against such an answer that is passed on to a caller.

#[allow(dead_code, reason = "each test file uses a part")]
mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use rstest::rstest;
use standins::system::{listing, publish_listings, wait_until};
use support::{REGION, System, book};

/// Starts a service that answers every request with this status, and returns the number of its answers as well.
fn start_service(status: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let answers = Arc::new(AtomicUsize::new(0));
    let count = answers.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut request = [0_u8; 4_096];
            // The request fits one read; the answer is the same in any case.
            let _ = stream.read(&mut request);
            let answer = format!("HTTP/1.1 {status}\r\nContent-Length: 5\r\n\r\nerror");
            count.fetch_add(1, Ordering::SeqCst);
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    (address, answers)
}

#[rstest]
fn a_status_that_is_none_is_not_passed_on(
    #[values("000 -", "099 -", "600 -", "999 -", "20 OK")] status: &'static str,
) {
    let system = System::start(1);
    let engines = system.engines.iter().enumerate().map(|(number, address)| {
        listing(&format!("engine-{number}"), "coaching", REGION, *address)
    });
    let (address, answers) = start_service(status);
    let service = listing("odd", "course", REGION, address);
    publish_listings(system.platform, &engines.chain([service]).collect::<Vec<_>>());

    let mut number = 0;
    let mut last = None;
    wait_until("a call reaches the service", || {
        number += 1;
        last = book(system.callers(0), &format!("key{number}"));
        answers.load(Ordering::SeqCst) > 0
    });

    let answer = last.expect("it is answered");
    assert!(answer.status.is_server_error(), "{}", answer.status);
    assert_ne!(&answer.body[..], b"error");
}
