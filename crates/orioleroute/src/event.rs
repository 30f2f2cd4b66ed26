//! Events that the embedding program passes to the core.

use crate::engine;
use crate::instance::Listing;
use crate::key::Ticket;
use crate::message::Message;
use crate::operator::Command;
use crate::prelude::*;
use crate::request::{Progress, Spec};
use crate::table::Outcome;

/// Something that happened outside the core.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; expected at least every [`TICK`].
    Tick,
    /// A table operation ended.
    Table {
        /// Its ticket.
        ticket: Ticket,
        /// Its outcome.
        outcome: Outcome,
    },
    /// The write of an object ended.
    ObjectWritten {
        /// The ticket.
        ticket: Ticket,
        /// Whether the object is stored.
        stored: bool,
    },
    /// The read of an object ended.
    ObjectRead {
        /// The ticket.
        ticket: Ticket,
        /// The object's text, or `None` if it was not read.
        value: Option<Arc<str>>,
    },
    /// A peer sent a message.
    Message {
        /// The peer's name.
        from: Arc<str>,
        /// The message.
        message: Message,
    },
    /// The platform listed the upstreams.
    UpstreamsListed(Vec<Listing>),
    /// The request for an engine's report ended.
    Report {
        /// The engine.
        upstream: key::Upstream,
        /// The report, or `None` if the engine returned none.
        report: Option<engine::Report>,
    },
    /// An order ended.
    OrderEnded {
        /// Its ticket.
        ticket: Ticket,
        /// The engine.
        upstream: key::Upstream,
        /// The outcome.
        outcome: engine::Outcome,
    },
    /// A request arrived, under a key from [`crate::Core::allocate_request`].
    Arrived {
        /// The request.
        request: key::Request,
        /// The request as its caller specified it.
        spec: Spec,
    },
    /// The current step of a request made progress.
    Progress {
        /// The request.
        request: key::Request,
        /// What happened.
        progress: Progress,
    },
    /// An operator sent a command.
    Command {
        /// The ticket for the answer.
        ticket: Ticket,
        /// The command.
        command: Command,
    },
    /// The instance was asked to stop gracefully.
    Shutdown,
}

/// Maximum time between two [`Event::Tick`]s.
pub const TICK: Duration = Duration::from_millis(50);
