//! An attempt of a client, as described by its header fields.

use crate::hash;
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

/// What a client asks for, which is the same in all attempts at one request.
#[derive(Clone, Copy, Debug, Hash)]
pub struct Content<'a> {
    /// The method.
    pub method: &'a str,
    /// The host.
    pub host: &'a str,
    /// The path and query.
    pub target: &'a str,
    /// The client's credentials, if it sends any.
    pub credentials: Option<&'a [u8]>,
    /// The generation parameters, which are not a part of the body.
    pub generation: Option<&'a Generation>,
    /// The body.
    pub body: &'a [u8],
}

impl Content<'_> {
    /// Returns the number by which all instances recognize the request.
    pub fn digest(&self) -> u64 {
        hash::digest(self)
    }
}

/// The parameters of a generation by a model engine.
#[derive(Clone, Debug, Hash)]
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
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Part {
    /// A number that identifies the content.
    pub id: u64,
    /// The length of the part in tokens.
    pub tokens: u32,
}
