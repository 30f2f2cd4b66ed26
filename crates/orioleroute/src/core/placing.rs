//! What is loaded and unloaded for the requests that wait.

use super::Core;
use crate::fleet::Residency;
use crate::placement::{self, Plan};
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
        let candidates: Vec<(key::Upstream, u32)> = self
            .candidates(revision)
            .iter()
            .copied()
            .filter(|key| self.may_order(now, *key) && !self.orders.is_barred(now, *key, revision))
            .map(|key| (key, self.slots(key)))
            .collect();
        let catalog = &self.catalog;
        let pinned = |key| catalog.revision(key).pinned;
        match placement::plan(now, &self.fleet, candidates, revision, pinned) {
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

    fn slots(&self, key: key::Upstream) -> u32 {
        let upstream = self.fleet.get(key);
        upstream
            .and_then(|upstream| self.catalog.pool(&upstream.listing.pool))
            .map_or(0, |pool| pool.slots)
    }
}
