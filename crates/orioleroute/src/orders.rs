//! Orders to engines that are under way, and when a failed one may be given again.

use crate::key::Ticket;
use crate::prelude::*;

/// The wait after the first failure of an order; it doubles with each further one.
pub const BACKOFF: Duration = Duration::from_millis(250);

/// The longest wait after failures.
pub const BACKOFF_MAX: Duration = Duration::from_secs(10);

/// Failures that are remembered although their wait is over, at most.
const REMEMBERED: usize = 4_096;

/// An order under way.
#[derive(Clone, Copy, Debug)]
pub struct Order {
    /// The revision.
    pub revision: key::Revision,
    /// Whether it is a load.
    pub load: bool,
}

/// The orders under way and the failures of those that ended.
#[derive(Debug, Default)]
pub struct Orders {
    under_way: Map<Ticket, Order>,
    failures: Map<(key::Upstream, key::Revision), (u32, Instant)>,
}

impl Orders {
    /// Notes an order as given.
    pub fn give(&mut self, ticket: Ticket, order: Order) {
        self.under_way.insert(ticket, order);
    }

    /// Removes an order that ended.
    pub fn end(&mut self, ticket: Ticket) -> Option<Order> {
        self.under_way.remove(&ticket)
    }

    /// Returns the loads under way.
    pub fn loads(&self) -> u32 {
        self.under_way.values().filter(|order| order.load).count() as u32
    }

    /// Notes a failure, which bars the same order for a while.
    pub fn fail(&mut self, now: Instant, upstream: key::Upstream, revision: key::Revision) {
        if self.failures.len() >= REMEMBERED {
            self.failures.retain(|_, (_, until)| now < *until);
        }
        let (count, until) = self.failures.entry((upstream, revision)).or_default();
        let wait = BACKOFF.saturating_mul(1 << (*count).min(10)).min(BACKOFF_MAX);
        *count += 1;
        *until = now + wait;
    }

    /// Forgets the failures of an order that succeeded.
    pub fn succeed(&mut self, upstream: key::Upstream, revision: key::Revision) {
        self.failures.remove(&(upstream, revision));
    }

    /// Returns whether an order is barred at `now` by its failures.
    pub fn is_barred(
        &self,
        now: Instant,
        upstream: key::Upstream,
        revision: key::Revision,
    ) -> bool {
        self.failures.get(&(upstream, revision)).is_some_and(|(_, until)| now < *until)
    }
}
