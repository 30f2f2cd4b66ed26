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
use crate::shell::Shell;

/// The header field that names the adapter that answered.
const SERVED_ADAPTER: &str = "x-served-adapter";

/// The header field that names the version that answered.
const SERVED_VERSION: &str = "x-served-version";

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
    /// It failed after the caller got a part; the connection must be closed.
    BrokenOff(Error),
}

/// Runs a request until its final answer.
///
/// # Errors
///
/// Fails if the caller is gone or the answer broke off, so that the connection is closed.
pub async fn run(shell: &Rc<Shell>, connection: &mut Connection, job: Job) -> Result<(), Error> {
    let (key, mut steps) = shell.admit();
    let mut guard = Guard { shell: shell.clone(), key, last: Progress::Gone };
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
                return Err(Error::new(WireStep::Send, connection.peer(), "the caller is gone"));
            }
            Some(Step::Refuse(refusal)) => {
                guard.disarm();
                return connection.respond(callers::refusal(&refusal)).await;
            }
            Some(Step::Dispatch(dispatch)) => {
                let call = call_upstream(&request, &dispatch);
                let expected = dispatch.name.as_deref();
                let patience = dispatch.patience;
                let address = dispatch.address;
                attempt(&guard, connection, address, call, patience, expected, stream).await?
            }
            Some(Step::Forward { address, may_have_run, .. }) => {
                let call = call_instance(&request, hops + 1, may_have_run);
                let patience = FORWARD_PATIENCE;
                attempt(&guard, connection, address, call, patience, None, stream).await?
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
            Attempt::BrokenOff(error) => {
                guard.last = Progress::Failed(Failure::Broken);
                return Err(error);
            }
        }
    }
}

/// The longest wait for another instance to begin its answer.
const FORWARD_PATIENCE: Duration = Duration::from_secs(60);

/// Tells the core how a request ended, whatever way its task ends.
struct Guard {
    shell: Rc<Shell>,
    key: key::Request,
    last: Progress,
}

impl Guard {
    /// Leaves it at what the core already knows.
    fn disarm(&mut self) {
        self.last = Progress::Begun;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.shell.forget(self.key);
        if self.last != Progress::Begun {
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

fn call_instance(request: &Request, hops: u8, may_have_run: bool) -> Call {
    let mut call = Call::new(request.method.clone(), path_of(request));
    for name in [
        "idempotency-key",
        "x-request-id",
        "accept",
        "x-importance",
        "x-deadline-ms",
        "content-type",
    ] {
        if let Some(value) = request.header(name) {
            call = call.header(name, value);
        }
    }
    if may_have_run {
        call = call.header(callers::MAY_HAVE_RUN, "1");
    }
    call.header(callers::HOPS, hops.to_string()).payload(request.body.clone())
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

async fn attempt(
    guard: &Guard,
    connection: &mut Connection,
    address: SocketAddr,
    call: Call,
    patience: Duration,
    expected: Option<&str>,
    stream: bool,
) -> Result<Attempt, Error> {
    let pool = guard.shell.pool.clone();
    let opened = monoio::select! {
        opened = monoio::time::timeout(patience, pool.open(address, call)) => opened,
        _ = connection.closed() => {
            return Err(Error::new(WireStep::Head, connection.peer(), "the caller is gone"));
        }
    };
    let incoming = match opened {
        Ok(Ok(incoming)) => incoming,
        Ok(Err(error)) if error.is_unsent() => return Ok(Attempt::Failed(Failure::Unsent)),
        Ok(Err(_)) | Err(_) => return Ok(Attempt::Failed(Failure::Broken)),
    };
    if expected.is_some() {
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
        true => relay_stream(guard, connection, incoming, expected).await,
        false => relay_whole(connection, incoming, expected).await,
    }
}

/// Passes a whole answer on, once it is complete and by the right revision.
async fn relay_whole(
    connection: &mut Connection,
    mut incoming: Incoming,
    expected: Option<&str>,
) -> Result<Attempt, Error> {
    let mut body = Vec::new();
    while let Some(part) = incoming.next().await {
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

/// Passes a streamed answer on, each part as it arrives.
async fn relay_stream(
    guard: &Guard,
    connection: &mut Connection,
    mut incoming: Incoming,
    expected: Option<&str>,
) -> Result<Attempt, Error> {
    let first = match incoming.next().await {
        Some(Ok(first)) => first,
        Some(Err(_)) | None => return Ok(Attempt::Failed(Failure::Broken)),
    };
    if let Some(expected) = expected
        && served_by(event_data(&first)).as_deref() != Some(expected)
    {
        return Ok(Attempt::Failed(Failure::Broken));
    }
    let headers = headers_of(&incoming, expected);
    connection.begin(incoming.status, &headers).await?;
    connection.chunk(&first).await?;
    let begun = Event::Progress { request: guard.key, progress: Progress::Begun };
    guard.shell.feed(begun);
    loop {
        let part = monoio::select! {
            part = incoming.next() => part,
            _ = connection.closed() => {
                return Err(Error::new(WireStep::Send, connection.peer(), "the caller is gone"));
            }
        };
        match part {
            Some(Ok(part)) => connection.chunk(&part).await?,
            Some(Err(error)) => return Ok(Attempt::BrokenOff(error)),
            None => {
                connection.finish().await?;
                return Ok(Attempt::Finished);
            }
        }
    }
}

/// The field of an answer that names who answered.
#[derive(Deserialize)]
struct Served {
    model: String,
}

/// Returns the served name that an answer carries.
fn served_by(body: &[u8]) -> Option<String> {
    serde_json::from_slice::<Served>(body).ok().map(|served| served.model)
}

/// Returns the data of the first event of a stream.
fn event_data(part: &[u8]) -> &[u8] {
    let data = part.strip_prefix(b"data: ").unwrap_or(part);
    let end = data.iter().position(|byte| *byte == b'\n').unwrap_or(data.len());
    &data[..end]
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
