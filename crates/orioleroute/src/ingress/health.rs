//! The health of upstreams, by which requests are balanced.
//!
//! Load pattern: an upstream that fails or is slow while its own health check passes, and an upstream
//! that has just stopped. Health is derived from the outcomes of requests alone, and compared between
//! the upstreams of a service, so that errors that all of them return do not eject any.

use crate::prelude::*;

/// Weight of the newest outcome in the moving averages of failure rate and latency: after about ten
/// outcomes an old failure has lost two thirds of its weight.
const SMOOTHING: f64 = 0.1;

/// Duration of the first ejection of an unreachable upstream. It doubles with each further one until
/// the upstream answers a request.
const BASE_EJECTION: Duration = Duration::from_millis(300);

/// Maximum duration of an ejection, about the time that a restarted upstream takes to be listed again.
const MAX_EJECTION: Duration = Duration::from_millis(2_000);

/// Cost of a failure in seconds of latency: a retry at another upstream takes a whole service time.
const FAILURE_COST_S: f64 = 0.5;

/// The health of one upstream, from the outcomes of recent requests.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failure_rate: f64,
    latency_s: f64,
    has_answered: bool,
    ejections: u32,
    ejected_until: Instant,
    outstanding: usize,
}

/// How an exchange with an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream answered after this time.
    Answered(Duration),
    /// The upstream declined to run the request, because it was full or draining.
    Declined,
    /// The upstream answered with an error of its own.
    Erred,
    /// The upstream closed the connection early, timed out or sent an invalid response.
    Broken,
    /// The upstream could not be reached.
    Unreachable,
    /// The instance cancelled the exchange, which says nothing about the upstream.
    Abandoned,
}

impl Health {
    /// Returns the number of this instance's requests in flight at the upstream.
    pub fn outstanding(&self) -> usize {
        self.outstanding
    }

    /// Records the start of an exchange.
    pub fn begin(&mut self) {
        self.outstanding += 1;
    }

    /// Records the outcome of an exchange.
    pub fn end(&mut self, outcome: Outcome, now: Instant) {
        self.outstanding = self.outstanding.saturating_sub(1);
        let failure = match outcome {
            Outcome::Answered(time) => {
                self.ejections = 0;
                self.has_answered = true;
                let latency = time.as_secs_f64();
                self.latency_s += SMOOTHING * (latency - self.latency_s);
                0.0
            }
            Outcome::Abandoned => return,
            Outcome::Declined | Outcome::Erred | Outcome::Broken => 1.0,
            Outcome::Unreachable => {
                self.eject(now);
                1.0
            }
        };
        self.failure_rate += SMOOTHING * (failure - self.failure_rate);
    }

    /// Returns whether the upstream has answered a request.
    pub fn has_answered(&self) -> bool {
        self.has_answered
    }

    /// Returns whether the upstream is ejected, so that it gets no requests.
    pub fn is_ejected(&self, now: Instant) -> bool {
        now < self.ejected_until
    }

    /// Returns the expected cost of a request in seconds, for an upstream with `slots` request slots at
    /// a network latency of `distance`.
    pub fn cost(&self, slots: usize, distance: Duration) -> f64 {
        let load = self.outstanding as f64 / slots.max(1) as f64;
        let latency = self.latency_s * (1.0 + load) + distance.as_secs_f64();
        latency + self.failure_rate * FAILURE_COST_S
    }

    fn eject(&mut self, now: Instant) {
        let span = BASE_EJECTION * 2_u32.saturating_pow(self.ejections.min(8));
        self.ejected_until = now + span.min(MAX_EJECTION);
        self.ejections += 1;
    }
}
