//! The life cycle of callers' requests, from arrival to the final answer.

use super::Core;
use crate::claim;
use crate::fleet::Upstream;
use crate::prelude::*;
use crate::request::{
    self, Dispatch, Failure, Kind, Progress, Ran, Refusal, Request, Spec, State, Step, Target,
};
use crate::routing::{Decision, Reason};

/// Maximum number of attempts per request.
const MAX_ATTEMPTS: u32 = 3;

/// Maximum number of attempts per request that fail because the engine does not have the revision
/// loaded. They do not count towards [`MAX_ATTEMPTS`].
const MAX_MISSES: u32 = 8;

/// How long an upstream is ejected after an exchange with it failed.
const EJECTION_TIME: Duration = Duration::from_millis(1_000);

/// How long an upstream is ejected after it declined a request. Its next report, requested at once,
/// arrives sooner and shows whether it is draining.
const DECLINE_EJECTION_TIME: Duration = Duration::from_millis(250);

/// The delay after which callers are asked to retry after a transient failure.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(1);

impl Core {
    /// Handles the arrival of a request.
    pub(super) fn handle_arrival(&mut self, now: Instant, key: key::Request, spec: Spec) {
        let policy = self.catalog.policy();
        let timeout = spec.timeout.unwrap_or(Duration::from_millis(policy.deadline_ms.into()));
        let queue_timeout = spec.queue_timeout.unwrap_or(request::queue_timeout(timeout));
        let (revision, exists) = match &spec.target {
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
            response_started: false,
            forwarded_to: Vec::new(),
            claim: None,
            spec,
        };
        let needs_claim = !request.spec.repeatable;
        self.retries.deposit();
        self.requests.fill(key, request);
        if !exists {
            return match self.config.version() {
                // Without a configuration, the instance cannot tell whether the target exists.
                0 => self.refuse(key, Kind::Unavailable, Some(RETRY_AFTER)),
                _ => self.refuse(key, Kind::NotFound, None),
            };
        }
        if needs_claim && !self.has_other_home(key) {
            return self.claim(now, key);
        }
        self.route(now, key);
    }

    /// Handles progress of the current step of a request.
    pub(super) fn handle_progress(&mut self, now: Instant, key: key::Request, progress: Progress) {
        match progress {
            Progress::ResponseStarted => {
                if let Some(request) = self.requests.get_mut(key) {
                    request.response_started = true;
                }
            }
            Progress::Finished => self.end(now, key, claim::State::Finished),
            Progress::CallerDisconnected => {
                self.mark_abandoned(now, key);
                let is_sent = self.requests.get(key).is_none_or(Request::may_have_run);
                let state = if is_sent { claim::State::Claimed } else { claim::State::Abandoned };
                self.end(now, key, state);
            }
            Progress::Failed(failure) => self.handle_failure(now, key, failure),
        }
    }

    /// Removes a request that needs no further step and ends its claim.
    fn end(&mut self, now: Instant, key: key::Request, state: claim::State) {
        self.release(now, key);
        if let Some(request) = self.requests.remove(key) {
            self.end_claim(key, &request, state);
        }
        self.load_awaited(now);
    }

    fn handle_failure(&mut self, now: Instant, key: key::Request, failure: Failure) {
        if failure.may_have_run() {
            self.mark_abandoned(now, key);
        }
        self.release(now, key);
        let Some(request) = self.requests.get_mut(key) else { return };
        if let State::Running(upstream) = request.state
            && let Some(upstream) = self.fleet.get_mut(upstream)
        {
            record_failure(upstream, now, request.revision, failure);
        }
        request.state = State::Waiting;
        request.spec.may_have_run |= failure.may_have_run();
        let is_retryable = request.spec.repeatable || !failure.may_have_run();
        // A retry after a miss waits for the revision to be loaded again, which adds no work to a failing
        // upstream. So it needs no token of the retry budget.
        let is_miss = failure == Failure::NotLoaded;
        request.misses += u32::from(is_miss);
        let attempts_left = match is_miss {
            true => request.misses < MAX_MISSES,
            false => request.attempts.saturating_sub(request.misses) < MAX_ATTEMPTS,
        };
        let is_within_limits = now < request.deadline && attempts_left;
        if is_retryable
            && !request.response_started
            && is_within_limits
            && (is_miss || self.retries.withdraw(now))
        {
            return self.route(now, key);
        }
        let retry_after = is_retryable.then_some(RETRY_AFTER);
        self.refuse(key, Kind::Upstream, retry_after);
    }

    /// Chooses the next step of a request.
    pub(super) fn route(&mut self, now: Instant, key: key::Request) {
        let Some(request) = self.requests.get(key) else { return };
        if now >= request.deadline {
            return self.refuse(key, Kind::Deadline, Some(RETRY_AFTER));
        }
        if !self.resolve(key) {
            return self.refuse(key, Kind::NotFound, None);
        }
        if self.has_other_home(key) {
            return self.forward(now, key);
        }
        // A possibly partitioned instance cannot tell whether its configuration is still active.
        if !self.membership.may_serve(now) {
            return self.refuse(key, Kind::Unavailable, Some(RETRY_AFTER));
        }
        if self.is_uncertain(now, key) {
            return self.refuse(key, Kind::Unavailable, Some(RETRY_AFTER));
        }
        let Some(request) = self.requests.get(key) else { return };
        match request.revision {
            Some(revision) => self.route_model(now, key, revision),
            None => self.route_service(now, key),
        }
    }

    /// Resolves the target of a request in the active document, which may have changed since the
    /// request arrived. Returns whether the target can still be answered.
    fn resolve(&mut self, key: key::Request) -> bool {
        let revision = self.named_revision(key);
        let Some(request) = self.requests.get_mut(key) else { return false };
        let is_model = matches!(request.spec.target, Target::Model(_));
        request.revision = revision;
        revision.is_some() || !is_model
    }

    /// Returns the revision that a request's model resolves to in the active document.
    pub(super) fn named_revision(&self, key: key::Request) -> Option<key::Revision> {
        match &self.requests.get(key)?.spec.target {
            Target::Model(model) => self.catalog.resolve(model),
            Target::Service(_) => None,
        }
    }

    /// Refuses the requests that have waited for a load until their queue deadline.
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
            resident.last_used = now;
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

    /// Records that an upstream may still run a request that this instance no longer waits for.
    fn mark_abandoned(&mut self, now: Instant, key: key::Request) {
        let Some(request) = self.requests.get(key) else { return };
        let (State::Running(upstream), Some(revision)) = (&request.state, request.revision) else {
            return;
        };
        if let Some(upstream) = self.fleet.get_mut(*upstream) {
            upstream.mark_abandoned(now, revision);
        }
    }

    /// Removes a request from the running counts of its upstream.
    fn release(&mut self, now: Instant, key: key::Request) {
        let Some(request) = self.requests.get(key) else { return };
        let State::Running(upstream) = request.state else { return };
        let Some(upstream) = self.fleet.get_mut(upstream) else { return };
        upstream.running = upstream.running.saturating_sub(1);
        if let Some(resident) =
            request.revision.and_then(|revision| upstream.residents.get_mut(&revision))
        {
            resident.running = resident.running.saturating_sub(1);
            resident.last_used = now;
        }
    }

    fn forward(&mut self, now: Instant, key: key::Request) {
        let Some(home) = self.next_home(key) else { return };
        let (instance, address) = (home.name.clone(), home.caller_address);
        self.forward_to(now, key, instance, address);
    }

    /// Forwards a request to another instance.
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
        request.forwarded_to.push(instance.clone());
        let timeout = request.deadline.since(now);
        let queue_timeout = request.queue_deadline.since(now);
        let may_have_run = request.spec.may_have_run;
        self.effects.push(Effect::LogDecision(Decision {
            request: Some(key),
            name,
            chosen: Some(instance.clone()),
            reason: Reason::OtherHome,
            runners_up: Vec::new(),
        }));
        let step = Step::Forward { instance, address, timeout, queue_timeout, may_have_run };
        self.effects.push(Effect::Request { request: key, step });
    }

    /// Refuses a request, reporting it as possibly run if its state does not rule that out.
    pub(super) fn refuse(&mut self, key: key::Request, kind: Kind, retry_after: Option<Duration>) {
        let may_have_run = self.requests.get(key).is_some_and(Request::may_have_run);
        let ran = if may_have_run { Ran::MayHaveRun } else { Ran::NotRun };
        self.refuse_as(key, kind, ran, retry_after);
    }

    /// Refuses a request, reporting whether it ran as given by `ran`.
    pub(super) fn refuse_as(
        &mut self,
        key: key::Request,
        kind: Kind,
        ran: Ran,
        retry_after: Option<Duration>,
    ) {
        self.log_decision(key, None, Reason::Refused, Vec::new());
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

    pub(super) fn log_decision(
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
        self.effects.push(Effect::LogDecision(decision));
    }

    fn name_of(&self, key: key::Request) -> Arc<str> {
        let Some(request) = self.requests.get(key) else { return "".into() };
        match (request.revision, &request.spec.target) {
            (Some(revision), _) => self.catalog.revision(revision).name.clone(),
            (None, Target::Service(name) | Target::Model(name)) => name.clone(),
        }
    }
}

/// Ejects an upstream after a failed attempt, or removes the revision that it reported as not
/// loaded.
fn record_failure(
    upstream: &mut Upstream,
    now: Instant,
    revision: Option<key::Revision>,
    failure: Failure,
) {
    match failure {
        Failure::Unsent | Failure::Broken => upstream.ejected_until = now + EJECTION_TIME,
        Failure::NotLoaded => {
            if let Some(revision) = revision {
                upstream.mark_not_loaded(now, revision);
            }
            upstream.next_probe = now;
        }
        // An upstream that declines may be draining, which its report shows before the list does.
        Failure::Declined => {
            upstream.ejected_until = upstream.ejected_until.max(now + DECLINE_EJECTION_TIME);
            upstream.next_probe = now;
        }
    }
}
