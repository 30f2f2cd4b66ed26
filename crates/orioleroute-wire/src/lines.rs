//! Splits input into lines, for protocols with one message a line.

use bytes::BytesMut;

/// A splitter for the input of one connection. It remembers which input holds no line end, so that a long line that
/// arrives in many parts is not searched again with each of them.
#[derive(Clone, Debug)]
pub struct Lines {
    limit: usize,
    searched: usize,
}

/// A line is longer than the limit, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a line is longer than {0} bytes")]
pub struct TooLong(pub usize);

impl Lines {
    /// Returns a splitter for lines of at most `limit` bytes without their end.
    pub fn new(limit: usize) -> Self {
        Self { limit, searched: 0 }
    }

    /// Removes a line from the front of `input` and returns it without its end, or returns `None` if it is
    /// incomplete.
    ///
    /// # Errors
    ///
    /// Fails if the line is too long, whether it is complete or not.
    pub fn take(&mut self, input: &mut BytesMut) -> Result<Option<BytesMut>, TooLong> {
        let unsearched = input.get(self.searched..).unwrap_or_default();
        let end = unsearched.iter().position(|byte| *byte == b'\n').map(|at| self.searched + at);
        if end.unwrap_or(input.len()) > self.limit {
            return Err(TooLong(self.limit));
        }
        let Some(end) = end else {
            self.searched = input.len();
            return Ok(None);
        };
        self.searched = 0;
        let mut line = input.split_to(end + 1);
        line.truncate(end);
        Ok(Some(line))
    }
}
