//! What is under way, in order of arrival.

use std::collections::BTreeMap;

use orioleroute::key;
use orioleroute::key::Ticket;
use orioleroute::prelude::{Event, Instant};
use orioleroute::request::{Dispatch, Spec};
use orioleroute::table::Operation;

use super::engine::Order;

/// Something under way.
pub enum Delivery {
    /// A node's time passes.
    Tick { node: usize, incarnation: u64 },
    /// An event for a node.
    Event { node: usize, incarnation: u64, event: Event },
    /// An operation for the table; without a ticket, nobody waits for its reply any more.
    Operation { node: usize, incarnation: u64, ticket: Option<Ticket>, operation: Operation },
    /// An order for an engine.
    Order(Order),
    /// An order that an engine has been carrying out.
    OrderEnd(Order),
    /// A request for an upstream.
    Dispatch {
        node: usize,
        incarnation: u64,
        version: u64,
        request: key::Request,
        dispatch: Dispatch,
        asked: usize,
    },
    /// The end of a run on an upstream.
    RunEnd { upstream: usize, run: u64 },
    /// A request that another node passed on.
    Arrive { node: usize, from: (usize, key::Request), spec: Spec },
}

/// All that is under way.
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

    /// Takes the next delivery that is due by `end`.
    pub fn pop_until(&mut self, end: Instant) -> Option<(Instant, Delivery)> {
        let entry = self.entries.first_entry()?;
        if entry.key().0 > end {
            return None;
        }
        let at = entry.key().0;
        Some((at, entry.remove()))
    }
}
