//! The limit on concurrent adapter fetches from the weight store.
//!
//! Load pattern: thousands of adapters requested at the start of a day or after a shift in
//! popularity. Above an unknown number of concurrent fetches the store slows all of them in
//! proportion, and each zone sees only its own. The limit is therefore adjusted from the duration of
//! fetches, as in congestion control: it grows while they run at full speed and shrinks when they
//! take longer.

use super::placement::COLD_LOAD;
use crate::prelude::*;

/// Initial limit of a zone.
const INITIAL_LIMIT: f64 = 6.0;

/// Bounds of the limit. Two fetches keep the store busy while one of them is being confirmed; more
/// than the upper bound have not been seen to run at full speed for one zone.
const LIMIT_BOUNDS: (f64, f64) = (2.0, 24.0);

/// Slowdown of a fetch, relative to one that runs alone, up to which the limit grows.
const GROWTH_SLOWDOWN: f64 = 1.3;

/// Slowdown of a fetch, relative to one that runs alone, above which the limit shrinks.
const CONGESTION_SLOWDOWN: f64 = 1.7;

/// Factor by which the limit is multiplied when it shrinks.
const DECREASE_FACTOR: f64 = 0.9;

/// Weight of one fetch in the moving average of the fetch time.
const SMOOTHING: f64 = 0.2;

/// Time in which the excess of the average over the normal fetch time decays to about a third. Most
/// disturbances last a few seconds.
const EXCESS_DECAY: Duration = Duration::from_secs(2);

/// The congestion window of a zone's fetches: the limit on concurrent ones and their expected time.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    limit: f64,
    time: Duration,
    observed_at: Instant,
}

impl Default for Window {
    fn default() -> Self {
        Self { limit: INITIAL_LIMIT, time: COLD_LOAD, observed_at: Instant::ZERO }
    }
}

impl Window {
    /// Returns the maximum number of concurrent fetches.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Returns the expected duration of a fetch, from its start.
    ///
    /// The excess of earlier fetches decays over time. Otherwise a high estimate could stop all
    /// fetches, and there would be no new observation to lower it again.
    pub fn time(&self, now: Instant) -> Duration {
        let age = now.since(self.observed_at).as_secs_f64() / EXCESS_DECAY.as_secs_f64();
        let excess = self.time.saturating_sub(COLD_LOAD).mul_f64((-age).exp());
        self.time.min(COLD_LOAD) + excess
    }

    /// Records the duration of a fetch that ended while `in_progress` others were in progress.
    pub fn observe(&mut self, time: Duration, in_progress: usize, now: Instant) {
        self.time = self.time(now).mul_f64(1.0 - SMOOTHING) + time.mul_f64(SMOOTHING);
        self.observed_at = now;
        let slowdown = time.as_secs_f64() / COLD_LOAD.as_secs_f64();
        let is_saturated = in_progress as f64 + 1.0 >= self.limit;
        if slowdown <= GROWTH_SLOWDOWN && is_saturated {
            self.limit += 1.0 / self.limit;
        } else if slowdown > CONGESTION_SLOWDOWN {
            self.limit *= DECREASE_FACTOR;
        }
        let (lowest, highest) = LIMIT_BOUNDS;
        self.limit = self.limit.clamp(lowest, highest);
    }
}
