//! Loads of adapters for waiting requests.

use std::time::Duration;

use orioleroute::document;
use orioleroute::fleet::{Residency, Resident};
use orioleroute::placement::{self, Candidate, Plan};
use rand::RngExt;

use super::super::trace::WARM_UP_S;
use super::{Deployment, Event, LOAD_S, LOADS_IN_TRANSIT, Load, Policy, Replay};

impl Replay<'_> {
    /// Orders loads for waiting requests, oldest first, within the load budget.
    pub(super) fn order_loads(&mut self) {
        let mut missing: Vec<(usize, (usize, usize))> = self
            .waiting
            .iter()
            .filter(|(key, _)| !self.loads.contains_key(*key))
            .map(|(key, queue)| (queue[0], *key))
            .collect();
        missing.sort_unstable();
        for (_, (group, adapter)) in missing {
            if self.has_load_budget(group) {
                self.start_load(group, adapter);
            }
        }
    }

    /// Loads another copy of an adapter whose engine is full, if an engine of the group has none
    /// and the load budget allows it.
    pub(super) fn replicate(&mut self, group: usize, adapter: usize) {
        let revision = self.revisions[adapter];
        let copies = self.groups[group].engines.iter().filter(|engine| {
            let upstream = self.fleet.get(self.keys[**engine]);
            upstream.is_some_and(|upstream| upstream.residents.contains_key(&revision))
        });
        let is_on_all = copies.count() == self.groups[group].engines.len();
        if !is_on_all && !self.loads.contains_key(&(group, adapter)) && self.has_load_budget(group)
        {
            self.start_load(group, adapter);
        }
    }

    fn packing(&self) -> f64 {
        if !self.is_orioleroute() || !self.features.packing {
            return 0.0;
        }
        let Deployment { stall_weight, batch_weight, .. } = self.deployment;
        let weights = document::Policy { stall_weight, batch_weight, ..Default::default() };
        placement::packing(&weights)
    }

    fn has_load_budget(&self, group: usize) -> bool {
        match self.policy {
            Policy::Orioleroute(_) => {
                self.loads.values().filter(|load| load.group == group).count() < self.load_budget()
            }
            _ => self.loads.len() < LOADS_IN_TRANSIT,
        }
    }

    /// Starts loading an adapter on an engine of a group, if one has a free slot or an adapter to evict.
    fn start_load(&mut self, group: usize, adapter: usize) {
        let now = self.instant();
        let revision = self.revisions[adapter];
        let Deployment { slots, concurrency, .. } = self.deployment;
        let keys = &self.keys;
        let engines = &self.groups[group].engines;
        let candidates =
            engines.iter().map(|engine| Candidate { upstream: keys[*engine], slots, concurrency });
        let demand = &self.demand[group];
        let packing = self.packing();
        let rng = std::cell::RefCell::new(&mut self.rng);
        let worth = |victim| match self.policy {
            Policy::Random => Some(rng.borrow_mut().random()),
            Policy::Orioleroute(features) if features.demand_eviction => {
                Some(demand.rate(now, victim))
            }
            _ => Some(0.0),
        };
        let plan = placement::plan(now, &self.fleet, candidates, revision, packing, worth);
        let Some(plan) = plan else { return };
        if let Plan::Evict(key, victim) = plan {
            let upstream = self.fleet.get_mut(key).expect("the engine is listed");
            upstream.residents.remove(&victim);
        }
        let resident = Resident::new(Residency::Loading, 0, now);
        let upstream = self.fleet.get_mut(plan.upstream()).expect("the engine is listed");
        upstream.residents.insert(revision, resident);
        let engine = self
            .keys
            .iter()
            .position(|key| *key == plan.upstream())
            .expect("the planned engine exists");
        self.loads.insert((group, adapter), Load { group, ordered_at: self.now });
        self.metrics.loads += u32::from(self.now >= WARM_UP_S);
        self.store_free_at =
            self.store_free_at.max(self.now) + 1.0 / self.deployment.store_loads_per_s;
        let fetch_at = (self.store_free_at - 1.0 / self.deployment.store_loads_per_s).max(self.now);
        let slowdown = (self.loads.len() as f64 / LOADS_IN_TRANSIT as f64).max(1.0);
        self.push(fetch_at + LOAD_S * slowdown, Event::Loaded(engine, adapter));
    }

    pub(super) fn handle_loaded(&mut self, engine: usize, adapter: usize) {
        let found = self.loads.iter().find(|((group, loaded), _)| {
            *loaded == adapter && self.groups[*group].engines.contains(&engine)
        });
        let Some((key, load)) = found else { return };
        let key = *key;
        self.load_time.observe(Duration::from_secs_f64(self.now - load.ordered_at));
        self.loads.remove(&key);
        let upstream = self.fleet.get_mut(self.keys[engine]).expect("the engine is listed");
        if let Some(resident) = upstream.residents.get_mut(&self.revisions[adapter]) {
            resident.residency = Residency::Loaded;
            self.dispatch_waiting(key);
        }
        self.order_loads();
    }

    fn dispatch_waiting(&mut self, key: (usize, usize)) {
        for index in self.waiting.remove(&key).unwrap_or_default() {
            let Some(engine) = self.choose_holder(key.0, key.1) else { return };
            let wait = self.now - self.requests[index].at;
            self.stalls[index] = wait;
            self.dispatch(index, engine);
        }
    }
}
