//! The upstreams, what they hold and what runs on them.

use slotmap::SlotMap;

use crate::engine::{Outcome, Report};
use crate::hash::digest;
use crate::instance::{Listing, Phase};
use crate::key::Ticket;
use crate::prelude::*;

mod order;

pub use order::LATE_ORDER;
use order::Order;

/// How long a request may take from an instance to the engine.
pub const IN_FLIGHT: Duration = Duration::from_millis(500);

/// How long a report is believed.
pub const REPORT_LIFE: Duration = Duration::from_millis(3_000);

/// Where a revision is in its life on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Residency {
    /// A load was ordered, and may or may not have been done.
    Loading,
    /// It answers requests.
    Loaded,
    /// An unload was ordered, and may or may not have been done; it gets no new requests.
    Unloading,
}

/// A revision on an engine.
#[derive(Clone, Copy, Debug)]
pub struct Resident {
    /// Where it is in its life.
    pub residency: Residency,
    /// The requests that this instance has running on it.
    pub running: u32,
    /// The requests that the engine last said are running on it.
    pub reported: u32,
    /// When it last had a request.
    pub used: Instant,
    /// Until when a report may be too old to show a request that was given up.
    pub unsure_until: Instant,
}

impl Resident {
    /// Returns a revision with `reported` requests on the engine and none of this instance's.
    pub fn new(residency: Residency, reported: u32, now: Instant) -> Self {
        let unsure_until = Instant::ZERO;
        Self { residency, running: 0, reported, used: now, unsure_until }
    }
}

/// An upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// The platform's listing.
    pub listing: Listing,
    /// A digest of the name, for rendezvous hashing.
    pub digest: u64,
    /// What it holds, or is ordered to hold.
    pub residents: Map<key::Revision, Resident>,
    /// The requests that this instance has running on it.
    pub running: u32,
    /// The engine's incarnation, from its last report.
    pub incarnation: u64,
    /// When the last report was taken.
    pub reported: Option<Instant>,
    /// A time before which the last report cannot have been sampled, from when it was asked for and
    /// how old the engine said it was.
    pub sampled: Instant,
    /// When the report under way was asked for.
    pub probed: Instant,
    /// When the next report is asked for.
    pub next_probe: Instant,
    /// Until when it gets no new work because calls to it failed.
    pub ejected_until: Instant,
    /// Whether its last report said that it is leaving, which the list shows later.
    pub draining: bool,
    /// Whether this instance owns it and no former owner can unload what it holds.
    pub safe: bool,
    /// Whether a report is under way; a second one could be taken for the first.
    pub probing: bool,
    orders: Map<key::Revision, Order>,
}

impl Upstream {
    /// Returns whether it is leaving, as the list or its own report says.
    pub fn is_leaving(&self) -> bool {
        self.listing.phase == Phase::Leaving || self.draining
    }

    /// Returns whether new work may be given to it at `now`.
    pub fn is_open(&self, now: Instant) -> bool {
        !self.is_leaving() && now >= self.ejected_until
    }

    /// Returns whether a revision that is loaded on it may be used.
    pub fn has_loaded(&self, revision: key::Revision) -> bool {
        self.safe && self.holds(revision)
    }

    /// Returns whether a revision is loaded on it, as far as is known.
    fn holds(&self, revision: key::Revision) -> bool {
        let resident = self.residents.get(&revision);
        resident.is_some_and(|resident| resident.residency == Residency::Loaded)
    }

    /// Returns whether the last report is still believed at `now`.
    pub fn is_known(&self, now: Instant) -> bool {
        self.reported.is_some_and(|taken| now < taken + REPORT_LIFE)
    }

    /// Notes that a load was ordered; the revision takes a slot from now on.
    pub fn begin_load(&mut self, now: Instant, ticket: Ticket, revision: key::Revision) {
        let resident = Resident::new(Residency::Loading, 0, now);
        self.residents.insert(revision, resident);
        self.orders.insert(revision, Order::UnderWay(ticket, now));
    }

    /// Notes that an unload was ordered; the revision gets no new requests from now on.
    pub fn begin_unload(&mut self, now: Instant, ticket: Ticket, revision: key::Revision) {
        if let Some(resident) = self.residents.get_mut(&revision) {
            resident.residency = Residency::Unloading;
        }
        self.orders.insert(revision, Order::UnderWay(ticket, now));
    }

    /// Notes the outcome of an order, unless a report has settled it already.
    pub fn end_order(
        &mut self,
        now: Instant,
        ticket: Ticket,
        revision: key::Revision,
        outcome: Outcome,
    ) {
        let Some(Order::UnderWay(given, _)) = self.orders.get(&revision) else { return };
        if *given != ticket {
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

    /// Notes that the engine denied holding a revision that counts as loaded.
    pub fn deny(&mut self, now: Instant, revision: key::Revision) {
        if self.holds(revision) {
            self.orders.insert(revision, Order::Ended(now));
            self.lose(revision);
        }
    }

    /// Gives a revision up that the engine does not hold, once none of its requests is left.
    ///
    /// Requests on their way to the engine would run if the revision were loaded again, so that
    /// their number must not be forgotten.
    fn lose(&mut self, revision: key::Revision) {
        let Some(resident) = self.residents.get_mut(&revision) else { return };
        if resident.running > 0 {
            resident.residency = Residency::Unloading;
        } else {
            self.residents.remove(&revision);
        }
    }

    /// Notes that a request on a revision was given up while the engine may still run it.
    ///
    /// The revision counts as in use until a report that was sampled after the request must have
    /// reached the engine shows otherwise.
    pub fn give_up(&mut self, now: Instant, revision: key::Revision) {
        if let Some(resident) = self.residents.get_mut(&revision) {
            resident.unsure_until = now + IN_FLIGHT;
            resident.reported = resident.reported.max(1);
        }
    }

    /// Compares a revision that the engine holds with the orders given, and returns the ticket of a
    /// load that is thereby known to be done.
    fn take_seen(&mut self, now: Instant, revision: key::Revision, running: u32) -> Option<Ticket> {
        let sampled = self.sampled;
        let order = self.orders.get(&revision).copied();
        let Some(resident) = self.residents.get_mut(&revision) else {
            let stale = order.is_some_and(|order| !order.is_disproved_at(sampled));
            if !stale {
                let residency = Residency::Loaded;
                self.residents.insert(revision, Resident::new(residency, running, now));
            }
            return None;
        };
        let least = u32::from(sampled < resident.unsure_until);
        resident.reported = running.max(least);
        let settled = order.is_none_or(|order| match resident.residency {
            Residency::Loading | Residency::Loaded => order.is_proved_at(sampled),
            Residency::Unloading => order.is_disproved_at(sampled),
        });
        if !settled {
            return None;
        }
        let loads = resident.residency == Residency::Loading;
        resident.residency = Residency::Loaded;
        self.orders.remove(&revision);
        order.filter(|_| loads).and_then(Order::ticket)
    }

    /// Compares the residents that the engine does not hold with the orders given.
    fn take_unseen(&mut self, seen: &Set<key::Revision>) {
        let unseen: Vec<(key::Revision, Residency)> = self
            .residents
            .iter()
            .filter(|(revision, _)| !seen.contains(*revision))
            .map(|(revision, resident)| (*revision, resident.residency))
            .collect();
        for (revision, residency) in unseen {
            let order = self.orders.get(&revision).copied();
            let settled = order.is_none_or(|order| match (residency, order) {
                // An unload under way might still take effect on what is loaded after it.
                (Residency::Unloading, Order::UnderWay(..)) => false,
                (Residency::Unloading, _) => order.is_proved_at(self.sampled),
                (Residency::Loading | Residency::Loaded, _) => order.is_disproved_at(self.sampled),
            });
            if settled {
                self.orders.remove(&revision);
                self.lose(revision);
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
    /// Brings the upstreams to the platform's list.
    pub fn list(&mut self, listings: &[Listing]) {
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
            reported: None,
            sampled: Instant::ZERO,
            probed: Instant::ZERO,
            next_probe: Instant::ZERO,
            ejected_until: Instant::ZERO,
            draining: false,
            safe: false,
            probing: false,
            orders: Map::default(),
        });
        self.by_name.insert(listing.name.clone(), key);
    }

    /// Returns an upstream, if it is still listed.
    pub fn get(&self, key: key::Upstream) -> Option<&Upstream> {
        self.upstreams.get(key)
    }

    /// Returns an upstream for changes, if it is still listed.
    pub fn get_mut(&mut self, key: key::Upstream) -> Option<&mut Upstream> {
        self.upstreams.get_mut(key)
    }

    /// Returns all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (key::Upstream, &Upstream)> {
        self.upstreams.iter()
    }

    /// Returns all upstreams for changes.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (key::Upstream, &mut Upstream)> {
        self.upstreams.iter_mut()
    }

    /// Takes a report, and returns the tickets of the loads that it shows to be done.
    ///
    /// The engine's word decides what is loaded, save for orders that its figures are too old for.
    /// Served names that `find` does not know are passed over.
    pub fn report(
        &mut self,
        now: Instant,
        key: key::Upstream,
        report: &Report,
        find: impl Fn(&str) -> Option<key::Revision>,
    ) -> Vec<Ticket> {
        let Some(upstream) = self.upstreams.get_mut(key) else { return Vec::new() };
        // An age in whole milliseconds is rounded down.
        let age = Duration::from_millis(u64::from(report.age_ms) + 1);
        let sampled = upstream.probed - age;
        if sampled < upstream.sampled {
            return Vec::new();
        }
        upstream.sampled = sampled;
        upstream.reported = Some(now);
        upstream.incarnation = report.incarnation;
        upstream.draining = report.draining;
        let mut seen = Set::default();
        let mut done = Vec::new();
        for loaded in &report.loaded {
            let Some(revision) = find(&loaded.name) else { continue };
            seen.insert(revision);
            done.extend(upstream.take_seen(now, revision, loaded.running));
        }
        upstream.take_unseen(&seen);
        let residents = &upstream.residents;
        upstream.orders.retain(|revision, order| {
            residents.contains_key(revision) || !order.is_disproved_at(sampled)
        });
        done
    }
}
