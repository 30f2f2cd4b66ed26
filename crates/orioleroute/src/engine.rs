//! Orders to model engines and the reports that the engines return.

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
    /// Returns the served name that the order is for.
    pub fn name(&self) -> &Arc<str> {
        match self {
            Self::Load { name } | Self::Unload { name } => name,
        }
    }
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The engine carried it out.
    Done,
    /// The engine refused it because it has seen a higher fencing token.
    Fenced,
    /// The engine replied that it failed.
    Failed,
    /// No reply arrived: it may or may not have been carried out.
    Unknown,
}

/// The state that an engine reports, with a lag.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// A number that differs each time the engine starts, since a restart discards everything that
    /// was loaded.
    pub incarnation: u64,
    /// The served names that are loaded, with the number of requests running on each.
    pub loaded: Vec<Loaded>,
    /// The number of requests that run or wait on the engine.
    pub running: u32,
    /// The age of the figures, in milliseconds.
    pub age_ms: u32,
    /// The highest fencing token that the engine has seen; zero if it does not check any.
    pub fencing: u64,
    /// Whether the engine is draining and takes no new work. An engine that does not report this
    /// counts as not draining until the platform's list says otherwise.
    #[serde(default)]
    pub draining: bool,
}

/// One loaded revision of a [`Report`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loaded {
    /// The served name, `adapter@version`.
    pub name: Arc<str>,
    /// The number of requests running on it.
    pub running: u32,
}
