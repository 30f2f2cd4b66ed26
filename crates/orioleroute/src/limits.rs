//! How much is taken on before requests are refused.
//!
//! `docs/POLICY.md`, section "Limits", tells how to read the refusals.

use std::time::Duration;

use crate::document::Importance;

/// Returns how many of `room` places a request of this importance may find taken, in the hundred.
///
/// The least important is refused first, since the last places are kept for the others.
fn share(importance: Importance) -> u32 {
    match importance {
        Importance::Low => 50,
        Importance::Normal => 75,
        Importance::High => 100,
    }
}

/// Returns whether a queue with room for `room` requests takes one more.
///
/// An empty queue always does.
pub fn admits(importance: Importance, waiting: usize, room: u32) -> bool {
    waiting == 0 || (waiting as u64) * 100 < u64::from(room) * u64::from(share(importance))
}

/// Returns whether an upstream at `running` requests takes one more.
///
/// Beyond its concurrency, requests wait on the engine for a place in the batch; one further batch
/// is the most that may wait there.
pub fn has_room(importance: Importance, running: u32, concurrency: u32) -> bool {
    running < concurrency || admits(importance, (running - concurrency) as usize, concurrency)
}

/// A running estimate of how long a load takes, from the order to its end.
#[derive(Clone, Copy, Debug)]
pub struct LoadTime {
    mean: Duration,
}

/// What one load adds to the estimate is its difference divided by this.
const SMOOTHING: u32 = 8;

/// The estimate before the first load.
const FIRST_LOAD: Duration = Duration::from_millis(250);

impl Default for LoadTime {
    fn default() -> Self {
        Self { mean: FIRST_LOAD }
    }
}

impl LoadTime {
    /// Takes the time of a load that has ended.
    pub fn note(&mut self, taken: Duration) {
        self.mean = (self.mean * (SMOOTHING - 1) + taken) / SMOOTHING;
    }

    /// Returns the estimate.
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// Returns the expected wait for a load behind `ahead` others when `at_once` go in parallel.
    pub fn wait(&self, ahead: usize, at_once: u32) -> Duration {
        self.mean + self.mean * (ahead as u32) / at_once.max(1)
    }
}
