//! Orders to the engines that this instance owns, and what they report.

use super::Core;
use crate::document::Fencing;
use crate::engine::{self, Report};
use crate::fleet::{IN_FLIGHT, Residency};
use crate::key::Ticket;
use crate::orders::Order;
use crate::prelude::*;
use crate::routing::{Decision, Reason};

/// Between two reports asked of an engine.
const PROBE: Duration = Duration::from_millis(1_000);

impl Core {
    /// Asks the owned engines for reports that are due.
    pub(super) fn probe(&mut self, now: Instant) {
        for key in self.ownership.mine() {
            let Some(upstream) = self.fleet.get_mut(key) else { continue };
            let engine = self.catalog.pool(&upstream.listing.pool).is_some();
            if engine && !upstream.probing && now >= upstream.next_probe {
                upstream.probing = true;
                upstream.next_probe = now + PROBE;
                upstream.probed = now;
                let address = upstream.listing.address;
                self.effects.push(Effect::Probe { upstream: key, address });
            }
        }
    }

    /// Takes an engine's report, and gives its waiting requests what it now has loaded.
    pub(super) fn take_report(
        &mut self,
        now: Instant,
        key: key::Upstream,
        report: Option<&Report>,
    ) {
        if let Some(upstream) = self.fleet.get_mut(key) {
            upstream.probing = false;
        }
        let Some(report) = report else { return };
        for loaded in &report.loaded {
            self.catalog.intern(&loaded.name);
        }
        let catalog = &self.catalog;
        let done = self.fleet.report(now, key, report, |name| catalog.find(name));
        for ticket in done {
            self.end_settled(key, ticket);
        }
        self.reconcile(now);
        self.serve_waiting(now);
    }

    /// Ends a load that a report has shown to be done before its reply came.
    fn end_settled(&mut self, key: key::Upstream, ticket: Ticket) {
        if let Some(order) = self.orders.end(ticket) {
            self.orders.succeed(key, order.revision);
        }
    }

    /// Notes that an engine took an order, and so refuses those of former owners if it checks.
    fn fence(&mut self, key: key::Upstream) {
        if self.is_fenced(key) {
            self.ownership.fence(key);
            self.mark_safe();
        }
    }

    /// Brings the marks of the upstreams whose contents may be used to the rights of this instance.
    pub(super) fn mark_safe(&mut self) {
        for (key, upstream) in self.fleet.iter_mut() {
            upstream.safe = self.ownership.is_safe(key);
        }
    }

    /// Takes the outcome of an order.
    pub(super) fn take_ordered(
        &mut self,
        now: Instant,
        ticket: Ticket,
        key: key::Upstream,
        outcome: engine::Outcome,
    ) {
        let Some(Order { revision, load }) = self.orders.end(ticket) else { return };
        match outcome {
            engine::Outcome::Done if load => self.orders.succeed(key, revision),
            engine::Outcome::Done => {}
            _ => self.orders.fail(now, key, revision),
        }
        match outcome {
            engine::Outcome::Done => self.fence(key),
            engine::Outcome::Fenced => self.membership.refresh(),
            _ => {}
        }
        let Some(upstream) = self.fleet.get_mut(key) else { return };
        upstream.end_order(now, ticket, revision, outcome);
        // What really holds is what the next report says, so it is asked for at once.
        upstream.next_probe = now;
        if outcome == engine::Outcome::Done {
            self.note_done(now, key, revision, load);
        }
        self.serve_waiting(now);
        self.place(now);
    }

    /// Learns how long loads take, and tells other homes what is held here.
    fn note_done(&mut self, now: Instant, key: key::Upstream, revision: key::Revision, load: bool) {
        let resident = self.fleet.get(key).and_then(|upstream| upstream.residents.get(&revision));
        if let Some(resident) = resident.filter(|_| load) {
            // A resident was last used when its load was ordered.
            self.load_time.note(now.since(resident.used));
        }
        self.announce(revision);
    }

    /// Unloads what the configuration in force does not have.
    pub(super) fn reconcile(&mut self, now: Instant) {
        // Without a document nothing is known of what an engine should hold.
        if self.config.version() == 0 {
            return;
        }
        let mut dropped = Vec::new();
        // Only the owner gives orders, and a node owns few of thousands of upstreams.
        for key in self.ownership.mine() {
            let Some(upstream) = self.fleet.get(key) else { continue };
            for (revision, resident) in &upstream.residents {
                let idle = resident.running == 0 && resident.reported == 0;
                let loaded = resident.residency == Residency::Loaded;
                if !self.catalog.revision(*revision).current && loaded && idle {
                    dropped.push((key, *revision));
                }
            }
        }
        for (key, revision) in dropped {
            if self.may_unload(now, key) && !self.orders.is_barred(now, key, revision) {
                self.unload(now, key, revision, Reason::Dropped);
            }
        }
    }

    pub(super) fn load(&mut self, now: Instant, key: key::Upstream, revision: key::Revision) {
        let name = self.catalog.revision(revision).name.clone();
        let order = engine::Order::Load { name };
        let ticket = self.order(key, revision, order, Reason::Demand);
        if let Some(upstream) = self.fleet.get_mut(key) {
            upstream.begin_load(now, ticket, revision);
        }
    }

    pub(super) fn unload(
        &mut self,
        now: Instant,
        key: key::Upstream,
        revision: key::Revision,
        reason: Reason,
    ) {
        let name = self.catalog.revision(revision).name.clone();
        let order = engine::Order::Unload { name };
        let ticket = self.order(key, revision, order, reason);
        if let Some(upstream) = self.fleet.get_mut(key) {
            upstream.begin_unload(now, ticket, revision);
        }
    }

    /// Gives an order to a listed engine, and returns its ticket.
    fn order(
        &mut self,
        key: key::Upstream,
        revision: key::Revision,
        order: engine::Order,
        reason: Reason,
    ) -> Ticket {
        let ticket = self.effects.ticket();
        let Some(upstream) = self.fleet.get(key) else { return ticket };
        let load = matches!(order, engine::Order::Load { .. });
        self.orders.give(ticket, Order { revision, load });
        self.effects.push(Effect::Decide(Decision {
            request: None,
            name: order.name().clone(),
            chosen: Some(upstream.listing.name.clone()),
            reason,
            runners_up: Vec::new(),
        }));
        self.effects.push(Effect::Order {
            ticket,
            upstream: key,
            address: upstream.listing.address,
            order,
            fencing: self.membership.view().version,
        });
        ticket
    }

    /// Returns whether this instance knows what is in use on an engine well enough to unload.
    ///
    /// A former owner's requests are seen only in a report that was sampled after it stopped
    /// sending, and after what it sent last has arrived.
    pub(super) fn may_unload(&self, now: Instant, key: key::Upstream) -> bool {
        let (Some(upstream), Some(alone)) = (self.fleet.get(key), self.ownership.alone_since(key))
        else {
            return false;
        };
        self.may_order(now, key) && upstream.sampled >= alone + IN_FLIGHT
    }

    /// Returns whether this instance may give an engine orders at `now`.
    pub(super) fn may_order(&self, now: Instant, key: key::Upstream) -> bool {
        let fenced = self.is_fenced(key);
        self.membership.holds_lease(now) && self.ownership.is_settled(key, fenced)
    }

    /// Returns whether an engine checks fencing numbers.
    fn is_fenced(&self, key: key::Upstream) -> bool {
        let pool = self.fleet.get(key).and_then(|engine| self.catalog.pool(&engine.listing.pool));
        pool.is_some_and(|pool| pool.fencing == Fencing::Checked)
    }
}
