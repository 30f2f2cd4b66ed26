//! What a scheduler wants done.

use super::message::ToInstance;
use super::order::Order;
use super::request::Client;
use crate::prelude::*;

/// What the scheduler wants done.
#[derive(Clone, Debug)]
pub enum Output {
    /// Tell an instance.
    Tell(Client, ToInstance),
    /// Give an order to an engine; the answer comes back with [`Scheduler::ordered`](super::Scheduler::ordered).
    Order(std::net::SocketAddr, Order),
    /// Ask an engine for its report; it comes back with [`Scheduler::reported`](super::Scheduler::reported).
    Report(std::net::SocketAddr, Arc<str>),
    /// Another scheduler has given orders: this one must stop.
    Fenced,
    /// A request was decided on.
    Decided(Decision),
}

/// What was decided on a request, and by what, for the log.
#[derive(Clone, Debug)]
pub struct Decision {
    /// The client's id of the attempt.
    pub attempt: Option<Arc<str>>,
    /// What its adapter needed when it was taken, or why it was refused.
    pub reason: &'static str,
    /// What was still to happen before it could run when it was refused, or `held` if it runs.
    pub step: &'static str,
    /// The engine, if one was granted.
    pub upstream: Option<Arc<str>>,
    /// How long it waited.
    pub waited: Duration,
    /// How long it was expected to take to the first event when it was taken or refused.
    pub expected: Duration,
    /// How long the engines would read what was to go before it.
    pub queue: Duration,
}
