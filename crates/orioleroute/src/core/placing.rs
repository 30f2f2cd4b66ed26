//! What is loaded and unloaded for the requests that wait.

use std::cmp::Reverse;

use super::Core;
use crate::fleet::{Residency, Resident, Upstream};
use crate::placement::{self, Candidate, Plan};
use crate::prelude::*;
use crate::routing::Reason;

/// A load that takes this many times the mean no longer keeps others from being tried.
const SLOW_LOAD: u32 = 4;

/// The shortest time that a load is waited for before another upstream is tried.
const SLOW_LOAD_MIN: Duration = Duration::from_secs(1);

impl Core {
    /// Loads what requests wait for, within the budget.
    pub(super) fn place(&mut self, now: Instant) {
        for revision in self.wanted() {
            if self.orders.loads() >= self.load_budget() {
                return;
            }
            self.place_one(now, revision);
        }
    }

    /// Returns the revisions that requests wait for: the most important, then those waited
    /// for longest.
    fn wanted(&self) -> Vec<key::Revision> {
        let mut wanted = self.requests.wanted();
        wanted.sort_by_cached_key(|revision| {
            let waiting = self.requests.waiting(*revision);
            let requests = || waiting.iter().filter_map(|key| self.requests.get(*key));
            let importance = requests().map(|request| request.importance).max();
            let first = requests().map(|request| request.arrived).min();
            (Reverse(importance), first)
        });
        wanted
    }

    fn place_one(&mut self, now: Instant, revision: key::Revision) {
        if self.is_loading(now, revision) {
            return;
        }
        match self.plan(now, revision) {
            Some(plan) => self.carry_out(now, plan, revision),
            // Room may come soon where a load or an unload is under way.
            None if self.is_ordered(now, revision) => {}
            None => self.spill(now, revision),
        }
    }

    /// Loads another copy of a revision whose upstream is full, within the budget.
    pub(super) fn widen(&mut self, now: Instant, revision: key::Revision) {
        if self.orders.loads() >= self.load_budget() || self.is_loading(now, revision) {
            return;
        }
        if let Some(plan) = self.plan(now, revision) {
            self.carry_out(now, plan, revision);
        }
    }

    fn plan(&self, now: Instant, revision: key::Revision) -> Option<Plan> {
        let candidates: Vec<Candidate> = self
            .candidates(revision)
            .iter()
            .copied()
            .filter(|key| self.may_order(now, *key) && !self.orders.is_barred(now, *key, revision))
            .filter_map(|key| self.candidate(key))
            .collect();
        let packing = placement::packing(self.catalog.policy());
        let worth = |key| (!self.catalog.revision(key).pinned).then(|| self.demand.rate(now, key));
        placement::plan(now, &self.fleet, candidates, revision, packing, worth)
    }

    fn carry_out(&mut self, now: Instant, plan: Plan, revision: key::Revision) {
        match plan {
            Plan::Load(key) => self.load(now, key, revision),
            Plan::Evict(key, victim) if self.may_unload(now, key) => {
                self.unload(now, key, victim, Reason::Room);
            }
            Plan::Evict(..) => {}
        }
    }

    /// Returns whether a load is under way that is not much slower than others were.
    fn is_loading(&self, now: Instant, revision: key::Revision) -> bool {
        self.upstreams(revision).any(|upstream| {
            let resident = upstream.residents.get(&revision);
            resident.is_some_and(|resident| {
                resident.residency == Residency::Loading && self.is_pending(now, resident)
            })
        })
    }

    /// Returns whether an order is under way on an upstream that may run a revision.
    fn is_ordered(&self, now: Instant, revision: key::Revision) -> bool {
        self.upstreams(revision)
            .any(|upstream| upstream.residents.values().any(|held| self.is_pending(now, held)))
    }

    /// Returns whether an order for a resident is under way and may be expected to end soon.
    fn is_pending(&self, now: Instant, resident: &Resident) -> bool {
        let timeout = (self.load_time.mean() * SLOW_LOAD).max(SLOW_LOAD_MIN);
        match resident.residency {
            Residency::Loaded => false,
            Residency::Loading => now < resident.used + timeout,
            Residency::Unloading => true,
        }
    }

    fn upstreams(&self, revision: key::Revision) -> impl Iterator<Item = &Upstream> {
        self.candidates(revision).iter().filter_map(|key| self.fleet.get(*key))
    }

    /// Returns the loads that this instance may have in transit: its even share, at least one.
    pub(super) fn load_budget(&self) -> u32 {
        let members: usize = self.membership.views().map(|view| view.members.len()).sum();
        (self.catalog.policy().loads_in_transit / members.max(1) as u32).max(1)
    }

    /// Returns the owned upstreams that may run a revision.
    pub(super) fn candidates(&self, revision: key::Revision) -> &[key::Upstream] {
        self.ownership.owned(&self.catalog.revision(revision).model)
    }

    pub(super) fn candidate(&self, key: key::Upstream) -> Option<Candidate> {
        let pool = self.catalog.pool(&self.fleet.get(key)?.listing.pool)?;
        let (slots, concurrency) = (pool.slots, pool.concurrency);
        Some(Candidate { upstream: key, slots, concurrency })
    }
}
