//! Callers' requests, from arrival to the final answer.

use super::Core;
use crate::claim;
use crate::fleet::Upstream;
use crate::prelude::*;
use crate::request::{
    self, Dispatch, Failure, Kind, Progress, Ran, Refusal, Request, Spec, State, Step, Target,
};
use crate::routing::{Decision, Reason};

/// Attempts at a request, at most.
const ATTEMPTS: u32 = 3;

/// Attempts that an engine without the revision may turn away, at most; they do not count as others.
const MISSES: u32 = 8;

/// How long an upstream gets no new work after an exchange with it failed.
const EJECTION: Duration = Duration::from_millis(1_000);

/// How long an upstream gets no new work after it declined a request; its report comes sooner.
const DECLINED: Duration = Duration::from_millis(250);

/// When a caller is told to come back after a passing failure.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(1);

impl Core {
    /// Takes a request that has arrived.
    pub(super) fn take_arrival(&mut self, now: Instant, key: key::Request, spec: Spec) {
        let policy = self.catalog.policy();
        let timeout = spec.timeout.unwrap_or(Duration::from_millis(policy.deadline_ms.into()));
        let queue_timeout = spec.queue_timeout.unwrap_or(request::queue_timeout(timeout));
        let (revision, known) = match &spec.target {
            Target::Model(model) => {
                let revision = self.catalog.resolve(model);
                (revision, revision.is_some())
            }
            Target::Service(name) => (None, self.catalog.service(name).is_some()),
        };
        let configured = revision.map(|revision| self.catalog.revision(revision).importance);
        let request = Request {
            importance: spec.importance.or(configured).unwrap_or_default(),
            revision,
            arrived: now,
            deadline: now + timeout,
            queue_deadline: now + queue_timeout,
            state: State::Waiting,
            attempts: 0,
            misses: 0,
            begun: false,
            passed_to: Vec::new(),
            claim: None,
            spec,
        };
        let needs_claim = !request.spec.repeatable;
        self.retries.earn();
        self.requests.fill(key, request);
        if !known {
            return match self.config.version() {
                // An instance that has just started knows of no adapter yet.
                0 => self.refuse(key, Kind::Unavailable, Some(RETRY_AFTER)),
                _ => self.refuse(key, Kind::NotFound, None),
            };
        }
        if needs_claim && !self.passes_on(key) {
            return self.claim(now, key);
        }
        self.route(now, key);
    }

    /// Takes the progress of a request that was given a step.
    pub(super) fn take_progress(&mut self, now: Instant, key: key::Request, progress: Progress) {
        match progress {
            Progress::Begun => {
                if let Some(request) = self.requests.get_mut(key) {
                    request.begun = true;
                }
            }
            Progress::Finished => self.end(now, key, claim::State::Finished),
            Progress::Gone => {
                self.give_up(now, key);
                let is_sent = self.requests.get(key).is_none_or(Request::may_have_run);
                let state = if is_sent { claim::State::Claimed } else { claim::State::Abandoned };
                self.end(now, key, state);
            }
            Progress::Failed(failure) => self.take_failure(now, key, failure),
        }
    }

    /// Ends a request that needs no further step.
    fn end(&mut self, now: Instant, key: key::Request, state: claim::State) {
        self.release(now, key);
        if let Some(request) = self.requests.remove(key) {
            self.end_claim(key, &request, state);
        }
        self.place(now);
    }

    fn take_failure(&mut self, now: Instant, key: key::Request, failure: Failure) {
        if failure.may_have_run() {
            self.give_up(now, key);
        }
        self.release(now, key);
        let Some(request) = self.requests.get_mut(key) else { return };
        if let State::Running(upstream) = request.state
            && let Some(upstream) = self.fleet.get_mut(upstream)
        {
            note_failure(upstream, now, request.revision, failure);
        }
        request.state = State::Waiting;
        request.spec.may_have_run |= failure.may_have_run();
        let again = request.spec.repeatable || !failure.may_have_run();
        // Waiting for a load anew puts no load on an upstream that fails.
        let is_free = failure == Failure::NotLoaded;
        request.misses += u32::from(is_free);
        let is_left = match is_free {
            true => request.misses < MISSES,
            false => request.attempts.saturating_sub(request.misses) < ATTEMPTS,
        };
        let in_time = now < request.deadline && is_left;
        if again && !request.begun && in_time && (is_free || self.retries.spend(now)) {
            return self.route(now, key);
        }
        let retry_after = again.then_some(RETRY_AFTER);
        self.refuse(key, Kind::Upstream, retry_after);
    }

    /// Gives a request its next step.
    pub(super) fn route(&mut self, now: Instant, key: key::Request) {
        let Some(request) = self.requests.get(key) else { return };
        if now >= request.deadline {
            return self.refuse(key, Kind::Deadline, Some(RETRY_AFTER));
        }
        if !self.resolve(key) {
            return self.refuse(key, Kind::NotFound, None);
        }
        if self.passes_on(key) {
            return self.forward(now, key);
        }
        // One that may be cut off cannot know whether its configuration still is in force.
        if !self.membership.may_serve(now) {
            return self.refuse(key, Kind::Unavailable, Some(RETRY_AFTER));
        }
        if self.is_in_doubt(now, key) {
            return self.refuse(key, Kind::Unavailable, Some(RETRY_AFTER));
        }
        let Some(request) = self.requests.get(key) else { return };
        match request.revision {
            Some(revision) => self.route_model(now, key, revision),
            None => self.route_service(now, key),
        }
    }

    /// Brings a request to the revision that it names in the document in force, which may have
    /// changed since it arrived, and returns whether there still is one.
    fn resolve(&mut self, key: key::Request) -> bool {
        let revision = self.named(key);
        let Some(request) = self.requests.get_mut(key) else { return false };
        let is_model = matches!(request.spec.target, Target::Model(_));
        request.revision = revision;
        revision.is_some() || !is_model
    }

    /// Returns the revision that a request names in the document in force.
    pub(super) fn named(&self, key: key::Request) -> Option<key::Revision> {
        match &self.requests.get(key)?.spec.target {
            Target::Model(model) => self.catalog.resolve(model),
            Target::Service(_) => None,
        }
    }

    /// Refuses the requests that have waited too long for a load.
    pub(super) fn refuse_overdue(&mut self, now: Instant) {
        for key in self.requests.overdue(now) {
            self.refuse(key, Kind::Deadline, Some(RETRY_AFTER));
        }
    }

    pub(super) fn dispatch(&mut self, now: Instant, key: key::Request, chosen: key::Upstream) {
        let Some(request) = self.requests.get_mut(key) else { return };
        let Some(upstream) = self.fleet.get_mut(chosen) else { return };
        request.state = State::Running(chosen);
        request.attempts += 1;
        upstream.running += 1;
        if let Some(resident) =
            request.revision.and_then(|revision| upstream.residents.get_mut(&revision))
        {
            resident.running += 1;
            resident.used = now;
        }
        let name = request.revision.map(|revision| self.catalog.revision(revision).name.clone());
        let step = Step::Dispatch(Dispatch {
            upstream: upstream.listing.name.clone(),
            address: upstream.listing.address,
            name,
            importance: request.importance,
            timeout: request.deadline.since(now),
            attempt: request.attempts,
        });
        self.effects.push(Effect::Request { request: key, step });
    }

    /// Notes that the upstream of a request may still run it.
    fn give_up(&mut self, now: Instant, key: key::Request) {
        let Some(request) = self.requests.get(key) else { return };
        let (State::Running(upstream), Some(revision)) = (&request.state, request.revision) else {
            return;
        };
        if let Some(upstream) = self.fleet.get_mut(*upstream) {
            upstream.give_up(now, revision);
        }
    }

    /// Takes a request off the upstream that it ran on.
    fn release(&mut self, now: Instant, key: key::Request) {
        let Some(request) = self.requests.get(key) else { return };
        let State::Running(upstream) = request.state else { return };
        let Some(upstream) = self.fleet.get_mut(upstream) else { return };
        upstream.running = upstream.running.saturating_sub(1);
        if let Some(resident) =
            request.revision.and_then(|revision| upstream.residents.get_mut(&revision))
        {
            resident.running = resident.running.saturating_sub(1);
            resident.used = now;
        }
    }

    fn forward(&mut self, now: Instant, key: key::Request) {
        let Some(home) = self.next_home(key) else { return };
        let (instance, address) = (home.name.clone(), home.caller_address);
        self.forward_to(now, key, instance, address);
    }

    /// Passes a request on to another instance.
    pub(super) fn forward_to(
        &mut self,
        now: Instant,
        key: key::Request,
        instance: Arc<str>,
        address: std::net::SocketAddr,
    ) {
        let name = self.name_of(key);
        let Some(request) = self.requests.get_mut(key) else { return };
        request.state = State::Forwarded;
        request.attempts += 1;
        request.passed_to.push(instance.clone());
        let timeout = request.deadline.since(now);
        let queue_timeout = request.queue_deadline.since(now);
        let may_have_run = request.spec.may_have_run;
        self.effects.push(Effect::Decide(Decision {
            request: Some(key),
            name,
            chosen: Some(instance.clone()),
            reason: Reason::OtherHome,
            runners_up: Vec::new(),
        }));
        let step = Step::Forward { instance, address, timeout, queue_timeout, may_have_run };
        self.effects.push(Effect::Request { request: key, step });
    }

    /// Ends a request with a refusal, at once.
    pub(super) fn refuse(&mut self, key: key::Request, kind: Kind, retry_after: Option<Duration>) {
        let may_have_run = self.requests.get(key).is_some_and(Request::may_have_run);
        let ran = if may_have_run { Ran::MayHaveRun } else { Ran::NotRun };
        self.refuse_as(key, kind, ran, retry_after);
    }

    /// Ends a request with a refusal that says whether it ran.
    pub(super) fn refuse_as(
        &mut self,
        key: key::Request,
        kind: Kind,
        ran: Ran,
        retry_after: Option<Duration>,
    ) {
        self.decide(key, None, Reason::Refused, Vec::new());
        if let Some(request) = self.requests.remove(key) {
            let state = match ran {
                Ran::NotRun => claim::State::Abandoned,
                Ran::MayHaveRun | Ran::Ran => claim::State::Claimed,
            };
            self.end_claim(key, &request, state);
        }
        let step = Step::Refuse(Refusal { kind, ran, retry_after });
        self.effects.push(Effect::Request { request: key, step });
    }

    pub(super) fn decide(
        &mut self,
        key: key::Request,
        chosen: Option<key::Upstream>,
        reason: Reason,
        runners_up: Vec<Arc<str>>,
    ) {
        let chosen = chosen
            .and_then(|upstream| self.fleet.get(upstream))
            .map(|upstream| upstream.listing.name.clone());
        let name = self.name_of(key);
        let decision = Decision { request: Some(key), name, chosen, reason, runners_up };
        self.effects.push(Effect::Decide(decision));
    }

    fn name_of(&self, key: key::Request) -> Arc<str> {
        let Some(request) = self.requests.get(key) else { return "".into() };
        match (request.revision, &request.spec.target) {
            (Some(revision), _) => self.catalog.revision(revision).name.clone(),
            (None, Target::Service(name) | Target::Model(name)) => name.clone(),
        }
    }
}

/// Keeps new work away from an upstream that failed, and believes it about what it holds.
fn note_failure(
    upstream: &mut Upstream,
    now: Instant,
    revision: Option<key::Revision>,
    failure: Failure,
) {
    match failure {
        Failure::Unsent | Failure::Broken => upstream.ejected_until = now + EJECTION,
        Failure::NotLoaded => {
            if let Some(revision) = revision {
                upstream.deny(now, revision);
            }
            upstream.next_probe = now;
        }
        // One that declines may be leaving, which its report says sooner than the list.
        Failure::Declined => {
            upstream.ejected_until = upstream.ejected_until.max(now + DECLINED);
            upstream.next_probe = now;
        }
    }
}
