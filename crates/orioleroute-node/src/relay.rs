//! One request of a caller: the steps that the core decides, and the answer's way back.

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

use crate::callers;
use crate::events::{Events, first_data};
use crate::shell::Shell;

/// The header field that names the adapter that answered.
const SERVED_ADAPTER: &str = "x-served-adapter";

/// The header field that names the version that answered.
const SERVED_VERSION: &str = "x-served-version";

/// The header field by which an engine names a stream, so that it can be resumed.
const STREAM_ID: &str = "x-stream-id";

/// The header field that asks an engine to resume a stream.
const RESUME_STREAM: &str = "x-resume-stream";

/// The header field that counts the events of it that have arrived.
const RESUME_EVENTS: &str = "x-resume-events";

/// The header field by which an engine confirms after how many events it goes on.
const RESUMED_AFTER: &str = "x-resumed-after";

/// How often one stream is resumed, at most.
const RESUMES: u32 = 3;

/// The longest wait for an engine to resume a stream.
const RESUME_TIMEOUT: Duration = Duration::from_secs(2);

/// The longest silence within an answer, after which it counts as broken off.
const STALL: Duration = Duration::from_secs(10);

/// A request with what routing needs of it.
pub struct Job {
    /// The request.
    pub request: Request,
    /// What it asks.
    pub spec: Spec,
    /// Whether the answer is streamed.
    pub stream: bool,
}

/// How an attempt ended, if the caller's connection is still good.
enum Attempt {
    /// The caller has the whole answer.
    Finished,
    /// It failed before the caller got any part of the answer.
    Failed(Failure),
    /// It failed after the caller got a part, and the caller was told so.
    BrokenOff,
}

/// Runs a request until its final answer.
///
/// # Errors
///
/// Fails if the caller is gone or the answer broke off, so that the connection is closed.
pub async fn run(shell: &Rc<Shell>, connection: &mut Connection, job: Job) -> Result<(), Error> {
    let (key, mut steps) = shell.admit();
    let mut guard = Guard { shell: shell.clone(), key, last: Progress::CallerDisconnected };
    let Job { request, spec, stream } = job;
    if let Some(name) = request.header("x-request-id") {
        shell.name_request(key, name);
    }
    let hops = spec.hops;
    shell.feed(Event::Arrived { request: key, spec });
    loop {
        let step = monoio::select! {
            step = steps.recv() => step,
            _ = connection.closed() => None,
        };
        let attempt = match step {
            None => {
                return Err(gone(connection));
            }
            Some(Step::Refuse(refusal)) => {
                guard.disarm();
                return connection.respond(callers::refusal(&refusal)).await;
            }
            Some(Step::Dispatch(dispatch)) => {
                let call = call_upstream(&request, &dispatch);
                let expected = dispatch.name.as_deref();
                let timeout = dispatch.timeout;
                let address = dispatch.address;
                let source = Source { address, call, expected };
                attempt(&guard, connection, source, timeout, stream).await?
            }
            Some(Step::Forward { address, timeout, queue_timeout, may_have_run, .. }) => {
                let call = call_instance(&request, may_have_run)
                    .header(callers::HOPS, (hops + 1).to_string())
                    .header("x-deadline-ms", timeout.as_millis().to_string())
                    .header(callers::QUEUE_TIMEOUT, queue_timeout.as_millis().to_string());
                let timeout = timeout + FORWARD_MARGIN;
                let source = Source { address, call, expected: None };
                attempt(&guard, connection, source, timeout, stream).await?
            }
        };
        match attempt {
            Attempt::Finished => {
                guard.last = Progress::Finished;
                return Ok(());
            }
            Attempt::Failed(failure) => {
                shell.feed(Event::Progress { request: key, progress: Progress::Failed(failure) });
            }
            Attempt::BrokenOff => {
                guard.last = Progress::Failed(Failure::Broken);
                return Ok(());
            }
        }
    }
}

/// How much longer than the time left the refusal of another instance is waited for.
const FORWARD_MARGIN: Duration = Duration::from_millis(500);

/// Tells the core how a request ended, whatever way its task ends.
struct Guard {
    shell: Rc<Shell>,
    key: key::Request,
    last: Progress,
}

impl Guard {
    /// Leaves it at what the core already knows.
    fn disarm(&mut self) {
        self.last = Progress::ResponseStarted;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.shell.forget(self.key);
        if self.last != Progress::ResponseStarted {
            self.shell.feed(Event::Progress { request: self.key, progress: self.last });
        }
    }
}

fn call_upstream(request: &Request, dispatch: &Dispatch) -> Call {
    let body = match &dispatch.name {
        Some(name) => callers::rename_model(&request.body, name, priority(dispatch.importance)),
        None => request.body.clone(),
    };
    let mut call = Call::new(request.method.clone(), path_of(request));
    for name in ["idempotency-key", "x-request-id", "accept"] {
        if let Some(value) = request.header(name) {
            call = call.header(name, value);
        }
    }
    let media = request.header("content-type").unwrap_or("application/json");
    call.header("content-type", media).payload(body)
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
    call.payload(request.body.clone())
}

fn path_of(request: &Request) -> String {
    match request.query.is_empty() {
        true => request.path.clone(),
        false => format!("{}?{}", request.path, request.query),
    }
}

/// Returns the priority that engines use, in which the lowest number goes first.
fn priority(importance: Importance) -> u32 {
    match importance {
        Importance::High => 0,
        Importance::Normal => 1,
        Importance::Low => 2,
    }
}

/// Where an answer comes from.
struct Source<'a> {
    address: SocketAddr,
    call: Call,
    /// The served name that must answer; `None` for a plain service or another instance.
    expected: Option<&'a str>,
}

async fn attempt(
    guard: &Guard,
    connection: &mut Connection,
    source: Source<'_>,
    timeout: Duration,
    stream: bool,
) -> Result<Attempt, Error> {
    let pool = &guard.shell.pool;
    let opened = monoio::select! {
        opened = monoio::time::timeout(timeout, pool.open(source.address, source.call.clone())) => opened,
        _ = connection.closed() => return Err(gone(connection)),
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
        false => relay_whole(connection, incoming, source.expected).await,
    }
}

fn gone(connection: &Connection) -> Error {
    Error::new(WireStep::Send, connection.peer(), "the caller is gone")
}

/// Returns the next part of an answer, or `None` at its end; a silence counts as an error.
async fn next_part(
    connection: &mut Connection,
    incoming: &mut Incoming,
) -> Result<Option<Result<Bytes, Error>>, Error> {
    let peer = incoming.peer;
    monoio::select! {
        part = monoio::time::timeout(STALL, incoming.next()) => match part {
            Ok(part) => Ok(part),
            Err(_) => Ok(Some(Err(Error::new(WireStep::Body, peer, "silent for too long")))),
        },
        _ = connection.closed() => Err(gone(connection)),
    }
}

/// Passes a whole answer on, once it is complete and by the right revision.
async fn relay_whole(
    connection: &mut Connection,
    mut incoming: Incoming,
    expected: Option<&str>,
) -> Result<Attempt, Error> {
    let mut body = Vec::new();
    while let Some(part) = next_part(connection, &mut incoming).await? {
        match part {
            Ok(part) => body.extend_from_slice(&part),
            Err(_) => return Ok(Attempt::Failed(Failure::Broken)),
        }
    }
    let success = incoming.status.is_success();
    if let Some(expected) = expected
        && success
        && served_by(&body).as_deref() != Some(expected)
    {
        return Ok(Attempt::Failed(Failure::Broken));
    }
    let headers = headers_of(&incoming, expected.filter(|_| success));
    let response = Response { status: incoming.status, headers, body: Bytes::from(body) };
    connection.respond(response).await?;
    Ok(Attempt::Finished)
}

/// Passes a streamed answer on, each event as it arrives, and resumes it if it breaks off.
async fn relay_stream(
    guard: &Guard,
    connection: &mut Connection,
    mut incoming: Incoming,
    source: Source<'_>,
) -> Result<Attempt, Error> {
    let mut events = Events::default();
    let headers = headers_of(&incoming, source.expected);
    let mut resumes = 0;
    // Whether the first event since the last opening has been seen, which names who answers.
    let mut checked = false;
    let mut begun = false;
    loop {
        let part = match next_part(connection, &mut incoming).await? {
            Some(Ok(part)) => part,
            Some(Err(_)) if !begun => return Ok(Attempt::Failed(Failure::Broken)),
            Some(Err(_)) => {
                events.discard();
                resumes += 1;
                match resume(guard, connection, &incoming, &source, &events, resumes).await? {
                    Some(resumed) => incoming = resumed,
                    None => return break_off(connection).await,
                }
                checked = false;
                continue;
            }
            None if !begun => return Ok(Attempt::Failed(Failure::Broken)),
            None => {
                connection.chunk(&events.finish()).await?;
                connection.finish().await?;
                return Ok(Attempt::Finished);
            }
        };
        let whole = events.push(part);
        if whole.is_empty() {
            continue;
        }
        if !checked && !is_by(&whole, source.expected) {
            return match begun {
                true => break_off(connection).await,
                false => Ok(Attempt::Failed(Failure::Broken)),
            };
        }
        checked = true;
        if !begun {
            connection.begin(incoming.status, &headers).await?;
        }
        connection.chunk(&whole).await?;
        if !begun {
            begun = true;
            guard
                .shell
                .feed(Event::Progress { request: guard.key, progress: Progress::ResponseStarted });
        }
    }
}

/// Ends a stream with the word that it broke off.
async fn break_off(connection: &mut Connection) -> Result<Attempt, Error> {
    connection.chunk(&callers::broken_off()).await?;
    connection.finish().await?;
    Ok(Attempt::BrokenOff)
}

/// Asks the engine to go on with a stream, and returns it if the engine confirms that it does.
///
/// Without its word that it goes on after the last event that arrived, the caller could get a
/// second beginning.
async fn resume(
    guard: &Guard,
    connection: &mut Connection,
    broken: &Incoming,
    source: &Source<'_>,
    events: &Events,
    resumes: u32,
) -> Result<Option<Incoming>, Error> {
    let id = broken.headers.get(STREAM_ID).and_then(|value| value.to_str().ok());
    let (Some(id), true, true) = (id, source.expected.is_some(), resumes <= RESUMES) else {
        return Ok(None);
    };
    let count = events.count().to_string();
    let call = source.call.clone().header(RESUME_STREAM, id).header(RESUME_EVENTS, &count);
    let pool = &guard.shell.pool;
    let opened = monoio::select! {
        opened = monoio::time::timeout(RESUME_TIMEOUT, pool.open(source.address, call)) => opened,
        _ = connection.closed() => return Err(gone(connection)),
    };
    let Ok(Ok(incoming)) = opened else { return Ok(None) };
    let after = incoming.headers.get(RESUMED_AFTER).and_then(|value| value.to_str().ok());
    let confirmed = incoming.status.is_success() && after == Some(count.as_str());
    Ok(confirmed.then_some(incoming))
}

/// Returns whether the first of some events is by the revision that must answer.
fn is_by(events: &[u8], expected: Option<&str>) -> bool {
    match expected {
        Some(expected) => {
            let data = first_data(events);
            data == DONE || served_by(data).as_deref() == Some(expected)
        }
        None => true,
    }
}

/// The data of the event that ends a stream, which names nobody.
const DONE: &[u8] = b"[DONE]";

/// The field of an answer that names who answered.
#[derive(Deserialize)]
struct Served {
    model: String,
}

/// Returns the served name that an answer carries.
fn served_by(body: &[u8]) -> Option<String> {
    serde_json::from_slice::<Served>(body).ok().map(|served| served.model)
}

fn headers_of(incoming: &Incoming, served: Option<&str>) -> HeaderMap {
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
