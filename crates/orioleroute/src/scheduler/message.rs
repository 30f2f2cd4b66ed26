//! What instances and schedulers tell each other.

use std::net::SocketAddr;

use crate::ingress::attempt::Part;
use crate::ingress::health::Outcome;
use crate::prelude::*;

/// From an instance to a scheduler.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(tag = "method", content = "params", rename_all = "snake_case")]
pub enum ToScheduler {
    /// Asks for a place to run a request.
    Place(Box<Placement>),
    /// The engine has sent the first event.
    Started {
        /// The request.
        ticket: u64,
    },
    /// The request has left the engine, or needs no place any more.
    Ended {
        /// The request.
        ticket: u64,
        /// How it ended at the engine; `None` if it was never sent.
        result: Option<RunResult>,
    },
}

/// From a scheduler to an instance.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(tag = "method", content = "params", rename_all = "snake_case")]
pub enum ToInstance {
    /// The request waits; the instance hears of it again.
    Queued {
        /// The request.
        ticket: u64,
    },
    /// The request may be sent to this engine now.
    Grant(Grant),
    /// The request will not be placed.
    Refuse {
        /// The request.
        ticket: u64,
        /// When a place is likely, in milliseconds.
        retry_after_ms: u64,
        /// Why.
        reason: Reason,
    },
}

/// A request that needs a place at a model engine.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Placement {
    /// The instance's number for the request.
    pub ticket: u64,
    /// The client's id of the attempt, for the log.
    pub attempt: Option<Arc<str>>,
    /// The availability zone whose engines it asks for.
    pub zone: Arc<str>,
    /// The service.
    pub service: Arc<str>,
    /// The base model.
    pub model: Arc<str>,
    /// The adapter.
    pub adapter: Option<Arc<str>>,
    /// The oldest version of the adapter that will do.
    pub version: Option<u64>,
    /// The tokens of the prompt.
    pub prompt_tokens: u32,
    /// The most tokens of the output.
    pub output_tokens: u32,
    /// The parts of the prompt.
    pub parts: Vec<Part>,
    /// The rank of the request; 0 is served first.
    pub priority: u8,
    /// How long the client still waits, in milliseconds.
    pub time_left_ms: u64,
    /// How long until the answer is late, in milliseconds; 0 if it is late already.
    pub objective_left_ms: u64,
    /// Engines that have failed this request.
    pub excluded: Vec<Arc<str>>,
    /// Whether the client was refused before and has come back.
    pub is_return: bool,
    /// Whether its adapter may come from the weight store although other zones might have it.
    pub may_fetch: bool,
}

/// A place at an engine.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Grant {
    /// The request.
    pub ticket: u64,
    /// The engine.
    pub upstream: Arc<str>,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The adapter's version that it holds, if known.
    pub version: Option<u64>,
}

/// How a request ended at its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunResult {
    /// The engine answered.
    Answered,
    /// The engine was full or leaving, and did not run it.
    Declined,
    /// The engine lacks the model or adapter, or is another one.
    Misdirected,
    /// The engine answered with an error.
    Erred,
    /// The engine broke off or stayed silent.
    Broken,
    /// The engine could not be reached.
    Unreachable,
    /// The client left, or the time was over.
    Abandoned,
}

impl From<RunResult> for Outcome {
    fn from(result: RunResult) -> Self {
        match result {
            RunResult::Answered => Self::Answered(Duration::ZERO),
            RunResult::Declined | RunResult::Misdirected => Self::Declined,
            RunResult::Erred => Self::Erred,
            RunResult::Broken => Self::Broken,
            RunResult::Unreachable => Self::Unreachable,
            RunResult::Abandoned => Self::Abandoned,
        }
    }
}

/// Why a request is not placed.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    strum::Display,
    strum::IntoStaticStr,
    serde::Serialize,
    serde::Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// It could not start before it is late, and more urgent work fills the engines.
    Overloaded,
    /// It could not start before its deadline.
    TooLate,
    /// No engine can run it.
    NoEngine,
    /// Its adapter is not here, and is more likely to be in its home zone.
    NotHere,
    /// This instance does not schedule the availability zone (any more).
    NotScheduler,
}
