//! What is loaded and unloaded for the requests that wait.

use super::Core;
use crate::fleet::Residency;
use crate::placement::{self, Candidate, Plan};
use crate::prelude::*;
use crate::routing::Reason;

impl Core {
    /// Loads what requests wait for, within the budget.
    pub(super) fn place(&mut self, now: Instant) {
        for revision in self.requests.wanted() {
            if self.orders.loads() >= self.load_budget() {
                return;
            }
            self.place_one(now, revision);
        }
    }

    fn place_one(&mut self, now: Instant, revision: key::Revision) {
        let under_way = self.fleet.iter().any(|(_, upstream)| {
            upstream
                .residents
                .get(&revision)
                .is_some_and(|resident| resident.residency == Residency::Loading)
        });
        if under_way {
            return;
        }
        let candidates: Vec<Candidate> = self
            .candidates(revision)
            .iter()
            .copied()
            .filter(|key| self.may_order(now, *key) && !self.orders.is_barred(now, *key, revision))
            .filter_map(|key| self.candidate(key))
            .collect();
        let (catalog, demand) = (&self.catalog, &self.demand);
        let packing = placement::packing(catalog.policy());
        let worth = |key| (!catalog.revision(key).pinned).then(|| demand.rate(now, key));
        match placement::plan(now, &self.fleet, candidates, revision, packing, worth) {
            Some(Plan::Load(key)) => self.load(now, key, revision),
            Some(Plan::Evict(key, victim)) if self.may_unload(now, key) => {
                self.unload(now, key, victim, Reason::Room)
            }
            Some(Plan::Evict(..)) | None => {}
        }
    }

    /// Returns the loads that this instance may have in transit: its even share, at least one.
    fn load_budget(&self) -> u32 {
        let members: usize = self.membership.views().map(|view| view.members.len()).sum();
        (self.catalog.policy().loads_in_transit / members.max(1) as u32).max(1)
    }

    /// Returns the owned upstreams that may run a revision.
    pub(super) fn candidates(&self, revision: key::Revision) -> &[key::Upstream] {
        self.ownership.owned(&self.catalog.revision(revision).model)
    }

    fn candidate(&self, key: key::Upstream) -> Option<Candidate> {
        let pool = self.catalog.pool(&self.fleet.get(key)?.listing.pool)?;
        let (slots, concurrency) = (pool.slots, pool.concurrency);
        Some(Candidate { upstream: key, slots, concurrency })
    }
}
