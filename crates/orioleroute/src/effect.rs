//! Actions that the core asks the embedding program to perform.

use std::net::SocketAddr;

use crate::engine::Order;
use crate::key::Ticket;
use crate::message::Message;
use crate::operator::Answer;
use crate::prelude::*;
use crate::request::Step;
use crate::routing::Decision;
use crate::table::Operation;

/// An action to be performed outside the core.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Sends a message to a peer; it may be lost.
    Send {
        /// The peer's name.
        to: Arc<str>,
        /// The peer's address.
        address: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Runs an operation on the table service. The outcome is returned with the ticket.
    Table {
        /// The ticket.
        ticket: Ticket,
        /// The operation.
        operation: Operation,
    },
    /// Writes an object. The outcome is returned with the ticket.
    WriteObject {
        /// The ticket.
        ticket: Ticket,
        /// The object's key.
        key: Arc<str>,
        /// The object's text.
        value: Arc<str>,
    },
    /// Reads an object. The outcome is returned with the ticket.
    ReadObject {
        /// The ticket.
        ticket: Ticket,
        /// The object's key.
        key: Arc<str>,
    },
    /// Sends an order to an engine. The outcome is returned with the ticket.
    Order {
        /// The ticket.
        ticket: Ticket,
        /// The engine.
        upstream: key::Upstream,
        /// Its address.
        address: SocketAddr,
        /// The order.
        order: Order,
        /// The fencing token, which is the version of the view under which the order is issued.
        fencing: u64,
    },
    /// Requests a report from an engine. Exactly one [`crate::Event::Report`] must follow, with
    /// `None` if the engine returned no report.
    Probe {
        /// The engine.
        upstream: key::Upstream,
        /// Its address.
        address: SocketAddr,
    },
    /// Performs the next step of a request.
    Request {
        /// The request.
        request: key::Request,
        /// The step.
        step: Step,
    },
    /// Answers an operator.
    Answer {
        /// The ticket of the operator's command.
        ticket: Ticket,
        /// The answer.
        answer: Answer,
    },
    /// Logs a routing or placement decision.
    LogDecision(Decision),
}

/// The effects of one event, in order.
#[derive(Debug, Default)]
pub struct Effects {
    list: Vec<Effect>,
    next_ticket: u64,
}

impl Effects {
    /// Adds an effect.
    pub fn push(&mut self, effect: Effect) {
        self.list.push(effect);
    }

    /// Returns a new ticket, which was never used before.
    pub fn ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        Ticket(self.next_ticket)
    }

    /// Adds a table operation and returns its ticket.
    pub fn table(&mut self, operation: Operation) -> Ticket {
        let ticket = self.ticket();
        self.push(Effect::Table { ticket, operation });
        ticket
    }

    /// Removes and returns all effects.
    pub fn drain(&mut self) -> impl Iterator<Item = Effect> {
        self.list.drain(..)
    }
}
