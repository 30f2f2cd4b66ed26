//! The requests that a scheduler places.

use crate::ingress::Priority;
use crate::prelude::*;

/// The connection of an instance that sends requests to the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Client(pub u64);

/// Identifies a request of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestKey {
    /// The connection of the instance.
    pub client: Client,
    /// The number that the instance has given to the request.
    pub ticket: u64,
}

/// A request that needs a grant for a model engine.
#[derive(Clone, Debug)]
pub struct Request {
    /// The organisation whose request it is, if it is known.
    pub organisation: Option<Arc<str>>,
    /// The service.
    pub service: Arc<str>,
    /// The base model.
    pub model: Arc<str>,
    /// The adapter, if the request uses one.
    pub adapter: Option<Arc<str>>,
    /// The oldest acceptable version of the adapter.
    pub version: Option<u64>,
    /// The length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// The maximum length of the output in tokens.
    pub output_tokens: u32,
    /// The parts of the prompt, as engines cache them.
    pub parts: Vec<CachedPart>,
    /// The ids of the parts, as all requests share them; the last one is the request's own.
    pub part_ids: Arc<[u64]>,
    /// The digest of what the client asks for, if the instance sent it.
    pub content: Option<u64>,
    /// The only build whose engines may run the request, if not all may.
    pub build: Option<Arc<str>>,
    /// The priority; 0 is the highest.
    pub priority: Priority,
    /// When the client stops waiting.
    pub deadline: Instant,
    /// When the response is late.
    pub objective: Instant,
    /// Engines that have failed the request.
    pub excluded: Vec<Arc<str>>,
    /// Whether this is a retry of a client that was refused before.
    pub is_return: bool,
    /// The client's id of the attempt.
    pub attempt: Option<Arc<str>>,
    /// When the request arrived at the scheduler.
    pub arrived: Instant,
}

/// A part of a prompt, as cached for one adapter.
#[derive(Clone, Copy, Debug)]
pub struct CachedPart {
    /// A digest of the part and the adapter.
    pub key: u64,
    /// The length of the part in tokens.
    pub tokens: u32,
}
