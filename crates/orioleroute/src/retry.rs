//! The budget of retries, which keeps an instance from amplifying a brown-out.

use crate::prelude::*;

/// How much an instance may repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Requests that earn one retry.
    pub requests_per_retry: u32,
    /// Retries that can be saved up, and that an instance has at its start.
    pub burst: u32,
    /// The time that earns one retry, so that an instance with few requests can retry too.
    pub time_per_retry: Duration,
}

/// Requests that earn one retry where nothing else is agreed.
pub const REQUESTS_PER_RETRY: u32 = 10;

/// Retries that can be saved up where nothing else is agreed.
pub const BURST: u32 = 10;

/// The time that earns one retry where nothing else is agreed.
pub const TIME_PER_RETRY: Duration = Duration::from_secs(1);

/// The limits where nothing else is agreed: the upstreams see at most a tenth more than the
/// requests, one a second, and the burst.
pub const LIMITS: Limits =
    Limits { requests_per_retry: REQUESTS_PER_RETRY, burst: BURST, time_per_retry: TIME_PER_RETRY };

/// A token bucket that requests and time fill and retries empty.
///
/// When most attempts fail, the upstreams see the requests and what the limits add, however often
/// each request could be tried.
#[derive(Clone, Debug)]
pub struct Budget {
    limits: Limits,
    /// What is saved, in parts of a retry of which [`Limits::requests_per_retry`] make one.
    parts: u32,
    filled: Instant,
}

impl Default for Budget {
    fn default() -> Self {
        Self::new(LIMITS)
    }
}

impl Budget {
    /// Returns a full budget with these limits.
    pub fn new(limits: Limits) -> Self {
        let parts = limits.burst * limits.requests_per_retry;
        Self { limits, parts, filled: Instant::ZERO }
    }

    /// Counts a request's first attempt.
    pub fn earn(&mut self) {
        self.add(1);
    }

    /// Takes one retry out, and returns whether there was one.
    pub fn spend(&mut self, now: Instant) -> bool {
        let Limits { requests_per_retry, burst, time_per_retry } = self.limits;
        let periods = now.since(self.filled).as_micros() / time_per_retry.as_micros();
        if periods > 0 {
            self.filled = now;
            self.add(periods.min(burst.into()) as u32 * requests_per_retry);
        }
        let is_left = self.parts >= requests_per_retry;
        if is_left {
            self.parts -= requests_per_retry;
        }
        is_left
    }

    fn add(&mut self, parts: u32) {
        self.parts = (self.parts + parts).min(self.limits.burst * self.limits.requests_per_retry);
    }
}
