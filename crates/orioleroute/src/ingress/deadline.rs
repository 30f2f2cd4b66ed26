//! Estimates how long a client has been waiting from the time left until its deadline.
//!
//! Load pattern: refused clients that retry in a burst. Their objective counts from their first
//! attempt, and only the shorter deadline of a retry shows that there was one.

use std::collections::BTreeMap;

use crate::prelude::*;

/// Window over which the usual deadline is determined. A route gets many first attempts in it.
const WINDOW: Duration = Duration::from_secs(10);

/// A deadline is usual if more than one in this many requests have it or a longer one. In a burst of returns more of them are
/// first attempts.
const REQUESTS_PER_LONG: u64 = 16;

/// The bits of a deadline in milliseconds that tell buckets apart. They limit a tracker to fewer than 4,000 buckets, whatever
/// clients send.
const BUCKET_BITS: u32 = 7;

/// Tracks the longest usual deadline of one route's clients in the current and the previous window.
///
/// A client with a deadline far above the others' does not make these count as returned.
#[derive(Clone, Debug, Default)]
pub struct DeadlineTracker {
    /// The requests by deadline, rounded down.
    buckets: BTreeMap<u64, Bucket>,
    since: Instant,
}

/// The requests whose deadlines are alike.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// The deadline that most of them have, by majority vote.
    deadline: Duration,
    votes: u64,
    current: u64,
    previous: u64,
}

impl DeadlineTracker {
    /// Records the time left until a client's deadline, and returns how long the client is estimated to
    /// have been waiting.
    pub fn elapsed(&mut self, time_left: Duration, now: Instant) -> Duration {
        if now.since(self.since) >= WINDOW {
            self.rotate();
            self.since = now;
        }
        let millis = time_left.as_millis() as u64;
        let rounding = (u64::BITS - millis.leading_zeros()).saturating_sub(BUCKET_BITS);
        self.buckets.entry(millis >> rounding << rounding).or_default().record(time_left);
        self.usual().saturating_sub(time_left)
    }

    fn rotate(&mut self) {
        for bucket in self.buckets.values_mut() {
            bucket.previous = std::mem::take(&mut bucket.current);
        }
        self.buckets.retain(|_, bucket| bucket.previous > 0);
    }

    /// Returns the longest usual deadline.
    fn usual(&self) -> Duration {
        let total: u64 = self.buckets.values().map(Bucket::requests).sum();
        let mut longer = 0;
        let usual = self.buckets.values().rev().find(|bucket| {
            longer += bucket.requests();
            longer > total / REQUESTS_PER_LONG
        });
        usual.map(|bucket| bucket.deadline).unwrap_or_default()
    }
}

impl Bucket {
    fn record(&mut self, deadline: Duration) {
        self.current += 1;
        if self.votes == 0 {
            self.deadline = deadline;
        }
        match deadline == self.deadline {
            true => self.votes += 1,
            false => self.votes -= 1,
        }
    }

    fn requests(&self) -> u64 {
        self.current + self.previous
    }
}
