//! What really happened, as the checker sees it.

use orioleroute::operator::Answer;
use orioleroute::prelude::Arc;

use super::{Asked, Outcome};

/// Something that really happened, for the checker.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A caller asked.
    Asked(usize, Asked),
    /// A caller had a final answer.
    Answered(usize, Outcome),
    /// An upstream began to run a request.
    Began {
        /// The caller's request.
        asked: usize,
        /// The upstream.
        upstream: usize,
        /// The served name.
        name: String,
        /// The node that sent it.
        node: usize,
        /// The configuration version in force at that node.
        version: u64,
    },
    /// An engine took an order, which it then carries out.
    Took {
        /// The engine.
        upstream: usize,
        /// The fencing number.
        fencing: u64,
    },
    /// An engine did an order.
    Ordered {
        /// The engine.
        upstream: usize,
        /// The node that gave the order.
        node: usize,
        /// Whether it was a load.
        load: bool,
        /// The served name.
        name: String,
        /// The requests that ran on the revision at that moment.
        running: u32,
    },
    /// An upstream began to leave.
    Leaving(usize),
    /// A node took a submission and stored it as this object.
    Submitted {
        /// The ticket of the operator's command.
        ticket: u64,
        /// The object's key.
        object: String,
        /// The document, as the operator gave it.
        document: Arc<str>,
    },
    /// An operator was told something.
    Told {
        /// The ticket of the operator's command.
        ticket: u64,
        /// The answer.
        answer: Answer,
    },
    /// The table's row of the accepted version was written.
    Head {
        /// The version.
        version: u64,
        /// The key of the object that holds the document.
        object: String,
    },
    /// A node's configuration version changed.
    InForce {
        /// The node.
        node: usize,
        /// Its incarnation.
        incarnation: u64,
        /// The version.
        version: u64,
    },
    /// A node's process was stopped without ending.
    Frozen(usize),
    /// A stopped process went on.
    Woken(usize),
    /// A node's process ended.
    Ended {
        /// The node.
        node: usize,
        /// Whether it ended by itself, after it was asked to leave.
        graceful: bool,
    },
    /// Every fault was mended a good while ago.
    Quiet {
        /// The configuration version in force at each live node.
        versions: Vec<(usize, u64)>,
        /// What engines hold that the document does not have, by engine.
        strays: Vec<(usize, String)>,
    },
}
