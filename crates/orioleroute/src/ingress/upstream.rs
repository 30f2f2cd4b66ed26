//! The descriptions that upstreams publish of themselves.

use std::net::SocketAddr;

use crate::prelude::*;

/// The description that an upstream publishes of itself.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Description {
    /// The upstream's id.
    pub id: Arc<str>,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// The address for requests.
    pub address: SocketAddr,
    /// The upstream's availability zone.
    pub zone: Arc<str>,
    /// The number of requests that it runs concurrently.
    pub slots: usize,
    /// Whether it accepts requests.
    pub state: State,
    /// The upstream's start time, in milliseconds since the Unix epoch. Together with the id it
    /// identifies one incarnation.
    pub started_ms: u64,
    /// The number of orders that it has accepted since its start.
    pub accepted_orders: u64,
    /// The base models that it holds.
    pub models: Vec<Model>,
    /// The version of its software. What two builds write does not fit together.
    #[serde(default)]
    pub build: Arc<str>,
    /// The version of the entry in the list, which orders what instances know of the upstream. It is set
    /// by the instance that reads the entry.
    #[serde(skip)]
    pub entry_version: u64,
}

impl Description {
    /// Returns whether the upstream holds the base model `name`.
    pub fn has_model(&self, name: &str) -> bool {
        self.models.iter().any(|model| &*model.name == name)
    }

    /// Returns the version of an adapter that the upstream holds on a base model, or `None` if it does
    /// not hold the adapter.
    pub fn version(&self, model: &str, adapter: &str) -> Option<u64> {
        let mut models = self.models.iter().filter(|held| &*held.name == model);
        let revisions = models.next().map(|held| held.adapters.as_slice()).unwrap_or_default();
        let held = revisions.iter().find(|revision| &*revision.name == adapter);
        held.map(|revision| revision.version)
    }
}

/// Whether an upstream accepts requests.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, strum::Display, serde::Serialize, serde::Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The upstream accepts requests.
    Ready,
    /// The upstream is shutting down and accepts no new requests.
    Draining,
}

/// A base model that an upstream holds.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Model {
    /// The model's name.
    pub name: Arc<str>,
    /// The adapters that are loaded on the model.
    pub adapters: Vec<Revision>,
}

/// A version of an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Revision {
    /// The adapter's name.
    pub name: Arc<str>,
    /// The adapter's version.
    pub version: u64,
}

/// A newer version of an adapter, as declared by the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The base model.
    pub model: Arc<str>,
    /// The adapter and its newest version.
    pub revision: Revision,
}
