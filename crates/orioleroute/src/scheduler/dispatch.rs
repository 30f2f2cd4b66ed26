//! Advances waiting requests: chooses an engine, reserves and awaits loads, and grants.

use super::message::{Grant, Reason, ToInstance};
use super::placement::{self, Obstacle, Step};
use super::runner::{AdapterSlot, SlotState};
use super::share::Standing;
use super::{Output, Request, Scheduler, Waiting, admission, queue};
use crate::ingress::quarantine;
use crate::prelude::*;

impl Waiting {
    /// Returns the request's rank.
    fn rank(&self, now: Instant) -> queue::Rank {
        queue::Rank::of(&self.request, self.standing, now)
    }

    /// Returns the rank that the request would have if there were no shares.
    fn unshared_rank(&self, now: Instant) -> queue::Rank {
        queue::Rank::of(&self.request, Standing::Inside, now)
    }

    /// Returns the engine at which a request inside its organisation's share waits for room.
    fn wanted_room(&self) -> Option<key::Upstream> {
        let is_full = self.step == Step::Queue(Obstacle::Full);
        self.target.filter(|_| is_full && self.standing == Standing::Inside)
    }
}

impl Scheduler {
    /// Returns the standing of a request that has just arrived.
    pub(super) fn standing(&self, request: &Request, now: Instant) -> Standing {
        if self.shares.is_empty() {
            return Standing::Inside;
        }
        let rank = queue::Rank::of(request, Standing::Inside, now);
        let ahead = self.waiting.iter().filter(|waiting| {
            waiting.request.organisation == request.organisation
                && waiting.request.service == request.service
                && waiting.unshared_rank(now) <= rank
        });
        self.shares.standing_behind(request, ahead.map(|waiting| &waiting.request))
    }

    /// Counts the queues that [`Self::count_queues`] has set longer for a request beyond its organisation's share: what the
    /// organisation has queued takes longer, because requests of others that arrive later go first.
    pub(super) fn stretch_queues(&mut self, request: &Request, standing: Standing, now: Instant) {
        let stretch = self.shares.stretch(request);
        if standing == Standing::Inside || stretch <= 1.0 {
            return;
        }
        let rank = queue::Rank::of(request, standing, now);
        let mut ahead: Map<key::Upstream, u64> = Map::default();
        for waiting in &self.waiting {
            let is_ahead = waiting.request.service == request.service
                && (waiting.standing == Standing::Inside
                    || waiting.request.organisation == request.organisation)
                && waiting.rank(now) <= rank;
            let target = waiting.target.filter(|_| is_ahead);
            if let Some((target, runner)) =
                target.and_then(|key| Some((key, self.runners.get(key)?)))
            {
                *ahead.entry(target).or_default() +=
                    u64::from(runner.uncached_tokens(&waiting.request));
            }
        }
        for (key, tokens) in ahead {
            let runner = &mut self.runners[key];
            runner.queued_tokens = runner.queued_tokens.max((tokens as f64 * stretch) as u64);
        }
    }

    /// Returns whether a request is beyond its organisation's share, and one inside its own waits for room at the engine.
    fn is_taken(&self, runner: key::Upstream, item: &Waiting) -> bool {
        item.standing != Standing::Inside && self.wanted.contains(&runner)
    }

    /// Sets each engine's queued prompt tokens to those of the requests that wait for it and are not
    /// behind `rank`, or of all that wait for it if `rank` is `None`.
    pub(super) fn count_queues(&mut self, rank: Option<queue::Rank>, now: Instant) {
        for runner in self.runners.values_mut() {
            runner.queued_tokens = 0;
            runner.queued_requests = 0;
        }
        for waiting in &self.waiting {
            let is_ahead = rank.is_none_or(|rank| waiting.rank(now) <= rank);
            let target = waiting.target.and_then(|target| self.runners.get_mut(target));
            if let (true, Some(runner)) = (is_ahead, target) {
                runner.queued_tokens += u64::from(runner.uncached_tokens(&waiting.request));
                runner.queued_requests += 1;
            }
        }
    }

    /// Advances all waiting requests, the most urgent first, and then issues the next order to each
    /// engine.
    pub(super) fn dispatch(&mut self, now: Instant) {
        self.load_missing_model(now);
        let mut waiting = std::mem::take(&mut self.waiting);
        self.count_queues(None, now);
        if !self.shares.is_empty() {
            waiting.sort_by_key(|waiting| waiting.unshared_rank(now));
            self.shares.rank(&mut waiting, &self.configuration.organisations, now);
        }
        waiting.sort_by_key(|waiting| waiting.rank(now));
        self.wanted.clear();
        for mut item in waiting {
            if self.advance(&mut item, now) {
                continue;
            }
            if let Some(runner) = item.target.and_then(|target| self.runners.get_mut(target)) {
                runner.queued_tokens += u64::from(runner.uncached_tokens(&item.request));
                runner.queued_requests += 1;
            }
            if let (false, Some(target)) = (self.shares.is_empty(), item.wanted_room()) {
                self.wanted.insert(target);
            }
            self.waiting.push(item);
        }
        for key in self.engines_by_urgency() {
            self.issue_next_order(key, now);
        }
    }

    /// Returns all engines, beginning with those that the most urgent requests are assigned to, so
    /// that these get the next fetches.
    fn engines_by_urgency(&self) -> Vec<key::Upstream> {
        let mut seen = Set::default();
        // `dispatch` leaves the waiting requests sorted by rank.
        let wanted = self.waiting.iter().filter_map(|waiting| waiting.assigned);
        wanted.chain(self.runners.keys()).filter(|key| seen.insert(*key)).collect()
    }

    /// Advances a waiting request as far as possible, and returns whether it was granted or refused.
    pub(super) fn advance(&mut self, item: &mut Waiting, now: Instant) -> bool {
        if item.request.deadline <= now {
            self.unassign(item);
            self.refuse_late(item, Duration::ZERO, now);
            return true;
        }
        if !admission::may_wait(&item.request, now) {
            self.unassign(item);
            let retry_after =
                admission::retry_after(&item.request, item.standing, item.forecast.queue, now);
            self.refuse_late(item, retry_after, now);
            return true;
        }
        if self.is_blamed(&item.request, now) {
            self.unassign(item);
            let retry_after = quarantine::RETRY_AFTER;
            self.refuse(item.key, &item.request, Reason::Quarantined, retry_after, now);
            return true;
        }
        if self.is_held_back(&item.request, now) {
            return false;
        }
        if let Some(runner) = item.assigned {
            return self.advance_assigned(runner, item, now);
        }
        let Some(engine) = self.engine(&item.request.service).cloned() else {
            self.refuse(item.key, &item.request, Reason::NoEngine, Duration::ZERO, now);
            return true;
        };
        let Some(candidate) = self.choose(&engine, &item.request, now) else {
            let retry_after =
                admission::retry_after(&item.request, Standing::Inside, Duration::ZERO, now);
            self.refuse(item.key, &item.request, Reason::NoEngine, retry_after, now);
            return true;
        };
        item.target = Some(candidate.runner);
        item.step = candidate.step;
        match candidate.step {
            Step::Use if self.is_taken(candidate.runner, item) => false,
            Step::Use => {
                self.grant(candidate.runner, item, now);
                true
            }
            Step::Await => {
                self.assign(candidate.runner, item, now);
                false
            }
            Step::Load { .. } => {
                self.reserve(candidate.runner, &item.request, now);
                self.assign(candidate.runner, item, now);
                false
            }
            Step::Queue(_) => false,
        }
    }

    pub(super) fn advance_assigned(
        &mut self,
        key: key::Upstream,
        item: &mut Waiting,
        now: Instant,
    ) -> bool {
        let runner = &self.runners[key];
        let slot =
            item.request.adapter.as_ref().and_then(|adapter| runner.adapter_slots.get(adapter));
        let is_present = slot.is_some_and(|slot| slot.state == SlotState::Present);
        // What the limit holds back may run at another engine.
        let is_held_back = is_present && !runner.allows_request(now);
        let is_lost = runner.is_draining
            || is_held_back
            || runner.health.is_ejected(now)
            || runner.is_unresponsive && !is_present
            || slot.is_none_or(|slot| !placement::is_current(slot, &item.request));
        if is_lost {
            self.unassign(item);
            item.assigned = None;
            return self.advance(item, now);
        }
        if is_present
            && runner.backlog() <= placement::MAX_ENGINE_BACKLOG
            && !self.is_taken(key, item)
        {
            self.unassign(item);
            self.grant(key, item, now);
            return true;
        }
        false
    }

    pub(super) fn assign(&mut self, key: key::Upstream, item: &mut Waiting, now: Instant) {
        item.assigned = Some(key);
        if let Some(slot) = self.adapter_slot(key, &item.request) {
            slot.users += 1;
            slot.record_request(now);
        }
    }

    pub(super) fn unassign(&mut self, item: &Waiting) {
        let Some(key) = item.assigned else { return };
        let Some(slot) = self.adapter_slot(key, &item.request) else { return };
        slot.users = slot.users.saturating_sub(1);
        let is_unwanted = slot.users == 0 && matches!(slot.state, SlotState::Reserved { .. });
        if is_unwanted && let Some(adapter) = &item.request.adapter {
            self.runners[key].adapter_slots.remove(adapter);
        }
    }

    pub(super) fn adapter_slot(
        &mut self,
        key: key::Upstream,
        request: &Request,
    ) -> Option<&mut AdapterSlot> {
        self.runners.get_mut(key)?.adapter_slots.get_mut(request.adapter.as_ref()?)
    }

    pub(super) fn grant(&mut self, key: key::Upstream, item: &Waiting, now: Instant) {
        let mut version = None;
        if let Some(slot) = self.adapter_slot(key, &item.request) {
            slot.users += 1;
            if item.assigned.is_none() {
                slot.record_request(now);
            }
            version = slot.version;
        }
        self.shares.record_grant(&item.request, now);
        let runner = &mut self.runners[key];
        runner.record_grant(item.key, &item.request, now);
        let grant = Grant {
            ticket: item.key.ticket,
            upstream: runner.id.clone(),
            address: runner.address,
            entry_version: runner.entry_version,
            version,
            is_limited: runner.is_limited(),
            build: Some(runner.build.clone()),
        };
        let upstream = Some(runner.id.clone());
        self.granted.insert(item.key, key);
        self.log_decision(&item.request, item.forecast.step.name(), upstream, item.forecast, now);
        self.outputs.push(Output::Send(item.key.client, ToInstance::Grant(grant)));
    }
}
