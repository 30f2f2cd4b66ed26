//! Checks the invariants against what happened in a [`World`](super::World).
//!
//! The checker reads only [`Record`]s and never the state of the cores.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use orioleroute::operator::Answer;
use orioleroute::prelude::Instant;
use orioleroute::request::{Ran, Target};

use super::{CallerRequest, Outcome, Record};

mod config;

/// Time within which an accepted configuration has to be active on every node.
pub const CONFIG_PROPAGATION_LIMIT: Duration = Duration::from_secs(4);

/// Time after which a draining upstream must not receive new requests.
pub const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Time after a caller's deadline within which its answer may still arrive.
pub const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// Percentage of a caller's timeout within which a refusal has to arrive.
pub const MAX_REFUSAL_WAIT_PERCENT: u32 = 80;

/// An invariant of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// An answer comes from exactly the revision that the request named.
    ExactRevision,
    /// An engine never unloads a revision on which requests run.
    NoEvictionInUse,
    /// A caller receives at most one final answer.
    SingleAnswer,
    /// A request is refused as "not run" only if it did not and will not run.
    NotRun,
    /// A request that is not repeatable runs at most once.
    AtMostOnce,
    /// A draining upstream receives no new requests after [`DRAIN_LIMIT`].
    NoWorkWhileDraining,
    /// The fencing tokens of the orders that an engine accepts never decrease.
    MonotonicFencing,
    /// An accepted configuration is active on every node after [`CONFIG_PROPAGATION_LIMIT`].
    ConfigPropagation,
    /// A node never returns to an older configuration version.
    NoRevert,
    /// Each version is accepted once, with one document.
    NoFork,
    /// The answer to an operator's submission matches what was accepted.
    AccurateAnswers,
    /// A caller of a running node gets its final answer by its deadline plus [`ANSWER_GRACE`], and every
    /// request has one after recovery from all faults.
    AnsweredInTime,
    /// A request that never started to run is refused well before its deadline; see
    /// [`MAX_REFUSAL_WAIT_PERCENT`].
    PromptRefusal,
    /// A graceful shutdown does not drop requests.
    GracefulStop,
    /// After recovery from all faults, every running node has the newest accepted version, and engines
    /// hold only adapters of that version.
    Converged,
}

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// When the violation was detected.
    pub at: Instant,
    /// What happened.
    pub description: String,
}

/// Checks the invariants record by record.
#[derive(Default)]
pub struct Checker {
    violations: Vec<Violation>,
    requests: BTreeMap<usize, (Instant, CallerRequest)>,
    answered: BTreeSet<usize>,
    paused: BTreeSet<usize>,
    last_pause_end: Option<Instant>,
    last_graceful_exit: Option<(Instant, usize)>,
    config: config::ConfigHistory,
    started: BTreeSet<usize>,
    refused_not_run: BTreeSet<usize>,
    /// The number of runs of each request that is not repeatable, by idempotency key or else by number.
    run_counts: BTreeMap<String, u32>,
    draining_since: BTreeMap<usize, Instant>,
    /// The highest fencing token that each upstream accepted.
    fencing: BTreeMap<usize, u64>,
    /// The last active configuration version by node and incarnation.
    versions: BTreeMap<(usize, u64), u64>,
}

impl Checker {
    /// Returns all violations so far, oldest first.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Checks the next record.
    pub fn handle(&mut self, at: Instant, record: &Record) {
        match record {
            Record::RequestSent(number, request) => {
                self.requests.insert(*number, (at, request.clone()));
            }
            Record::Answered(number, outcome) => {
                self.check_answer(at, *number, outcome);
                self.check_answer_time(at, *number, outcome);
            }
            Record::RunStarted { caller_request, upstream, name, version, node } => {
                self.check_run(at, *caller_request, *upstream, name, *version, *node);
            }
            Record::OrderCompleted { upstream, load, name, running, .. } => {
                if !load && *running > 0 {
                    let description = format!(
                        "upstream {upstream} unloaded {name}, which ran {running} requests"
                    );
                    self.report(Invariant::NoEvictionInUse, at, description);
                }
            }
            Record::OrderAccepted { upstream, fencing } => {
                self.check_fencing(at, *upstream, *fencing)
            }
            Record::DrainStarted(upstream) => {
                self.draining_since.entry(*upstream).or_insert(at);
            }
            Record::Submitted { ticket, object, document } => {
                self.config.record_submission(*ticket, object, document);
            }
            Record::ConfigAccepted { version, object } => {
                let violations = self.config.record_accepted(at, *version, object);
                self.violations.extend(violations);
            }
            Record::OperatorAnswered { ticket, answer } => {
                self.check_operator_answer(at, *ticket, answer)
            }
            Record::ConfigActivated { node, incarnation, version } => {
                let last = self.versions.insert((*node, *incarnation), *version);
                if last.is_some_and(|last| last > *version) {
                    let description =
                        format!("node {node} changed to version {version} after {last:?}");
                    self.report(Invariant::NoRevert, at, description);
                }
            }
            Record::Paused(node) => {
                self.paused.insert(*node);
            }
            Record::Resumed(node) => self.end_pause(at, *node),
            Record::Exited { node, graceful } => {
                self.end_pause(at, *node);
                self.last_graceful_exit = graceful.then_some((at, *node));
            }
            Record::Recovered { versions, unlisted } => self.check_recovery(at, versions, unlisted),
        }
    }

    fn end_pause(&mut self, at: Instant, node: usize) {
        if self.paused.remove(&node) {
            self.last_pause_end = Some(at);
        }
    }

    fn check_fencing(&mut self, at: Instant, upstream: usize, fencing: u64) {
        let last = self.fencing.entry(upstream).or_default();
        if fencing < *last {
            let description =
                format!("upstream {upstream} accepted fencing token {fencing} after {last}");
            self.report(Invariant::MonotonicFencing, at, description);
        } else {
            *last = fencing;
        }
    }

    fn check_operator_answer(&mut self, at: Instant, ticket: u64, answer: &Answer) {
        if let Some(description) = self.config.record_answer(ticket, answer) {
            self.report(Invariant::AccurateAnswers, at, description);
        }
    }

    fn check_recovery(
        &mut self,
        at: Instant,
        versions: &[(usize, u64)],
        unlisted: &[(usize, String)],
    ) {
        let newest = self.config.newest();
        for (node, version) in versions {
            if *version != newest {
                let description =
                    format!("node {node} has version {version}, the newest accepted is {newest}");
                self.report(Invariant::Converged, at, description);
            }
        }
        for (engine, name) in unlisted {
            self.report(Invariant::Converged, at, format!("upstream {engine} still holds {name}"));
        }
        let unanswered = self.requests.keys().filter(|number| !self.answered.contains(number));
        for number in unanswered.copied().collect::<Vec<_>>() {
            self.report(Invariant::AnsweredInTime, at, format!("request {number} has no answer"));
        }
    }

    /// Checks that an answer came in time, unless some process was paused in the meantime.
    fn check_answer_time(&mut self, at: Instant, number: usize, outcome: &Outcome) {
        let Some((since, request)) = self.requests.get(&number) else { return };
        let (since, timeout, node) = (*since, request.timeout, request.node);
        if *outcome == Outcome::Lost {
            if self.last_graceful_exit == Some((at, node)) && since < at {
                let description =
                    format!("node {node} dropped request {number} in a graceful shutdown");
                self.report(Invariant::GracefulStop, at, description);
            }
            return;
        }
        if !self.paused.is_empty() || self.last_pause_end.is_some_and(|last| last >= since) {
            return;
        }
        let elapsed = at.since(since);
        if elapsed > timeout + ANSWER_GRACE {
            let description = format!("request {number} was answered after {elapsed:?}");
            self.report(Invariant::AnsweredInTime, at, description);
        }
        // A request that started to run on an upstream may be answered up to the deadline.
        let too_late =
            elapsed * 100 > timeout * MAX_REFUSAL_WAIT_PERCENT && !self.started.contains(&number);
        if matches!(outcome, Outcome::Refused(_)) && too_late {
            let description = format!("request {number} waited {elapsed:?} until {outcome:?}");
            self.report(Invariant::PromptRefusal, at, description);
        }
    }

    fn check_answer(&mut self, at: Instant, number: usize, outcome: &Outcome) {
        if !self.answered.insert(number) {
            self.report(Invariant::SingleAnswer, at, format!("request {number} got two answers"));
        }
        match outcome {
            Outcome::Complete(name) => {
                let target = self.requests.get(&number).map(|(_, request)| &request.target);
                let Some(Target::Model(model)) = target else { return };
                let is_named = match model.contains('@') {
                    true => **model == **name,
                    false => name.split('@').next() == Some(model),
                };
                if !is_named {
                    let description =
                        format!("request {number} for {model} was answered by {name}");
                    self.report(Invariant::ExactRevision, at, description);
                }
            }
            Outcome::Refused(refusal) if refusal.ran == Ran::NotRun => {
                if self.started.contains(&number) {
                    let description =
                        format!("request {number} was refused as not run after it started to run");
                    self.report(Invariant::NotRun, at, description);
                }
                self.refused_not_run.insert(number);
            }
            _ => {}
        }
    }

    fn check_run(
        &mut self,
        at: Instant,
        number: usize,
        upstream: usize,
        name: &str,
        version: u64,
        node: usize,
    ) {
        self.started.insert(number);
        if self.refused_not_run.contains(&number) {
            let description =
                format!("request {number} started to run after it was refused as not run");
            self.report(Invariant::NotRun, at, description);
        }
        if self.draining_since.get(&upstream).is_some_and(|since| at > *since + DRAIN_LIMIT) {
            let description = format!("request {number} started on draining upstream {upstream}");
            self.report(Invariant::NoWorkWhileDraining, at, description);
        }
        if let Some(description) = self.check_version(at, number, name, version) {
            self.report(Invariant::ConfigPropagation, at, format!("{description} (node {node})"));
        }
        let request = self.requests.get(&number).map(|(_, request)| request);
        let Some(request) = request.filter(|request| !request.repeatable) else { return };
        let id = request.idempotency.clone().unwrap_or_else(|| format!("request {number}"));
        let runs = self.run_counts.entry(id.clone()).or_default();
        *runs += 1;
        if *runs > 1 {
            self.report(Invariant::AtMostOnce, at, format!("{id} ran more than once"));
        }
    }

    /// Describes the violation if a request ran on a revision that the configuration does not allow.
    ///
    /// A request keeps the revision that it was resolved to on arrival, so any version that was or
    /// became active since then may allow it. A node whose version is older than the one due may
    /// still answer what the due version does not change.
    fn check_version(
        &self,
        at: Instant,
        number: usize,
        name: &str,
        version: u64,
    ) -> Option<String> {
        let (since, request) = self.requests.get(&number)?;
        let due = self.config.due_version(at);
        let (oldest, newest) = (self.config.due_version(*since), self.config.newest());
        let resolved =
            (oldest..=newest).any(|candidate| self.config.allows(candidate, &request.target, name));
        let behind = version < due && !self.config.allows(due, &request.target, name);
        let description = format!("{name} ran for {:?} at version {version}", request.target);
        (!resolved || behind)
            .then(|| format!("{description}, due on arrival {oldest}, due now {due}"))
    }

    fn report(&mut self, invariant: Invariant, at: Instant, description: String) {
        self.violations.push(Violation { invariant, at, description });
    }
}
