//! The state of the last order for a revision on an engine.
//!
//! An order without a reply may or may not have been carried out. It is settled only by a report
//! that was sampled late enough to show its effect; see `docs/DESIGN.md`.

use crate::key::Ticket;
use crate::prelude::*;

/// How long after the wait for its reply ended an order may still take effect on the engine.
pub const MAX_ORDER_DELAY: Duration = Duration::from_millis(2_000);

/// The last order for a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Order {
    /// It was sent at this time and awaits its reply.
    InFlight(Ticket, Instant),
    /// The engine replied at this time.
    Ended(Instant),
    /// Waiting for its reply ended at this time without one.
    Unanswered(Ticket, Instant),
}

impl Order {
    /// Returns the ticket of an order without a reply.
    pub(super) fn ticket(self) -> Option<Ticket> {
        match self {
            Self::InFlight(ticket, _) | Self::Unanswered(ticket, _) => Some(ticket),
            Self::Ended(_) => None,
        }
    }

    /// Returns whether a report that shows the effect of the order and was sampled at this time
    /// confirms the order.
    pub(super) fn is_confirmed_at(self, sampled: Instant) -> bool {
        match self {
            Self::InFlight(_, at) | Self::Ended(at) | Self::Unanswered(_, at) => sampled >= at,
        }
    }

    /// Returns whether a report that does not show the effect of the order and was sampled at this
    /// time refutes the order.
    pub(super) fn is_refuted_at(self, sampled: Instant) -> bool {
        match self {
            Self::InFlight(..) => false,
            Self::Ended(at) => sampled >= at,
            Self::Unanswered(_, at) => sampled >= at + MAX_ORDER_DELAY,
        }
    }
}
