//! Runs one request of a caller: executes the steps that the core decides and relays the response.

mod resume;

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use orioleroute::document::Importance;
use orioleroute::prelude::*;
use orioleroute::request::{Dispatch, Failure, Progress, Spec, Step};
use orioleroute_wire::client::{Call, Incoming};
use orioleroute_wire::server::{Connection, Request, Response};
use orioleroute_wire::{Error, Step as WireStep};
use serde::Deserialize;
use slog::info;

use self::resume::{FORWARD_STALL_TIMEOUT, Next, STALL_TIMEOUT, STREAM_ID, next_of_stream, resume};
use crate::callers;
use crate::events::{DONE, Events, Verdict};
use crate::shell::Shell;

/// The header field that names the adapter that served the request.
const SERVED_ADAPTER: &str = "x-served-adapter";

/// The header field that names the version that served the request.
const SERVED_VERSION: &str = "x-served-version";

/// The largest body of a response that is not a stream, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// The longest time from the head of such a response to the end of its body.
const BODY_TIMEOUT: Duration = Duration::from_secs(60);

/// A request with its routing parameters.
pub struct Job {
    /// The request.
    pub request: Request,
    /// The routing parameters.
    pub spec: Spec,
    /// Whether the response is streamed.
    pub stream: bool,
}

/// How an attempt ended, with the caller's connection still usable.
enum Attempt {
    /// The caller has the complete response.
    Finished,
    /// The attempt failed before any part of the response was sent to the caller.
    Failed(Failure),
    /// The attempt failed after a part was sent, and an error event ended the caller's stream.
    Interrupted,
}

/// Runs a request until its final response.
///
/// # Errors
///
/// Fails if the caller disconnected or the response could not be written completely; the connection then
/// has to be closed.
pub async fn run(shell: &Rc<Shell>, connection: &mut Connection, job: Job) -> Result<(), Error> {
    let (key, mut steps) = shell.admit();
    let mut guard = Guard { shell: shell.clone(), key, outcome: Progress::CallerDisconnected };
    let Job { request, spec, stream } = job;
    if let Some(name) = request.header("x-request-id") {
        shell.name_request(key, name);
    }
    let hops = spec.hops;
    shell.handle(Event::Arrived { request: key, spec });
    loop {
        let step = monoio::select! {
            step = steps.recv() => step,
            _ = connection.closed() => None,
        };
        let attempt = match step {
            None => {
                return Err(caller_disconnected(connection));
            }
            Some(Step::Refuse(refusal)) => {
                guard.disarm();
                return connection.respond(callers::refusal_response(&refusal)).await;
            }
            Some(Step::Dispatch(dispatch)) => {
                let call = call_upstream(&request, &dispatch);
                let expected = dispatch.name.as_deref();
                let deadline = Deadline::after(dispatch.timeout);
                let address = dispatch.address;
                let source =
                    Source { address, call, expected, deadline, stall_timeout: STALL_TIMEOUT };
                attempt(&guard, connection, source, stream).await?
            }
            Some(Step::Forward { address, timeout, queue_timeout, may_have_run, .. }) => {
                let call = call_instance(&request, may_have_run)
                    .header(callers::HOPS, (hops + 1).to_string())
                    .header("x-deadline-ms", timeout.as_millis().to_string())
                    .header(callers::QUEUE_TIMEOUT, queue_timeout.as_millis().to_string());
                let deadline = Deadline::after(timeout.saturating_add(FORWARD_MARGIN));
                let source = Source {
                    address,
                    call,
                    expected: None,
                    deadline,
                    stall_timeout: FORWARD_STALL_TIMEOUT,
                };
                attempt(&guard, connection, source, stream).await?
            }
        };
        match attempt {
            Attempt::Finished => {
                guard.outcome = Progress::Finished;
                return Ok(());
            }
            Attempt::Failed(failure) => {
                shell.handle(Event::Progress { request: key, progress: Progress::Failed(failure) });
            }
            Attempt::Interrupted => {
                guard.outcome = Progress::Failed(Failure::Broken);
                return Ok(());
            }
        }
    }
}

/// How much longer than the request's remaining time to wait for another instance, whose refusal may
/// arrive only after the deadline.
const FORWARD_MARGIN: Duration = Duration::from_millis(500);

/// Reports the outcome of a request to the core when dropped, however the request's task ends.
struct Guard {
    shell: Rc<Shell>,
    key: key::Request,
    outcome: Progress,
}

impl Guard {
    /// Suppresses the report, for an outcome that the core decided itself.
    fn disarm(&mut self) {
        self.outcome = Progress::ResponseStarted;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.shell.remove_request(self.key);
        if self.outcome != Progress::ResponseStarted {
            self.shell.handle(Event::Progress { request: self.key, progress: self.outcome });
        }
    }
}

fn call_upstream(request: &Request, dispatch: &Dispatch) -> Call {
    let body = match &dispatch.name {
        Some(name) => callers::set_model(&request.body, name, priority(dispatch.importance)),
        None => request.body.clone(),
    };
    let mut call = Call::new(request.method.clone(), path_of(request));
    for name in ["idempotency-key", "x-request-id", "accept"] {
        if let Some(value) = request.header(name) {
            call = call.header(name, value);
        }
    }
    let media = request.header("content-type").unwrap_or("application/json");
    call.header("content-type", media).raw_body(body)
}

fn call_instance(request: &Request, may_have_run: bool) -> Call {
    let mut call = Call::new(request.method.clone(), path_of(request));
    for name in ["idempotency-key", "x-request-id", "accept", "x-importance", "content-type"] {
        if let Some(value) = request.header(name) {
            call = call.header(name, value);
        }
    }
    if may_have_run {
        call = call.header(callers::MAY_HAVE_RUN, "1");
    }
    call.raw_body(request.body.clone())
}

fn path_of(request: &Request) -> String {
    match request.query.is_empty() {
        true => request.path.clone(),
        false => format!("{}?{}", request.path, request.query),
    }
}

/// Returns the priority number for engines, which run requests with lower numbers first.
fn priority(importance: Importance) -> u32 {
    match importance {
        Importance::High => 0,
        Importance::Normal => 1,
        Importance::Low => 2,
    }
}

/// The peer that a response comes from, and the request that is sent to it.
struct Source<'a> {
    address: SocketAddr,
    call: Call,
    /// The served name that the response must carry; `None` for a plain service or another instance.
    expected: Option<&'a str>,
    /// Until when the caller waits.
    deadline: Deadline,
    /// The longest time without data within a response.
    stall_timeout: Duration,
}

/// The end of the time that a caller waits, which may be set as far away as the caller likes.
#[derive(Clone, Copy)]
struct Deadline {
    started: std::time::Instant,
    timeout: Duration,
}

impl Deadline {
    fn after(timeout: Duration) -> Self {
        Self { started: std::time::Instant::now(), timeout }
    }

    /// Returns the time that is left, which is zero once the deadline has passed.
    fn remaining(self) -> Duration {
        self.timeout.saturating_sub(self.started.elapsed())
    }
}

async fn attempt(
    guard: &Guard,
    connection: &mut Connection,
    source: Source<'_>,
    stream: bool,
) -> Result<Attempt, Error> {
    let pool = &guard.shell.pool;
    let open = pool.open(source.address, source.call.clone());
    let opened = monoio::select! {
        opened = monoio::time::timeout(source.deadline.remaining(), open) => opened,
        _ = connection.closed() => return Err(caller_disconnected(connection)),
    };
    let incoming = match opened {
        Ok(Ok(incoming)) => incoming,
        Ok(Err(error)) if error.is_unsent() => return Ok(Attempt::Failed(Failure::Unsent)),
        Ok(Err(_)) | Err(_) => return Ok(Attempt::Failed(Failure::Broken)),
    };
    if source.expected.is_some() {
        match incoming.status {
            StatusCode::NOT_FOUND => return Ok(Attempt::Failed(Failure::NotLoaded)),
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                return Ok(Attempt::Failed(Failure::Declined));
            }
            status if status.is_server_error() => return Ok(Attempt::Failed(Failure::Broken)),
            _ => {}
        }
    }
    match stream && incoming.status.is_success() {
        true => relay_stream(guard, connection, incoming, source).await,
        false => relay_buffered(connection, incoming, &source).await,
    }
}

fn caller_disconnected(connection: &Connection) -> Error {
    Error::new(WireStep::Send, connection.peer(), "the caller disconnected")
}

/// Returns the next chunk of a response, or `None` at its end.
///
/// A chunk that arrives neither within the stall timeout nor before the deadline counts as an error of the upstream;
/// the outer error means that the caller disconnected.
async fn next_chunk(
    connection: &mut Connection,
    incoming: &mut Incoming,
    source: &Source<'_>,
) -> Result<Option<Result<Bytes, Error>>, Error> {
    let peer = incoming.peer;
    let patience = source.deadline.remaining().max(source.stall_timeout);
    monoio::select! {
        chunk = monoio::time::timeout(patience, incoming.next()) => match chunk {
            Ok(chunk) => Ok(chunk),
            Err(_) => Ok(Some(Err(resume::stalled(peer)))),
        },
        _ = connection.closed() => Err(caller_disconnected(connection)),
    }
}

/// Relays a response once it is complete and was served by the expected revision.
async fn relay_buffered(
    connection: &mut Connection,
    mut incoming: Incoming,
    source: &Source<'_>,
) -> Result<Attempt, Error> {
    let expected = source.expected;
    let started = std::time::Instant::now();
    let mut body = Vec::new();
    while let Some(chunk) = next_chunk(connection, &mut incoming, source).await? {
        match chunk {
            Ok(chunk) => body.extend_from_slice(&chunk),
            Err(_) => return Ok(Attempt::Failed(Failure::Broken)),
        }
        if body.len() > MAX_RESPONSE_BYTES || started.elapsed() > BODY_TIMEOUT {
            return Ok(Attempt::Failed(Failure::Broken));
        }
    }
    let success = incoming.status.is_success();
    if let Some(expected) = expected
        && success
        && served_name(&body).as_deref() != Some(expected)
    {
        return Ok(Attempt::Failed(Failure::Broken));
    }
    let headers = response_headers(&incoming, expected.filter(|_| success));
    let response = Response { status: incoming.status, headers, body: Bytes::from(body) };
    connection.respond(response).await?;
    Ok(Attempt::Finished)
}

/// Relays a streamed response event by event, and resumes it if it is broken or silent.
async fn relay_stream(
    guard: &Guard,
    connection: &mut Connection,
    mut incoming: Incoming,
    source: Source<'_>,
) -> Result<Attempt, Error> {
    let pool = &guard.shell.pool;
    let headers = response_headers(&incoming, source.expected);
    let mut events = Events::default();
    let mut resumes = 0;
    // Whether the served name in the first event since the stream was opened or resumed has been
    // checked.
    let mut checked = false;
    let mut response_started = false;
    loop {
        let next = monoio::select! {
            next = next_of_stream(pool, &mut incoming, &source, &events, &mut resumes) => next,
            _ = connection.closed() => return Err(caller_disconnected(connection)),
        };
        let is_silent = matches!(next, Next::Silence);
        let chunk = match next {
            Next::Chunk(chunk) => chunk,
            Next::Resumed(resumed, first) => {
                log_break(guard, &source, events.count, &resume::stalled(source.address).cause);
                incoming = *resumed;
                events.restart();
                checked = false;
                Some(Ok(first))
            }
            Next::Silence => Some(Err(resume::stalled(source.address))),
        };
        let received = events.receive(chunk, incoming.framing, source.expected.is_some());
        if let Some(first) = received.first_data.as_deref().filter(|_| !checked) {
            if !is_served_by(first, source.expected) {
                return match response_started {
                    true => end_with_error(connection).await,
                    false => Ok(Attempt::Failed(Failure::Broken)),
                };
            }
            checked = true;
        }
        if !received.bytes.is_empty() {
            if !response_started {
                connection.start_response(incoming.status, &headers).await?;
            }
            connection.write_chunk(&received.bytes).await?;
            if !response_started {
                response_started = true;
                guard.shell.handle(Event::Progress {
                    request: guard.key,
                    progress: Progress::ResponseStarted,
                });
            }
        }
        match received.verdict {
            Verdict::Open => {}
            _ if !response_started => return Ok(Attempt::Failed(Failure::Broken)),
            Verdict::Complete => {
                connection.finish_response().await?;
                return Ok(Attempt::Finished);
            }
            Verdict::Broken(cause) => {
                log_break(guard, &source, events.count, &cause);
                if is_silent {
                    return end_with_error(connection).await;
                }
                let stream_id = incoming.headers.get(STREAM_ID);
                let resumed = monoio::select! {
                    resumed = resume(pool, stream_id, &source, events.count, &mut resumes) => resumed,
                    _ = connection.closed() => return Err(caller_disconnected(connection)),
                };
                match resumed {
                    Some(resumed) => incoming = resumed,
                    None => return end_with_error(connection).await,
                }
                events.restart();
                checked = false;
            }
        }
    }
}

fn log_break(guard: &Guard, source: &Source<'_>, events: u64, cause: &str) {
    info!(guard.shell.log, "stream broken off"; "upstream" => source.address.to_string(),
        "events" => events, "cause" => cause);
}

/// Ends a caller's stream with an error event.
async fn end_with_error(connection: &mut Connection) -> Result<Attempt, Error> {
    connection.write_chunk(&callers::error_event()).await?;
    connection.finish_response().await?;
    Ok(Attempt::Interrupted)
}

/// Returns whether an event with this data was served by the expected revision.
fn is_served_by(data: &[u8], expected: Option<&str>) -> bool {
    match expected {
        Some(expected) => data == DONE || served_name(data).as_deref() == Some(expected),
        None => true,
    }
}

/// The field of a response with the served name.
#[derive(Deserialize)]
struct Served {
    model: String,
}

/// Returns the served name in the body of a response.
fn served_name(body: &[u8]) -> Option<String> {
    serde_json::from_slice::<Served>(body).ok().map(|served| served.model)
}

fn response_headers(incoming: &Incoming, served: Option<&str>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for name in [
        header::CONTENT_TYPE,
        header::RETRY_AFTER,
        header::HeaderName::from_static(callers::RAN),
        header::HeaderName::from_static(SERVED_ADAPTER),
        header::HeaderName::from_static(SERVED_VERSION),
    ] {
        if let Some(value) = incoming.headers.get(&name) {
            headers.insert(name, value.clone());
        }
    }
    if let Some((adapter, version)) = served.and_then(|name| name.split_once('@')) {
        for (name, text) in [(SERVED_ADAPTER, adapter), (SERVED_VERSION, version)] {
            if let Ok(value) = HeaderValue::from_str(text) {
                headers.insert(name, value);
            }
        }
    }
    headers
}
