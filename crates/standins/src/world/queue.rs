//! What is under way, in order of arrival.

use std::collections::BTreeMap;

use orioleroute::key;
use orioleroute::key::Ticket;
use orioleroute::prelude::{Event, Instant};
use orioleroute::request::{Dispatch, Failure, Spec};
use orioleroute::table::Operation;

use super::engine::Order;

/// Something under way.
pub enum Delivery {
    /// A node's time passes.
    Tick { node: usize, incarnation: u64 },
    /// An event for a node.
    Event { node: usize, incarnation: u64, event: Event },
    /// An operation for the table; without a ticket once whoever asked has given up.
    Operation {
        node: usize,
        incarnation: u64,
        ticket: Option<Ticket>,
        operation: Operation,
        since: Instant,
    },
    /// An order for an engine.
    Order(Order),
    /// An order that an engine has been carrying out.
    OrderEnd(Order),
    /// A request for an upstream.
    Dispatch { place: Place, version: u64, dispatch: Dispatch, asked: usize },
    /// The end of a run on an upstream.
    RunEnd { upstream: usize, run: u64 },
    /// The end of an attempt as its node sees it.
    RunAnswer { place: Place, end: End },
    /// The end of the time that a node waits for an attempt.
    Timeout(Place),
    /// A request that another node passed on.
    Arrive { node: usize, from: Place, spec: Spec },
}

/// An attempt at a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// The node.
    pub node: usize,
    /// The node's incarnation.
    pub incarnation: u64,
    /// The request.
    pub request: key::Request,
    /// The number of the attempt, unique in the world.
    pub attempt: u64,
}

/// How an attempt ended on an upstream.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// With the whole answer, by this served name.
    Whole(String),
    /// In the middle of an answer of which the caller has a part.
    BrokenOff,
    /// Before the caller had any of it.
    Failed(Failure),
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
