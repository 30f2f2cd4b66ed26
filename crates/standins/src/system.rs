//! A small system for tests: the stand-ins run on threads of the test, the nodes as processes.

use std::future::Future;
use std::io::Result;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use http::Method;
use monoio::net::TcpListener;
use orioleroute::instance::{Listing, Phase};
use orioleroute::operator::{Answer as Reply, Command, Status};
use orioleroute_wire::client::{Answer, Call, Pool};
use orioleroute_wire::runtime;
use serde::Serialize;

use crate::process::Process;
use crate::{engine, platform, service};

/// The token with which operators authenticate to the nodes of a test.
pub const OPERATOR_TOKEN: &str = "operator-secret";

/// The token with which the nodes of a test authenticate to each other.
pub const PEER_TOKEN: &str = "peer-secret";

/// The timeout of [`send_request`] and [`wait_until`].
const TIMEOUT: Duration = Duration::from_secs(20);

/// The interval at which [`wait_until`] checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs a stand-in on its own thread and returns its address.
fn spawn_stand_in<F>(run: impl FnOnce(TcpListener) -> F + Send + 'static) -> SocketAddr
where
    F: Future<Output = std::io::Result<()>>,
{
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        runtime::block_on(async move {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
            sender
                .send(listener.local_addr().expect("the listener is bound"))
                .expect("the test waits for the address");
            run(listener).await
        })
    });
    receiver.recv().expect("the stand-in starts")
}

/// Starts a platform stand-in and returns its address.
pub fn start_platform() -> SocketAddr {
    spawn_stand_in(platform::run)
}

/// Starts an engine stand-in and returns its address.
pub fn start_engine(settings: engine::Settings) -> SocketAddr {
    spawn_stand_in(move |listener| engine::run(listener, settings))
}

/// Starts a stand-in of a plain service and returns its address.
pub fn start_service() -> SocketAddr {
    spawn_stand_in(service::run)
}

/// Returns a listing of a live upstream in the first zone of a region.
pub fn listing(name: &str, pool: &str, region: &str, address: SocketAddr) -> Listing {
    Listing {
        name: name.into(),
        pool: pool.into(),
        address,
        region: region.into(),
        zone: format!("{region}-1").into(),
        phase: Phase::Live,
    }
}

/// Starts a node that uses the platform at `platform`, with the arguments `extra` appended.
///
/// # Errors
///
/// Fails if the node cannot be started.
pub fn start_node(
    program: &Path,
    name: &str,
    region: &str,
    platform: SocketAddr,
    extra: &[&str],
) -> Result<Process> {
    let mut arguments: Vec<String> = [
        ("--name", name),
        ("--region", region),
        ("--zone", &format!("{region}-1")),
        ("--table-address", &platform.to_string()),
        ("--objects-address", &platform.to_string()),
        ("--list-address", &platform.to_string()),
        ("--peer-token", PEER_TOKEN),
        ("--operator-token", OPERATOR_TOKEN),
        ("--log-format", "text"),
        ("--log-level", "warning"),
    ]
    .iter()
    .flat_map(|(flag, value)| [(*flag).to_owned(), (*value).to_owned()])
    .collect();
    arguments.extend(extra.iter().map(|text| (*text).to_owned()));
    Process::start(program, &arguments)
}

/// Sends a request from outside any async runtime and returns the complete response.
///
/// # Errors
///
/// Fails if the exchange fails or takes longer than 20 seconds.
pub fn send_request(
    address: SocketAddr,
    call: Call,
) -> std::result::Result<Answer, orioleroute_wire::Error> {
    runtime::block_on(async move { Pool::new().call_within(address, call, TIMEOUT).await })
}

/// Sets the faults of a stand-in.
///
/// # Panics
///
/// Panics if the stand-in rejects them or does not respond.
pub fn set_faults(address: SocketAddr, faults: &impl Serialize) {
    let answer = send_request(address, Call::new(Method::POST, "/faults").json(faults));
    assert!(
        answer.is_ok_and(|answer| answer.status.is_success()),
        "the stand-in at {address} did not accept the faults"
    );
}

/// Publishes the list of upstreams on the platform.
///
/// # Panics
///
/// Panics if the platform rejects it or does not respond.
pub fn publish_listings(platform: SocketAddr, listings: &[Listing]) {
    let answer = send_request(platform, Call::new(Method::PUT, "/instances").json(&listings));
    assert!(
        answer.is_ok_and(|answer| answer.status.is_success()),
        "the platform at {platform} did not accept the list"
    );
}

/// Sends an operator command to a node. Returns `None` if there is no valid reply.
pub fn send_command(node: &Process, command: &Command) -> Option<Reply> {
    let address = node.address("operators")?;
    let request = Call::new(Method::POST, "/command")
        .header("authorization", format!("Bearer {OPERATOR_TOKEN}"))
        .json(command);
    send_request(address, request).ok()?.json(address).ok()
}

/// Returns the status of a node, or `None` if it does not reply with one.
pub fn status(node: &Process) -> Option<Status> {
    match send_command(node, &Command::Status)? {
        Reply::Status(status) => Some(status),
        _ => None,
    }
}

/// Waits until `check` returns true, and returns the elapsed time.
///
/// # Panics
///
/// Panics after 20 seconds; the message contains `what`.
pub fn wait_until(what: &str, mut check: impl FnMut() -> bool) -> Duration {
    let start = Instant::now();
    while !check() {
        assert!(start.elapsed() < TIMEOUT, "timed out waiting for: {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
    start.elapsed()
}
