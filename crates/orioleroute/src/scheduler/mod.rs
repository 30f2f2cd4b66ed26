//! The scheduler of one availability zone, the only one that issues orders to the zone's model
//! engines and places requests on them.
//!
//! Instances ask the scheduler for a grant and send the request to the engine themselves. Queueing,
//! batching and eviction are thus decided in one process, which does not have to relay responses.
//! The policies are in [`queue`], [`share`], [`admission`], [`placement`] and [`fetches`]; this module holds the
//! state that they share. The instances use [`search`] and [`overflow`] to choose among the zones, and
//! [`lease`] to decide whether a scheduler may still issue orders. Nothing here reads a clock or a
//! socket. `docs/PLATFORM.md` compares the alternatives, `docs/OVERLOAD.md` lists the load patterns.

pub mod admission;
mod check;
pub mod copies;
mod dispatch;
pub mod fetches;
mod in_flight;
pub mod lease;
pub mod message;
pub mod order;
mod orders;
mod output;
pub mod overflow;
pub mod placement;
pub mod popularity;
pub mod queue;
mod request;
pub mod runner;
pub mod search;
pub mod share;
mod succession;
pub mod suspects;
mod suspicion;

use slotmap::SlotMap;

pub use check::{EngineCheck, Finding, Identity, Reply};
pub use output::{Decision, Output};
pub use request::{CachedPart, Client, Request, RequestKey};

use crate::hash;
use crate::ingress::Configuration;
use crate::ingress::configuration::Engine;
use crate::ingress::health::Outcome as Health;
use crate::ingress::quarantine::{self, Quarantine};
use crate::ingress::upstream::{Announcement, Description};
use crate::prelude::*;
use copies::EngineCopies;
use message::{Placement, Reason, ToInstance};
use order::{Action, Order, Outcome, Report};
use placement::{Candidate, Obstacle, Step};
use popularity::Popularity;
use runner::{BaseModel, Certainty, Runner, SlotState};
use share::{Shares, Standing};
use suspects::Suspects;

/// How long after the previous scheduler's last orders a new one requests reports. Reports lag, and the
/// first ones must show the effect of these orders.
const TAKEOVER_DELAY: Duration = Duration::from_millis(400);

/// Number of requests for an adapter in the last ten seconds at which a zone fetches it even though
/// its home zone may hold it. A fetch costs about as much as ten requests to another region.
const MIN_POPULAR_REQUESTS: f64 = 3.0;

/// Number of miss counters above which low ones are discarded.
const MAX_MISS_COUNTERS: usize = 1_024;

/// Popularity below which a miss counter is discarded once there are more than
/// [`MAX_MISS_COUNTERS`].
const MIN_KEPT_REQUESTS: f64 = 0.5;

/// The scheduler of one availability zone.
pub struct Scheduler {
    fencing_token: u64,
    /// The fencing token before it was renewed.
    former_token: Option<u64>,
    configuration: Arc<Configuration>,
    runners: SlotMap<key::Upstream, Runner>,
    by_id: Map<Arc<str>, key::Upstream>,
    /// How long to wait for the first report of an engine that is known from the start.
    first_report_delay: Duration,
    /// The copies that engines had when the previous scheduler recorded them, by engine.
    restored_copies: Map<Arc<str>, EngineCopies>,
    waiting: Vec<Waiting>,
    /// What the organisations have got of the engines.
    shares: Shares,
    /// The engines at which requests inside their organisations' shares wait for room.
    wanted: Set<key::Upstream>,
    granted: Map<RequestKey, key::Upstream>,
    newest_versions: Map<(Arc<str>, Arc<str>), u64>,
    /// Request counts of adapters that no engine of the zone held.
    misses: Map<Arc<str>, Popularity>,
    fetches: fetches::Window,
    /// What the zone's runs say about prompt parts.
    suspects: Suspects,
    /// The verdicts on prompt parts, from all zones.
    quarantine: Quarantine,
    outputs: Vec<Output>,
}

struct Waiting {
    key: RequestKey,
    request: Request,
    /// Where it stands with regard to its organisation's share.
    standing: Standing,
    /// The estimate made on admission.
    forecast: Forecast,
    /// The engine that loads the request's adapter, once chosen.
    assigned: Option<key::Upstream>,
    /// The engine that currently suits the request best.
    target: Option<key::Upstream>,
    /// What currently has to happen before the request can run.
    step: Step,
}

/// The estimate for a request, made on admission.
#[derive(Clone, Copy)]
struct Forecast {
    step: Step,
    start: Duration,
    queue: Duration,
}

impl Scheduler {
    /// Returns a scheduler that issues its orders with this fencing token, and that has no predecessor
    /// or one that may have issued orders until now.
    pub fn new(fencing_token: u64, configuration: Arc<Configuration>) -> Self {
        Self::succeeding(fencing_token, configuration, Duration::ZERO)
    }

    /// Returns a scheduler whose predecessor has issued no orders for the time `silence`.
    ///
    /// Load pattern: all instances have lost power and return together, to clients that retry. Without
    /// reports no adapter can be loaded, so every moment before them is one of refusals.
    pub fn succeeding(
        fencing_token: u64,
        configuration: Arc<Configuration>,
        silence: Duration,
    ) -> Self {
        Self {
            first_report_delay: TAKEOVER_DELAY.saturating_sub(silence),
            restored_copies: Map::default(),
            fencing_token,
            former_token: None,
            configuration,
            runners: SlotMap::with_key(),
            by_id: Map::default(),
            waiting: Vec::new(),
            shares: Shares::default(),
            wanted: Set::default(),
            granted: Map::default(),
            newest_versions: Map::default(),
            misses: Map::default(),
            fetches: fetches::Window::default(),
            suspects: Suspects::default(),
            quarantine: Quarantine::default(),
            outputs: Vec::new(),
        }
    }

    /// Returns the fencing token.
    pub fn fencing_token(&self) -> u64 {
        self.fencing_token
    }

    /// Replaces the fencing token by a higher one, because the row that gave it was lost and has been written again.
    pub fn renew(&mut self, fencing_token: u64) {
        self.former_token = Some(std::mem::replace(&mut self.fencing_token, fencing_token));
    }

    /// Returns whether this scheduler has issued an order.
    pub fn has_issued(&self, order: &Order) -> bool {
        order.fencing_token == self.fencing_token || Some(order.fencing_token) == self.former_token
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the engines known to the scheduler.
    pub fn runners(&self) -> impl Iterator<Item = &Runner> {
        self.runners.values()
    }

    /// Takes the outputs produced since the last call, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Replaces the active configuration.
    pub fn configure(&mut self, configuration: Arc<Configuration>) {
        self.configuration = configuration;
    }

    /// Replaces the set of the zone's model engines. Engines that are no longer listed are removed.
    pub fn update_engines<'a>(
        &mut self,
        descriptions: impl IntoIterator<Item = &'a Description>,
        now: Instant,
    ) {
        let mut listed: Set<Arc<str>> = Set::default();
        for description in descriptions {
            listed.insert(description.id.clone());
            self.apply_description(description, now);
        }
        let gone: Vec<Arc<str>> =
            self.by_id.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        for id in gone {
            self.remove_runner(&id);
        }
        self.dispatch(now);
    }

    /// Records the newest version of an adapter, which waiting requests get as well. An older version than the known one is
    /// ignored.
    pub fn announce(&mut self, announcement: &Announcement) {
        let Announcement { model, revision } = announcement;
        let newest =
            self.newest_versions.entry((model.clone(), revision.name.clone())).or_default();
        *newest = (*newest).max(revision.version);
        let newest = Some(*newest);
        let waiting = self.waiting.iter_mut().map(|waiting| &mut waiting.request);
        let concerned = waiting.filter(|request| {
            request.model == *model && request.adapter.as_ref() == Some(&revision.name)
        });
        concerned.for_each(|request| request.version = request.version.max(newest));
    }

    /// Grants, queues or refuses a request.
    pub fn place(&mut self, client: Client, placement: Placement, now: Instant) {
        let key = RequestKey { client, ticket: placement.ticket };
        let may_fetch = placement.may_fetch;
        let request = self.to_request(placement, now);
        if self.is_blamed(&request, now) {
            let retry_after = quarantine::RETRY_AFTER;
            return self.refuse(key, &request, Reason::Quarantined, retry_after, now);
        }
        let Some(engine) = self.engine(&request.service).cloned() else {
            return self.refuse(key, &request, Reason::NoEngine, Duration::ZERO, now);
        };
        let standing = self.standing(&request, now);
        self.count_queues(Some(queue::Rank::of(&request, standing, now)), now);
        self.stretch_queues(&request, standing, now);
        let Some(candidate) = self.choose(&engine, &request, now) else {
            let retry_after =
                admission::retry_after(&request, Standing::Inside, Duration::ZERO, now);
            return self.refuse(key, &request, Reason::NoEngine, retry_after, now);
        };
        if !may_fetch && candidate.step.is_fetch() && !self.is_popular(&request, now) {
            return self.refuse(key, &request, Reason::NotHere, Duration::ZERO, now);
        }
        self.shares.record_request(&request, &self.configuration.organisations, now);
        let runner = &self.runners[candidate.runner];
        let queue = runner.queueing_delay().max(runner.pace_delay(now));
        let forecast = Forecast { step: candidate.step, start: candidate.start, queue };
        match admission::admit(&request, standing, forecast.step, forecast.start, queue, now) {
            Ok(()) => {
                self.waiting.push(Waiting {
                    key,
                    request,
                    standing,
                    forecast,
                    assigned: None,
                    target: None,
                    step: forecast.step,
                });
                self.dispatch(now);
                if self.waiting.iter().any(|waiting| waiting.key == key) {
                    let queued = ToInstance::Queued { ticket: key.ticket };
                    self.outputs.push(Output::Send(client, queued));
                }
            }
            Err(refusal) => {
                // Another zone may run in time what a limit does not allow here.
                let is_limited = candidate.step == Step::Queue(Obstacle::Limited);
                let reason = if is_limited { Reason::Overloaded } else { refusal.reason };
                self.log_decision(&request, reason.into(), None, forecast, now);
                self.send_refusal(key, reason, refusal.retry_after);
            }
        }
    }

    /// Counts a request for an adapter that the zone does not hold, and returns whether the adapter is
    /// requested often enough for the zone to fetch it.
    fn is_popular(&mut self, request: &Request, now: Instant) -> bool {
        let Some(adapter) = &request.adapter else { return true };
        if self.misses.len() > MAX_MISS_COUNTERS {
            self.misses.retain(|_, misses| misses.at(now) >= MIN_KEPT_REQUESTS);
        }
        let misses = self.misses.entry(adapter.clone()).or_default();
        misses.record_request(now);
        misses.at(now) >= MIN_POPULAR_REQUESTS
    }

    /// Refuses all waiting requests, because another scheduler has taken over.
    pub fn refuse_waiting(&mut self) {
        for waiting in std::mem::take(&mut self.waiting) {
            self.send_refusal(waiting.key, Reason::NotScheduler, Duration::ZERO);
        }
    }

    /// Handles the outcome of an order.
    pub fn handle_order_outcome(&mut self, order: &Order, outcome: Outcome, now: Instant) {
        let Some(key) = self.by_id.get(&order.upstream).copied() else { return };
        let runner = &mut self.runners[key];
        if runner.certainty == Certainty::OrderPending {
            runner.certainty = Certainty::Known;
        }
        runner.is_unresponsive = matches!(outcome, Outcome::Unanswered | Outcome::Unsent);
        if runner.is_unresponsive {
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
            Action::LoadModel => {
                orders::handle_model_load_outcome(runner, &order.model, outcome, now)
            }
            Action::LoadAdapter { adapter, .. } => {
                orders::handle_adapter_load_outcome(runner, adapter, outcome, now)
            }
            Action::UnloadAdapter { adapter } => {
                orders::handle_unload_outcome(runner, adapter, outcome, now)
            }
        }
        self.dispatch(now);
    }

    /// Handles an engine's report, or `None` if the engine did not send one.
    pub fn handle_report(&mut self, upstream: &str, report: Option<&Report>, now: Instant) {
        let Some(key) = self.by_id.get(upstream).copied() else { return };
        let runner = &mut self.runners[key];
        if !matches!(runner.certainty, Certainty::ReportPending) {
            return;
        }
        match report {
            Some(report) if report.started_ms.is_none_or(|start| start == runner.started_ms) => {
                runner.certainty = Certainty::Known;
                runner.is_unresponsive = false;
                runner.adopt_report(report, now);
            }
            Some(_) | None => runner.certainty = Certainty::ReportDue(now + orders::REPORT_DELAY),
        }
        self.unassign_lost(key);
        self.dispatch(now);
    }

    /// Checks due loads and reports, and expires requests whose end was never reported.
    pub fn tick(&mut self, now: Instant) {
        self.expire_in_flight(now);
        self.report_suspects(now);
        let keys: Vec<key::Upstream> = self.runners.keys().collect();
        for key in keys {
            self.check_engine(key, now);
        }
        self.dispatch(now);
    }

    /// Returns the time of the next due load check or report, if there is one.
    pub fn next_check(&self) -> Option<Instant> {
        let checks = self.runners.values().flat_map(|runner| {
            let loads = runner.adapter_slots.values().filter_map(|slot| match slot.state {
                SlotState::Loading { check_at, .. } => Some(check_at),
                SlotState::Present | SlotState::Reserved { .. } | SlotState::Unloading => None,
            });
            let base = match runner.base_model {
                BaseModel::Loading { check_at, .. } => Some(check_at),
                BaseModel::Absent | BaseModel::Present(_) => None,
            };
            let report = match runner.certainty {
                Certainty::ReportDue(at) => Some(at),
                Certainty::Known | Certainty::OrderPending | Certainty::ReportPending => None,
            };
            loads.chain(base).chain(report)
        });
        checks.min()
    }

    fn to_request(&self, placement: Placement, now: Instant) -> Request {
        let priority = placement.priority();
        let adapter = placement.adapter;
        let newest = adapter.as_ref().and_then(|adapter| {
            self.newest_versions.get(&(placement.model.clone(), adapter.clone())).copied()
        });
        let parts = placement.parts.iter().map(|part| CachedPart {
            key: hash::digest(&(part.id, &adapter)),
            tokens: part.tokens,
        });
        Request {
            parts: parts.collect(),
            part_ids: placement.parts.iter().map(|part| part.id).collect(),
            content: placement.content,
            build: placement.build,
            organisation: placement.organisation,
            service: placement.service,
            model: placement.model,
            adapter,
            version: newest.max(placement.version),
            prompt_tokens: placement.prompt_tokens,
            output_tokens: placement.output_tokens,
            priority,
            deadline: now + Duration::from_millis(placement.time_left_ms),
            objective: now + Duration::from_millis(placement.objective_left_ms),
            excluded: placement.excluded,
            is_return: placement.is_return,
            attempt: placement.attempt,
            arrived: now,
        }
    }

    fn apply_description(&mut self, description: &Description, now: Instant) {
        if let Some(key) = self.by_id.get(&description.id).copied() {
            let runner = &mut self.runners[key];
            if runner.started_ms == description.started_ms {
                runner.apply_entry(description);
                return;
            }
            self.remove_runner(&description.id);
        }
        let mut runner = Runner::new(description, now);
        runner.certainty = Certainty::ReportDue(now + self.first_report_delay);
        if let Some(copies) = self.restored_copies.get(&description.id) {
            runner.restore_copies(copies);
        }
        let key = self.runners.insert(runner);
        self.by_id.insert(description.id.clone(), key);
    }

    fn remove_runner(&mut self, id: &Arc<str>) {
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
        self.log_decision(request, reason.into(), None, forecast, now);
        self.send_refusal(key, reason, retry_after);
    }

    /// Refuses a request that has waited too long.
    fn refuse_late(&mut self, item: &Waiting, retry_after: Duration, now: Instant) {
        let forecast = Forecast { step: item.step, ..item.forecast };
        self.log_decision(&item.request, Reason::TooLate.into(), None, forecast, now);
        self.send_refusal(item.key, Reason::TooLate, retry_after);
    }

    fn send_refusal(&mut self, key: RequestKey, reason: Reason, retry_after: Duration) {
        let refusal = ToInstance::Refuse {
            ticket: key.ticket,
            retry_after_ms: retry_after.as_millis() as u64,
            reason,
        };
        self.outputs.push(Output::Send(key.client, refusal));
    }

    fn log_decision(
        &mut self,
        request: &Request,
        reason: &'static str,
        upstream: Option<Arc<str>>,
        forecast: Forecast,
        now: Instant,
    ) {
        self.outputs.push(Output::LogDecision(Decision {
            attempt: request.attempt.clone(),
            organisation: request.organisation.clone(),
            share: upstream.is_none().then(|| self.shares.share(request, now)).flatten(),
            reason,
            step: forecast.step.name(),
            upstream,
            waited: now.since(request.arrived),
            expected: forecast.start,
            queue: forecast.queue,
        }));
    }
}
