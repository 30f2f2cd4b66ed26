//! Settings are checked at the start, and each decision on a request is logged.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Output, Stdio};

use http::Method;
use orioleroute_wire::client::Call;
use rstest::rstest;
use serde_json::{Value, json};
use standins::system::{self, send_request};

const PROGRAM: &str = env!("CARGO_BIN_EXE_orioleroute-node");

const REQUIRED: [&str; 16] = [
    "--name",
    "a",
    "--region",
    "zurich",
    "--zone",
    "zurich-1",
    "--table-address",
    "127.0.0.1:1",
    "--objects-address",
    "127.0.0.1:1",
    "--list-address",
    "127.0.0.1:1",
    "--peer-token",
    "peer-secret",
    "--operator-token",
    "operator-secret",
];

fn run(arguments: &[&str]) -> Output {
    Command::new(PROGRAM).args(arguments).output().expect("the program starts")
}

#[rstest]
#[case::address("--caller-address", "somewhere")]
#[case::port("--caller-address", "127.0.0.1:99999")]
#[case::count("--connections", "-1")]
#[case::no_connections("--connections", "0")]
#[case::time("--idle-ms", "1s")]
#[case::no_time("--head-ms", "0")]
#[case::format("--log-format", "xml")]
#[case::level("--log-level", "loud")]
#[case::empty_token("--peer-token", "")]
#[case::empty_name("--name", "")]
fn invalid_settings_end_the_process(#[case] flag: &str, #[case] value: &str) {
    let mut arguments: Vec<&str> = REQUIRED.to_vec();
    match arguments.iter().position(|argument| *argument == flag) {
        Some(index) => arguments[index + 1] = value,
        None => arguments.extend([flag, value]),
    }
    let output = run(&[arguments.as_slice(), &["--print-settings"]].concat());
    let message = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{message}");
    assert!(message.contains(flag), "{message}");
}

#[test]
fn all_missing_settings_are_named_at_once() {
    let output = run(&[]);
    let message = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2));
    for flag in REQUIRED.iter().step_by(2) {
        assert!(message.contains(flag), "{flag} is missing in {message}");
    }
}

#[test]
fn printed_settings_hide_the_tokens() {
    let output = run(&[&REQUIRED, ["--print-settings"].as_slice()].concat());
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success());
    assert!(text.contains("table-address = 127.0.0.1:1"), "{text}");
    assert!(!text.contains("secret\n") && !text.contains("-secret"), "{text}");
}

/// A node process whose log can be read; killed when dropped.
struct LoggedNode(Child);

impl Drop for LoggedNode {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start_logged(platform: SocketAddr) -> (LoggedNode, Vec<SocketAddr>) {
    let platform = platform.to_string();
    let mut arguments = REQUIRED;
    for index in [7, 9, 11] {
        arguments[index] = &platform;
    }
    let mut child = Command::new(PROGRAM)
        .args(arguments)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut line = String::new();
    let output = child.stdout.take().expect("it is piped");
    BufReader::new(output).read_line(&mut line).expect("it prints its addresses");
    let addresses = line.split(['=', ' ', '\n']).filter_map(|word| word.parse().ok()).collect();
    (LoggedNode(child), addresses)
}

fn command(operators: SocketAddr, command: &Value) -> Value {
    let request = Call::new(Method::POST, "/command")
        .header("authorization", "Bearer operator-secret")
        .json(command);
    send_request(operators, request).expect("it answers").json(operators).expect("it is JSON")
}

#[test]
fn each_decision_on_a_request_is_one_log_line_and_tokens_are_never_logged() {
    let platform = system::start_platform();
    let engine = system::start_engine(Default::default());
    system::publish_listings(
        platform,
        &[system::listing("engine-1", "coaching", "zurich", engine)],
    );
    let (mut node, addresses) = start_logged(platform);
    let (callers, operators) = (addresses[0], addresses[2]);
    let document = json!({
        "format": 1,
        "models": [{ "name": "coach-7b" }],
        "pools": [{ "name": "coaching", "model": "coach-7b", "slots": 2, "fencing": "checked" }],
        "adapters": [
            { "name": "milk", "model": "coach-7b", "versions": ["v1"], "default": "v1" },
        ],
    });
    let submit = json!({
        "method": "submit", "params": { "base": 0, "document": document.to_string() },
    });
    system::wait_until("accepted", || command(operators, &submit)["answer"] == "accepted");
    let request = Call::new(Method::POST, "/v1/completions")
        .header("x-request-id", "lesson-7")
        .json(&json!({ "model": "milk", "prompt": "p", "max_tokens": 2 }));
    assert!(send_request(callers, request).expect("it answers").status.is_success());
    let mut unauthorized = TcpStream::connect(operators).expect("it listens");
    let wrong = b"POST /command HTTP/1.1\r\nauthorization: Bearer guessed-it\r\ncontent-length: 2\r\n\r\n{}";
    unauthorized.write_all(wrong).expect("it reads");
    std::thread::sleep(std::time::Duration::from_millis(200));
    node.0.kill().expect("it runs");
    let log = BufReader::new(node.0.stderr.take().expect("it is piped"));
    let lines: Vec<String> = log.lines().map_while(Result::ok).collect();
    let decisions: Vec<Value> = lines
        .iter()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok())
        .filter(|line| line["msg"] == "decision" && line["request"] == "lesson-7")
        .collect();
    let reasons: Vec<&str> = decisions.iter().filter_map(|line| line["reason"].as_str()).collect();
    assert_eq!(reasons, ["waits_for_load", "least_loaded"], "{lines:#?}");
    let chosen = &decisions[1];
    assert_eq!(chosen["adapter"], "milk");
    assert_eq!(chosen["version"], "v1");
    assert_eq!(chosen["chosen"], "engine-1");
    assert!(chosen.get("runners_up").is_some(), "{chosen}");
    for secret in ["peer-secret", "operator-secret", "guessed-it"] {
        assert!(!lines.iter().any(|line| line.contains(secret)), "{secret} was logged");
    }
}
