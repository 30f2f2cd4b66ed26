//! Orders to engines that are in flight, and the backoff after failed ones.

use crate::key::Ticket;
use crate::prelude::*;

/// The backoff after the first failure of an order. It doubles with each further failure.
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(250);

/// The maximum backoff after failures.
pub const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// Maximum number of failures that are kept although their backoff is over.
const MAX_FAILURES: usize = 4_096;

/// An order in flight.
#[derive(Clone, Copy, Debug)]
pub struct Order {
    /// The revision.
    pub revision: key::Revision,
    /// Whether it is a load.
    pub load: bool,
}

/// The orders in flight, and the failures of those that ended.
#[derive(Debug, Default)]
pub struct Orders {
    in_flight: Map<Ticket, Order>,
    failures: Map<(key::Upstream, key::Revision), (u32, Instant)>,
}

impl Orders {
    /// Adds an order that was issued.
    pub fn add(&mut self, ticket: Ticket, order: Order) {
        self.in_flight.insert(ticket, order);
    }

    /// Removes an order that ended.
    pub fn finish(&mut self, ticket: Ticket) -> Option<Order> {
        self.in_flight.remove(&ticket)
    }

    /// Returns the number of loads in flight.
    pub fn loads_in_flight(&self) -> u32 {
        self.in_flight.values().filter(|order| order.load).count() as u32
    }

    /// Records a failed order, which may be issued again only after a backoff.
    pub fn record_failure(
        &mut self,
        now: Instant,
        upstream: key::Upstream,
        revision: key::Revision,
    ) {
        if self.failures.len() >= MAX_FAILURES {
            self.failures.retain(|_, (_, until)| now < *until);
        }
        let (count, until) = self.failures.entry((upstream, revision)).or_default();
        let wait = INITIAL_BACKOFF.saturating_mul(1 << (*count).min(10)).min(MAX_BACKOFF);
        *count += 1;
        *until = now + wait;
    }

    /// Clears the failures of an order that succeeded.
    pub fn clear_failures(&mut self, upstream: key::Upstream, revision: key::Revision) {
        self.failures.remove(&(upstream, revision));
    }

    /// Returns whether an order must not be issued yet at `now` because of its failures.
    pub fn is_backing_off(
        &self,
        now: Instant,
        upstream: key::Upstream,
        revision: key::Revision,
    ) -> bool {
        self.failures.get(&(upstream, revision)).is_some_and(|(_, until)| now < *until)
    }
}
