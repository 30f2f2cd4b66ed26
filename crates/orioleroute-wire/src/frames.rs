//! Frames around bytes that one process passes on for another, so that their end can be told from a lost connection.
//!
//! A frame is its length in two bytes, the higher one first, and that many bytes. An empty frame ends the bytes.

use bytes::{Buf, BufMut, BytesMut};

/// The number of bytes in which a length is written.
const LENGTH_BYTES: usize = 2;

/// Appends frames with these bytes, none if there are no bytes.
pub fn encode(bytes: &[u8], output: &mut Vec<u8>) {
    for part in bytes.chunks(usize::from(u16::MAX)) {
        output.put_u16(part.len() as u16);
        output.extend_from_slice(part);
    }
}

/// Appends the frame that ends the bytes.
pub fn encode_end(output: &mut Vec<u8>) {
    output.put_u16(0);
}

/// Takes bytes out of frames.
#[derive(Clone, Debug, Default)]
pub struct Decoder {
    received: BytesMut,
    has_ended: bool,
}

impl Decoder {
    /// Adds received bytes, and appends what whole frames hold to `output`.
    pub fn decode(&mut self, received: &[u8], output: &mut BytesMut) {
        self.received.extend_from_slice(received);
        while !self.has_ended && self.received.len() >= LENGTH_BYTES {
            let length = usize::from(u16::from_be_bytes([self.received[0], self.received[1]]));
            if self.received.len() < LENGTH_BYTES + length {
                break;
            }
            self.received.advance(LENGTH_BYTES);
            output.extend_from_slice(&self.received.split_to(length));
            self.has_ended = length == 0;
        }
    }

    /// Returns whether the bytes have ended.
    pub fn has_ended(&self) -> bool {
        self.has_ended
    }
}
