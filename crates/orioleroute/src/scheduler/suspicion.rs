//! Protects the zone's engines from prompts that end them.
//!
//! Load pattern: see [`crate::ingress::quarantine`]. Between the first loss and the verdict, the requests with a suspected
//! part are run one at a time, so that they do not end many engines at once.

use super::message::RunResult;
use super::output::EngineCheck;
use super::runner::InFlightRequest;
use super::{Output, Request, Scheduler};
use crate::ingress::quarantine::{Part, Quarantine, Report, Run};
use crate::prelude::*;

/// How long after its grant a run holds back requests with the same suspected part. It limits what a run costs others
/// whose end is never reported.
const MAX_HOLD: Duration = Duration::from_millis(2_000);

/// How long after its first event a run no longer holds them back. An engine that a prompt ends has written an event or
/// two at most.
const SOUND_TIME: Duration = Duration::from_millis(1_000);

/// What the end of a run says about the parts of its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Evidence {
    /// The engine has written the whole answer.
    Sound,
    /// The engine has written an answer that may be incomplete, and may have ended.
    Unconfirmed,
    /// The run broke off, and the engine may have ended.
    Broken,
    /// Nothing.
    None,
}

impl Evidence {
    /// Returns what the end of a run says. `is_confirmed` is false if the response may be incomplete although nothing
    /// shows it.
    pub fn of(result: RunResult, is_confirmed: bool) -> Self {
        match result {
            RunResult::Answered if is_confirmed => Self::Sound,
            RunResult::Answered => Self::Unconfirmed,
            RunResult::Broken => Self::Broken,
            _ => Self::None,
        }
    }
}

impl Scheduler {
    /// Takes over the verdicts on prompt parts, and refuses the waiting requests that they concern.
    pub fn update_quarantine(&mut self, quarantine: Quarantine, zone: &str, now: Instant) {
        self.suspects.update(&quarantine, zone);
        self.quarantine = quarantine;
        self.dispatch(now);
    }

    /// Takes over what a predecessor has reported about prompt parts.
    pub fn restore_suspects(&mut self, report: &Report, now: Instant) {
        self.suspects.restore(report, now);
    }

    /// Handles the result of the check of an engine. Requests that wait for it go on at once if the engine lives, else
    /// with the verdicts that follow from its loss.
    pub fn handle_check(&mut self, check: EngineCheck, is_lost: bool, now: Instant) {
        self.suspects.handle_check(check.0, is_lost, now);
        self.report_suspects(now);
        if !is_lost {
            self.dispatch(now);
        }
    }

    /// Draws conclusions about prompt parts from the end of a run.
    pub(super) fn observe_run(
        &mut self,
        upstream: key::Upstream,
        entry: &InFlightRequest,
        evidence: Evidence,
        now: Instant,
    ) {
        let Some((own, shared)) = entry.part_ids.split_last() else { return };
        let Some(runner) = self.runners.get(upstream) else { return };
        match evidence {
            Evidence::Sound => self.suspects.record_sound(&runner.service, shared, now),
            // An engine that drains ends soon, whatever it runs.
            Evidence::Unconfirmed | Evidence::Broken if !runner.is_draining => {
                let run = Run { own: *own, parts: shared.to_vec() };
                let run = (run, evidence == Evidence::Unconfirmed);
                let engine = (&runner.service, runner.address);
                if self.suspects.record_broken(upstream, engine, run, now) {
                    let check = Output::CheckEngine(runner.address, EngineCheck(upstream));
                    self.outputs.push(check);
                }
            }
            Evidence::Unconfirmed | Evidence::Broken | Evidence::None => {}
        }
    }

    /// Publishes what the runs say about prompt parts, if it has changed.
    pub(super) fn report_suspects(&mut self, now: Instant) {
        let report = self.suspects.take_report(now);
        self.outputs.extend(report.map(Output::ReportSuspects));
    }

    pub(super) fn is_blamed(&self, request: &Request, now: Instant) -> bool {
        let shared = request.part_ids.split_last().map(|(_, shared)| shared).unwrap_or_default();
        self.quarantine.blamed(&request.service, shared.iter().copied(), now).is_some()
    }

    /// Returns whether a request has to wait because of a suspected part: one that runs in another request which has not
    /// shown yet that it is sound, or that ran on an engine that is being checked.
    pub(super) fn is_held_back(&self, request: &Request, now: Instant) -> bool {
        if self.quarantine.suspects().is_empty() && !self.suspects.is_checking() {
            return false;
        }
        let Some((_, shared)) = request.part_ids.split_last() else { return false };
        shared.iter().any(|id| {
            let part = Part { service: request.service.clone(), id: *id };
            self.suspects.is_being_checked(&part, now)
                || self.quarantine.suspects().contains(&part) && self.is_unproven(&part, now)
        })
    }

    /// Returns whether a request with this part has been running for a short time and has not shown yet that it is sound.
    fn is_unproven(&self, part: &Part, now: Instant) -> bool {
        let runners = self.runners.values().filter(|runner| runner.service == part.service);
        let mut entries = runners.flat_map(|runner| runner.in_flight.values());
        entries.any(|entry| {
            let shared = entry.part_ids.split_last().map(|(_, shared)| shared);
            holds_back(entry, now) && shared.is_some_and(|shared| shared.contains(&part.id))
        })
    }
}

fn holds_back(entry: &InFlightRequest, now: Instant) -> bool {
    now.since(entry.granted) < MAX_HOLD
        && entry.started_at.is_none_or(|started| now.since(started) < SOUND_TIME)
}
