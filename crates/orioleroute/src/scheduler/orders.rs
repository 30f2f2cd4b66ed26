//! The orders that the scheduler issues to its engines, and the handling of their outcomes.

use super::order::{Action, Order, Outcome};
use super::placement::{self, ColdLoads};
use super::runner::{AdapterSlot, BaseModel, Certainty, Runner, SlotState};
use super::{Output, Request, Scheduler, queue};
use crate::prelude::*;

/// How long after an uncertain order a report is requested: reports are a few hundred milliseconds
/// old.
pub(super) const REPORT_DELAY: Duration = Duration::from_millis(350);

/// Interval between checks of an adapter load that was expected to have ended.
const LOAD_CHECK_INTERVAL: Duration = Duration::from_millis(15);

/// Interval between checks of a base model load.
const MODEL_CHECK_INTERVAL: Duration = Duration::from_millis(150);

impl Scheduler {
    /// Adjusts the limit on concurrent fetches when a fetch has ended. Fetches that were delayed by an
    /// unanswered order do not count: the limit would shrink although the weight store is idle.
    pub(super) fn observe_fetch(
        &mut self,
        key: key::Upstream,
        order: &Order,
        outcome: Outcome,
        now: Instant,
    ) {
        let Action::LoadAdapter { adapter, .. } = &order.action else { return };
        let slot = self.runners[key].adapter_slots.get(adapter);
        if let (Outcome::Holds, Some(slot)) = (outcome, slot)
            && let SlotState::Loading {
                is_cold: true,
                is_accepted: true,
                since,
                was_unanswered: false,
                ..
            } = slot.state
        {
            let in_progress = self.cold_loads(now).in_progress;
            self.fetches.observe(now.since(since), in_progress, now);
        }
    }

    pub(super) fn cold_loads(&self, now: Instant) -> ColdLoads {
        let (limit, time) = (self.fetches.limit(), self.fetches.time(now));
        let mut cold = ColdLoads { in_progress: 0, waiting: 0, limit, time };
        // The fetches of an unresponsive engine may not be in progress.
        let answering = self.runners.values().filter(|runner| !runner.is_unresponsive);
        for slot in answering.flat_map(|runner| runner.adapter_slots.values()) {
            match slot.state {
                SlotState::Loading { is_cold: true, .. } => cold.in_progress += 1,
                SlotState::Reserved { is_cold: true } => cold.waiting += 1,
                _ => {}
            }
        }
        cold
    }

    /// Reserves an adapter slot for the request's adapter.
    pub(super) fn reserve(&mut self, key: key::Upstream, request: &Request, now: Instant) {
        let Some(adapter) = request.adapter.clone() else { return };
        let runner = &mut self.runners[key];
        if runner.adapter_slots.remove(&adapter).is_some() {
            runner.outdated.push(adapter.clone());
        }
        let is_cold = !runner.is_warm(&adapter);
        let slot = AdapterSlot::new(request.version, SlotState::Reserved { is_cold }, now);
        runner.adapter_slots.insert(adapter, slot);
    }

    /// Issues the next order to an engine, if there is one and the engine can take it now.
    pub(super) fn issue_next_order(&mut self, key: key::Upstream, now: Instant) {
        let runner = &self.runners[key];
        let Some(model) = runner.model().cloned() else { return };
        if runner.certainty != Certainty::Known {
            return;
        }
        if let Some(adapter) = runner.next_unload() {
            return self.issue_order(key, model, Action::UnloadAdapter { adapter });
        }
        let cold = self.cold_loads(now);
        let Some((adapter, is_cold)) = self.next_load(key, cold, now) else { return };
        let capacity = self.engine(&runner.service).map_or(0, |engine| engine.adapter_slots);
        let runner = &mut self.runners[key];
        if runner.adapter_slots_used() >= capacity {
            let Some((victim, _)) = runner.victim(now) else { return };
            if let Some(slot) = runner.adapter_slots.get_mut(&victim) {
                slot.state = SlotState::Unloading;
            }
            return self.issue_order(key, model, Action::UnloadAdapter { adapter: victim });
        }
        let time = if is_cold { placement::COLD_LOAD } else { placement::WARM_LOAD };
        let Some(slot) = runner.adapter_slots.get_mut(&adapter) else { return };
        slot.state = SlotState::Loading {
            check_at: now + time,
            is_cold,
            is_accepted: false,
            since: now,
            was_unanswered: false,
        };
        let version = slot.version;
        self.issue_order(key, model, Action::LoadAdapter { adapter, version });
    }

    /// Returns the adapter that an engine is to load next, and whether it comes from the weight store:
    /// the reserved one with the most urgent request, those with a copy at the engine first, and none
    /// from the weight store while as many loads are in progress as run at full speed.
    pub(super) fn next_load(
        &self,
        key: key::Upstream,
        cold: ColdLoads,
        now: Instant,
    ) -> Option<(Arc<str>, bool)> {
        let reserved =
            self.runners[key].adapter_slots.iter().filter_map(|(adapter, slot)| match slot.state {
                SlotState::Reserved { is_cold } => Some((adapter, is_cold)),
                _ => None,
            });
        let may_load = reserved.filter(|(_, is_cold)| !is_cold || cold.in_progress < cold.limit);
        let urgency = |adapter: &Arc<str>| {
            let waiting = self.waiting.iter().filter(|waiting| {
                waiting.assigned == Some(key) && waiting.request.adapter.as_ref() == Some(adapter)
            });
            let ranks =
                waiting.map(|waiting| queue::Rank::of(&waiting.request, waiting.standing, now));
            ranks.min().map_or((1, None), |rank| (0, Some(rank)))
        };
        let next = may_load.min_by_key(|(adapter, is_cold)| (*is_cold, urgency(adapter)))?;
        Some((next.0.clone(), next.1))
    }

    pub(super) fn issue_order(&mut self, key: key::Upstream, model: Arc<str>, action: Action) {
        let fencing_token = self.fencing_token;
        let runner = &mut self.runners[key];
        runner.certainty = Certainty::OrderPending;
        let order = Order {
            upstream: runner.id.clone(),
            model,
            action,
            expected_accepted_orders: Some(runner.accepted_orders),
            fencing_token,
        };
        self.outputs.push(Output::IssueOrder(runner.address, order));
    }

    /// Loads the base model on an engine that has none, one engine at a time, because concurrent loads
    /// are slower in proportion to their number.
    pub(super) fn load_missing_model(&mut self, now: Instant) {
        let is_loading = |runner: &Runner| matches!(runner.base_model, BaseModel::Loading { .. });
        if self.runners.values().any(is_loading) {
            return;
        }
        let empty = self.runners.iter().find(|(_, runner)| {
            runner.base_model == BaseModel::Absent
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
        let base = BaseModel::Loading { model: model.clone(), check_at, is_accepted: false };
        self.runners[key].base_model = base;
        self.issue_order(key, model, Action::LoadModel);
    }

    pub(super) fn check_engine(&mut self, key: key::Upstream, now: Instant) {
        let runner = &mut self.runners[key];
        match runner.certainty {
            Certainty::ReportDue(at) if at <= now => {
                runner.certainty = Certainty::ReportPending;
                let output = Output::RequestReport(runner.address, runner.id.clone());
                self.outputs.push(output);
                return;
            }
            Certainty::Known => {}
            Certainty::ReportDue(_) | Certainty::ReportPending | Certainty::OrderPending => return,
        }
        if let BaseModel::Loading { model, check_at, .. } = &runner.base_model
            && *check_at <= now
        {
            let model = model.clone();
            return self.issue_order(key, model, Action::LoadModel);
        }
        let due = runner.adapter_slots.iter().find_map(|(adapter, slot)| match slot.state {
            SlotState::Loading { check_at, .. } if check_at <= now => {
                Some((adapter.clone(), slot.version))
            }
            _ => None,
        });
        if let (Some((adapter, version)), Some(model)) = (due, runner.model().cloned()) {
            self.issue_order(key, model, Action::LoadAdapter { adapter, version });
        }
    }

    /// Unassigns requests that wait at the engine for an adapter that no longer has a slot there.
    pub(super) fn unassign_lost(&mut self, key: key::Upstream) {
        let runner = &self.runners[key];
        for waiting in &mut self.waiting {
            let adapter = waiting.request.adapter.as_ref();
            let is_there =
                adapter.is_some_and(|adapter| runner.adapter_slots.contains_key(adapter));
            if waiting.assigned == Some(key) && !is_there {
                waiting.assigned = None;
            }
        }
    }
}

pub(super) fn handle_model_load_outcome(
    runner: &mut Runner,
    model: &Arc<str>,
    outcome: Outcome,
    now: Instant,
) {
    match outcome {
        Outcome::Holds => runner.base_model = BaseModel::Present(model.clone()),
        Outcome::Accepted => {
            if let BaseModel::Loading { check_at, is_accepted, .. } = &mut runner.base_model {
                *check_at = (*check_at).max(now + MODEL_CHECK_INTERVAL);
                if !std::mem::replace(is_accepted, true) {
                    runner.count_order();
                }
            }
        }
        Outcome::Conflict => {
            if let BaseModel::Loading { check_at, .. } = &mut runner.base_model {
                *check_at = now + MODEL_CHECK_INTERVAL;
            }
            runner.certainty = Certainty::ReportDue(now + MODEL_CHECK_INTERVAL);
        }
        Outcome::Refused | Outcome::Unsent => {
            runner.base_model = BaseModel::Absent;
            runner.certainty = Certainty::ReportDue(now + REPORT_DELAY);
        }
        Outcome::Unanswered => {
            if let BaseModel::Loading { check_at, .. } = &mut runner.base_model {
                *check_at = now + MODEL_CHECK_INTERVAL;
            }
        }
        Outcome::Fenced => {}
    }
}

/// Handles the outcome of an adapter load.
///
/// An order without an answer is issued again at once. Both expect the same number of earlier orders,
/// so the engine applies only one of them, and a conflict shows that it was the first.
pub(super) fn handle_adapter_load_outcome(
    runner: &mut Runner,
    adapter: &Arc<str>,
    outcome: Outcome,
    now: Instant,
) {
    match outcome {
        Outcome::Holds => {
            runner.record_recent(adapter);
            if let Some(slot) = runner.adapter_slots.get_mut(adapter) {
                slot.state = SlotState::Present;
            }
        }
        Outcome::Accepted => {
            if let Some(slot) = runner.adapter_slots.get_mut(adapter)
                && let SlotState::Loading { check_at, is_accepted, since, .. } = &mut slot.state
            {
                *check_at = (*check_at).max(now + LOAD_CHECK_INTERVAL);
                if !std::mem::replace(is_accepted, true) {
                    *since = now;
                    runner.count_order();
                }
            }
        }
        Outcome::Conflict => {
            if let Some(slot) = runner.adapter_slots.get_mut(adapter)
                && let SlotState::Loading { check_at, .. } = &mut slot.state
            {
                *check_at = now + LOAD_CHECK_INTERVAL;
            }
            runner.certainty = Certainty::ReportDue(now + REPORT_DELAY);
        }
        Outcome::Refused | Outcome::Unsent => {
            runner.adapter_slots.remove(adapter);
            runner.certainty = Certainty::ReportDue(now + REPORT_DELAY);
        }
        Outcome::Unanswered => {
            if let Some(slot) = runner.adapter_slots.get_mut(adapter)
                && let SlotState::Loading { check_at, was_unanswered, .. } = &mut slot.state
            {
                *check_at = now;
                *was_unanswered = true;
            }
        }
        Outcome::Fenced => {}
    }
}

pub(super) fn handle_unload_outcome(
    runner: &mut Runner,
    adapter: &Arc<str>,
    outcome: Outcome,
    now: Instant,
) {
    match outcome {
        Outcome::Holds => {
            runner.count_order();
            match runner.outdated.iter().position(|outdated| outdated == adapter) {
                Some(index) => {
                    runner.outdated.remove(index);
                }
                None => {
                    runner.adapter_slots.remove(adapter);
                }
            }
        }
        Outcome::Accepted => {
            // The engine waits for requests that are unknown to this scheduler.
            runner.count_order();
            runner.certainty = Certainty::ReportDue(now + REPORT_DELAY);
        }
        Outcome::Conflict | Outcome::Refused | Outcome::Unsent => {
            runner.certainty = Certainty::ReportDue(now + REPORT_DELAY);
        }
        // An unanswered order is issued again, as for a load.
        Outcome::Unanswered | Outcome::Fenced => {}
    }
}
