//! Fixtures for the scheduler's tests, and a replay of request loads against simulated engines.
#![allow(dead_code, reason = "each test file uses a part")]

mod organisations;
mod zones;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use orioleroute::ingress::Configuration;
use orioleroute::ingress::configuration::{Engine, Limits, Model, Service};
use orioleroute::ingress::upstream::{self, Description, Revision, State};
use orioleroute::prelude::*;
use orioleroute::scheduler::message::{Placement, Reason, RunResult, ToInstance};
use orioleroute::scheduler::order::{Action, Order, Outcome, Report};
use orioleroute::scheduler::{Client, Output, RequestKey, Scheduler};

#[allow(unused_imports, reason = "each test file uses a part")]
pub use organisations::{Tallies, Tally, configuration_with};
#[allow(unused_imports, reason = "each test file uses a part")]
pub use zones::{Overflow, replay_zones};

pub const CLIENT: Client = Client(1);
pub const ADAPTER_SLOTS: usize = 6;

/// Prefill rate of a simulated engine, in tokens per millisecond.
pub const PREFILL_RATE: f64 = 20.0;

const FETCH_TIME: Duration = Duration::from_millis(250);
const RELOAD_TIME: Duration = Duration::from_millis(25);

/// Timeout for the answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(120);

/// How long after it was issued an unanswered order is carried out.
const LATE_ORDER_DELAY: Duration = Duration::from_millis(4_000);

/// Number of concurrent fetches that run at full speed.
pub const FULL_SPEED_FETCHES: usize = 8;

/// When the scheduler has received the reports of its engines, and a replay begins.
pub const START: Instant = Instant::from_millis(1_000);

pub fn configuration() -> Arc<Configuration> {
    let model = Model {
        name: "m".into(),
        weights_mb: 65_000.0,
        adapter_mb: 12.0,
        load_time: Duration::from_secs(3),
    };
    let engine = Engine {
        slots: 64,
        cache_tokens: 150_000,
        adapter_slots: ADAPTER_SLOTS,
        weights_mb: 66_500.0,
        models: vec![model],
    };
    let service = Service {
        name: "notices".into(),
        max_connections: 370,
        health_path: None,
        engine: Some(engine),
    };
    Arc::new(Configuration::new(1, [], [service], Limits::default()))
}

pub fn description(number: usize, adapters: &[&str]) -> Description {
    let held = adapters.iter().map(|name| Revision { name: (*name).into(), version: 1 });
    Description {
        id: format!("i-{number}").into(),
        service: "notices".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 8_000 + number as u16)),
        zone: "a".into(),
        slots: 64,
        state: State::Ready,
        started_ms: 1,
        accepted_orders: 0,
        models: vec![upstream::Model { name: "m".into(), adapters: held.collect() }],
        build: "v1".into(),
        entry_version: 1,
    }
}

pub fn placement(ticket: u64, adapter: &str) -> Placement {
    Placement {
        ticket,
        attempt: Some(format!("{ticket:x}").into()),
        zone: "a".into(),
        organisation: None,
        service: "notices".into(),
        model: "m".into(),
        adapter: Some(adapter.into()),
        version: None,
        prompt_tokens: 2_000,
        output_tokens: 24,
        parts: Vec::new(),
        priority: 1,
        exact_priority: None,
        time_left_ms: 4_000,
        objective_left_ms: 800,
        excluded: Vec::new(),
        is_return: false,
        may_fetch: true,
        content: None,
        build: None,
    }
}

/// Returns a scheduler that has received the reports of these engines, and the current time.
pub fn scheduler(descriptions: &[Description]) -> (Scheduler, Instant) {
    let mut scheduler = Scheduler::new(7, configuration());
    scheduler.update_engines(descriptions, Instant::ZERO);
    let now = START;
    scheduler.tick(now);
    for description in descriptions {
        let report = Report { models: description.models.clone(), ..Report::default() };
        scheduler.handle_report(&description.id, Some(&report), now);
    }
    scheduler.take_outputs();
    (scheduler, now)
}

pub fn orders(outputs: &[Output]) -> Vec<Order> {
    let orders = outputs.iter().filter_map(|output| match output {
        Output::IssueOrder(_, order) => Some(order.clone()),
        _ => None,
    });
    orders.collect()
}

pub fn grants(outputs: &[Output]) -> Vec<u64> {
    let grants = outputs.iter().filter_map(|output| match output {
        Output::Send(_, ToInstance::Grant(grant)) => Some(grant.ticket),
        _ => None,
    });
    grants.collect()
}

pub fn refusals(outputs: &[Output]) -> Vec<(u64, Reason)> {
    let refusals = outputs.iter().filter_map(|output| match output {
        Output::Send(_, ToInstance::Refuse { ticket, reason, .. }) => Some((*ticket, *reason)),
        _ => None,
    });
    refusals.collect()
}

/// A request of a replayed load.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub placement: Placement,
}

impl Arrival {
    fn client_timeout(&self) -> Duration {
        Duration::from_millis(self.placement.time_left_ms)
    }
}

/// The outcomes of a replayed load.
#[derive(Clone, Debug, Default)]
pub struct ReplayResult {
    pub requests: usize,
    pub on_time: usize,
    pub late: usize,
    pub refused_at_once: usize,
    pub refused_later: usize,
    /// Requests whose clients timed out without an answer.
    pub failed: usize,
    pub longest_refusal: Duration,
    pub fetches: usize,
    pub on_time_by_priority: BTreeMap<u8, usize>,
    pub requests_by_priority: BTreeMap<u8, usize>,
    pub by_organisation: Tallies,
}

impl ReplayResult {
    /// Returns the share of the requests of a priority that were served on time.
    pub fn on_time_share(&self, priority: u8) -> f64 {
        let served = self.on_time_by_priority.get(&priority).copied().unwrap_or_default();
        served as f64
            / self.requests_by_priority.get(&priority).copied().unwrap_or_default().max(1) as f64
    }
}

/// A simulated engine with the behaviour that the platform documents: prompts are prefilled one after
/// another, and a request runs for the rest of a second after its first token.
#[derive(Default)]
struct ModelEngine {
    held: BTreeSet<Arc<str>>,
    cached: BTreeSet<Arc<str>>,
    loading: BTreeMap<Arc<str>, (f64, bool)>,
    accepted_orders: u64,
    unresponsive_since: Option<Instant>,
    /// Orders without an answer, and when they time out.
    unanswered: Vec<(Instant, Order)>,
    /// Orders that are carried out later, and when.
    late: Vec<(Instant, Order)>,
    /// The number of orders received.
    orders: usize,
    prompts: Vec<(RequestKey, f64)>,
    running: Vec<(RequestKey, Instant)>,
}

/// The engines and the weight store that a load is replayed on.
pub struct ReplaySetup {
    pub engines: usize,
    /// The number of concurrent fetches that run at full speed.
    pub full_speed_fetches: usize,
    /// The number of engines, counted from the first, that stop answering at `unresponsive_from`.
    pub unresponsive: usize,
    pub unresponsive_from: Duration,
    /// Only one in this many orders is answered; the others are carried out seconds later if they still
    /// apply. All are answered if it is 1.
    pub answered_interval: usize,
    pub configuration: Arc<Configuration>,
}

impl ReplaySetup {
    pub fn new(engines: usize) -> Self {
        Self {
            engines,
            full_speed_fetches: FULL_SPEED_FETCHES,
            unresponsive: 0,
            unresponsive_from: Duration::ZERO,
            answered_interval: 1,
            configuration: configuration(),
        }
    }
}

/// Replays a load on this many engines, in steps of a millisecond.
pub fn replay(engines: usize, arrivals: &[Arrival]) -> ReplayResult {
    replay_with(&ReplaySetup::new(engines), arrivals)
}

/// Replays a load with the given setup.
pub fn replay_with(setup: &ReplaySetup, arrivals: &[Arrival]) -> ReplayResult {
    let descriptions: Vec<Description> =
        (0..setup.engines).map(|number| description(number, &[])).collect();
    let (mut scheduler, mut now) = scheduler(&descriptions);
    scheduler.configure(setup.configuration.clone());
    let start = now;
    let mut models: Vec<ModelEngine> = (0..setup.engines).map(|_| ModelEngine::default()).collect();
    let mut result = ReplayResult::default();
    let mut pending: BTreeMap<u64, Arrival> = BTreeMap::new();
    let mut arrivals = arrivals.to_vec();
    arrivals.sort_by_key(|arrival| arrival.at);
    let mut arrivals = arrivals.into_iter().peekable();
    while arrivals.peek().is_some() || !pending.is_empty() {
        now += Duration::from_millis(1);
        let elapsed = Instant::ZERO + now.since(start);
        while let Some(arrival) = arrivals.next_if(|arrival| arrival.at <= elapsed) {
            result.requests += 1;
            *result.requests_by_priority.entry(arrival.placement.priority).or_default() += 1;
            result.by_organisation.of_mut(&arrival.placement.organisation).requests += 1;
            pending.insert(arrival.placement.ticket, arrival.clone());
            scheduler.place(CLIENT, arrival.placement, now);
        }
        for model in models.iter_mut().take(setup.unresponsive) {
            if now.since(start) >= setup.unresponsive_from {
                model.unresponsive_since.get_or_insert(now);
            }
        }
        time_out_orders(&mut models, &mut scheduler, now);
        apply_late_orders(&mut models, &mut result, now);
        let gone: Vec<u64> = pending
            .values()
            .filter(|arrival| elapsed.since(arrival.at) > arrival.client_timeout())
            .map(|arrival| arrival.placement.ticket)
            .collect();
        for ticket in gone {
            pending.remove(&ticket);
            result.failed += 1;
            let key = RequestKey { client: CLIENT, ticket };
            scheduler.handle_ended(key, Some(RunResult::Abandoned), now);
        }
        let slowdown = slowdown(&models, setup.full_speed_fetches);
        step_engines(&mut models, &mut scheduler, &mut pending, &mut result, now, slowdown);
        if scheduler.next_check().is_some_and(|check| check <= now) {
            scheduler.tick(now);
        }
        let interval = setup.answered_interval;
        let refused =
            apply_outputs(&mut models, &mut scheduler, &pending, &mut result, now, interval);
        for ticket in refused {
            count_refusal(&mut pending, &mut result, ticket, elapsed);
        }
    }
    result
}

fn count_refusal(
    pending: &mut BTreeMap<u64, Arrival>,
    result: &mut ReplayResult,
    ticket: u64,
    elapsed: Instant,
) {
    let Some(arrival) = pending.remove(&ticket) else { return };
    let waited = elapsed.since(arrival.at);
    result.longest_refusal = result.longest_refusal.max(waited);
    let tally = result.by_organisation.of_mut(&arrival.placement.organisation);
    match waited < Duration::from_millis(5) {
        true => {
            result.refused_at_once += 1;
            tally.refused_at_once += 1;
        }
        false => {
            result.refused_later += 1;
            tally.refused_later += 1;
        }
    }
}

/// Ends the orders that have timed out without an answer.
fn time_out_orders(models: &mut [ModelEngine], scheduler: &mut Scheduler, now: Instant) {
    for model in models {
        let (due, rest) =
            std::mem::take(&mut model.unanswered).into_iter().partition(|(at, _)| *at <= now);
        model.unanswered = rest;
        let due: Vec<(Instant, Order)> = due;
        for (_, order) in due {
            scheduler.handle_order_outcome(&order, Outcome::Unanswered, now);
        }
    }
}

/// Carries out the late orders that are due and still apply.
fn apply_late_orders(models: &mut [ModelEngine], result: &mut ReplayResult, now: Instant) {
    for model in models {
        let (due, rest) =
            std::mem::take(&mut model.late).into_iter().partition(|(at, _)| *at <= now);
        model.late = rest;
        let due: Vec<(Instant, Order)> = due;
        for (_, order) in due {
            if order.expected_accepted_orders == Some(model.accepted_orders) {
                apply_order(model, &order, result);
            }
        }
    }
}

/// Returns the current duration of a fetch relative to one that runs alone.
fn slowdown(models: &[ModelEngine], full_speed_fetches: usize) -> f64 {
    let answering = models.iter().filter(|model| model.unresponsive_since.is_none());
    let fetching = answering.flat_map(|model| model.loading.values());
    let fetching = fetching.filter(|(_, is_fetch)| *is_fetch).count();
    (fetching as f64 / full_speed_fetches as f64).max(1.0)
}

fn step_engines(
    models: &mut [ModelEngine],
    scheduler: &mut Scheduler,
    pending: &mut BTreeMap<u64, Arrival>,
    result: &mut ReplayResult,
    now: Instant,
    slowdown: f64,
) {
    for model in models.iter_mut().filter(|model| model.unresponsive_since.is_none()) {
        for (adapter, (left, is_fetch)) in &mut model.loading {
            *left -= if *is_fetch { 1.0 / slowdown } else { 1.0 };
            if *left <= 0.0 {
                model.held.insert(adapter.clone());
                model.cached.insert(adapter.clone());
            }
        }
        model.loading.retain(|_, (left, _)| *left > 0.0);
        if let Some((key, left)) = model.prompts.first_mut() {
            *left -= PREFILL_RATE;
            if *left <= 0.0 {
                let key = *key;
                model.prompts.remove(0);
                model.running.push((key, now + Duration::from_millis(400)));
                scheduler.handle_started(key, now);
                let Some(arrival) = pending.remove(&key.ticket) else { continue };
                let objective = Duration::from_millis(arrival.placement.objective_left_ms);
                match now.since(START + arrival.at.since(Instant::ZERO)) <= objective {
                    true => {
                        result.on_time += 1;
                        let organisation = &arrival.placement.organisation;
                        result.by_organisation.of_mut(organisation).on_time += 1;
                        *result
                            .on_time_by_priority
                            .entry(arrival.placement.priority)
                            .or_default() += 1;
                    }
                    false => result.late += 1,
                }
            }
        }
        let (ended, running) =
            std::mem::take(&mut model.running).into_iter().partition(|(_, end)| *end <= now);
        model.running = running;
        let ended: Vec<(RequestKey, Instant)> = ended;
        for (key, _) in ended {
            scheduler.handle_ended(key, Some(RunResult::Answered), now);
        }
    }
}

/// Carries out what the scheduler decided, and returns the tickets that it refused.
fn apply_outputs(
    models: &mut [ModelEngine],
    scheduler: &mut Scheduler,
    pending: &BTreeMap<u64, Arrival>,
    result: &mut ReplayResult,
    now: Instant,
    answered_interval: usize,
) -> Vec<u64> {
    let mut refused = Vec::new();
    loop {
        let outputs = scheduler.take_outputs();
        if outputs.is_empty() {
            return refused;
        }
        for output in outputs {
            match output {
                Output::IssueOrder(_, order) => {
                    let model = &mut models[engine_index(&order.upstream)];
                    if model.unresponsive_since.is_some() {
                        model.unanswered.push((now + ORDER_TIMEOUT, order));
                        continue;
                    }
                    model.orders += 1;
                    if !model.orders.is_multiple_of(answered_interval) {
                        model.late.push((now + LATE_ORDER_DELAY, order.clone()));
                        model.unanswered.push((now + ORDER_TIMEOUT, order));
                        continue;
                    }
                    let outcome = apply_order(model, &order, result);
                    scheduler.handle_order_outcome(&order, outcome, now);
                }
                Output::Send(client, ToInstance::Grant(grant)) => {
                    let key = RequestKey { client, ticket: grant.ticket };
                    let tokens = f64::from(pending[&grant.ticket].placement.prompt_tokens);
                    models[engine_index(&grant.upstream)].prompts.push((key, tokens));
                }
                Output::Send(_, ToInstance::Refuse { ticket, retry_after_ms, .. }) => {
                    if let Some(arrival) = pending.get(&ticket) {
                        let organisation = &arrival.placement.organisation;
                        result.by_organisation.of_mut(organisation).retry_after +=
                            Duration::from_millis(retry_after_ms);
                    }
                    refused.push(ticket);
                }
                _ => {}
            }
        }
    }
}

fn engine_index(upstream: &str) -> usize {
    upstream.trim_start_matches("i-").parse().unwrap()
}

fn apply_order(model: &mut ModelEngine, order: &Order, result: &mut ReplayResult) -> Outcome {
    match &order.action {
        Action::LoadAdapter { adapter, .. } if model.loading.contains_key(adapter) => {
            Outcome::Accepted
        }
        _ if order.expected_accepted_orders != Some(model.accepted_orders) => Outcome::Conflict,
        Action::LoadAdapter { adapter, .. } if model.held.contains(adapter) => Outcome::Holds,
        Action::LoadAdapter { adapter, .. } => {
            let taken = model.held.len() + model.loading.len();
            assert!(taken < ADAPTER_SLOTS, "an engine was ordered to load more than fits");
            assert!(
                model.loading.len() < 4,
                "an engine was ordered more concurrent loads than it accepts"
            );
            model.accepted_orders += 1;
            let is_fetch = !model.cached.contains(adapter);
            result.fetches += usize::from(is_fetch);
            let time = if is_fetch { FETCH_TIME } else { RELOAD_TIME };
            model.loading.insert(adapter.clone(), (time.as_millis() as f64, is_fetch));
            Outcome::Accepted
        }
        Action::UnloadAdapter { adapter } => {
            model.held.remove(adapter);
            model.accepted_orders += 1;
            Outcome::Holds
        }
        Action::LoadModel => Outcome::Holds,
    }
}
