//! How many adapters come from the weight store at once.
//!
//! Load pattern: thousands of adapters asked for at the start of a day or after popularity has moved.
//! The store slows every fetch in proportion once there are too many, and does not say how many that
//! are; each zone sees only its own. So the number follows the time that fetches take: it grows while
//! they come at full speed and shrinks when they take longer, as senders do on a shared link.

use super::placement::COLD_LOAD;
use crate::prelude::*;

/// The fetches with which a zone begins.
const FIRST_LIMIT: f64 = 6.0;

/// The bounds of the limit: two keep the store busy while one fetch is being confirmed, and more than
/// the upper one have not been seen to come at full speed for one zone.
const LIMITS: (f64, f64) = (2.0, 24.0);

/// A fetch that takes up to this many times as long as alone leaves room for more.
const UNHURRIED: f64 = 1.3;

/// A fetch that takes longer than this many times as long as alone shows that there are too many.
const CROWDED: f64 = 1.7;

/// What remains of the limit after a fetch that shows that there are too many.
const BACK_OFF: f64 = 0.9;

/// The weight of one fetch in the time that fetches are expected to take.
const SMOOTHING: f64 = 0.2;

/// The time in which the excess of earlier fetches falls to a third: a few seconds, as long as most
/// disturbances last.
const MEMORY: Duration = Duration::from_secs(2);

/// The number of adapters that a zone fetches at once, and how long that takes.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    limit: f64,
    time: Duration,
    observed: Instant,
}

impl Default for Window {
    fn default() -> Self {
        Self { limit: FIRST_LIMIT, time: COLD_LOAD, observed: Instant::ZERO }
    }
}

impl Window {
    /// Returns how many adapters may be on their way.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Returns how long a fetch is expected to take once it is under way.
    ///
    /// What earlier ones took is forgotten: if nothing is fetched since that would be too slow,
    /// nothing shows that it no longer is.
    pub fn time(&self, now: Instant) -> Duration {
        let age = now.since(self.observed).as_secs_f64() / MEMORY.as_secs_f64();
        let excess = self.time.saturating_sub(COLD_LOAD).mul_f64((-age).exp());
        self.time.min(COLD_LOAD) + excess
    }

    /// Takes note of how long a fetch took while so many were on their way.
    pub fn observe(&mut self, time: Duration, under_way: usize, now: Instant) {
        self.time = self.time(now).mul_f64(1.0 - SMOOTHING) + time.mul_f64(SMOOTHING);
        self.observed = now;
        let slowdown = time.as_secs_f64() / COLD_LOAD.as_secs_f64();
        let is_used = under_way as f64 + 1.0 >= self.limit;
        if slowdown <= UNHURRIED && is_used {
            self.limit += 1.0 / self.limit;
        } else if slowdown > CROWDED {
            self.limit *= BACK_OFF;
        }
        let (least, most) = LIMITS;
        self.limit = self.limit.clamp(least, most);
    }
}
