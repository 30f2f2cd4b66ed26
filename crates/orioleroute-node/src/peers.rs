//! The listener for peers.

use std::rc::Rc;

use http::{Method, StatusCode};
use monoio::net::TcpListener;
use orioleroute::message::Message;
use orioleroute::prelude::*;
use orioleroute_wire::rpc;
use orioleroute_wire::server::{Limits, Request, Response, serve};
use serde_json::json;
use slog::error;

use crate::settings::Settings;
use crate::shell::Shell;

/// The maximum number of open connections of peers.
const MAX_CONNECTIONS: usize = 4_096;

/// Binds the listener.
pub fn bind(settings: &Settings) -> std::io::Result<TcpListener> {
    TcpListener::bind(settings.peer_address)
}

/// Accepts connections of peers and passes their messages to the core.
pub async fn run(shell: Rc<Shell>, listener: TcpListener) {
    let log = shell.log.clone();
    let token = Some(shell.settings.peer_token.as_str().into());
    let limits = Limits { max_body_bytes: 64 << 20, token, ..Limits::default() };
    let served = serve(listener, limits, MAX_CONNECTIONS, crate::operators::fault_response, {
        async move |connection, request| connection.respond(handle(&shell, &request)).await
    });
    if let Err(cause) = served.await {
        error!(log, "peer listener failed"; "error" => cause.to_string());
    }
}

fn handle(shell: &Rc<Shell>, request: &Request) -> Response {
    if request.method != Method::POST || request.path != rpc::PATH {
        return Response::empty(StatusCode::NOT_FOUND);
    }
    if !request.has_bearer_token(&shell.settings.peer_token) {
        return Response::empty(StatusCode::UNAUTHORIZED);
    }
    let sender = request.header(rpc::SENDER_HEADER);
    match (sender, rpc::decode::<Message>(&request.body)) {
        (Some(from), Ok(message)) => {
            shell.handle(Event::Message { from: from.into(), message });
            Response::empty(StatusCode::NO_CONTENT)
        }
        (None, _) => bad_request(&format!("the header field {} is missing", rpc::SENDER_HEADER)),
        (_, Err(error)) => bad_request(&error.to_string()),
    }
}

fn bad_request(message: &str) -> Response {
    Response::json(StatusCode::BAD_REQUEST, &json!({ "error": message }))
}
