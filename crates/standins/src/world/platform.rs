//! The platform: a table with conditional writes, and an object store.

use std::collections::BTreeMap;
use std::time::Duration;

use orioleroute::config::HEAD_KEY;
use orioleroute::key::Ticket;
use orioleroute::message::Mark;
use orioleroute::prelude::{Arc, Event, Instant};
use orioleroute::table::{Expect, Operation, Outcome, Row, Write};

use super::queue::Delivery;
use super::{Record, World};

/// Range of the delay of a request or reply, in microseconds.
const DELAY_US: (u64, u64) = (1_000, 10_000);

/// Time after which a node stops waiting for the reply to an operation.
const OPERATION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The faults of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// The table neither applies nor answers operations.
    pub table_down: bool,
    /// The table applies operations, but its replies are lost.
    pub replies_lost: bool,
    /// Extra delay before writes take effect; the node may have timed out by then.
    pub write_delay: Option<Duration>,
    /// Extra time until a reply arrives; the node may have timed out by then.
    pub reply_delay: Duration,
    /// The object store fails all reads and writes.
    pub objects_down: bool,
}

/// The platform.
#[derive(Default)]
pub struct Platform {
    /// Its faults.
    pub faults: Faults,
    /// The rows of the table, by key.
    pub rows: BTreeMap<Arc<str>, Row>,
    /// The objects in the object store, by key.
    pub objects: BTreeMap<Arc<str>, Arc<str>>,
}

impl Platform {
    fn apply(&mut self, operation: &Operation) -> Outcome {
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
    pub(super) fn submit_operation(&mut self, node: usize, ticket: Ticket, operation: Operation) {
        let counts = &mut self.nodes[node].counts;
        match &operation {
            Operation::Read(keys) => counts.rows_read += keys.len() as u64,
            Operation::Write(_) => counts.writes += 1,
        }
        let incarnation = self.nodes[node].identity.incarnation;
        let faults = self.platform.faults;
        if faults.table_down || self.isolated_from_platform.contains(&node) {
            let outcome = Outcome::Unknown;
            let event = Event::Table { ticket, outcome };
            self.queue
                .push(self.now + OPERATION_TIMEOUT, Delivery::Event { node, incarnation, event });
            return;
        }
        let write_delay = match operation {
            Operation::Write(_) => faults.write_delay.unwrap_or_default(),
            Operation::Read(_) => Duration::ZERO,
        };
        let delay = self.delay(DELAY_US) + write_delay + faults.reply_delay / 2;
        let timed_out = delay >= OPERATION_TIMEOUT;
        if timed_out {
            let event = Event::Table { ticket, outcome: Outcome::Unknown };
            self.queue
                .push(self.now + OPERATION_TIMEOUT, Delivery::Event { node, incarnation, event });
        }
        let ticket = (!timed_out).then_some(ticket);
        let delivery =
            Delivery::Operation { node, incarnation, ticket, operation, issued_at: self.now };
        self.queue.push(self.now + delay, delivery);
    }

    pub(super) fn apply_operation(
        &mut self,
        node: usize,
        incarnation: u64,
        ticket: Option<Ticket>,
        operation: &Operation,
        issued_at: Instant,
    ) {
        let outcome = self.platform.apply(operation);
        if let (Operation::Write(writes), Outcome::Written) = (operation, &outcome) {
            self.record_accepted_version(writes);
        }
        // The node has already seen a timeout.
        let Some(ticket) = ticket else { return };
        let faults = self.platform.faults;
        let reply_lost = faults.replies_lost || self.isolated_from_platform.contains(&node);
        let at = self.now + self.delay(DELAY_US) + faults.reply_delay / 2;
        let deadline = issued_at + OPERATION_TIMEOUT;
        let (outcome, at) = match reply_lost || at >= deadline {
            true => (Outcome::Unknown, deadline),
            false => (outcome, at),
        };
        let event = Event::Table { ticket, outcome };
        self.queue.push(at, Delivery::Event { node, incarnation, event });
    }

    /// Records the configuration version that a write accepted, if any.
    fn record_accepted_version(&mut self, writes: &[Write]) {
        let head = writes.iter().find(|write| &*write.key == HEAD_KEY);
        let Some(value) = head.and_then(|write| write.value.as_deref()) else { return };
        let Ok(Mark { version, token }) = serde_json::from_str(value) else { return };
        let object = format!("config/{version}-{token:016x}.json");
        self.record(Record::ConfigAccepted { version, object });
    }

    pub(super) fn put_object(
        &mut self,
        node: usize,
        ticket: Ticket,
        key: &Arc<str>,
        value: &Arc<str>,
    ) {
        let stored =
            !self.platform.faults.objects_down && !self.isolated_from_platform.contains(&node);
        if stored {
            self.platform.objects.insert(key.clone(), value.clone());
        }
        let event = Event::ObjectWritten { ticket, stored };
        self.reply(node, event);
    }

    pub(super) fn get_object(&mut self, node: usize, ticket: Ticket, key: &Arc<str>) {
        let reachable =
            !self.platform.faults.objects_down && !self.isolated_from_platform.contains(&node);
        let value = self.platform.objects.get(key).filter(|_| reachable).cloned();
        let event = Event::ObjectRead { ticket, value };
        self.reply(node, event);
    }

    /// Sends a reply of the object store to a node.
    fn reply(&mut self, node: usize, event: Event) {
        let incarnation = self.nodes[node].identity.incarnation;
        let at = self.now + self.delay(DELAY_US);
        self.queue.push(at, Delivery::Event { node, incarnation, event });
    }
}
