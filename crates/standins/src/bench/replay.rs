//! One policy run over one trace.

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

use super::batch::{Batch, step_s};
use super::setup::{Group, configuration, groups};
use super::trace::{CHANGE_S, Family, Request, WARM_UP_S};
use super::{Deployment, Figures, Ideas, Policy};

mod loads;

/// How long a load takes, in seconds, while at most [`IN_TRANSIT`] are in transit.
const LOAD_S: f64 = 0.25;

/// The loads in transit at full speed.
const IN_TRANSIT: usize = 8;

/// The time from one region to another and back, in seconds.
const REGION_S: f64 = 0.06;

/// The bytes of a request without its answer, and of one token on the wire.
const BYTES: (f64, f64) = (4_096.0, 64.0);

/// Between two ticks, in seconds.
const TICK_S: f64 = 0.25;

/// What happens at a time; the number is of the trace's request, engine or group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Loaded(usize, usize),
    Step(usize, u64),
    Restart,
    Tick,
}

/// A load in transit.
struct Load {
    group: usize,
    ordered: f64,
}

/// A run.
pub struct Replay<'a> {
    deployment: Deployment,
    policy: Policy,
    ideas: Ideas,
    requests: &'a [Request],
    rng: StdRng,
    now: f64,
    fleet: Fleet,
    keys: Vec<key::Upstream>,
    batches: Vec<Batch>,
    revisions: Vec<key::Revision>,
    digests: Vec<u64>,
    groups: Vec<Group>,
    /// The groups of the owners, by region.
    homes: Vec<Vec<usize>>,
    waiting: BTreeMap<(usize, usize), VecDeque<usize>>,
    loads: BTreeMap<(usize, usize), Load>,
    store_free: f64,
    load_time: LoadTime,
    demand: Vec<Demand>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next: u64,
    engine_of: Vec<usize>,
    stalls: Vec<f64>,
    first: Vec<f64>,
    figures: Figures,
}

/// Runs a policy over a trace.
pub fn run(
    deployment: &Deployment,
    policy: Policy,
    family: Family,
    requests: &[Request],
) -> Figures {
    let mut replay = Replay::new(deployment, policy, requests);
    if let Some(request) = requests.first() {
        replay.push(request.at, Event::Arrival(0));
    }
    replay.push(TICK_S, Event::Tick);
    if family == Family::Restart {
        replay.push(WARM_UP_S + CHANGE_S, Event::Restart);
    }
    replay.run();
    replay.figures()
}

impl<'a> Replay<'a> {
    fn new(deployment: &Deployment, policy: Policy, requests: &'a [Request]) -> Self {
        let mut catalog = Catalog::default();
        catalog.apply(&configuration(deployment));
        let names = (0..deployment.adapters).map(|adapter| format!("adapter-{adapter}"));
        let revisions: Vec<key::Revision> =
            names.map(|name| catalog.resolve(&name).expect("it is in the document")).collect();
        let mut fleet = Fleet::default();
        let listings: Vec<_> = (0..deployment.regions * deployment.engines)
            .map(|engine| {
                let region = format!("region-{}", engine / deployment.engines);
                let address = ([127, 0, 0, 1], 1_000 + engine as u16).into();
                crate::system::listing(&format!("engine-{engine}"), "pool", &region, address)
            })
            .collect();
        fleet.apply_listing(&listings);
        let mut keys = vec![key::Upstream::default(); listings.len()];
        for (key, upstream) in fleet.iter_mut() {
            upstream.reported_at = Some(Instant::from_micros(u64::MAX / 2));
            // There are no former owners that could unload anything.
            upstream.is_exclusive = true;
            keys[usize::from(upstream.listing.address.port()) - 1_000] = key;
        }
        let ideas = if let Policy::Ours(ideas) = policy { ideas } else { Ideas::ALL };
        let (groups, homes) = groups(deployment, policy, &fleet, &keys);
        Self {
            deployment: *deployment,
            policy,
            ideas,
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
            store_free: 0.0,
            load_time: LoadTime::default(),
            events: BinaryHeap::new(),
            next: 0,
            engine_of: vec![0; requests.len()],
            stalls: vec![0.0; requests.len()],
            first: vec![f64::NAN; requests.len()],
            figures: Figures::default(),
        }
    }

    fn push(&mut self, at: f64, event: Event) {
        self.next += 1;
        self.events.push(Reverse(((at * 1e9) as u64, self.next, event)));
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at as f64 / 1e9;
            match event {
                Event::Arrival(request) => {
                    if request + 1 < self.requests.len() {
                        self.push(self.requests[request + 1].at, Event::Arrival(request + 1));
                    }
                    self.arrive(request);
                }
                Event::Loaded(engine, adapter) => self.end_load(engine, adapter),
                Event::Step(engine, step) if self.batches[engine].step == step => {
                    self.batches[engine].advance(self.now);
                    self.finish(engine);
                }
                Event::Step(..) => {}
                Event::Restart => self.restart(),
                Event::Tick => self.tick(),
            }
        }
    }

    fn instant(&self) -> Instant {
        Instant::from_micros((self.now * 1e6) as u64)
    }

    fn measures(&self, request: usize) -> bool {
        self.requests[request].at >= WARM_UP_S
    }

    fn arrive(&mut self, number: usize) {
        let request = self.requests[number];
        self.figures.requests += u32::from(self.measures(number));
        let group = self.group(&request);
        let now = self.instant();
        self.demand[group].observe(now, self.revisions[request.adapter]);
        if let Some(engine) = self.holder(group, request.adapter) {
            if self.is_ours() && self.ideas.refuse && !self.has_room(engine) {
                return self.spill(number, group);
            }
            if self.is_ours() && self.ideas.widen && self.is_full(engine) {
                self.widen(group, request.adapter);
            }
            return self.dispatch(number, engine);
        }
        let wait = Duration::from_secs_f64(self.expected_wait(group));
        let leaves = routing::prefers_remote_region(wait, &document::Policy::default());
        let remote = self.remote_holder(&request).filter(|_| leaves);
        if let Some((group, engine)) = remote.filter(|(_, engine)| self.has_room(*engine)) {
            self.demand[group].observe(now, self.revisions[request.adapter]);
            return self.dispatch(number, engine);
        }
        if self.measures(number) {
            self.figures.stalled += 1;
        }
        if self.ideas.refuse
            && self.is_ours()
            && self.expected_wait(group) > self.deployment.deadline
        {
            return self.refuse(number);
        }
        self.waiting.entry((group, request.adapter)).or_default().push_back(number);
        self.place();
    }

    fn is_ours(&self) -> bool {
        matches!(self.policy, Policy::Ours(_))
    }

    /// Returns the group that a request goes to.
    fn group(&mut self, request: &Request) -> usize {
        let per_region = self.deployment.engines;
        let digest = self.digests[request.adapter];
        match self.policy {
            Policy::Random => request.region * per_region + self.rng.random_range(0..per_region),
            Policy::LeastLoaded => request.region,
            Policy::Hashed => {
                let engines = request.region * per_region..(request.region + 1) * per_region;
                let node = |engine: &usize| weight(digest, self.digest_of(*engine));
                engines.max_by_key(node).expect("a region has engines")
            }
            Policy::HashedAcross => {
                let node = |engine: &usize| weight(digest, self.digest_of(*engine));
                (0..self.keys.len()).max_by_key(node).expect("there are engines")
            }
            Policy::Ours(_) => self.home(request.region, request.adapter),
        }
    }

    fn home(&self, region: usize, adapter: usize) -> usize {
        let homes = self.homes[region].iter().copied();
        let score = |group: &usize| {
            let owner = digest(&format!("node-{group}"));
            let upstreams = match self.ideas.weighted {
                true => self.groups[*group].engines.len() as u32,
                false => 1,
            };
            orioleroute::hash::score(self.digests[adapter], owner, upstreams)
        };
        homes.max_by(|one, other| score(one).total_cmp(&score(other))).expect("it has homes")
    }

    fn digest_of(&self, engine: usize) -> u64 {
        self.fleet.get(self.keys[engine]).map_or(0, |upstream| upstream.digest)
    }

    fn holder(&self, group: usize, adapter: usize) -> Option<usize> {
        let candidates = self.groups[group].engines.iter().map(|engine| self.keys[*engine]);
        let (chosen, _) =
            routing::choose(self.instant(), &self.fleet, candidates, self.revisions[adapter])?;
        self.keys.iter().position(|key| *key == chosen)
    }

    fn remote_holder(&self, request: &Request) -> Option<(usize, usize)> {
        if !self.is_ours() || !self.ideas.regions {
            return None;
        }
        (0..self.deployment.regions)
            .filter(|region| *region != request.region)
            .map(|region| self.home(region, request.adapter))
            .find_map(|group| Some((group, self.holder(group, request.adapter)?)))
    }

    fn has_room(&self, engine: usize) -> bool {
        let running = self.fleet.get(self.keys[engine]).map_or(0, |upstream| upstream.running);
        limits::has_capacity(Importance::Normal, running, self.deployment.concurrency)
    }

    fn is_full(&self, engine: usize) -> bool {
        let running = self.fleet.get(self.keys[engine]).map_or(0, |upstream| upstream.running);
        running >= self.deployment.concurrency
    }

    /// Gives a request that found no room to the next home of the region, or refuses it.
    fn spill(&mut self, number: usize, first: usize) {
        let request = self.requests[number];
        if !self.ideas.widen {
            return self.refuse(number);
        }
        let mut homes = self.homes[request.region].clone();
        homes.retain(|home| *home != first);
        let digest = self.digests[request.adapter];
        let score = |group: &usize| {
            let owner = orioleroute::hash::digest(&format!("node-{group}"));
            orioleroute::hash::score(digest, owner, self.groups[*group].engines.len() as u32)
        };
        let next = homes.into_iter().max_by(|one, other| score(one).total_cmp(&score(other)));
        let Some(next) = next else { return self.refuse(number) };
        let now = self.instant();
        self.demand[next].observe(now, self.revisions[request.adapter]);
        match self.holder(next, request.adapter) {
            Some(engine) if self.has_room(engine) => self.dispatch(number, engine),
            Some(_) => self.refuse(number),
            None if self.expected_wait(next) > self.deployment.deadline => self.refuse(number),
            None => {
                self.figures.stalled += u32::from(self.measures(number));
                self.waiting.entry((next, request.adapter)).or_default().push_back(number);
                self.place();
            }
        }
    }

    fn expected_wait(&self, group: usize) -> f64 {
        let ahead = self.waiting.keys().filter(|(queued, _)| *queued == group).count();
        self.load_time.expected_wait(ahead, self.share() as u32).as_secs_f64()
    }

    /// Returns the loads that one owner may have in transit.
    fn share(&self) -> usize {
        (IN_TRANSIT / self.homes.iter().flatten().count().max(1)).max(1)
    }

    fn refuse(&mut self, number: usize) {
        if self.measures(number) {
            self.figures.refused += 1;
            self.stalls[number] = self.now - self.requests[number].at;
        }
    }

    fn dispatch(&mut self, number: usize, engine: usize) {
        self.engine_of[number] = engine;
        let now = self.instant();
        let revision = self.revisions[self.requests[number].adapter];
        let upstream = self.fleet.get_mut(self.keys[engine]).expect("it is listed");
        upstream.running += 1;
        if let Some(resident) = upstream.residents.get_mut(&revision) {
            resident.running += 1;
            resident.last_used = now;
        }
        self.batches[engine].queue.push_back(number);
        self.batches[engine].advance(self.now);
        self.start(engine);
    }

    /// Takes queued requests into the batch.
    fn start(&mut self, engine: usize) {
        let concurrency = self.deployment.concurrency as usize;
        while self.batches[engine].running.len() < concurrency {
            let Some(number) = self.batches[engine].queue.pop_front() else { break };
            let request = self.requests[number];
            let remote = engine / self.deployment.engines != request.region;
            let batch = &mut self.batches[engine];
            batch.running.insert(((batch.done + request.tokens).to_bits(), number));
            *batch.revisions.entry(request.adapter).or_default() += 1;
            let token = step_s(batch.running.len(), batch.revisions.len());
            let way = if remote { REGION_S } else { 0.0 };
            self.first[number] = self.now - request.at + token + way;
            if self.measures(number) && self.first[number] <= self.deployment.deadline {
                self.figures.timely += 1;
            }
            if remote && self.measures(number) {
                self.figures.remote_bytes += BYTES.0 + BYTES.1 * request.tokens;
            }
        }
        self.schedule(engine);
    }

    fn schedule(&mut self, engine: usize) {
        let batch = &mut self.batches[engine];
        batch.step += 1;
        let Some((end, _)) = batch.running.first() else { return };
        let tokens = (f64::from_bits(*end) - batch.done).max(0.0);
        let span = tokens * step_s(batch.running.len(), batch.revisions.len());
        let event = Event::Step(engine, batch.step);
        self.push(self.now + span + 1e-6, event);
    }

    fn finish(&mut self, engine: usize) {
        while let Some((end, number)) = self.batches[engine].running.first().copied() {
            let batch = &mut self.batches[engine];
            if f64::from_bits(end) > batch.done {
                break;
            }
            batch.running.pop_first();
            let adapter = self.requests[number].adapter;
            let left = batch.revisions.get_mut(&adapter).expect("it ran");
            *left -= 1;
            if *left == 0 {
                batch.revisions.remove(&adapter);
            }
            let upstream = self.fleet.get_mut(self.keys[engine]).expect("it is listed");
            upstream.running -= 1;
            if let Some(resident) = upstream.residents.get_mut(&self.revisions[adapter]) {
                resident.running = resident.running.saturating_sub(1);
            }
        }
        self.start(engine);
        self.place();
    }

    fn tick(&mut self) {
        let deadline = self.deployment.deadline;
        let overdue: Vec<usize> = self
            .waiting
            .values()
            .flatten()
            .copied()
            .filter(|number| self.now - self.requests[*number].at > deadline)
            .collect();
        for number in overdue {
            self.refuse(number);
            for queue in self.waiting.values_mut() {
                queue.retain(|waiting| *waiting != number);
            }
        }
        self.waiting.retain(|_, queue| !queue.is_empty());
        let now = self.instant();
        self.demand.iter_mut().for_each(|demand| demand.sweep(now));
        self.place();
        if self.now < super::trace::LENGTH_S + deadline {
            self.push(self.now + TICK_S, Event::Tick);
        }
    }

    fn restart(&mut self) {
        for engine in 0..self.deployment.engines / 2 {
            self.batches[engine].queue.clear();
            self.batches[engine].running.clear();
            self.batches[engine].revisions.clear();
            self.schedule(engine);
            let upstream = self.fleet.get_mut(self.keys[engine]).expect("it is listed");
            upstream.residents.clear();
            upstream.running = 0;
            let groups = &self.groups;
            self.loads.retain(|(group, _), _| !groups[*group].engines.contains(&engine));
        }
        self.place();
        if self.now + CHANGE_S < super::trace::LENGTH_S {
            self.push(self.now + CHANGE_S, Event::Restart);
        }
    }

    fn figures(mut self) -> Figures {
        let measured = |number: &usize| self.requests[*number].at >= WARM_UP_S;
        let all: Vec<usize> = (0..self.requests.len()).filter(measured).collect();
        let mut stalls: Vec<f64> = all.iter().map(|number| self.stalls[*number]).collect();
        let mut first: Vec<f64> =
            all.iter().map(|number| self.first[*number]).filter(|time| !time.is_nan()).collect();
        let busy: f64 = self.batches.iter().map(|batch| batch.busy_s).sum();
        let tokens: f64 = self.batches.iter().map(|batch| batch.tokens).sum();
        let full = self.deployment.concurrency as usize;
        self.figures.stall_s = stalls.iter().sum();
        self.figures.stall_p99_s = percentile(&mut stalls, 0.99);
        self.figures.first_token_s = (percentile(&mut first, 0.5), percentile(&mut first, 0.95));
        self.figures.batch_efficiency = tokens / busy * step_s(full, 1) / full as f64;
        self.figures.remote_bytes /= f64::from(self.figures.requests.max(1));
        self.figures
    }
}

fn percentile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let last = values.len().saturating_sub(1);
    values.get((last as f64 * share) as usize).copied().unwrap_or(0.0)
}
