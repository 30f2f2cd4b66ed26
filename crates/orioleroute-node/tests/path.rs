//! Requests and commands through node processes to engines and a service.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use http::{Method, StatusCode};
use nix::sys::signal::Signal;
use orioleroute::operator::{Answer, Command};
use orioleroute_wire::client::{Answer as HttpAnswer, Call};
use serde_json::{Value, json};
use standins::engine::Settings;
use standins::process::Process;
use standins::system::{
    self, listing, publish_listings, send_request, start_node, status, wait_until,
};

const REGION: &str = "zurich";

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_orioleroute-node"))
}

fn document() -> Arc<str> {
    let document = json!({
        "format": 1,
        "models": [{ "name": "coach-7b" }],
        "pools": [{ "name": "coaching", "model": "coach-7b", "slots": 2, "fencing": "checked" }],
        "adapters": [{
            "name": "milk", "model": "coach-7b", "versions": ["v1", "v2"], "default": "v2",
        }],
        "services": [
            { "name": "bookings", "pool": "course" },
            { "name": "notes", "pool": "course", "repeatable": true },
        ],
    });
    document.to_string().into()
}

/// Starts a platform, two engines and two nodes, and waits until a document is active on both nodes.
fn system() -> Vec<Process> {
    let platform = system::start_platform();
    let engines =
        [system::start_engine(Settings::default()), system::start_engine(Settings::default())];
    publish_listings(
        platform,
        &[
            listing("engine-1", "coaching", REGION, engines[0]),
            listing("engine-2", "coaching", REGION, engines[1]),
            listing("course", "course", REGION, system::start_service()),
        ],
    );
    let nodes: Vec<Process> = ["a", "b"]
        .iter()
        .map(|name| start_node(program(), name, REGION, platform, &[]).expect("the node starts"))
        .collect();
    wait_until("two members", || {
        nodes.iter().all(|node| status(node).is_some_and(|status| status.instances.len() == 2))
    });
    let submitted =
        system::send_command(&nodes[0], &Command::Submit { base: 0, document: document() });
    assert_eq!(submitted, Some(Answer::Accepted { version: 1 }));
    wait_until("the document is active on both nodes", || {
        nodes.iter().all(|node| status(node).is_some_and(|status| status.version == 1))
    });
    nodes
}

fn callers(node: &Process) -> SocketAddr {
    node.address("callers").expect("the node printed its addresses")
}

fn complete(node: &Process, model: &str) -> HttpAnswer {
    let body = json!({ "model": model, "max_tokens": 3, "prompt": "hello" });
    send_request(callers(node), Call::new(Method::POST, "/v1/completions").json(&body))
        .expect("the node answers")
}

#[test]
fn every_node_serves_the_requested_version() {
    let nodes = system();
    for node in &nodes {
        for (model, served) in [("milk", "milk@v2"), ("milk@v1", "milk@v1")] {
            let answer = complete(node, model);
            let body: Value = serde_json::from_slice(&answer.body).expect("it is JSON");
            assert_eq!(answer.status, StatusCode::OK, "{body}");
            assert_eq!(body["model"], served);
            assert_eq!(answer.headers["x-served-version"], served.split_once('@').unwrap().1);
        }
    }
}

#[test]
fn answers_have_the_shapes_that_client_libraries_expect() {
    let nodes = system();
    let address = callers(&nodes[0]);
    let models =
        send_request(address, Call::new(Method::GET, "/v1/models")).expect("the node answers");
    let models: Value = serde_json::from_slice(&models.body).expect("it is JSON");
    assert_eq!(models["object"], "list");
    assert_eq!(models["data"][0]["object"], "model");
    assert_eq!(models["data"][0]["id"], "milk@v1");
    let messages = json!([{ "role": "user", "content": "hello" }]);
    let body = json!({ "model": "milk", "max_tokens": 3, "messages": messages, "stream": true,
                       "stream_options": { "include_usage": true } });
    let chat = Call::new(Method::POST, "/v1/chat/completions").json(&body);
    let answer = send_request(address, chat).expect("the node answers");
    assert_eq!(answer.headers["content-type"], "text/event-stream");
    assert_eq!(answer.headers["x-served-adapter"], "milk");
    let text = String::from_utf8(answer.body.to_vec()).expect("it is text");
    let events: Vec<&str> =
        text.split("\n\n").filter_map(|event| event.strip_prefix("data: ")).collect();
    assert_eq!(events.last(), Some(&"[DONE]"), "{text}");
    let first: Value = serde_json::from_str(events[0]).expect("it is JSON");
    assert_eq!(first["object"], "chat.completion.chunk");
    assert_eq!(first["choices"][0]["delta"]["content"], "w0 ");
    let refused = complete(&nodes[0], "nobody@v9");
    let refused: Value = serde_json::from_slice(&refused.body).expect("it is JSON");
    for field in ["message", "type", "param", "code"] {
        assert!(refused["error"].get(field).is_some(), "{field} is missing in {refused}");
    }
}

#[test]
fn unknown_adapters_are_refused_as_not_run() {
    let nodes = system();
    let answer = complete(&nodes[0], "nobody@v9");
    assert_eq!(answer.status, StatusCode::NOT_FOUND);
    assert_eq!(answer.headers["x-request-ran"], "not-run");
}

#[test]
fn a_booking_that_is_sent_twice_runs_once() {
    let nodes = system();
    let book = |node: &Process| {
        let request = Call::new(Method::POST, "/services/bookings/enrol")
            .header("idempotency-key", "booking-1")
            .body("text/plain", "one seat");
        send_request(callers(node), request).expect("the node answers").status
    };
    assert_eq!(book(&nodes[0]), StatusCode::OK);
    assert_eq!(book(&nodes[1]), StatusCode::CONFLICT);
}

#[test]
fn a_call_to_a_repeatable_service_needs_no_claim() {
    let nodes = system();
    for node in &nodes {
        let request = Call::new(Method::POST, "/services/notes/draft")
            .header("idempotency-key", "draft-1")
            .body("text/plain", "crema");
        let answer = send_request(callers(node), request).expect("the node answers");
        assert_eq!(answer.status, StatusCode::OK);
    }
}

#[test]
fn a_terminated_node_leaves_the_membership_and_exits() {
    let mut nodes = system();
    nodes[0].signal(Signal::SIGTERM).expect("it runs");
    let ended = nodes[0].wait(Duration::from_secs(10)).expect("it ends");
    assert!(ended.success());
    wait_until("one member", || {
        status(&nodes[1]).is_some_and(|status| status.instances.len() == 1)
    });
    assert_eq!(complete(&nodes[1], "milk").status, StatusCode::OK);
}

#[test]
fn metrics_count_finished_and_refused_requests() {
    let nodes = system();
    complete(&nodes[0], "milk");
    complete(&nodes[1], "milk");
    complete(&nodes[0], "nobody@v9");
    let scrape = |node: &Process| {
        let address = node.address("operators").expect("the node printed its addresses");
        let answer =
            send_request(address, Call::new(Method::GET, "/metrics")).expect("the node answers");
        String::from_utf8(answer.body.to_vec()).expect("it is text")
    };
    let both = nodes.iter().map(scrape).collect::<String>();
    for line in [
        "orioleroute_requests_total{outcome=\"finished\"}",
        "orioleroute_requests_total{outcome=\"refused\"} 1",
        "orioleroute_refusals_total{kind=\"not_found\",ran=\"not-run\"} 1",
        "orioleroute_request_duration_seconds_bucket{outcome=\"finished\",le=",
        "orioleroute_loads_total 1",
        "orioleroute_orders_total{outcome=\"done\"} 1",
        "orioleroute_table_operations_total{outcome=\"written\"}",
        "orioleroute_peer_messages_total{direction=\"sent\"}",
        "orioleroute_lease_held 1",
        "orioleroute_config_version 1",
        "orioleroute_requests_in_flight 0",
    ] {
        assert!(both.contains(line), "{line} is missing in\n{both}");
    }
}
