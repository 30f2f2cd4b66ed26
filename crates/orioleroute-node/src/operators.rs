//! The listener for operators: commands, metrics and health.

use std::rc::Rc;

use http::{Method, StatusCode};
use metrics_exporter_prometheus::PrometheusHandle;
use monoio::net::TcpListener;
use orioleroute::operator::Command;
use orioleroute_wire::server::{Fault, Limits, Request, Response, serve};
use serde_json::json;
use slog::error;

use crate::settings::Settings;
use crate::shell::Shell;

/// The maximum number of open connections of operators.
const MAX_CONNECTIONS: usize = 256;

/// Binds the listener.
pub fn bind(settings: &Settings) -> std::io::Result<TcpListener> {
    TcpListener::bind(settings.operator_address)
}

/// Accepts connections of operators and serves their requests.
pub async fn run(shell: Rc<Shell>, listener: TcpListener, metrics: PrometheusHandle) {
    let log = shell.log.clone();
    let token = Some(shell.settings.operator_token.as_str().into());
    let limits = Limits { max_body_bytes: 64 << 20, token, ..Limits::default() };
    let served = serve(
        listener,
        limits,
        MAX_CONNECTIONS,
        fault_response,
        async move |connection, request| {
            let response = answer(&shell, &metrics, &request).await;
            connection.respond(response).await
        },
    );
    if let Err(cause) = served.await {
        error!(log, "operator listener failed"; "error" => cause.to_string());
    }
}

/// Returns the response to a faulty request, in the error format of the operator and peer listeners.
pub fn fault_response(fault: &Fault) -> Response {
    Response::json(fault.status(), &json!({ "error": fault.to_string() }))
}

async fn answer(shell: &Rc<Shell>, metrics: &PrometheusHandle, request: &Request) -> Response {
    match (&request.method, request.path.as_str()) {
        (&Method::GET, "/livez") => Response::text(StatusCode::OK, "live"),
        (&Method::GET, "/readyz") => readiness(shell),
        (&Method::GET, "/metrics") => {
            shell.read(|core| shell.meter.update_gauges(core, shell.now()));
            Response::typed(StatusCode::OK, "text/plain; version=0.0.4", metrics.render())
        }
        (&Method::POST, "/command") => command(shell, request).await,
        _ => Response::json(StatusCode::NOT_FOUND, &json!({ "error": "no such path" })),
    }
}

fn readiness(shell: &Rc<Shell>) -> Response {
    match shell.read(orioleroute::Core::is_ready) {
        true => Response::text(StatusCode::OK, "ready"),
        false => Response::text(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
    }
}

async fn command(shell: &Rc<Shell>, request: &Request) -> Response {
    if !request.has_bearer_token(&shell.settings.operator_token) {
        let body = json!({ "error": "the operator token is missing or wrong" });
        return Response::json(StatusCode::UNAUTHORIZED, &body);
    }
    let command = match serde_json::from_slice::<Command>(&request.body) {
        Ok(command) => command,
        Err(error) => {
            let body = json!({ "error": error.to_string() });
            return Response::json(StatusCode::BAD_REQUEST, &body);
        }
    };
    match shell.command(command).await {
        Some(answer) => Response::json(StatusCode::OK, &answer),
        None => Response::empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
