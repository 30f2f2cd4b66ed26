//! The budget of retries, which keeps an instance from amplifying a brown-out.

use crate::prelude::*;

/// Requests that earn one retry.
pub const REQUESTS_PER_RETRY: u32 = 10;

/// Retries that can be saved up, and that an instance has at its start.
pub const BURST: u32 = 10;

/// The time that earns one retry, so that an instance with few requests can retry too.
pub const TIME_PER_RETRY: Duration = Duration::from_secs(1);

/// A token bucket that requests and time fill and retries empty.
///
/// When most attempts fail, the upstreams see at most the requests, a tenth of them again, one a
/// second and the burst, however often each request could be tried.
#[derive(Clone, Debug)]
pub struct Budget {
    /// What is saved, in parts of a retry of which [`REQUESTS_PER_RETRY`] make one.
    parts: u32,
    filled: Instant,
}

impl Default for Budget {
    fn default() -> Self {
        Self { parts: BURST * REQUESTS_PER_RETRY, filled: Instant::ZERO }
    }
}

impl Budget {
    /// Counts a request's first attempt.
    pub fn earn(&mut self) {
        self.add(1);
    }

    /// Takes one retry out, and returns whether there was one.
    pub fn spend(&mut self, now: Instant) -> bool {
        let periods = now.since(self.filled).as_micros() / TIME_PER_RETRY.as_micros();
        if periods > 0 {
            self.filled = now;
            self.add(periods.min(BURST.into()) as u32 * REQUESTS_PER_RETRY);
        }
        let is_left = self.parts >= REQUESTS_PER_RETRY;
        if is_left {
            self.parts -= REQUESTS_PER_RETRY;
        }
        is_left
    }

    fn add(&mut self, parts: u32) {
        self.parts = (self.parts + parts).min(BURST * REQUESTS_PER_RETRY);
    }
}
