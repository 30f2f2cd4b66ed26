//! The upstreams, the revisions that they hold and the requests that run on them.

use slotmap::SlotMap;

use crate::engine::{Outcome, Report};
use crate::hash::digest;
use crate::instance::{Listing, Phase};
use crate::key::Ticket;
use crate::prelude::*;

mod order;

pub use order::MAX_ORDER_DELAY;
use order::Order;

/// Maximum time that a request takes from an instance to an engine.
pub const MAX_REQUEST_DELAY: Duration = Duration::from_millis(500);

/// How long a report is considered current.
pub const REPORT_TTL: Duration = Duration::from_millis(3_000);

/// The state of a revision on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Residency {
    /// A load was ordered and may or may not have been carried out.
    Loading,
    /// The revision is loaded and answers requests.
    Loaded,
    /// An unload was ordered and may or may not have been carried out. The revision gets no new
    /// requests.
    Unloading,
}

/// A revision on an engine.
#[derive(Clone, Copy, Debug)]
pub struct Resident {
    /// The state of the revision on the engine.
    pub residency: Residency,
    /// The number of requests that this instance is running on it.
    pub running: u32,
    /// The number of requests that were running on it according to the engine's last report.
    pub reported_running: u32,
    /// When a request of this instance last started or ended on it, initially when it was added.
    pub last_used: Instant,
    /// Reports sampled before this time may be too old to show a request that this instance
    /// abandoned.
    pub uncertain_until: Instant,
}

impl Resident {
    /// Returns a resident with `reported_running` requests on the engine, none of which are this
    /// instance's.
    pub fn new(residency: Residency, reported_running: u32, now: Instant) -> Self {
        let uncertain_until = Instant::ZERO;
        Self { residency, running: 0, reported_running, last_used: now, uncertain_until }
    }
}

/// An upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// The platform's listing.
    pub listing: Listing,
    /// A digest of the name, for rendezvous hashing.
    pub digest: u64,
    /// The revisions that it holds or was ordered to hold.
    pub residents: Map<key::Revision, Resident>,
    /// The number of requests that this instance is running on it.
    pub running: u32,
    /// The engine's incarnation, from its last report.
    pub incarnation: u64,
    /// When the last report was received.
    pub reported_at: Option<Instant>,
    /// A lower bound for the time at which the last report was sampled, derived from the time of
    /// its request and the age that the engine stated.
    pub sampled: Instant,
    /// When the report in flight was requested.
    pub probed: Instant,
    /// When the next report is due to be requested.
    pub next_probe: Instant,
    /// Until when it is ejected, that is, gets no new work because calls to it failed.
    pub ejected_until: Instant,
    /// Whether its last report said that it is draining, which the platform's list shows later.
    pub draining: bool,
    /// Whether this instance owns it and no previous owner can unload what it holds.
    pub is_exclusive: bool,
    /// Whether a report is in flight. Only one is requested at a time, since two could be mistaken
    /// for each other.
    pub probing: bool,
    orders: Map<key::Revision, Order>,
}

impl Upstream {
    /// Returns whether it is leaving according to the platform's list or its own report.
    pub fn is_leaving(&self) -> bool {
        self.listing.phase == Phase::Leaving || self.draining
    }

    /// Returns whether new work may be sent to it at `now`.
    pub fn is_open(&self, now: Instant) -> bool {
        !self.is_leaving() && now >= self.ejected_until
    }

    /// Returns whether a revision is loaded on it and may be used.
    pub fn has_loaded(&self, revision: key::Revision) -> bool {
        self.is_exclusive && self.holds(revision)
    }

    /// Returns whether a revision is loaded on it, according to orders and reports.
    fn holds(&self, revision: key::Revision) -> bool {
        let resident = self.residents.get(&revision);
        resident.is_some_and(|resident| resident.residency == Residency::Loaded)
    }

    /// Returns whether the last report is still current at `now`.
    pub fn has_fresh_report(&self, now: Instant) -> bool {
        self.reported_at.is_some_and(|taken| now < taken + REPORT_TTL)
    }

    /// Records that a load was ordered. From now on, the revision takes an adapter slot.
    pub fn begin_load(&mut self, now: Instant, ticket: Ticket, revision: key::Revision) {
        let resident = Resident::new(Residency::Loading, 0, now);
        self.residents.insert(revision, resident);
        self.orders.insert(revision, Order::InFlight(ticket, now));
    }

    /// Records that an unload was ordered. From now on, the revision gets no new requests.
    pub fn begin_unload(&mut self, now: Instant, ticket: Ticket, revision: key::Revision) {
        if let Some(resident) = self.residents.get_mut(&revision) {
            resident.residency = Residency::Unloading;
        }
        self.orders.insert(revision, Order::InFlight(ticket, now));
    }

    /// Records the outcome of an order, unless a report has already settled the order.
    pub fn end_order(
        &mut self,
        now: Instant,
        ticket: Ticket,
        revision: key::Revision,
        outcome: Outcome,
    ) {
        let Some(Order::InFlight(pending, _)) = self.orders.get(&revision) else { return };
        if *pending != ticket {
            return;
        }
        if outcome == Outcome::Unknown {
            self.orders.insert(revision, Order::Unanswered(ticket, now));
            return;
        }
        self.orders.insert(revision, Order::Ended(now));
        let Some(resident) = self.residents.get_mut(&revision) else { return };
        let loads = resident.residency == Residency::Loading;
        match loads == (outcome == Outcome::Done) {
            true => resident.residency = Residency::Loaded,
            false => {
                self.residents.remove(&revision);
            }
        }
    }

    /// Records that the engine turned out not to hold a revision that was considered loaded.
    pub fn mark_not_loaded(&mut self, now: Instant, revision: key::Revision) {
        if self.holds(revision) {
            self.orders.insert(revision, Order::Ended(now));
            self.remove_resident(revision);
        }
    }

    /// Removes a revision that the engine does not hold, once none of its requests is left.
    ///
    /// Requests on their way to the engine would run if the revision were loaded again, so they
    /// must remain counted.
    fn remove_resident(&mut self, revision: key::Revision) {
        let Some(resident) = self.residents.get_mut(&revision) else { return };
        if resident.running > 0 {
            resident.residency = Residency::Unloading;
        } else {
            self.residents.remove(&revision);
        }
    }

    /// Records that this instance abandoned a request on a revision while the engine may still run
    /// it.
    ///
    /// The revision counts as in use until a report shows otherwise and was sampled late enough
    /// that the request must have reached the engine before.
    pub fn mark_abandoned(&mut self, now: Instant, revision: key::Revision) {
        if let Some(resident) = self.residents.get_mut(&revision) {
            resident.uncertain_until = now + MAX_REQUEST_DELAY;
            resident.reported_running = resident.reported_running.max(1);
        }
    }

    /// Compares a revision that the engine reported with the last order for it. Returns the ticket
    /// of a load that the report confirms.
    fn handle_reported(
        &mut self,
        now: Instant,
        revision: key::Revision,
        running: u32,
    ) -> Option<Ticket> {
        let sampled = self.sampled;
        let order = self.orders.get(&revision).copied();
        let Some(resident) = self.residents.get_mut(&revision) else {
            let stale = order.is_some_and(|order| !order.is_refuted_at(sampled));
            if !stale {
                let residency = Residency::Loaded;
                self.residents.insert(revision, Resident::new(residency, running, now));
            }
            return None;
        };
        let lower_bound = u32::from(sampled < resident.uncertain_until);
        resident.reported_running = running.max(lower_bound);
        let settled = order.is_none_or(|order| match resident.residency {
            Residency::Loading | Residency::Loaded => order.is_confirmed_at(sampled),
            Residency::Unloading => order.is_refuted_at(sampled),
        });
        if !settled {
            return None;
        }
        let loads = resident.residency == Residency::Loading;
        resident.residency = Residency::Loaded;
        self.orders.remove(&revision);
        order.filter(|_| loads).and_then(Order::ticket)
    }

    /// Compares the residents that the engine did not report with the last orders for them.
    fn handle_unreported(&mut self, reported_revisions: &Set<key::Revision>) {
        let unreported: Vec<(key::Revision, Residency)> = self
            .residents
            .iter()
            .filter(|(revision, _)| !reported_revisions.contains(*revision))
            .map(|(revision, resident)| (*revision, resident.residency))
            .collect();
        for (revision, residency) in unreported {
            let order = self.orders.get(&revision).copied();
            let settled = order.is_none_or(|order| match (residency, order) {
                // An unload in flight may still take effect on a load that follows it.
                (Residency::Unloading, Order::InFlight(..)) => false,
                (Residency::Unloading, _) => order.is_confirmed_at(self.sampled),
                (Residency::Loading | Residency::Loaded, _) => order.is_refuted_at(self.sampled),
            });
            if settled {
                self.orders.remove(&revision);
                self.remove_resident(revision);
            }
        }
    }
}

/// All listed upstreams.
#[derive(Debug, Default)]
pub struct Fleet {
    upstreams: SlotMap<key::Upstream, Upstream>,
    by_name: Map<Arc<str>, key::Upstream>,
}

impl Fleet {
    /// Updates the upstreams to match the platform's list.
    pub fn apply_listing(&mut self, listings: &[Listing]) {
        let listed: Set<&str> = listings.iter().map(|listing| &*listing.name).collect();
        self.upstreams.retain(|_, upstream| listed.contains(&*upstream.listing.name));
        self.by_name.retain(|name, _| listed.contains(&**name));
        for listing in listings {
            match self.by_name.get(&listing.name) {
                Some(key) => self.upstreams[*key].listing = listing.clone(),
                None => self.add(listing),
            }
        }
    }

    fn add(&mut self, listing: &Listing) {
        let key = self.upstreams.insert(Upstream {
            digest: digest(&*listing.name),
            listing: listing.clone(),
            residents: Map::default(),
            running: 0,
            incarnation: 0,
            reported_at: None,
            sampled: Instant::ZERO,
            probed: Instant::ZERO,
            next_probe: Instant::ZERO,
            ejected_until: Instant::ZERO,
            draining: false,
            is_exclusive: false,
            probing: false,
            orders: Map::default(),
        });
        self.by_name.insert(listing.name.clone(), key);
    }

    /// Returns an upstream, if it is still listed.
    pub fn get(&self, key: key::Upstream) -> Option<&Upstream> {
        self.upstreams.get(key)
    }

    /// Returns a mutable reference to an upstream, if it is still listed.
    pub fn get_mut(&mut self, key: key::Upstream) -> Option<&mut Upstream> {
        self.upstreams.get_mut(key)
    }

    /// Returns all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (key::Upstream, &Upstream)> {
        self.upstreams.iter()
    }

    /// Returns mutable references to all upstreams.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (key::Upstream, &mut Upstream)> {
        self.upstreams.iter_mut()
    }

    /// Applies a report and returns the tickets of the loads that it confirms.
    ///
    /// The report decides what is loaded, except for orders that are too recent to show in its
    /// figures. Served names for which `find` returns `None` are ignored.
    pub fn apply_report(
        &mut self,
        now: Instant,
        key: key::Upstream,
        report: &Report,
        find: impl Fn(&str) -> Option<key::Revision>,
    ) -> Vec<Ticket> {
        let Some(upstream) = self.upstreams.get_mut(key) else { return Vec::new() };
        // The reported age is rounded down to whole milliseconds.
        let age = Duration::from_millis(u64::from(report.age_ms) + 1);
        let sampled = upstream.probed - age;
        if sampled < upstream.sampled {
            return Vec::new();
        }
        upstream.sampled = sampled;
        upstream.reported_at = Some(now);
        upstream.incarnation = report.incarnation;
        upstream.draining = report.draining;
        let mut reported_revisions = Set::default();
        let mut confirmed = Vec::new();
        for loaded in &report.loaded {
            let Some(revision) = find(&loaded.name) else { continue };
            reported_revisions.insert(revision);
            confirmed.extend(upstream.handle_reported(now, revision, loaded.running));
        }
        upstream.handle_unreported(&reported_revisions);
        let residents = &upstream.residents;
        upstream.orders.retain(|revision, order| {
            residents.contains_key(revision) || !order.is_refuted_at(sampled)
        });
        confirmed
    }
}
