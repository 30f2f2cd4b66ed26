//! What may be spent while nobody answers.
//!
//! Load pattern: whoever lends is lost for the time of a take-over, or cut off, while requests go on. Everybody goes on at its
//! recent rate for a bounded time. Together these rates are what the lender would have lent.

use crate::prelude::*;

/// How long a reserve lasts after the last answer. It is below the time after which a successor lends.
pub const RESERVE_TTL: Duration = Duration::from_millis(2_500);

/// The time over which use is averaged.
const AVERAGE_TIME: Duration = Duration::from_millis(1_000);

/// A rate that is averaged over the recent past.
#[derive(Clone, Copy, Debug, Default)]
pub struct Average {
    rate: f64,
    updated: Instant,
}

impl Average {
    /// Counts an amount.
    pub fn add(&mut self, amount: f64, now: Instant) {
        self.rate = self.rate(now) + amount / AVERAGE_TIME.as_secs_f64();
        self.updated = now;
    }

    /// Returns the rate a second.
    pub fn rate(&self, now: Instant) -> f64 {
        let age = now.since(self.updated).as_secs_f64() / AVERAGE_TIME.as_secs_f64();
        self.rate * (-age).exp()
    }
}

/// What may be spent since the last answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reserve {
    rate: f64,
    since: Instant,
    spent: f64,
}

impl Reserve {
    /// Begins again with an answer, which allows this rate until the next.
    pub fn renew(&mut self, rate: f64, now: Instant) {
        *self = Self { rate, since: now, spent: 0.0 };
    }

    /// Returns what may still be spent.
    pub fn available(&self, now: Instant) -> f64 {
        self.rate * now.since(self.since).min(RESERVE_TTL).as_secs_f64() - self.spent
    }

    /// Spends an amount if this part of it is there, and returns whether it was.
    pub fn take(&mut self, amount: f64, part: f64, now: Instant) -> bool {
        let is_there = self.available(now) >= amount * part
            && self.rate > 0.0
            && now.since(self.since) <= RESERVE_TTL;
        self.spent += if is_there { amount } else { 0.0 };
        is_there
    }

    /// Returns what was spent since the last answer.
    pub fn spent(&self) -> f64 {
        self.spent
    }
}
