//! One attempt of a client, as its header fields describe it.

use crate::prelude::*;

/// One attempt of a client to have a request answered.
#[derive(Clone, Debug, Default)]
pub struct Attempt {
    /// The attempt's id; a client's retry has another one.
    pub id: Option<Arc<str>>,
    /// How long the client waits.
    pub time_left: Option<Duration>,
    /// What is to be generated, for requests to model engines.
    pub generation: Option<Generation>,
    /// The last event of a stream that the client has, when it resumes one.
    pub last_event: Option<u64>,
}

/// What a model engine is asked to generate.
#[derive(Clone, Debug)]
pub struct Generation {
    /// The base model.
    pub model: Arc<str>,
    /// The adapter on it.
    pub adapter: Option<Arc<str>>,
    /// The tokens of the prompt.
    pub prompt_tokens: u32,
    /// The most tokens of the output.
    pub output_tokens: u32,
    /// The parts of the prompt in order; requests with the same first parts share their cache.
    pub parts: Vec<Part>,
}

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Part {
    /// What identifies its content.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}
