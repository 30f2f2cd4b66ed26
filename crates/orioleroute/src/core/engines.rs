//! Orders to the engines that this instance owns, and what they report.

use super::Core;
use crate::engine::{self, Report};
use crate::fleet::{Residency, Resident};
use crate::key::Ticket;
use crate::orders::Order;
use crate::prelude::*;
use crate::routing::{Decision, Reason};

/// Between two reports asked of an engine.
const PROBE: Duration = Duration::from_millis(1_000);

/// How long a request may take from a former owner to the engine.
const IN_FLIGHT: Duration = Duration::from_millis(500);

impl Core {
    /// Asks the owned engines for reports that are due.
    pub(super) fn probe(&mut self, now: Instant) {
        for key in self.ownership.mine() {
            let Some(upstream) = self.fleet.get_mut(key) else { continue };
            let engine = self.catalog.pool(&upstream.listing.pool).is_some();
            if engine && now >= upstream.next_probe {
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
        let Some(report) = report else { return };
        let catalog = &self.catalog;
        self.fleet.report(now, key, report, |name| catalog.find(name));
        self.reconcile(now);
        self.serve_waiting(now);
    }

    /// Takes the outcome of an order.
    pub(super) fn take_ordered(
        &mut self,
        now: Instant,
        ticket: Ticket,
        key: key::Upstream,
        outcome: engine::Outcome,
    ) {
        let Some(Order { revision: Some(revision), load }) = self.orders.end(ticket) else {
            return;
        };
        let Some(upstream) = self.fleet.get_mut(key) else { return };
        // What really holds is what the next report says, so it is asked for at once.
        upstream.next_probe = now;
        match (outcome, load) {
            (engine::Outcome::Done, true) => {
                if let Some(resident) = upstream.residents.get_mut(&revision) {
                    // A resident was last used when its load was ordered.
                    self.load_time.note(now.since(resident.used));
                    resident.residency = Residency::Loaded;
                }
                self.orders.succeed(key, revision);
                self.announce(revision);
            }
            (engine::Outcome::Done, false) => {
                upstream.residents.remove(&revision);
                self.announce(revision);
            }
            (_, true) => {
                upstream.residents.remove(&revision);
                self.orders.fail(now, key, revision);
            }
            (_, false) => {
                if let Some(resident) = upstream.residents.get_mut(&revision) {
                    resident.residency = Residency::Loaded;
                }
                self.orders.fail(now, key, revision);
            }
        }
        self.serve_waiting(now);
        self.place(now);
    }

    /// Unloads what the configuration in force does not have.
    pub(super) fn reconcile(&mut self, now: Instant) {
        let mut dropped = Vec::new();
        for (key, upstream) in self.fleet.iter() {
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
        let resident =
            Resident { residency: Residency::Loading, running: 0, reported: 0, used: now };
        if let Some(upstream) = self.fleet.get_mut(key) {
            upstream.residents.insert(revision, resident);
        }
        let name = self.catalog.revision(revision).name.clone();
        self.order(key, revision, engine::Order::Load { name }, Reason::Demand);
    }

    pub(super) fn unload(
        &mut self,
        _now: Instant,
        key: key::Upstream,
        revision: key::Revision,
        reason: Reason,
    ) {
        let upstream = self.fleet.get_mut(key);
        if let Some(resident) = upstream.and_then(|upstream| upstream.residents.get_mut(&revision))
        {
            resident.residency = Residency::Unloading;
        }
        let name = self.catalog.revision(revision).name.clone();
        self.order(key, revision, engine::Order::Unload { name }, reason);
    }

    fn order(
        &mut self,
        key: key::Upstream,
        revision: key::Revision,
        order: engine::Order,
        reason: Reason,
    ) {
        let Some(upstream) = self.fleet.get(key) else { return };
        let ticket = self.effects.ticket();
        let load = matches!(order, engine::Order::Load { .. });
        self.orders.give(ticket, Order { revision: Some(revision), load });
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
    }

    /// Returns whether this instance knows what is in use on an engine well enough to unload.
    ///
    /// A former owner's requests are seen only in a report that was sampled after it stopped
    /// sending, and after what it sent last has arrived.
    pub(super) fn may_unload(&self, now: Instant, key: key::Upstream) -> bool {
        let (Some(upstream), Some(gained), Some(settled)) =
            (self.fleet.get(key), self.ownership.gained(key), self.membership.settled_at())
        else {
            return false;
        };
        self.may_order(now, key) && upstream.sampled >= gained.max(settled) + IN_FLIGHT
    }

    /// Returns whether this instance may give an engine orders at `now`.
    pub(super) fn may_order(&self, now: Instant, key: key::Upstream) -> bool {
        let Some(upstream) = self.fleet.get(key) else { return false };
        let fenced = self
            .catalog
            .pool(&upstream.listing.pool)
            .is_some_and(|pool| pool.fencing == crate::document::Fencing::Checked);
        self.ownership.is_mine(key)
            && self.membership.holds_lease(now)
            && self.membership.is_settled(now, fenced)
    }
}
