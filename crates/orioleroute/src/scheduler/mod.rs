//! The scheduler of one availability zone: it alone orders the zone's model engines, and places
//! requests on them.
//!
//! Instances ask it for a place and send the request to the engine themselves. That keeps waiting,
//! batching and eviction in one head without relaying answers through it. The decisions stand in
//! [`queue`], [`admission`] and [`placement`]; this module keeps the state between them. Nothing
//! here reads a clock or a socket. `docs/PLATFORM.md` weighs the alternatives.

pub mod admission;
mod dispatch;
pub mod fetches;
pub mod message;
pub mod order;
mod orders;
mod output;
pub mod placement;
pub mod queue;
mod request;
pub mod runner;

use slotmap::SlotMap;

pub use output::{Decision, Output};
pub use request::{CachedPart, Client, Request, RequestKey};

use crate::hash;
use crate::ingress::Configuration;
use crate::ingress::configuration::Engine;
use crate::ingress::health::Outcome as Health;
use crate::ingress::upstream::{Announcement, Description, State};
use crate::prelude::*;
use message::{Placement, Reason, RunResult, ToInstance};
use order::{Action, Order, Outcome, Report};
use placement::{Candidate, Step};
use runner::{Base, Certainty, PlaceState, Popularity, Runner};

/// How long a new scheduler waits for reports, which lag, to show its predecessor's last orders.
const TAKEOVER_DELAY: Duration = Duration::from_millis(400);

/// The requests for an adapter in the last ten seconds from which on a zone fetches it although its
/// home zone may have it: a fetch costs about as much as ten requests to another region.
const POPULAR_REQUESTS: f64 = 3.0;

/// Adapters whose requests are counted at a time.
const MAX_MISSES: usize = 1_024;

/// The popularity below which a count is dropped when there are too many.
const FORGOTTEN_REQUESTS: f64 = 0.5;

/// The scheduler of one availability zone.
pub struct Scheduler {
    fencing: u64,
    configuration: Arc<Configuration>,
    runners: SlotMap<key::Upstream, Runner>,
    by_id: Map<Arc<str>, key::Upstream>,
    waiting: Vec<Waiting>,
    granted: Map<RequestKey, key::Upstream>,
    newest: Map<(Arc<str>, Arc<str>), u64>,
    /// How often adapters were asked for that were not here.
    misses: Map<Arc<str>, Popularity>,
    fetches: fetches::Window,
    outputs: Vec<Output>,
}

struct Waiting {
    key: RequestKey,
    request: Request,
    /// What was expected when it was taken.
    forecast: Forecast,
    /// The engine that loads the request's adapter for it.
    assigned: Option<key::Upstream>,
    /// The engine that it would go to as things stand.
    target: Option<key::Upstream>,
    /// What has to happen before it can run, as things stand.
    step: Step,
}

/// What was expected of a request when it was taken.
#[derive(Clone, Copy)]
struct Forecast {
    step: Step,
    start: Duration,
    queue: Duration,
}

impl Scheduler {
    /// Returns a scheduler that orders under the token `fencing`.
    pub fn new(fencing: u64, configuration: Arc<Configuration>) -> Self {
        Self {
            fencing,
            configuration,
            runners: SlotMap::with_key(),
            by_id: Map::default(),
            waiting: Vec::new(),
            granted: Map::default(),
            newest: Map::default(),
            misses: Map::default(),
            fetches: fetches::Window::default(),
            outputs: Vec::new(),
        }
    }

    /// Returns the fencing token.
    pub fn fencing(&self) -> u64 {
        self.fencing
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the engines.
    pub fn runners(&self) -> impl Iterator<Item = &Runner> {
        self.runners.values()
    }

    /// Takes what is to be done since the last call.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Takes a configuration into force.
    pub fn configure(&mut self, configuration: Arc<Configuration>) {
        self.configuration = configuration;
    }

    /// Takes the zone's model engines as the list has them now.
    pub fn list<'a>(
        &mut self,
        descriptions: impl IntoIterator<Item = &'a Description>,
        now: Instant,
    ) {
        let mut listed: Set<Arc<str>> = Set::default();
        for description in descriptions {
            listed.insert(description.id.clone());
            self.describe(description, now);
        }
        let gone: Vec<Arc<str>> =
            self.by_id.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        for id in gone {
            self.drop_runner(&id);
        }
        self.dispatch(now);
    }

    /// Takes note of a newer version of an adapter.
    pub fn announce(&mut self, announcement: &Announcement) {
        let key = (announcement.model.clone(), announcement.revision.name.clone());
        let newest = self.newest.entry(key).or_default();
        *newest = (*newest).max(announcement.revision.version);
    }

    /// Takes a request that needs a place.
    pub fn place(&mut self, client: Client, placement: Placement, now: Instant) {
        let key = RequestKey { client, ticket: placement.ticket };
        let may_fetch = placement.may_fetch;
        let request = self.request(placement, now);
        let Some(engine) = self.engine(&request.service).cloned() else {
            return self.refuse(key, &request, Reason::NoEngine, Duration::ZERO, now);
        };
        self.count_queues(Some(queue::Rank::of(&request, now)), now);
        let Some(candidate) = self.choose(&engine, &request, now) else {
            let retry_after = admission::retry_after(&request, Duration::ZERO, now);
            return self.refuse(key, &request, Reason::NoEngine, retry_after, now);
        };
        if !may_fetch && candidate.step.is_fetch() && !self.is_popular(&request, now) {
            return self.refuse(key, &request, Reason::NotHere, Duration::ZERO, now);
        }
        let queue = self.runners[candidate.runner].queue();
        let forecast = Forecast { step: candidate.step, start: candidate.start, queue };
        match admission::admit(&request, forecast.step, forecast.start, queue, now) {
            Ok(()) => {
                self.waiting.push(Waiting {
                    key,
                    request,
                    forecast,
                    assigned: None,
                    target: None,
                    step: forecast.step,
                });
                self.dispatch(now);
                if self.waiting.iter().any(|waiting| waiting.key == key) {
                    let queued = ToInstance::Queued { ticket: key.ticket };
                    self.outputs.push(Output::Tell(client, queued));
                }
            }
            Err(refusal) => {
                self.decide(&request, refusal.reason.into(), None, forecast, now);
                self.tell_refusal(key, refusal.reason, refusal.retry_after);
            }
        }
    }

    /// Counts a request for an adapter that is not here, and returns whether there have been so many
    /// lately that the zone is to fetch it itself.
    fn is_popular(&mut self, request: &Request, now: Instant) -> bool {
        let Some(adapter) = &request.adapter else { return true };
        if self.misses.len() > MAX_MISSES {
            self.misses.retain(|_, misses| misses.at(now) >= FORGOTTEN_REQUESTS);
        }
        let misses = self.misses.entry(adapter.clone()).or_default();
        misses.touch(now);
        misses.at(now) >= POPULAR_REQUESTS
    }

    /// Takes note of a request's first event.
    pub fn started(&mut self, key: RequestKey, now: Instant) {
        if let Some(runner) =
            self.granted.get(&key).and_then(|runner| self.runners.get_mut(*runner))
        {
            runner.start(key, now);
        }
        self.dispatch(now);
    }

    /// Takes note that a request needs its place no more.
    pub fn ended(&mut self, key: RequestKey, result: Option<RunResult>, now: Instant) {
        if let Some(index) = self.waiting.iter().position(|waiting| waiting.key == key) {
            let waiting = self.waiting.swap_remove(index);
            self.unassign(&waiting);
        }
        if let Some(upstream) = self.granted.remove(&key) {
            self.land(upstream, key, result.unwrap_or(RunResult::Abandoned), now);
        }
        self.dispatch(now);
    }

    /// Takes note that an instance is gone: what waits is dropped, what runs may go on.
    pub fn disconnected(&mut self, client: Client, now: Instant) {
        let (gone, rest) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition::<Vec<_>, _>(|waiting| waiting.key.client == client);
        self.waiting = rest;
        for waiting in &gone {
            self.unassign(waiting);
        }
        self.dispatch(now);
    }

    /// Refuses all that waits, since another scheduler has taken over.
    pub fn abandon(&mut self) {
        for waiting in std::mem::take(&mut self.waiting) {
            self.tell_refusal(waiting.key, Reason::NotScheduler, Duration::ZERO);
        }
    }

    /// Takes the answer to an order.
    pub fn ordered(&mut self, order: &Order, outcome: Outcome, now: Instant) {
        let Some(key) = self.by_id.get(&order.upstream).copied() else { return };
        let runner = &mut self.runners[key];
        if runner.certainty == Certainty::Ordering {
            runner.certainty = Certainty::Known;
        }
        runner.is_silent = matches!(outcome, Outcome::Unanswered | Outcome::Unsent);
        if runner.is_silent {
            runner.health.begin();
            runner.health.end(Health::Broken, now);
        }
        if outcome == Outcome::Fenced {
            self.outputs.push(Output::Fenced);
            return;
        }
        self.observe_fetch(key, order, outcome, now);
        let runner = &mut self.runners[key];
        match &order.action {
            Action::LoadModel => orders::model_ordered(runner, &order.model, outcome, now),
            Action::LoadAdapter { adapter, .. } => {
                orders::adapter_ordered(runner, adapter, outcome, now)
            }
            Action::UnloadAdapter { adapter } => {
                orders::unload_ordered(runner, adapter, outcome, now)
            }
        }
        self.dispatch(now);
    }

    /// Takes an engine's report, or `None` if none came.
    pub fn reported(&mut self, upstream: &str, report: Option<&Report>, now: Instant) {
        let Some(key) = self.by_id.get(upstream).copied() else { return };
        let runner = &mut self.runners[key];
        if !matches!(runner.certainty, Certainty::Asking) {
            return;
        }
        match report {
            Some(report) if report.started_ms.is_none_or(|start| start == runner.started_ms) => {
                runner.certainty = Certainty::Known;
                runner.is_silent = false;
                runner.adopt_report(report, now);
            }
            Some(_) | None => runner.certainty = Certainty::AskAt(now + orders::REPORT_DELAY),
        }
        self.release_lost(key);
        self.dispatch(now);
    }

    /// Lets time pass: looks after loads, reports and requests that nobody ends.
    pub fn tick(&mut self, now: Instant) {
        self.expire_flights(now);
        let keys: Vec<key::Upstream> = self.runners.keys().collect();
        for key in keys {
            self.look_after(key, now);
        }
        self.dispatch(now);
    }

    /// Returns when [`Scheduler::tick`] has something to do, if that is known.
    pub fn next_check(&self) -> Option<Instant> {
        let checks = self.runners.values().flat_map(|runner| {
            let loads = runner.places.values().filter_map(|place| match place.state {
                PlaceState::Loading { check_at, .. } => Some(check_at),
                PlaceState::Present | PlaceState::Reserved { .. } | PlaceState::Unloading => None,
            });
            let base = match runner.base {
                Base::Loading { check_at, .. } => Some(check_at),
                Base::Absent | Base::Present(_) => None,
            };
            let report = match runner.certainty {
                Certainty::AskAt(at) => Some(at),
                Certainty::Known | Certainty::Ordering | Certainty::Asking => None,
            };
            loads.chain(base).chain(report)
        });
        checks.min()
    }

    fn request(&self, placement: Placement, now: Instant) -> Request {
        let adapter = placement.adapter;
        let newest = adapter.as_ref().and_then(|adapter| {
            self.newest.get(&(placement.model.clone(), adapter.clone())).copied()
        });
        let parts = placement.parts.iter().map(|part| CachedPart {
            key: hash::digest(&(part.id, &adapter)),
            tokens: part.tokens,
        });
        Request {
            parts: parts.collect(),
            service: placement.service,
            model: placement.model,
            adapter,
            version: newest.max(placement.version),
            prompt_tokens: placement.prompt_tokens,
            output_tokens: placement.output_tokens,
            priority: placement.priority,
            deadline: now + Duration::from_millis(placement.time_left_ms),
            objective: now + Duration::from_millis(placement.objective_left_ms),
            excluded: placement.excluded,
            is_return: placement.is_return,
            attempt: placement.attempt,
            arrived: now,
        }
    }

    fn describe(&mut self, description: &Description, now: Instant) {
        if let Some(key) = self.by_id.get(&description.id).copied() {
            let runner = &mut self.runners[key];
            if runner.started_ms == description.started_ms {
                runner.is_draining = description.state == State::Draining;
                return;
            }
            self.drop_runner(&description.id);
        }
        let mut runner = Runner::new(description, now);
        runner.certainty = Certainty::AskAt(now + TAKEOVER_DELAY);
        let key = self.runners.insert(runner);
        self.by_id.insert(description.id.clone(), key);
    }

    fn drop_runner(&mut self, id: &Arc<str>) {
        let Some(key) = self.by_id.remove(id) else { return };
        self.runners.remove(key);
        self.granted.retain(|_, runner| *runner != key);
        for waiting in &mut self.waiting {
            if waiting.assigned == Some(key) {
                waiting.assigned = None;
            }
            if waiting.target == Some(key) {
                waiting.target = None;
            }
        }
    }

    fn engine(&self, service: &str) -> Option<&Engine> {
        self.configuration.services.get(service)?.engine.as_ref()
    }

    fn choose(&self, engine: &Engine, request: &Request, now: Instant) -> Option<Candidate> {
        placement::choose(&self.runners, engine, request, self.cold_loads(now), now)
    }

    fn refuse(
        &mut self,
        key: RequestKey,
        request: &Request,
        reason: Reason,
        retry_after: Duration,
        now: Instant,
    ) {
        let forecast = Forecast { step: Step::Use, start: Duration::ZERO, queue: Duration::ZERO };
        self.decide(request, reason.into(), None, forecast, now);
        self.tell_refusal(key, reason, retry_after);
    }

    /// Refuses a request that has waited in vain.
    fn refuse_late(&mut self, item: &Waiting, retry_after: Duration, now: Instant) {
        let forecast = Forecast { step: item.step, ..item.forecast };
        self.decide(&item.request, Reason::TooLate.into(), None, forecast, now);
        self.tell_refusal(item.key, Reason::TooLate, retry_after);
    }

    fn tell_refusal(&mut self, key: RequestKey, reason: Reason, retry_after: Duration) {
        let refusal = ToInstance::Refuse {
            ticket: key.ticket,
            retry_after_ms: retry_after.as_millis() as u64,
            reason,
        };
        self.outputs.push(Output::Tell(key.client, refusal));
    }

    fn decide(
        &mut self,
        request: &Request,
        reason: &'static str,
        upstream: Option<Arc<str>>,
        forecast: Forecast,
        now: Instant,
    ) {
        self.outputs.push(Output::Decided(Decision {
            attempt: request.attempt.clone(),
            reason,
            step: forecast.step.name(),
            upstream,
            waited: now.since(request.arrived),
            expected: forecast.start,
            queue: forecast.queue,
        }));
    }

    /// Takes a request off its engine.
    fn land(&mut self, upstream: key::Upstream, key: RequestKey, result: RunResult, now: Instant) {
        let Some(runner) = self.runners.get_mut(upstream) else { return };
        let Some(flight) = runner.flights.remove(&key) else { return };
        runner.health.end(result.into(), now);
        let place = flight.adapter.as_ref().and_then(|adapter| runner.places.get_mut(adapter));
        if let Some(place) = place {
            place.users = place.users.saturating_sub(1);
        }
        if result == RunResult::Misdirected && runner.certainty == Certainty::Known {
            // What the engine holds is not what was believed.
            runner.certainty = Certainty::AskAt(now + orders::REPORT_DELAY);
            if let Some(adapter) = &flight.adapter {
                runner.places.remove(adapter);
            }
        }
    }

    fn expire_flights(&mut self, now: Instant) {
        let due: Vec<(RequestKey, key::Upstream)> = self
            .granted
            .iter()
            .filter(|(key, upstream)| {
                let flight =
                    self.runners.get(**upstream).and_then(|runner| runner.flights.get(*key));
                flight.is_none_or(|flight| flight.expires <= now)
            })
            .map(|(key, upstream)| (*key, *upstream))
            .collect();
        for (key, upstream) in due {
            self.granted.remove(&key);
            self.land(upstream, key, RunResult::Abandoned, now);
        }
    }
}
