//! Who owns which upstream, and which instances are home to a base model's adapters.
//!
//! The index is rebuilt when a view, the list or the pools change, so that a routing decision costs
//! the same however many upstreams there are; see `docs/DESIGN.md`, section "Ownership".

use slotmap::SecondaryMap;

use crate::catalog::Catalog;
use crate::fleet::Fleet;
use crate::hash::{digest, score};
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
    /// The upstreams that this instance owns, with when it gained them.
    mine: SecondaryMap<key::Upstream, Instant>,
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
        let former = std::mem::take(&mut self.mine);
        let own = membership.identity();
        for (key, upstream) in fleet.iter() {
            let listing = &upstream.listing;
            let Some(view) = membership.view_of(&listing.region) else { continue };
            let Some(owner) = view.owner(upstream.digest) else { continue };
            let mine = owner.name == own.name;
            if mine {
                self.mine.insert(key, former.get(key).copied().unwrap_or(now));
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
        self.mine.contains_key(key)
    }

    /// Returns when this instance gained an upstream that it owns.
    pub fn gained(&self, key: key::Upstream) -> Option<Instant> {
        self.mine.get(key).copied()
    }

    /// Returns the upstreams that this instance owns.
    pub fn mine(&self) -> impl Iterator<Item = key::Upstream> {
        self.mine.keys()
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
