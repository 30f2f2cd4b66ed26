//! Commands of operators and the answers to them.

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
        /// The version that the operator started from; zero for the first document.
        base: u64,
        /// The document as JSON text.
        document: Arc<str>,
    },
    /// Asks for the document in force.
    Document,
    /// Asks what holds where.
    Status,
    /// Asks why an adapter is where it is.
    Explain {
        /// The adapter, or `adapter@version`.
        model: Arc<str>,
    },
    /// Asks the instance to leave once its streams have ended.
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
        /// All of them.
        faults: Vec<Fault>,
    },
    /// Another document was accepted first; nothing was accepted.
    Conflict {
        /// The version now in force.
        version: u64,
    },
    /// Not accepted yet, since these members have not confirmed it, or the table does not answer.
    Pending {
        /// The version that it will have.
        version: u64,
        /// The regions that are missing.
        regions: Vec<Arc<str>>,
    },
    /// The document in force.
    Document {
        /// Its version; zero if there is none.
        version: u64,
        /// Its JSON text.
        document: Arc<str>,
    },
    /// What holds where.
    Status(Status),
    /// Why an adapter is where it is.
    Explanation(Explanation),
    /// The instance is leaving.
    Draining,
    /// The command could not be done.
    Failed {
        /// Why.
        reason: Arc<str>,
    },
}

/// What one instance knows of the whole system.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The configuration version in force here.
    pub version: u64,
    /// The version that is staged but not known to be accepted.
    pub staged: Option<u64>,
    /// Whether this instance holds a fresh lease.
    pub lease: bool,
    /// The instances of all known regions.
    pub instances: Vec<InstanceStatus>,
    /// The upstreams that this instance owns.
    pub upstreams: Vec<UpstreamStatus>,
}

/// What is known of one instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// The name.
    pub name: Arc<str>,
    /// The region.
    pub region: Arc<str>,
    /// Where operators connect.
    pub operator_address: SocketAddr,
    /// The configuration version in force there, if it was heard of lately.
    pub version: Option<u64>,
}

/// What is known of one upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// The name.
    pub name: Arc<str>,
    /// The pool.
    pub pool: Arc<str>,
    /// The region.
    pub region: Arc<str>,
    /// Whether what it holds is what it should hold.
    pub holding: Holding,
    /// The served names that are loaded.
    pub loaded: Vec<Arc<str>>,
    /// The requests that this instance has running on it.
    pub running: u32,
}

/// Whether an upstream matches the configuration in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Holding {
    /// It holds nothing that the configuration does not have.
    Holds,
    /// Orders to bring it there are under way.
    Pending,
    /// It has not reported lately.
    Unknown,
}

/// Why an adapter is where it is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The served name.
    pub name: Arc<str>,
    /// The instances that serve it, in order of preference.
    pub homes: Vec<Arc<str>>,
    /// The upstreams of this instance that hold it.
    pub loaded: Vec<Arc<str>>,
    /// The requests that wait for it here.
    pub waiting: u32,
    /// What decided it, in words.
    pub reason: Arc<str>,
}
