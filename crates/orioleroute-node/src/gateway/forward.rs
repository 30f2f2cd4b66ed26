//! A client's request from its arrival to its one final answer.

use std::cell::Cell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, StatusCode, header};
use orioleroute::ingress::attempt::Attempt;
use orioleroute::ingress::configuration::Route;
use orioleroute::prelude::*;
use orioleroute::scheduler::message::{Reason, RunResult};
use orioleroute_platform::ingress::{self, Dispatch, Verdict};
use orioleroute_wire::http1::body;
use orioleroute_wire::http1::head::{self, Request};
use orioleroute_wire::http1::socket::Socket;
use slog::info;

use super::exchange::{Failure, Incoming, Outgoing, Target};
use super::front;
use super::placing::{self, Need, Permit, Refusal};
use super::state::Gateway;
use super::stream;

/// The longest answer that is not a stream, in bytes.
const MAX_ANSWER: usize = 8 << 20;

/// Input that a client may send ahead while it waits, in bytes.
const MAX_AHEAD: usize = 64 << 10;

/// The longest wait for a client to take a part of its answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Upstreams that decline one request before it is refused.
const MAX_DECLINES: u32 = 3;

/// The silence of a begun stream after which it goes on at another upstream, if it may: below the
/// two seconds after which clients leave.
const STREAM_SILENCE: Duration = Duration::from_millis(1_300);

/// When a client comes back that met an instance without a configuration, or one that stops.
const ELSEWHERE_RETRY: Duration = Duration::from_millis(50);

/// When a client comes back whose request was declined by all upstreams that were tried.
const DECLINED_RETRY: Duration = Duration::from_millis(250);

/// The time that must have gone by since a client's first attempt for it to count as one that has
/// come back: refusals name at least this time.
const RETURN_AFTER: Duration = Duration::from_millis(80);

/// A request as it was read.
pub struct Inbound {
    /// The head.
    pub head: Request,
    /// The body.
    pub body: Bytes,
    /// When it was read.
    pub arrived: Instant,
}

/// What becomes of the client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It can carry the next request.
    KeepOpen,
    /// It has to be closed.
    Close,
}

/// Answers one request.
pub async fn answer(gateway: &Rc<Gateway>, client: &mut Socket, inbound: Inbound) -> Ending {
    let attempt = ingress::attempt(&inbound.head.headers);
    let Some(configuration) = gateway.configuration() else {
        return refuse_early(gateway, client, &attempt, "no configuration").await;
    };
    if !gateway.is_taking() {
        return refuse_early(gateway, client, &attempt, "stopping").await;
    }
    let host = inbound.head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.and_then(|host| host.split(':').next()).unwrap_or_default();
    let Some(route) = configuration.route(host, inbound.head.path()).cloned() else {
        info!(gateway.log, "no route"; "request" => attempt.id.as_deref(),
            "path" => &inbound.head.target, "version" => configuration.version);
        return own_answer(gateway, client, StatusCode::NOT_FOUND, &attempt, None).await;
    };
    let Some(service) = route.service(attempt.id.as_deref().unwrap_or_default()).cloned() else {
        return own_answer(gateway, client, StatusCode::NOT_FOUND, &attempt, None).await;
    };
    let waits = attempt.time_left.unwrap_or(route.timeout).min(route.timeout);
    let elapsed = attempt.time_left.map(|left| gateway.elapsed(&route.name, left));
    let elapsed = elapsed.unwrap_or_default();
    let has_engine = placing::has_engine(&configuration, &service);
    gateway.earn_retry(&service);
    let mut relay = Relay {
        gateway,
        limit: inbound.arrived + waits,
        objective: inbound.arrived + route.objective.saturating_sub(elapsed),
        last_event: attempt.last_event,
        inbound,
        attempt,
        route,
        service,
        version: configuration.version,
        has_engine,
        is_return: elapsed >= RETURN_AFTER,
        sent: Cell::new(0),
        declines: 0,
        excluded: Vec::new(),
        has_begun: false,
        trail: Vec::new(),
    };
    let (ending, outcome) = relay.run(client).await;
    relay.log(outcome);
    ending
}

/// A request on its way to its answer.
struct Relay<'a> {
    gateway: &'a Rc<Gateway>,
    inbound: Inbound,
    attempt: Attempt,
    route: Arc<Route>,
    service: Arc<str>,
    /// The version of the configuration that routed it.
    version: u64,
    has_engine: bool,
    /// Whether the client was refused before and has come back.
    is_return: bool,
    /// When it has its final answer at the latest.
    limit: Instant,
    /// When its answer is late.
    objective: Instant,
    /// The upstreams to which it was sent and that may have run it.
    sent: Cell<u32>,
    declines: u32,
    excluded: Vec<Arc<str>>,
    last_event: Option<u64>,
    /// Whether a part of the answer has been written.
    has_begun: bool,
    /// The upstreams that were tried, for the log.
    trail: Vec<String>,
}

/// How one try ended.
enum Try {
    /// An answer is coming.
    Answered(Permit, Box<Incoming>),
    /// No upstream was found.
    Unplaced(Refusal),
    /// The upstream did not run the request.
    NotRun(Permit, RunResult),
    /// The upstream may have run the request, and its answer is lost.
    Lost(Permit, String),
}

/// How relaying an answer ended.
enum Relayed {
    /// The client has it.
    Done,
    /// The client is gone.
    Gone,
    /// The time is over.
    TimedOut,
    /// The upstream broke off.
    Lost(String),
}

impl Relay<'_> {
    async fn run(&mut self, client: &mut Socket) -> (Ending, &'static str) {
        loop {
            let remaining = self.limit.since(self.gateway.now());
            let tried = monoio::select! {
                tried = self.try_once() => tried,
                () = gone(client) => return (Ending::Close, "client gone"),
                () = monoio::time::sleep(remaining) => return self.time_out(client).await,
            };
            let next = match tried {
                Try::Answered(permit, incoming) => self.pass_on(client, permit, *incoming).await,
                Try::Unplaced(refusal) => Some(self.refuse(client, refusal).await),
                Try::NotRun(permit, result) => self.declined(client, permit, result).await,
                Try::Lost(permit, cause) => self.lost(client, permit, &cause).await,
            };
            if let Some(end) = next {
                return end;
            }
        }
    }

    /// Finds an upstream, sends the request and waits for the head of an answer.
    async fn try_once(&self) -> Try {
        let permit = match self.find().await {
            Ok(permit) => permit,
            Err(refusal) => return Try::Unplaced(refusal),
        };
        let target = Target { id: permit.upstream.clone(), address: permit.address };
        let outgoing = Outgoing {
            method: &self.inbound.head.method,
            target: &self.inbound.head.target,
            headers: self.upstream_headers(&permit),
            body: &self.inbound.body,
            is_repeatable: self.route.is_repeatable(),
        };
        self.sent.set(self.sent.get() + 1);
        let now = self.gateway.now();
        match self.gateway.connections.send(&target, outgoing, now).await {
            Ok(incoming) => self.judge(permit, incoming),
            Err(Failure::Unreachable(_)) => {
                self.sent.set(self.sent.get() - 1);
                Try::NotRun(permit, RunResult::Unreachable)
            }
            Err(Failure::Broken(cause)) => Try::Lost(permit, cause),
        }
    }

    fn judge(&self, permit: Permit, incoming: Incoming) -> Try {
        let id = self.attempt.id.as_deref();
        let verdict = ingress::verdict(incoming.head.status, &incoming.head.headers, id);
        match verdict {
            Verdict::Answer => Try::Answered(permit, Box::new(incoming)),
            Verdict::Foreign => Try::Lost(permit, "an answer to another request".into()),
            Verdict::NotRun | Verdict::Misdirected => {
                self.sent.set(self.sent.get() - 1);
                let result = match verdict {
                    Verdict::Misdirected => RunResult::Misdirected,
                    _ => RunResult::Declined,
                };
                Try::NotRun(permit, result)
            }
        }
    }

    async fn find(&self) -> Result<Permit, Refusal> {
        match &self.attempt.generation {
            Some(generation) if self.has_engine => {
                let need = Need {
                    service: &self.service,
                    generation,
                    priority: self.route.priority,
                    deadline: self.limit,
                    objective: self.objective,
                    excluded: &self.excluded,
                    attempt: self.attempt.id.as_ref(),
                    is_return: self.is_return,
                };
                placing::find(self.gateway, &need).await
            }
            _ => placing::plain(self.gateway, &self.service, &self.excluded),
        }
    }

    fn upstream_headers(&self, permit: &Permit) -> HeaderMap {
        let mut headers = self.inbound.head.headers.clone();
        head::strip_connection_fields(&mut headers);
        ingress::strip_reserved(&mut headers);
        let dispatch = Dispatch {
            upstream: permit.upstream.clone(),
            time_left: self.limit.since(self.gateway.now()),
            adapter_version: permit.version,
            priority: self.has_engine.then_some(self.route.priority.min(MAX_PRIORITY)),
            last_event: self.last_event,
        };
        ingress::set_dispatch(&mut headers, &dispatch);
        headers
    }

    /// Passes an answer on, and returns the end of the request unless it has to be tried again.
    async fn pass_on(
        &mut self,
        client: &mut Socket,
        permit: Permit,
        mut incoming: Incoming,
    ) -> Option<(Ending, &'static str)> {
        self.trail.push(format!("{} {}", permit.upstream, incoming.head.status.as_u16()));
        let status = incoming.head.status;
        if status.is_server_error() && self.may_repeat() {
            permit.end(RunResult::Erred);
            self.has_retried();
            return None;
        }
        let is_stream = status.is_success() && stream::is_event_stream(&incoming.head.headers);
        let relayed = match is_stream {
            true => self.relay_stream(client, &permit, &mut incoming).await,
            false => self.relay_whole(client, &mut incoming).await,
        };
        match relayed {
            Relayed::Done => {
                permit.end(match status.is_server_error() {
                    true => RunResult::Erred,
                    false => RunResult::Answered,
                });
                incoming.release(&self.gateway.connections, self.gateway.now());
                Some((self.keep_open(), "answered"))
            }
            Relayed::Gone => {
                permit.end(RunResult::Abandoned);
                Some((Ending::Close, "client gone"))
            }
            Relayed::TimedOut => {
                permit.end(RunResult::Abandoned);
                Some(self.time_out(client).await)
            }
            Relayed::Lost(cause) => self.lost(client, permit, &cause).await,
        }
    }

    async fn relay_whole(&mut self, client: &mut Socket, incoming: &mut Incoming) -> Relayed {
        let remaining = self.limit.since(self.gateway.now());
        let collected = monoio::select! {
            collected = incoming.collect(MAX_ANSWER) => collected,
            () = gone(client) => return Relayed::Gone,
            () = monoio::time::sleep(remaining) => return Relayed::TimedOut,
        };
        let body = match collected {
            Ok(body) => body,
            Err(failure) => return Relayed::Lost(failure.to_string()),
        };
        let mut output = self.answer_head(incoming);
        head::write_field(&mut output, "content-length", body.len().to_string());
        output.extend_from_slice(b"\r\n");
        output.extend_from_slice(&body);
        self.write(client, &output).await
    }

    /// Passes a stream on, whole events only, so that another upstream can go on where one ends.
    async fn relay_stream(
        &mut self,
        client: &mut Socket,
        permit: &Permit,
        incoming: &mut Incoming,
    ) -> Relayed {
        let mut pending = BytesMut::new();
        loop {
            let now = self.gateway.now();
            let remaining = self.limit.since(now);
            let silence = match self.has_begun && self.route.is_resumable {
                true => STREAM_SILENCE,
                false => remaining,
            };
            let piece = monoio::select! {
                piece = incoming.next() => piece,
                () = gone(client) => return Relayed::Gone,
                () = monoio::time::sleep(remaining.min(silence)) => {
                    return match remaining <= silence {
                        true => Relayed::TimedOut,
                        false => Relayed::Lost("silent".into()),
                    };
                }
            };
            let piece = match piece {
                Ok(piece) => piece,
                Err(failure) => return Relayed::Lost(failure.to_string()),
            };
            let is_end = piece.is_none();
            pending.extend_from_slice(&piece.unwrap_or_default());
            let events = match is_end {
                true => pending.split(),
                false => self.take_events(&mut pending),
            };
            if events.is_empty() && !is_end {
                continue;
            }
            let mut output = Vec::new();
            if !self.has_begun {
                output = self.answer_head(incoming);
                head::write_field(&mut output, "transfer-encoding", "chunked");
                output.extend_from_slice(b"\r\n");
                self.has_begun = true;
                permit.started();
                self.observe_first_event();
            }
            body::write_chunk(&mut output, &events);
            if is_end {
                output.extend_from_slice(body::LAST_CHUNK);
            }
            match self.write(client, &output).await {
                Relayed::Done if !is_end => {}
                end => return end,
            }
        }
    }

    /// Takes the whole events off the front of `pending`, without those that the client has.
    fn take_events(&mut self, pending: &mut BytesMut) -> BytesMut {
        let mut events = BytesMut::new();
        while let Some(length) = stream::event_length(pending) {
            let event = pending.split_to(length);
            let id = stream::event_id(&event);
            if id.is_some() && id <= self.last_event {
                continue;
            }
            self.last_event = id.or(self.last_event);
            events.unsplit(event);
        }
        events
    }

    fn answer_head(&self, incoming: &Incoming) -> Vec<u8> {
        let mut headers = incoming.head.headers.clone();
        head::strip_connection_fields(&mut headers);
        let mut output = Vec::with_capacity(512);
        head::write_response(&mut output, incoming.head.status, &headers);
        if self.gateway.is_stopping() {
            head::write_field(&mut output, "connection", "close");
        }
        output
    }

    async fn write(&self, client: &mut Socket, output: &[u8]) -> Relayed {
        match monoio::time::timeout(WRITE_TIMEOUT, client.write(output)).await {
            Ok(Ok(())) => Relayed::Done,
            _ => Relayed::Gone,
        }
    }

    /// Takes note that an upstream did not run the request.
    async fn declined(
        &mut self,
        client: &mut Socket,
        permit: Permit,
        result: RunResult,
    ) -> Option<(Ending, &'static str)> {
        self.trail.push(format!("{} {result:?}", permit.upstream));
        self.excluded.push(permit.upstream.clone());
        permit.end(result);
        self.declines += 1;
        let is_free = result == RunResult::Unreachable;
        let may_go_on =
            self.declines < MAX_DECLINES && (is_free || self.gateway.spend_retry(&self.service));
        if may_go_on {
            return None;
        }
        if self.has_begun {
            return Some((Ending::Close, "stream not resumed"));
        }
        if self.sent.get() > 0 {
            return Some(self.fail(client, StatusCode::BAD_GATEWAY, "declined after a try").await);
        }
        let refusal = Refusal { reason: Reason::NoEngine, retry_after: DECLINED_RETRY };
        Some(self.refuse(client, refusal).await)
    }

    /// Takes note that an answer is lost, after which the request may have run.
    async fn lost(
        &mut self,
        client: &mut Socket,
        permit: Permit,
        cause: &str,
    ) -> Option<(Ending, &'static str)> {
        self.trail.push(format!("{} lost: {cause}", permit.upstream));
        let upstream = permit.upstream.clone();
        permit.end(RunResult::Broken);
        if self.may_repeat() {
            self.excluded.push(upstream);
            self.has_retried();
            return None;
        }
        Some(self.fail(client, StatusCode::BAD_GATEWAY, "answer lost").await)
    }

    /// Returns whether the request may be sent to another upstream although one may have run it.
    fn may_repeat(&self) -> bool {
        self.route.is_repeatable()
            && self.sent.get() < self.route.attempts
            && self.limit > self.gateway.now()
            && self.gateway.spend_retry(&self.service)
    }

    fn has_retried(&self) {
        metrics::counter!("orioleroute_retries_total").increment(1);
    }

    async fn refuse(&self, client: &mut Socket, refusal: Refusal) -> (Ending, &'static str) {
        if self.has_begun {
            return (Ending::Close, "stream not resumed");
        }
        if self.sent.get() > 0 {
            return self.fail(client, StatusCode::BAD_GATEWAY, "not placed again").await;
        }
        info!(self.gateway.log, "refused"; "request" => self.attempt.id.as_deref(),
            "reason" => refusal.reason.to_string(),
            "retry_after_ms" => refusal.retry_after.as_millis() as u64);
        metrics::counter!("orioleroute_refusals_total", "reason" => refusal.reason.to_string())
            .increment(1);
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let retry_after = Some(refusal.retry_after);
        (own_answer(self.gateway, client, status, &self.attempt, retry_after).await, "refused")
    }

    async fn fail(
        &self,
        client: &mut Socket,
        status: StatusCode,
        outcome: &'static str,
    ) -> (Ending, &'static str) {
        if self.has_begun {
            return (Ending::Close, outcome);
        }
        (own_answer(self.gateway, client, status, &self.attempt, None).await, outcome)
    }

    /// Gives the final answer at the end of the time.
    async fn time_out(&self, client: &mut Socket) -> (Ending, &'static str) {
        match self.sent.get() {
            0 => {
                let refusal = Refusal { reason: Reason::TooLate, retry_after: Duration::ZERO };
                self.refuse(client, refusal).await
            }
            _ => self.fail(client, StatusCode::GATEWAY_TIMEOUT, "timed out").await,
        }
    }

    fn keep_open(&self) -> Ending {
        match self.gateway.is_stopping() {
            true => Ending::Close,
            false => Ending::KeepOpen,
        }
    }

    fn observe_first_event(&self) {
        let time = self.gateway.now().since(self.inbound.arrived);
        metrics::histogram!("orioleroute_time_to_first_token_seconds").record(time.as_secs_f64());
    }

    fn log(&self, outcome: &'static str) {
        let time = self.gateway.now().since(self.inbound.arrived);
        metrics::counter!("orioleroute_requests_total", "outcome" => outcome).increment(1);
        metrics::histogram!("orioleroute_request_duration_seconds").record(time.as_secs_f64());
        info!(self.gateway.log, "request"; "request" => self.attempt.id.as_deref(),
            "route" => &*self.route.name, "service" => &*self.service,
            "version" => self.version, "upstreams" => self.trail.join(", "),
            "outcome" => outcome, "ms" => time.as_millis() as u64);
    }
}

/// The least urgent rank that an upstream knows.
const MAX_PRIORITY: u8 = 9;

async fn refuse_early(
    gateway: &Rc<Gateway>,
    client: &mut Socket,
    attempt: &Attempt,
    reason: &'static str,
) -> Ending {
    info!(gateway.log, "refused"; "request" => attempt.id.as_deref(), "reason" => reason);
    let status = StatusCode::SERVICE_UNAVAILABLE;
    own_answer(gateway, client, status, attempt, Some(ELSEWHERE_RETRY)).await
}

async fn own_answer(
    gateway: &Rc<Gateway>,
    client: &mut Socket,
    status: StatusCode,
    attempt: &Attempt,
    retry_after: Option<Duration>,
) -> Ending {
    let closes = gateway.is_stopping();
    let written = front::respond(client, status, attempt.id.as_deref(), retry_after, closes).await;
    match written.is_err() || closes {
        true => Ending::Close,
        false => Ending::KeepOpen,
    }
}

/// Completes once the client has closed its connection.
async fn gone(client: &mut Socket) {
    while client.input.len() <= MAX_AHEAD {
        match client.fill().await {
            Ok(read) if read > 0 => {}
            _ => return,
        }
    }
    std::future::pending().await
}
