//! Demonstrates the complete request path with separate processes: a platform, two engines, a plain
//! service and three nodes. It submits a document and waits until it is active on all nodes, asks for
//! the instance to call, streams a response and calls the service, then stops the nodes and exits.

use std::io::{Error, Result, Write};
use std::net::SocketAddr;
use std::process::Command;
use std::time::{Duration, Instant};

use http::Method;
use nix::sys::signal::Signal;
use orioleroute::operator::Holding;
use orioleroute_wire::client::{Call, Pool};
use orioleroute_wire::runtime;
use serde_json::{Value, json};
use standins::process::{Process, binary_path};
use standins::system::{
    self, OPERATOR_TOKEN, listing, publish_listings, start_node, status, wait_until,
};

const REGION: &str = "zurich";

fn main() -> Result<()> {
    let platform = start("platform", &[])?;
    let engines = [start("engine", &["--listen"])?, start("engine", &["--listen"])?];
    let service = start("service", &[])?;
    let platform_address = only_address(&platform)?;
    publish_listings(
        platform_address,
        &[
            listing("engine-1", "coaching", REGION, only_address(&engines[0])?),
            listing("engine-2", "coaching", REGION, only_address(&engines[1])?),
            listing("course", "course", REGION, only_address(&service)?),
        ],
    );
    let program = binary_path("orioleroute-node")?;
    let mut nodes = ["a", "b", "c"]
        .iter()
        .map(|name| start_node(&program, name, REGION, platform_address, &[]))
        .collect::<Result<Vec<Process>>>()?;
    println!("started a platform, two engines, a plain service and three nodes");
    wait_until("all three nodes to join", || {
        nodes.iter().all(|node| status(node).is_some_and(|status| status.instances.len() == 3))
    });
    submit(&nodes[0])?;
    let propagation = wait_until("the document to be active on all nodes", || {
        nodes.iter().all(|node| status(node).is_some_and(|status| status.version == 1))
    });
    wait_until("both engines to be held by a node", || {
        let upstreams = nodes.iter().filter_map(status).flat_map(|status| status.upstreams);
        upstreams.filter(|upstream| upstream.holding == Holding::Holds).count() == 2
    });
    println!("document active on all nodes {propagation:?} after the operator got the answer");
    wait_until("all nodes to be ready", || nodes.iter().all(is_ready));
    run_oriolectl("status", &nodes[1])?;
    let home = ask_route(&nodes[2])?;
    println!("route to the adapter milk-texturing: {home}");
    stream(home)?;
    book_twice(home)?;
    for node in &nodes {
        node.signal(Signal::SIGTERM)?;
    }
    for node in &mut nodes {
        let status = node.wait(Duration::from_secs(15))?;
        println!("node exited: {status}");
    }
    println!("done");
    Ok(())
}

fn is_ready(node: &Process) -> bool {
    let answer = node
        .address("operators")
        .and_then(|address| system::send_request(address, Call::new(Method::GET, "/readyz")).ok());
    answer.is_some_and(|answer| answer.status.is_success())
}

fn start(example: &str, arguments: &[&str]) -> Result<Process> {
    let mut arguments: Vec<String> = arguments.iter().map(|text| (*text).to_owned()).collect();
    if !arguments.is_empty() {
        arguments.push("127.0.0.1:0".to_owned());
    }
    Process::start(&binary_path(&format!("examples/{example}"))?, &arguments)
}

fn only_address(process: &Process) -> Result<SocketAddr> {
    process.address("").ok_or_else(|| Error::other("the process printed no address"))
}

fn document() -> Value {
    json!({
        "format": 1,
        "models": [{ "name": "coach-7b" }],
        "pools": [{ "name": "coaching", "model": "coach-7b", "slots": 4, "fencing": "checked" }],
        "adapters": [
            { "name": "milk-texturing", "model": "coach-7b", "versions": ["v1", "v2"], "default": "v2" },
            { "name": "tasting-notes", "model": "coach-7b", "versions": ["v1"], "default": "v1" },
        ],
        "services": [{ "name": "bookings", "pool": "course" }],
    })
}

fn submit(node: &Process) -> Result<()> {
    let mut file = std::env::temp_dir();
    file.push(format!("orioleroute-demo-{}.json", std::process::id()));
    std::fs::File::create(&file)?.write_all(document().to_string().as_bytes())?;
    let exit = oriolectl(node).arg("submit").arg(&file).status();
    std::fs::remove_file(&file)?;
    if exit?.success() { Ok(()) } else { Err(Error::other("the document was not accepted")) }
}

fn oriolectl(node: &Process) -> Command {
    let address = node.address("operators").map(|address| address.to_string());
    let program = binary_path("oriolectl").unwrap_or_else(|_| "oriolectl".into());
    let mut command = Command::new(program);
    command.args(["--instance", &address.unwrap_or_default(), "--token", OPERATOR_TOKEN]);
    command
}

fn run_oriolectl(command: &str, node: &Process) -> Result<()> {
    let exit = oriolectl(node).arg(command).status()?;
    if exit.success() { Ok(()) } else { Err(Error::other(format!("oriolectl {command} failed"))) }
}

fn ask_route(node: &Process) -> Result<SocketAddr> {
    let address = node
        .address("callers")
        .ok_or_else(|| Error::other("the node printed no address for callers"))?;
    let path = format!("/route?adapter=milk-texturing&region={REGION}");
    let mut home = None;
    wait_until("a route", || {
        let answer = system::send_request(address, Call::new(Method::GET, path.clone())).ok();
        let routes: Option<Value> = answer.and_then(|answer| answer.json(address).ok());
        home = routes.and_then(|routes| routes["addresses"][0].as_str()?.parse().ok());
        home.is_some()
    });
    home.ok_or_else(|| Error::other("no route to the adapter"))
}

fn stream(home: SocketAddr) -> Result<()> {
    let body = json!({
        "model": "milk-texturing",
        "stream": true,
        "max_tokens": 12,
        "messages": [{ "role": "user", "content": "How do I stretch milk?" }],
    });
    let call = Call::new(Method::POST, "/v1/chat/completions").json(&body);
    let start = Instant::now();
    runtime::block_on(async move {
        let mut answer = Pool::new().open(home, call).await.map_err(Error::other)?;
        let header = |name: &str| {
            let value = answer.headers.get(name);
            value.and_then(|value| value.to_str().ok()).unwrap_or("unknown").to_owned()
        };
        println!(
            "status {}, answered by {} version {}",
            answer.status,
            header("x-served-adapter"),
            header("x-served-version")
        );
        while let Some(part) = answer.next().await {
            let part = part.map_err(Error::other)?;
            print!("{:>8.1?} {}", start.elapsed(), String::from_utf8_lossy(&part));
        }
        if answer.status.is_success() { Ok(()) } else { Err(Error::other("the request failed")) }
    })
}

fn book_twice(home: SocketAddr) -> Result<()> {
    let call = || {
        Call::new(Method::POST, "/services/bookings/enrol")
            .header("idempotency-key", "booking-1")
            .body("text/plain", "one seat")
    };
    let first = system::send_request(home, call()).map_err(Error::other)?;
    let second = system::send_request(home, call()).map_err(Error::other)?;
    println!("booking: {}; the same booking again: {}", first.status, second.status);
    if first.status.is_success() && !second.status.is_success() {
        return Ok(());
    }
    Err(Error::other("the booking did not run exactly once"))
}
