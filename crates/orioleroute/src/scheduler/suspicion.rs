//! Protects the zone's upstreams from requests that end them.
//!
//! Load pattern: see [`crate::ingress::quarantine`]. Between the first loss and the verdict, the requests that are suspected,
//! or have a suspected part, run one at a time on the zone's engines, so that they do not end many at once.

use super::check::{EngineCheck, Finding};
use super::message::{RunResult, UngrantedRun};
use super::runner::InFlightRequest;
use super::suspects::{Broken, Process};
use super::{Output, Request, Scheduler};
use crate::ingress::quarantine::{Key, Quarantine, Report, Run, Subject};
use crate::prelude::*;

/// How long after its grant a run holds back requests with the same suspected part. It limits what a run costs others
/// whose end is never reported.
const MAX_HOLD: Duration = Duration::from_millis(2_000);

/// How long after its first event a run no longer holds them back. An engine that a prompt ends has written an event or
/// two at most.
const SOUND_TIME: Duration = Duration::from_millis(1_000);

/// What the end of a run says about the request.
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
    /// Takes over the verdicts, and refuses the waiting requests that they concern.
    pub fn update_quarantine(&mut self, quarantine: Quarantine, zone: &str, now: Instant) {
        self.suspects.update(&quarantine, zone);
        self.quarantine = quarantine;
        self.dispatch(now);
    }

    /// Takes over what a predecessor has reported.
    pub fn restore_suspects(&mut self, report: &Report, now: Instant) {
        self.suspects.restore(report, now);
    }

    /// Handles the result of the check of an upstream. Requests that wait for it go on at once if the engine lives, else
    /// with the verdicts that follow from its loss.
    pub fn handle_check(&mut self, check: &EngineCheck, finding: Finding, now: Instant) {
        self.suspects.handle_check(check.process, finding, now);
        self.report_suspects(now);
        if finding != Finding::Lost {
            self.dispatch(now);
        }
    }

    /// Handles the end of a run that no scheduler granted.
    pub fn handle_ungranted(
        &mut self,
        ended: UngrantedRun,
        result: Option<RunResult>,
        is_unconfirmed: bool,
        now: Instant,
    ) {
        let Some(result) = result else { return };
        let UngrantedRun {
            service, upstream, started_ms, address, has_answered, run, age_ms, ..
        } = ended;
        match Evidence::of(result, !is_unconfirmed) {
            Evidence::Sound => {
                let age = Duration::from_millis(age_ms);
                self.suspects.record_sound(&service, run.keys(), age, now);
            }
            evidence @ (Evidence::Unconfirmed | Evidence::Broken) => {
                let process = Process::of(&upstream);
                let check = EngineCheck { process, upstream, service: service.clone(), started_ms };
                let is_answered = evidence == Evidence::Unconfirmed;
                let age = Duration::from_millis(age_ms);
                let broken =
                    Broken { process, address, service, has_answered, run, is_answered, age };
                self.record_broken(broken, check, now);
            }
            Evidence::None => return,
        }
        self.report_suspects(now);
    }

    /// Draws conclusions about a request from the end of a granted run.
    pub(super) fn observe_run(
        &mut self,
        upstream: key::Upstream,
        entry: &InFlightRequest,
        evidence: Evidence,
        now: Instant,
    ) {
        let Some(runner) = self.runners.get(upstream) else { return };
        match evidence {
            Evidence::Sound => {
                let keys = keys(&entry.part_ids, entry.content);
                self.suspects.record_sound(&runner.service, keys, Duration::ZERO, now);
            }
            // An engine that drains ends soon, whatever it runs.
            Evidence::Unconfirmed | Evidence::Broken if !runner.is_draining => {
                let check = EngineCheck {
                    process: Process::of(&runner.id),
                    upstream: runner.id.clone(),
                    service: runner.service.clone(),
                    started_ms: Some(runner.started_ms),
                };
                let broken = Broken {
                    process: check.process,
                    address: runner.address,
                    service: runner.service.clone(),
                    has_answered: runner.health.has_answered(),
                    run: broken_run(entry, now),
                    is_answered: evidence == Evidence::Unconfirmed,
                    age: Duration::ZERO,
                };
                self.record_broken(broken, check, now);
            }
            Evidence::Unconfirmed | Evidence::Broken | Evidence::None => {}
        }
    }

    fn record_broken(&mut self, broken: Broken, check: EngineCheck, now: Instant) {
        let address = broken.address;
        if self.suspects.record_broken(broken, now) {
            self.outputs.push(Output::CheckEngine(address, check));
        }
    }

    /// Publishes what the runs say, if it has changed.
    pub(super) fn report_suspects(&mut self, now: Instant) {
        let report = self.suspects.take_report(now);
        self.outputs.extend(report.map(Output::ReportSuspects));
    }

    pub(super) fn is_blamed(&self, request: &Request, now: Instant) -> bool {
        let keys = keys(&request.part_ids, request.content);
        self.quarantine.blamed(&request.service, keys, now).is_some()
    }

    /// Returns whether a request has to wait because it or a part of it is suspected, and runs as or in another request which
    /// has not shown yet that it is sound, or ran on an engine that is being checked.
    pub(super) fn is_held_back(&self, request: &Request, now: Instant) -> bool {
        if !self.quarantine.has_suspects() && !self.suspects.is_checking() {
            return false;
        }
        keys(&request.part_ids, request.content).any(|key| {
            let subject = Subject { service: request.service.clone(), key };
            self.suspects.is_being_checked(&subject, now)
                || self.quarantine.losses_under(&subject) > 0 && self.is_unproven(&subject, now)
        })
    }

    /// Returns whether a run of this has lasted for a short time and has not shown yet that it is sound.
    fn is_unproven(&self, subject: &Subject, now: Instant) -> bool {
        let runners = self.runners.values().filter(|runner| runner.service == subject.service);
        let mut entries = runners.flat_map(|runner| runner.in_flight.values());
        entries.any(|entry| {
            holds_back(entry, now)
                && keys(&entry.part_ids, entry.content).any(|key| key == subject.key)
        })
    }
}

fn holds_back(entry: &InFlightRequest, now: Instant) -> bool {
    now.since(entry.granted) < MAX_HOLD && !has_streamed(entry, now)
}

/// Returns whether a run has been streaming for longer than an engine that it ends.
fn has_streamed(entry: &InFlightRequest, now: Instant) -> bool {
    entry.started_at.is_some_and(|started| now.since(started) >= SOUND_TIME)
}

fn broken_run(entry: &InFlightRequest, now: Instant) -> Run {
    let (own, shared) = entry.part_ids.split_last().unwrap_or((&0, &[]));
    Run {
        own: *own,
        parts: shared.to_vec(),
        request: entry.content.filter(|_| !has_streamed(entry, now)),
        ran_ms: now.since(entry.granted).as_millis() as u64,
    }
}

/// Returns what a request consists of that may end upstreams: itself, and the parts of its prompt that others may share.
fn keys(part_ids: &[u64], content: Option<u64>) -> impl Iterator<Item = Key> {
    let shared = part_ids.split_last().map(|(_, shared)| shared).unwrap_or_default();
    shared.iter().copied().map(Key::part).chain(content.map(Key::request))
}
