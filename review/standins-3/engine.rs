//! A stand-in of a model runner with one model and its adapters.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Connection, Head, response};
use crate::json::Json;
use crate::object;
use crate::record::Record;
use crate::store::Store;

const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// How long an adapter is on its way.
const ADAPTER_TIME: Duration = Duration::from_millis(250);

/// How long the model is on its way.
const MODEL_TIME: Duration = Duration::from_millis(2_900);

/// The time after a crash until the entry is removed, three heartbeats, and until the next process starts.
const EXPIRY_TIME: Duration = Duration::from_millis(3_600);
const RESTART_TIME: Duration = Duration::from_millis(400);

/// The time between two events of a stream, and the number of events.
const EVENT_TIME: Duration = Duration::from_millis(25);
const EVENTS: u64 = 8;

/// What a runner can hold.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    pub weights_mb: f64,
    pub model_mb: f64,
    pub adapter_mb: f64,
    pub adapter_slots: usize,
}

#[derive(Default)]
struct State {
    /// The number of the process, of which each has an id of its own.
    process: u64,
    started_ms: u64,
    has_model: bool,
    /// When the model arrives that is on its way.
    model_due: Option<Instant>,
    /// The adapters that are dropped once their runs have ended.
    unloading: BTreeSet<String>,
    adapters: BTreeMap<String, u64>,
    /// The adapters on their way, with their versions and when they arrive.
    pending: BTreeMap<String, (u64, Instant)>,
    /// The running requests by adapter.
    users: BTreeMap<String, usize>,
    accepted: u64,
    fence: u64,
    beats: u64,
    is_down: bool,
    connections: Vec<TcpStream>,
    /// Why each of its processes has crashed.
    crashes: Vec<String>,
    /// The streams that a crash has broken off.
    broken_off: Vec<String>,
    running: Vec<String>,
}

struct Shared {
    name: String,
    address: SocketAddr,
    capacity: Capacity,
    state: Mutex<State>,
    store: Store,
    record: Arc<Record>,
}

#[derive(Clone)]
pub struct Engine {
    shared: Arc<Shared>,
}

impl Engine {
    /// Starts a runner that holds the model and no adapter.
    pub fn start(name: &str, capacity: Capacity, store: &Store, record: &Arc<Record>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let state = State { has_model: true, started_ms: unix_ms(), ..State::default() };
        let shared = Arc::new(Shared {
            name: name.to_owned(),
            address: listener.local_addr().expect("an address"),
            capacity,
            state: Mutex::new(state),
            store: store.clone(),
            record: record.clone(),
        });
        shared.beat();
        let beating = shared.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(HEARTBEAT);
                beating.beat();
            }
        });
        let listening = shared.clone();
        std::thread::spawn(move || listen(listening, listener));
        Self { shared }
    }

    pub fn crashes(&self) -> Vec<String> {
        self.shared.state.lock().unwrap().crashes.clone()
    }

    pub fn broken_off(&self) -> Vec<String> {
        self.shared.state.lock().unwrap().broken_off.clone()
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

fn listen(shared: Arc<Shared>, listener: TcpListener) {
    let mut listener = listener;
    loop {
        listener.set_nonblocking(true).expect("a listener");
        loop {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let shared = shared.clone();
                    std::thread::spawn(move || shared.serve(Connection::new(stream)));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(1)),
            }
            if shared.state.lock().unwrap().is_down {
                break;
            }
        }
        drop(listener);
        std::thread::sleep(EXPIRY_TIME);
        let id = shared.id(&shared.state.lock().unwrap());
        shared.store.remove("servers", "", &id);
        std::thread::sleep(RESTART_TIME);
        listener = loop {
            match TcpListener::bind(shared.address) {
                Ok(listener) => break listener,
                Err(_) => std::thread::sleep(Duration::from_millis(20)),
            }
        };
        let mut state = shared.state.lock().unwrap();
        state.process += 1;
        state.started_ms = unix_ms();
        // A runner restarts empty.
        (state.has_model, state.model_due) = (false, None);
        state.unloading.clear();
        state.adapters.clear();
        state.pending.clear();
        state.users.clear();
        (state.accepted, state.fence, state.is_down) = (0, 0, false);
        drop(state);
        shared.beat();
    }
}

impl State {
    fn settle(&mut self) {
        let now = Instant::now();
        if self.model_due.is_some_and(|due| due <= now) {
            (self.has_model, self.model_due) = (true, None);
        }
        let idle = |name: &String| self.users.get(name).is_none_or(|users| *users == 0);
        let dropped: Vec<String> = self.unloading.iter().filter(|name| idle(name)).cloned().collect();
        for name in dropped {
            self.unloading.remove(&name);
            self.adapters.remove(&name);
        }
        let arrived: Vec<String> =
            self.pending.iter().filter(|(_, (_, at))| *at <= now).map(|(name, _)| name.clone()).collect();
        for name in arrived {
            if let Some((version, _)) = self.pending.remove(&name) {
                self.adapters.insert(name, version);
            }
        }
    }

    fn models(&self) -> Vec<Json> {
        let adapters = self.adapters.iter().map(|(name, version)| format!("{name}@{version}").into());
        match self.has_model {
            true => vec![object! { "name": "m", "version": 1_u64, "adapters": adapters.collect::<Vec<Json>>() }],
            false => Vec::new(),
        }
    }
}

impl Shared {
    fn id(&self, state: &State) -> String {
        format!("{}-{}", self.name, state.process)
    }

    /// Writes the entry, unless the process is down.
    fn beat(&self) {
        let mut state = self.state.lock().unwrap();
        if state.is_down {
            return;
        }
        state.settle();
        state.beats += 1;
        let entry = object! {
            "service": "models", "address": self.address.to_string(), "zone": "a", "version": "v1",
            "slots": 64_u64, "state": "ready", "coldLeftMs": 0_u64, "seq": state.accepted,
            "born": state.started_ms, "stage": "hybrid", "models": state.models(),
        };
        let id = self.id(&state);
        drop(state);
        self.store.put("servers", "", &id, &entry);
    }

    fn serve(&self, mut connection: Connection) {
        let process = {
            let mut state = self.state.lock().unwrap();
            if let Ok(stream) = connection.stream.try_clone() {
                state.connections.push(stream);
            }
            state.process
        };
        while let Ok(Some(head)) = connection.head() {
            let Ok(body) = connection.body(&head) else { return };
            if self.state.lock().unwrap().process != process || self.state.lock().unwrap().is_down {
                return;
            }
            let answered = match head.path() {
                "/report" => self.report(&mut connection),
                "/health" => {
                    let fields = format!("Orioleroute-Instance-Id: {}\r\n", self.id(&self.state.lock().unwrap()));
                    connection.send(&response(200, &fields, b""))
                }
                "/order" => self.order(&mut connection, &head, &body),
                _ => self.run(&mut connection, &head),
            };
            if answered.is_err() {
                return;
            }
        }
    }

    fn report(&self, connection: &mut Connection) -> std::io::Result<()> {
        let report = {
            let mut state = self.state.lock().unwrap();
            state.settle();
            let pending = state.pending.iter().map(|(name, (version, _))| format!("m/{name}@{version}").into());
            object! {
                "stage": "hybrid", "models": state.models(), "busy": state.model_due.is_some(), "seq": state.accepted,
                "queued": 0_u64, "active": state.running.len() as u64, "kvUsed": 0_u64,
                "kvTotal": 149_868_u64, "handles": 0_u64, "born": state.started_ms,
                "pending": pending.collect::<Vec<Json>>(),
            }
        };
        connection.send(&response(200, "Content-Type: application/json\r\n", report.write().as_bytes()))
    }

    fn order(&self, connection: &mut Connection, head: &Head, body: &[u8]) -> std::io::Result<()> {
        let order = std::str::from_utf8(body).ok().and_then(Json::parse).unwrap_or(Json::Null);
        let (status, overload) = {
            let mut state = self.state.lock().unwrap();
            state.settle();
            let is_other = head.field("orioleroute-expect-instance").is_some_and(|id| id != self.id(&state));
            let status = if is_other { 421 } else { carry_out(&mut state, &order) };
            let adapters = state.adapters.len() + state.pending.len();
            let weights = self.capacity.model_mb * f64::from(u8::from(state.has_model || state.model_due.is_some()))
                + self.capacity.adapter_mb * adapters as f64;
            self.record.add(format!(
                "order to {}: {} {} from {} with {}: {status}; it holds or fetches {adapters} adapters, {weights} MB",
                self.id(&state),
                order.text("operation").unwrap_or_default(),
                order.text("adapter").unwrap_or("the model"),
                order.text("holder").unwrap_or_default(),
                order.number("fenceToken").unwrap_or_default(),
            ));
            let is_overloaded =
                weights > self.capacity.weights_mb || adapters > self.capacity.adapter_slots;
            let overload = is_overloaded.then(|| {
                format!(
                    "{} was ordered to load {weights} MB of {} MB and {adapters} adapters of {}",
                    self.id(&state),
                    self.capacity.weights_mb,
                    self.capacity.adapter_slots
                )
            });
            (status, overload)
        };
        connection.send(&response(status, "Content-Type: application/json\r\n", b"{}"))?;
        if let Some(overload) = overload {
            self.crash(overload);
        }
        Ok(())
    }

    /// Ends the process, as a runner does that is ordered to load more than it holds.
    fn crash(&self, cause: String) {
        let mut state = self.state.lock().unwrap();
        if state.is_down {
            return;
        }
        self.record.say(format!("{cause}, and crashes with {} running requests", state.running.len()));
        state.is_down = true;
        state.crashes.push(cause);
        let running = std::mem::take(&mut state.running);
        state.broken_off.extend(running);
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn run(&self, connection: &mut Connection, head: &Head) -> std::io::Result<()> {
        let attempt = head.attempt().to_owned();
        let echo = format!("Orioleroute-Attempt-Id: {attempt}\r\n");
        let model = head.field("orioleroute-model").unwrap_or_default();
        let adapter = model.split_once('/').map(|(_, adapter)| adapter.to_owned()).unwrap_or_default();
        let id = {
            let mut state = self.state.lock().unwrap();
            state.settle();
            let id = self.id(&state);
            let is_other = head.field("orioleroute-expect-instance").is_some_and(|expected| expected != id);
            let expected = head.field("orioleroute-expect-version").and_then(|version| version.parse().ok());
            let held = state.adapters.get(&adapter).copied();
            let fits = held.is_some() && (expected.is_none() || expected == held);
            if is_other || !fits {
                drop(state);
                let fields = format!("{echo}Orioleroute-Not-Executed: 1\r\n");
                return connection.send(&response(421, &fields, b""));
            }
            if state.unloading.contains(&adapter) {
                drop(state);
                let fields = format!("{echo}Orioleroute-Not-Executed: 1\r\n");
                return connection.send(&response(503, &fields, b""));
            }
            *state.users.entry(adapter.clone()).or_default() += 1;
            state.running.push(attempt.clone());
            id
        };
        self.record.add(format!("{id} runs {attempt} with {adapter}"));
        let streamed = self.stream(connection, head, &echo, &id);
        let mut state = self.state.lock().unwrap();
        if let Some(users) = state.users.get_mut(&adapter) {
            *users = users.saturating_sub(1);
        }
        state.running.retain(|running| *running != attempt);
        streamed
    }

    fn stream(&self, connection: &mut Connection, head: &Head, echo: &str, id: &str) -> std::io::Result<()> {
        let after = head.field("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0_u64);
        let answer = format!(
            "HTTP/1.1 200 OK\r\n{echo}Orioleroute-Response-Seal: seal.{id}\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        connection.send(answer.as_bytes())?;
        for number in after + 1..=EVENTS {
            std::thread::sleep(EVENT_TIME);
            let event = format!("id: {number}\ndata: {} {number}\n\n", head.attempt());
            connection.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        connection.send(b"0\r\n\r\n")
    }
}

/// Carries out an order, and returns the status of the answer.
fn carry_out(state: &mut State, order: &Json) -> u16 {
    let Some(fence) = order.number("fenceToken") else { return 400 };
    if fence < state.fence {
        return 412;
    }
    state.fence = fence;
    if order.number("ifRevision").is_some_and(|expected| expected != state.accepted) {
        return 409;
    }
    if state.model_due.is_some() {
        return 409;
    }
    let adapter = order.text("adapter").map(str::to_owned);
    match (order.text("operation"), adapter) {
        (Some("load"), None) if state.has_model => 200,
        (Some("load"), None) => {
            state.model_due = Some(Instant::now() + MODEL_TIME);
            state.accepted += 1;
            202
        }
        (Some("load"), Some(_)) if !state.has_model => 400,
        (Some("load"), Some(name)) => {
            let version = order.number("version").unwrap_or(1);
            if state.adapters.get(&name) == Some(&version) && !state.unloading.contains(&name) {
                return 200;
            }
            if state.pending.contains_key(&name) {
                return 202;
            }
            state.pending.insert(name, (version, Instant::now() + ADAPTER_TIME));
            state.accepted += 1;
            202
        }
        (Some("unload"), Some(name)) => {
            let is_used = state.users.get(&name).is_some_and(|users| *users > 0);
            state.accepted += 1;
            if is_used {
                state.unloading.insert(name);
                return 202;
            }
            state.adapters.remove(&name);
            200
        }
        _ => 400,
    }
}
