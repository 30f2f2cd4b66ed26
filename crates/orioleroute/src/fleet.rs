//! The upstreams, what they hold and what runs on them.

use slotmap::{SecondaryMap, SlotMap};

use crate::engine::Report;
use crate::hash::digest;
use crate::instance::{Listing, Phase};
use crate::prelude::*;

/// How long a report is believed.
pub const REPORT_LIFE: Duration = Duration::from_millis(3_000);

/// Where a revision is in its life on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Residency {
    /// A load was ordered.
    Loading,
    /// It answers requests.
    Loaded,
    /// An unload was ordered.
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
}

impl Upstream {
    /// Returns whether new work may be given to it at `now`.
    pub fn is_open(&self, now: Instant) -> bool {
        self.listing.phase == Phase::Live && now >= self.ejected_until
    }

    /// Returns whether a revision is loaded on it.
    pub fn has_loaded(&self, revision: key::Revision) -> bool {
        self.residents
            .get(&revision)
            .is_some_and(|resident| resident.residency == Residency::Loaded)
    }

    /// Returns whether the last report is still believed at `now`.
    pub fn is_known(&self, now: Instant) -> bool {
        self.reported.is_some_and(|taken| now < taken + REPORT_LIFE)
    }
}

/// All listed upstreams.
#[derive(Debug, Default)]
pub struct Fleet {
    upstreams: SlotMap<key::Upstream, Upstream>,
    by_name: Map<Arc<str>, key::Upstream>,
    foreign: SecondaryMap<key::Upstream, Vec<Arc<str>>>,
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

    /// Returns the served names on an engine that no document in force has had.
    pub fn foreign(&self, key: key::Upstream) -> &[Arc<str>] {
        self.foreign.get(key).map_or(&[], |names| names)
    }

    /// Takes a report: the engine's word decides what is loaded, save for orders under way.
    pub fn report(
        &mut self,
        now: Instant,
        key: key::Upstream,
        report: &Report,
        find: impl Fn(&str) -> Option<key::Revision>,
    ) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        if upstream.incarnation != report.incarnation {
            // A restart loses what was loaded, and every order under way with it.
            upstream.residents.retain(|_, resident| resident.running > 0);
            upstream.incarnation = report.incarnation;
        }
        upstream.reported = Some(now);
        upstream.sampled = upstream.probed - Duration::from_millis(report.age_ms.into());
        let mut seen = Set::default();
        let mut foreign = Vec::new();
        for loaded in &report.loaded {
            let Some(revision) = find(&loaded.name) else {
                foreign.push(loaded.name.clone());
                continue;
            };
            seen.insert(revision);
            let resident = upstream.residents.entry(revision).or_insert(Resident {
                residency: Residency::Loaded,
                running: 0,
                reported: 0,
                used: now,
            });
            resident.reported = loaded.running;
        }
        upstream.residents.retain(|revision, resident| {
            seen.contains(revision) || resident.residency == Residency::Loading
        });
        self.foreign.insert(key, foreign);
    }
}
