//! A model runner: holds one base model and adapters that it is ordered to load, and streams answers. It does not check
//! fencing tokens.
#![allow(dead_code)]

use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::kit::{free_address, Json, Message, Record, Store, Wire};

pub const MODEL: &str = "base";
pub const SERVICE: &str = "redaction-modeles";
pub const ADAPTER_SLOTS: usize = 9;

/// How long an adapter takes from the store, and from the runner's own copy.
const LOAD_TIME: Duration = Duration::from_millis(250);
const WARM_LOAD_TIME: Duration = Duration::from_millis(25);

const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// An order as it arrived.
#[derive(Clone, Debug)]
pub struct Order {
    pub at: Duration,
    pub holder: String,
    pub fence: u64,
    pub status: u16,
}

#[derive(Default)]
struct State {
    /// The adapters, with the time at which each can be used.
    adapters: HashMap<String, Duration>,
    held_before: HashSet<String>,
    /// The adapters that are dropped when their runs have ended.
    leaving: HashSet<String>,
    users: HashMap<String, u32>,
    seq: u64,
    orders: Vec<Order>,
    active: usize,
    /// The runs by attempt id.
    runs: HashMap<String, u32>,
}

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub zone: String,
    pub address: SocketAddr,
    born: u64,
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Engine {
    pub fn start(id: &str, zone: &str, store: &Store, record: &Record) -> Self {
        let address = free_address();
        let listener = TcpListener::bind(address).unwrap();
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let engine = Self {
            id: id.into(),
            zone: zone.into(),
            address,
            born,
            state: Arc::default(),
            record: record.clone(),
        };
        let server = engine.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        let (writer, store) = (engine.clone(), store.clone());
        std::thread::spawn(move || loop {
            writer.write(&store);
            std::thread::sleep(HEARTBEAT);
        });
        engine
    }

    /// Writes the runner's entry; a heartbeat that the store does not take is lost.
    fn write(&self, store: &Store) {
        let (models, seq) = {
            let state = self.state.lock().unwrap();
            (self.models(&state), state.seq)
        };
        let row = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":64,\
             \"state\":\"ready\",\"coldLeftMs\":0,\"seq\":{seq},\"born\":{},\"stage\":\"hybrid\",\"models\":{models}}}",
            self.address, self.zone, self.born
        );
        store.put("servers", &self.id, Some(&row));
    }

    fn models(&self, state: &State) -> String {
        let now = self.record.now();
        let held = state.adapters.iter().filter(|(_, from)| **from <= now);
        let held: Vec<String> = held.map(|(name, _)| format!("\"{name}@1\"")).collect();
        format!("[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[{}]}}]", held.join(","))
    }

    pub fn orders(&self) -> Vec<Order> {
        self.state.lock().unwrap().orders.clone()
    }

    fn serve(&self, stream: TcpStream) {
        let mut wire = Wire::new(stream);
        while let Some(request) = wire.message(false) {
            if request.field("orioleroute-expect-instance").is_some_and(|id| id != self.id) {
                if !wire.respond(421, "Orioleroute-Not-Executed: 1\r\n", "") {
                    return;
                }
                continue;
            }
            let open = match (request.method(), request.path()) {
                ("POST", "/order") => {
                    let status = self.order(&request);
                    wire.respond(status, "", "")
                }
                ("GET", "/report") => {
                    let report = self.report();
                    wire.respond(200, "Content-Type: application/json\r\n", &report)
                }
                _ => self.run(&request, &mut wire),
            };
            if !open {
                return;
            }
        }
    }

    fn report(&self) -> String {
        let state = self.state.lock().unwrap();
        let now = self.record.now();
        let pending = state.adapters.iter().filter(|(_, from)| **from > now);
        let pending: Vec<String> = pending.map(|(name, _)| format!("\"{MODEL}/{name}@1\"")).collect();
        format!(
            "{{\"stage\":\"hybrid\",\"models\":{},\"busy\":false,\"seq\":{},\"born\":{},\"queued\":0,\"active\":{},\
             \"kvUsed\":0,\"kvTotal\":240000,\"handles\":0,\"pending\":[{}]}}",
            self.models(&state),
            state.seq,
            self.born,
            state.active,
            pending.join(",")
        )
    }

    /// Carries out an order and returns the status.
    fn order(&self, request: &Message) -> u16 {
        let Some(order) = Json::parse(&request.body) else { return 400 };
        let holder = order.get("holder").text().to_owned();
        let Some(fence) = order.get("fenceToken").number() else { return 400 };
        let adapter = order.get("adapter").text().to_owned();
        let operation = order.get("operation").text().to_owned();
        let now = self.record.now();
        let mut state = self.state.lock().unwrap();
        let expected = order.get("ifRevision").number();
        let is_current = expected.is_none_or(|expected| expected == state.seq);
        let status = match (operation.as_str(), state.adapters.get(&adapter).copied()) {
            _ if holder.is_empty() => 400,
            ("load", _) if adapter.is_empty() => 200,
            ("load", Some(from)) if from <= now => 200,
            ("load", Some(_)) => 202,
            ("load", None) | ("unload", Some(_)) if !is_current => 409,
            ("load", None) => {
                if state.adapters.len() >= ADAPTER_SLOTS {
                    self.record.add(format!("{} {}: LIMIT, more adapters than places", self.zone, self.id));
                }
                let is_warm = state.held_before.contains(&adapter);
                let time = if is_warm { WARM_LOAD_TIME } else { LOAD_TIME };
                state.adapters.insert(adapter.clone(), now + time);
                state.held_before.insert(adapter.clone());
                state.seq += 1;
                202
            }
            ("unload", Some(_)) if state.users.get(&adapter).is_some_and(|users| *users > 0) => {
                // Waits for the runs.
                state.leaving.insert(adapter.clone());
                state.seq += 1;
                202
            }
            ("unload", Some(_)) => {
                state.adapters.remove(&adapter);
                state.seq += 1;
                200
            }
            ("unload", None) => 200,
            _ => 400,
        };
        self.record.add(format!(
            "{} {}: order {operation} {adapter} holder {holder} fence {fence} ifRevision {expected:?} -> {status}",
            self.zone, self.id
        ));
        state.orders.push(Order { at: now, holder, fence, status });
        status
    }

    fn run(&self, request: &Message, wire: &mut Wire) -> bool {
        let id = request.field("orioleroute-attempt-id").unwrap_or_default().to_owned();
        let model = request.field("orioleroute-model").unwrap_or_default();
        let adapter = model.split_once('/').map(|(_, adapter)| adapter.to_owned()).unwrap_or_default();
        {
            let mut state = self.state.lock().unwrap();
            let now = self.record.now();
            if !adapter.is_empty() && state.adapters.get(&adapter).is_none_or(|from| *from > now) {
                drop(state);
                return wire.respond(421, &format!("Orioleroute-Attempt-Id: {id}\r\nOrioleroute-Not-Executed: 1\r\n"), "");
            }
            if state.leaving.contains(&adapter) {
                drop(state);
                return wire.respond(503, &format!("Orioleroute-Attempt-Id: {id}\r\nOrioleroute-Not-Executed: 1\r\n"), "");
            }
            state.active += 1;
            *state.users.entry(adapter.clone()).or_default() += 1;
            *state.runs.entry(id.clone()).or_default() += 1;
        }
        self.record.add(format!("{} {}: runs {id} with {adapter}", self.zone, self.id));
        std::thread::sleep(Duration::from_millis(60));
        let mut open = wire.send(
            format!(
                "HTTP/1.1 200 OK\r\nOrioleroute-Attempt-Id: {id}\r\nOrioleroute-Response-Seal: {}\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                self.id
            )
            .as_bytes(),
        );
        let last: u64 = request.field("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        for number in last + 1..=4 {
            let event = format!("id: {number}\ndata: piece {number}\n\n");
            open = open && wire.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
            std::thread::sleep(Duration::from_millis(20));
        }
        open = open && wire.send(b"0\r\n\r\n");
        let mut state = self.state.lock().unwrap();
        state.active -= 1;
        let users = state.users.entry(adapter.clone()).or_default();
        *users -= 1;
        if *users == 0 && state.leaving.remove(&adapter) {
            state.adapters.remove(&adapter);
        }
        open
    }
}

/// Returns the breaches of the rule ONE by the orders to one runner that does not check fencing tokens: a lower token
/// after a higher one, one token of two holders, and holders that take turns within `lease`.
pub fn breaches(orders: &[Order], lease: Duration) -> Vec<String> {
    let mut found = Vec::new();
    let mut highest: Option<&Order> = None;
    let mut spans: Vec<(&Order, &Order)> = Vec::new();
    let mut holders: HashMap<u64, &str> = HashMap::new();
    for order in orders {
        if let Some(high) = highest.filter(|high| order.fence < high.fence) {
            found.push(format!(
                "at {:.3} {} ordered with the fencing token {} after {} had ordered with {} at {:.3}",
                order.at.as_secs_f64(), order.holder, order.fence, high.holder, high.fence, high.at.as_secs_f64()
            ));
        }
        if highest.is_none_or(|high| order.fence >= high.fence) {
            highest = Some(order);
        }
        if *holders.entry(order.fence).or_insert(&order.holder) != order.holder {
            found.push(format!("at {:.3} two holders used the fencing token {}", order.at.as_secs_f64(), order.fence));
        }
        match spans.last_mut() {
            Some((_, last)) if last.holder == order.holder => *last = order,
            _ => spans.push((order, order)),
        }
        if let [.., before, _, (first, last)] = &spans[..] {
            if before.0.holder == order.holder && std::ptr::eq(*first, *last) && order.at - before.1.at < lease {
                found.push(format!(
                    "at {:.3} {} ordered again {} ms after its last order, with another holder in between",
                    order.at.as_secs_f64(), order.holder, (order.at - before.1.at).as_millis()
                ));
            }
        }
    }
    found
}
