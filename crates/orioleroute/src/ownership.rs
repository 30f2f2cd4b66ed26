//! Who owns which upstream, and which instances are home to a base model's adapters.
//!
//! The index is rebuilt when a view, the list or the pools change, so that a routing decision costs
//! the same however many upstreams there are; see `docs/DESIGN.md`, section "Ownership".

use crate::catalog::Catalog;
use crate::fleet::Fleet;
use crate::hash::{digest, score, winner};
use crate::instance::Instance as Identity;
use crate::membership::Membership;
use crate::prelude::*;

/// An instance that owns upstreams of some base model.
#[derive(Clone, Debug)]
pub struct Home {
    /// The instance.
    pub instance: Identity,
    /// A digest of its name, for rendezvous hashing.
    pub digest: u64,
    /// The upstreams of the base model that it owns.
    pub upstreams: u32,
}

/// How far this instance may go with an upstream that it owns.
///
/// A former owner may act until its lease lapses, so that the right to order and the right to unload
/// come later than the ownership. Once there, they last through the following views, since nobody
/// else has owned the upstream since; see `docs/DESIGN.md`, section "Leases".
#[derive(Clone, Copy, Debug)]
struct Tenure {
    /// When it gained the upstream.
    gained: Instant,
    /// When every member had applied a view in which it owns the upstream.
    settled: Option<Instant>,
    /// When the leases of all former owners had lapsed.
    lapsed: Option<Instant>,
    /// Whether the upstream is known to refuse the orders of all former owners.
    fenced: bool,
}

impl Home {
    /// Returns the score of this home for a revision, by which homes share the revisions in
    /// proportion to their upstreams.
    fn score(&self, revision: u64) -> f64 {
        score(revision, self.digest, self.upstreams)
    }
}

/// The index of one instance.
#[derive(Debug, Default)]
pub struct Ownership {
    homes: Map<Arc<str>, Map<Arc<str>, Vec<Home>>>,
    owned: Map<Arc<str>, Vec<key::Upstream>>,
    /// The upstreams that this instance owns; a map, since walking a secondary map costs as much
    /// as there are upstreams.
    mine: Map<key::Upstream, Tenure>,
    /// The version of the view of the own region that the index was built from.
    version: u64,
}

impl Ownership {
    /// Brings the index to the views, the list and the pools.
    pub fn rebuild(
        &mut self,
        now: Instant,
        membership: &Membership,
        fleet: &Fleet,
        catalog: &Catalog,
    ) {
        self.homes.clear();
        self.owned.clear();
        let mut former = std::mem::take(&mut self.mine);
        let version = membership.view().version;
        if version > self.version + 1 {
            // Somebody else may have owned anything in a view that was passed over.
            former.clear();
        }
        self.version = version;
        let own = membership.identity();
        // The names of members are digested once, not once for each upstream.
        let regions: Map<&str, Vec<(u64, &Identity)>> =
            membership.views().map(|view| (&*view.region, view.digests().collect())).collect();
        for (key, upstream) in fleet.iter() {
            let listing = &upstream.listing;
            let Some(members) = regions.get(&*listing.region) else { continue };
            let Some(owner) = winner(upstream.digest, members.iter().copied()) else { continue };
            let mine = owner.name == own.name;
            if mine {
                let fresh = Tenure { gained: now, settled: None, lapsed: None, fenced: false };
                self.mine.insert(key, former.get(&key).copied().unwrap_or(fresh));
            }
            let Some(pool) = catalog.pool(&listing.pool) else { continue };
            let models = self.homes.entry(listing.region.clone()).or_default();
            add_home(models.entry(pool.model.clone()).or_default(), owner);
            if mine && listing.region == own.region {
                self.owned.entry(pool.model.clone()).or_default().push(key);
            }
        }
    }

    /// Returns whether this instance owns an upstream.
    pub fn is_mine(&self, key: key::Upstream) -> bool {
        self.mine.contains_key(&key)
    }

    /// Notes how far the rights to the owned upstreams have come at `now`, and returns whether there
    /// are upstreams on which the leases of all former owners have now lapsed.
    pub fn mature(&mut self, now: Instant, membership: &Membership) -> bool {
        let settled = membership.settled_at();
        let lapsed = membership.lapsed_at().filter(|lapsed| now >= *lapsed);
        let mut any = false;
        for tenure in self.mine.values_mut() {
            tenure.settled = tenure.settled.or(settled);
            any |= tenure.lapsed.is_none() && lapsed.is_some();
            tenure.lapsed = tenure.lapsed.or(lapsed);
        }
        any
    }

    /// Returns whether former owners of an upstream can give no orders that it would take.
    ///
    /// Engines that check fencing numbers refuse them, so there is no wait for their leases.
    pub fn is_settled(&self, key: key::Upstream, fenced: bool) -> bool {
        self.mine.get(&key).is_some_and(|tenure| match fenced {
            true => tenure.settled.is_some(),
            false => tenure.lapsed.is_some(),
        })
    }

    /// Notes that an upstream that checks fencing numbers has done an order of this instance's.
    pub fn fence(&mut self, key: key::Upstream) {
        if let Some(tenure) = self.mine.get_mut(&key) {
            tenure.fenced = true;
        }
    }

    /// Returns whether no former owner can unload anything from an owned upstream any more, so that
    /// what it holds can be used.
    pub fn is_safe(&self, key: key::Upstream) -> bool {
        self.mine.get(&key).is_some_and(|tenure| tenure.fenced || tenure.lapsed.is_some())
    }

    /// Returns since when no other instance sends requests to an owned upstream.
    ///
    /// Fencing numbers are on orders only, so that a former owner's lease counts for all engines.
    pub fn alone_since(&self, key: key::Upstream) -> Option<Instant> {
        let tenure = self.mine.get(&key)?;
        tenure.lapsed.map(|lapsed| lapsed.max(tenure.gained))
    }

    /// Returns the upstreams that this instance owns.
    pub fn mine(&self) -> impl Iterator<Item = key::Upstream> {
        self.mine.keys().copied()
    }

    /// Returns the owned upstreams that run a base model.
    pub fn owned(&self, model: &str) -> &[key::Upstream] {
        self.owned.get(model).map_or(&[], |keys| keys)
    }

    /// Returns the instance of a region that is home to a revision with this digest.
    pub fn home(&self, region: &str, model: &str, revision: u64) -> Option<&Home> {
        let homes = self.homes.get(region)?.get(model)?;
        homes.iter().max_by(|one, other| one.score(revision).total_cmp(&other.score(revision)))
    }

    /// Returns the homes of a revision in a region, in order of preference.
    pub fn homes(&self, region: &str, model: &str, revision: u64) -> Vec<&Home> {
        let homes = self.homes.get(region).and_then(|models| models.get(model));
        let mut homes: Vec<&Home> = homes.into_iter().flatten().collect();
        homes.sort_by(|one, other| other.score(revision).total_cmp(&one.score(revision)));
        homes
    }
}

fn add_home(homes: &mut Vec<Home>, owner: &Identity) {
    match homes.iter_mut().find(|home| home.instance.name == owner.name) {
        Some(home) => home.upstreams += 1,
        None => {
            let digest = digest(&*owner.name);
            homes.push(Home { instance: owner.clone(), digest, upstreams: 1 });
        }
    }
}
