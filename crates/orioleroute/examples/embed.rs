//! Embeds two cores in one program, with an in-memory table instead of the platform's table.
//!
//! Run it with `cargo run -p orioleroute --example embed`. It shows everything that an embedding
//! program must do: pass each core the time and the events, apply the effects, and pass the outcomes
//! back as events. A real program sends messages over a network and calls a real table, but its loop
//! is the same.

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
    fn execute(&mut self, operation: Operation) -> Outcome {
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

/// Two cores, the storage they share and the events to be handled.
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
            ["a", "b"].iter().enumerate().map(|(index, name)| Core::new(identity(index, name)));
        Self {
            cores: cores.collect(),
            table: Table::default(),
            objects: BTreeMap::new(),
            events: VecDeque::new(),
            now: Instant::ZERO,
        }
    }

    /// Advances the time by `span`, and handles all events until then.
    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK;
            for core in 0..self.cores.len() {
                self.events.push_back((core, Event::Tick));
            }
            while let Some((core, event)) = self.events.pop_front() {
                for effect in self.cores[core].handle(self.now, event) {
                    self.apply(core, effect);
                }
            }
        }
    }

    fn apply(&mut self, core: usize, effect: Effect) {
        match effect {
            Effect::Send { address, message, .. } => {
                let from = self.cores[core].membership().identity().name.clone();
                self.events.push_back((index_of(address), Event::Message { from, message }));
            }
            Effect::Table { ticket, operation } => {
                let outcome = self.table.execute(operation);
                self.events.push_back((core, Event::Table { ticket, outcome }));
            }
            Effect::WriteObject { ticket, key, value } => {
                self.objects.insert(key, value);
                self.events.push_back((core, Event::ObjectWritten { ticket, stored: true }));
            }
            Effect::ReadObject { ticket, key } => {
                let value = self.objects.get(&key).cloned();
                self.events.push_back((core, Event::ObjectRead { ticket, value }));
            }
            Effect::Answer { answer: Answer::Accepted { version }, .. } => {
                println!("{:>8} us: version {version} is accepted", self.now.as_micros());
            }
            Effect::Answer { answer, .. } => println!("answer: {answer:?}"),
            Effect::LogDecision(decision) => println!("decision: {decision:?}"),
            // This program has neither engines nor callers.
            Effect::Order { .. } | Effect::Probe { .. } | Effect::Request { .. } => {}
        }
    }
}

fn identity(index: usize, name: &str) -> Identity {
    let address: SocketAddr = ([127, 0, 0, 1], FIRST_PORT + index as u16).into();
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

/// The port in the address of the first core; the program doesn't listen on it.
const FIRST_PORT: u16 = 4_000;

fn index_of(address: SocketAddr) -> usize {
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
        println!("{name}: active version {}", core.version());
    }
}
