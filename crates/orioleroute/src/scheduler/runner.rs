//! The scheduler's record of one model engine.

use std::net::SocketAddr;

use super::RequestKey;
use super::order::Report;
use super::popularity::Popularity;
use crate::ingress::Notice;
use crate::ingress::health::Health;
use crate::ingress::notice::Limit;
use crate::ingress::pace::Pace;
use crate::ingress::upstream::{Description, State};
use crate::prelude::*;

/// Initial prefill rate of an engine in tokens per millisecond, until its own rate has been observed:
/// about what the engines of today's deployments reach while they run other requests.
const INITIAL_PREFILL_RATE: f64 = 18.0;

/// Bounds of the observed prefill rate, in tokens per millisecond.
const PREFILL_RATE_BOUNDS: (f64, f64) = (2.0, 40.0);

/// Weight of one observation in the moving average of an engine's prefill rate.
const PREFILL_RATE_SMOOTHING: f64 = 0.1;

/// Number of prompt parts that an engine is assumed to keep in its cache.
const MAX_CACHED_PARTS: usize = 512;

/// The scheduler's record of one model engine.
#[derive(Clone, Debug)]
pub struct Runner {
    /// The engine's id.
    pub id: Arc<str>,
    /// The service that the engine belongs to.
    pub service: Arc<str>,
    /// The address for requests and orders.
    pub address: SocketAddr,
    /// The version of its software.
    pub build: Arc<str>,
    /// The engine's start time, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Whether the engine is draining, or leaving according to an instance with a newer list.
    pub is_draining: bool,
    /// The version of the engine's entry in the list.
    pub entry_version: u64,
    /// The newest version of the list from which an instance knew that the engine was leaving.
    departed_at: Option<u64>,
    /// Whether the engine has said in an answer that it leaves.
    has_announced_leave: bool,
    /// The pace of the limit that it names, if it does.
    pace: Option<Pace>,
    /// When the last answer arrived that named a limit, or none any more.
    limit_stated: Option<Instant>,
    /// The number of requests that it runs concurrently.
    pub slots: usize,
    /// The state of its base model.
    pub base_model: BaseModel,
    /// The adapters that it holds, loads or unloads, or that have a slot reserved.
    pub adapter_slots: Map<Arc<str>, AdapterSlot>,
    /// The granted requests that have not ended.
    pub in_flight: Map<RequestKey, InFlightRequest>,
    /// The health derived from the outcomes of requests and orders.
    pub health: Health,
    /// The number of orders that it is known to have accepted.
    pub accepted_orders: u64,
    /// Whether the state is known well enough to issue orders.
    pub certainty: Certainty,
    /// Whether the last order could not be sent or was not answered.
    pub is_unresponsive: bool,
    /// The prompt tokens of the requests that wait for this engine at the scheduler.
    pub queued_tokens: u64,
    /// The number of requests that wait for this engine at the scheduler.
    pub queued_requests: u32,
    /// Adapters of which an older version has to be unloaded before the newer one is loaded.
    pub outdated: Vec<Arc<str>>,
    /// The adapters of which the engine has a copy, the most recent one last.
    pub(super) recent: Vec<Arc<str>>,
    parts: Map<u64, Instant>,
    prefill_rate: f64,
    busy_since: Instant,
}

/// The base model of an engine.
#[derive(Clone, Debug, PartialEq)]
pub enum BaseModel {
    /// The engine holds no base model.
    Absent,
    /// The engine is loading a base model.
    Loading {
        /// The base model.
        model: Arc<str>,
        /// When to check whether it has been loaded.
        check_at: Instant,
        /// Whether the engine has accepted the order. Repeating it does not count as another order.
        is_accepted: bool,
    },
    /// The engine holds this base model.
    Present(Arc<str>),
}

/// Whether an engine's state is known well enough to issue orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Certainty {
    /// All orders so far have been answered.
    Known,
    /// An order has been issued and not answered yet.
    OrderPending,
    /// The state is uncertain; a report is to be requested at this time.
    ReportDue(Instant),
    /// A report has been requested.
    ReportPending,
}

/// An adapter slot of an engine, and the adapter that occupies it or has it reserved.
#[derive(Clone, Debug)]
pub struct AdapterSlot {
    /// The adapter's version, if known.
    pub version: Option<u64>,
    /// The state of the adapter.
    pub state: SlotState,
    /// The number of requests that use the adapter or wait for it.
    pub users: u32,
    popularity: Popularity,
}

/// The state of the adapter in a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotState {
    /// The adapter is loaded and can be used.
    Present,
    /// The adapter is being loaded, or its load has been ordered.
    Loading {
        /// When to check whether it has been loaded.
        check_at: Instant,
        /// Whether the adapter comes from the weight store.
        is_cold: bool,
        /// Whether the engine has accepted the order. Repeating it does not count as another order.
        is_accepted: bool,
        /// When the load was accepted or, before that, ordered.
        since: Instant,
        /// Whether an order about the load was not answered, so that its duration says nothing about the
        /// weight store.
        was_unanswered: bool,
    },
    /// The adapter will be loaded once the engine can take an order and has a free slot.
    Reserved {
        /// Whether the adapter comes from the weight store.
        is_cold: bool,
    },
    /// The adapter is being unloaded.
    Unloading,
}

/// A request that was granted to an engine.
#[derive(Clone, Debug)]
pub struct InFlightRequest {
    /// The adapter that the request uses.
    pub adapter: Option<Arc<str>>,
    /// The ids of the prompt's parts; the last one is the request's own.
    pub part_ids: Arc<[u64]>,
    /// The digest of what the client asks for, if the instance sent it.
    pub content: Option<u64>,
    /// The prompt tokens that the engine has to prefill.
    pub prefill_tokens: u32,
    /// The tokens of the prompt plus the maximum of the output.
    pub tokens: u64,
    /// When the first event of the response arrived, if it has.
    pub started_at: Option<Instant>,
    /// When the request was granted.
    pub granted: Instant,
    /// When the request counts as ended if its end is not reported.
    pub expires: Instant,
}

impl InFlightRequest {
    /// Returns whether the first event of the response has arrived.
    pub fn is_started(&self) -> bool {
        self.started_at.is_some()
    }
}

impl AdapterSlot {
    /// Returns a slot for an adapter without users.
    pub fn new(version: Option<u64>, state: SlotState, now: Instant) -> Self {
        Self { version, state, users: 0, popularity: Popularity::new(now) }
    }

    /// Returns the adapter's popularity at this engine.
    pub fn popularity(&self, now: Instant) -> f64 {
        self.popularity.at(now)
    }

    /// Counts a request for the adapter.
    pub fn record_request(&mut self, now: Instant) {
        self.popularity.record_request(now);
    }
}

impl Runner {
    /// Returns the record of an engine of which only the description is known.
    pub fn new(description: &Description, now: Instant) -> Self {
        let mut runner = Self {
            id: description.id.clone(),
            service: description.service.clone(),
            address: description.address,
            build: description.build.clone(),
            started_ms: description.started_ms,
            is_draining: description.state == State::Draining,
            entry_version: description.entry_version,
            departed_at: None,
            has_announced_leave: false,
            pace: None,
            limit_stated: None,
            slots: description.slots,
            base_model: BaseModel::Absent,
            adapter_slots: Map::default(),
            in_flight: Map::default(),
            health: Health::default(),
            accepted_orders: description.accepted_orders,
            certainty: Certainty::ReportDue(now),
            is_unresponsive: false,
            queued_tokens: 0,
            queued_requests: 0,
            outdated: Vec::new(),
            recent: Vec::new(),
            parts: Map::default(),
            prefill_rate: INITIAL_PREFILL_RATE,
            busy_since: now,
        };
        runner.adopt_models(&description.models, now);
        runner
    }

    /// Applies the engine's current entry in the list.
    pub fn apply_entry(&mut self, description: &Description) {
        self.entry_version = description.entry_version;
        let has_departed = self.departed_at.is_some_and(|version| version >= self.entry_version);
        let is_draining = description.state == State::Draining;
        self.is_draining = is_draining || has_departed || self.has_announced_leave;
    }

    /// Records what the engine says of itself. It holds until the engine starts again or says otherwise.
    pub fn observe(&mut self, notice: Notice, now: Instant) {
        self.has_announced_leave |= notice.is_leaving;
        self.is_draining |= notice.is_leaving;
        let at = now - Duration::from_millis(notice.age_ms);
        let Some(limit) = notice.limit.filter(|limit| limit.replaces(self.limit_stated, at)) else {
            return;
        };
        self.limit_stated = Some(at);
        match limit {
            Limit::Unlimited => self.pace = None,
            Limit::PerSecond(rate) => {
                let pace = Pace::new(rate, 0.0, now);
                self.pace.get_or_insert(pace).adopt(pace);
            }
        }
    }

    /// Returns whether the engine has named a limit.
    pub fn is_limited(&self) -> bool {
        self.pace.is_some()
    }

    /// Returns the time until the engine's limit allows another request after those that wait for it.
    pub fn pace_delay(&self, now: Instant) -> Duration {
        self.pace.map_or(Duration::ZERO, |pace| pace.delay(self.queued_requests, now))
    }

    /// Returns whether the engine's limit allows a request now.
    pub fn allows_request(&self, now: Instant) -> bool {
        self.pace.is_none_or(|pace| pace.delay(0, now).is_zero())
    }

    /// Records that an instance knows from a version of the list that the engine is leaving. This holds
    /// until the list has a newer entry.
    pub fn record_departure(&mut self, list_version: u64) {
        if list_version >= self.entry_version {
            self.departed_at = self.departed_at.max(Some(list_version));
            self.is_draining = true;
        }
    }

    /// Replaces the state by that of a report, for an engine that has no order pending.
    pub fn adopt_report(&mut self, report: &Report, now: Instant) {
        self.accepted_orders = report.accepted_orders;
        self.outdated.clear();
        let base = self.base_model.clone();
        self.adopt_models(&report.models, now);
        if report.is_busy
            && self.base_model == BaseModel::Absent
            && matches!(base, BaseModel::Loading { .. })
        {
            self.base_model = base;
        }
        for revision in &report.pending {
            let state = SlotState::Loading {
                check_at: now,
                is_cold: true,
                is_accepted: true,
                since: now,
                // The load has begun earlier.
                was_unanswered: true,
            };
            let slot = self.adapter_slots.entry(revision.name.clone());
            slot.or_insert_with(|| AdapterSlot::new(Some(revision.version), state, now));
        }
    }

    /// Counts an order that the engine has accepted. Its report states the number before.
    pub(super) fn count_order(&mut self) {
        self.accepted_orders = self.accepted_orders.saturating_add(1);
    }

    /// Returns the base model that the engine holds.
    pub fn model(&self) -> Option<&Arc<str>> {
        match &self.base_model {
            BaseModel::Present(model) => Some(model),
            BaseModel::Absent | BaseModel::Loading { .. } => None,
        }
    }

    /// Returns the number of adapters that are being loaded or have a slot reserved.
    pub fn loading(&self) -> usize {
        let is_pending = |slot: &&AdapterSlot| {
            matches!(slot.state, SlotState::Loading { .. } | SlotState::Reserved { .. })
        };
        self.adapter_slots.values().filter(is_pending).count()
    }

    /// Returns the number of adapter slots in use at the engine, reservations excluded.
    pub fn adapter_slots_used(&self) -> usize {
        let is_on_engine = |slot: &&AdapterSlot| !matches!(slot.state, SlotState::Reserved { .. });
        self.adapter_slots.values().filter(is_on_engine).count() + self.outdated.len()
    }

    /// Returns the number of adapter slots that are neither used nor reserved, or `None` if even
    /// unloading all idle adapters would not free another one.
    pub fn adapter_slots_free(&self, capacity: usize) -> Option<usize> {
        let is_reserved = |slot: &&AdapterSlot| matches!(slot.state, SlotState::Reserved { .. });
        let reserved = self.adapter_slots.values().filter(is_reserved).count();
        let is_idle = |slot: &&AdapterSlot| slot.state == SlotState::Present && slot.users == 0;
        let idle = self.adapter_slots.values().filter(is_idle).count();
        let taken = self.adapter_slots_used();
        let free = capacity.saturating_sub(taken);
        (free + idle > reserved).then(|| free.saturating_sub(reserved))
    }

    /// Returns the next adapter to unload.
    pub fn next_unload(&self) -> Option<Arc<str>> {
        let unloading =
            self.adapter_slots.iter().find(|(_, slot)| slot.state == SlotState::Unloading);
        self.outdated.first().or(unloading.map(|(adapter, _)| adapter)).cloned()
    }

    /// Returns the least popular idle adapter, which is the one to evict, with its popularity.
    pub fn victim(&self, now: Instant) -> Option<(Arc<str>, f64)> {
        let idle = self
            .adapter_slots
            .iter()
            .filter(|(_, slot)| slot.users == 0 && slot.state == SlotState::Present);
        let popularities = idle.map(|(name, slot)| (name.clone(), slot.popularity(now)));
        popularities.min_by(|(_, one), (_, other)| one.total_cmp(other))
    }

    /// Returns the prompt tokens of a request that the engine has to prefill, given its cache.
    pub fn uncached_tokens(&self, request: &super::Request) -> u32 {
        let mut uncached = request.prompt_tokens;
        for part in &request.parts {
            if !self.parts.contains_key(&part.key) {
                break;
            }
            uncached = uncached.saturating_sub(part.tokens);
        }
        uncached
    }

    /// Returns the time until the engine has prefilled all prompts granted to it.
    pub fn backlog(&self) -> Duration {
        let waiting = self.in_flight.values().filter(|entry| !entry.is_started());
        let tokens: u64 = waiting.map(|entry| u64::from(entry.prefill_tokens)).sum();
        self.prefill_time(tokens)
    }

    /// Returns the time until the engine has prefilled all prompts granted to it or queued for it.
    pub fn queueing_delay(&self) -> Duration {
        self.backlog() + self.prefill_time(self.queued_tokens)
    }

    /// Returns the time that the engine takes to prefill this many prompt tokens.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.prefill_rate / 1_000.0)
    }

    /// Returns the tokens of all requests in flight.
    pub fn tokens_in_flight(&self) -> u64 {
        self.in_flight.values().map(|entry| entry.tokens).sum()
    }

    /// Returns the prefill rate in tokens per millisecond.
    pub fn prefill_rate(&self) -> f64 {
        self.prefill_rate
    }

    /// Records a granted request.
    pub fn record_grant(&mut self, key: RequestKey, request: &super::Request, now: Instant) {
        if self.in_flight.values().all(|entry| entry.is_started()) {
            self.busy_since = now;
        }
        let entry = InFlightRequest {
            adapter: request.adapter.clone(),
            part_ids: request.part_ids.clone(),
            content: request.content,
            prefill_tokens: self.uncached_tokens(request),
            tokens: u64::from(request.prompt_tokens) + u64::from(request.output_tokens),
            started_at: None,
            granted: now,
            expires: request.deadline + IN_FLIGHT_GRACE,
        };
        self.parts.extend(request.parts.iter().map(|part| (part.key, now)));
        self.evict_old_parts();
        if let Some(pace) = &mut self.pace {
            pace.take(now);
        }
        self.in_flight.insert(key, entry);
        self.health.begin();
    }

    /// Records the first event of a request's response, and updates the engine's prefill rate.
    pub fn record_first_event(&mut self, key: RequestKey, now: Instant) {
        let Some(entry) = self.in_flight.get_mut(&key).filter(|entry| !entry.is_started()) else {
            return;
        };
        entry.started_at = Some(now);
        let span = now.since(self.busy_since.max(entry.granted)).as_secs_f64() * 1_000.0;
        let tokens = f64::from(entry.prefill_tokens);
        self.busy_since = now;
        if tokens >= MIN_SAMPLE_TOKENS && span > 0.0 {
            let (lowest, highest) = PREFILL_RATE_BOUNDS;
            let observed = (tokens / span).clamp(lowest, highest);
            self.prefill_rate += PREFILL_RATE_SMOOTHING * (observed - self.prefill_rate);
        }
    }

    /// Evicts the least recently used half of the prompt parts once there are too many.
    fn evict_old_parts(&mut self) {
        if self.parts.len() <= MAX_CACHED_PARTS {
            return;
        }
        let mut times: Vec<Instant> = self.parts.values().copied().collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        self.parts.retain(|_, used| *used >= median);
    }

    fn adopt_models(&mut self, models: &[crate::ingress::upstream::Model], now: Instant) {
        self.base_model = match models.first() {
            Some(model) => BaseModel::Present(model.name.clone()),
            None => BaseModel::Absent,
        };
        let mut previous = std::mem::take(&mut self.adapter_slots);
        for revision in models.iter().flat_map(|model| &model.adapters) {
            let mut slot = previous.remove(&revision.name).unwrap_or_else(|| {
                AdapterSlot::new(Some(revision.version), SlotState::Present, now)
            });
            slot.version = Some(revision.version);
            slot.state = SlotState::Present;
            self.adapter_slots.insert(revision.name.clone(), slot);
            self.record_recent(&revision.name);
        }
        previous.retain(|_, slot| matches!(slot.state, SlotState::Reserved { .. }));
        self.adapter_slots.extend(previous);
    }
}

/// How long after its deadline a granted request counts as running if its end is not reported.
const IN_FLIGHT_GRACE: Duration = Duration::from_millis(500);

/// Length of the shortest prompt, in tokens, from which the prefill rate is measured. Shorter ones
/// measure the duration of the engine's steps.
const MIN_SAMPLE_TOKENS: f64 = 500.0;
