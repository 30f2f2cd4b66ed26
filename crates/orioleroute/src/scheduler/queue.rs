//! In which order requests wait for a place.
//!
//! Load pattern: more work than the engines can read, for seconds, in classes of different urgency.
//! Requests that can still be on time go first, by rank and then by the time at which they become
//! late; those that are late already take what is left. Without the split, a burst makes every
//! request behind it late, one after another.

use super::Request;
use crate::prelude::*;

/// The place of a request among those that wait; lower goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    is_late: bool,
    priority: u8,
    due: Instant,
}

impl Rank {
    /// Returns the place of `request` at the time `now`.
    pub fn of(request: &Request, now: Instant) -> Self {
        let is_late = request.objective <= now;
        let due = if is_late { request.deadline } else { request.objective };
        Self { is_late, priority: request.priority, due }
    }
}
