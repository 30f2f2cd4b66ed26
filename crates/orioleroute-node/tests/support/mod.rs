//! A system of node processes for fault tests, observed by its callers.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use http::{Method, StatusCode};
use orioleroute::instance::Listing;
use orioleroute::operator::{Answer, Command};
use orioleroute_wire::client::{Answer as HttpAnswer, Call, Pool};
use orioleroute_wire::{Error, runtime};
use serde_json::{Value, json};
use standins::engine::Settings;
use standins::process::Process;
use standins::system::{
    self, listing, publish_listings, send_request, start_node, status, wait_until,
};

/// The region of every node.
pub const REGION: &str = "zurich";

/// The longest wait for the first chunk of a stream.
const FIRST_CHUNK_TIMEOUT: Duration = Duration::from_secs(10);

/// A platform, engines, a service and nodes with an accepted document.
pub struct System {
    /// The platform.
    pub platform: SocketAddr,
    /// The engines.
    pub engines: Vec<SocketAddr>,
    /// The plain service.
    pub service: SocketAddr,
    /// The nodes.
    pub nodes: Vec<Process>,
}

impl System {
    /// Starts a system with two engines and the given number of nodes.
    pub fn start(nodes: usize) -> Self {
        let engines: Vec<SocketAddr> =
            (0..2).map(|_| system::start_engine(Settings::default())).collect();
        Self::with_engines(nodes, &engines, &engines)
    }

    /// Starts a system whose nodes reach the engines at `listed`, which may differ from the addresses
    /// `engines` that the test uses.
    pub fn with_engines(nodes: usize, engines: &[SocketAddr], listed: &[SocketAddr]) -> Self {
        let platform = system::start_platform();
        let service = system::start_service();
        let mut list: Vec<Listing> = listed
            .iter()
            .enumerate()
            .map(|(index, address)| {
                listing(&format!("engine-{index}"), "coaching", REGION, *address)
            })
            .collect();
        list.push(listing("course", "course", REGION, service));
        publish_listings(platform, &list);
        let mut system = Self { platform, engines: engines.to_vec(), service, nodes: Vec::new() };
        for index in 0..nodes {
            system.add_node(&format!("node-{index}"));
        }
        system.wait_for_members(nodes);
        system.submit(0, 0, "v1");
        system
    }

    /// Starts one more node.
    pub fn add_node(&mut self, name: &str) {
        let program = Path::new(env!("CARGO_BIN_EXE_orioleroute-node"));
        self.nodes.push(start_node(program, name, REGION, self.platform, &[]).expect("it starts"));
    }

    /// Submits a document with the given default version to a node and waits until it is active there.
    pub fn submit(&self, node: usize, base: u64, default: &str) {
        let document: Arc<str> = document(default).to_string().into();
        let submit = Command::Submit { base, document };
        let answer = system::send_command(&self.nodes[node], &submit);
        assert_eq!(answer, Some(Answer::Accepted { version: base + 1 }));
        wait_until("the document is active", || {
            status(&self.nodes[node]).is_some_and(|status| status.version == base + 1)
        });
    }

    /// Waits until every node sees this many members.
    pub fn wait_for_members(&self, count: usize) -> Duration {
        wait_until("every node sees all members", || {
            self.nodes
                .iter()
                .all(|node| status(node).is_some_and(|status| status.instances.len() == count))
        })
    }

    /// Returns a node's address for callers.
    pub fn callers(&self, index: usize) -> SocketAddr {
        self.nodes[index].address("callers").expect("the node printed its addresses")
    }

    /// Returns the index of a model's home node, as looked up at the node with index `node`.
    pub fn home(&self, node: usize, model: &str) -> usize {
        let request = Call::new(Method::GET, format!("/route?adapter={model}"));
        let answer = send_request(self.callers(node), request).expect("the node answers");
        let body: Value = serde_json::from_slice(&answer.body).expect("it is JSON");
        let address = body["addresses"][0].as_str().expect("there is a home").parse();
        let address: SocketAddr = address.expect("it is an address");
        let mut nodes = 0..self.nodes.len();
        nodes.find(|index| self.callers(*index) == address).expect("it is one of the nodes")
    }

    /// Returns how often the service ran the booking with an idempotency key.
    pub fn runs(&self, key: &str) -> u64 {
        let answer =
            send_request(self.service, Call::new(Method::GET, "/runs")).expect("it answers");
        let body: Value = serde_json::from_slice(&answer.body).expect("it is JSON");
        body[key].as_u64().unwrap_or(0)
    }

    /// Returns the history of all engines.
    pub fn history(&self) -> Vec<Value> {
        let histories = self.engines.iter().map(|engine| {
            let answer =
                send_request(*engine, Call::new(Method::GET, "/history")).expect("it answers");
            serde_json::from_slice::<Vec<Value>>(&answer.body).expect("it is JSON")
        });
        histories.flatten().collect()
    }

    /// Returns how often the engines started a request.
    pub fn starts(&self, request: &str) -> usize {
        let history = self.history();
        history.iter().filter(|entry| entry["request"] == request).count()
    }

    /// Asserts that no revision was unloaded while it was in use.
    pub fn assert_nothing_evicted_in_use(&self) {
        for entry in self.history() {
            assert!(entry["event"] != "unload" || entry["running"] == 0, "{entry}");
        }
    }
}

fn document(default: &str) -> Value {
    json!({
        "format": 1,
        "models": [{ "name": "coach-7b" }],
        "pools": [{ "name": "coaching", "model": "coach-7b", "slots": 2, "fencing": "checked" }],
        "adapters": [{
            "name": "milk", "model": "coach-7b", "versions": ["v1", "v2"], "default": default,
        }],
        "services": [{ "name": "bookings", "pool": "course" }],
    })
}

fn completion(model: &str, tokens: u32, stream: bool) -> Call {
    let body = json!({ "model": model, "max_tokens": tokens, "prompt": "hello", "stream": stream });
    Call::new(Method::POST, "/v1/completions").json(&body)
}

/// Sends a completion request with the given request id and returns the answer.
pub fn complete(address: SocketAddr, model: &str, request: &str) -> Option<HttpAnswer> {
    send_request(address, completion(model, 3, false).header("x-request-id", request)).ok()
}

/// Sends a completion request with a deadline and returns the answer.
pub fn complete_within(address: SocketAddr, model: &str, limit: Duration) -> Option<HttpAnswer> {
    let request = completion(model, 3, false);
    send_request(address, request.header("x-deadline-ms", limit.as_millis().to_string())).ok()
}

/// Sends a completion request to a process that may be paused, without waiting for the answer.
pub fn send(address: SocketAddr, model: &str) -> TcpStream {
    let body = json!({ "model": model, "max_tokens": 3, "prompt": "hello" }).to_string();
    let length = body.len();
    let head =
        format!("POST /v1/completions HTTP/1.1\r\nhost: node\r\ncontent-length: {length}\r\n\r\n");
    let mut socket = TcpStream::connect(address).expect("the kernel takes connections");
    socket.set_read_timeout(Some(FIRST_CHUNK_TIMEOUT)).expect("a socket has timeouts");
    socket.write_all((head + &body).as_bytes()).expect("the kernel takes the request");
    socket
}

/// Returns the complete answer to a request of [`send`].
pub fn receive(socket: TcpStream) -> String {
    let mut reader = BufReader::new(socket);
    let (mut head, mut length) = (String::new(), 0);
    while !head.ends_with("\r\n\r\n") {
        let start = head.len();
        reader.read_line(&mut head).expect("the node answers");
        let line = head[start..].to_ascii_lowercase();
        if let Some(text) = line.strip_prefix("content-length: ") {
            length = text.trim().parse().expect("it is a length");
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("the answer is whole");
    head + &String::from_utf8_lossy(&body)
}

/// Returns whether an answer is a success that was served under the given name.
pub fn is_served_by(answer: Option<&HttpAnswer>, served: &str) -> bool {
    answer.is_some_and(|answer| {
        let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        answer.status == StatusCode::OK && body["model"] == served
    })
}

/// Books a seat without a retry and returns the answer, if there is one.
pub fn book(address: SocketAddr, key: &str) -> Option<HttpAnswer> {
    let request = Call::new(Method::POST, "/services/bookings/enrol")
        .header("idempotency-key", key)
        .body("text/plain", "one seat");
    send_request(address, request).ok()
}

/// Returns the header field of an answer that says whether the request ran.
pub fn ran(answer: &HttpAnswer) -> Option<&str> {
    answer.headers.get("x-request-ran")?.to_str().ok()
}

/// What a caller received of a stream.
pub struct Stream {
    /// The text up to the end of the stream or the error.
    pub text: String,
    /// How the connection broke, if it did.
    pub error: Option<Error>,
}

impl Stream {
    /// Returns whether it has every token once, in order, and ends as a complete stream does.
    pub fn is_complete(&self, tokens: u32) -> bool {
        let text: String = self
            .text
            .lines()
            .filter_map(|line| serde_json::from_str::<Value>(line.strip_prefix("data: ")?).ok())
            .filter_map(|event| Some(event["choices"][0]["text"].as_str()?.to_owned()))
            .collect();
        let expected: String = (0..tokens).map(|index| format!("w{index} ")).collect();
        self.error.is_none() && text == expected && self.text.ends_with("data: [DONE]\n\n")
    }

    /// Returns whether its last event is an error that says that the request may have run.
    pub fn ends_with_error(&self) -> bool {
        let last = self.text.trim_end().lines().last().and_then(|line| line.strip_prefix("data: "));
        let event: Value =
            last.and_then(|data| serde_json::from_str(data).ok()).unwrap_or_default();
        event["error"]["ran"] == "may-have-run"
    }
}

/// Reads a stream on a separate thread, and returns once its first chunk has arrived.
pub fn stream(address: SocketAddr, model: &str, tokens: u32) -> JoinHandle<Stream> {
    read_stream(address, completion(model, tokens, true))
}

/// Reads a stream with a deadline as [`stream`] does.
pub fn stream_within(
    address: SocketAddr,
    model: &str,
    tokens: u32,
    limit: Duration,
) -> JoinHandle<Stream> {
    let request = completion(model, tokens, true);
    read_stream(address, request.header("x-deadline-ms", limit.as_millis().to_string()))
}

fn read_stream(address: SocketAddr, request: Call) -> JoinHandle<Stream> {
    let (sender, first_chunk) = std::sync::mpsc::channel();
    let reader = std::thread::spawn(move || {
        runtime::block_on(async move {
            let mut read = Stream { text: String::new(), error: None };
            let mut incoming = match Pool::new().open(address, request).await {
                Ok(incoming) => incoming,
                Err(error) => return Stream { error: Some(error), ..read },
            };
            while let Some(chunk) = incoming.next().await {
                match chunk {
                    Ok(chunk) => read.text.push_str(&String::from_utf8_lossy(&chunk)),
                    Err(error) => read.error = Some(error),
                }
                let _ = sender.send(());
            }
            read
        })
    });
    first_chunk.recv_timeout(FIRST_CHUNK_TIMEOUT).expect("the stream begins");
    reader
}

/// Starts a stream, reads its first chunk and disconnects.
pub fn disconnect_early(address: SocketAddr, model: &str, tokens: u32) {
    let request = completion(model, tokens, true);
    runtime::block_on(async move {
        let mut incoming = Pool::new().open(address, request).await.expect("it answers");
        incoming.next().await.expect("it begins").expect("it begins well");
    });
}
