//! The stand-in of a plain service, which counts the runs of each idempotency key.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use http::{HeaderMap, Method, StatusCode};
use monoio::net::TcpListener;
use orioleroute_wire::Error;
use orioleroute_wire::server::{Connection, Request, Response};
use serde::{Deserialize, Serialize};

/// The injected faults of the service, set with `POST /faults`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Calls run, but no response is sent.
    pub replies_lost: bool,
    /// The delay of every response, in milliseconds.
    pub delay_ms: u64,
    /// The pause after the first part of a response, in milliseconds; 0 disables this.
    pub pause_ms: u64,
    /// Responses have no end.
    pub endless: bool,
}

/// One chunk of a response without an end.
const CHUNK: [u8; 16 << 10] = [b'x'; 16 << 10];

#[derive(Default)]
struct State {
    faults: Faults,
    /// The number of runs by idempotency key.
    runs: HashMap<String, u32>,
}

/// Serves a plain service on the listener until accepting connections fails.
///
/// # Errors
///
/// Returns the error of the listener.
pub async fn run(listener: TcpListener) -> std::io::Result<()> {
    let state = State::default();
    crate::serve(listener, state, handle).await
}

async fn handle(
    state: &Rc<RefCell<State>>,
    connection: &mut Connection,
    request: Request,
) -> Result<(), Error> {
    match (&request.method, request.path.as_str()) {
        (&Method::POST, "/faults") => {
            state.borrow_mut().faults = serde_json::from_slice(&request.body).unwrap_or_default();
            connection.respond(Response::empty(StatusCode::NO_CONTENT)).await
        }
        (&Method::GET, "/runs") => {
            let runs = state.borrow().runs.clone();
            connection.respond(Response::json(StatusCode::OK, &runs)).await
        }
        _ => {
            let key = request.header("idempotency-key").unwrap_or("none").to_owned();
            *state.borrow_mut().runs.entry(key).or_default() += 1;
            let faults = state.borrow().faults.clone();
            if faults.replies_lost {
                connection.closed().await;
                return Ok(());
            }
            if faults.delay_ms > 0 {
                monoio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
            }
            if faults.endless {
                connection.start_response(StatusCode::OK, &HeaderMap::new()).await?;
                loop {
                    connection.write_chunk(&CHUNK).await?;
                }
            }
            if faults.pause_ms > 0 {
                connection.start_response(StatusCode::OK, &HeaderMap::new()).await?;
                let (first, rest) = request.body.split_at(request.body.len() / 2);
                connection.write_chunk(first).await?;
                monoio::time::sleep(Duration::from_millis(faults.pause_ms)).await;
                connection.write_chunk(rest).await?;
                return connection.finish_response().await;
            }
            connection.respond(Response::text(StatusCode::OK, request.body)).await
        }
    }
}
