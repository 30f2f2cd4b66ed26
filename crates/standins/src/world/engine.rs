//! Upstreams: engines and plain services.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use orioleroute::engine::{self, Loaded, Outcome, Report};
use orioleroute::instance::Listing;
use orioleroute::key;
use orioleroute::key::Ticket;
use orioleroute::prelude::{Event, Instant};
use orioleroute::request::{Dispatch, Failure};

use super::queue::{Attempt, AttemptEnd, Delivery};
use super::{Record, World, upstream_of};

/// Port of the first upstream; the port of an address identifies its upstream.
pub(super) const FIRST_PORT: u16 = 30_000;

/// Range of the delay of a reply from an upstream, in microseconds.
const DELAY_US: (u64, u64) = (100, 2_000);

/// Time after which a node stops waiting for the reply to an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(10);

/// The faults of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Connections to it fail.
    pub down: bool,
    /// Loads fail.
    pub loads_fail: bool,
    /// Orders take effect, but their replies are lost.
    pub order_replies_lost: bool,
    /// Requests run, but their answers are lost.
    pub answers_lost: bool,
    /// It is draining: its reports show it, and it declines new requests.
    pub draining: bool,
}

/// An engine or plain service.
pub struct Engine {
    /// Its entry in the platform's list of upstreams.
    pub listing: Listing,
    /// Number of adapter slots; zero for a plain service.
    pub slots: usize,
    /// Whether it refuses orders with an outdated fencing token.
    pub checks_fencing: bool,
    /// Duration of a load.
    pub load_time: Duration,
    /// Duration of a request.
    pub run_time: Duration,
    /// Age of its reports when they arrive.
    pub report_lag: Duration,
    /// Its faults.
    pub faults: Faults,
    incarnation: u64,
    max_fencing: u64,
    /// The loaded adapters by served name; the values are unused.
    loaded: BTreeMap<String, u32>,
    runs: BTreeMap<u64, Run>,
    next_run: u64,
}

struct Run {
    attempt: Attempt,
    name: String,
    /// When the caller gets the first part of a streamed answer; `None` if it is not streamed.
    streams_from: Option<Instant>,
}

/// An order in transit or in progress.
#[derive(Clone)]
pub struct Order {
    pub(super) node: usize,
    pub(super) incarnation: u64,
    pub(super) ticket: Ticket,
    pub(super) upstream: key::Upstream,
    pub(super) engine: usize,
    pub(super) order: engine::Order,
    pub(super) fencing: u64,
    /// The incarnation of the engine that accepted it; zero before that.
    pub(super) engine_incarnation: u64,
}

impl Engine {
    /// Returns an upstream; `number` has to be its index in [`World::engines`].
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
            max_fencing: 0,
            loaded: BTreeMap::new(),
            runs: BTreeMap::new(),
            next_run: 0,
        }
    }

    /// Returns the served names of the loaded adapters.
    pub fn loaded(&self) -> impl Iterator<Item = &str> {
        self.loaded.keys().map(String::as_str)
    }

    /// Loads an adapter without an order.
    pub fn force_load(&mut self, name: &str) {
        self.loaded.insert(name.into(), 0);
    }

    /// Unloads an adapter without an order.
    pub fn force_unload(&mut self, name: &str) {
        self.loaded.remove(name);
    }

    /// Returns the number of requests that run on it.
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
            fencing: if self.checks_fencing { self.max_fencing } else { 0 },
            draining: self.faults.draining,
        }
    }
}

impl World {
    /// Restarts an engine, which unloads its adapters and breaks the requests that run on it.
    pub fn restart_engine(&mut self, number: usize) {
        let engine = &mut self.engines[number];
        engine.incarnation += 1;
        engine.loaded.clear();
        let runs = std::mem::take(&mut engine.runs);
        for run in runs.into_values() {
            self.abort_run(run);
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

    pub(super) fn handle_order(&mut self, mut order: Order) {
        let engine = &mut self.engines[order.engine];
        if engine.faults.down {
            return self.reply_to_order(&order, Outcome::Failed);
        }
        if engine.checks_fencing && order.fencing < engine.max_fencing {
            return self.reply_to_order(&order, Outcome::Fenced);
        }
        engine.max_fencing = engine.max_fencing.max(order.fencing);
        order.engine_incarnation = engine.incarnation;
        let load = matches!(order.order, engine::Order::Load { .. });
        let time = if load { engine.load_time } else { Duration::ZERO };
        let (upstream, fencing) = (order.engine, order.fencing);
        self.record(Record::OrderAccepted { upstream, fencing });
        self.queue.push(self.now + time, Delivery::OrderFinished(order));
    }

    pub(super) fn finish_order(&mut self, order: Order) {
        let engine = &mut self.engines[order.engine];
        if order.engine_incarnation != engine.incarnation {
            // The engine restarted since it accepted the order, which broke the connection.
            let (node, incarnation) = (order.node, order.incarnation);
            let Order { ticket, upstream, .. } = order;
            let event = Event::OrderEnded { ticket, upstream, outcome: Outcome::Unknown };
            return self.queue.push(self.now, Delivery::Event { node, incarnation, event });
        }
        let load = matches!(order.order, engine::Order::Load { .. });
        let name = order.order.name().to_string();
        let full = engine.loaded.len() >= engine.slots && !engine.loaded.contains_key(&name);
        if load && (engine.faults.loads_fail || full) {
            return self.reply_to_order(&order, Outcome::Failed);
        }
        let running = engine.runs.values().filter(|run| run.name == name).count() as u32;
        if load {
            engine.loaded.insert(name.clone(), 0);
        } else {
            engine.loaded.remove(&name);
        }
        let lost = engine.faults.order_replies_lost;
        self.record(Record::OrderCompleted {
            upstream: order.engine,
            node: order.node,
            load,
            name,
            running,
        });
        let outcome = if lost { Outcome::Unknown } else { Outcome::Done };
        self.reply_to_order(&order, outcome);
    }

    fn reply_to_order(&mut self, order: &Order, outcome: Outcome) {
        let wait = match outcome {
            Outcome::Unknown => ORDER_TIMEOUT,
            _ => self.delay(DELAY_US),
        };
        let (node, incarnation) = (order.node, order.incarnation);
        let event = Event::OrderEnded { ticket: order.ticket, upstream: order.upstream, outcome };
        self.queue.push(self.now + wait, Delivery::Event { node, incarnation, event });
    }

    pub(super) fn start_run(
        &mut self,
        attempt: Attempt,
        version: u64,
        dispatch: &Dispatch,
        caller_request: usize,
    ) {
        let upstream = upstream_of(dispatch.address);
        let engine = &mut self.engines[upstream];
        if engine.faults.down {
            return self.end_attempt(attempt, AttemptEnd::Failed(Failure::Unsent));
        }
        if engine.faults.draining {
            return self.end_attempt(attempt, AttemptEnd::Failed(Failure::Declined));
        }
        let name = dispatch.name.as_deref().unwrap_or_default().to_owned();
        if engine.slots > 0 && !engine.loaded.contains_key(&name) {
            return self.end_attempt(attempt, AttemptEnd::Failed(Failure::NotLoaded));
        }
        engine.next_run += 1;
        let run = engine.next_run;
        // Every other request is streamed, with the first part after half of the run time.
        let streams_from = (caller_request % 2 == 1).then_some(self.now + engine.run_time / 2);
        engine.runs.insert(run, Run { attempt, name: name.clone(), streams_from });
        let end = self.now + engine.run_time;
        let node = attempt.node;
        self.record(Record::RunStarted { caller_request, upstream, name, node, version });
        self.queue.push(end, Delivery::RunFinished { upstream, run });
    }

    pub(super) fn finish_run(&mut self, upstream: usize, run: u64) {
        let Some(run) = self.engines[upstream].runs.remove(&run) else { return };
        if self.engines[upstream].faults.answers_lost {
            return self.abort_run(run);
        }
        self.end_attempt(run.attempt, AttemptEnd::Complete(run.name));
    }

    /// Breaks the connection over which an upstream answers a run.
    fn abort_run(&mut self, run: Run) {
        let end = match run.streams_from {
            Some(first) if self.now >= first => AttemptEnd::Interrupted,
            _ => AttemptEnd::Failed(Failure::Broken),
        };
        self.end_attempt(run.attempt, end);
    }

    /// Removes the runs of a node that exited, since its connections are closed.
    pub(super) fn drop_runs_of(&mut self, node: usize) {
        for engine in &mut self.engines {
            engine.runs.retain(|_, run| run.attempt.node != node);
        }
    }
}
