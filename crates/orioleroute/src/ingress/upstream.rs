//! What an upstream reports about itself.

use std::net::SocketAddr;

use crate::prelude::*;

/// What an upstream reports about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Description {
    /// The upstream's id.
    pub id: Arc<str>,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// The requests that it runs at once.
    pub slots: usize,
    /// Whether it stays.
    pub state: State,
    /// Its start, in milliseconds since the Unix epoch: with the id, one incarnation.
    pub started_ms: u64,
    /// The orders that it has accepted since its start.
    pub orders: u64,
    /// The base models that it holds.
    pub models: Vec<Model>,
}

impl Description {
    /// Returns whether it holds the base model `name`.
    pub fn has_model(&self, name: &str) -> bool {
        self.models.iter().any(|model| &*model.name == name)
    }

    /// Returns the version in which it holds the adapter on the base model.
    pub fn version(&self, model: &str, adapter: &str) -> Option<u64> {
        let mut models = self.models.iter().filter(|held| &*held.name == model);
        let revisions = models.next().map(|held| held.adapters.as_slice()).unwrap_or_default();
        let held = revisions.iter().find(|revision| &*revision.name == adapter);
        held.map(|revision| revision.version)
    }
}

/// Whether an upstream stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// It takes requests.
    Ready,
    /// It leaves, and takes no new requests.
    Draining,
}

/// A base model that an upstream holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// Its name.
    pub name: Arc<str>,
    /// The adapters on it.
    pub adapters: Vec<Revision>,
}

/// An adapter in one version.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Revision {
    /// The adapter's name.
    pub name: Arc<str>,
    /// Its version.
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
