//! An attempt of a client, as described by its header fields.

use crate::prelude::*;

/// An attempt of a client at a request.
#[derive(Clone, Debug, Default)]
pub struct Attempt {
    /// The attempt's id. A retry by the client has another id.
    pub id: Option<Arc<str>>,
    /// The time until the client's deadline.
    pub time_left: Option<Duration>,
    /// The generation parameters, for requests to model engines.
    pub generation: Option<Generation>,
    /// The number of the last event that the client has received, if it resumes a stream.
    pub last_event: Option<u64>,
}

/// The parameters of a generation by a model engine.
#[derive(Clone, Debug)]
pub struct Generation {
    /// The base model.
    pub model: Arc<str>,
    /// The adapter on the base model, if any.
    pub adapter: Option<Arc<str>>,
    /// The length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// The maximum length of the output in tokens.
    pub output_tokens: u32,
    /// The parts of the prompt in order. Requests whose first parts are equal share those in the
    /// engine's cache.
    pub parts: Vec<Part>,
}

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Part {
    /// A number that identifies the content.
    pub id: u64,
    /// The length of the part in tokens.
    pub tokens: u32,
}
