//! The platform's table and objects.

use std::collections::BTreeMap;
use std::time::Duration;

use orioleroute::key::Ticket;
use orioleroute::prelude::{Arc, Event};
use orioleroute::table::{Expect, Operation, Outcome, Row};

use super::World;
use super::queue::Delivery;

/// The shortest and longest delay of an operation, in microseconds.
const DELAY_US: (u64, u64) = (1_000, 10_000);

/// When a node gives up on an operation without a reply.
const GIVE_UP: Duration = Duration::from_millis(1_500);

/// How the platform misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// The table does nothing and answers nothing.
    pub table_down: bool,
    /// The table does what it is asked, and its replies are lost.
    pub replies_lost: bool,
    /// Writes take effect this much later, after whoever asked has given up.
    pub writes_late: Option<Duration>,
    /// The object store does nothing.
    pub objects_down: bool,
}

/// The platform.
#[derive(Default)]
pub struct Platform {
    /// How it misbehaves.
    pub faults: Faults,
    /// The rows of the table.
    pub rows: BTreeMap<Arc<str>, Row>,
    /// The objects.
    pub objects: BTreeMap<Arc<str>, Arc<str>>,
}

impl Platform {
    fn carry_out(&mut self, operation: &Operation) -> Outcome {
        match operation {
            Operation::Read(keys) => {
                Outcome::Rows(keys.iter().filter_map(|key| self.rows.get(key).cloned()).collect())
            }
            Operation::Write(writes) => {
                let unmet: Vec<usize> = (0..writes.len())
                    .filter(|index| !self.is_met(&writes[*index].key, writes[*index].expect))
                    .collect();
                if !unmet.is_empty() {
                    return Outcome::Conflict(unmet);
                }
                for write in writes {
                    let Some(value) = write.value.clone() else { continue };
                    let version = write.expect.next_version();
                    let row = Row { key: write.key.clone(), version, value };
                    self.rows.insert(write.key.clone(), row);
                }
                Outcome::Written
            }
        }
    }

    fn is_met(&self, key: &str, expect: Expect) -> bool {
        match expect {
            Expect::Absent => !self.rows.contains_key(key),
            Expect::Version(version) => {
                self.rows.get(key).is_some_and(|row| row.version == version)
            }
        }
    }
}

impl World {
    pub(super) fn ask_table(&mut self, node: usize, ticket: Ticket, operation: Operation) {
        let counts = &mut self.nodes[node].counts;
        match &operation {
            Operation::Read(keys) => counts.rows_read += keys.len() as u64,
            Operation::Write(_) => counts.writes += 1,
        }
        let incarnation = self.nodes[node].identity.incarnation;
        let faults = self.platform.faults;
        let is_silent = faults.table_down || self.severed.contains(&node);
        let late = match operation {
            Operation::Write(_) if !is_silent => faults.writes_late,
            _ => None,
        };
        if is_silent || late.is_some() {
            let outcome = Outcome::Unknown;
            let event = Event::Table { ticket, outcome };
            self.queue.push(self.now + GIVE_UP, Delivery::Event { node, incarnation, event });
        }
        if is_silent {
            return;
        }
        let at = self.now + self.delay(DELAY_US) + late.unwrap_or_default();
        let ticket = late.is_none().then_some(ticket);
        let delivery = Delivery::Operation { node, incarnation, ticket, operation };
        self.queue.push(at, delivery);
    }

    pub(super) fn do_operation(
        &mut self,
        node: usize,
        incarnation: u64,
        ticket: Option<Ticket>,
        operation: &Operation,
    ) {
        let outcome = self.platform.carry_out(operation);
        let Some(ticket) = ticket else { return };
        let faults = self.platform.faults;
        let lost = faults.replies_lost || self.severed.contains(&node);
        let (outcome, delay) = match lost {
            true => (Outcome::Unknown, GIVE_UP),
            false => (outcome, self.delay(DELAY_US)),
        };
        let event = Event::Table { ticket, outcome };
        self.queue.push(self.now + delay, Delivery::Event { node, incarnation, event });
    }

    pub(super) fn put_object(
        &mut self,
        node: usize,
        ticket: Ticket,
        key: &Arc<str>,
        value: &Arc<str>,
    ) {
        let stored = !self.platform.faults.objects_down && !self.severed.contains(&node);
        if stored {
            self.platform.objects.insert(key.clone(), value.clone());
        }
        let event = Event::Put { ticket, stored };
        self.reply(node, event);
    }

    pub(super) fn get_object(&mut self, node: usize, ticket: Ticket, key: &Arc<str>) {
        let reachable = !self.platform.faults.objects_down && !self.severed.contains(&node);
        let value = self.platform.objects.get(key).filter(|_| reachable).cloned();
        let event = Event::Got { ticket, value };
        self.reply(node, event);
    }

    /// Sends the platform's reply to a node.
    fn reply(&mut self, node: usize, event: Event) {
        let incarnation = self.nodes[node].identity.incarnation;
        let at = self.now + self.delay(DELAY_US);
        self.queue.push(at, Delivery::Event { node, incarnation, event });
    }
}
