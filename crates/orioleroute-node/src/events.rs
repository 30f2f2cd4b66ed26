//! The events of a stream that is relayed from an engine, a service or another instance, and its verdict.

use bytes::Bytes;
use orioleroute_wire::Error;
use orioleroute_wire::http1::body::Framing;
use orioleroute_wire::sse::{self, Splitter};

/// The data of the event that ends a stream, which carries no served name.
pub const DONE: &[u8] = b"[DONE]";

/// The events of one stream, over all of its connections.
#[derive(Default)]
pub struct Events {
    splitter: Splitter,
    /// The number of complete events with data so far.
    pub count: u64,
    /// Whether the event that ends a model's stream has arrived.
    is_done: bool,
}

/// What a chunk or the end of a body adds to a stream.
pub struct Received {
    /// The events that can be passed on.
    pub bytes: Vec<u8>,
    /// The data of the first of these that has any.
    pub first_data: Option<Bytes>,
    /// Whether more follows.
    pub verdict: Verdict,
}

/// Whether a stream goes on.
pub enum Verdict {
    /// More events may follow.
    Open,
    /// Its last event has arrived.
    Complete,
    /// It ended before its end, for this reason.
    Broken(String),
}

impl Events {
    /// Adds the next chunk or the end of the body. A model's stream is complete only with [`DONE`], and needs nothing
    /// more then.
    pub fn receive(
        &mut self,
        chunk: Option<Result<Bytes, Error>>,
        framing: Framing,
        is_model: bool,
    ) -> Received {
        let mut verdict = Verdict::Open;
        match chunk {
            Some(Ok(chunk)) => self.splitter.push(&chunk),
            Some(Err(error)) => verdict = Verdict::Broken(error.cause),
            None => {
                self.splitter.close(framing);
                verdict = Verdict::Complete;
            }
        }
        let mut received = Received { bytes: Vec::new(), first_data: None, verdict };
        loop {
            match self.splitter.next() {
                Ok(Some(event)) => self.add(&event, &mut received),
                Ok(None) => break,
                Err(broken) => {
                    received.verdict = Verdict::Broken(broken.to_string());
                    break;
                }
            }
        }
        match received.verdict {
            Verdict::Broken(_) if self.is_done => received.verdict = Verdict::Complete,
            Verdict::Complete if is_model && !self.is_done => {
                received.verdict = Verdict::Broken("ended before the last event".into());
            }
            _ => {}
        }
        received
    }

    fn add(&mut self, event: &sse::Event, received: &mut Received) {
        received.bytes.extend_from_slice(&event.bytes);
        let Some(data) = sse::data(&event.bytes) else { return };
        self.count += 1;
        self.is_done |= data == DONE;
        received.first_data.get_or_insert_with(|| Bytes::copy_from_slice(data));
    }

    /// Returns whether the event that ends a model's stream has arrived.
    pub fn is_done(&self) -> bool {
        self.is_done
    }

    /// Prepares for a connection that continues the stream.
    pub fn restart(&mut self) {
        self.splitter = Splitter::default();
    }
}
