//! What the core asks its surroundings to do.

use std::net::SocketAddr;

use crate::engine::Order;
use crate::key::Ticket;
use crate::message::Message;
use crate::operator::Answer;
use crate::prelude::*;
use crate::request::Step;
use crate::routing::Decision;
use crate::table::Operation;

/// Something to be done outside the core.
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
    /// Asks the table service; the outcome comes back with the ticket.
    Table {
        /// The ticket.
        ticket: Ticket,
        /// The operation.
        operation: Operation,
    },
    /// Writes an object; the outcome comes back with the ticket.
    Put {
        /// The ticket.
        ticket: Ticket,
        /// The object's key.
        key: Arc<str>,
        /// The object's text.
        value: Arc<str>,
    },
    /// Reads an object; the outcome comes back with the ticket.
    Get {
        /// The ticket.
        ticket: Ticket,
        /// The object's key.
        key: Arc<str>,
    },
    /// Gives an order to an engine; the outcome comes back with the ticket.
    Order {
        /// The ticket.
        ticket: Ticket,
        /// The engine.
        upstream: key::Upstream,
        /// Its address.
        address: SocketAddr,
        /// The order.
        order: Order,
        /// The fencing number, the version of the view under which it is given.
        fencing: u64,
    },
    /// Asks an engine for a report; exactly one [`crate::Event::Report`] comes back, with `None` if
    /// the engine gave none.
    Probe {
        /// The engine.
        upstream: key::Upstream,
        /// Its address.
        address: SocketAddr,
    },
    /// Takes the next step of a request.
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
    Decide(Decision),
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

    /// Returns a ticket that was never used before.
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

    /// Takes all effects out.
    pub fn drain(&mut self) -> impl Iterator<Item = Effect> {
        self.list.drain(..)
    }
}
