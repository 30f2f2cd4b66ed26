//! Single tries of a request: acquires a permit on an upstream, sends the request and classifies the head of the response.

use http::HeaderMap;
use orioleroute::ingress::Notice;
use orioleroute::ingress::quarantine;
use orioleroute::prelude::*;
use orioleroute::scheduler::message::{Reason, RunResult};
use orioleroute_platform::ingress::{self, Dispatch, ResponseClass};
use orioleroute_wire::http1::head;

use super::exchange::{Failure, Incoming, Loss, Outgoing, Target, Transport};
use super::forward::Relay;
use super::permit::{Permit, Refusal};
use super::placement::{self, PermitRequest};
use super::unscheduled::{self, PlainRequest};

/// The outcome of one try at an upstream.
pub(super) enum TryOutcome {
    /// The head of the response has arrived.
    Answered(Permit, Box<Incoming>),
    /// No permit was granted.
    NoPermit(Refusal),
    /// The upstream did not run the request.
    NotRun(Permit, RunResult),
    /// The upstream may have run the request, but its response is lost.
    Lost(Permit, Loss, Transport),
}

impl Relay<'_> {
    /// Acquires a permit, sends the request and waits for the head of the response.
    pub(super) async fn try_once(&self) -> TryOutcome {
        if self.blamed().is_some() {
            let refusal = Refusal::new(Reason::Quarantined, quarantine::RETRY_AFTER);
            return TryOutcome::NoPermit(refusal);
        }
        let permit = match self.acquire_permit().await {
            Ok(permit) => permit,
            Err(refusal) => return TryOutcome::NoPermit(refusal),
        };
        let list_version = self.gateway.registry().version();
        if self.gateway.registry().is_leaving(&permit.upstream, permit.entry_version) {
            self.report_departed(&permit);
            return TryOutcome::NotRun(permit, RunResult::Departed { list_version });
        }
        let target = Target {
            id: permit.upstream.clone(),
            service: self.service.clone(),
            address: permit.address,
        };
        let outgoing = Outgoing {
            method: &self.inbound.head.method,
            target: &self.inbound.head.target,
            headers: self.upstream_headers(&permit),
            body: &self.inbound.body,
            is_repeatable: self.route.is_repeatable(),
        };
        self.possible_runs.set(self.possible_runs.get() + 1);
        match self.gateway.connections.send(self.gateway, &target, outgoing).await {
            Ok(incoming) => {
                self.note_way(&incoming.transport().way);
                self.classify(permit, incoming)
            }
            Err(Failure::Unreachable(_)) => {
                self.possible_runs.set(self.possible_runs.get() - 1);
                TryOutcome::NotRun(permit, RunResult::Unreachable)
            }
            Err(Failure::Broken(cut, transport)) => {
                self.note_way(&transport.way);
                TryOutcome::Lost(permit, cut.into(), transport)
            }
        }
    }

    fn classify(&self, mut permit: Permit, incoming: Incoming) -> TryOutcome {
        let id = self.attempt.id.as_deref();
        let headers = &incoming.head().headers;
        let status = incoming.head().status;
        let class =
            ingress::classify_response(status, headers, id, incoming.transport().connection);
        if matches!(class, ResponseClass::Valid | ResponseClass::NotRun) {
            permit.observe(ingress::notice(headers), class == ResponseClass::Valid);
            if let Some(pause) = ingress::pause(incoming.head().status, headers) {
                self.gateway.pauses.record(self.gateway, &permit.upstream, pause);
            }
        }
        match class {
            ResponseClass::Valid => TryOutcome::Answered(permit, Box::new(incoming)),
            ResponseClass::Mismatched => {
                TryOutcome::Lost(permit, Loss::Mismatched, incoming.transport().clone())
            }
            ResponseClass::NotRun | ResponseClass::Misdirected => {
                self.possible_runs.set(self.possible_runs.get() - 1);
                let result = match class {
                    ResponseClass::Misdirected => RunResult::Misdirected,
                    _ => RunResult::Declined,
                };
                TryOutcome::NotRun(permit, result)
            }
        }
    }

    /// Acquires a permit on an upstream that does not pause. One that has asked for a pause since the permit was requested
    /// gets no request either.
    async fn acquire_permit(&self) -> Result<Permit, Refusal> {
        let mut excluded = self.excluded.borrow().clone();
        loop {
            let paused = self.gateway.pauses.paused(self.gateway);
            excluded.extend(paused.iter().map(|(upstream, _)| upstream.clone()));
            let permit = match self.acquire_permit_without(&excluded).await {
                Ok(permit) => permit,
                Err(refusal) => {
                    let soonest = paused.iter().map(|(_, left)| *left).min();
                    let soonest = soonest.filter(|_| refusal.reason == Reason::NoEngine);
                    return Err(soonest.map_or(refusal, |left| {
                        Refusal::until_free(Reason::NoEngine, left, self.attempt.id.as_ref())
                    }));
                }
            };
            let pauses = self.gateway.pauses.paused(self.gateway);
            if !pauses.iter().any(|(upstream, _)| *upstream == permit.upstream) {
                return Ok(permit);
            }
            permit.end_unsent(Notice::default());
        }
    }

    async fn acquire_permit_without(&self, excluded: &[Arc<str>]) -> Result<Permit, Refusal> {
        match &self.attempt.generation {
            Some(generation) if self.has_engine => {
                let build = self.build.borrow().clone();
                let request = PermitRequest {
                    organisation: self.organisation.as_ref().map(|it| &it.name),
                    service: &self.service,
                    generation,
                    grade: self.grade,
                    deadline: self.deadline,
                    objective: self.objective,
                    excluded,
                    attempt: self.attempt.id.as_ref(),
                    content: self.content,
                    build: build.as_ref(),
                    is_return: self.is_return,
                };
                placement::acquire(self.gateway, &request).await
            }
            _ => {
                let attempt = self.attempt.id.as_ref();
                let build = self.build.borrow().clone();
                let request = PlainRequest {
                    service: &self.service,
                    excluded,
                    attempt,
                    content: self.content,
                    build: build.as_ref(),
                };
                unscheduled::acquire_plain(self.gateway, &request)
            }
        }
    }

    fn upstream_headers(&self, permit: &Permit) -> HeaderMap {
        let mut headers = self.inbound.head.headers.clone();
        head::strip_connection_fields(&mut headers);
        ingress::strip_reserved(&mut headers);
        let dispatch = Dispatch {
            upstream: permit.upstream.clone(),
            time_left: self.deadline.since(self.gateway.now()),
            adapter_version: permit.version,
            priority: self.has_engine.then_some(self.grade.engine),
            last_event: self.last_event.get(),
            organisation: self.organisation.as_ref().map(|it| it.name.clone()),
        };
        ingress::set_dispatch_headers(&mut headers, &dispatch);
        headers
    }
}
