//! Embeds two cores in one program, with a table in memory in the platform's place.
//!
//! Run it with `cargo run -p orioleroute --example embed`. It shows all that an embedder does: feed
//! each core the time and what happened, carry out the effects, and feed the outcomes back. A real
//! embedder carries messages over a network and asks a real table; the loop stays the same.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use orioleroute::Core;
use orioleroute::event::TICK;
use orioleroute::instance::Instance as Identity;
use orioleroute::key::Ticket;
use orioleroute::operator::{Answer, Command};
use orioleroute::prelude::*;
use orioleroute::table::{Expect, Operation, Outcome, Row};

const DOCUMENT: &str = r#"{
    "format": 1,
    "models": [{ "name": "notice-7b" }],
    "pools": [{ "name": "notices", "model": "notice-7b", "slots": 8, "fencing": "checked" }],
    "adapters": [{
        "name": "leap-second", "model": "notice-7b", "versions": ["v1"], "default": "v1"
    }]
}"#;

/// The platform's table, in memory.
#[derive(Default)]
struct Table {
    rows: BTreeMap<Arc<str>, Row>,
}

impl Table {
    fn carry_out(&mut self, operation: Operation) -> Outcome {
        match operation {
            Operation::Read(keys) => {
                Outcome::Rows(keys.iter().filter_map(|key| self.rows.get(key).cloned()).collect())
            }
            Operation::Write(writes) => {
                let is_unmet = |key: &Arc<str>, expect| match expect {
                    Expect::Absent => self.rows.contains_key(key),
                    Expect::Version(version) => {
                        self.rows.get(key).is_none_or(|row| row.version != version)
                    }
                };
                let unmet: Vec<usize> = (0..writes.len())
                    .filter(|index| is_unmet(&writes[*index].key, writes[*index].expect))
                    .collect();
                if !unmet.is_empty() {
                    return Outcome::Conflict(unmet);
                }
                for write in writes {
                    let Some(value) = write.value else { continue };
                    let row =
                        Row { key: write.key.clone(), version: write.expect.next_version(), value };
                    self.rows.insert(write.key, row);
                }
                Outcome::Written
            }
        }
    }
}

/// Two cores and what is under way to them.
struct Program {
    cores: Vec<Core>,
    table: Table,
    objects: BTreeMap<Arc<str>, Arc<str>>,
    events: VecDeque<(usize, Event)>,
    now: Instant,
}

impl Program {
    fn new() -> Self {
        let cores =
            ["a", "b"].iter().enumerate().map(|(number, name)| Core::new(identity(number, name)));
        Self {
            cores: cores.collect(),
            table: Table::default(),
            objects: BTreeMap::new(),
            events: VecDeque::new(),
            now: Instant::ZERO,
        }
    }

    /// Lets time pass, and handles all that comes of it.
    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK;
            for core in 0..self.cores.len() {
                self.events.push_back((core, Event::Tick));
            }
            while let Some((core, event)) = self.events.pop_front() {
                for effect in self.cores[core].handle(self.now, event) {
                    self.carry_out(core, effect);
                }
            }
        }
    }

    fn carry_out(&mut self, core: usize, effect: Effect) {
        match effect {
            Effect::Send { address, message, .. } => {
                let from = self.cores[core].membership().identity().name.clone();
                self.events.push_back((number_of(address), Event::Message { from, message }));
            }
            Effect::Table { ticket, operation } => {
                let outcome = self.table.carry_out(operation);
                self.events.push_back((core, Event::Table { ticket, outcome }));
            }
            Effect::Put { ticket, key, value } => {
                self.objects.insert(key, value);
                self.events.push_back((core, Event::Put { ticket, stored: true }));
            }
            Effect::Get { ticket, key } => {
                let value = self.objects.get(&key).cloned();
                self.events.push_back((core, Event::Got { ticket, value }));
            }
            Effect::Answer { answer: Answer::Accepted { version }, .. } => {
                println!("{:>8} us: version {version} is accepted", self.now.as_micros());
            }
            Effect::Answer { answer, .. } => println!("answer: {answer:?}"),
            Effect::Decide(decision) => println!("decision: {decision:?}"),
            // This program has neither engines nor callers.
            Effect::Order { .. } | Effect::Probe { .. } | Effect::Request { .. } => {}
        }
    }
}

fn identity(number: usize, name: &str) -> Identity {
    let address: SocketAddr = ([127, 0, 0, 1], FIRST_PORT + number as u16).into();
    Identity {
        name: name.into(),
        incarnation: 1,
        region: "zurich".into(),
        zone: "zurich-1".into(),
        caller_address: address,
        peer_address: address,
        operator_address: address,
    }
}

/// The port by which the first core is known; nothing listens there.
const FIRST_PORT: u16 = 4_000;

fn number_of(address: SocketAddr) -> usize {
    usize::from(address.port() - FIRST_PORT)
}

fn main() {
    let mut program = Program::new();
    program.run(Duration::from_secs(3));
    for core in &program.cores {
        let membership = core.membership();
        println!(
            "{} sees {} members and {} lease",
            membership.identity().name,
            membership.view().members.len(),
            if membership.holds_lease(program.now) { "holds a" } else { "has no" },
        );
    }
    let submit = Command::Submit { base: 0, document: DOCUMENT.into() };
    program.events.push_back((0, Event::Command { ticket: Ticket(1), command: submit }));
    program.run(Duration::from_secs(2));
    for core in &program.cores {
        let name = &core.membership().identity().name;
        println!("{name} acts by version {}", core.version());
    }
}
