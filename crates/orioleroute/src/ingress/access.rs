//! Whether an instance reaches the platform's store, by its own calls and by what others report of theirs.
//!
//! An instance whose calls fail cannot tell an outage of the store from a cut of its own path to it. The
//! difference matters: entries of upstreams expire in an outage although the upstreams are alive, but an
//! entry that is removed while the store serves other instances is gone. See `docs/PLATFORM.md`,
//! section "Upstreams that leave".

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// The longest time between two answers that count as uninterrupted. A watch is answered about once a
/// second, and an outage in which entries expire is longer than this.
pub const MAX_GAP: Duration = Duration::from_millis(2_000);

/// What an instance reports of its calls to the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Report {
    /// The instance makes no calls; it follows others.
    #[default]
    Unused,
    /// The last call was answered.
    Answered {
        /// The time since the first answer that no failure and no gap followed, in milliseconds.
        since_ms: u64,
        /// The time since the last answer, in milliseconds.
        last_ms: u64,
    },
    /// The last call failed.
    Failed,
}

impl Report {
    /// Returns whether the instance makes no calls.
    pub fn is_unused(&self) -> bool {
        *self == Self::Unused
    }
}

/// The outcomes of an instance's calls to the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Access {
    /// The instance makes no calls.
    #[default]
    Unused,
    /// The last call was answered.
    Answered {
        /// The first answer that no failure and no gap followed.
        since: Instant,
        /// The last answer.
        last: Instant,
    },
    /// The last call failed.
    Failed,
}

impl Access {
    /// Records the answer to a call.
    pub fn record_answer(&mut self, now: Instant) {
        let since = match *self {
            Self::Answered { since, last } if now.since(last) < MAX_GAP => since,
            Self::Unused | Self::Answered { .. } | Self::Failed => now,
        };
        *self = Self::Answered { since, last: now };
    }

    /// Returns whether the last call was answered.
    pub fn is_answered(&self) -> bool {
        matches!(self, Self::Answered { .. })
    }

    /// Returns since when the store has answered all calls, or `None` if the last answer is too old to say
    /// that it still does.
    pub fn available_since(&self, now: Instant) -> Option<Instant> {
        match self {
            Self::Answered { since, last } => (now.since(*last) < MAX_GAP).then_some(*since),
            Self::Unused | Self::Failed => None,
        }
    }

    /// Returns the report for other instances, whose clocks differ.
    pub fn report(&self, now: Instant) -> Report {
        match self {
            Self::Unused => Report::Unused,
            Self::Answered { since, last } => Report::Answered {
                since_ms: now.since(*since).as_millis() as u64,
                last_ms: now.since(*last).as_millis() as u64,
            },
            Self::Failed => Report::Failed,
        }
    }

    /// Returns the outcomes that a report received at `now` states.
    pub fn from_report(report: Report, now: Instant) -> Self {
        match report {
            Report::Unused => Self::Unused,
            Report::Answered { since_ms, last_ms } => Self::Answered {
                since: now - Duration::from_millis(since_ms),
                last: now - Duration::from_millis(last_ms),
            },
            Report::Failed => Self::Failed,
        }
    }
}
