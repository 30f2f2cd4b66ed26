//! Estimates how long a client has been waiting from the time left until its deadline.
//!
//! Load pattern: refused clients that retry in a burst. Their objective counts from their first
//! attempt, and only the shorter deadline of a retry shows that there was one.

use crate::prelude::*;

/// Window over which the longest deadline is determined. A route gets many first attempts in it.
const WINDOW: Duration = Duration::from_secs(10);

/// Tracks the longest deadline of one route's clients in the current and the previous window.
#[derive(Clone, Copy, Debug, Default)]
pub struct DeadlineTracker {
    current: Duration,
    previous: Duration,
    since: Instant,
}

impl DeadlineTracker {
    /// Records the time left until a client's deadline, and returns how long the client is estimated to
    /// have been waiting.
    pub fn elapsed(&mut self, time_left: Duration, now: Instant) -> Duration {
        if now.since(self.since) >= WINDOW {
            self.previous = std::mem::take(&mut self.current);
            self.since = now;
        }
        self.current = self.current.max(time_left);
        self.current.max(self.previous).saturating_sub(time_left)
    }
}
