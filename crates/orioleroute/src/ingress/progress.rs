//! The course of a stream's events, as the instance that relays it sees them.

use crate::prelude::*;

/// The course of the events of one response.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    first: Option<Instant>,
    last: Instant,
    events: u32,
    longest_pause: Duration,
}

impl Progress {
    /// Records that events arrived at the time `now`.
    pub fn record(&mut self, events: u32, now: Instant) {
        if events == 0 {
            return;
        }
        match self.first {
            None => self.first = Some(now),
            Some(_) => self.longest_pause = self.longest_pause.max(now.since(self.last)),
        }
        self.last = now;
        self.events += events;
    }

    /// Returns when the first event arrived, if one has.
    pub fn first_event(&self) -> Option<Instant> {
        self.first
    }

    /// Returns the number of events.
    pub fn events(&self) -> u32 {
        self.events
    }

    /// Returns the longest time between two events.
    pub fn longest_pause(&self) -> Duration {
        self.longest_pause
    }
}
