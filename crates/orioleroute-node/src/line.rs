//! Messages between instances as lines, in a packed form if they are long.
//!
//! Load pattern: a configuration of 1,400 routes is a message of some hundred KB that says nearly the same in each route,
//! and a reader passes it on to dozens of followers over a link of 10 Mbit/s.

use std::cell::OnceCell;
use std::rc::Rc;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD as BASE64;
use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use orioleroute::ingress::feed::Message;

/// The length from which on a message is packed, in bytes. Shorter ones are not worth the time.
const MIN_PACKED_BYTES: usize = 8 << 10;

/// How thorough the compression is, from 0 to 10.
const COMPRESSION_LEVEL: u8 = 3;

/// A message as it is sent.
pub struct Line {
    plain: Rc<str>,
    packed: OnceCell<Rc<str>>,
}

/// A packed message cannot be unpacked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a packed message that is damaged or too long")]
pub struct Damaged;

impl Line {
    /// Returns the line of a message.
    pub fn of(message: &impl serde::Serialize) -> Self {
        Self { plain: encode(message).into(), packed: OnceCell::new() }
    }

    /// Returns the text for a receiver, which may or may not be able to unpack messages.
    pub fn text(&self, unpacks: bool) -> Rc<str> {
        if !unpacks || self.plain.len() < MIN_PACKED_BYTES {
            return self.plain.clone();
        }
        let pack = || encode(&Message::Packed(pack(&self.plain))).into();
        self.packed.get_or_init(pack).clone()
    }
}

/// Returns the text of a packed message.
///
/// # Errors
///
/// Fails if it is damaged or longer than `limit` bytes.
pub fn unpack(packed: &str, limit: usize) -> Result<Vec<u8>, Damaged> {
    let compressed = BASE64.decode(packed).map_err(|_| Damaged)?;
    decompress_to_vec_with_limit(&compressed, limit).map_err(|_| Damaged)
}

fn pack(text: &str) -> String {
    BASE64.encode(compress_to_vec(text.as_bytes(), COMPRESSION_LEVEL))
}

fn encode(message: &impl serde::Serialize) -> String {
    // Serializing to a string fails only for maps with non-string keys, which no message contains.
    let mut line = serde_json::to_string(message).unwrap_or_default();
    line.push('\n');
    line
}
