//! The owner of each upstream, and the instances that are home to a base model's adapters.
//!
//! The index is rebuilt when a view, the list of upstreams or the pools change, so that the cost of a
//! routing decision does not depend on the number of upstreams; see `docs/DESIGN.md`, section
//! "Ownership".

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
    /// The number of upstreams of the base model that it owns.
    pub upstreams: u32,
}

/// The rights of this instance on an upstream that it owns.
///
/// A previous owner may act until its lease expires, so the rights to issue orders and to unload are
/// gained later than the ownership. Once gained, they persist through the following views, because
/// no other instance has owned the upstream since; see `docs/DESIGN.md`, section "Leases".
#[derive(Clone, Copy, Debug)]
struct Tenure {
    /// When this instance became the owner.
    gained_at: Instant,
    /// When every member had applied a view in which this instance is the owner.
    acknowledged_at: Option<Instant>,
    /// When the leases of all previous owners had expired.
    leases_expired_at: Option<Instant>,
    /// Whether the upstream is known to refuse the orders of all previous owners.
    fenced: bool,
}

impl Home {
    /// Returns the rendezvous score of this home for a revision, which is weighted so that each home
    /// gets a share of the revisions in proportion to its upstreams.
    fn score(&self, revision: u64) -> f64 {
        score(revision, self.digest, self.upstreams)
    }
}

/// The ownership index of one instance.
#[derive(Debug, Default)]
pub struct Ownership {
    homes: Map<Arc<str>, Map<Arc<str>, Vec<Home>>>,
    owned: Map<Arc<str>, Vec<key::Upstream>>,
    /// The upstreams that this instance owns. This is a hash map because iterating over a slotmap
    /// `SecondaryMap` takes time proportional to all upstreams, not only the owned ones.
    tenures: Map<key::Upstream, Tenure>,
    /// The version of this region's view from which the index was built.
    view_version: u64,
}

impl Ownership {
    /// Rebuilds the index from the views, the list of upstreams and the pools.
    pub fn rebuild(
        &mut self,
        now: Instant,
        membership: &Membership,
        fleet: &Fleet,
        catalog: &Catalog,
    ) {
        self.homes.clear();
        self.owned.clear();
        let mut previous = std::mem::take(&mut self.tenures);
        let version = membership.view().version;
        if version > self.view_version + 1 {
            // In a view that was skipped, another instance may have owned any of the upstreams.
            previous.clear();
        }
        self.view_version = version;
        let own = membership.identity();
        // The digest of each member's name is computed once, not once for each upstream.
        let regions: Map<&str, Vec<(u64, &Identity)>> =
            membership.views().map(|view| (&*view.region, view.digests().collect())).collect();
        for (key, upstream) in fleet.iter() {
            let listing = &upstream.listing;
            let Some(members) = regions.get(&*listing.region) else { continue };
            let Some(owner) = winner(upstream.digest, members.iter().copied()) else { continue };
            let is_owner = owner.name == own.name;
            if is_owner {
                let new_tenure = Tenure {
                    gained_at: now,
                    acknowledged_at: None,
                    leases_expired_at: None,
                    fenced: false,
                };
                self.tenures.insert(key, previous.get(&key).copied().unwrap_or(new_tenure));
            }
            let Some(pool) = catalog.pool(&listing.pool) else { continue };
            let models = self.homes.entry(listing.region.clone()).or_default();
            add_home(models.entry(pool.model.clone()).or_default(), owner);
            if is_owner && listing.region == own.region {
                self.owned.entry(pool.model.clone()).or_default().push(key);
            }
        }
    }

    /// Returns whether this instance owns an upstream.
    pub fn owns(&self, key: key::Upstream) -> bool {
        self.tenures.contains_key(&key)
    }

    /// Updates the rights on the owned upstreams at `now`, and returns whether there are upstreams on
    /// which the leases of all previous owners have newly expired.
    pub fn advance(&mut self, now: Instant, membership: &Membership) -> bool {
        let acknowledged_at = membership.acknowledged_at();
        let expired_at = membership.leases_expire_at().filter(|expire_at| now >= *expire_at);
        let mut any = false;
        for tenure in self.tenures.values_mut() {
            tenure.acknowledged_at = tenure.acknowledged_at.or(acknowledged_at);
            any |= tenure.leases_expired_at.is_none() && expired_at.is_some();
            tenure.leases_expired_at = tenure.leases_expired_at.or(expired_at);
        }
        any
    }

    /// Returns whether this instance may issue orders to an owned upstream, because no order of a
    /// previous owner can still take effect there.
    ///
    /// `checks_fencing` is whether the engine checks fencing tokens. Such engines refuse the orders of
    /// previous owners, so there is no need to wait for their leases to expire.
    pub fn may_order(&self, key: key::Upstream, checks_fencing: bool) -> bool {
        self.tenures.get(&key).is_some_and(|tenure| match checks_fencing {
            true => tenure.acknowledged_at.is_some(),
            false => tenure.leases_expired_at.is_some(),
        })
    }

    /// Records that an upstream that checks fencing tokens has carried out an order of this instance.
    pub fn mark_fenced(&mut self, key: key::Upstream) {
        if let Some(tenure) = self.tenures.get_mut(&key) {
            tenure.fenced = true;
        }
    }

    /// Returns whether no previous owner can still unload anything from an owned upstream, so that
    /// its loaded adapters can be used.
    pub fn is_exclusive(&self, key: key::Upstream) -> bool {
        self.tenures
            .get(&key)
            .is_some_and(|tenure| tenure.fenced || tenure.leases_expired_at.is_some())
    }

    /// Returns since when no other instance sends requests to an owned upstream.
    ///
    /// Only orders carry fencing tokens, so the lease of a previous owner must expire even for
    /// engines that check them.
    pub fn sole_sender_since(&self, key: key::Upstream) -> Option<Instant> {
        let tenure = self.tenures.get(&key)?;
        tenure.leases_expired_at.map(|expired_at| expired_at.max(tenure.gained_at))
    }

    /// Returns the upstreams that this instance owns.
    pub fn owned_upstreams(&self) -> impl Iterator<Item = key::Upstream> {
        self.tenures.keys().copied()
    }

    /// Returns the owned upstreams that run a base model.
    pub fn owned_for_model(&self, model: &str) -> &[key::Upstream] {
        self.owned.get(model).map_or(&[], |keys| keys)
    }

    /// Returns the home in a region of the revision with this digest.
    pub fn home(&self, region: &str, model: &str, revision: u64) -> Option<&Home> {
        let homes = self.homes.get(region)?.get(model)?;
        homes.iter().max_by(|one, other| one.score(revision).total_cmp(&other.score(revision)))
    }

    /// Returns the homes in a region of the revision with this digest, in order of preference.
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
