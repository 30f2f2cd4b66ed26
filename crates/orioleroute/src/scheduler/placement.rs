//! Which engine runs a request, and which adapter makes way for the request's own.
//!
//! Load pattern: thousands of adapters of very unequal popularity on engines with few places. An
//! adapter that is on its engine costs nothing, one that the engine held recently a tenth of a load
//! from the weight store. The choice weighs the time to the first event at each engine, so popular
//! adapters get further copies only once their engines' queues cost more than a load does.

use super::Request;
use super::runner::{Base, Certainty, Place, PlaceState, Runner};
use crate::ingress::configuration::Engine;
use crate::prelude::*;

/// How long an adapter loads of which the engine has a copy.
pub const WARM_LOAD: Duration = Duration::from_millis(25);

/// How long an adapter loads from the weight store.
pub const COLD_LOAD: Duration = Duration::from_millis(250);

/// Adapters that an engine loads at once.
const LOADS_PER_ENGINE: usize = 4;

/// The advantage that a copy elsewhere must have over waiting for an engine that has the adapter:
/// a load pushes another adapter out, which somebody will miss.
const LOAD_RELUCTANCE: Duration = Duration::from_millis(40);

/// The advantage that a copy from the weight store must have, which also takes a share of what the
/// store gives to all engines.
const FETCH_RELUCTANCE: Duration = Duration::from_millis(150);

/// What pushing out an adapter costs for each request that it had in the last ten seconds.
const EVICTION_COST_PER_REQUEST: Duration = Duration::from_millis(15);

/// How long a place is likely to take to become free when all are in use.
const NO_PLACE_WAIT: Duration = Duration::from_millis(400);

/// The queue of prompts at an engine up to which it gets further requests. Short, so that the order
/// of waiting stays the scheduler's; long enough that the engine always has the next prompt.
pub const ENGINE_QUEUE: Duration = Duration::from_millis(120);

/// The part of an engine's cache that may be promised to requests.
const CACHE_SHARE: f64 = 0.9;

/// The distance of the engines, which are all in the scheduler's zone, for [`crate::ingress::health`].
const NO_DISTANCE: Duration = Duration::ZERO;

/// What has to happen before a request can run at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing: it can be sent.
    Use,
    /// The adapter is on its way.
    Await,
    /// The adapter has to be loaded.
    Load {
        /// Whether it comes from the weight store.
        is_cold: bool,
    },
    /// Something at the engine stands in the way for now.
    Queue(Obstacle),
}

/// What stands in the way of a request at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Obstacle {
    /// It has prompts to read.
    Prompts,
    /// It has no slot or cache left.
    Full,
    /// All its places for adapters are in use.
    Places,
    /// It loads as many adapters at once as it may.
    Loads,
    /// What it holds is not known for certain, or it does not answer orders.
    Unsettled,
    /// It holds an older version of the adapter, which is in use.
    OldVersion,
}

impl Step {
    /// Returns whether the adapter has to come from the weight store.
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
    /// The expected time to the first event.
    pub start: Duration,
}

/// What bounds the loads of adapters from the weight store.
#[derive(Clone, Copy, Debug)]
pub struct ColdLoads {
    /// Those that are on their way now.
    pub under_way: usize,
    /// Those that wait for their turn.
    pub waiting: usize,
    /// Those that may be on their way before each takes longer.
    pub limit: usize,
    /// How long each takes.
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
        let Some((weight, candidate)) = weigh(key, runner, engine, request, cold, now) else {
            continue;
        };
        if best.as_ref().is_none_or(|(least, _)| weight < *least) {
            best = Some((weight, candidate));
        }
    }
    best.map(|(_, candidate)| candidate)
}

/// Returns the weight of an engine and what it would take, or `None` if it cannot run the request.
fn weigh(
    key: key::Upstream,
    runner: &Runner,
    engine: &Engine,
    request: &Request,
    cold: ColdLoads,
    now: Instant,
) -> Option<(Duration, Candidate)> {
    let is_usable = !runner.is_draining
        && runner.service == request.service
        && runner.base == Base::Present(request.model.clone())
        && !runner.health.is_ejected(now)
        && !request.excluded.contains(&runner.id);
    if !is_usable {
        return None;
    }
    let backlog = runner.backlog();
    let (mut step, load, reluctance) = adapter_step(runner, engine, request, cold, now);
    let own = runner.reading_time(u64::from(runner.uncached_tokens(request)));
    let start = runner.queue().max(load) + own;
    // A load that ends no sooner than the engine could take the prompt need not wait for that.
    let is_ahead = matches!(step, Step::Load { .. }) && backlog <= ENGINE_QUEUE + load;
    if backlog > ENGINE_QUEUE && !is_ahead {
        step = Step::Queue(Obstacle::Prompts);
    } else if !has_room(runner, engine, request) {
        step = Step::Queue(Obstacle::Full);
    }
    // Prompts whose adapters arrive together are read one after another.
    let crowding = match step {
        Step::Load { .. } => runner.reading_time(runner.queued_tokens).min(load),
        Step::Use | Step::Await | Step::Queue(_) => Duration::ZERO,
    };
    let penalty = Duration::from_secs_f64(runner.health.cost(runner.slots, NO_DISTANCE));
    Some((start + reluctance + crowding + penalty, Candidate { runner: key, step, start }))
}

/// Returns what the request's adapter needs, how long it takes, and what it costs others.
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
    match runner.places.get(adapter) {
        Some(place) if is_current(place, request) => match place.state {
            PlaceState::Present => return (Step::Use, Duration::ZERO, Duration::ZERO),
            PlaceState::Loading { .. } | PlaceState::Reserved { .. } if runner.is_silent => {
                return (Step::Queue(Obstacle::Unsettled), NO_PLACE_WAIT, LOAD_RELUCTANCE);
            }
            PlaceState::Loading { check_at, .. } => {
                return (Step::Await, check_at.since(now), Duration::ZERO);
            }
            PlaceState::Reserved { .. } => {
                return (Step::Await, load_time(runner, adapter, cold), Duration::ZERO);
            }
            PlaceState::Unloading => {
                return (Step::Queue(Obstacle::Places), NO_PLACE_WAIT, LOAD_RELUCTANCE);
            }
        },
        // An older version of it has to go first.
        Some(place) if place.users > 0 || place.state != PlaceState::Present => {
            return (Step::Queue(Obstacle::OldVersion), NO_PLACE_WAIT, LOAD_RELUCTANCE);
        }
        Some(_) | None => {}
    }
    let time = load_time(runner, adapter, cold);
    let is_known = matches!(runner.certainty, Certainty::Known | Certainty::Ordering);
    let is_blocked = !is_known || runner.is_silent;
    let queued = |obstacle| (Step::Queue(obstacle), time + NO_PLACE_WAIT, LOAD_RELUCTANCE);
    if is_blocked {
        return queued(Obstacle::Unsettled);
    }
    if runner.loading() >= LOADS_PER_ENGINE {
        return queued(Obstacle::Loads);
    }
    let is_cold = !runner.is_warm(adapter);
    let copying = if is_cold { FETCH_RELUCTANCE } else { LOAD_RELUCTANCE };
    let reluctance = match runner.places_free(engine.adapter_places) {
        Some(0) => match runner.victim(now) {
            Some((_, popularity)) => copying + EVICTION_COST_PER_REQUEST.mul_f64(popularity),
            None => return queued(Obstacle::Places),
        },
        Some(_) => copying,
        None => return queued(Obstacle::Places),
    };
    (Step::Load { is_cold }, time, reluctance)
}

/// Returns whether an adapter's version will do for a request.
pub fn is_current(place: &Place, request: &Request) -> bool {
    match (request.version, place.version) {
        (Some(wanted), Some(held)) => held >= wanted,
        (Some(_), None) => false,
        (None, _) => true,
    }
}

/// Returns how long an engine takes to load an adapter.
pub fn load_time(runner: &Runner, adapter: &str, cold: ColdLoads) -> Duration {
    if runner.is_warm(adapter) {
        return WARM_LOAD;
    }
    let crowd = (cold.under_way + cold.waiting + 1) as f64 / cold.limit.max(1) as f64;
    cold.time.mul_f64(crowd.max(1.0))
}

/// Returns whether the engine has a slot and cache for the request.
fn has_room(runner: &Runner, engine: &Engine, request: &Request) -> bool {
    let tokens = u64::from(request.prompt_tokens) + u64::from(request.output_tokens);
    let promised = (runner.tokens_in_flight() + tokens) as f64;
    let is_first = runner.flights.is_empty();
    runner.flights.len() < engine.slots
        && (is_first || promised <= engine.cache_tokens as f64 * CACHE_SHARE)
}
