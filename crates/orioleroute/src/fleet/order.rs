//! What is known of the last order about a revision on an engine.
//!
//! An order without a reply is assumed neither done nor undone. It is settled by a report, and only
//! by one that was sampled late enough to show its effect; see `docs/DESIGN.md`.

use crate::key::Ticket;
use crate::prelude::*;

/// How long after its reply was given up an order may still take effect on the engine.
pub const LATE_ORDER: Duration = Duration::from_millis(2_000);

/// The last order about a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Order {
    /// It was sent then, and its reply is waited for.
    UnderWay(Ticket, Instant),
    /// The engine replied then.
    Ended(Instant),
    /// Its reply was given up then.
    Unanswered(Ticket, Instant),
}

impl Order {
    /// Returns the ticket of an order that still counts as one under way.
    pub(super) fn ticket(self) -> Option<Ticket> {
        match self {
            Self::UnderWay(ticket, _) | Self::Unanswered(ticket, _) => Some(ticket),
            Self::Ended(_) => None,
        }
    }

    /// Returns whether a report sampled then, which shows the effect of the order, proves it.
    pub(super) fn is_proved_at(self, sampled: Instant) -> bool {
        match self {
            Self::UnderWay(_, at) | Self::Ended(at) | Self::Unanswered(_, at) => sampled >= at,
        }
    }

    /// Returns whether a report sampled then, which does not show the effect, disproves it.
    pub(super) fn is_disproved_at(self, sampled: Instant) -> bool {
        match self {
            Self::UnderWay(..) => false,
            Self::Ended(at) => sampled >= at,
            Self::Unanswered(_, at) => sampled >= at + LATE_ORDER,
        }
    }
}
