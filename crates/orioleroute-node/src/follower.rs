//! A follower of this instance, what waits to be sent to it, and how messages are written and read.

use std::cell::RefCell;
use std::rc::Rc;

use local_sync::mpsc;
use orioleroute::ingress::feed::{Message, Table};
use orioleroute::ingress::outbox::Outbox;
use orioleroute::prelude::*;
use orioleroute_wire::http1::socket::Socket;

use crate::line::{self, Line};

/// The longest wait for a follower to read a part of a message.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The size of such a part, in bytes.
const PART_BYTES: usize = 16 << 10;

/// The longest message, in bytes: a whole table of 20,000 upstreams.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// An instance that follows this one.
pub struct Follower {
    /// Its availability zone.
    pub zone: Arc<str>,
    /// What waits to be sent.
    pub outbox: Rc<RefCell<Outbox<Addressed>>>,
    /// Wakes the task that sends what is in the outbox.
    pub wake: mpsc::unbounded::Tx<()>,
}

/// A message and its kind in metrics.
#[derive(Clone)]
pub struct Addressed {
    /// The kind.
    pub kind: &'static str,
    /// The message.
    pub line: Rc<Line>,
}

impl Addressed {
    /// Returns a message that is encoded once for all followers.
    pub fn new(kind: &'static str, message: &Message) -> Self {
        Self { kind, line: Rc::new(Line::of(message)) }
    }
}

impl Follower {
    /// Adds a message that is no update.
    pub fn send(&self, message: Addressed) {
        self.outbox.borrow_mut().push(message);
        self.wake();
    }

    /// Adds an update that follows on the version `after`.
    pub fn send_update(&self, table: Table, after: Option<u64>, message: Addressed) {
        self.outbox.borrow_mut().push_update(table, after, message);
        self.wake();
    }

    fn wake(&self) {
        // Fails if the follower's task has ended, which removes the follower.
        let _ = self.wake.send(());
    }
}

/// Decodes a message, and unpacks it if it is packed.
pub fn decode(line: &[u8]) -> Result<Message, String> {
    let message = serde_json::from_slice(line).map_err(|error| error.to_string())?;
    let Message::Packed(packed) = message else { return Ok(message) };
    let text = line::unpack(&packed, MAX_MESSAGE_BYTES).map_err(|error| error.to_string())?;
    serde_json::from_slice(&text).map_err(|error| error.to_string())
}

/// Writes a message that may be large, and returns whether the follower has read on all the while.
pub async fn write_in_parts(socket: &mut Socket, message: &[u8]) -> bool {
    for part in message.chunks(PART_BYTES) {
        let written = monoio::time::timeout(WRITE_TIMEOUT, socket.write(part)).await;
        if !matches!(written, Ok(Ok(()))) {
            return false;
        }
    }
    true
}
