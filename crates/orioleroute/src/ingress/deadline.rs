//! How long a request has been under way at its client, from how long the client still waits.
//!
//! Load pattern: refused clients that come back in a burst. Their objective has been running since
//! their first attempt, which only their shorter deadline shows.

use crate::prelude::*;

/// The span over which the longest deadline is looked for; a route has many first attempts in it.
const SPAN: Duration = Duration::from_secs(10);

/// The longest deadline that the clients of one route have shown lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct Longest {
    current: Duration,
    former: Duration,
    since: Instant,
}

impl Longest {
    /// Takes note of how long a client still waits, and returns for how long it has been waiting.
    pub fn elapsed(&mut self, time_left: Duration, now: Instant) -> Duration {
        if now.since(self.since) >= SPAN {
            self.former = std::mem::take(&mut self.current);
            self.since = now;
        }
        self.current = self.current.max(time_left);
        self.current.max(self.former).saturating_sub(time_left)
    }
}
