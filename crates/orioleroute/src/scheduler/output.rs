//! The outputs of a scheduler.

use super::check::EngineCheck;
use super::message::ToInstance;
use super::order::Order;
use super::request::Client;
use super::share::Share;
use crate::prelude::*;

/// An action for the caller of the scheduler.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message to an instance.
    Send(Client, ToInstance),
    /// Issue an order to an engine. The outcome is passed to
    /// [`Scheduler::handle_order_outcome`](super::Scheduler::handle_order_outcome).
    IssueOrder(std::net::SocketAddr, Order),
    /// Request a report from an engine. It is passed to
    /// [`Scheduler::handle_report`](super::Scheduler::handle_report).
    RequestReport(std::net::SocketAddr, Arc<str>),
    /// Check whether an engine on which a run broke off is lost. The result is passed to
    /// [`Scheduler::handle_check`](super::Scheduler::handle_check).
    CheckEngine(std::net::SocketAddr, EngineCheck),
    /// Publish what the zone's runs say about prompt parts.
    ReportSuspects(crate::ingress::quarantine::Report),
    /// Another scheduler has issued orders, so this one must stop.
    Fenced,
    /// Log the decision on a request.
    LogDecision(Decision),
}

/// The decision on a request and the estimates behind it, for the log.
#[derive(Clone, Debug)]
pub struct Decision {
    /// The client's id of the attempt.
    pub attempt: Option<Arc<str>>,
    /// The organisation whose request it is, if it is known.
    pub organisation: Option<Arc<str>>,
    /// What its organisation gets of the engines, if the request was refused and organisations share them.
    pub share: Option<Share>,
    /// What the adapter needed when the request was admitted, or why the request was refused.
    pub reason: &'static str,
    /// What still had to happen before the request could run: as of the admission if it was granted,
    /// as of the refusal otherwise, and `held` if it was refused without a choice of engine.
    pub step: &'static str,
    /// The engine, if the request was granted.
    pub upstream: Option<Arc<str>>,
    /// How long the request waited.
    pub waited: Duration,
    /// The expected time to the first event, as of the admission or refusal.
    pub expected: Duration,
    /// The expected queueing delay behind the prompts ahead of the request.
    pub queue: Duration,
}
