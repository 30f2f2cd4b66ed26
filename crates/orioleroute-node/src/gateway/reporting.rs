//! The log lines and metrics of one request while it is forwarded.

use orioleroute::ingress::attempt::Attempt;
use orioleroute::ingress::configuration::Route;
use orioleroute::ingress::organisation::Unidentified;
use orioleroute::ingress::origins::Finding;
use orioleroute::prelude::*;
use orioleroute::scheduler::Decision;
use orioleroute::scheduler::message::Reason;
use orioleroute_platform::ingress::Connection;
use slog::info;

use super::exchange::{Incoming, Loss, Transport};
use super::forward::Relay;
use super::permit::Permit;
use super::state::Gateway;

impl Relay<'_> {
    pub(super) fn report_retry(&self) {
        metrics::counter!("orioleroute_retries_total").increment(1);
    }

    /// Reports a grant for an upstream that this instance knows to leave.
    pub(super) fn report_departed(&self, permit: &Permit) {
        let standing = self.gateway.registry().standing(&permit.upstream);
        metrics::counter!("orioleroute_grants_departed_total").increment(1);
        info!(self.gateway.log, "grant not used"; "request" => self.attempt.id.as_deref(),
            "upstream" => &*permit.upstream, "standing" => standing.to_string());
    }

    /// Reports that another upstream is asked to take a stream over from a silent one.
    pub(super) fn report_silence(&self, upstream: &str) {
        metrics::counter!("orioleroute_successor_searches_total").increment(1);
        info!(self.gateway.log, "asking for a successor"; "request" => self.attempt.id.as_deref(),
            "upstream" => upstream, "last_event" => self.last_event.get(),
            "silent_ms" => self.silence().map(|silence| silence.as_millis() as u64));
    }

    /// Reports a lost response after the time that the upstream had for it, what was received of it, and what is done next.
    pub(super) fn report_loss(
        &self,
        upstream: &str,
        ran: Duration,
        loss: &Loss,
        next: &'static str,
        transport: &Transport,
        incoming: Option<&Incoming>,
    ) {
        let framing = |incoming: &Incoming| -> &'static str { incoming.head().framing.into() };
        let phase = Phase::of(incoming);
        metrics::counter!("orioleroute_responses_lost_total", "cause" => loss.cause()).increment(1);
        metrics::counter!("orioleroute_responses_lost_by_phase_total", "phase" => <&str>::from(phase))
            .increment(1);
        let usage = self.gateway.retry_usage(&self.service);
        info!(self.gateway.log, "response lost"; "request" => self.attempt.id.as_deref(),
            "upstream" => upstream, "cause" => loss.to_string(), "next" => next,
            "framing" => incoming.map(framing),
            "body_bytes" => incoming.map(Incoming::body_bytes), "last_event" => self.last_event.get(),
            "silent_ms" => self.silence().map(|silence| silence.as_millis() as u64),
            "sibling" => transport.way.sibling().map(|sibling| &**sibling),
            "is_reused" => transport.connection == Connection::Reused,
            "phase" => <&str>::from(phase), "ran_ms" => ran.as_millis() as u64,
            "retries" => usage.retries, "retry_limit" => usage.limit as u64,
            "parts" => self.shared_parts(), "content" => format!("{:x}", self.content));
    }

    /// Reports what was found of a stream that the client takes up, and on what that is based.
    pub(super) fn report_take_up(&self, found: &Finding) {
        let now = self.gateway.now();
        let (builds, has_list) = {
            let registry = self.gateway.registry();
            (registry.recent_builds(&self.service, now).len(), registry.is_read())
        };
        let (origin, build, evidence) = match found {
            Finding::Known(build, evidence) => ("known", Some(&**build), evidence.into()),
            Finding::Unknown => ("unknown", None, "none"),
        };
        metrics::counter!("orioleroute_take_ups_total", "evidence" => evidence).increment(1);
        info!(self.gateway.log, "stream taken up"; "request" => self.attempt.id.as_deref(),
            "resumes" => self.attempt.resumes.as_deref(), "origin" => origin,
            "evidence" => evidence, "build" => build, "builds" => builds, "has_list" => has_list,
            "age_ms" => now.since(Instant::ZERO).as_millis() as u64);
    }

    /// Reports the outcome of the request.
    pub(super) fn report_end(&self, outcome: &'static str) {
        let time = self.gateway.now().since(self.inbound.arrived);
        let progress = self.progress.borrow();
        let first_event = progress.first_event().map(|at| at.since(self.inbound.arrived));
        metrics::counter!("orioleroute_requests_total", "outcome" => outcome).increment(1);
        metrics::histogram!("orioleroute_request_duration_seconds").record(time.as_secs_f64());
        info!(self.gateway.log, "request"; "request" => self.attempt.id.as_deref(),
            "route" => &*self.route.name, "service" => &*self.service,
            "version" => self.version, "upstreams" => self.tried_upstreams.borrow().join(", "),
            "siblings" => self.siblings_text(),
            "outcome" => outcome, "parts" => self.shared_parts(), "content" => format!("{:x}", self.content),
            "organisation" => self.organisation.as_ref().map(|it| &*it.name),
            "cost" => self.organisation.as_ref().and_then(|it| Some(it.quota?.cost(self.attempt.tokens))),
            "build" => self.build.borrow().as_deref(), "resumes" => self.attempt.resumes.as_deref(),
            "refusal" => self.refusal.map(|reason| reason.to_string()),
            "first_event_ms" => first_event.map(|time| time.as_millis() as u64),
            "longest_pause_ms" => progress.longest_pause().as_millis() as u64,
            "pause_objective_ms" => self.route.pause_objective.map(|pause| pause.as_millis() as u64),
            "events" => progress.events(),
            "ms" => time.as_millis() as u64);
    }

    /// Returns the ids of the prompt's parts that other requests may share, which are all but the last.
    fn shared_parts(&self) -> Option<String> {
        let (_, shared) = self.attempt.generation.as_ref()?.parts.split_last()?;
        let ids: Vec<String> = shared.iter().map(|part| format!("{:x}", part.id)).collect();
        Some(ids.join(","))
    }

    /// Returns the instances by way of which requests went, if any did.
    fn siblings_text(&self) -> Option<String> {
        let siblings = self.siblings.borrow();
        (!siblings.is_empty()).then(|| siblings.join(", "))
    }

    /// Returns how long ago the last data of an upstream arrived, if any has.
    fn silence(&self) -> Option<Duration> {
        self.received_at.get().map(|received| self.gateway.now().since(received))
    }
}

/// Reports a request without a known key. The key is not a part of the report.
pub(super) fn report_unidentified(
    gateway: &Gateway,
    attempt: &Attempt,
    route: &Route,
    reason: Unidentified,
    version: u64,
) {
    metrics::counter!("orioleroute_unidentified_total", "reason" => <&str>::from(reason))
        .increment(1);
    info!(gateway.log, "not identified"; "request" => attempt.id.as_deref(),
        "route" => &*route.name, "reason" => reason.to_string(), "version" => version);
}

/// Reports the decision of a scheduler on a request, with the estimates behind it.
pub(super) fn report_decision(gateway: &Gateway, zone: Option<&Arc<str>>, decision: &Decision) {
    let upstream = decision.upstream.as_deref();
    let outcome = if upstream.is_some() { "granted" } else { "not granted" };
    metrics::counter!("orioleroute_placements_total", "reason" => decision.reason).increment(1);
    if decision.reason == <&str>::from(Reason::OverShare) {
        let label = decision.organisation.as_ref().map(|it| gateway.quotas.label(it));
        let label = label.as_deref().unwrap_or("none").to_owned();
        metrics::counter!("orioleroute_over_share_refusals_total", "organisation" => label)
            .increment(1);
    }
    let share = decision.share;
    info!(gateway.log, "placement"; "request" => decision.attempt.as_deref(), "outcome" => outcome,
        "reason" => decision.reason, "step" => decision.step, "upstream" => upstream,
        "organisation" => decision.organisation.as_deref(),
        "due_tokens_s" => share.map(|share| share.due as u64),
        "granted_tokens_s" => share.map(|share| share.granted as u64),
        "asked_tokens_s" => share.map(|share| share.asked as u64),
        "share_age_ms" => share.map(|share| share.age.as_millis() as u64),
        "zone" => zone.map(|zone| &**zone),
        "waited_ms" => decision.waited.as_millis() as u64,
        "expected_ms" => decision.expected.as_millis() as u64,
        "queue_ms" => decision.queue.as_millis() as u64);
}

/// How far a response had come when it was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum Phase {
    BeforeHead,
    BeforeBody,
    InBody,
}

impl Phase {
    fn of(incoming: Option<&Incoming>) -> Self {
        match incoming.map(Incoming::body_bytes) {
            None => Self::BeforeHead,
            Some(0) => Self::BeforeBody,
            Some(_) => Self::InBody,
        }
    }
}
