//! A stand-in of a runner, as a process of its own: a model engine with adapters, or a plain service.

use std::collections::HashMap;
use std::fs::File;
use std::io::Write as _;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::base::{Connection, Json, Message, quote, serve, unix_ms};

/// How long a connection may be idle.
const IDLE: Duration = Duration::from_secs(5);

/// How many events a stream has.
pub const EVENTS: u64 = 8;

#[derive(Clone, Debug, PartialEq)]
enum Model {
    Absent,
    Loading(Instant),
    Present,
}

struct Adapter {
    ready: Instant,
    users: u32,
    /// Whether it is dropped as soon as its runs have ended.
    is_unloading: bool,
}

struct State {
    model: Model,
    adapters: HashMap<String, Adapter>,
    /// The adapters that were here before, which load ten times as fast.
    recent: Vec<String>,
    orders: u64,
    fence: u64,
    active: u32,
}

/// What a runner is started with.
#[derive(Clone)]
pub struct Options {
    pub id: String,
    pub address: SocketAddr,
    pub store: SocketAddr,
    pub zone: String,
    pub service: String,
    /// Where it writes what it gets; one line for each order and each run.
    pub record: String,
    /// Whether the base model is there at the start.
    pub has_model: bool,
    /// How long loading the base model takes, in milliseconds.
    pub load_ms: u64,
    pub slots: u32,
    pub adapter_slots: usize,
    /// How long a plain request takes, in milliseconds.
    pub work_ms: u64,
    /// The time between two events of a stream, in milliseconds.
    pub event_ms: u64,
}

impl Options {
    pub fn arguments(&self) -> Vec<String> {
        let Self { id, address, store, zone, service, record, .. } = self;
        let fixed = [id.clone(), address.to_string(), store.to_string(), zone.clone(), service.clone()];
        let numbers = [u64::from(self.has_model), self.load_ms, u64::from(self.slots),
            self.adapter_slots as u64, self.work_ms, self.event_ms];
        let mut all = vec!["runner".to_owned()];
        all.extend(fixed);
        all.push(record.clone());
        all.extend(numbers.iter().map(u64::to_string));
        all
    }

    pub fn parse(words: &[String]) -> Self {
        let number = |index: usize| words[index].parse::<u64>().unwrap();
        Self {
            id: words[0].clone(),
            address: words[1].parse().unwrap(),
            store: words[2].parse().unwrap(),
            zone: words[3].clone(),
            service: words[4].clone(),
            record: words[5].clone(),
            has_model: number(6) == 1,
            load_ms: number(7),
            slots: number(8) as u32,
            adapter_slots: number(9) as usize,
            work_ms: number(10),
            event_ms: number(11),
        }
    }

    fn is_engine(&self) -> bool {
        self.adapter_slots > 0
    }
}

struct Runner {
    options: Options,
    born: u64,
    state: Mutex<State>,
    record: Mutex<File>,
}

/// Runs until the process is killed.
pub fn run(options: Options) {
    let listener = TcpListener::bind(options.address).unwrap();
    let file = File::options().create(true).append(true).open(&options.record).unwrap();
    let model = if options.has_model { Model::Present } else { Model::Absent };
    let state = State {
        model,
        adapters: HashMap::new(),
        recent: Vec::new(),
        orders: 0,
        fence: 0,
        active: 0,
    };
    let runner = Arc::new(Runner {
        born: unix_ms(),
        state: Mutex::new(state),
        record: Mutex::new(file),
        options,
    });
    let served = runner.clone();
    serve(listener, move |connection| served.serve(connection));
    loop {
        runner.send_heartbeat();
        std::thread::sleep(Duration::from_millis(1_200));
    }
}

impl Runner {
    fn send_heartbeat(&self) {
        let Options { id, address, zone, service, slots, .. } = &self.options;
        let (models, seq) = {
            let state = self.state.lock().unwrap();
            (models(&state), state.orders)
        };
        let born = self.born;
        let row = format!(
            "{{\"service\":{},\"address\":\"{address}\",\"zone\":{},\"version\":\"v1\",\"slots\":{slots},\
             \"state\":\"ready\",\"coldLeftMs\":0,\"seq\":{seq},\"born\":{born},\"stage\":\"hybrid\",\
             \"models\":{models}}}",
            quote(service), quote(zone)
        );
        let Ok(mut connection) = Connection::open(self.options.store, Duration::from_secs(1)) else {
            return;
        };
        let length = row.len();
        let head = format!(
            "POST /standin-heartbeat?key={id} HTTP/1.1\r\nHost: store\r\nContent-Length: {length}\r\n\r\n"
        );
        if connection.write(&(head + &row)).is_ok() {
            let _ = connection.read();
        }
    }

    fn note(&self, line: String) {
        let line = format!("{} {} {line}\n", unix_ms(), self.options.id);
        let _ = self.record.lock().unwrap().write_all(line.as_bytes());
    }

    fn serve(&self, mut connection: Connection) {
        // An idle connection is closed after the time that `Keep-Alive` states.
        let _ = connection.stream.set_read_timeout(Some(IDLE));
        while let Ok(Some(request)) = connection.read() {
            let is_open = self.answer(&mut connection, &request);
            if !is_open {
                return;
            }
        }
    }

    fn answer(&self, connection: &mut Connection, request: &Message) -> bool {
        let id = &self.options.id;
        let attempt = request.field("orioleroute-attempt-id").unwrap_or_default().to_owned();
        let echo = match attempt.is_empty() {
            true => String::new(),
            false => format!("Orioleroute-Attempt-Id: {attempt}\r\n"),
        };
        let expected = request.field("orioleroute-expect-instance");
        if expected.is_some_and(|expected| expected != id) {
            let fields = format!("{echo}Orioleroute-Instance-Id: {id}\r\nOrioleroute-Not-Executed: 1\r\n");
            return connection.respond(421, &fields, "").is_ok();
        }
        match (request.method.as_str(), request.path()) {
            ("POST", "/order") => {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                let status = Json::parse(&text).map_or(400, |order| self.order(&order));
                connection.respond(status, "", "{}").is_ok()
            }
            ("GET", "/report") => connection.respond(200, "Content-Type: application/json\r\n", &self.report()).is_ok(),
            ("GET", "/health") => {
                connection.respond(200, &format!("Orioleroute-Instance-Id: {id}\r\n"), "{}").is_ok()
            }
            _ if attempt.is_empty() => {
                connection.respond(400, "Orioleroute-Not-Executed: 1\r\n", "").is_ok()
            }
            _ => self.run_request(connection, request, &attempt, &echo),
        }
    }

    fn order(&self, order: &Json) -> u16 {
        let (holder, fence) = (order.text("holder"), order.number("fenceToken"));
        let (operation, adapter) = (order.text("operation"), order.text("adapter"));
        let Some(fence) = fence.filter(|_| !holder.is_empty()) else { return 400 };
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        let status = if fence < state.fence {
            412
        } else {
            state.fence = fence;
            let differs = order.number("ifRevision").is_some_and(|seq| seq != state.orders);
            let limit = self.options.adapter_slots;
            self.apply(&mut state, &operation, &adapter, differs, limit, now)
        };
        drop(state);
        self.note(format!("order holder={holder} fence={fence} {operation} adapter={adapter:?} answered={status}"));
        status
    }

    fn apply(&self, state: &mut State, operation: &str, adapter: &str, differs: bool, limit: usize, now: Instant) -> u16 {
        settle(state, now);
        match (operation, adapter) {
            ("load", "") => match state.model {
                Model::Present => 200,
                Model::Loading(_) => 202,
                Model::Absent if differs => 409,
                Model::Absent => {
                    state.model = Model::Loading(now + Duration::from_millis(self.options.load_ms));
                    state.orders += 1;
                    202
                }
            },
            ("load", _) if state.model != Model::Present => 400,
            ("load", _) => match state.adapters.get(adapter) {
                Some(held) if held.is_unloading => 409,
                Some(held) if held.ready <= now => 200,
                Some(_) => 202,
                None if differs => 409,
                None => {
                    if state.adapters.len() >= limit {
                        self.note("crash: more adapters than adapterSlots".into());
                        std::process::exit(3);
                    }
                    let is_recent = state.recent.iter().any(|recent| recent == adapter);
                    let time = Duration::from_millis(if is_recent { 25 } else { 250 });
                    state.recent.push(adapter.to_owned());
                    state.adapters.insert(adapter.to_owned(), Adapter { ready: now + time, users: 0, is_unloading: false });
                    state.orders += 1;
                    202
                }
            },
            ("unload", _) => match state.adapters.get_mut(adapter) {
                None => 200,
                Some(held) if held.is_unloading => 202,
                Some(_) if differs => 409,
                Some(held) if held.users == 0 => {
                    state.adapters.remove(adapter);
                    state.orders += 1;
                    200
                }
                Some(held) => {
                    held.is_unloading = true;
                    state.orders += 1;
                    202
                }
            },
            _ => 400,
        }
    }

    fn report(&self) -> String {
        let mut state = self.state.lock().unwrap();
        settle(&mut state, Instant::now());
        let now = Instant::now();
        let pending: Vec<String> = state
            .adapters
            .iter()
            .filter(|(_, held)| held.ready > now)
            .map(|(name, _)| quote(&format!("m0/{name}@1")))
            .collect();
        let is_busy = matches!(state.model, Model::Loading(_));
        format!(
            "{{\"stage\":\"hybrid\",\"models\":{},\"busy\":{is_busy},\"seq\":{},\"born\":{},\"queued\":0,\
             \"active\":{},\"kvUsed\":0,\"kvTotal\":149868,\"handles\":0,\"pending\":[{}]}}",
            models(&state), state.orders, self.born, state.active, pending.join(",")
        )
    }

    fn run_request(&self, connection: &mut Connection, request: &Message, attempt: &str, echo: &str) -> bool {
        let not_run = format!("{echo}Orioleroute-Not-Executed: 1\r\n");
        let adapter = request.field("orioleroute-model").map(|name| match name.split_once('/') {
            Some((_, adapter)) => adapter.to_owned(),
            None => String::new(),
        });
        {
            let mut state = self.state.lock().unwrap();
            let now = Instant::now();
            settle(&mut state, now);
            if state.active >= self.options.slots {
                drop(state);
                return connection.respond(503, &not_run, "").is_ok();
            }
            let is_there = match &adapter {
                None => true,
                Some(adapter) if adapter.is_empty() => state.model == Model::Present,
                Some(adapter) => match state.adapters.get_mut(adapter) {
                    Some(held) if held.ready <= now && !held.is_unloading => {
                        held.users += 1;
                        true
                    }
                    _ => false,
                },
            };
            if !is_there {
                drop(state);
                return connection.respond(421, &not_run, "").is_ok();
            }
            state.active += 1;
        }
        self.note(format!("run attempt={attempt} {} {} body={}", request.method, request.target, request.body.len()));
        let seal = format!(
            "{echo}Orioleroute-Response-Seal: {}.{attempt}\r\nKeep-Alive: timeout={}\r\n",
            self.options.id,
            IDLE.as_secs()
        );
        let is_open = match &adapter {
            None => {
                std::thread::sleep(Duration::from_millis(self.options.work_ms));
                connection.respond(200, &seal, &format!("answer to {attempt}")).is_ok()
            }
            Some(_) => self.stream(connection, request, &seal),
        };
        let mut state = self.state.lock().unwrap();
        state.active -= 1;
        if let Some(name) = adapter {
            let is_over = state.adapters.get_mut(&name).is_some_and(|held| {
                held.users = held.users.saturating_sub(1);
                held.is_unloading && held.users == 0
            });
            if is_over {
                state.adapters.remove(&name);
            }
        }
        drop(state);
        self.note(format!("end attempt={attempt} written={is_open}"));
        is_open
    }

    fn stream(&self, connection: &mut Connection, request: &Message, seal: &str) -> bool {
        let last: u64 = request.field("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        std::thread::sleep(Duration::from_millis(40));
        let head = format!(
            "HTTP/1.1 200 OK\r\n{seal}Content-Type: text/event-stream\r\nOrioleroute-Weight-Versions: 1\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        if connection.write(&head).is_err() {
            return false;
        }
        for id in last + 1..=EVENTS {
            let event = format!("id: {id}\ndata: part {id}\n\n");
            if connection.write(&format!("{:x}\r\n{event}\r\n", event.len())).is_err() {
                return false;
            }
            std::thread::sleep(Duration::from_millis(self.options.event_ms));
        }
        connection.write("0\r\n\r\n").is_ok()
    }
}

fn settle(state: &mut State, now: Instant) {
    if let Model::Loading(until) = state.model {
        if until <= now {
            state.model = Model::Present;
        }
    }
}

fn models(state: &State) -> String {
    if state.model != Model::Present {
        return "[]".into();
    }
    let now = Instant::now();
    let held: Vec<String> = state
        .adapters
        .iter()
        .filter(|(_, held)| held.ready <= now)
        .map(|(name, _)| quote(&format!("{name}@1")))
        .collect();
    format!("[{{\"name\":\"m0\",\"version\":1,\"adapters\":[{}]}}]", held.join(","))
}
