//! How often an adapter is requested.

use crate::prelude::*;

/// Time in which an adapter's popularity decays to about a third.
const POPULARITY_DECAY: Duration = Duration::from_secs(10);

/// The popularity of an adapter: an exponentially decaying count, which is about the number of
/// requests in the last ten seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Popularity {
    value: f64,
    since: Instant,
}

impl Popularity {
    /// Returns the popularity of an adapter that has not been requested until the time `now`.
    pub fn new(now: Instant) -> Self {
        Self { value: 0.0, since: now }
    }

    /// Returns the popularity at the time `now`.
    pub fn at(&self, now: Instant) -> f64 {
        self.value * (-now.since(self.since).as_secs_f64() / POPULARITY_DECAY.as_secs_f64()).exp()
    }

    /// Counts a request at the time `now`.
    pub fn record_request(&mut self, now: Instant) {
        self.value = self.at(now) + 1.0;
        self.since = now;
    }
}
