//! Engines and plain services.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use orioleroute::engine::{self, Loaded, Outcome, Report};
use orioleroute::instance::Listing;
use orioleroute::key;
use orioleroute::key::Ticket;
use orioleroute::prelude::{Event, Instant};
use orioleroute::request::{Dispatch, Failure};

use super::queue::{Delivery, End, Place};
use super::{Record, World, upstream_of};

/// Ports of fake addresses of upstreams start here.
pub(super) const FIRST_PORT: u16 = 30_000;

/// The shortest and longest delay to an upstream and back, in microseconds.
const DELAY_US: (u64, u64) = (100, 2_000);

/// When a node gives up on an order without a reply.
const GIVE_UP: Duration = Duration::from_secs(10);

/// How an upstream misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Nothing can connect to it.
    pub down: bool,
    /// Loads fail.
    pub loads_fail: bool,
    /// Orders take effect, and their replies are lost.
    pub order_replies_lost: bool,
    /// Requests run, and their answers are lost.
    pub answers_lost: bool,
    /// It is leaving, says so in its reports, and declines new requests.
    pub draining: bool,
}

/// An engine or plain service.
pub struct Engine {
    /// How the platform lists it.
    pub listing: Listing,
    /// The adapters that it holds at a time; zero for a plain service.
    pub slots: usize,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// How long a load takes.
    pub load_time: Duration,
    /// How long a request runs.
    pub run_time: Duration,
    /// How old its reports are.
    pub report_lag: Duration,
    /// How it misbehaves.
    pub faults: Faults,
    incarnation: u64,
    fencing: u64,
    loaded: BTreeMap<String, u32>,
    runs: BTreeMap<u64, Run>,
    next_run: u64,
}

struct Run {
    place: Place,
    name: String,
    /// From when on the caller has a part of the answer, if it is streamed.
    streamed: Option<Instant>,
}

/// An order on its way.
#[derive(Clone)]
pub struct Order {
    pub(super) node: usize,
    pub(super) incarnation: u64,
    pub(super) ticket: Ticket,
    pub(super) upstream: key::Upstream,
    pub(super) engine: usize,
    pub(super) order: engine::Order,
    pub(super) fencing: u64,
    /// The incarnation of the engine that took it.
    pub(super) taken_by: u64,
}

impl Engine {
    /// Returns an upstream with the number that it will have in the world.
    pub fn new(number: usize, pool: &str, region: &str, slots: usize) -> Self {
        let address: SocketAddr = ([127, 0, 0, 1], FIRST_PORT + number as u16).into();
        Self {
            listing: crate::system::listing(&format!("upstream-{number}"), pool, region, address),
            slots,
            checks_fencing: true,
            load_time: Duration::from_millis(250),
            run_time: Duration::from_millis(400),
            report_lag: Duration::ZERO,
            faults: Faults::default(),
            incarnation: 1,
            fencing: 0,
            loaded: BTreeMap::new(),
            runs: BTreeMap::new(),
            next_run: 0,
        }
    }

    /// Returns the served names that are loaded.
    pub fn loaded(&self) -> impl Iterator<Item = &str> {
        self.loaded.keys().map(String::as_str)
    }

    /// Lets it hold a revision that nobody ordered.
    pub fn hold(&mut self, name: &str) {
        self.loaded.insert(name.into(), 0);
    }

    /// Lets it lose a revision that nobody ordered to unload.
    pub fn lose(&mut self, name: &str) {
        self.loaded.remove(name);
    }

    /// Returns the requests that run on it.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    fn report(&self) -> Report {
        let running_on = |name: &str| self.runs.values().filter(|run| run.name == name).count();
        let loaded: Vec<Loaded> = self
            .loaded
            .keys()
            .map(|name| Loaded { name: name.as_str().into(), running: running_on(name) as u32 })
            .collect();
        Report {
            incarnation: self.incarnation,
            running: self.runs.len() as u32,
            loaded,
            age_ms: self.report_lag.as_millis() as u32,
            fencing: if self.checks_fencing { self.fencing } else { 0 },
            draining: self.faults.draining,
        }
    }
}

impl World {
    /// Restarts an engine with nothing loaded; what ran on it breaks off.
    pub fn restart_engine(&mut self, number: usize) {
        let engine = &mut self.engines[number];
        engine.incarnation += 1;
        engine.loaded.clear();
        let runs = std::mem::take(&mut engine.runs);
        for run in runs.into_values() {
            self.lose_run(run);
        }
    }

    pub(super) fn probe(&mut self, node: usize, upstream: key::Upstream, address: SocketAddr) {
        self.nodes[node].counts.probes += 1;
        let engine = &self.engines[upstream_of(address)];
        let report = (!engine.faults.down).then(|| engine.report());
        let lag = engine.report_lag;
        let incarnation = self.nodes[node].identity.incarnation;
        let event = Event::Report { upstream, report };
        let at = self.now + self.delay(DELAY_US) + lag;
        self.queue.push(at, Delivery::Event { node, incarnation, event });
    }

    pub(super) fn do_order(&mut self, mut order: Order) {
        let engine = &mut self.engines[order.engine];
        if engine.faults.down {
            return self.end_order_with(&order, Outcome::Failed);
        }
        if engine.checks_fencing && order.fencing < engine.fencing {
            return self.end_order_with(&order, Outcome::Fenced);
        }
        engine.fencing = engine.fencing.max(order.fencing);
        order.taken_by = engine.incarnation;
        let load = matches!(order.order, engine::Order::Load { .. });
        let time = if load { engine.load_time } else { Duration::ZERO };
        let (upstream, fencing) = (order.engine, order.fencing);
        self.record(Record::Took { upstream, fencing });
        self.queue.push(self.now + time, Delivery::OrderEnd(order));
    }

    pub(super) fn end_order(&mut self, order: Order) {
        let engine = &mut self.engines[order.engine];
        if order.taken_by != engine.incarnation {
            // The process that took it has ended, which breaks the connection.
            let (node, incarnation) = (order.node, order.incarnation);
            let Order { ticket, upstream, .. } = order;
            let event = Event::OrderEnded { ticket, upstream, outcome: Outcome::Unknown };
            return self.queue.push(self.now, Delivery::Event { node, incarnation, event });
        }
        let load = matches!(order.order, engine::Order::Load { .. });
        let name = order.order.name().to_string();
        let full = engine.loaded.len() >= engine.slots && !engine.loaded.contains_key(&name);
        if load && (engine.faults.loads_fail || full) {
            return self.end_order_with(&order, Outcome::Failed);
        }
        let running = engine.runs.values().filter(|run| run.name == name).count() as u32;
        if load {
            engine.loaded.insert(name.clone(), 0);
        } else {
            engine.loaded.remove(&name);
        }
        let lost = engine.faults.order_replies_lost;
        self.record(Record::Ordered {
            upstream: order.engine,
            node: order.node,
            load,
            name,
            running,
        });
        let outcome = if lost { Outcome::Unknown } else { Outcome::Done };
        self.end_order_with(&order, outcome);
    }

    fn end_order_with(&mut self, order: &Order, outcome: Outcome) {
        let wait = match outcome {
            Outcome::Unknown => GIVE_UP,
            _ => self.delay(DELAY_US),
        };
        let (node, incarnation) = (order.node, order.incarnation);
        let event = Event::OrderEnded { ticket: order.ticket, upstream: order.upstream, outcome };
        self.queue.push(self.now + wait, Delivery::Event { node, incarnation, event });
    }

    pub(super) fn begin_run(
        &mut self,
        place: Place,
        version: u64,
        dispatch: &Dispatch,
        asked: usize,
    ) {
        let upstream = upstream_of(dispatch.address);
        let engine = &mut self.engines[upstream];
        if engine.faults.down {
            return self.take_run_answer(place, End::Failed(Failure::Unsent));
        }
        if engine.faults.draining {
            return self.take_run_answer(place, End::Failed(Failure::Declined));
        }
        let name = dispatch.name.as_deref().unwrap_or_default().to_owned();
        if engine.slots > 0 && !engine.loaded.contains_key(&name) {
            return self.take_run_answer(place, End::Failed(Failure::NotLoaded));
        }
        engine.next_run += 1;
        let run = engine.next_run;
        // Every other caller asks for a stream, and has the first part after half of the time.
        let streamed = (asked % 2 == 1).then_some(self.now + engine.run_time / 2);
        engine.runs.insert(run, Run { place, name: name.clone(), streamed });
        let end = self.now + engine.run_time;
        let node = place.node;
        self.record(Record::Began { asked, upstream, name, node, version });
        self.queue.push(end, Delivery::RunEnd { upstream, run });
    }

    pub(super) fn end_run(&mut self, upstream: usize, run: u64) {
        let Some(run) = self.engines[upstream].runs.remove(&run) else { return };
        if self.engines[upstream].faults.answers_lost {
            return self.lose_run(run);
        }
        self.take_run_answer(run.place, End::Whole(run.name));
    }

    /// Breaks off what an upstream answers.
    fn lose_run(&mut self, run: Run) {
        let end = match run.streamed {
            Some(first) if self.now >= first => End::BrokenOff,
            _ => End::Failed(Failure::Broken),
        };
        self.take_run_answer(run.place, end);
    }

    /// Ends the runs of a node whose connections have closed.
    pub(super) fn drop_runs_of(&mut self, node: usize) {
        for engine in &mut self.engines {
            engine.runs.retain(|_, run| run.place.node != node);
        }
    }
}
