//! Orders to model engines and the reports that they give.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// An order that changes which revisions an engine holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum Order {
    /// Loads a revision under its served name.
    Load {
        /// The served name, `adapter@version`.
        name: Arc<str>,
    },
    /// Unloads a revision.
    Unload {
        /// The served name, `adapter@version`.
        name: Arc<str>,
    },
}

impl Order {
    /// Returns the served name that the order is about.
    pub fn name(&self) -> &Arc<str> {
        match self {
            Self::Load { name } | Self::Unload { name } => name,
        }
    }
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The engine did it.
    Done,
    /// The engine refused it because of a higher fencing number.
    Fenced,
    /// The engine said that it failed.
    Failed,
    /// No reply came: it may or may not have been done.
    Unknown,
}

/// What an engine says of itself, with a lag.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// A number that differs each time the engine starts, since a restart loses all it held.
    pub incarnation: u64,
    /// The served names that are loaded, with the requests running on each.
    pub loaded: Vec<Loaded>,
    /// The requests that run or wait on the engine.
    pub running: u32,
    /// How old the figures are, in milliseconds.
    pub age_ms: u32,
    /// The highest fencing number that the engine has seen; zero if it does not check any.
    pub fencing: u64,
    /// Whether the engine is leaving and takes no new work; engines that do not say so count as
    /// staying until the platform's list says otherwise.
    #[serde(default)]
    pub draining: bool,
}

/// One loaded revision of a [`Report`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loaded {
    /// The served name, `adapter@version`.
    pub name: Arc<str>,
    /// The requests running on it.
    pub running: u32,
}
