//! The simulation of one policy on one trace.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use orioleroute::catalog::Catalog;
use orioleroute::demand::Demand;
use orioleroute::document::{self, Importance};
use orioleroute::fleet::Fleet;
use orioleroute::hash::{digest, weight};
use orioleroute::key;
use orioleroute::limits::{self, LoadTime};
use orioleroute::prelude::Instant;
use orioleroute::routing;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::batch::{Batch, token_time_s};
use super::setup::{Group, configuration, groups};
use super::trace::{CHANGE_INTERVAL_S, Family, Request, WARM_UP_S};
use super::{Deployment, Features, Metrics, Policy};

mod loads;

/// The time of a load while at most [`LOADS_IN_TRANSIT`] are in transit, in seconds.
const LOAD_S: f64 = 0.25;

/// The number of loads that can be in transit at full speed, which is also the budget for all loads.
const LOADS_IN_TRANSIT: usize = 8;

/// The round-trip time between two regions, in seconds.
const REGION_RTT_S: f64 = 0.06;

/// The bytes on the wire of a request without its response, and of one token of the response.
const REQUEST_AND_TOKEN_BYTES: (f64, f64) = (4_096.0, 64.0);

/// The interval between ticks, in seconds.
const TICK_INTERVAL_S: f64 = 0.25;

/// A simulated event. The numbers are indices of requests, engines and adapters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request arrives.
    Arrival(usize),
    /// An engine finishes loading an adapter.
    Loaded(usize, usize),
    /// The next request in an engine's batch ends, if the batch still has this generation.
    RequestEnd(usize, u64),
    /// Half of the engines of the first region restart.
    Restart,
    /// Requests past their deadline are refused, and loads are ordered.
    Tick,
}

/// A load in transit.
struct Load {
    group: usize,
    ordered_at: f64,
}

/// The state of a simulation. Times are in seconds since the start of the trace.
pub struct Replay<'a> {
    deployment: Deployment,
    policy: Policy,
    features: Features,
    requests: &'a [Request],
    rng: StdRng,
    now: f64,
    fleet: Fleet,
    keys: Vec<key::Upstream>,
    batches: Vec<Batch>,
    revisions: Vec<key::Revision>,
    digests: Vec<u64>,
    groups: Vec<Group>,
    /// The indices of the groups in each region.
    homes: Vec<Vec<usize>>,
    /// The requests that wait for a load, by group and adapter.
    waiting: BTreeMap<(usize, usize), VecDeque<usize>>,
    /// The loads in transit, by group and adapter.
    loads: BTreeMap<(usize, usize), Load>,
    /// The time at which the weight store has served all loads ordered so far.
    store_free_at: f64,
    load_time: LoadTime,
    demand: Vec<Demand>,
    /// The events by time in nanoseconds and by order of scheduling.
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next_sequence: u64,
    engine_of: Vec<usize>,
    /// The time that each request waited for a load or until it was refused.
    stalls: Vec<f64>,
    /// The time to the first token of each request, or NaN before its start.
    first_tokens: Vec<f64>,
    metrics: Metrics,
}

/// Simulates a policy on a trace and returns the metrics.
pub fn run(
    deployment: &Deployment,
    policy: Policy,
    family: Family,
    requests: &[Request],
) -> Metrics {
    let mut replay = Replay::new(deployment, policy, requests);
    if let Some(request) = requests.first() {
        replay.push(request.at, Event::Arrival(0));
    }
    replay.push(TICK_INTERVAL_S, Event::Tick);
    if family == Family::Restart {
        replay.push(WARM_UP_S + CHANGE_INTERVAL_S, Event::Restart);
    }
    replay.run();
    replay.into_metrics()
}

impl<'a> Replay<'a> {
    fn new(deployment: &Deployment, policy: Policy, requests: &'a [Request]) -> Self {
        let mut catalog = Catalog::default();
        catalog.apply(&configuration(deployment));
        let names = (0..deployment.adapters).map(|adapter| format!("adapter-{adapter}"));
        let revisions: Vec<key::Revision> = names
            .map(|name| catalog.resolve(&name).expect("the adapter is in the document"))
            .collect();
        let mut fleet = Fleet::default();
        let listings: Vec<_> = (0..deployment.regions * deployment.engines_per_region)
            .map(|engine| {
                let region = format!("region-{}", engine / deployment.engines_per_region);
                let address = ([127, 0, 0, 1], 1_000 + engine as u16).into();
                crate::system::listing(&format!("engine-{engine}"), "pool", &region, address)
            })
            .collect();
        fleet.apply_listing(&listings);
        let mut keys = vec![key::Upstream::default(); listings.len()];
        for (key, upstream) in fleet.iter_mut() {
            upstream.reported_at = Some(Instant::from_micros(u64::MAX / 2));
            // No previous owner exists that could unload an adapter.
            upstream.is_exclusive = true;
            keys[usize::from(upstream.listing.address.port()) - 1_000] = key;
        }
        let features =
            if let Policy::Orioleroute(features) = policy { features } else { Features::ALL };
        let (groups, homes) = groups(deployment, policy, &fleet, &keys);
        Self {
            deployment: *deployment,
            policy,
            features,
            requests,
            rng: StdRng::seed_from_u64(1),
            now: 0.0,
            batches: keys.iter().map(|_| Batch::default()).collect(),
            demand: groups.iter().map(|_| Demand::default()).collect(),
            digests: revisions.iter().map(|key| catalog.revision(*key).digest).collect(),
            fleet,
            keys,
            revisions,
            groups,
            homes,
            waiting: BTreeMap::new(),
            loads: BTreeMap::new(),
            store_free_at: 0.0,
            load_time: LoadTime::default(),
            events: BinaryHeap::new(),
            next_sequence: 0,
            engine_of: vec![0; requests.len()],
            stalls: vec![0.0; requests.len()],
            first_tokens: vec![f64::NAN; requests.len()],
            metrics: Metrics::default(),
        }
    }

    fn push(&mut self, at: f64, event: Event) {
        self.next_sequence += 1;
        self.events.push(Reverse(((at * 1e9) as u64, self.next_sequence, event)));
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at as f64 / 1e9;
            match event {
                Event::Arrival(request) => {
                    if request + 1 < self.requests.len() {
                        self.push(self.requests[request + 1].at, Event::Arrival(request + 1));
                    }
                    self.handle_arrival(request);
                }
                Event::Loaded(engine, adapter) => self.handle_loaded(engine, adapter),
                Event::RequestEnd(engine, generation)
                    if self.batches[engine].generation == generation =>
                {
                    self.batches[engine].advance(self.now);
                    self.end_requests(engine);
                }
                Event::RequestEnd(..) => {}
                Event::Restart => self.handle_restart(),
                Event::Tick => self.handle_tick(),
            }
        }
    }

    fn instant(&self) -> Instant {
        Instant::from_micros((self.now * 1e6) as u64)
    }

    fn is_measured(&self, request: usize) -> bool {
        self.requests[request].at >= WARM_UP_S
    }

    fn handle_arrival(&mut self, index: usize) {
        let request = self.requests[index];
        self.metrics.requests += u32::from(self.is_measured(index));
        let group = self.select_group(&request);
        let now = self.instant();
        self.demand[group].observe(now, self.revisions[request.adapter]);
        if let Some(engine) = self.choose_holder(group, request.adapter) {
            if self.is_orioleroute() && self.features.early_refusal && !self.has_capacity(engine) {
                return self.overflow(index, group);
            }
            if self.is_orioleroute() && self.features.replication && self.is_full(engine) {
                self.replicate(group, request.adapter);
            }
            return self.dispatch(index, engine);
        }
        let wait = Duration::from_secs_f64(self.expected_wait(group));
        let prefers_remote = routing::prefers_remote_region(wait, &document::Policy::default());
        let remote = self.choose_remote_holder(&request).filter(|_| prefers_remote);
        if let Some((group, engine)) = remote.filter(|(_, engine)| self.has_capacity(*engine)) {
            self.demand[group].observe(now, self.revisions[request.adapter]);
            return self.dispatch(index, engine);
        }
        if self.is_measured(index) {
            self.metrics.stalled += 1;
        }
        if self.features.early_refusal
            && self.is_orioleroute()
            && self.expected_wait(group) > self.deployment.deadline_s
        {
            return self.refuse(index);
        }
        self.waiting.entry((group, request.adapter)).or_default().push_back(index);
        self.order_loads();
    }

    fn is_orioleroute(&self) -> bool {
        matches!(self.policy, Policy::Orioleroute(_))
    }

    /// Returns the group that serves a request.
    fn select_group(&mut self, request: &Request) -> usize {
        let per_region = self.deployment.engines_per_region;
        let digest = self.digests[request.adapter];
        match self.policy {
            Policy::Random => request.region * per_region + self.rng.random_range(0..per_region),
            Policy::LeastLoaded => request.region,
            Policy::Hashed => {
                let engines = request.region * per_region..(request.region + 1) * per_region;
                let engine_weight = |engine: &usize| weight(digest, self.digest_of(*engine));
                engines.max_by_key(engine_weight).expect("a region has engines")
            }
            Policy::HashedGlobally => {
                let engine_weight = |engine: &usize| weight(digest, self.digest_of(*engine));
                (0..self.keys.len()).max_by_key(engine_weight).expect("there are engines")
            }
            Policy::Orioleroute(_) => self.home_group(request.region, request.adapter),
        }
    }

    fn home_group(&self, region: usize, adapter: usize) -> usize {
        let homes = self.homes[region].iter().copied();
        let score = |group: &usize| {
            let owner = digest(&format!("node-{group}"));
            let upstreams = match self.features.weighted_homes {
                true => self.groups[*group].engines.len() as u32,
                false => 1,
            };
            orioleroute::hash::score(self.digests[adapter], owner, upstreams)
        };
        homes.max_by(|one, other| score(one).total_cmp(&score(other))).expect("a region has groups")
    }

    fn digest_of(&self, engine: usize) -> u64 {
        self.fleet.get(self.keys[engine]).map_or(0, |upstream| upstream.digest)
    }

    fn choose_holder(&self, group: usize, adapter: usize) -> Option<usize> {
        let candidates = self.groups[group].engines.iter().map(|engine| self.keys[*engine]);
        let (chosen, _) =
            routing::choose(self.instant(), &self.fleet, candidates, self.revisions[adapter])?;
        self.keys.iter().position(|key| *key == chosen)
    }

    fn choose_remote_holder(&self, request: &Request) -> Option<(usize, usize)> {
        if !self.is_orioleroute() || !self.features.cross_region {
            return None;
        }
        (0..self.deployment.regions)
            .filter(|region| *region != request.region)
            .map(|region| self.home_group(region, request.adapter))
            .find_map(|group| Some((group, self.choose_holder(group, request.adapter)?)))
    }

    fn has_capacity(&self, engine: usize) -> bool {
        let running = self.fleet.get(self.keys[engine]).map_or(0, |upstream| upstream.running);
        limits::has_capacity(Importance::Normal, running, self.deployment.concurrency)
    }

    fn is_full(&self, engine: usize) -> bool {
        let running = self.fleet.get(self.keys[engine]).map_or(0, |upstream| upstream.running);
        running >= self.deployment.concurrency
    }

    /// Sends a request whose home has no capacity to the next home of the region, or refuses it.
    fn overflow(&mut self, index: usize, first: usize) {
        let request = self.requests[index];
        if !self.features.replication {
            return self.refuse(index);
        }
        let mut homes = self.homes[request.region].clone();
        homes.retain(|home| *home != first);
        let digest = self.digests[request.adapter];
        let score = |group: &usize| {
            let owner = orioleroute::hash::digest(&format!("node-{group}"));
            orioleroute::hash::score(digest, owner, self.groups[*group].engines.len() as u32)
        };
        let next = homes.into_iter().max_by(|one, other| score(one).total_cmp(&score(other)));
        let Some(next) = next else { return self.refuse(index) };
        let now = self.instant();
        self.demand[next].observe(now, self.revisions[request.adapter]);
        match self.choose_holder(next, request.adapter) {
            Some(engine) if self.has_capacity(engine) => self.dispatch(index, engine),
            Some(_) => self.refuse(index),
            None if self.expected_wait(next) > self.deployment.deadline_s => self.refuse(index),
            None => {
                self.metrics.stalled += u32::from(self.is_measured(index));
                self.waiting.entry((next, request.adapter)).or_default().push_back(index);
                self.order_loads();
            }
        }
    }

    fn expected_wait(&self, group: usize) -> f64 {
        let ahead = self.waiting.keys().filter(|(queued, _)| *queued == group).count();
        self.load_time.expected_wait(ahead, self.load_budget() as u32).as_secs_f64()
    }

    /// Returns the number of loads that one owner may have in transit.
    fn load_budget(&self) -> usize {
        (LOADS_IN_TRANSIT / self.homes.iter().flatten().count().max(1)).max(1)
    }

    fn refuse(&mut self, index: usize) {
        if self.is_measured(index) {
            self.metrics.refused += 1;
            self.stalls[index] = self.now - self.requests[index].at;
        }
    }

    fn dispatch(&mut self, index: usize, engine: usize) {
        self.engine_of[index] = engine;
        let now = self.instant();
        let revision = self.revisions[self.requests[index].adapter];
        let upstream = self.fleet.get_mut(self.keys[engine]).expect("the engine is listed");
        upstream.running += 1;
        if let Some(resident) = upstream.residents.get_mut(&revision) {
            resident.running += 1;
            resident.last_used = now;
        }
        self.batches[engine].queue.push_back(index);
        self.batches[engine].advance(self.now);
        self.fill_batch(engine);
    }

    /// Moves queued requests into the batch up to the engine's concurrency.
    fn fill_batch(&mut self, engine: usize) {
        let concurrency = self.deployment.concurrency as usize;
        while self.batches[engine].running.len() < concurrency {
            let Some(index) = self.batches[engine].queue.pop_front() else { break };
            let request = self.requests[index];
            let remote = engine / self.deployment.engines_per_region != request.region;
            let batch = &mut self.batches[engine];
            batch.running.insert(((batch.tokens_done + request.tokens).to_bits(), index));
            *batch.revisions.entry(request.adapter).or_default() += 1;
            let token = token_time_s(batch.running.len(), batch.revisions.len());
            let region_delay = if remote { REGION_RTT_S } else { 0.0 };
            self.first_tokens[index] = self.now - request.at + token + region_delay;
            if self.is_measured(index) && self.first_tokens[index] <= self.deployment.deadline_s {
                self.metrics.within_deadline += 1;
            }
            if remote && self.is_measured(index) {
                self.metrics.remote_bytes +=
                    REQUEST_AND_TOKEN_BYTES.0 + REQUEST_AND_TOKEN_BYTES.1 * request.tokens;
            }
        }
        self.schedule_end(engine);
    }

    /// Schedules the next end of a request in the batch and invalidates the one scheduled before.
    fn schedule_end(&mut self, engine: usize) {
        let batch = &mut self.batches[engine];
        batch.generation += 1;
        let Some((end, _)) = batch.running.first() else { return };
        let tokens = (f64::from_bits(*end) - batch.tokens_done).max(0.0);
        let span = tokens * token_time_s(batch.running.len(), batch.revisions.len());
        let event = Event::RequestEnd(engine, batch.generation);
        self.push(self.now + span + 1e-6, event);
    }

    /// Removes the requests that have all their tokens from the batch.
    fn end_requests(&mut self, engine: usize) {
        while let Some((end, index)) = self.batches[engine].running.first().copied() {
            let batch = &mut self.batches[engine];
            if f64::from_bits(end) > batch.tokens_done {
                break;
            }
            batch.running.pop_first();
            let adapter = self.requests[index].adapter;
            let revision_requests =
                batch.revisions.get_mut(&adapter).expect("the revision is in the batch");
            *revision_requests -= 1;
            if *revision_requests == 0 {
                batch.revisions.remove(&adapter);
            }
            let upstream = self.fleet.get_mut(self.keys[engine]).expect("the engine is listed");
            upstream.running -= 1;
            if let Some(resident) = upstream.residents.get_mut(&self.revisions[adapter]) {
                resident.running = resident.running.saturating_sub(1);
            }
        }
        self.fill_batch(engine);
        self.order_loads();
    }

    fn handle_tick(&mut self) {
        let deadline = self.deployment.deadline_s;
        let overdue: Vec<usize> = self
            .waiting
            .values()
            .flatten()
            .copied()
            .filter(|index| self.now - self.requests[*index].at > deadline)
            .collect();
        for index in overdue {
            self.refuse(index);
            for queue in self.waiting.values_mut() {
                queue.retain(|waiting| *waiting != index);
            }
        }
        self.waiting.retain(|_, queue| !queue.is_empty());
        let now = self.instant();
        self.demand.iter_mut().for_each(|demand| demand.sweep(now));
        self.order_loads();
        if self.now < super::trace::LENGTH_S + deadline {
            self.push(self.now + TICK_INTERVAL_S, Event::Tick);
        }
    }

    /// Restarts the first half of the engines of the first region. Their requests and adapters and
    /// the loads of their groups are lost.
    fn handle_restart(&mut self) {
        for engine in 0..self.deployment.engines_per_region / 2 {
            self.batches[engine].queue.clear();
            self.batches[engine].running.clear();
            self.batches[engine].revisions.clear();
            self.schedule_end(engine);
            let upstream = self.fleet.get_mut(self.keys[engine]).expect("the engine is listed");
            upstream.residents.clear();
            upstream.running = 0;
            let groups = &self.groups;
            self.loads.retain(|(group, _), _| !groups[*group].engines.contains(&engine));
        }
        self.order_loads();
        if self.now + CHANGE_INTERVAL_S < super::trace::LENGTH_S {
            self.push(self.now + CHANGE_INTERVAL_S, Event::Restart);
        }
    }

    fn into_metrics(mut self) -> Metrics {
        let measured = |index: &usize| self.requests[*index].at >= WARM_UP_S;
        let all: Vec<usize> = (0..self.requests.len()).filter(measured).collect();
        let mut stalls: Vec<f64> = all.iter().map(|index| self.stalls[*index]).collect();
        let mut first: Vec<f64> = all
            .iter()
            .map(|index| self.first_tokens[*index])
            .filter(|time| !time.is_nan())
            .collect();
        let busy: f64 = self.batches.iter().map(|batch| batch.busy_s).sum();
        let tokens: f64 = self.batches.iter().map(|batch| batch.tokens).sum();
        let full = self.deployment.concurrency as usize;
        self.metrics.stall_s = stalls.iter().sum();
        self.metrics.stall_p99_s = percentile(&mut stalls, 0.99);
        self.metrics.first_token_s = (percentile(&mut first, 0.5), percentile(&mut first, 0.95));
        self.metrics.batch_efficiency = tokens / busy * token_time_s(full, 1) / full as f64;
        self.metrics.remote_bytes /= f64::from(self.metrics.requests.max(1));
        self.metrics
    }
}

fn percentile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let last = values.len().saturating_sub(1);
    values.get((last as f64 * share) as usize).copied().unwrap_or(0.0)
}
