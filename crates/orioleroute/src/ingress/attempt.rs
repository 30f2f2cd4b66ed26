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
    /// The tokens of the prompt, and the most tokens of the output that the client asks for, if it states them.
    pub tokens: Option<u64>,
    /// The number of the last event that the client has received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// The attempt that brought the first event of the stream that the client resumes.
    pub resumes: Option<Arc<str>>,
}

/// What a client asks for, which is the same in all attempts at one request.
#[derive(Clone, Copy, Debug)]
pub struct Content<'a> {
    /// The method.
    pub method: &'a str,
    /// The host.
    pub host: &'a str,
    /// The path and query.
    pub target: &'a str,
    /// Who the client is: its organisation, or the credentials that it sends, if any.
    pub credentials: Option<&'a [u8]>,
    /// The generation parameters, which are not a part of the body.
    pub generation: Option<&'a Generation>,
    /// The body.
    pub body: &'a [u8],
}

impl Content<'_> {
    /// Returns the number by which all instances recognize the request. It is the start of a cryptographic hash, so that no
    /// client can make up a request that is taken for another one's.
    pub fn digest(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        let mut add = |field: &[u8]| {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        };
        add(self.method.as_bytes());
        add(self.host.as_bytes());
        add(self.target.as_bytes());
        add(self.credentials.unwrap_or_default());
        add(self.body);
        if let Some(generation) = self.generation {
            add(generation.model.as_bytes());
            add(generation.adapter.as_deref().unwrap_or_default().as_bytes());
            add(&generation.prompt_tokens.to_le_bytes());
            add(&generation.output_tokens.to_le_bytes());
            generation.parts.iter().for_each(|part| add(&part.id.to_le_bytes()));
        }
        let mut start = [0; 8];
        hasher.finalize_xof().fill(&mut start);
        u64::from_le_bytes(start)
    }
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

impl Part {
    /// Returns the number for an id in hexadecimal digits. One of more digits than the number holds is replaced by the start of
    /// a cryptographic hash, so that no client can make up a part that is taken for another one.
    ///
    /// Returns `None` if the text is no such id.
    pub fn id_of(digits: &str) -> Option<u64> {
        let is_hexadecimal = digits.bytes().all(|digit| digit.is_ascii_hexdigit());
        if digits.is_empty() || !is_hexadecimal {
            return None;
        }
        let significant = digits.trim_start_matches('0').to_ascii_lowercase();
        if significant.len() <= MAX_ID_DIGITS {
            return u64::from_str_radix(&format!("0{significant}"), 16).ok();
        }
        let mut start = [0; 8];
        blake3::Hasher::new().update(significant.as_bytes()).finalize_xof().fill(&mut start);
        Some(u64::from_le_bytes(start))
    }
}

/// The hexadecimal digits that a number of 64 bits holds.
const MAX_ID_DIGITS: usize = 16;
