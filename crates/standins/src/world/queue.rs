//! The queue of scheduled deliveries, ordered by time.

use std::collections::BTreeMap;

use orioleroute::key;
use orioleroute::key::Ticket;
use orioleroute::prelude::{Event, Instant};
use orioleroute::request::{Dispatch, Failure, Spec};
use orioleroute::table::Operation;

use super::engine::Order;

/// A scheduled delivery.
pub enum Delivery {
    /// A timer tick of a node.
    Tick { node: usize, incarnation: u64 },
    /// An event for a node.
    Event { node: usize, incarnation: u64, event: Event },
    /// An operation for the table; `ticket` is `None` if the node times out before it
    /// arrives.
    Operation {
        node: usize,
        incarnation: u64,
        ticket: Option<Ticket>,
        operation: Operation,
        issued_at: Instant,
    },
    /// An order for an engine.
    Order(Order),
    /// The end of an order in progress on an engine.
    OrderFinished(Order),
    /// A request for an upstream.
    Dispatch { attempt: Attempt, version: u64, dispatch: Dispatch, caller_request: usize },
    /// The end of a run on an upstream.
    RunFinished { upstream: usize, run: u64 },
    /// The result of an attempt, for its node.
    AttemptEnded { attempt: Attempt, end: AttemptEnd },
    /// The deadline of an attempt.
    Timeout(Attempt),
    /// A request that another node forwarded.
    Forward { node: usize, from: Attempt, spec: Spec },
}

/// An attempt to dispatch or forward a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The node that makes it.
    pub node: usize,
    /// The node's incarnation.
    pub incarnation: u64,
    /// The request.
    pub request: key::Request,
    /// Its number, unique in the world.
    pub number: u64,
}

/// The result of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptEnd {
    /// A complete answer, with the served name that it came from.
    Complete(String),
    /// The connection broke after the caller got a part of the answer.
    Interrupted,
    /// A failure before the caller got any part of the answer.
    Failed(Failure),
}

/// The scheduled deliveries, ordered by time and then by insertion.
#[derive(Default)]
pub struct Queue {
    entries: BTreeMap<(Instant, u64), Delivery>,
    next: u64,
}

impl Queue {
    /// Adds a delivery.
    pub fn push(&mut self, at: Instant, delivery: Delivery) {
        self.next += 1;
        self.entries.insert((at, self.next), delivery);
    }

    /// Removes and returns the next delivery that is due by `end`.
    pub fn pop_until(&mut self, end: Instant) -> Option<(Instant, Delivery)> {
        let entry = self.entries.first_entry()?;
        if entry.key().0 > end {
            return None;
        }
        let at = entry.key().0;
        Some((at, entry.remove()))
    }
}
