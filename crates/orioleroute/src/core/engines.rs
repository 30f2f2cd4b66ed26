//! Orders to the engines that this instance owns, and the handling of their reports.

use super::Core;
use crate::document::Fencing;
use crate::engine::{self, Report};
use crate::fleet::{MAX_REQUEST_DELAY, Residency};
use crate::key::Ticket;
use crate::orders::Order;
use crate::prelude::*;
use crate::routing::{Decision, Reason};

/// Interval between report requests to an engine.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

impl Core {
    /// Requests the reports of owned engines that are due.
    pub(super) fn probe(&mut self, now: Instant) {
        for key in self.ownership.owned_upstreams() {
            let Some(upstream) = self.fleet.get_mut(key) else { continue };
            let engine = self.catalog.pool(&upstream.listing.pool).is_some();
            if engine && !upstream.probing && now >= upstream.next_probe {
                upstream.probing = true;
                upstream.next_probe = now + PROBE_INTERVAL;
                upstream.probed = now;
                let address = upstream.listing.address;
                self.effects.push(Effect::Probe { upstream: key, address });
            }
        }
    }

    /// Handles an engine's report and dispatches waiting requests to what it now has loaded.
    pub(super) fn handle_report(
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
        let confirmed = self.fleet.apply_report(now, key, report, |name| catalog.find(name));
        for ticket in confirmed {
            self.finish_confirmed_load(key, ticket);
        }
        self.reconcile(now);
        self.serve_waiting(now);
    }

    /// Finishes a load that a report confirmed before its reply arrived.
    fn finish_confirmed_load(&mut self, key: key::Upstream, ticket: Ticket) {
        if let Some(order) = self.orders.finish(ticket) {
            self.orders.clear_failures(key, order.revision);
        }
    }

    /// Records that an engine carried out an order. If it checks fencing tokens, it now refuses the
    /// orders of previous owners.
    fn record_fence(&mut self, key: key::Upstream) {
        if self.checks_fencing(key) {
            self.ownership.mark_fenced(key);
            self.update_exclusive();
        }
    }

    /// Updates for each upstream whether this instance may use the revisions loaded on it.
    pub(super) fn update_exclusive(&mut self) {
        for (key, upstream) in self.fleet.iter_mut() {
            upstream.is_exclusive = self.ownership.is_exclusive(key);
        }
    }

    /// Handles the outcome of an order.
    pub(super) fn handle_order_outcome(
        &mut self,
        now: Instant,
        ticket: Ticket,
        key: key::Upstream,
        outcome: engine::Outcome,
    ) {
        let Some(Order { revision, load }) = self.orders.finish(ticket) else { return };
        match outcome {
            engine::Outcome::Done if load => self.orders.clear_failures(key, revision),
            engine::Outcome::Done => {}
            _ => self.orders.record_failure(now, key, revision),
        }
        match outcome {
            engine::Outcome::Done => self.record_fence(key),
            engine::Outcome::Fenced => self.membership.refresh(),
            _ => {}
        }
        let Some(upstream) = self.fleet.get_mut(key) else { return };
        upstream.end_order(now, ticket, revision, outcome);
        // Only a report shows what the engine actually holds, so the next one is requested at once.
        upstream.next_probe = now;
        if outcome == engine::Outcome::Done {
            self.record_completion(now, key, revision, load);
        }
        self.serve_waiting(now);
        self.load_awaited(now);
    }

    /// Updates the estimate of the load time and announces the change to homes in other regions.
    fn record_completion(
        &mut self,
        now: Instant,
        key: key::Upstream,
        revision: key::Revision,
        load: bool,
    ) {
        let resident = self.fleet.get(key).and_then(|upstream| upstream.residents.get(&revision));
        if let Some(resident) = resident.filter(|_| load) {
            // For a resident that was just loaded, this is the time at which the load was ordered.
            self.load_time.observe(now.since(resident.last_used));
        }
        self.announce(revision);
    }

    /// Unloads idle revisions that are not part of the active configuration.
    pub(super) fn reconcile(&mut self, now: Instant) {
        // Without a document, it is unknown what an engine should hold.
        if self.config.version() == 0 {
            return;
        }
        let mut dropped = Vec::new();
        // Only the owner issues orders, and an instance owns few of thousands of upstreams.
        for key in self.ownership.owned_upstreams() {
            let Some(upstream) = self.fleet.get(key) else { continue };
            for (revision, resident) in &upstream.residents {
                let idle = resident.running == 0 && resident.reported_running == 0;
                let loaded = resident.residency == Residency::Loaded;
                if !self.catalog.revision(*revision).current && loaded && idle {
                    dropped.push((key, *revision));
                }
            }
        }
        for (key, revision) in dropped {
            if self.may_unload(now, key) && !self.orders.is_backing_off(now, key, revision) {
                self.unload(now, key, revision, Reason::Dropped);
            }
        }
    }

    pub(super) fn load(&mut self, now: Instant, key: key::Upstream, revision: key::Revision) {
        let name = self.catalog.revision(revision).name.clone();
        let order = engine::Order::Load { name };
        let ticket = self.issue_order(key, revision, order, Reason::Demand);
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
        let ticket = self.issue_order(key, revision, order, reason);
        if let Some(upstream) = self.fleet.get_mut(key) {
            upstream.begin_unload(now, ticket, revision);
        }
    }

    /// Issues an order to a listed engine and returns its ticket.
    fn issue_order(
        &mut self,
        key: key::Upstream,
        revision: key::Revision,
        order: engine::Order,
        reason: Reason,
    ) -> Ticket {
        let ticket = self.effects.ticket();
        let Some(upstream) = self.fleet.get(key) else { return ticket };
        let load = matches!(order, engine::Order::Load { .. });
        self.orders.add(ticket, Order { revision, load });
        self.effects.push(Effect::LogDecision(Decision {
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

    /// Returns whether this instance may unload revisions from an engine at `now`.
    ///
    /// Requests of previous owners are visible only in a report that was sampled after those owners
    /// stopped sending and their last requests arrived at the engine.
    pub(super) fn may_unload(&self, now: Instant, key: key::Upstream) -> bool {
        let (Some(upstream), Some(sole_sender_since)) =
            (self.fleet.get(key), self.ownership.sole_sender_since(key))
        else {
            return false;
        };
        self.may_order(now, key) && upstream.sampled >= sole_sender_since + MAX_REQUEST_DELAY
    }

    /// Returns whether this instance may issue orders to an engine at `now`.
    pub(super) fn may_order(&self, now: Instant, key: key::Upstream) -> bool {
        let checks_fencing = self.checks_fencing(key);
        self.membership.holds_lease(now) && self.ownership.may_order(key, checks_fencing)
    }

    /// Returns whether an engine checks fencing tokens.
    fn checks_fencing(&self, key: key::Upstream) -> bool {
        let pool = self.fleet.get(key).and_then(|engine| self.catalog.pool(&engine.listing.pool));
        pool.is_some_and(|pool| pool.fencing == Fencing::Checked)
    }
}
