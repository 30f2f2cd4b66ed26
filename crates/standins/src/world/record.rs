//! The records of what happened, as input of the checker.

use orioleroute::operator::Answer;
use orioleroute::prelude::Arc;

use super::{CallerRequest, Outcome};

/// Something that happened in the simulation, observed from outside of the cores.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A caller sent the request with this number.
    RequestSent(usize, CallerRequest),
    /// The caller of the request with this number got its final answer.
    Answered(usize, Outcome),
    /// An upstream started to run a request.
    RunStarted {
        /// The number of the caller's request.
        caller_request: usize,
        /// The upstream.
        upstream: usize,
        /// The served name.
        name: String,
        /// The node that sent it.
        node: usize,
        /// The active configuration version of that node when it sent the request.
        version: u64,
    },
    /// An engine accepted an order and started it.
    OrderAccepted {
        /// The engine.
        upstream: usize,
        /// The fencing token of the order.
        fencing: u64,
    },
    /// An engine completed an order.
    OrderCompleted {
        /// The engine.
        upstream: usize,
        /// The node that issued the order.
        node: usize,
        /// Whether it was a load.
        load: bool,
        /// The served name.
        name: String,
        /// The number of requests that ran on the revision at that moment.
        running: u32,
    },
    /// An upstream started to drain.
    DrainStarted(usize),
    /// A node handled a submission and stored the document as an object.
    Submitted {
        /// The ticket of the operator's command.
        ticket: u64,
        /// The object's key.
        object: String,
        /// The document, as submitted.
        document: Arc<str>,
    },
    /// An operator got an answer.
    OperatorAnswered {
        /// The ticket of the operator's command.
        ticket: u64,
        /// The answer.
        answer: Answer,
    },
    /// The table row that holds the accepted version was written.
    ConfigAccepted {
        /// The version.
        version: u64,
        /// The key of the object that holds the document.
        object: String,
    },
    /// A node's active configuration version changed.
    ConfigActivated {
        /// The node.
        node: usize,
        /// Its incarnation.
        incarnation: u64,
        /// The version.
        version: u64,
    },
    /// A node's process was paused.
    Paused(usize),
    /// A paused process resumed.
    Resumed(usize),
    /// A node's process exited.
    Exited {
        /// The node.
        node: usize,
        /// Whether it exited by itself after a graceful shutdown.
        graceful: bool,
    },
    /// All faults ended, and the time for recovery has passed.
    Recovered {
        /// The active configuration version of each running node.
        versions: Vec<(usize, u64)>,
        /// Each engine and served name that it holds but the document does not list.
        unlisted: Vec<(usize, String)>,
    },
}
