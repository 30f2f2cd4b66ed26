//! The course of requests after they have been placed: their first event, their end, and what their ends say
//! about the engines.

use super::message::RunResult;
use super::runner::Certainty;
use super::suspicion::Evidence;
use super::{Client, RequestKey, Scheduler, orders};
use crate::ingress::Notice;
use crate::prelude::*;

impl Scheduler {
    /// Handles what the engine of a request says of itself.
    pub fn handle_notice(&mut self, key: RequestKey, notice: Notice, now: Instant) {
        let runner = self.granted.get(&key).and_then(|runner| self.runners.get_mut(*runner));
        if let Some(runner) = runner {
            runner.observe(notice, now);
        }
    }

    /// Handles the first event of a request's response.
    pub fn handle_started(&mut self, key: RequestKey, now: Instant) {
        if let Some(runner) =
            self.granted.get(&key).and_then(|runner| self.runners.get_mut(*runner))
        {
            runner.record_first_event(key, now);
        }
        self.dispatch(now);
    }

    /// Handles the end of a request, which is waiting or has been granted an engine.
    pub fn handle_ended(&mut self, key: RequestKey, result: Option<RunResult>, now: Instant) {
        self.end(key, result.unwrap_or(RunResult::Abandoned), true, now);
    }

    /// Handles the end of a request with an answer that may be incomplete although nothing shows it.
    pub fn handle_unconfirmed_answer(&mut self, key: RequestKey, now: Instant) {
        self.end(key, RunResult::Answered, false, now);
    }

    fn end(&mut self, key: RequestKey, result: RunResult, is_confirmed: bool, now: Instant) {
        if let Some(index) = self.waiting.iter().position(|waiting| waiting.key == key) {
            let waiting = self.waiting.swap_remove(index);
            self.unassign(&waiting);
        }
        if let Some(upstream) = self.granted.remove(&key) {
            self.end_in_flight(upstream, key, result, Evidence::of(result, is_confirmed), now);
        }
        self.dispatch(now);
    }

    /// Handles the disconnection of an instance: its waiting requests are dropped, its running ones may
    /// continue.
    pub fn handle_disconnect(&mut self, client: Client, now: Instant) {
        let (gone, rest) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition::<Vec<_>, _>(|waiting| waiting.key.client == client);
        self.waiting = rest;
        for waiting in &gone {
            self.unassign(waiting);
        }
        self.dispatch(now);
    }

    /// Ends a request that was granted to an engine.
    pub(super) fn end_in_flight(
        &mut self,
        upstream: key::Upstream,
        key: RequestKey,
        result: RunResult,
        evidence: Evidence,
        now: Instant,
    ) {
        let Some(runner) = self.runners.get_mut(upstream) else { return };
        let Some(entry) = runner.in_flight.remove(&key) else { return };
        runner.health.end(result.into(), now);
        self.observe_run(upstream, &entry, evidence, now);
        let Some(runner) = self.runners.get_mut(upstream) else { return };
        let slot = entry.adapter.as_ref().and_then(|adapter| runner.adapter_slots.get_mut(adapter));
        if let Some(slot) = slot {
            slot.users = slot.users.saturating_sub(1);
        }
        if let RunResult::Departed { list_version } = result {
            runner.record_departure(list_version);
        }
        if result == RunResult::Misdirected && runner.certainty == Certainty::Known {
            // The engine does not hold what this scheduler has recorded for it.
            runner.certainty = Certainty::ReportDue(now + orders::REPORT_DELAY);
            if let Some(adapter) = &entry.adapter {
                runner.adapter_slots.remove(adapter);
            }
        }
    }

    pub(super) fn expire_in_flight(&mut self, now: Instant) {
        let due: Vec<(RequestKey, key::Upstream)> = self
            .granted
            .iter()
            .filter(|(key, upstream)| {
                let entry =
                    self.runners.get(**upstream).and_then(|runner| runner.in_flight.get(*key));
                entry.is_none_or(|entry| entry.expires <= now)
            })
            .map(|(key, upstream)| (*key, *upstream))
            .collect();
        for (key, upstream) in due {
            self.granted.remove(&key);
            self.end_in_flight(upstream, key, RunResult::Abandoned, Evidence::None, now);
        }
    }
}
