//! Whether an instance reaches the platform's store, by its own calls and by what others report of theirs.
//!
//! An instance whose calls fail cannot tell an outage of the store from a cut of its own path to it. The
//! difference matters: entries of upstreams expire in an outage although the upstreams are alive, but an
//! entry that is removed while the store serves other instances is gone. See `docs/PLATFORM.md`,
//! section "Upstreams that leave".

use serde::{Deserialize, Serialize};

use super::feed::Table;
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
        /// The time since the first answer that no gap followed, in milliseconds. Answers to readers that
        /// the instance followed before count as well.
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

/// A span of time in which the store answered without a gap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// The first answer.
    pub since: Instant,
    /// The last answer.
    pub last: Instant,
}

/// The outcomes of an instance's calls to the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Access {
    /// The instance makes no calls.
    #[default]
    Unused,
    /// The last call was answered.
    Answered(Span),
    /// The last call failed.
    Failed,
}

impl Span {
    /// Returns the span that ends with an answer at `now`: the previous one, continued, or a new one after a
    /// gap.
    pub fn continued(previous: Option<Self>, now: Instant) -> Self {
        let since = previous.and_then(|span| span.available_since(now)).unwrap_or(now);
        Self { since, last: now }
    }

    /// Returns since when the store has been available, or `None` if the last answer is too old to say that
    /// it still is.
    pub fn available_since(&self, now: Instant) -> Option<Instant> {
        (now.since(self.last) < MAX_GAP).then_some(self.since)
    }
}

impl Access {
    /// Returns whether the last call was answered.
    pub fn is_answered(&self) -> bool {
        matches!(self, Self::Answered(_))
    }

    /// Returns since when the store has been available, as far as the answers show.
    pub fn available_since(&self, now: Instant) -> Option<Instant> {
        match self {
            Self::Answered(span) => span.available_since(now),
            Self::Unused | Self::Failed => None,
        }
    }

    /// Returns the report for other instances, whose clocks differ.
    pub fn report(&self, now: Instant) -> Report {
        match self {
            Self::Unused => Report::Unused,
            Self::Answered(span) => Report::Answered {
                since_ms: now.since(span.since).as_millis() as u64,
                last_ms: now.since(span.last).as_millis() as u64,
            },
            Self::Failed => Report::Failed,
        }
    }

    /// Returns the outcomes that a report received at `now` states.
    pub fn from_report(report: Report, now: Instant) -> Self {
        match report {
            Report::Unused => Self::Unused,
            Report::Answered { since_ms, last_ms } => Self::Answered(Span {
                since: now - Duration::from_millis(since_ms),
                last: now - Duration::from_millis(last_ms),
            }),
            Report::Failed => Self::Failed,
        }
    }
}

/// How the store serves an instance, the best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Service {
    /// It answers all calls.
    Whole,
    /// The instance makes no calls.
    Unknown,
    /// Calls about some tables fail.
    Partial,
    /// It turns the instance away.
    Refused,
}

impl Service {
    /// Returns it by the outcomes of the calls about upstreams, and the tables that cannot be read.
    pub fn of(store: Access, unread: &[Table]) -> Self {
        match store {
            Access::Failed => Self::Refused,
            _ if !unread.is_empty() => Self::Partial,
            Access::Answered(_) => Self::Whole,
            Access::Unused => Self::Unknown,
        }
    }

    /// Returns whether any calls fail.
    pub fn is_failing(self) -> bool {
        matches!(self, Self::Partial | Self::Refused)
    }
}
