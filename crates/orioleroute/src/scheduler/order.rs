//! Orders to model engines, and what engines report.

use crate::ingress::upstream::{Model, Revision};
use crate::prelude::*;

/// An order to a model engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The engine's id.
    pub upstream: Arc<str>,
    /// The base model.
    pub model: Arc<str>,
    /// What to do.
    pub action: Action,
    /// The number of orders that the engine must have accepted before, so that an order that is
    /// carried out late cannot follow a newer one.
    pub expected_orders: Option<u64>,
    /// The fencing token of the scheduler that gives the order.
    pub fencing: u64,
}

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Loads the base model.
    LoadModel,
    /// Loads an adapter, or replaces it by another version.
    LoadAdapter {
        /// The adapter.
        adapter: Arc<str>,
        /// The version, or `None` for the newest.
        version: Option<u64>,
    },
    /// Drops an adapter.
    UnloadAdapter {
        /// The adapter.
        adapter: Arc<str>,
    },
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// What it asks for is so already, or was done at once.
    Holds,
    /// The engine is carrying it out.
    Accepted,
    /// Another order is under way, or the engine has accepted orders that were not expected.
    Conflict,
    /// The engine has seen a higher fencing token.
    Fenced,
    /// The engine does not take it, or is another one.
    Refused,
    /// No connection came about, so the order was not given.
    Unsent,
    /// No answer came; the order may be carried out at any later time.
    Unanswered,
}

/// An engine's report, as of some hundred milliseconds ago.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Whether an order on a base model is under way.
    pub is_busy: bool,
    /// The orders accepted since the start.
    pub orders: u64,
    /// The engine's start, in milliseconds since the Unix epoch.
    pub started_ms: Option<u64>,
    /// The requests that run.
    pub active: usize,
    /// The requests that wait.
    pub queued: usize,
    /// The tokens of cache that cannot be given up.
    pub cache_used: u64,
    /// The base models with their adapters.
    pub models: Vec<Model>,
    /// The adapters that are being loaded.
    pub pending: Vec<Revision>,
}
