//! A deterministic in-memory simulation of several instances and their environment.
//!
//! A [`World`] holds the cores of the instances, the platform's table and object store, the
//! upstreams and the callers, all on one simulated clock. It delivers what the cores send after
//! delays drawn from a seed, and can inject faults: crashes, pauses, partitions, lost replies, and
//! duplicated or reordered messages. It logs what happened as [`Record`]s, which [`check`] compares
//! with the invariants without looking at the state of the cores. It does not model the performance
//! of a network or cluster: only the order of events matters.

mod caller;
pub mod check;
mod engine;
mod faults;
mod network;
mod platform;
mod queue;
mod record;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use orioleroute::instance::{Instance as Identity, Listing, Phase};
use orioleroute::key;
use orioleroute::key::Ticket;
use orioleroute::operator::{Answer, Command};
use orioleroute::prelude::{Arc, Effect, Event, Instant};
use orioleroute::{Core, event::TICK};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

pub use caller::{CallerRequest, Outcome};
pub use engine::Engine;
pub use network::Network;
pub use platform::{Faults, Platform};
use queue::{Delivery, Queue};
pub use record::Record;

/// A simulated instance.
pub struct Node {
    /// Its identity, with a new incarnation for each start.
    pub identity: Identity,
    /// Its core, or `None` while its process is not running.
    pub core: Option<Core>,
    /// Whether its process is paused, as by SIGSTOP.
    pub paused: bool,
    /// Events that arrived while it was paused.
    backlog: Vec<Event>,
    /// How far its clock is ahead of the simulated clock.
    skew: Duration,
    /// When the newest list of upstreams reaches it.
    listing_due: Instant,
    /// The configuration version in the last [`Record::ConfigActivated`].
    recorded_version: u64,
    /// Counters of its traffic and work.
    pub counts: Counts,
}

impl Node {
    /// Returns how far its clock is ahead of the simulated clock.
    pub fn skew(&self) -> Duration {
        self.skew
    }
}

/// Counters of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages sent to peers.
    pub messages: u64,
    /// Encoded size of these messages, in bytes.
    pub bytes: u64,
    /// Rows requested from the table.
    pub rows_read: u64,
    /// Write operations sent to the table.
    pub writes: u64,
    /// Orders sent to engines.
    pub orders: u64,
    /// Reports requested from engines.
    pub probes: u64,
    /// Events handled by its core.
    pub events: u64,
    /// Real time that its core took to handle them.
    pub busy: Duration,
}

/// The simulated instances and their environment.
pub struct World {
    /// The current time on the simulated clock.
    pub now: Instant,
    /// The instances.
    pub nodes: Vec<Node>,
    /// The platform.
    pub platform: Platform,
    /// The upstreams.
    pub engines: Vec<Engine>,
    /// What happened, in order.
    pub records: Vec<(Instant, Record)>,
    /// Checks the invariants on each record as it is added.
    pub checker: check::Checker,
    /// How messages between nodes are duplicated and delayed.
    pub network: Network,
    /// Pairs `(from, to)` of nodes between which messages are lost.
    pub partitions: BTreeSet<(usize, usize)>,
    /// Nodes that cannot reach the platform.
    pub isolated_from_platform: BTreeSet<usize>,
    /// Percentage of queued events that a node gets a second time, up to a second later:
    /// replies, reports and messages, but not lists of upstreams.
    ///
    /// This repeats an event on arrival, and a repeated one may repeat again.
    /// [`Network::duplicate_percent`] sends a message between nodes twice. [`Self::heal`] does not
    /// reset this one.
    pub duplicate_percent: u64,
    /// Answers to operators, by ticket.
    pub answers: BTreeMap<u64, Answer>,
    caller_requests: Vec<CallerRequest>,
    /// Indices into `caller_requests` of the requests that each node handles.
    request_numbers: BTreeMap<(usize, key::Request), usize>,
    /// For each forwarded request, the node that forwarded it and the request's key there.
    parents: BTreeMap<(usize, key::Request), (usize, key::Request)>,
    /// The numbers of requests that already have a final answer, to record a second one.
    finished: BTreeMap<(usize, key::Request), usize>,
    /// The current attempt of each request.
    attempts: BTreeMap<(usize, key::Request), u64>,
    next_attempt: u64,
    /// The submission in the event that a core is handling.
    current_submission: Option<(Ticket, Arc<str>)>,
    queue: Queue,
    rng: StdRng,
    next_ticket: u64,
    next_incarnation: u64,
}

/// Range of the delay within a region, in microseconds.
const LOCAL_DELAY_US: (u64, u64) = (100, 2_000);

/// Range of the delay between regions, in microseconds.
const REMOTE_DELAY_US: (u64, u64) = (10_000, 40_000);

/// Range of the delay before a duplicate arrives, in microseconds.
const DUPLICATE_DELAY_US: (u64, u64) = (100, 1_000_000);

/// Upper bound of the lag of the list of upstreams, in milliseconds.
const LIST_LAG_MS: u64 = 1_500;

/// Port of the first node; the port of an address identifies its node.
const FIRST_PORT: u16 = 10_000;

impl World {
    /// Returns a world without nodes or upstreams.
    pub fn new(seed: u64) -> Self {
        Self {
            now: Instant::from_millis(1),
            nodes: Vec::new(),
            platform: Platform::default(),
            engines: Vec::new(),
            records: Vec::new(),
            checker: check::Checker::default(),
            network: Network::default(),
            partitions: BTreeSet::new(),
            isolated_from_platform: BTreeSet::new(),
            duplicate_percent: 0,
            answers: BTreeMap::new(),
            caller_requests: Vec::new(),
            request_numbers: BTreeMap::new(),
            parents: BTreeMap::new(),
            finished: BTreeMap::new(),
            attempts: BTreeMap::new(),
            next_attempt: 0,
            current_submission: None,
            queue: Queue::default(),
            rng: StdRng::seed_from_u64(seed),
            next_ticket: 0,
            next_incarnation: 0,
        }
    }

    /// Adds a node in a region, starts it and returns its number.
    pub fn add_node(&mut self, region: &str) -> usize {
        let number = self.nodes.len();
        let address: SocketAddr = ([127, 0, 0, 1], FIRST_PORT + number as u16).into();
        let identity = Identity {
            name: format!("node-{number}").into(),
            incarnation: 0,
            region: region.into(),
            zone: format!("{region}-1").into(),
            caller_address: address,
            peer_address: address,
            operator_address: address,
        };
        self.nodes.push(Node {
            identity,
            core: None,
            paused: false,
            backlog: Vec::new(),
            skew: Duration::from_micros(self.rng.random_range(0..1_000_000)),
            listing_due: Instant::ZERO,
            recorded_version: 0,
            counts: Counts::default(),
        });
        self.start(number);
        number
    }

    /// Starts a node's process without any state of a previous one.
    pub fn start(&mut self, number: usize) {
        self.next_incarnation += 1;
        let node = &mut self.nodes[number];
        node.identity.incarnation = self.next_incarnation;
        node.core = Some(Core::new(node.identity.clone()));
        node.paused = false;
        node.backlog.clear();
        node.recorded_version = 0;
        let incarnation = self.next_incarnation;
        let first = self.now + Duration::from_micros(self.rng.random_range(0..50_000));
        self.queue.push(first, Delivery::Tick { node: number, incarnation });
        self.send_listing(number);
    }

    /// Kills a node's process, which closes its connections and loses its state.
    pub fn kill(&mut self, number: usize) {
        self.end_process(number, false);
    }

    fn end_process(&mut self, number: usize, graceful: bool) {
        if self.nodes[number].core.take().is_none() {
            return;
        }
        self.record(Record::Exited { node: number, graceful });
        self.nodes[number].paused = false;
        self.drop_runs_of(number);
        self.disconnect_callers_of(number);
    }

    /// Requests a graceful shutdown of a node; its process exits once it is complete.
    pub fn stop(&mut self, number: usize) {
        self.handle_event(number, Event::Shutdown);
    }

    /// Pauses a node's process.
    pub fn pause(&mut self, number: usize) {
        if self.nodes[number].core.is_some() && !self.nodes[number].paused {
            self.nodes[number].paused = true;
            self.record(Record::Paused(number));
        }
    }

    /// Resumes a paused process.
    ///
    /// With a probability of one half, it handles a tick before the events that arrived meanwhile.
    pub fn resume(&mut self, number: usize) {
        if !self.nodes[number].paused {
            return;
        }
        self.nodes[number].paused = false;
        self.record(Record::Resumed(number));
        if self.random_below(2) == 0 {
            self.handle_event(number, Event::Tick);
        }
        for event in std::mem::take(&mut self.nodes[number].backlog) {
            self.handle_event(number, event);
        }
    }

    /// Drops all messages between two nodes, in both directions.
    pub fn partition(&mut self, one: usize, other: usize) {
        self.partitions.insert((one, other));
        self.partitions.insert((other, one));
    }

    /// Ends all faults of the network and of the platform, except for [`Self::duplicate_percent`].
    pub fn heal(&mut self) {
        self.partitions.clear();
        self.isolated_from_platform.clear();
        self.network = Network::default();
        self.platform.faults = Faults::default();
    }

    /// Adds an engine or service, publishes the list of upstreams, and returns its number.
    pub fn add_engine(&mut self, engine: Engine) -> usize {
        self.engines.push(engine);
        self.publish();
        self.engines.len() - 1
    }

    /// Publishes the current list of upstreams, which reaches each node after a random lag.
    pub fn publish(&mut self) {
        for node in 0..self.nodes.len() {
            self.send_listing(node);
        }
    }

    fn send_listing(&mut self, node: usize) {
        let list: Vec<Listing> = self.engines.iter().map(|engine| engine.listing.clone()).collect();
        let lag = Duration::from_millis(self.rng.random_range(0..LIST_LAG_MS));
        // Nodes poll the list, so an older one never arrives after a newer one.
        let at = self.nodes[node].listing_due.max(self.now + lag);
        self.nodes[node].listing_due = at;
        let incarnation = self.nodes[node].identity.incarnation;
        let event = Event::UpstreamsListed(list);
        self.queue.push(at, Delivery::Event { node, incarnation, event });
    }

    /// Starts to drain an upstream, which nodes learn from the list.
    pub fn drain_upstream(&mut self, upstream: usize) {
        self.engines[upstream].listing.phase = Phase::Leaving;
        self.record(Record::DrainStarted(upstream));
        self.publish();
    }

    /// Sends a node an operator's command and returns the ticket of the answer.
    pub fn command(&mut self, node: usize, command: Command) -> u64 {
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        self.handle_event(node, Event::Command { ticket, command });
        self.next_ticket
    }

    /// Advances the simulated clock by `span`, delivering everything that is due.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some((at, delivery)) = self.queue.pop_until(end) {
            self.now = at;
            self.deliver(delivery);
        }
        self.now = end;
    }

    /// Advances the simulated clock until `done` holds, and returns whether it did within `limit`.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + limit;
        while !done(self) {
            let Some((at, delivery)) = self.queue.pop_until(end) else {
                self.now = end;
                return done(self);
            };
            self.now = at;
            self.deliver(delivery);
        }
        true
    }

    /// Returns a random number below `bound`.
    pub fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.random_range(0..bound)
    }

    /// Passes an event to a node's core and applies the effects.
    ///
    /// A node that is not running drops it. A paused one drops ticks and handles other events when it
    /// resumes.
    pub fn handle_event(&mut self, number: usize, event: Event) {
        let node = &mut self.nodes[number];
        if node.paused {
            if !matches!(event, Event::Tick) {
                node.backlog.push(event);
            }
            return;
        }
        let Some(core) = &mut node.core else { return };
        let command = match &event {
            Event::Command { ticket, command: Command::Submit { document, .. } } => {
                Some((*ticket, document.clone()))
            }
            _ => None,
        };
        let started = std::time::Instant::now();
        let effects = core.handle(self.now + node.skew, event);
        node.counts.busy += started.elapsed();
        node.counts.events += 1;
        let version = core.version();
        let done = core.is_done();
        if version != node.recorded_version {
            node.recorded_version = version;
            let incarnation = node.identity.incarnation;
            self.record(Record::ConfigActivated { node: number, incarnation, version });
        }
        self.current_submission = command;
        for effect in effects {
            self.apply_effect(number, effect);
        }
        self.current_submission = None;
        if done {
            self.end_process(number, true);
        }
    }

    fn record(&mut self, record: Record) {
        self.checker.handle(self.now, &record);
        self.records.push((self.now, record));
    }

    fn apply_effect(&mut self, number: usize, effect: Effect) {
        let incarnation = self.nodes[number].identity.incarnation;
        match effect {
            Effect::Send { address, message, .. } => self.send(number, address, message),
            Effect::Table { ticket, operation } => self.submit_operation(number, ticket, operation),
            Effect::WriteObject { ticket, key, value } => {
                if let Some((Ticket(ticket), document)) = self.current_submission.clone() {
                    let object = key.to_string();
                    self.record(Record::Submitted { ticket, object, document });
                }
                self.put_object(number, ticket, &key, &value);
            }
            Effect::ReadObject { ticket, key } => self.get_object(number, ticket, &key),
            Effect::Order { ticket, upstream, address, order, fencing } => {
                self.nodes[number].counts.orders += 1;
                let at = self.now + self.delay(LOCAL_DELAY_US);
                let engine = upstream_of(address);
                let order = engine::Order {
                    node: number,
                    incarnation,
                    ticket,
                    upstream,
                    engine,
                    order,
                    fencing,
                    engine_incarnation: 0,
                };
                self.queue.push(at, Delivery::Order(order));
            }
            Effect::Probe { upstream, address } => self.probe(number, upstream, address),
            Effect::Request { request, step } => self.apply_step(number, request, step),
            Effect::Answer { ticket, answer } => {
                self.record(Record::OperatorAnswered { ticket: ticket.0, answer: answer.clone() });
                self.answers.insert(ticket.0, answer);
            }
            Effect::LogDecision(_) => {}
        }
    }

    fn delay(&mut self, (shortest, longest): (u64, u64)) -> Duration {
        Duration::from_micros(self.rng.random_range(shortest..longest))
    }

    fn is_alive(&self, node: usize, incarnation: u64) -> bool {
        let node = &self.nodes[node];
        node.identity.incarnation == incarnation && node.core.is_some()
    }

    /// Schedules a second delivery of an event, which may arrive after events that were sent later.
    fn maybe_duplicate(&mut self, node: usize, incarnation: u64, event: &Event) {
        // Nodes poll the list, so an older one never arrives after a newer one.
        let is_reply = !matches!(event, Event::UpstreamsListed(_));
        if self.duplicate_percent > 0 && is_reply && self.random_below(100) < self.duplicate_percent
        {
            let at = self.now + self.delay(DUPLICATE_DELAY_US);
            let event = event.clone();
            self.queue.push(at, Delivery::Event { node, incarnation, event });
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Tick { node, incarnation } => {
                if !self.is_alive(node, incarnation) {
                    return;
                }
                self.handle_event(node, Event::Tick);
                self.queue.push(self.now + TICK, Delivery::Tick { node, incarnation });
            }
            Delivery::Event { node, incarnation, event } => {
                if self.nodes[node].identity.incarnation == incarnation {
                    self.maybe_duplicate(node, incarnation, &event);
                    self.handle_event(node, event);
                }
            }
            Delivery::Operation { node, incarnation, ticket, operation, issued_at } => {
                self.apply_operation(node, incarnation, ticket, &operation, issued_at);
            }
            Delivery::Order(order) => self.handle_order(order),
            Delivery::OrderFinished(order) => self.finish_order(order),
            Delivery::Dispatch { attempt, version, dispatch, caller_request } => {
                if self.is_alive(attempt.node, attempt.incarnation) {
                    self.start_run(attempt, version, &dispatch, caller_request);
                }
            }
            Delivery::RunFinished { upstream, run } => self.finish_run(upstream, run),
            Delivery::AttemptEnded { attempt, end } => self.end_attempt(attempt, end),
            Delivery::Timeout(attempt) => self.time_out(attempt),
            Delivery::Forward { node, from, spec } => self.deliver_forwarded(node, from, spec),
        }
    }
}

/// Returns the number of the node at an address.
fn node_of(address: SocketAddr) -> usize {
    usize::from(address.port().saturating_sub(FIRST_PORT))
}

/// Returns the number of the upstream at an address.
fn upstream_of(address: SocketAddr) -> usize {
    usize::from(address.port().saturating_sub(engine::FIRST_PORT))
}
