//! Chooses the engine for a request and, if needed, the adapter to evict for it.
//!
//! Load pattern: thousands of adapters of very uneven popularity on engines with few adapter slots.
//! Using an adapter that the engine holds costs nothing, reloading one that it held recently costs a
//! tenth of a load from the weight store. Engines are compared by the expected time to the first
//! event, so a popular adapter is replicated only once the queues of its engines cost more than a
//! load.

use super::Request;
use super::runner::{AdapterSlot, BaseModel, Certainty, Runner, SlotState};
use crate::ingress::configuration::Engine;
use crate::prelude::*;

/// Load time of an adapter that the engine has kept a copy of.
pub const WARM_LOAD: Duration = Duration::from_millis(25);

/// Load time of an adapter that comes from the weight store, at full speed.
pub const COLD_LOAD: Duration = Duration::from_millis(250);

/// Maximum number of concurrent adapter loads per engine.
const MAX_LOADS_PER_ENGINE: usize = 4;

/// How much sooner a request must start at an engine that has to load the adapter, compared with
/// waiting for one that holds it. A load evicts another adapter that later requests may need.
const LOAD_PENALTY: Duration = Duration::from_millis(40);

/// Used instead of [`LOAD_PENALTY`] for a load from the weight store, because such a load also takes
/// bandwidth from the loads of all other engines.
const FETCH_PENALTY: Duration = Duration::from_millis(150);

/// Cost of evicting an adapter, per request for it in the last ten seconds.
const EVICTION_COST_PER_REQUEST: Duration = Duration::from_millis(15);

/// Expected wait for a free adapter slot when all are in use.
const NO_SLOT_WAIT: Duration = Duration::from_millis(400);

/// Time from the request for a report to its arrival, with an allowance for a busy processor.
const REPORT_TIME: Duration = Duration::from_millis(50);

/// Prefill backlog up to which an engine is granted further requests. It is short, so that requests
/// queue at the scheduler, which orders them; and long enough that the engine always has a next
/// prompt.
pub const MAX_ENGINE_BACKLOG: Duration = Duration::from_millis(120);

/// Share of an engine's cache that may be committed to requests.
const MAX_CACHE_SHARE: f64 = 0.9;

/// Network distance for [`crate::ingress::health`]; all engines are in the scheduler's own zone.
const NO_DISTANCE: Duration = Duration::ZERO;

/// What has to happen before a request can run at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing; the request can be granted now.
    Use,
    /// The engine is loading the adapter or is about to.
    Await,
    /// The adapter has to be loaded.
    Load {
        /// Whether the adapter comes from the weight store.
        is_cold: bool,
    },
    /// An obstacle at the engine has to clear first.
    Queue(Obstacle),
}

/// Why an engine cannot run a request yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Obstacle {
    /// Its prefill backlog is too long.
    Prompts,
    /// It has no free request slot or not enough free cache.
    Full,
    /// All its adapter slots are in use.
    Places,
    /// It is loading the maximum number of adapters.
    Loads,
    /// Its state is uncertain, or it does not answer orders.
    Unsettled,
    /// It holds an older version of the adapter that is still in use.
    OldVersion,
    /// It has named a limit, which allows no request now.
    Limited,
}

impl Step {
    /// Returns whether the adapter has to be loaded from the weight store.
    pub fn is_fetch(self) -> bool {
        self == Self::Load { is_cold: true }
    }

    /// Returns the name of the step in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Use => "held",
            Self::Await => "loading",
            Self::Load { is_cold: true } => "fetch",
            Self::Load { is_cold: false } => "reload",
            Self::Queue(obstacle) => obstacle.into(),
        }
    }
}

/// An engine that can run a request.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The engine.
    pub runner: key::Upstream,
    /// What has to happen first.
    pub step: Step,
    /// The expected time until the first event of the response.
    pub start: Duration,
}

/// The state of the limit on concurrent loads from the weight store.
#[derive(Clone, Copy, Debug)]
pub struct ColdLoads {
    /// Number of loads in progress.
    pub in_progress: usize,
    /// Number of loads that wait for others to finish.
    pub waiting: usize,
    /// Number of concurrent loads above which each becomes slower.
    pub limit: usize,
    /// Expected duration of one load.
    pub time: Duration,
}

/// Returns the best engine for `request`, or `None` if none can run it.
pub fn choose<'a>(
    runners: impl IntoIterator<Item = (key::Upstream, &'a Runner)>,
    engine: &Engine,
    request: &Request,
    cold: ColdLoads,
    now: Instant,
) -> Option<Candidate> {
    let mut best: Option<(Duration, Candidate)> = None;
    for (key, runner) in runners {
        let Some((cost, candidate)) = evaluate(key, runner, engine, request, cold, now) else {
            continue;
        };
        if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
            best = Some((cost, candidate));
        }
    }
    best.map(|(_, candidate)| candidate)
}

/// Returns the cost of running the request at an engine and the candidate, or `None` if the engine
/// cannot run the request.
fn evaluate(
    key: key::Upstream,
    runner: &Runner,
    engine: &Engine,
    request: &Request,
    cold: ColdLoads,
    now: Instant,
) -> Option<(Duration, Candidate)> {
    let is_usable = !runner.is_draining
        && runner.service == request.service
        && runner.base_model == BaseModel::Present(request.model.clone())
        && !runner.health.is_ejected(now)
        && !request.excluded.contains(&runner.id)
        && request.build.as_ref().is_none_or(|build| *build == runner.build);
    if !is_usable {
        return None;
    }
    let backlog = runner.backlog();
    let (mut step, load, load_penalty) = adapter_step(runner, engine, request, cold, now);
    let own_prefill = runner.prefill_time(u64::from(runner.uncached_tokens(request)));
    let pace_delay = runner.pace_delay(now);
    let start = runner.queueing_delay().max(load).max(pace_delay) + own_prefill;
    // A load can start before the backlog is short enough for a grant if it ends no sooner than that.
    let is_ahead = matches!(step, Step::Load { .. }) && backlog <= MAX_ENGINE_BACKLOG + load;
    if !pace_delay.is_zero() {
        step = Step::Queue(Obstacle::Limited);
    } else if backlog > MAX_ENGINE_BACKLOG && !is_ahead {
        step = Step::Queue(Obstacle::Prompts);
    } else if !has_capacity(runner, engine, request) {
        step = Step::Queue(Obstacle::Full);
    }
    // Prompts whose adapters finish loading at the same time are prefilled one after another.
    let contention = match step {
        Step::Load { .. } => runner.prefill_time(runner.queued_tokens).min(load),
        Step::Use | Step::Await | Step::Queue(_) => Duration::ZERO,
    };
    let health_penalty = Duration::from_secs_f64(runner.health.cost(runner.slots, NO_DISTANCE));
    Some((
        start + load_penalty + contention + health_penalty,
        Candidate { runner: key, step, start },
    ))
}

/// Returns the step that the request's adapter needs, its duration, and its cost to other requests.
fn adapter_step(
    runner: &Runner,
    engine: &Engine,
    request: &Request,
    cold: ColdLoads,
    now: Instant,
) -> (Step, Duration, Duration) {
    let Some(adapter) = &request.adapter else {
        return (Step::Use, Duration::ZERO, Duration::ZERO);
    };
    match runner.adapter_slots.get(adapter) {
        Some(slot) if is_current(slot, request) => match slot.state {
            SlotState::Present => return (Step::Use, Duration::ZERO, Duration::ZERO),
            SlotState::Loading { .. } | SlotState::Reserved { .. } if runner.is_unresponsive => {
                return (Step::Queue(Obstacle::Unsettled), NO_SLOT_WAIT, LOAD_PENALTY);
            }
            SlotState::Loading { check_at, .. } => {
                return (Step::Await, check_at.since(now), Duration::ZERO);
            }
            SlotState::Reserved { .. } => {
                return (Step::Await, load_time(runner, adapter, cold), Duration::ZERO);
            }
            SlotState::Unloading => {
                return (Step::Queue(Obstacle::Places), NO_SLOT_WAIT, LOAD_PENALTY);
            }
        },
        // The older version has to be unloaded first, which is not possible yet.
        Some(slot) if slot.users > 0 || slot.state != SlotState::Present => {
            return (Step::Queue(Obstacle::OldVersion), NO_SLOT_WAIT, LOAD_PENALTY);
        }
        Some(_) | None => {}
    }
    let time = load_time(runner, adapter, cold);
    let queued = |obstacle| (Step::Queue(obstacle), time + NO_SLOT_WAIT, LOAD_PENALTY);
    let report_wait = match runner.certainty {
        _ if runner.is_unresponsive => Some(NO_SLOT_WAIT),
        Certainty::Known | Certainty::OrderPending => None,
        Certainty::ReportDue(at) => Some(at.since(now) + REPORT_TIME),
        Certainty::ReportPending => Some(REPORT_TIME),
    };
    if let Some(wait) = report_wait {
        return (Step::Queue(Obstacle::Unsettled), time + wait, LOAD_PENALTY);
    }
    if runner.loading() >= MAX_LOADS_PER_ENGINE {
        return queued(Obstacle::Loads);
    }
    let is_cold = !runner.is_warm(adapter);
    let base_penalty = if is_cold { FETCH_PENALTY } else { LOAD_PENALTY };
    let load_penalty = match runner.adapter_slots_free(engine.adapter_slots) {
        Some(0) => match runner.victim(now) {
            Some((_, popularity)) => base_penalty + EVICTION_COST_PER_REQUEST.mul_f64(popularity),
            None => return queued(Obstacle::Places),
        },
        Some(_) => base_penalty,
        None => return queued(Obstacle::Places),
    };
    (Step::Load { is_cold }, time, load_penalty)
}

/// Returns whether the adapter version in a slot is new enough for a request.
pub fn is_current(slot: &AdapterSlot, request: &Request) -> bool {
    match (request.version, slot.version) {
        (Some(wanted), Some(held)) => held >= wanted,
        (Some(_), None) => false,
        (None, _) => true,
    }
}

/// Returns the expected time for an engine to load an adapter.
pub fn load_time(runner: &Runner, adapter: &str, cold: ColdLoads) -> Duration {
    if runner.is_warm(adapter) {
        return WARM_LOAD;
    }
    let contention = (cold.in_progress + cold.waiting + 1) as f64 / cold.limit.max(1) as f64;
    cold.time.mul_f64(contention.max(1.0))
}

/// Returns whether the engine has a free request slot and enough cache for the request.
fn has_capacity(runner: &Runner, engine: &Engine, request: &Request) -> bool {
    let tokens = u64::from(request.prompt_tokens) + u64::from(request.output_tokens);
    let promised = (runner.tokens_in_flight() + tokens) as f64;
    let is_first = runner.in_flight.is_empty();
    runner.in_flight.len() < engine.slots
        && (is_first || promised <= engine.cache_tokens as f64 * MAX_CACHE_SHARE)
}
