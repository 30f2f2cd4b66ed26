//! The state machine of one instance, which handles events and returns effects.

use crate::catalog::Catalog;
use crate::claim::Claims;
use crate::config::{Config, Update};
use crate::demand::Demand;
use crate::effect::Effects;
use crate::fleet::Fleet;
use crate::holders::Holders;
use crate::instance::Instance as Identity;
use crate::key::Ticket;
use crate::limits::LoadTime;
use crate::membership::Membership;
use crate::message::Message;
use crate::operator::{Answer, Command};
use crate::orders::Orders;
use crate::ownership::Ownership;
use crate::prelude::*;
use crate::request::Requests;
use crate::retry::Budget;

mod claims;
mod engines;
mod operators;
mod overflow;
mod placement;
mod remote_holders;
mod requests;
mod routes;

/// The decision logic of one instance, without I/O.
///
/// The core is deterministic: the same events at the same times produce the same effects. It reads
/// no clock and opens no socket. The embedding program calls [`Core::handle`] with each event and
/// applies the returned effects. It passes their outcomes back as further events.
///
/// # Examples
///
/// ```
/// use orioleroute::instance::Instance as Identity;
/// use orioleroute::prelude::*;
/// use orioleroute::Core;
///
/// let address = "127.0.0.1:4000".parse().unwrap();
/// let mut core = Core::new(Identity {
///     name: "a".into(),
///     incarnation: 1,
///     region: "zurich".into(),
///     zone: "zurich-1".into(),
///     caller_address: address,
///     peer_address: address,
///     operator_address: address,
/// });
/// let effects = core.handle(Instant::from_millis(1), Event::Tick);
/// // A new instance first reads the rows of its region and of the configuration.
/// assert!(effects.iter().all(|effect| matches!(effect, Effect::Table { .. })));
/// ```
#[derive(Debug)]
pub struct Core {
    membership: Membership,
    config: Config,
    catalog: Catalog,
    fleet: Fleet,
    requests: Requests,
    claims: Claims,
    retries: Budget,
    orders: Orders,
    ownership: Ownership,
    demand: Demand,
    load_time: LoadTime,
    holders: Holders,
    indexed_generation: u64,
    has_listing: bool,
    effects: Effects,
}

impl Core {
    /// Returns the core of an instance that has just started.
    pub fn new(identity: Identity) -> Self {
        Self {
            claims: Claims::new(&identity),
            membership: Membership::new(identity),
            config: Config::default(),
            catalog: Catalog::default(),
            fleet: Fleet::default(),
            requests: Requests::default(),
            retries: Budget::default(),
            orders: Orders::default(),
            ownership: Ownership::default(),
            demand: Demand::default(),
            load_time: LoadTime::default(),
            holders: Holders::default(),
            indexed_generation: 0,
            has_listing: false,
            effects: Effects::default(),
        }
    }

    /// Allocates the key of a request, which is then passed in with [`Event::Arrived`].
    pub fn allocate_request(&mut self) -> key::Request {
        self.requests.allocate()
    }

    /// Handles an event and returns the resulting effects, in the order in which to apply them.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        match event {
            Event::Tick => self.tick(now),
            Event::Table { ticket, outcome } => self.handle_table(now, ticket, &outcome),
            Event::ObjectWritten { ticket, stored } => {
                self.config.handle_object_written(ticket, stored, &mut self.effects)
            }
            Event::ObjectRead { ticket, value } => {
                if self.config.handle_object_read(ticket, value.as_deref(), &mut self.effects) {
                    self.apply_document(now);
                }
            }
            Event::Message { from, message } => self.handle_message(now, &from, &message),
            Event::UpstreamsListed(listings) => {
                self.has_listing = true;
                self.fleet.apply_listing(&listings);
                self.rebuild_ownership(now);
            }
            Event::Report { upstream, report } => {
                self.handle_report(now, upstream, report.as_ref())
            }
            Event::OrderEnded { ticket, upstream, outcome } => {
                self.handle_order_outcome(now, ticket, upstream, outcome);
            }
            Event::Arrived { request, spec } => self.handle_arrival(now, request, spec),
            Event::Progress { request, progress } => self.handle_progress(now, request, progress),
            Event::Command { ticket, command } => self.handle_command(now, ticket, command),
            Event::Shutdown => self.membership.leave(now),
        }
        if self.membership.generation() != self.indexed_generation {
            self.rebuild_ownership(now);
        }
        self.flush_claims(now);
        self.effects.drain().collect()
    }

    /// Returns the membership state.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the version of the active configuration, or zero if there is none.
    pub fn version(&self) -> u64 {
        self.config.version()
    }

    /// Returns the catalog of the active document.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Returns the listed upstreams.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the requests without a final answer.
    pub fn requests(&self) -> &Requests {
        &self.requests
    }

    /// Returns whether the instance can answer requests: it is a member of its region, has an
    /// active configuration and has received the list of upstreams.
    pub fn is_ready(&self) -> bool {
        self.has_listing && self.membership.is_member() && self.version() > 0
    }

    /// Returns whether the instance has left its region, every request has its final answer, and
    /// every claim is settled or cannot be settled because the table is unavailable.
    pub fn is_done(&self) -> bool {
        let settled = self.claims.is_empty() || self.claims.is_table_down();
        self.membership.has_left() && self.requests.is_empty() && settled
    }

    fn tick(&mut self, now: Instant) {
        self.membership.tick(now, self.config.version(), &mut self.effects);
        if self.config.take_stale_views() {
            self.membership.refresh();
        }
        self.config.tick(now, &self.membership, &mut self.effects);
        if self.ownership.advance(now, &self.membership) {
            self.update_exclusive();
            self.serve_waiting(now);
        }
        self.probe(now);
        self.reconcile(now);
        self.refuse_overdue(now);
        self.refuse_unclaimed(now);
        self.demand.sweep(now);
        self.load_awaited(now);
    }

    fn handle_table(&mut self, now: Instant, ticket: Ticket, outcome: &crate::table::Outcome) {
        if self.handle_claim_outcome(now, ticket, outcome) {
            return;
        }
        if self.membership.handle_outcome(now, ticket, outcome, &mut self.effects) {
            return;
        }
        let membership = &self.membership;
        if self.config.handle_outcome(now, ticket, outcome, membership, &mut self.effects) {
            self.apply_document(now);
        }
    }

    fn handle_message(&mut self, now: Instant, from: &Arc<str>, message: &Message) {
        if let Message::Holds { name, held } = message {
            return self.handle_holds(from, name, *held);
        }
        self.membership.handle_message(now, from, message, &mut self.effects);
        if self.config.handle_message(from, message, &self.membership, &mut self.effects) {
            self.apply_document(now);
        }
    }

    /// Rebuilds the ownership index from the current views, upstreams and pools.
    fn rebuild_ownership(&mut self, now: Instant) {
        self.indexed_generation = self.membership.generation();
        self.ownership.rebuild(now, &self.membership, &self.fleet, &self.catalog);
        self.update_exclusive();
        self.reroute_waiting(now);
    }

    /// Applies the document that has just become active.
    fn apply_document(&mut self, now: Instant) {
        match self.config.take_update() {
            Some(Update::Changes(changes)) => {
                changes.iter().for_each(|delta| self.catalog.apply_delta(delta));
            }
            Some(Update::Replaced) | None => {
                let Some(document) = self.config.document() else { return };
                self.catalog.apply(document);
            }
        }
        self.rebuild_ownership(now);
        self.resolve_waiting(now);
        self.reconcile(now);
    }

    /// Reroutes waiting requests whose model resolves to another revision in the active document.
    fn resolve_waiting(&mut self, now: Instant) {
        for revision in self.requests.awaited_revisions() {
            for key in self.requests.waiting(revision).to_vec() {
                if self.named_revision(key) != Some(revision) {
                    self.requests.unqueue(key, revision);
                    self.route(now, key);
                }
            }
        }
    }

    fn handle_command(&mut self, now: Instant, ticket: Ticket, command: Command) {
        let answer = match command {
            Command::Submit { base, document } => {
                return self.config.submit(now, ticket, base, &document, &mut self.effects);
            }
            Command::Document => Answer::Document {
                version: self.config.version(),
                document: self
                    .config
                    .document()
                    .map(|held| held.to_json().into())
                    .unwrap_or_default(),
            },
            Command::Status => Answer::Status(self.status(now)),
            Command::Explain { model } => self.explain(&model),
            Command::Drain => {
                self.membership.leave(now);
                Answer::Draining
            }
        };
        self.effects.push(Effect::Answer { ticket, answer });
    }
}
