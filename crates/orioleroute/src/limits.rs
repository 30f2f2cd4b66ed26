//! Admission limits, beyond which requests are refused.
//!
//! `docs/POLICY.md`, section "Limits", explains how to interpret the refusals.

use std::time::Duration;

use crate::document::Importance;

/// Returns the percentage of a queue's capacity that requests of this importance may use.
///
/// Less important requests are refused first: the rest of the capacity is reserved for more
/// important ones.
fn admitted_percent(importance: Importance) -> u32 {
    match importance {
        Importance::Low => 50,
        Importance::Normal => 75,
        Importance::High => 100,
    }
}

/// Returns whether a queue with `waiting` requests and this capacity admits one more.
///
/// An empty queue always does.
pub fn admits(importance: Importance, waiting: usize, capacity: u32) -> bool {
    waiting == 0
        || (waiting as u64) * 100 < u64::from(capacity) * u64::from(admitted_percent(importance))
}

/// Returns whether an upstream with `running` requests may take one more.
///
/// Requests beyond the upstream's concurrency wait on the engine until they can join the batch. At
/// most one further batch may wait there.
pub fn has_capacity(importance: Importance, running: u32, concurrency: u32) -> bool {
    running < concurrency || admits(importance, (running - concurrency) as usize, concurrency)
}

/// A moving average of how long a load takes, from the order to its end.
#[derive(Clone, Copy, Debug)]
pub struct LoadTime {
    mean: Duration,
}

/// Each load changes the estimate by its difference from the estimate, divided by this.
const SMOOTHING: u32 = 8;

/// The estimate before the first load.
const INITIAL_LOAD_TIME: Duration = Duration::from_millis(250);

impl Default for LoadTime {
    fn default() -> Self {
        Self { mean: INITIAL_LOAD_TIME }
    }
}

impl LoadTime {
    /// Updates the estimate with the duration of a load that has ended.
    pub fn observe(&mut self, duration: Duration) {
        self.mean = (self.mean * (SMOOTHING - 1) + duration) / SMOOTHING;
    }

    /// Returns the estimate.
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// Returns the expected wait for a load behind `ahead` others, with `parallel` loads at a time.
    pub fn expected_wait(&self, ahead: usize, parallel: u32) -> Duration {
        self.mean + self.mean * (ahead as u32) / parallel.max(1)
    }
}
