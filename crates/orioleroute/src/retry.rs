//! The retry budget, which keeps an instance from amplifying a brown-out.

use crate::prelude::*;

/// The limits of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The number of requests that earn one retry.
    pub requests_per_retry: u32,
    /// The maximum number of saved retries, and the number at the start of an instance.
    pub burst: u32,
    /// The time that earns one retry, so that an instance with few requests can retry too.
    pub time_per_retry: Duration,
}

/// The default of [`Limits::requests_per_retry`].
pub const DEFAULT_REQUESTS_PER_RETRY: u32 = 10;

/// The default of [`Limits::burst`].
pub const DEFAULT_BURST: u32 = 10;

/// The default of [`Limits::time_per_retry`].
pub const DEFAULT_TIME_PER_RETRY: Duration = Duration::from_secs(1);

/// The default limits. In addition to the requests, the upstreams receive at most a tenth of their
/// number in retries, one retry per second, and the burst.
pub const DEFAULT_LIMITS: Limits = Limits {
    requests_per_retry: DEFAULT_REQUESTS_PER_RETRY,
    burst: DEFAULT_BURST,
    time_per_retry: DEFAULT_TIME_PER_RETRY,
};

/// A token bucket that is filled by requests and time and drained by retries.
///
/// When most attempts fail, the upstreams receive the requests plus what the limits add, however
/// many attempts each request is allowed.
#[derive(Clone, Debug)]
pub struct Budget {
    limits: Limits,
    /// The saved tokens. A retry costs [`Limits::requests_per_retry`] of them.
    tokens: u32,
    refilled_at: Instant,
}

impl Default for Budget {
    fn default() -> Self {
        Self::new(DEFAULT_LIMITS)
    }
}

impl Budget {
    /// Returns a full budget with these limits.
    pub fn new(limits: Limits) -> Self {
        let tokens = limits.burst * limits.requests_per_retry;
        Self { limits, tokens, refilled_at: Instant::ZERO }
    }

    /// Deposits the token of a request's first attempt.
    pub fn deposit(&mut self) {
        self.add(1);
    }

    /// Withdraws one retry, and returns whether one was available.
    pub fn withdraw(&mut self, now: Instant) -> bool {
        let Limits { requests_per_retry, burst, time_per_retry } = self.limits;
        let periods = now.since(self.refilled_at).as_micros() / time_per_retry.as_micros();
        if periods > 0 {
            self.refilled_at = now;
            self.add(periods.min(burst.into()) as u32 * requests_per_retry);
        }
        let has_retry = self.tokens >= requests_per_retry;
        if has_retry {
            self.tokens -= requests_per_retry;
        }
        has_retry
    }

    fn add(&mut self, tokens: u32) {
        self.tokens =
            (self.tokens + tokens).min(self.limits.burst * self.limits.requests_per_retry);
    }
}
