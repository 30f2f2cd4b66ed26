//! Which upstream of a plain service gets a request.
//!
//! Load pattern: an upstream that fails or crawls while its own health check passes, and an
//! upstream that has just ended. Health is judged from the outcomes of requests alone, relative to
//! the other upstreams of the service, so that errors that all of them return eject none.

use crate::prelude::*;

/// The weight of the newest outcome in an upstream's failure rate: after about ten outcomes an
/// old failure has lost two thirds of its weight.
const SMOOTHING: f64 = 0.1;

/// How long an upstream that could not be reached gets no requests, at first.
const FIRST_EJECTION: Duration = Duration::from_millis(300);

/// The longest ejection, about the time that a restarted upstream takes to be listed again.
const LONGEST_EJECTION: Duration = Duration::from_millis(2_000);

/// The cost of a failure in seconds of latency: a retry elsewhere takes a whole service time.
const FAILURE_COST_S: f64 = 0.5;

/// How one upstream has answered lately.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failure_rate: f64,
    latency_s: f64,
    ejections: u32,
    ejected_until: Instant,
    outstanding: usize,
}

/// How an exchange with an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream answered within this time.
    Answered(Duration),
    /// It declined to run the request, being full or draining.
    Declined,
    /// It answered with an error of its own.
    Erred,
    /// It broke off, stayed silent or sent what is no answer.
    Broken,
    /// It could not be reached.
    Unreachable,
    /// The instance gave the exchange up, which says nothing about the upstream.
    Abandoned,
}

impl Health {
    /// Returns how many requests of this instance the upstream has.
    pub fn outstanding(&self) -> usize {
        self.outstanding
    }

    /// Takes note of a request that is sent.
    pub fn begin(&mut self) {
        self.outstanding += 1;
    }

    /// Takes note of the end of an exchange.
    pub fn end(&mut self, outcome: Outcome, now: Instant) {
        self.outstanding = self.outstanding.saturating_sub(1);
        let failure = match outcome {
            Outcome::Answered(time) => {
                self.ejections = 0;
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

    /// Returns whether the upstream gets no requests for now.
    pub fn is_ejected(&self, now: Instant) -> bool {
        now < self.ejected_until
    }

    /// Returns the expected cost of a request in seconds, for an upstream with these slots that is
    /// `distance` away.
    pub fn cost(&self, slots: usize, distance: Duration) -> f64 {
        let load = self.outstanding as f64 / slots.max(1) as f64;
        let latency = self.latency_s * (1.0 + load) + distance.as_secs_f64();
        latency + self.failure_rate * FAILURE_COST_S
    }

    fn eject(&mut self, now: Instant) {
        let span = FIRST_EJECTION * 2_u32.saturating_pow(self.ejections.min(8));
        self.ejected_until = now + span.min(LONGEST_EJECTION);
        self.ejections += 1;
    }
}
