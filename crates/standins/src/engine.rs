//! A model engine: the OpenAI-compatible API with dynamic load and unload of adapters.

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

/// How an engine is set up.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The adapters that it holds at a time.
    pub slots: usize,
    /// How long a load takes.
    pub load_time: Duration,
    /// The time between two tokens.
    pub token_time: Duration,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 8,
            load_time: Duration::from_millis(250),
            token_time: Duration::from_millis(10),
            checks_fencing: true,
        }
    }
}

/// How the engine misbehaves; set with `POST /faults`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Loads fail.
    pub loads_fail: bool,
    /// Orders take effect, and their replies are lost.
    pub order_replies_lost: bool,
    /// Nothing is answered.
    pub down: bool,
    /// The delay of every answer, in milliseconds.
    pub delay_ms: u64,
    /// How old the reports are, in milliseconds.
    pub report_lag_ms: u64,
    /// Each exchange of a stream breaks off after this many tokens; zero for never.
    pub break_after: u32,
    /// Streams that broke off cannot be resumed.
    pub no_resume: bool,
    /// Restarts once, with nothing loaded.
    pub restart: bool,
    /// Leaves: says so in its reports and declines new requests.
    pub draining: bool,
}

struct State {
    settings: Settings,
    faults: Faults,
    incarnation: u64,
    fencing: u64,
    loaded: HashMap<String, u32>,
    reports: Vec<(Instant, Report)>,
    /// The served names of the streams that can be resumed; a stream is known by its index.
    streams: Vec<String>,
    /// Everything that was done, for tests.
    history: Vec<Value>,
}

/// Serves an engine until the listener fails.
///
/// # Errors
///
/// Fails when the listener does.
pub async fn run(listener: TcpListener, settings: Settings) -> std::io::Result<()> {
    let state = State {
        settings,
        faults: Faults::default(),
        incarnation: 1,
        fencing: 0,
        loaded: HashMap::new(),
        reports: Vec::new(),
        streams: Vec::new(),
        history: Vec::new(),
    };
    crate::serve(listener, state, answer).await
}

async fn answer(
    state: &Rc<RefCell<State>>,
    connection: &mut Connection,
    request: Request,
) -> Result<(), Error> {
    let faults = state.borrow().faults.clone();
    let control = request.path == "/faults" || request.path == "/history";
    if faults.down && !control {
        connection.closed().await;
        return Ok(());
    }
    if faults.delay_ms > 0 && !control {
        monoio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    let path = request.path.clone();
    match (&request.method, path.as_str()) {
        (&Method::POST, "/v1/chat/completions") => {
            complete(state, connection, &request, true).await
        }
        (&Method::POST, "/v1/completions") => complete(state, connection, &request, false).await,
        (&Method::POST, "/v1/load_lora_adapter") => order(state, connection, &request, true).await,
        (&Method::POST, "/v1/unload_lora_adapter") => {
            order(state, connection, &request, false).await
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
                Ok(faults) => state.borrow_mut().misbehave(faults),
                Err(error) => Response::text(StatusCode::BAD_REQUEST, error.to_string()),
            };
            connection.respond(response).await
        }
        _ => connection.respond(Response::empty(StatusCode::NOT_FOUND)).await,
    }
}

impl State {
    fn misbehave(&mut self, faults: Faults) -> Response {
        if faults.restart {
            self.incarnation += 1;
            self.loaded.clear();
            self.streams.clear();
            self.history.push(json!({ "event": "restart" }));
        }
        self.faults = Faults { restart: false, ..faults };
        Response::empty(StatusCode::NO_CONTENT)
    }

    /// Returns the report as it was the lag ago.
    fn report(&mut self) -> Report {
        let lag = Duration::from_millis(self.faults.report_lag_ms);
        let loaded: Vec<Loaded> = self
            .loaded
            .iter()
            .map(|(name, running)| Loaded { name: name.as_str().into(), running: *running })
            .collect();
        let running = loaded.iter().map(|loaded| loaded.running).sum();
        let fencing = if self.settings.checks_fencing { self.fencing } else { 0 };
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

async fn order(
    state: &Rc<RefCell<State>>,
    connection: &mut Connection,
    request: &Request,
    load: bool,
) -> Result<(), Error> {
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let name = body["lora_name"].as_str().unwrap_or_default().to_owned();
    let fencing: u64 =
        request.header("x-fencing-number").and_then(|text| text.parse().ok()).unwrap_or(0);
    let settings = state.borrow().settings.clone();
    let known = state.borrow().fencing;
    if settings.checks_fencing && fencing < known {
        return connection.respond(Response::text(StatusCode::PRECONDITION_FAILED, "fenced")).await;
    }
    state.borrow_mut().fencing = fencing.max(known);
    if load {
        monoio::time::sleep(settings.load_time).await;
    }
    let response = state.borrow_mut().carry_out(&name, load, fencing);
    if state.borrow().faults.order_replies_lost {
        connection.closed().await;
        return Ok(());
    }
    connection.respond(response).await
}

impl State {
    fn carry_out(&mut self, name: &str, load: bool, fencing: u64) -> Response {
        if load && self.faults.loads_fail {
            return Response::text(StatusCode::INTERNAL_SERVER_ERROR, "load failed");
        }
        if load && self.loaded.len() >= self.settings.slots && !self.loaded.contains_key(name) {
            return Response::text(StatusCode::BAD_REQUEST, "no slot is free");
        }
        let running = self.loaded.get(name).copied().unwrap_or(0);
        let event = if load { "load" } else { "unload" };
        let entry = json!({ "event": event, "name": name, "fencing": fencing, "running": running });
        self.history.push(entry);
        if load {
            self.loaded.entry(name.to_owned()).or_insert(0);
        } else {
            self.loaded.remove(name);
        }
        Response::text(StatusCode::OK, "done")
    }

    /// Returns a stream's id and its first token, which is not 0 for one that is resumed.
    fn open_stream(&mut self, request: &Request, name: &str) -> Option<(usize, u32)> {
        let Some(id) = request.header("x-resume-stream") else {
            self.streams.push(name.to_owned());
            return Some((self.streams.len() - 1, 0));
        };
        let id: usize = id.parse().ok()?;
        let known = self.streams.get(id).is_some_and(|known| known == name);
        let first = request.header("x-resume-events")?.parse().ok()?;
        (known && !self.faults.no_resume).then_some((id, first))
    }

    fn count(&mut self, name: &str, change: i32) {
        if let Some(running) = self.loaded.get_mut(name) {
            *running = running.saturating_add_signed(change);
        }
    }
}

/// Counts a running request for as long as it lives.
struct Running {
    state: Rc<RefCell<State>>,
    name: String,
}

impl Running {
    fn begin(state: &Rc<RefCell<State>>, name: &str, request: &str, resumed: bool) -> Self {
        state.borrow_mut().count(name, 1);
        let event = if resumed { "resume" } else { "begin" };
        let entry = json!({ "event": event, "name": name, "request": request });
        state.borrow_mut().history.push(entry);
        Self { state: state.clone(), name: name.to_owned() }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.state.borrow_mut().count(&self.name, -1);
        let entry = json!({ "event": "end", "name": self.name });
        self.state.borrow_mut().history.push(entry);
    }
}

async fn complete(
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
    let running = Running::begin(state, &name, &id, resumed);
    let tokens = body["max_tokens"].as_u64().unwrap_or(8) as u32;
    let pace = state.borrow().settings.token_time;
    let break_after = state.borrow().faults.break_after;
    if body["stream"].as_bool() != Some(true) {
        monoio::select! {
            _ = monoio::time::sleep(pace * tokens) => {}
            _ = connection.closed() => return Ok(()),
        }
        let text: String = (0..tokens).map(word).collect();
        let answer = whole(&name, &text, tokens, chat);
        drop(running);
        return connection.respond(Response::json(StatusCode::OK, &answer)).await;
    }
    let mut headers = HeaderMap::new();
    headers.insert("content-type", HeaderValue::from_static("text/event-stream"));
    let Some((stream, first)) = state.borrow_mut().open_stream(request, &name) else {
        return connection.respond(Response::empty(StatusCode::GONE)).await;
    };
    headers.insert("x-stream-id", HeaderValue::from(stream));
    headers.insert("x-resumed-after", HeaderValue::from(first));
    connection.begin(StatusCode::OK, &headers).await?;
    for index in first..tokens {
        if break_after > 0 && index - first >= break_after {
            return Err(Error::new(orioleroute_wire::Step::Send, connection.peer(), "broken off"));
        }
        if !pace.is_zero() {
            monoio::select! {
                _ = monoio::time::sleep(pace) => {}
                _ = connection.closed() => return Ok(()),
            }
        }
        let last = index + 1 == tokens;
        let event = format!("data: {}\n\n", part(&name, &word(index), last, chat));
        connection.chunk(event.as_bytes()).await?;
    }
    connection.chunk(b"data: [DONE]\n\n").await?;
    drop(running);
    connection.finish().await
}

fn word(index: u32) -> String {
    format!("w{index} ")
}

fn whole(name: &str, text: &str, tokens: u32, chat: bool) -> Value {
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

fn part(name: &str, word: &str, last: bool, chat: bool) -> Value {
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
        "sent_us": since_epoch_us(),
    })
}

/// Returns when a token is sent, from which a caller on the same machine tells its delay.
fn since_epoch_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}
