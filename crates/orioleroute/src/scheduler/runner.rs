//! One model engine as its scheduler knows it.

use std::net::SocketAddr;

use super::RequestKey;
use super::order::Report;
use crate::ingress::health::Health;
use crate::ingress::upstream::{Description, State};
use crate::prelude::*;

/// The prompt tokens that an engine reads in a millisecond, until it has shown its own rate: about
/// what the engines of today's deployments reach beside other requests.
const INITIAL_RATE: f64 = 18.0;

/// The bounds of a learnt rate, in tokens a millisecond.
const RATE_BOUNDS: (f64, f64) = (2.0, 40.0);

/// The weight of one observation in an engine's rate.
const RATE_SMOOTHING: f64 = 0.1;

/// The adapters that an engine keeps copies of beside those that it holds.
const RECENT_ADAPTERS: usize = 36;

/// The prompt parts that an engine is assumed to remember.
const REMEMBERED_PARTS: usize = 512;

/// The time in which an adapter's popularity falls to a third.
const POPULARITY_DECAY: Duration = Duration::from_secs(10);

/// One model engine as its scheduler knows it.
#[derive(Clone, Debug)]
pub struct Runner {
    /// Its id.
    pub id: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// Where it takes requests and orders.
    pub address: SocketAddr,
    /// Its start.
    pub started_ms: u64,
    /// Whether it leaves.
    pub is_draining: bool,
    /// The requests that it runs at once.
    pub slots: usize,
    /// Its base model.
    pub base: Base,
    /// The adapters that it holds or is ordered to hold.
    pub places: Map<Arc<str>, Place>,
    /// The requests granted to it that have not ended.
    pub flights: Map<RequestKey, Flight>,
    /// How it has answered.
    pub health: Health,
    /// The orders that it has accepted, as far as known.
    pub orders: u64,
    /// Whether the state is known well enough to give orders.
    pub certainty: Certainty,
    /// Whether its last order had no answer.
    pub is_silent: bool,
    /// The prompt tokens of the requests that wait for it at the scheduler.
    pub queued_tokens: u64,
    /// Adapters of which an older version has to be dropped before the newer one is loaded.
    pub outdated: Vec<Arc<str>>,
    recent: Vec<Arc<str>>,
    parts: Map<u64, Instant>,
    rate: f64,
    busy_since: Instant,
}

/// The base model of an engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Base {
    /// It holds none.
    Absent,
    /// It is loading one.
    Loading {
        /// The model.
        model: Arc<str>,
        /// When to look whether it is there.
        check_at: Instant,
        /// Whether the engine has accepted the order; asking again does not count as another one.
        is_accepted: bool,
    },
    /// It holds this one.
    Present(Arc<str>),
}

/// Whether an engine's state is known well enough to give orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Certainty {
    /// All orders so far have had an answer.
    Known,
    /// An order is on its way.
    Ordering,
    /// A report that is asked for at this time will tell.
    AskAt(Instant),
    /// A report was asked for.
    Asking,
}

/// An adapter that an engine holds or is ordered to hold; it takes one of the engine's places.
#[derive(Clone, Debug)]
pub struct Place {
    /// The adapter's version, if known.
    pub version: Option<u64>,
    /// Whether it can be used.
    pub state: PlaceState,
    /// The requests that use it or wait for it.
    pub users: u32,
    popularity: Popularity,
}

/// How much an adapter is asked for: about its requests in the last ten seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Popularity {
    value: f64,
    since: Instant,
}

impl Popularity {
    /// Returns the popularity at the time `now`.
    pub fn at(&self, now: Instant) -> f64 {
        self.value * (-now.since(self.since).as_secs_f64() / POPULARITY_DECAY.as_secs_f64()).exp()
    }

    /// Counts a request.
    pub fn touch(&mut self, now: Instant) {
        self.value = self.at(now) + 1.0;
        self.since = now;
    }
}

/// Whether an adapter can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlaceState {
    /// It can be used.
    Present,
    /// It is on its way, and likely there at this time.
    Loading {
        /// When to look whether it is there.
        check_at: Instant,
        /// Whether it comes from the weight store.
        is_cold: bool,
        /// Whether the engine has accepted the order; asking again does not count as another one.
        is_accepted: bool,
        /// When it was ordered or, if it is, accepted.
        since: Instant,
    },
    /// It is to be loaded once the engine takes the order and has a place for it.
    Reserved {
        /// Whether it comes from the weight store.
        is_cold: bool,
    },
    /// It is being dropped.
    Unloading,
}

/// A request that was granted to an engine.
#[derive(Clone, Debug)]
pub struct Flight {
    /// The adapter.
    pub adapter: Option<Arc<str>>,
    /// The prompt tokens that the engine has to read.
    pub prefill_tokens: u32,
    /// All tokens of the prompt and output.
    pub tokens: u64,
    /// Whether the first event has come.
    pub is_started: bool,
    /// When it was granted.
    pub granted: Instant,
    /// When it is given up if nothing is heard of it.
    pub expires: Instant,
}

impl Place {
    /// Returns a place for an adapter that is used now.
    pub fn new(version: Option<u64>, state: PlaceState, now: Instant) -> Self {
        Self { version, state, users: 0, popularity: Popularity { value: 0.0, since: now } }
    }

    /// Returns the adapter's popularity at this engine.
    pub fn popularity(&self, now: Instant) -> f64 {
        self.popularity.at(now)
    }

    /// Counts a request for the adapter.
    pub fn touch(&mut self, now: Instant) {
        self.popularity.touch(now);
    }
}

impl Runner {
    /// Returns an engine of which only its description is known.
    pub fn new(description: &Description, now: Instant) -> Self {
        let mut runner = Self {
            id: description.id.clone(),
            service: description.service.clone(),
            address: description.address,
            started_ms: description.started_ms,
            is_draining: description.state == State::Draining,
            slots: description.slots,
            base: Base::Absent,
            places: Map::default(),
            flights: Map::default(),
            health: Health::default(),
            orders: description.orders,
            certainty: Certainty::AskAt(now),
            is_silent: false,
            queued_tokens: 0,
            outdated: Vec::new(),
            recent: Vec::new(),
            parts: Map::default(),
            rate: INITIAL_RATE,
            busy_since: now,
        };
        runner.adopt_models(&description.models, now);
        runner
    }

    /// Takes over what a report says, for an engine that has no order under way.
    pub fn adopt_report(&mut self, report: &Report, now: Instant) {
        self.orders = report.orders;
        self.outdated.clear();
        let base = self.base.clone();
        self.adopt_models(&report.models, now);
        if report.is_busy && self.base == Base::Absent && matches!(base, Base::Loading { .. }) {
            self.base = base;
        }
        for revision in &report.pending {
            let state =
                PlaceState::Loading { check_at: now, is_cold: true, is_accepted: true, since: now };
            let place = self.places.entry(revision.name.clone());
            place.or_insert_with(|| Place::new(Some(revision.version), state, now));
        }
    }

    /// Returns the base model that it holds.
    pub fn model(&self) -> Option<&Arc<str>> {
        match &self.base {
            Base::Present(model) => Some(model),
            Base::Absent | Base::Loading { .. } => None,
        }
    }

    /// Returns whether it kept a copy of an adapter, which loads ten times as fast.
    pub fn is_warm(&self, adapter: &str) -> bool {
        self.recent.iter().any(|name| **name == *adapter)
    }

    /// Takes note that the engine has a copy of an adapter.
    pub fn remember(&mut self, adapter: &Arc<str>) {
        remember(&mut self.recent, adapter.clone(), RECENT_ADAPTERS);
    }

    /// Returns how many adapters are on their way or will be.
    pub fn loading(&self) -> usize {
        let is_coming = |place: &&Place| {
            matches!(place.state, PlaceState::Loading { .. } | PlaceState::Reserved { .. })
        };
        self.places.values().filter(is_coming).count()
    }

    /// Returns how many places are taken at the engine itself.
    pub fn places_taken(&self) -> usize {
        let is_there = |place: &&Place| !matches!(place.state, PlaceState::Reserved { .. });
        self.places.values().filter(is_there).count() + self.outdated.len()
    }

    /// Returns how many of its places are free beside those that were promised, or `None` if even
    /// dropping all idle adapters would not free another one.
    pub fn places_free(&self, capacity: usize) -> Option<usize> {
        let is_reserved = |place: &&Place| matches!(place.state, PlaceState::Reserved { .. });
        let reserved = self.places.values().filter(is_reserved).count();
        let is_idle = |place: &&Place| place.state == PlaceState::Present && place.users == 0;
        let idle = self.places.values().filter(is_idle).count();
        let taken = self.places_taken();
        let free = capacity.saturating_sub(taken);
        (free + idle > reserved).then(|| free.saturating_sub(reserved))
    }

    /// Returns the next adapter to drop.
    pub fn next_unload(&self) -> Option<Arc<str>> {
        let unloading = self.places.iter().find(|(_, place)| place.state == PlaceState::Unloading);
        self.outdated.first().or(unloading.map(|(adapter, _)| adapter)).cloned()
    }

    /// Returns the idle adapter that is missed least when it is dropped, with its popularity.
    pub fn victim(&self, now: Instant) -> Option<(Arc<str>, f64)> {
        let idle = self
            .places
            .iter()
            .filter(|(_, place)| place.users == 0 && place.state == PlaceState::Present);
        let popularities = idle.map(|(name, place)| (name.clone(), place.popularity(now)));
        popularities.min_by(|(_, one), (_, other)| one.total_cmp(other))
    }

    /// Returns the prompt tokens of a request that the engine has to read, given what it keeps.
    pub fn uncached_tokens(&self, request: &super::Request) -> u32 {
        let mut cached = 0;
        for part in &request.parts {
            if !self.parts.contains_key(&part.key) {
                break;
            }
            cached += part.tokens;
        }
        request.prompt_tokens.saturating_sub(cached)
    }

    /// Returns how long the engine will read prompts before it reads another one's.
    pub fn backlog(&self) -> Duration {
        let waiting = self.flights.values().filter(|flight| !flight.is_started);
        let tokens: u64 = waiting.map(|flight| u64::from(flight.prefill_tokens)).sum();
        self.reading_time(tokens)
    }

    /// Returns how long the engine will read prompts before it reads one that has yet to be queued.
    pub fn queue(&self) -> Duration {
        self.backlog() + self.reading_time(self.queued_tokens)
    }

    /// Returns how long the engine reads this many prompt tokens.
    pub fn reading_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.rate / 1_000.0)
    }

    /// Returns the tokens of all requests that it runs.
    pub fn tokens_in_flight(&self) -> u64 {
        self.flights.values().map(|flight| flight.tokens).sum()
    }

    /// Returns the prompt tokens that it reads in a millisecond.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Takes note of a granted request.
    pub fn begin(&mut self, key: RequestKey, request: &super::Request, now: Instant) {
        if self.flights.values().all(|flight| flight.is_started) {
            self.busy_since = now;
        }
        let flight = Flight {
            adapter: request.adapter.clone(),
            prefill_tokens: self.uncached_tokens(request),
            tokens: u64::from(request.prompt_tokens) + u64::from(request.output_tokens),
            is_started: false,
            granted: now,
            expires: request.deadline + FLIGHT_SLACK,
        };
        self.parts.extend(request.parts.iter().map(|part| (part.key, now)));
        self.forget_old_parts();
        self.flights.insert(key, flight);
        self.health.begin();
    }

    /// Takes note of a request's first event, and learns from it how fast the engine reads.
    pub fn start(&mut self, key: RequestKey, now: Instant) {
        let Some(flight) = self.flights.get_mut(&key).filter(|flight| !flight.is_started) else {
            return;
        };
        flight.is_started = true;
        let span = now.since(self.busy_since.max(flight.granted)).as_secs_f64() * 1_000.0;
        let tokens = f64::from(flight.prefill_tokens);
        self.busy_since = now;
        if tokens >= MIN_SAMPLE_TOKENS && span > 0.0 {
            let (least, most) = RATE_BOUNDS;
            let observed = (tokens / span).clamp(least, most);
            self.rate += RATE_SMOOTHING * (observed - self.rate);
        }
    }

    /// Drops the half of the prompt parts that was used longest ago once there are too many.
    fn forget_old_parts(&mut self) {
        if self.parts.len() <= REMEMBERED_PARTS {
            return;
        }
        let mut times: Vec<Instant> = self.parts.values().copied().collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        self.parts.retain(|_, used| *used >= median);
    }

    fn adopt_models(&mut self, models: &[crate::ingress::upstream::Model], now: Instant) {
        self.base = match models.first() {
            Some(model) => Base::Present(model.name.clone()),
            None => Base::Absent,
        };
        let mut before = std::mem::take(&mut self.places);
        for revision in models.iter().flat_map(|model| &model.adapters) {
            let mut place = before
                .remove(&revision.name)
                .unwrap_or_else(|| Place::new(Some(revision.version), PlaceState::Present, now));
            place.version = Some(revision.version);
            place.state = PlaceState::Present;
            self.places.insert(revision.name.clone(), place);
            remember(&mut self.recent, revision.name.clone(), RECENT_ADAPTERS);
        }
        before.retain(|_, place| matches!(place.state, PlaceState::Reserved { .. }));
        self.places.extend(before);
    }
}

/// How long after its deadline a granted request counts as running if nothing is heard of it.
const FLIGHT_SLACK: Duration = Duration::from_millis(500);

/// The shortest prompt that tells how fast an engine reads; shorter ones measure its steps.
const MIN_SAMPLE_TOKENS: f64 = 500.0;

/// Moves `item` to the end of a list of the `most` latest items.
fn remember<T: PartialEq>(items: &mut Vec<T>, item: T, most: usize) {
    match items.iter().position(|known| *known == item) {
        Some(index) => {
            items.remove(index);
        }
        None if items.len() >= most => {
            items.remove(0);
        }
        None => {}
    }
    items.push(item);
}
