//! The listener for callers: the OpenAI-compatible API, plain services and route lookups.

use std::rc::Rc;

use bytes::Bytes;
use http::{Method, StatusCode};
use monoio::net::TcpListener;
use orioleroute::prelude::*;
use orioleroute::request::{Kind, Ran, Refusal, Spec, Target};
use orioleroute_wire::Error;
use orioleroute_wire::admission::Admission;
use orioleroute_wire::server::{Connection, Fault, Limits, Request, Response, serve};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::relay::{self, Job};
use crate::room;
use crate::settings::Settings;
use crate::shell::Shell;

/// The header field that says whether a refused request ran.
pub const RAN: &str = "x-request-ran";

/// The header field that counts the instances that have forwarded a request.
pub const HOPS: &str = "x-orioleroute-hops";

/// The header field with the longest time that a forwarded request may wait for a load, in milliseconds.
pub const QUEUE_TIMEOUT: &str = "x-orioleroute-queue-timeout-ms";

/// The header field that a forwarding instance sets if an earlier attempt of its own may have run.
pub const MAY_HAVE_RUN: &str = "x-orioleroute-may-have-run";

/// The `retry-after` of a response to a caller that exceeds the connection limit, in seconds.
const BUSY_RETRY_S: &str = "1";

/// The prefix of the paths of plain services.
const SERVICES_PREFIX: &str = "/services/";

/// Binds the listener.
pub fn bind(settings: &Settings) -> std::io::Result<TcpListener> {
    TcpListener::bind(settings.caller_address)
}

/// Accepts connections of callers and serves their requests.
pub async fn run(shell: Rc<Shell>, listener: TcpListener) {
    let log = shell.log.clone();
    let settings = &shell.settings;
    let limits = Limits {
        max_body_bytes: settings.body_bytes,
        max_head_bytes: settings.head_bytes,
        idle_timeout: settings.idle,
        head_timeout: settings.head_time,
        body_timeout: settings.body_time,
        write_timeout: settings.write_time,
        admission: Some(Admission::new(&room::caller_memory(settings.memory_mib), usize::MAX)),
        token: None,
    };
    let connections = settings.connections;
    let served =
        serve(listener, limits, connections, fault_response, async move |connection, request| {
            answer(&shell, connection, request).await
        });
    if let Err(cause) = served.await {
        slog::error!(log, "caller listener failed"; "error" => cause.to_string());
    }
}

async fn answer(
    shell: &Rc<Shell>,
    connection: &mut Connection,
    request: Request,
) -> Result<(), Error> {
    let path = request.path.clone();
    match (&request.method, path.as_str()) {
        (&Method::GET, "/route") => connection.respond(route(shell, &request)).await,
        (&Method::GET, "/v1/models") => connection.respond(models(shell)).await,
        (&Method::POST, "/v1/chat/completions" | "/v1/completions") => match completion(request) {
            Ok(job) => relay::run(shell, connection, job).await,
            Err(message) => connection.respond(bad_request(&message)).await,
        },
        (_, path) if path.starts_with(SERVICES_PREFIX) => match service_call(shell, request) {
            Ok(job) => relay::run(shell, connection, job).await,
            Err(message) => connection.respond(bad_request(&message)).await,
        },
        _ => {
            let response =
                error_response(StatusCode::NOT_FOUND, "not_found", "no such path", Ran::NotRun);
            connection.respond(response).await
        }
    }
}

/// Responds with the instances to use for an adapter or service, in order of preference.
fn route(shell: &Rc<Shell>, request: &Request) -> Response {
    let target = match (request.query_parameter("adapter"), request.query_parameter("service")) {
        (Some(adapter), _) => Target::Model(adapter.into()),
        (None, Some(service)) => Target::Service(service.into()),
        (None, None) => return bad_request("name an adapter or a service in the query"),
    };
    let region = request.query_parameter("region").unwrap_or(&shell.settings.region);
    let addresses: Vec<String> = shell.read(|core| {
        let homes = core.homes(region, &target);
        homes.iter().map(|home| home.caller_address.to_string()).collect()
    });
    if addresses.is_empty() {
        let message = "no instance of that region serves it";
        return error_response(StatusCode::NOT_FOUND, "not_found", message, Ran::NotRun);
    }
    let keep_ms = shell.settings.route_life.as_millis() as u64;
    Response::json(StatusCode::OK, &json!({ "addresses": addresses, "keep_ms": keep_ms }))
}

fn models(shell: &Rc<Shell>) -> Response {
    let names = shell.read(|core| {
        let mut names: Vec<Arc<str>> =
            core.catalog().current().map(|(_, revision)| revision.name.clone()).collect();
        names.sort();
        names
    });
    let data: Vec<Value> = names
        .iter()
        .map(|name| json!({ "id": &**name, "object": "model", "created": 0, "owned_by": "orioleroute" }))
        .collect();
    Response::json(StatusCode::OK, &json!({ "object": "list", "data": data }))
}

/// The fields of a completion request that routing needs.
#[derive(Deserialize)]
struct Head {
    model: Arc<str>,
    #[serde(default)]
    stream: bool,
}

fn completion(request: Request) -> Result<Job, String> {
    let head: Head = serde_json::from_slice(&request.body)
        .map_err(|error| format!("the body is not a completion request: {error}"))?;
    let mut spec = spec_of(&request, Target::Model(head.model))?;
    spec.repeatable = true;
    Ok(Job { request, spec, stream: head.stream })
}

fn service_call(shell: &Rc<Shell>, mut request: Request) -> Result<Job, String> {
    let rest = request.path.trim_start_matches(SERVICES_PREFIX);
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let (name, path): (Arc<str>, String) = (name.into(), format!("/{path}"));
    request.path = path;
    let is_marked =
        shell.read(|core| core.catalog().service(&name).is_some_and(|it| it.repeatable));
    let repeatable = is_marked || matches!(request.method, Method::GET | Method::HEAD);
    let mut spec = spec_of(&request, Target::Service(name))?;
    spec.repeatable = repeatable;
    Ok(Job { request, spec, stream: false })
}

fn spec_of(request: &Request, target: Target) -> Result<Spec, String> {
    let importance = match request.header("x-importance") {
        Some(text) => Some(text.parse().map_err(|_| format!("x-importance is {text:?}"))?),
        None => None,
    };
    let timeout = match request.header("x-deadline-ms") {
        Some(text) => Some(text.parse().map_err(|_| format!("x-deadline-ms is {text:?}"))?),
        None => None,
    };
    let queue_timeout = request.header(QUEUE_TIMEOUT).and_then(|text| text.parse().ok());
    Ok(Spec {
        target,
        importance,
        timeout: timeout.map(Duration::from_millis),
        queue_timeout: queue_timeout.map(Duration::from_millis),
        repeatable: true,
        idempotency: request.header("idempotency-key").map(Arc::from),
        hops: request.header(HOPS).and_then(|text| text.parse().ok()).unwrap_or(0),
        may_have_run: request.header(MAY_HAVE_RUN).is_some(),
    })
}

/// Returns the response to a faulty request, in the error format of the API.
fn fault_response(fault: &Fault) -> Response {
    let kind = match fault {
        Fault::TooManyConnections | Fault::NoMemory => "overloaded",
        _ => "invalid_request_error",
    };
    let response = error_response(fault.status(), kind, &fault.to_string(), Ran::NotRun);
    match fault {
        Fault::TooManyConnections | Fault::NoMemory => {
            response.with_header("retry-after", BUSY_RETRY_S)
        }
        _ => response,
    }
}

fn bad_request(message: &str) -> Response {
    error_response(StatusCode::BAD_REQUEST, "invalid_request_error", message, Ran::NotRun)
}

/// Returns the response to a refused request, in the error format of the API and with its `retry-after`.
pub fn refusal_response(refusal: &Refusal) -> Response {
    let (status, message) = match refusal.kind {
        Kind::NotFound => (StatusCode::NOT_FOUND, "no such adapter, version or service"),
        Kind::Overloaded => (StatusCode::TOO_MANY_REQUESTS, "too many requests wait"),
        Kind::Unavailable => (StatusCode::SERVICE_UNAVAILABLE, "nothing can answer now"),
        Kind::Deadline => (StatusCode::GATEWAY_TIMEOUT, "the deadline cannot be met"),
        Kind::Conflict => (StatusCode::CONFLICT, "the idempotency key was used before"),
        Kind::Upstream => (StatusCode::BAD_GATEWAY, "the upstream failed"),
    };
    let response = error_response(status, &refusal.kind.to_string(), message, refusal.ran);
    match refusal.retry_after {
        Some(wait) => response.with_header("retry-after", wait.as_secs().max(1).to_string()),
        None => response,
    }
}

/// Returns the error event that ends an interrupted stream.
///
/// The blank line before it terminates an event that arrived only in part.
pub fn error_event() -> Bytes {
    let kind = Kind::Upstream.to_string();
    let body = error_body(StatusCode::BAD_GATEWAY, &kind, "the stream broke off", Ran::MayHaveRun);
    format!("\n\ndata: {body}\n\n").into()
}

fn error_response(status: StatusCode, kind: &str, message: &str, ran: Ran) -> Response {
    Response::json(status, &error_body(status, kind, message, ran))
        .with_header(RAN, ran.to_string())
}

fn error_body(status: StatusCode, kind: &str, message: &str, ran: Ran) -> Value {
    json!({ "error": {
        "message": message,
        "type": kind,
        "param": Value::Null,
        "code": status.as_u16(),
        "ran": ran.to_string(),
    }})
}

/// Returns the body of a completion request with its model name and engine priority replaced.
pub fn set_model(body: &Bytes, name: &str, priority: u32) -> Bytes {
    let Ok(mut value) = serde_json::from_slice::<Value>(body) else { return body.clone() };
    value["model"] = name.into();
    value["priority"] = priority.into();
    serde_json::to_vec(&value).map_or_else(|_| body.clone(), Bytes::from)
}
