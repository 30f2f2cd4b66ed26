//! What the scheduler orders its engines to do, and what becomes of each order.

use super::order::{Action, Order, Outcome};
use super::placement::{self, ColdLoads};
use super::runner::{Base, Certainty, Place, PlaceState, Runner};
use super::{Output, Request, Scheduler, queue};
use crate::prelude::*;

/// How long after a doubtful order a report is asked for: reports are some hundred milliseconds old.
pub(super) const REPORT_DELAY: Duration = Duration::from_millis(350);

/// The time between looks whether a load has ended that was expected to.
const LOAD_CHECK_INTERVAL: Duration = Duration::from_millis(15);

/// The time between looks whether a base model is there.
const MODEL_CHECK_INTERVAL: Duration = Duration::from_millis(150);

impl Scheduler {
    /// Learns from the end of a fetch how many adapters may be on their way.
    pub(super) fn observe_fetch(
        &mut self,
        key: key::Upstream,
        order: &Order,
        outcome: Outcome,
        now: Instant,
    ) {
        let Action::LoadAdapter { adapter, .. } = &order.action else { return };
        let place = self.runners[key].places.get(adapter);
        if let (Outcome::Holds, Some(place)) = (outcome, place)
            && let PlaceState::Loading { is_cold: true, is_accepted: true, since, .. } = place.state
        {
            let under_way = self.cold_loads(now).under_way;
            self.fetches.observe(now.since(since), under_way, now);
        }
    }

    pub(super) fn cold_loads(&self, now: Instant) -> ColdLoads {
        let (limit, time) = (self.fetches.limit(), self.fetches.time(now));
        let mut cold = ColdLoads { under_way: 0, waiting: 0, limit, time };
        // What a silent engine was to fetch need not be on its way.
        let answering = self.runners.values().filter(|runner| !runner.is_silent);
        for place in answering.flat_map(|runner| runner.places.values()) {
            match place.state {
                PlaceState::Loading { is_cold: true, .. } => cold.under_way += 1,
                PlaceState::Reserved { is_cold: true } => cold.waiting += 1,
                _ => {}
            }
        }
        cold
    }

    /// Promises a place to the request's adapter.
    pub(super) fn reserve(&mut self, key: key::Upstream, request: &Request, now: Instant) {
        let Some(adapter) = request.adapter.clone() else { return };
        let runner = &mut self.runners[key];
        if runner.places.remove(&adapter).is_some() {
            runner.outdated.push(adapter.clone());
        }
        let is_cold = !runner.is_warm(&adapter);
        let place = Place::new(request.version, PlaceState::Reserved { is_cold }, now);
        runner.places.insert(adapter, place);
    }

    /// Gives the next order that an engine is to have, if it can take one now.
    pub(super) fn give_orders(&mut self, key: key::Upstream, now: Instant) {
        let runner = &self.runners[key];
        let Some(model) = runner.model().cloned() else { return };
        if runner.certainty != Certainty::Known {
            return;
        }
        if let Some(adapter) = runner.next_unload() {
            return self.order(key, model, Action::UnloadAdapter { adapter });
        }
        let cold = self.cold_loads(now);
        let Some((adapter, is_cold)) = self.next_load(key, cold, now) else { return };
        let capacity = self.engine(&runner.service).map_or(0, |engine| engine.adapter_places);
        let runner = &mut self.runners[key];
        if runner.places_taken() >= capacity {
            let Some((victim, _)) = runner.victim(now) else { return };
            if let Some(place) = runner.places.get_mut(&victim) {
                place.state = PlaceState::Unloading;
            }
            return self.order(key, model, Action::UnloadAdapter { adapter: victim });
        }
        let time = if is_cold { placement::COLD_LOAD } else { placement::WARM_LOAD };
        let Some(place) = runner.places.get_mut(&adapter) else { return };
        place.state =
            PlaceState::Loading { check_at: now + time, is_cold, is_accepted: false, since: now };
        let version = place.version;
        self.order(key, model, Action::LoadAdapter { adapter, version });
    }

    /// Returns the reserved adapter that an engine is to load next: the one with the most urgent
    /// request, and none from the weight store while as many come from there as do at full speed.
    pub(super) fn next_load(
        &self,
        key: key::Upstream,
        cold: ColdLoads,
        now: Instant,
    ) -> Option<(Arc<str>, bool)> {
        let reserved =
            self.runners[key].places.iter().filter_map(|(adapter, place)| match place.state {
                PlaceState::Reserved { is_cold } => Some((adapter, is_cold)),
                _ => None,
            });
        let may_load = reserved.filter(|(_, is_cold)| !is_cold || cold.under_way < cold.limit);
        let urgency = |adapter: &Arc<str>| {
            let waiting = self.waiting.iter().filter(|waiting| {
                waiting.assigned == Some(key) && waiting.request.adapter.as_ref() == Some(adapter)
            });
            let ranks = waiting.map(|waiting| queue::Rank::of(&waiting.request, now));
            ranks.min().map_or((1, None), |rank| (0, Some(rank)))
        };
        let next = may_load.min_by_key(|(adapter, is_cold)| (*is_cold, urgency(adapter)))?;
        Some((next.0.clone(), next.1))
    }

    pub(super) fn order(&mut self, key: key::Upstream, model: Arc<str>, action: Action) {
        let fencing = self.fencing;
        let runner = &mut self.runners[key];
        runner.certainty = Certainty::Ordering;
        let order = Order {
            upstream: runner.id.clone(),
            model,
            action,
            expected_orders: Some(runner.orders),
            fencing,
        };
        self.outputs.push(Output::Order(runner.address, order));
    }

    /// Loads the base model on an engine that has none, one engine at a time: loads that run beside
    /// each other are slower in proportion.
    pub(super) fn load_missing_model(&mut self, now: Instant) {
        let is_loading = |runner: &Runner| matches!(runner.base, Base::Loading { .. });
        if self.runners.values().any(is_loading) {
            return;
        }
        let empty = self.runners.iter().find(|(_, runner)| {
            runner.base == Base::Absent
                && runner.certainty == Certainty::Known
                && !runner.is_draining
                && !runner.health.is_ejected(now)
        });
        let Some((key, runner)) = empty else { return };
        let Some(model) = self.engine(&runner.service).and_then(|engine| engine.models.first())
        else {
            return;
        };
        let (model, time) = (model.name.clone(), model.load_time);
        let check_at = now + time;
        let base = Base::Loading { model: model.clone(), check_at, is_accepted: false };
        self.runners[key].base = base;
        self.order(key, model, Action::LoadModel);
    }

    pub(super) fn look_after(&mut self, key: key::Upstream, now: Instant) {
        let runner = &mut self.runners[key];
        match runner.certainty {
            Certainty::AskAt(at) if at <= now => {
                runner.certainty = Certainty::Asking;
                let output = Output::Report(runner.address, runner.id.clone());
                self.outputs.push(output);
                return;
            }
            Certainty::Known => {}
            Certainty::AskAt(_) | Certainty::Asking | Certainty::Ordering => return,
        }
        if let Base::Loading { model, check_at, .. } = &runner.base
            && *check_at <= now
        {
            let model = model.clone();
            return self.order(key, model, Action::LoadModel);
        }
        let due = runner.places.iter().find_map(|(adapter, place)| match place.state {
            PlaceState::Loading { check_at, .. } if check_at <= now => {
                Some((adapter.clone(), place.version))
            }
            _ => None,
        });
        if let (Some((adapter, version)), Some(model)) = (due, runner.model().cloned()) {
            self.order(key, model, Action::LoadAdapter { adapter, version });
        }
    }

    /// Frees requests that wait for a load that is no more.
    pub(super) fn release_lost(&mut self, key: key::Upstream) {
        let runner = &self.runners[key];
        for waiting in &mut self.waiting {
            let adapter = waiting.request.adapter.as_ref();
            let is_there = adapter.is_some_and(|adapter| runner.places.contains_key(adapter));
            if waiting.assigned == Some(key) && !is_there {
                waiting.assigned = None;
            }
        }
    }
}

pub(super) fn model_ordered(runner: &mut Runner, model: &Arc<str>, outcome: Outcome, now: Instant) {
    match outcome {
        Outcome::Holds => runner.base = Base::Present(model.clone()),
        Outcome::Accepted => {
            if let Base::Loading { check_at, is_accepted, .. } = &mut runner.base {
                runner.orders += u64::from(!std::mem::replace(is_accepted, true));
                *check_at = (*check_at).max(now + MODEL_CHECK_INTERVAL);
            }
        }
        Outcome::Conflict => {
            if let Base::Loading { check_at, .. } = &mut runner.base {
                *check_at = now + MODEL_CHECK_INTERVAL;
            }
            runner.certainty = Certainty::AskAt(now + MODEL_CHECK_INTERVAL);
        }
        Outcome::Refused | Outcome::Unsent => {
            runner.base = Base::Absent;
            runner.certainty = Certainty::AskAt(now + REPORT_DELAY);
        }
        Outcome::Unanswered => {
            if let Base::Loading { check_at, .. } = &mut runner.base {
                *check_at = now + MODEL_CHECK_INTERVAL;
            }
        }
        Outcome::Fenced => {}
    }
}

/// Takes the answer to the load of an adapter.
///
/// An order without an answer is given again at once: both expect the same number of earlier orders,
/// so the engine carries out one of them, and a conflict tells that it was the first.
pub(super) fn adapter_ordered(
    runner: &mut Runner,
    adapter: &Arc<str>,
    outcome: Outcome,
    now: Instant,
) {
    match outcome {
        Outcome::Holds => {
            runner.remember(adapter);
            if let Some(place) = runner.places.get_mut(adapter) {
                place.state = PlaceState::Present;
            }
        }
        Outcome::Accepted => {
            if let Some(place) = runner.places.get_mut(adapter)
                && let PlaceState::Loading { check_at, is_accepted, since, .. } = &mut place.state
            {
                if !std::mem::replace(is_accepted, true) {
                    runner.orders += 1;
                    *since = now;
                }
                *check_at = (*check_at).max(now + LOAD_CHECK_INTERVAL);
            }
        }
        Outcome::Conflict => {
            if let Some(place) = runner.places.get_mut(adapter)
                && let PlaceState::Loading { check_at, .. } = &mut place.state
            {
                *check_at = now + LOAD_CHECK_INTERVAL;
            }
            runner.certainty = Certainty::AskAt(now + REPORT_DELAY);
        }
        Outcome::Refused | Outcome::Unsent => {
            runner.places.remove(adapter);
            runner.certainty = Certainty::AskAt(now + REPORT_DELAY);
        }
        Outcome::Unanswered => {
            if let Some(place) = runner.places.get_mut(adapter)
                && let PlaceState::Loading { check_at, .. } = &mut place.state
            {
                *check_at = now;
            }
        }
        Outcome::Fenced => {}
    }
}

pub(super) fn unload_ordered(
    runner: &mut Runner,
    adapter: &Arc<str>,
    outcome: Outcome,
    now: Instant,
) {
    match outcome {
        Outcome::Holds => {
            runner.orders += 1;
            match runner.outdated.iter().position(|outdated| outdated == adapter) {
                Some(index) => {
                    runner.outdated.remove(index);
                }
                None => {
                    runner.places.remove(adapter);
                }
            }
        }
        Outcome::Accepted => {
            // It waits for requests of which this scheduler does not know.
            runner.orders += 1;
            runner.certainty = Certainty::AskAt(now + REPORT_DELAY);
        }
        Outcome::Conflict | Outcome::Refused | Outcome::Unsent => {
            runner.certainty = Certainty::AskAt(now + REPORT_DELAY);
        }
        // It is given again, like a load.
        Outcome::Unanswered | Outcome::Fenced => {}
    }
}
