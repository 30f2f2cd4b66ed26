//! What upstreams say of themselves in the heads of their answers.

use serde::{Deserialize, Serialize};

/// What an upstream says of itself in the head of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    /// Whether the upstream leaves. It does not take that back.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_leaving: bool,
}

impl Notice {
    /// Returns whether the upstream says nothing.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
