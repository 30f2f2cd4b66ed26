//! The engine stand-in: the OpenAI-compatible API with dynamic loading and unloading of adapters.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use http::{HeaderMap, HeaderValue, Method, StatusCode};
use monoio::net::TcpListener;
use orioleroute::engine::{Loaded, Report};
use orioleroute_wire::Error;
use orioleroute_wire::server::{Connection, Request, Response};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// The settings of an engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The number of adapters that can be loaded at the same time.
    pub slots: usize,
    /// The time that a load takes.
    pub load_time: Duration,
    /// The time between two tokens of a response.
    pub token_interval: Duration,
    /// Whether it refuses orders with an outdated fencing token.
    pub checks_fencing: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 8,
            load_time: Duration::from_millis(250),
            token_interval: Duration::from_millis(10),
            checks_fencing: true,
        }
    }
}

/// The injected faults of the engine, set with `POST /faults`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Loads fail with status 500.
    pub loads_fail: bool,
    /// Orders are applied, but no response is sent.
    pub order_replies_lost: bool,
    /// No request is executed or answered, except to `/faults` and `/history`.
    pub down: bool,
    /// The delay of every response, in milliseconds.
    pub delay_ms: u64,
    /// The age of the returned reports, in milliseconds.
    pub report_lag_ms: u64,
    /// The number of tokens after which the connection of a stream is broken; 0 disables this.
    pub break_after: u32,
    /// How these streams end.
    pub break_as: Break,
    /// The number of tokens after which the engine pauses a stream that it has not resumed; 0 disables this.
    pub pause_after: u32,
    /// The length of that pause, in milliseconds.
    pub pause_ms: u64,
    /// Broken streams cannot be resumed.
    pub no_resume: bool,
    /// The number of requests to resume a stream, from the next one on, whose answer is delayed.
    pub late_resumes: u32,
    /// The delay of these answers, in milliseconds.
    pub resume_delay_ms: u64,
    /// The engine restarts once, with no adapters loaded.
    pub restart: bool,
    /// The engine drains: its reports say so and it declines new requests.
    pub draining: bool,
}

/// How a broken stream ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Break {
    /// Its connection is closed.
    #[default]
    Closed,
    /// The last chunk follows a part of an event.
    InsideEvent,
    /// The last chunk follows an event that is not the last one.
    AfterEvent,
}

struct State {
    settings: Settings,
    faults: Faults,
    incarnation: u64,
    fencing_token: u64,
    /// The number of running requests of each loaded adapter, by served name.
    loaded: HashMap<String, u32>,
    /// The reports that are still needed to return one of the configured age.
    reports: Vec<(Instant, Report)>,
    /// The served name of each stream that can be resumed; the index is the stream's ID.
    streams: Vec<String>,
    /// The events of loads, unloads, requests and restarts, for tests.
    history: Vec<Value>,
}

/// Serves an engine on the listener until accepting connections fails.
///
/// # Errors
///
/// Returns the error of the listener.
pub async fn run(listener: TcpListener, settings: Settings) -> std::io::Result<()> {
    let state = State {
        settings,
        faults: Faults::default(),
        incarnation: 1,
        fencing_token: 0,
        loaded: HashMap::new(),
        reports: Vec::new(),
        streams: Vec::new(),
        history: Vec::new(),
    };
    crate::serve(listener, state, handle).await
}

async fn handle(
    state: &Rc<RefCell<State>>,
    connection: &mut Connection,
    request: Request,
) -> Result<(), Error> {
    let faults = state.borrow().faults.clone();
    let is_control = request.path == "/faults" || request.path == "/history";
    if faults.down && !is_control {
        connection.closed().await;
        return Ok(());
    }
    if faults.delay_ms > 0 && !is_control {
        monoio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    let path = request.path.clone();
    match (&request.method, path.as_str()) {
        (&Method::POST, "/v1/chat/completions") => {
            handle_completion(state, connection, &request, true).await
        }
        (&Method::POST, "/v1/completions") => {
            handle_completion(state, connection, &request, false).await
        }
        (&Method::POST, "/v1/load_lora_adapter") => {
            handle_order(state, connection, &request, true).await
        }
        (&Method::POST, "/v1/unload_lora_adapter") => {
            handle_order(state, connection, &request, false).await
        }
        (&Method::GET, "/report") => {
            let report = state.borrow_mut().report();
            connection.respond(Response::json(StatusCode::OK, &report)).await
        }
        (&Method::GET, "/history") => {
            let history = state.borrow().history.clone();
            connection.respond(Response::json(StatusCode::OK, &history)).await
        }
        (&Method::POST, "/faults") => {
            let response = match serde_json::from_slice::<Faults>(&request.body) {
                Ok(faults) => state.borrow_mut().set_faults(faults),
                Err(error) => Response::text(StatusCode::BAD_REQUEST, error.to_string()),
            };
            connection.respond(response).await
        }
        _ => connection.respond(Response::empty(StatusCode::NOT_FOUND)).await,
    }
}

impl State {
    fn set_faults(&mut self, faults: Faults) -> Response {
        if faults.restart {
            self.incarnation += 1;
            self.loaded.clear();
            self.streams.clear();
            self.history.push(json!({ "event": "restart" }));
        }
        self.faults = Faults { restart: false, ..faults };
        Response::empty(StatusCode::NO_CONTENT)
    }

    /// Returns the newest report that is at least as old as the lag, or a current one if there is none.
    fn report(&mut self) -> Report {
        let lag = Duration::from_millis(self.faults.report_lag_ms);
        let loaded: Vec<Loaded> = self
            .loaded
            .iter()
            .map(|(name, running)| Loaded { name: name.as_str().into(), running: *running })
            .collect();
        let running = loaded.iter().map(|loaded| loaded.running).sum();
        let fencing = if self.settings.checks_fencing { self.fencing_token } else { 0 };
        let incarnation = self.incarnation;
        let draining = self.faults.draining;
        let now = Report { incarnation, loaded, running, age_ms: 0, fencing, draining };
        self.reports.push((Instant::now(), now.clone()));
        let recent = self.reports.iter().rposition(|(taken, _)| taken.elapsed() >= lag);
        match recent {
            Some(index) => {
                self.reports.drain(..index);
                let (taken, report) = &self.reports[0];
                let age_ms = taken.elapsed().as_millis() as u32;
                Report { age_ms, ..report.clone() }
            }
            None => now,
        }
    }
}

async fn handle_order(
    state: &Rc<RefCell<State>>,
    connection: &mut Connection,
    request: &Request,
    load: bool,
) -> Result<(), Error> {
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let name = body["lora_name"].as_str().unwrap_or_default().to_owned();
    let token: u64 =
        request.header("x-fencing-number").and_then(|text| text.parse().ok()).unwrap_or(0);
    let settings = state.borrow().settings.clone();
    let highest = state.borrow().fencing_token;
    if settings.checks_fencing && token < highest {
        return connection.respond(Response::text(StatusCode::PRECONDITION_FAILED, "fenced")).await;
    }
    state.borrow_mut().fencing_token = token.max(highest);
    if load {
        monoio::time::sleep(settings.load_time).await;
    }
    let response = state.borrow_mut().apply_order(&name, load, token);
    if state.borrow().faults.order_replies_lost {
        connection.closed().await;
        return Ok(());
    }
    connection.respond(response).await
}

impl State {
    fn apply_order(&mut self, name: &str, load: bool, token: u64) -> Response {
        if load && self.faults.loads_fail {
            return Response::text(StatusCode::INTERNAL_SERVER_ERROR, "load failed");
        }
        if load && self.loaded.len() >= self.settings.slots && !self.loaded.contains_key(name) {
            return Response::text(StatusCode::BAD_REQUEST, "no slot is free");
        }
        let running = self.loaded.get(name).copied().unwrap_or(0);
        let event = if load { "load" } else { "unload" };
        let entry = json!({ "event": event, "name": name, "fencing": token, "running": running });
        self.history.push(entry);
        if load {
            self.loaded.entry(name.to_owned()).or_insert(0);
        } else {
            self.loaded.remove(name);
        }
        Response::text(StatusCode::OK, "done")
    }

    /// Opens or resumes a stream. Returns its ID and the index of the first token to send, or
    /// `None` if it cannot be resumed.
    fn open_stream(&mut self, request: &Request, name: &str) -> Option<(usize, u32)> {
        let Some(id) = request.header("x-resume-stream") else {
            self.streams.push(name.to_owned());
            return Some((self.streams.len() - 1, 0));
        };
        let id: usize = id.parse().ok()?;
        let is_known = self.streams.get(id).is_some_and(|served| served == name);
        let first = request.header("x-resume-events")?.parse().ok()?;
        (is_known && !self.faults.no_resume).then_some((id, first))
    }

    /// Counts a request to resume a stream, and returns whether its answer is delayed.
    fn take_late_resume(&mut self) -> bool {
        let left = self.faults.late_resumes.checked_sub(1);
        self.faults.late_resumes = left.unwrap_or(0);
        left.is_some()
    }

    fn adjust_running(&mut self, name: &str, change: i32) {
        if let Some(running) = self.loaded.get_mut(name) {
            *running = running.saturating_add_signed(change);
        }
    }
}

/// A running request, counted until it is dropped.
struct RunningRequest {
    state: Rc<RefCell<State>>,
    name: String,
}

impl RunningRequest {
    fn begin(state: &Rc<RefCell<State>>, name: &str, request: &str, resumed: bool) -> Self {
        state.borrow_mut().adjust_running(name, 1);
        let event = if resumed { "resume" } else { "begin" };
        let entry = json!({ "event": event, "name": name, "request": request });
        state.borrow_mut().history.push(entry);
        Self { state: state.clone(), name: name.to_owned() }
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.state.borrow_mut().adjust_running(&self.name, -1);
        let entry = json!({ "event": "end", "name": self.name });
        self.state.borrow_mut().history.push(entry);
    }
}

async fn handle_completion(
    state: &Rc<RefCell<State>>,
    connection: &mut Connection,
    request: &Request,
    chat: bool,
) -> Result<(), Error> {
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let name = body["model"].as_str().unwrap_or_default().to_owned();
    if !state.borrow().loaded.contains_key(&name) {
        let error = json!({ "error": {
            "message": format!("The model `{name}` does not exist."),
            "type": "NotFoundError",
            "code": 404,
        }});
        return connection.respond(Response::json(StatusCode::NOT_FOUND, &error)).await;
    }
    if state.borrow().faults.draining {
        let declined = Response::text(StatusCode::SERVICE_UNAVAILABLE, "draining");
        return connection.respond(declined).await;
    }
    let id = request.header("x-request-id").unwrap_or_default().to_owned();
    let resumed = request.header("x-resume-stream").is_some();
    let running = RunningRequest::begin(state, &name, &id, resumed);
    let tokens = body["max_tokens"].as_u64().unwrap_or(8) as u32;
    let token_interval = state.borrow().settings.token_interval;
    let Faults { break_after, pause_after, pause_ms, .. } = state.borrow().faults;
    if body["stream"].as_bool() != Some(true) {
        monoio::select! {
            _ = monoio::time::sleep(token_interval * tokens) => {}
            _ = connection.closed() => return Ok(()),
        }
        let text: String = (0..tokens).map(token_text).collect();
        let answer = completion(&name, &text, tokens, chat);
        drop(running);
        return connection.respond(Response::json(StatusCode::OK, &answer)).await;
    }
    let mut headers = HeaderMap::new();
    headers.insert("content-type", HeaderValue::from_static("text/event-stream"));
    if resumed && state.borrow_mut().take_late_resume() {
        let delay = Duration::from_millis(state.borrow().faults.resume_delay_ms);
        monoio::select! {
            _ = monoio::time::sleep(delay) => {}
            _ = connection.closed() => return Ok(()),
        }
    }
    let Some((stream, first)) = state.borrow_mut().open_stream(request, &name) else {
        return connection.respond(Response::empty(StatusCode::GONE)).await;
    };
    headers.insert("x-stream-id", HeaderValue::from(stream));
    headers.insert("x-resumed-after", HeaderValue::from(first));
    connection.start_response(StatusCode::OK, &headers).await?;
    for index in first..tokens {
        if !resumed && pause_after > 0 && index == pause_after {
            monoio::select! {
                _ = monoio::time::sleep(Duration::from_millis(pause_ms)) => {}
                _ = connection.closed() => return Ok(()),
            }
        }
        if break_after > 0 && index - first >= break_after {
            let break_as = state.borrow().faults.break_as;
            if break_as != Break::Closed {
                let rest: &[u8] = if break_as == Break::InsideEvent { b"data: {\"id" } else { b"" };
                connection.write_chunk(rest).await?;
                return connection.finish_response().await;
            }
            return Err(Error::new(
                orioleroute_wire::Step::Send,
                connection.peer(),
                "stream broken by an injected fault",
            ));
        }
        if !token_interval.is_zero() {
            monoio::select! {
                _ = monoio::time::sleep(token_interval) => {}
                _ = connection.closed() => return Ok(()),
            }
        }
        let last = index + 1 == tokens;
        let event =
            format!("data: {}\n\n", completion_chunk(&name, &token_text(index), last, chat));
        connection.write_chunk(event.as_bytes()).await?;
    }
    connection.write_chunk(b"data: [DONE]\n\n").await?;
    drop(running);
    connection.finish_response().await
}

fn token_text(index: u32) -> String {
    format!("w{index} ")
}

fn completion(name: &str, text: &str, tokens: u32, chat: bool) -> Value {
    let choice = match chat {
        true => json!({ "index": 0, "finish_reason": "stop",
                        "message": { "role": "assistant", "content": text } }),
        false => json!({ "index": 0, "finish_reason": "stop", "text": text }),
    };
    json!({
        "id": "cmpl-1",
        "object": if chat { "chat.completion" } else { "text_completion" },
        "created": 0,
        "model": name,
        "choices": [choice],
        "usage": { "prompt_tokens": 1, "completion_tokens": tokens, "total_tokens": tokens + 1 },
    })
}

fn completion_chunk(name: &str, word: &str, last: bool, chat: bool) -> Value {
    let finish = if last { json!("stop") } else { Value::Null };
    let choice = match chat {
        true => json!({ "index": 0, "finish_reason": finish, "delta": { "content": word } }),
        false => json!({ "index": 0, "finish_reason": finish, "text": word }),
    };
    json!({
        "id": "cmpl-1",
        "object": if chat { "chat.completion.chunk" } else { "text_completion" },
        "created": 0,
        "model": name,
        "choices": [choice],
        "sent_us": unix_time_us(),
    })
}

/// Returns the current time in microseconds since the Unix epoch. A caller on the same machine
/// computes a token's delay from it.
fn unix_time_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}
