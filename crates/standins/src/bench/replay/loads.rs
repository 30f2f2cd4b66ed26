//! Loads for the requests that wait.

use std::time::Duration;

use orioleroute::document;
use orioleroute::fleet::{Residency, Resident};
use orioleroute::placement::{self, Candidate, Plan};
use rand::RngExt;

use super::super::trace::WARM_UP_S;
use super::{Deployment, Event, IN_TRANSIT, LOAD_S, Load, Policy, Replay};

impl Replay<'_> {
    /// Orders loads for waiting requests within the budget.
    pub(super) fn place(&mut self) {
        let mut wanted: Vec<(usize, (usize, usize))> = self
            .waiting
            .iter()
            .filter(|(key, _)| !self.loads.contains_key(*key))
            .map(|(key, queue)| (queue[0], *key))
            .collect();
        wanted.sort_unstable();
        for (_, (group, adapter)) in wanted {
            if self.in_budget(group) {
                self.load(group, adapter);
            }
        }
    }

    /// Loads a second copy of an adapter whose upstream is full.
    pub(super) fn widen(&mut self, group: usize, adapter: usize) {
        let revision = self.revisions[adapter];
        let copies = self.groups[group].engines.iter().filter(|engine| {
            let upstream = self.fleet.get(self.keys[**engine]);
            upstream.is_some_and(|upstream| upstream.residents.contains_key(&revision))
        });
        let everywhere = copies.count() == self.groups[group].engines.len();
        if !everywhere && !self.loads.contains_key(&(group, adapter)) && self.in_budget(group) {
            self.load(group, adapter);
        }
    }

    fn packing(&self) -> f64 {
        if !self.is_ours() || !self.ideas.pack {
            return 0.0;
        }
        let Deployment { stall_weight, batch_weight, .. } = self.deployment;
        let weights = document::Policy { stall_weight, batch_weight, ..Default::default() };
        placement::packing(&weights)
    }

    fn in_budget(&self, group: usize) -> bool {
        match self.policy {
            Policy::Ours(_) => {
                self.loads.values().filter(|load| load.group == group).count() < self.share()
            }
            _ => self.loads.len() < IN_TRANSIT,
        }
    }

    /// Loads an adapter for a group.
    fn load(&mut self, group: usize, adapter: usize) {
        let now = self.instant();
        let revision = self.revisions[adapter];
        let Deployment { slots, concurrency, .. } = self.deployment;
        let keys = &self.keys;
        let engines = &self.groups[group].engines;
        let candidates =
            engines.iter().map(|engine| Candidate { upstream: keys[*engine], slots, concurrency });
        let demand = &self.demand[group];
        let packing = self.packing();
        let draws = std::cell::RefCell::new(&mut self.rng);
        let worth = |victim| match self.policy {
            Policy::Random => Some(draws.borrow_mut().random()),
            Policy::Ours(ideas) if ideas.demand => Some(demand.rate(now, victim)),
            _ => Some(0.0),
        };
        let plan = placement::plan(now, &self.fleet, candidates, revision, packing, worth);
        let Some(plan) = plan else { return };
        if let Plan::Evict(key, victim) = plan {
            let upstream = self.fleet.get_mut(key).expect("it is listed");
            upstream.residents.remove(&victim);
        }
        let resident = Resident::new(Residency::Loading, 0, now);
        let upstream = self.fleet.get_mut(plan.upstream()).expect("it is listed");
        upstream.residents.insert(revision, resident);
        let engine = self.keys.iter().position(|key| *key == plan.upstream()).expect("it is ours");
        self.loads.insert((group, adapter), Load { group, ordered: self.now });
        self.figures.loads += u32::from(self.now >= WARM_UP_S);
        self.store_free = self.store_free.max(self.now) + 1.0 / self.deployment.store;
        let fetched = (self.store_free - 1.0 / self.deployment.store).max(self.now);
        let slower = (self.loads.len() as f64 / IN_TRANSIT as f64).max(1.0);
        self.push(fetched + LOAD_S * slower, Event::Loaded(engine, adapter));
    }

    pub(super) fn end_load(&mut self, engine: usize, adapter: usize) {
        let found = self.loads.iter().find(|((group, loaded), _)| {
            *loaded == adapter && self.groups[*group].engines.contains(&engine)
        });
        let Some((key, load)) = found else { return };
        let key = *key;
        self.load_time.observe(Duration::from_secs_f64(self.now - load.ordered));
        self.loads.remove(&key);
        let upstream = self.fleet.get_mut(self.keys[engine]).expect("it is listed");
        if let Some(resident) = upstream.residents.get_mut(&self.revisions[adapter]) {
            resident.residency = Residency::Loaded;
            self.serve(key);
        }
        self.place();
    }

    fn serve(&mut self, key: (usize, usize)) {
        for number in self.waiting.remove(&key).unwrap_or_default() {
            let Some(engine) = self.holder(key.0, key.1) else { return };
            let wait = self.now - self.requests[number].at;
            self.stalls[number] = wait;
            self.dispatch(number, engine);
        }
    }
}
