//! Fakes at the interfaces of several cores, in memory and on one seeded clock.
//!
//! A [`World`] holds cores, the platform's table and objects, engines and services, and callers. It
//! delivers what the cores send with delays drawn from a seed, and can kill, freeze, cut off and
//! confuse each part. What really happened is kept as [`Record`]s, which [`check`] compares with
//! the promises without knowing anything of the cores' insides. It is no model of a network or a
//! cluster: only the order of events matters.

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

pub use caller::{Asked, Outcome};
pub use engine::Engine;
pub use network::Network;
pub use platform::{Faults, Platform};
use queue::{Delivery, Queue};
pub use record::Record;

/// An instance of the system.
pub struct Node {
    /// Who it is; each start has a new incarnation.
    pub identity: Identity,
    /// The core, unless the process is dead.
    pub core: Option<Core>,
    /// Whether the process is stopped but not dead.
    pub frozen: bool,
    /// What arrived while it was frozen.
    backlog: Vec<Event>,
    /// How far its clock is ahead of the world's.
    skew: Duration,
    /// When the newest list reaches it.
    listed_at: Instant,
    /// The configuration version last recorded.
    version: u64,
    /// Messages and bytes that it sent, table operations that it asked for.
    pub counts: Counts,
}

impl Node {
    /// Returns how far its clock is ahead of the world's.
    pub fn skew(&self) -> Duration {
        self.skew
    }
}

/// What a node sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages to peers.
    pub messages: u64,
    /// Their encoded size, in bytes.
    pub bytes: u64,
    /// Rows read from the table.
    pub rows_read: u64,
    /// Writes to the table.
    pub writes: u64,
    /// Orders to engines.
    pub orders: u64,
    /// Reports asked of engines.
    pub probes: u64,
    /// Events that its core handled.
    pub events: u64,
    /// Time that its core spent on them.
    pub busy: Duration,
}

/// Several cores and everything around them.
pub struct World {
    /// The time on the world's clock.
    pub now: Instant,
    /// The instances.
    pub nodes: Vec<Node>,
    /// The platform.
    pub platform: Platform,
    /// The upstreams.
    pub engines: Vec<Engine>,
    /// What really happened, in order.
    pub records: Vec<(Instant, Record)>,
    /// The promises, checked as each record is made.
    pub checker: check::Checker,
    /// How messages between nodes are doubled and delayed.
    pub network: Network,
    /// Directed pairs of nodes between which messages are lost.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Nodes that cannot reach the platform.
    pub severed: BTreeSet<usize>,
    /// How many of a hundred replies and messages arrive a second time, later.
    pub duplicates: u64,
    /// The answers that operators had, by ticket.
    pub answers: BTreeMap<u64, Answer>,
    asked: Vec<Asked>,
    places: BTreeMap<(usize, key::Request), usize>,
    parents: BTreeMap<(usize, key::Request), (usize, key::Request)>,
    finished: BTreeMap<(usize, key::Request), usize>,
    attempts: BTreeMap<(usize, key::Request), u64>,
    next_attempt: u64,
    commanding: Option<(Ticket, Arc<str>)>,
    queue: Queue,
    rng: StdRng,
    next_ticket: u64,
    next_incarnation: u64,
}

/// The shortest and longest delay within a region, in microseconds.
const LOCAL_DELAY_US: (u64, u64) = (100, 2_000);

/// The shortest and longest delay between regions, in microseconds.
const REMOTE_DELAY_US: (u64, u64) = (10_000, 40_000);

/// The shortest and longest delay after which something arrives a second time, in microseconds.
const DUPLICATE_DELAY_US: (u64, u64) = (100, 1_000_000);

/// The longest lag of the instance list, in milliseconds.
const LIST_LAG_MS: u64 = 1_500;

/// Ports of fake addresses start here; an instance is known by its port.
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
            cuts: BTreeSet::new(),
            severed: BTreeSet::new(),
            duplicates: 0,
            answers: BTreeMap::new(),
            asked: Vec::new(),
            places: BTreeMap::new(),
            parents: BTreeMap::new(),
            finished: BTreeMap::new(),
            attempts: BTreeMap::new(),
            next_attempt: 0,
            commanding: None,
            queue: Queue::default(),
            rng: StdRng::seed_from_u64(seed),
            next_ticket: 0,
            next_incarnation: 0,
        }
    }

    /// Starts a new node in a region and returns its number.
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
            frozen: false,
            backlog: Vec::new(),
            skew: Duration::from_micros(self.rng.random_range(0..1_000_000)),
            listed_at: Instant::ZERO,
            version: 0,
            counts: Counts::default(),
        });
        self.start(number);
        number
    }

    /// Starts a node's process, with nothing kept from an earlier one.
    pub fn start(&mut self, number: usize) {
        self.next_incarnation += 1;
        let node = &mut self.nodes[number];
        node.identity.incarnation = self.next_incarnation;
        node.core = Some(Core::new(node.identity.clone()));
        node.frozen = false;
        node.backlog.clear();
        node.version = 0;
        let incarnation = self.next_incarnation;
        let first = self.now + Duration::from_micros(self.rng.random_range(0..50_000));
        self.queue.push(first, Delivery::Tick { node: number, incarnation });
        self.list_to(number);
    }

    /// Kills a node's process: its connections close, and what it had in memory is lost.
    pub fn kill(&mut self, number: usize) {
        self.end(number, false);
    }

    fn end(&mut self, number: usize, graceful: bool) {
        if self.nodes[number].core.take().is_none() {
            return;
        }
        self.record(Record::Ended { node: number, graceful });
        self.nodes[number].frozen = false;
        self.drop_runs_of(number);
        self.lose_callers_of(number);
    }

    /// Asks a node to leave gracefully; its process ends once it has.
    pub fn stop(&mut self, number: usize) {
        self.feed(number, Event::Shutdown);
    }

    /// Stops a node's process without ending it.
    pub fn freeze(&mut self, number: usize) {
        if self.nodes[number].core.is_some() && !self.nodes[number].frozen {
            self.nodes[number].frozen = true;
            self.record(Record::Frozen(number));
        }
    }

    /// Lets a stopped process go on; its timer or what arrived meanwhile is handled first.
    pub fn wake(&mut self, number: usize) {
        if !self.nodes[number].frozen {
            return;
        }
        self.nodes[number].frozen = false;
        self.record(Record::Woken(number));
        if self.draw(2) == 0 {
            self.feed(number, Event::Tick);
        }
        for event in std::mem::take(&mut self.nodes[number].backlog) {
            self.feed(number, event);
        }
    }

    /// Loses all messages between two nodes, in both directions.
    pub fn cut(&mut self, one: usize, other: usize) {
        self.cuts.insert((one, other));
        self.cuts.insert((other, one));
    }

    /// Lets all messages through again.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.severed.clear();
        self.network = Network::default();
        self.platform.faults = Faults::default();
    }

    /// Adds an engine or service, and publishes the list.
    pub fn add_engine(&mut self, engine: Engine) -> usize {
        self.engines.push(engine);
        self.publish();
        self.engines.len() - 1
    }

    /// Publishes the list of upstreams as they are, which the nodes learn after a lag.
    pub fn publish(&mut self) {
        for node in 0..self.nodes.len() {
            self.list_to(node);
        }
    }

    fn list_to(&mut self, node: usize) {
        let list: Vec<Listing> = self.engines.iter().map(|engine| engine.listing.clone()).collect();
        let lag = Duration::from_millis(self.rng.random_range(0..LIST_LAG_MS));
        // A node polls the list, so it never sees an older one after a newer one.
        let at = self.nodes[node].listed_at.max(self.now + lag);
        self.nodes[node].listed_at = at;
        let incarnation = self.nodes[node].identity.incarnation;
        let event = Event::UpstreamsListed(list);
        self.queue.push(at, Delivery::Event { node, incarnation, event });
    }

    /// Lets an upstream begin to leave, which the list shows after its lag.
    pub fn let_leave(&mut self, upstream: usize) {
        self.engines[upstream].listing.phase = Phase::Leaving;
        self.record(Record::Leaving(upstream));
        self.publish();
    }

    /// Gives a node an operator's command and returns the ticket of the answer.
    pub fn command(&mut self, node: usize, command: Command) -> u64 {
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        self.feed(node, Event::Command { ticket, command });
        self.next_ticket
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some((at, delivery)) = self.queue.pop_until(end) {
            self.now = at;
            self.deliver(delivery);
        }
        self.now = end;
    }

    /// Lets time pass until `done`, and returns whether that came about within `limit`.
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

    /// Draws a number below `bound` from the seed.
    pub fn draw(&mut self, bound: u64) -> u64 {
        self.rng.random_range(0..bound)
    }

    /// Gives a node an event, unless it is dead; a frozen one gets it when it wakes.
    pub fn feed(&mut self, number: usize, event: Event) {
        let node = &mut self.nodes[number];
        if node.frozen {
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
        let began = std::time::Instant::now();
        let effects = core.handle(self.now + node.skew, event);
        node.counts.busy += began.elapsed();
        node.counts.events += 1;
        let version = core.version();
        let done = core.is_done();
        if version != node.version {
            node.version = version;
            let incarnation = node.identity.incarnation;
            self.record(Record::InForce { node: number, incarnation, version });
        }
        self.commanding = command;
        for effect in effects {
            self.carry_out(number, effect);
        }
        self.commanding = None;
        if done {
            self.end(number, true);
        }
    }

    fn record(&mut self, record: Record) {
        self.checker.take(self.now, &record);
        self.records.push((self.now, record));
    }

    fn carry_out(&mut self, number: usize, effect: Effect) {
        let incarnation = self.nodes[number].identity.incarnation;
        match effect {
            Effect::Send { address, message, .. } => self.send(number, address, message),
            Effect::Table { ticket, operation } => self.ask_table(number, ticket, operation),
            Effect::WriteObject { ticket, key, value } => {
                if let Some((Ticket(ticket), document)) = self.commanding.clone() {
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
                    taken_by: 0,
                };
                self.queue.push(at, Delivery::Order(order));
            }
            Effect::Probe { upstream, address } => self.probe(number, upstream, address),
            Effect::Request { request, step } => self.take_step(number, request, step),
            Effect::Answer { ticket, answer } => {
                self.record(Record::Told { ticket: ticket.0, answer: answer.clone() });
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

    /// Lets an event arrive again, after others that were sent later.
    fn duplicate(&mut self, node: usize, incarnation: u64, event: &Event) {
        // A node polls the list and has no old one after a new one.
        let is_reply = !matches!(event, Event::UpstreamsListed(_));
        if self.duplicates > 0 && is_reply && self.draw(100) < self.duplicates {
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
                self.feed(node, Event::Tick);
                self.queue.push(self.now + TICK, Delivery::Tick { node, incarnation });
            }
            Delivery::Event { node, incarnation, event } => {
                if self.nodes[node].identity.incarnation == incarnation {
                    self.duplicate(node, incarnation, &event);
                    self.feed(node, event);
                }
            }
            Delivery::Operation { node, incarnation, ticket, operation, since } => {
                self.do_operation(node, incarnation, ticket, &operation, since);
            }
            Delivery::Order(order) => self.do_order(order),
            Delivery::OrderEnd(order) => self.end_order(order),
            Delivery::Dispatch { place, version, dispatch, asked } => {
                if self.is_alive(place.node, place.incarnation) {
                    self.begin_run(place, version, &dispatch, asked);
                }
            }
            Delivery::RunEnd { upstream, run } => self.end_run(upstream, run),
            Delivery::RunAnswer { place, end } => self.take_run_answer(place, end),
            Delivery::Timeout(place) => self.time_out(place),
            Delivery::Arrive { node, from, spec } => self.arrive_forwarded(node, from, spec),
        }
    }
}

/// Returns the number of the node with a fake address.
fn node_of(address: SocketAddr) -> usize {
    usize::from(address.port().saturating_sub(FIRST_PORT))
}

/// Returns the number of the upstream with a fake address.
fn upstream_of(address: SocketAddr) -> usize {
    usize::from(address.port().saturating_sub(engine::FIRST_PORT))
}
