//! The order in which waiting requests are granted.
//!
//! Load pattern: several seconds of more work than the engines can process, with priorities.
//! Requests that can still be on time go first, by priority, by the share of their organisation
//! ([`super::share`]) and then by objective; late ones get the remaining capacity. Without this
//! split, a burst makes every request behind it late, one after another. What is far beyond a share
//! goes last.

use super::Request;
use super::share::Standing;
use crate::ingress::Priority;
use crate::prelude::*;

/// The position of a request in the queue; lower goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether the organisation takes what others are due. Their late requests go first as well.
    is_far: bool,
    is_late: bool,
    priority: Priority,
    /// How far the request starts beyond the share of its organisation.
    step: u32,
    due: Instant,
}

impl Rank {
    /// Returns the rank of `request` at the time `now`.
    pub fn of(request: &Request, standing: Standing, now: Instant) -> Self {
        let is_late = request.objective <= now;
        let due = if is_late { request.deadline } else { request.objective };
        let (is_far, step) = (standing.is_far(), standing.step());
        Self { is_far, is_late, priority: request.priority, step, due }
    }
}
