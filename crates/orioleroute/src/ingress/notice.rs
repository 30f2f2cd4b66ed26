//! What upstreams say of themselves in the heads of their answers.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// What an upstream says of itself in the head of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    /// Whether the upstream leaves. It does not take that back.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_leaving: bool,
    /// The limit that it names; `None` if that is not reported.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<Limit>,
    /// Whether the upstream falls over if it has to turn many requests away.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_brittle: bool,
    /// The time since the head arrived, in milliseconds.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub age_ms: u64,
}

/// How many requests an upstream takes from all instances together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Limit {
    /// It names no limit any more.
    Unlimited,
    /// This many a second.
    PerSecond(f64),
}

/// How much later an answer without a limit has to arrive than one with it to show that the limit is gone. Answers
/// overtake each other on connections and between regions.
const MAX_REORDERING: Duration = Duration::from_millis(100);

impl Notice {
    /// Returns whether the upstream says nothing.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

impl Limit {
    /// Returns whether this limit, from an answer that arrived at `at`, replaces what another answer said at `known`.
    pub fn replaces(self, known: Option<Instant>, at: Instant) -> bool {
        known.is_none_or(|known| match self {
            Self::Unlimited => at > known + MAX_REORDERING,
            Self::PerSecond(_) => at >= known,
        })
    }
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}
