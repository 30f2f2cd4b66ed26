//! Callers that don't behave, many at once, at the listeners of the documents backend.
//!
//! Guards against processes that end because such callers fill their memory. The bound is that of a machine whose memory
//! is not stated.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use rstest::rstest;
use standins::process::Process;
use standins::system::{self, start_node};

/// The memory of the machine, in MiB.
const MACHINE_MEMORY_MIB: u64 = 256;

/// The number of members of a crowd.
const CROWD: usize = 192;

/// The longest body that the default limits allow, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// How long a member waits for the instance to read on, after which it sends nothing more.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Tests measure processes, so only one at a time may load the machine.
static ALONE: Mutex<()> = Mutex::new(());

fn start() -> Process {
    let program = Path::new(env!("CARGO_BIN_EXE_orioleroute-node"));
    start_node(program, "a", "zurich", system::start_platform(), &[]).expect("the node starts")
}

/// Lets a crowd connect and send this message, all at a time.
fn gather(address: SocketAddr, message: &[u8]) -> Vec<TcpStream> {
    std::thread::scope(|scope| {
        let join = || {
            let mut stream = TcpStream::connect(address).ok()?;
            stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok()?;
            // The node may refuse the request while it is sent.
            let _ = stream.write_all(message);
            Some(stream)
        };
        let threads: Vec<_> = (0..CROWD).map(|_| scope.spawn(join)).collect();
        threads.into_iter().filter_map(|thread| thread.join().unwrap()).collect()
    })
}

fn peak_memory(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    peak.trim().trim_end_matches("kB").trim().parse::<u64>().unwrap() << 10
}

/// Returns the status of an ordinary request on a new connection, or 0 if there is no answer.
fn status(address: SocketAddr, path: &str) -> u16 {
    let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    let mut answer = String::new();
    let exchanged = TcpStream::connect(address).and_then(|mut stream| {
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        stream.write_all(request.as_bytes())?;
        stream.read_to_string(&mut answer)
    });
    let status = answer.split(' ').nth(1).and_then(|code| code.parse().ok());
    exchanged.ok().and(status).unwrap_or(0)
}

fn with_length(body: usize) -> Vec<u8> {
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: {MAX_BODY_BYTES}\r\n\r\n"
    );
    [head.into_bytes(), vec![b'a'; body]].concat()
}

fn in_chunks(body: usize) -> Vec<u8> {
    let head = "POST /v1/completions HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunk = [b"400\r\n".to_vec(), vec![b'a'; 0x400], b"\r\n".to_vec()].concat();
    [head.as_bytes().to_vec(), chunk.repeat(body / 0x400)].concat()
}

/// A token is asked of all requests but GET.
fn without_token(body: usize) -> Vec<u8> {
    let head =
        format!("GET /livez HTTP/1.1\r\nhost: a\r\ncontent-length: {MAX_BODY_BYTES}\r\n\r\n");
    [head.into_bytes(), vec![b'a'; body]].concat()
}

#[rstest]
#[case::bodies_that_stop_just_short_of_their_end("callers", with_length(MAX_BODY_BYTES - 1))]
#[case::bodies_in_chunks_without_the_last("callers", in_chunks(MAX_BODY_BYTES))]
#[case::bodies_far_over_the_limit("callers", in_chunks(4 * MAX_BODY_BYTES))]
#[case::bodies_for_peers("peers", without_token(MAX_BODY_BYTES - 1))]
#[case::bodies_for_operators("operators", without_token(MAX_BODY_BYTES - 1))]
fn a_crowd_with_bodies_is_borne(#[case] listener: &str, #[case] message: Vec<u8>) {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let node = start();
    let callers: SocketAddr = node.address("callers").expect("the node printed its addresses");
    let operators: SocketAddr = node.address("operators").expect("the node printed its addresses");

    let crowd = gather(node.address(listener).expect("the node printed it"), &message);
    let during = status(operators, "/livez");
    drop(crowd);
    let after = status(callers, "/v1/models");

    let peak = peak_memory(node.id());
    println!("{} KiB", peak >> 10);
    assert!(peak <= MACHINE_MEMORY_MIB << 20, "{} KiB", peak >> 10);
    assert_eq!((during, after), (200, 200));
}
