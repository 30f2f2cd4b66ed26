//! A small system for tests: stand-ins on threads of the test, nodes as processes.

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

/// The token that the nodes of a test take from operators.
pub const OPERATOR_TOKEN: &str = "operator-secret";

/// The token that the nodes of a test take from peers.
pub const PEER_TOKEN: &str = "peer-secret";

/// The longest wait for something to come about.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Between two looks whether it has.
const POLL: Duration = Duration::from_millis(20);

/// Runs a stand-in on a thread of its own and returns its address.
fn on_thread<F>(run: impl FnOnce(TcpListener) -> F + Send + 'static) -> SocketAddr
where
    F: Future<Output = std::io::Result<()>>,
{
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        runtime::block_on(async move {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
            sender.send(listener.local_addr().expect("it is bound")).expect("the test waits");
            run(listener).await
        })
    });
    receiver.recv().expect("the stand-in starts")
}

/// Starts a platform and returns its address.
pub fn platform() -> SocketAddr {
    on_thread(platform::run)
}

/// Starts an engine and returns its address.
pub fn engine(settings: engine::Settings) -> SocketAddr {
    on_thread(move |listener| engine::run(listener, settings))
}

/// Starts a plain service and returns its address.
pub fn service() -> SocketAddr {
    on_thread(service::run)
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

/// Starts a node whose platform is at `platform`.
///
/// # Errors
///
/// Fails if the node does not start.
pub fn node(
    program: &Path,
    name: &str,
    region: &str,
    platform: SocketAddr,
    more: &[&str],
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
    arguments.extend(more.iter().map(|text| (*text).to_owned()));
    Process::start(program, &arguments)
}

/// Calls an address from outside any runtime and returns the whole answer.
///
/// # Errors
///
/// Fails as the exchange does.
pub fn call(
    address: SocketAddr,
    call: Call,
) -> std::result::Result<Answer, orioleroute_wire::Error> {
    runtime::block_on(async move { Pool::new().call_within(address, call, TIMEOUT).await })
}

/// Sets the faults of a stand-in.
pub fn set_faults(address: SocketAddr, faults: &impl Serialize) {
    let answer = call(address, Call::new(Method::POST, "/faults").json(faults));
    assert!(answer.is_ok_and(|answer| answer.status.is_success()), "the faults were taken");
}

/// Publishes the instance list.
pub fn publish(platform: SocketAddr, listings: &[Listing]) {
    let answer = call(platform, Call::new(Method::PUT, "/instances").json(&listings));
    assert!(answer.is_ok_and(|answer| answer.status.is_success()), "the list was taken");
}

/// Gives a node an operator's command.
pub fn command(node: &Process, command: &Command) -> Option<Reply> {
    let address = node.address("operators")?;
    let question = Call::new(Method::POST, "/command")
        .header("authorization", format!("Bearer {OPERATOR_TOKEN}"))
        .json(command);
    call(address, question).ok()?.json(address).ok()
}

/// Returns a node's status.
pub fn status(node: &Process) -> Option<Status> {
    match command(node, &Command::Status)? {
        Reply::Status(status) => Some(status),
        _ => None,
    }
}

/// Waits until `check` is true, and returns how long that took.
///
/// # Panics
///
/// Panics with `what` if it does not come about.
pub fn until(what: &str, mut check: impl FnMut() -> bool) -> Duration {
    let start = Instant::now();
    while !check() {
        assert!(start.elapsed() < TIMEOUT, "did not come about: {what}");
        std::thread::sleep(POLL);
    }
    start.elapsed()
}
