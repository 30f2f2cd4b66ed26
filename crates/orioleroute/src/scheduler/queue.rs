//! The order in which waiting requests are granted.
//!
//! Load pattern: several seconds of more work than the engines can process, with priorities.
//! Requests that can still be on time go first, by priority and then by objective; late ones get the
//! remaining capacity. Without this split, a burst makes every request behind it late, one after
//! another.

use super::Request;
use crate::prelude::*;

/// The position of a request in the queue; lower goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    is_late: bool,
    priority: u8,
    due: Instant,
}

impl Rank {
    /// Returns the rank of `request` at the time `now`.
    pub fn of(request: &Request, now: Instant) -> Self {
        let is_late = request.objective <= now;
        let due = if is_late { request.deadline } else { request.objective };
        Self { is_late, priority: request.priority, due }
    }
}
