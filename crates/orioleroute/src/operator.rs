//! Operator commands and the answers to them.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::document::Fault;

/// A command of an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "method", content = "params", rename_all = "snake_case")]
pub enum Command {
    /// Submits a document to replace the version `base`.
    Submit {
        /// The version on which the document is based; zero for the first document.
        base: u64,
        /// The document as JSON text.
        document: Arc<str>,
    },
    /// Requests the active document.
    Document,
    /// Requests the status of the system as this instance knows it.
    Status,
    /// Requests an explanation of an adapter's placement.
    Explain {
        /// The adapter, or `adapter@version`.
        model: Arc<str>,
    },
    /// Tells the instance to leave once its streams have ended.
    Drain,
}

/// The answer to a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "snake_case")]
pub enum Answer {
    /// The document was accepted as this version.
    Accepted {
        /// The version.
        version: u64,
    },
    /// The document has faults; nothing was accepted.
    Invalid {
        /// All faults of the document.
        faults: Vec<Fault>,
    },
    /// Another document was accepted first; nothing was accepted.
    Conflict {
        /// The active version.
        version: u64,
    },
    /// Not accepted yet, because members have not confirmed it or the table does not answer.
    Pending {
        /// The version that the document will have.
        version: u64,
        /// The regions with members that have not confirmed it.
        regions: Vec<Arc<str>>,
    },
    /// The active document.
    Document {
        /// Its version; zero if there is none.
        version: u64,
        /// Its JSON text.
        document: Arc<str>,
    },
    /// The status of the system.
    Status(Status),
    /// The reasons for an adapter's placement.
    Explanation(Explanation),
    /// The instance is leaving.
    Draining,
    /// The command failed.
    Failed {
        /// The reason, as text.
        reason: Arc<str>,
    },
}

/// The status of the system as one instance knows it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The active configuration version of this instance.
    pub version: u64,
    /// The newest version that is staged but not known to be accepted.
    pub staged: Option<u64>,
    /// Whether this instance holds a valid lease.
    pub lease: bool,
    /// The instances of all known regions.
    pub instances: Vec<InstanceStatus>,
    /// The upstreams that this instance owns.
    pub upstreams: Vec<UpstreamStatus>,
}

/// The status of one instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// The name.
    pub name: Arc<str>,
    /// The region.
    pub region: Arc<str>,
    /// The address for operators.
    pub operator_address: SocketAddr,
    /// The active configuration version of the instance, if known.
    pub version: Option<u64>,
}

/// The status of one upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// The name.
    pub name: Arc<str>,
    /// The pool.
    pub pool: Arc<str>,
    /// The region.
    pub region: Arc<str>,
    /// Whether its loaded adapters match the active configuration.
    pub holding: Holding,
    /// The served names of the loaded adapters.
    pub loaded: Vec<Arc<str>>,
    /// The number of requests of this instance that are running on it.
    pub running: u32,
}

/// Whether an upstream matches the active configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Holding {
    /// Every loaded adapter is in the configuration.
    Holds,
    /// Orders that bring it in line with the configuration are in progress.
    Pending,
    /// It has not reported recently.
    Unknown,
}

/// The reasons for an adapter's placement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The served name.
    pub name: Arc<str>,
    /// The homes of the adapter, in order of preference.
    pub homes: Vec<Arc<str>>,
    /// The upstreams of this instance on which it is loaded.
    pub loaded: Vec<Arc<str>>,
    /// The number of requests that wait for it at this instance.
    pub waiting: u32,
    /// The deciding reason, as text.
    pub reason: Arc<str>,
}
