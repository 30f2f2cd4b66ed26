//! Forwards a client's request to upstreams and relays exactly one final response.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::Bytes;
use http::{StatusCode, header};
use orioleroute::ingress::attempt::{Attempt, Content};
use orioleroute::ingress::configuration::Route;
use orioleroute::ingress::origins::Finding;
use orioleroute::ingress::priority::Grade;
use orioleroute::ingress::quarantine::Key;
use orioleroute::ingress::{Organisation, Progress};
use orioleroute::prelude::*;
use orioleroute::scheduler::message::{Reason, RunResult};
use orioleroute_platform::ingress;
use orioleroute_wire::http1::body::Framing;
use orioleroute_wire::http1::head::Request;
use orioleroute_wire::sse;
use slog::info;

use super::ending::{refuse_early, respond_locally};
use super::exchange::{Incoming, Loss, Transport};
use super::origins;
use super::permit::{Permit, Refusal};
use super::placement;
use super::relaying::RelayOutcome;
use super::reporting::report_unidentified;
use super::response::Response;
use super::server::Client;
use super::startup;
use super::state::Gateway;
use super::takeover;
use super::tries::TryOutcome;
use crate::detour::Way;
use crate::quota;

/// The number of upstreams that may decline one request, or be unreachable, before it is refused.
const MAX_DECLINES: u32 = 3;

/// The number of upstreams that may be lost under a request without an answer before it is no longer sent on at once.
const MAX_UNPROVEN_LOSSES: usize = 2;

/// The retry-after time of a stream that is taken up and of which nobody knows where it began. Those who know may be out of
/// reach for a moment.
const UNKNOWN_ORIGIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The retry-after time of a request that every tried upstream declined.
const DECLINED_RETRY_AFTER: Duration = Duration::from_millis(250);

/// The least estimated time since a client's first attempt for the request to count as a retry after a
/// refusal. It is below the shortest retry-after time that the schedulers' admission control sets,
/// 100 ms (`scheduler/admission.rs`). An earlier retry, such as one after
/// the refusal of an instance that is stopping, does not count.
const MIN_RETURN_DELAY: Duration = Duration::from_millis(80);

/// A request as read from the client.
pub struct Inbound {
    /// The head.
    pub head: Request,
    /// The body.
    pub body: Bytes,
    /// When the head was read.
    pub arrived: Instant,
}

/// What to do with the client's connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// Keep it open for the next request.
    KeepAlive,
    /// Close it.
    Close,
}

/// Forwards one request and writes its response.
pub async fn handle(gateway: &Rc<Gateway>, client: &mut Client, inbound: Inbound) -> Disposition {
    let mut response = Response::new(client);
    let response = &mut response;
    let attempt = ingress::attempt(&inbound.head.headers);
    if !startup::has_tables(gateway) {
        startup::await_tables(gateway, attempt.time_left).await;
    }
    let Some(configuration) = gateway.configuration() else {
        return refuse_early(gateway, response, &attempt, "no configuration").await;
    };
    if !gateway.is_accepting() {
        return refuse_early(gateway, response, &attempt, "stopping").await;
    }
    let host = inbound.head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.and_then(|host| host.split(':').next()).unwrap_or_default();
    let Some(route) = configuration.route(host, inbound.head.path()).cloned() else {
        info!(gateway.log, "no route"; "request" => attempt.id.as_deref(),
            "path" => &inbound.head.target, "version" => configuration.version);
        return respond_locally(gateway, response, StatusCode::NOT_FOUND, &attempt, None).await;
    };
    let Some(service) = route.service(attempt.id.as_deref().unwrap_or_default()).cloned() else {
        return respond_locally(gateway, response, StatusCode::NOT_FOUND, &attempt, None).await;
    };
    let organisation = match configuration.identify(&route, ingress::keys(&inbound.head.headers)) {
        Ok(organisation) => organisation.cloned(),
        Err(unidentified) => {
            report_unidentified(gateway, &attempt, &route, unidentified, configuration.version);
            let status = StatusCode::UNAUTHORIZED;
            return respond_locally(gateway, response, status, &attempt, None).await;
        }
    };
    let timeout = attempt.time_left.unwrap_or(route.timeout).min(route.timeout);
    let elapsed = attempt.time_left.map(|left| gateway.elapsed_at_client(&route.name, left));
    let elapsed = elapsed.unwrap_or_default();
    let has_engine = placement::has_engine(&configuration, &service);
    gateway.deposit_retry(&service);
    let content = Content {
        method: inbound.head.method.as_str(),
        host,
        target: &inbound.head.target,
        credentials: match &organisation {
            Some(organisation) => Some(organisation.name.as_bytes()),
            None => ingress::credentials(&inbound.head.headers),
        },
        generation: attempt.generation.as_ref(),
        body: &inbound.body,
    };
    let priority = organisation.as_ref().and_then(|it| it.priority).unwrap_or(route.priority);
    let mut relay = Relay {
        gateway,
        content: content.digest(),
        deadline: inbound.arrived + timeout,
        objective: inbound.arrived + route.objective.saturating_sub(elapsed),
        last_event: Cell::new(attempt.last_event),
        interrupted: RefCell::default(),
        build: RefCell::default(),
        inbound,
        attempt,
        grade: configuration.grade(&service, priority),
        organisation,
        route,
        service,
        version: configuration.version,
        has_engine,
        is_return: elapsed >= MIN_RETURN_DELAY,
        possible_runs: Cell::new(0),
        lost_runs: Cell::new(0),
        losses_before: 0,
        declines: 0,
        excluded: RefCell::default(),
        tried_upstreams: RefCell::default(),
        siblings: RefCell::default(),
        received_at: Cell::default(),
        progress: RefCell::default(),
        refusal: None,
    };
    relay.losses_before = gateway.suspects.losses_under(&relay.service, relay.content);
    let charged = quota::charge(gateway, relay.organisation.as_ref(), &relay.attempt).await;
    let (disposition, outcome) = match charged {
        Ok(charge) => {
            let end = relay.run(response).await;
            if relay.possible_runs() == 0 {
                charge.refund(gateway);
            }
            end
        }
        Err(denied) => relay.refuse_charge(response, &denied).await,
    };
    relay.report_end(outcome);
    disposition
}

/// The state of one request while it is forwarded.
pub struct Relay<'a> {
    pub(super) gateway: &'a Rc<Gateway>,
    pub(super) inbound: Inbound,
    pub(super) attempt: Attempt,
    /// The digest of what the client asks for.
    pub(super) content: u64,
    /// The organisation whose request it is, if it is known.
    pub(super) organisation: Option<Arc<Organisation>>,
    /// The priority: that of the organisation, else of the route.
    pub(super) grade: Grade,
    pub(super) route: Arc<Route>,
    pub(super) service: Arc<str>,
    /// The version of the configuration that routed the request.
    pub(super) version: u64,
    pub(super) has_engine: bool,
    /// Whether the client retries after a refusal.
    pub(super) is_return: bool,
    /// When the final response is due at the latest.
    pub(super) deadline: Instant,
    /// When the target latency of the response, or of its first event, is exceeded.
    pub(super) objective: Instant,
    /// The number of upstreams that may have run the request.
    pub(super) possible_runs: Cell<u32>,
    /// The number of upstreams whose response is lost.
    lost_runs: Cell<u32>,
    /// The number of upstreams that had been lost under the request when it arrived.
    losses_before: usize,
    declines: u32,
    /// The upstreams that have failed the request.
    pub(super) excluded: RefCell<Vec<Arc<str>>>,
    pub(super) last_event: Cell<Option<u64>>,
    /// The events of the upstream that broke the stream off last.
    pub(super) interrupted: RefCell<sse::Splitter>,
    /// The build at which the stream began, once it has.
    pub(super) build: RefCell<Option<Arc<str>>>,
    /// The upstreams tried and how each try ended, for the log.
    pub(super) tried_upstreams: RefCell<Vec<String>>,
    /// The instances by way of which requests went, for the log.
    pub(super) siblings: RefCell<Vec<Arc<str>>>,
    /// When the last data of an upstream arrived, for the log.
    pub(super) received_at: Cell<Option<Instant>>,
    /// The events passed on, for the log.
    pub(super) progress: RefCell<Progress>,
    /// Why the last permit that was not granted was refused, for the log.
    pub(super) refusal: Option<Reason>,
}

impl Relay<'_> {
    async fn run(&mut self, response: &mut Response<'_>) -> (Disposition, &'static str) {
        if self.attempt.last_event.is_some() {
            let origin = self.attempt.resumes.as_deref();
            let left = self.deadline.since(self.gateway.now());
            let found = monoio::select! {
                found = origins::find(self.gateway, &self.service, origin, left) => found,
                () = response.closed() => return (Disposition::Close, "client gone"),
            };
            self.report_take_up(&found);
            match found {
                Finding::Known(build, _) => *self.build.borrow_mut() = Some(build),
                Finding::Unknown => {
                    let refusal = Refusal::new(Reason::UnknownOrigin, UNKNOWN_ORIGIN_RETRY_AFTER);
                    return self.refuse(response, refusal).await;
                }
            }
        }
        loop {
            let remaining = self.deadline.since(self.gateway.now());
            let tried = monoio::select! {
                tried = self.try_once() => tried,
                () = response.closed() => return (Disposition::Close, "client gone"),
                () = monoio::time::sleep(remaining) => return self.time_out(response).await,
            };
            let next = match tried {
                TryOutcome::Answered(permit, incoming) => {
                    self.relay_response(response, permit, *incoming).await
                }
                TryOutcome::NoPermit(refusal) => Some(self.refuse(response, refusal).await),
                TryOutcome::NotRun(permit, result) => {
                    self.handle_not_run(response, permit, result).await
                }
                TryOutcome::Lost(permit, loss, transport) => {
                    self.handle_lost(response, permit, &loss, &transport, None).await
                }
            };
            if let Some(end) = next {
                return end;
            }
        }
    }

    /// Relays a response. Returns `None` if the request has to be tried again, else its outcome.
    async fn relay_response(
        &mut self,
        response: &mut Response<'_>,
        mut permit: Permit,
        mut incoming: Incoming,
    ) -> Option<(Disposition, &'static str)> {
        self.note(format!("{} {}", permit.upstream, incoming.head().status.as_u16()));
        self.received_at.set(Some(self.gateway.now()));
        let status = incoming.head().status;
        // The upstream has not stated that the request did not run, or it would not be relayed.
        let is_unconfirmed = ingress::promises_not_run(status);
        if (status.is_server_error() || is_unconfirmed) && self.may_retry() {
            permit.end(RunResult::Erred);
            self.report_retry();
            return None;
        }
        if is_unconfirmed {
            permit.end(RunResult::Erred);
            let outcome = "promise not confirmed";
            return Some(self.fail(response, StatusCode::BAD_GATEWAY, outcome).await);
        }
        let is_stream = status.is_success() && sse::is_stream(&incoming.head().headers);
        let relayed = match is_stream {
            // Only events can continue a started stream.
            _ if response.is_started() && !takeover::continues_stream(incoming.head()) => {
                RelayOutcome::Lost(Loss::NotResumed(status.as_u16()))
            }
            true => self.relay_stream(response, &mut permit, &mut incoming).await,
            false => self.relay_buffered(response, &mut incoming).await,
        };
        match relayed {
            RelayOutcome::Done => {
                let has_end = incoming.head().framing != Framing::UntilClose;
                match status {
                    _ if status.is_server_error() => permit.end(RunResult::Erred),
                    _ if status.is_success() && has_end => permit.end(RunResult::Answered),
                    // The engine may have ended before it has written the rest of the answer.
                    _ => permit.end_unconfirmed(),
                }
                incoming.release(self.gateway);
                Some((self.disposition(), "answered"))
            }
            RelayOutcome::ClientClosed => {
                permit.end(RunResult::Abandoned);
                Some((Disposition::Close, "client gone"))
            }
            RelayOutcome::TimedOut => {
                permit.end(RunResult::Abandoned);
                Some(self.time_out(response).await)
            }
            RelayOutcome::Lost(loss) => {
                let transport = incoming.transport().clone();
                self.handle_lost(response, permit, &loss, &transport, Some(&incoming)).await
            }
        }
    }

    /// Handles an upstream that did not run the request. Returns `None` if another is to be tried.
    async fn handle_not_run(
        &mut self,
        response: &mut Response<'_>,
        permit: Permit,
        result: RunResult,
    ) -> Option<(Disposition, &'static str)> {
        self.note(format!("{} {result:?}", permit.upstream));
        self.exclude(&permit.upstream);
        permit.end(result);
        self.declines += 1;
        let may_try_again = self.declines < MAX_DECLINES
            && (!result.was_sent() || self.gateway.withdraw_retry(&self.service));
        if may_try_again {
            return None;
        }
        if response.is_started() {
            return Some((Disposition::Close, "stream not resumed"));
        }
        if self.possible_runs.get() > 0 {
            return Some(
                self.fail(response, StatusCode::BAD_GATEWAY, "declined after a try").await,
            );
        }
        let refusal = Refusal::new(Reason::NoEngine, DECLINED_RETRY_AFTER);
        Some(self.refuse(response, refusal).await)
    }

    /// Handles a lost response, after which the request may have run. Returns `None` if the request is
    /// to be retried.
    async fn handle_lost(
        &mut self,
        response: &mut Response<'_>,
        permit: Permit,
        loss: &Loss,
        transport: &Transport,
        incoming: Option<&Incoming>,
    ) -> Option<(Disposition, &'static str)> {
        self.note(format!("{} lost: {loss}", permit.upstream));
        let upstream = permit.upstream.clone();
        let ran = permit.age();
        permit.end(RunResult::Broken);
        self.lost_runs.set(self.lost_runs.get() + 1);
        let may_retry = self.may_retry();
        let next = match (may_retry, response.is_started()) {
            (true, true) => "resume",
            (true, false) => "retry",
            (false, true) => "cut",
            (false, false) => "fail",
        };
        self.report_loss(&upstream, ran, loss, next, transport, incoming);
        if may_retry {
            self.exclude(&upstream);
            self.report_retry();
            return None;
        }
        Some(self.fail(response, StatusCode::BAD_GATEWAY, "answer lost").await)
    }

    /// Returns whether the request may be sent to another upstream although one may have run it. If so,
    /// withdraws a retry from the budget.
    pub(super) fn may_retry(&self) -> bool {
        self.route.is_repeatable()
            && self.possible_runs.get() < self.route.attempts
            && !self.is_suspect()
            && self.deadline > self.gateway.now()
            && self.gateway.withdraw_retry(&self.service)
    }

    /// Returns whether so many upstreams were lost under the request that it may be what ends them. It is then not sent on at
    /// once, because the next loss may be the one by which it is blamed. A stream that has brought events goes on.
    fn is_suspect(&self) -> bool {
        let lost_runs = self.lost_runs.get() as usize;
        self.last_event.get().is_none()
            && lost_runs > 0
            && self.losses_before + lost_runs >= MAX_UNPROVEN_LOSSES
    }

    /// Returns the number of upstreams that may have run the request.
    pub(super) fn possible_runs(&self) -> u32 {
        self.possible_runs.get()
    }

    /// Returns for what the request is refused, if it or a part of its prompt is blamed for the loss of upstreams.
    pub(super) fn blamed(&self) -> Option<Key> {
        let generation = self.attempt.generation.as_ref();
        let suspects = &self.gateway.suspects;
        suspects.blamed(&self.service, self.content, generation, self.gateway.now())
    }

    /// Excludes an upstream from further tries.
    pub(super) fn exclude(&self, upstream: &Arc<str>) {
        let mut excluded = self.excluded.borrow_mut();
        if !excluded.contains(upstream) {
            excluded.push(upstream.clone());
        }
    }

    /// Notes for the log how a try ended.
    pub(super) fn note(&self, end: String) {
        self.tried_upstreams.borrow_mut().push(end);
    }

    /// Notes for the log by way of which instance a request went, if it did.
    pub(super) fn note_way(&self, way: &Way) {
        if let Some(sibling) = way.sibling() {
            self.siblings.borrow_mut().push(sibling.clone());
        }
    }

    fn disposition(&self) -> Disposition {
        match self.gateway.is_stopping() {
            true => Disposition::Close,
            false => Disposition::KeepAlive,
        }
    }
}
