//! Orders to model engines and the reports of engines.

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
    /// The number of orders that the engine must have accepted before, so that a delayed order cannot
    /// take effect after a newer one.
    pub expected_accepted_orders: Option<u64>,
    /// The fencing token of the scheduler that issues the order.
    pub fencing_token: u64,
}

/// The action that an order requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Loads the base model.
    LoadModel,
    /// Loads an adapter, or replaces it with another version.
    LoadAdapter {
        /// The adapter.
        adapter: Arc<str>,
        /// The version, or `None` for the newest.
        version: Option<u64>,
    },
    /// Unloads an adapter.
    UnloadAdapter {
        /// The adapter.
        adapter: Arc<str>,
    },
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The requested state was already reached, or was reached at once.
    Holds,
    /// The engine is executing the order.
    Accepted,
    /// Another order is in progress, or the number of accepted orders was not the expected one.
    Conflict,
    /// The engine has seen a higher fencing token.
    Fenced,
    /// The engine rejected the order, or the address belongs to another engine.
    Refused,
    /// No connection could be made, so the order was not sent.
    Unsent,
    /// No answer arrived; the order may still take effect at any later time.
    Unanswered,
}

/// An engine's report, which is a few hundred milliseconds old.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Whether an order for a base model is in progress.
    pub is_busy: bool,
    /// The number of orders accepted since the engine started.
    pub accepted_orders: u64,
    /// The engine's start time, in milliseconds since the Unix epoch.
    pub started_ms: Option<u64>,
    /// The number of running requests.
    pub active: usize,
    /// The number of requests queued at the engine.
    pub queued: usize,
    /// The cache that cannot be evicted, in tokens.
    pub cache_used: u64,
    /// The base models with their adapters.
    pub models: Vec<Model>,
    /// The adapters that are being loaded.
    pub pending: Vec<Revision>,
}
