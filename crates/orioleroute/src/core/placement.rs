//! Loads and unloads on behalf of waiting requests.

use std::cmp::Reverse;

use super::Core;
use crate::fleet::{Residency, Resident, Upstream};
use crate::placement::{self, Candidate, Plan};
use crate::prelude::*;
use crate::routing::Reason;

/// A load that takes longer than this multiple of the mean no longer prevents a load on another
/// upstream.
const SLOW_LOAD_FACTOR: u32 = 4;

/// Minimum time to wait for a load before another upstream is tried.
const MIN_SLOW_LOAD: Duration = Duration::from_secs(1);

impl Core {
    /// Loads the revisions that requests wait for, within the load budget.
    pub(super) fn load_awaited(&mut self, now: Instant) {
        for revision in self.awaited_by_priority() {
            if self.orders.loads_in_flight() >= self.load_budget() {
                return;
            }
            self.load_awaited_revision(now, revision);
        }
    }

    /// Returns the revisions that requests wait for, sorted by the highest importance and then by
    /// the earliest arrival among those requests.
    fn awaited_by_priority(&self) -> Vec<key::Revision> {
        let mut awaited = self.requests.awaited_revisions();
        awaited.sort_by_cached_key(|revision| {
            let waiting = self.requests.waiting(*revision);
            let requests = || waiting.iter().filter_map(|key| self.requests.get(*key));
            let importance = requests().map(|request| request.importance).max();
            let first = requests().map(|request| request.arrived).min();
            (Reverse(importance), first)
        });
        awaited
    }

    fn load_awaited_revision(&mut self, now: Instant, revision: key::Revision) {
        if self.is_loading(now, revision) {
            return;
        }
        match self.plan(now, revision) {
            Some(plan) => self.apply_plan(now, plan, revision),
            // An order in flight may soon free an adapter slot.
            None if self.has_pending_order(now, revision) => {}
            None => self.overflow(now, revision),
        }
    }

    /// Loads another copy of a revision whose upstream is full, within the load budget.
    pub(super) fn add_replica(&mut self, now: Instant, revision: key::Revision) {
        if self.orders.loads_in_flight() >= self.load_budget() || self.is_loading(now, revision) {
            return;
        }
        if let Some(plan) = self.plan(now, revision) {
            self.apply_plan(now, plan, revision);
        }
    }

    fn plan(&self, now: Instant, revision: key::Revision) -> Option<Plan> {
        let candidates: Vec<Candidate> = self
            .candidates(revision)
            .iter()
            .copied()
            .filter(|key| {
                self.may_order(now, *key) && !self.orders.is_backing_off(now, *key, revision)
            })
            .filter_map(|key| self.candidate(key))
            .collect();
        let packing = placement::packing(self.catalog.policy());
        let value = |key| (!self.catalog.revision(key).pinned).then(|| self.demand.rate(now, key));
        placement::plan(now, &self.fleet, candidates, revision, packing, value)
    }

    fn apply_plan(&mut self, now: Instant, plan: Plan, revision: key::Revision) {
        match plan {
            Plan::Load(key) => self.load(now, key, revision),
            Plan::Evict(key, victim) if self.may_unload(now, key) => {
                self.unload(now, key, victim, Reason::Room);
            }
            Plan::Evict(..) => {}
        }
    }

    /// Returns whether a load of a revision is in flight that is not much slower than previous
    /// loads.
    fn is_loading(&self, now: Instant, revision: key::Revision) -> bool {
        self.upstreams(revision).any(|upstream| {
            let resident = upstream.residents.get(&revision);
            resident.is_some_and(|resident| {
                resident.residency == Residency::Loading && self.is_pending(now, resident)
            })
        })
    }

    /// Returns whether an order is in flight to an upstream that may run a revision.
    fn has_pending_order(&self, now: Instant, revision: key::Revision) -> bool {
        self.upstreams(revision)
            .any(|upstream| upstream.residents.values().any(|held| self.is_pending(now, held)))
    }

    /// Returns whether an order for a resident is in flight and expected to end soon.
    fn is_pending(&self, now: Instant, resident: &Resident) -> bool {
        let timeout = (self.load_time.mean() * SLOW_LOAD_FACTOR).max(MIN_SLOW_LOAD);
        match resident.residency {
            Residency::Loaded => false,
            Residency::Loading => now < resident.last_used + timeout,
            Residency::Unloading => true,
        }
    }

    fn upstreams(&self, revision: key::Revision) -> impl Iterator<Item = &Upstream> {
        self.candidates(revision).iter().filter_map(|key| self.fleet.get(*key))
    }

    /// Returns how many loads this instance may have in flight: an even share of the policy's
    /// limit, but at least one.
    pub(super) fn load_budget(&self) -> u32 {
        let members: usize = self.membership.views().map(|view| view.members.len()).sum();
        (self.catalog.policy().loads_in_transit / members.max(1) as u32).max(1)
    }

    /// Returns the owned upstreams that may run a revision.
    pub(super) fn candidates(&self, revision: key::Revision) -> &[key::Upstream] {
        self.ownership.owned_for_model(&self.catalog.revision(revision).model)
    }

    pub(super) fn candidate(&self, key: key::Upstream) -> Option<Candidate> {
        let pool = self.catalog.pool(&self.fleet.get(key)?.listing.pool)?;
        let (slots, concurrency) = (pool.slots, pool.concurrency);
        Some(Candidate { upstream: key, slots, concurrency })
    }
}
