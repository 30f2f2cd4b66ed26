//! The requests that a scheduler places.

use crate::prelude::*;

/// The instance that asked, as its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Client(pub u64);

/// A request of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestKey {
    /// Who asked.
    pub client: Client,
    /// Its number for the request.
    pub ticket: u64,
}

/// A request that needs a place.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its service.
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
    /// The parts of the prompt as an engine caches them.
    pub parts: Vec<CachedPart>,
    /// The rank; 0 is served first.
    pub priority: u8,
    /// When the client leaves.
    pub deadline: Instant,
    /// When the answer is late.
    pub objective: Instant,
    /// Engines that have failed the request.
    pub excluded: Vec<Arc<str>>,
    /// Whether the client was refused before and has come back.
    pub is_return: bool,
    /// The client's id of the attempt.
    pub attempt: Option<Arc<str>>,
    /// When it was asked for.
    pub arrived: Instant,
}

/// A part of a prompt, read by a certain adapter.
#[derive(Clone, Copy, Debug)]
pub struct CachedPart {
    /// Identifies the part and the adapter.
    pub key: u64,
    /// Its tokens.
    pub tokens: u32,
}
