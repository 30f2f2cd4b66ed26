//! The platform stand-in: a transactional table with DynamoDB's JSON protocol, an object store with
//! S3's path-style protocol, and the instance list.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, StatusCode};
use monoio::net::TcpListener;
use orioleroute::instance::Listing;
use orioleroute_wire::Error;
use orioleroute_wire::server::{Connection, Request, Response};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// The injected faults of the platform, set with `POST /faults`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// The table neither executes requests nor responds.
    pub table_down: bool,
    /// The table executes requests but sends no response.
    pub table_replies_lost: bool,
    /// The delay of every response of the table, in milliseconds.
    pub table_delay_ms: u64,
    /// The object store executes no requests and responds with status 503.
    pub objects_down: bool,
    /// The age that an instance list must reach before it is returned, in milliseconds.
    pub list_lag_ms: u64,
}

#[derive(Default)]
struct State {
    rows: HashMap<String, Value>,
    objects: HashMap<String, Bytes>,
    published_lists: Vec<(Instant, Vec<Listing>)>,
    faults: Faults,
    reads: u64,
    writes: u64,
}

/// Serves a platform on the listener until accepting connections fails.
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
    let path = request.path.clone();
    match (&request.method, path.as_str()) {
        (&Method::POST, "/") => handle_table(state, connection, &request).await,
        (&Method::POST, "/faults") => {
            let response = match serde_json::from_slice(&request.body) {
                Ok(faults) => {
                    state.borrow_mut().faults = faults;
                    Response::empty(StatusCode::NO_CONTENT)
                }
                Err(error) => Response::text(StatusCode::BAD_REQUEST, error.to_string()),
            };
            connection.respond(response).await
        }
        (&Method::GET, "/counts") => {
            let counts = {
                let state = state.borrow();
                json!({ "reads": state.reads, "writes": state.writes })
            };
            connection.respond(Response::json(StatusCode::OK, &counts)).await
        }
        (&Method::GET, "/instances") => {
            let list = state.borrow().visible_list();
            connection.respond(Response::json(StatusCode::OK, &list)).await
        }
        (&Method::PUT, "/instances") => {
            let response = match serde_json::from_slice::<Vec<Listing>>(&request.body) {
                Ok(list) => {
                    state.borrow_mut().published_lists.push((Instant::now(), list));
                    Response::empty(StatusCode::NO_CONTENT)
                }
                Err(error) => Response::text(StatusCode::BAD_REQUEST, error.to_string()),
            };
            connection.respond(response).await
        }
        (_, path) if path.starts_with("/objects/") => {
            handle_object(state, connection, &request).await
        }
        _ => connection.respond(Response::empty(StatusCode::NOT_FOUND)).await,
    }
}

impl State {
    /// Returns the newest list that is at least as old as the lag, or an empty list.
    fn visible_list(&self) -> Vec<Listing> {
        let lag = Duration::from_millis(self.faults.list_lag_ms);
        let mut lists = self.published_lists.iter().rev();
        let visible = lists.find(|(published, _)| published.elapsed() >= lag);
        visible.map(|(_, list)| list.clone()).unwrap_or_default()
    }
}

async fn handle_object(
    state: &Rc<RefCell<State>>,
    connection: &mut Connection,
    request: &Request,
) -> Result<(), Error> {
    if state.borrow().faults.objects_down {
        return connection.respond(Response::empty(StatusCode::SERVICE_UNAVAILABLE)).await;
    }
    let key = request.path.trim_start_matches("/objects/").to_owned();
    let response = match request.method {
        Method::PUT => {
            state.borrow_mut().objects.insert(key, request.body.clone());
            Response::empty(StatusCode::OK)
        }
        Method::GET => match state.borrow().objects.get(&key) {
            Some(object) => {
                Response::typed(StatusCode::OK, "application/octet-stream", object.clone())
            }
            None => Response::empty(StatusCode::NOT_FOUND),
        },
        _ => Response::empty(StatusCode::METHOD_NOT_ALLOWED),
    };
    connection.respond(response).await
}

async fn handle_table(
    state: &Rc<RefCell<State>>,
    connection: &mut Connection,
    request: &Request,
) -> Result<(), Error> {
    let faults = state.borrow().faults.clone();
    if faults.table_down {
        // An outage sends no response at all: the caller has to wait for its own timeout.
        connection.closed().await;
        return Ok(());
    }
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let target = request.header("x-amz-target").unwrap_or_default();
    let response = match target {
        "DynamoDB_20120810.BatchGetItem" => state.borrow_mut().read(&body),
        "DynamoDB_20120810.TransactWriteItems" => state.borrow_mut().write(&body),
        _ => table_error("UnknownOperationException", json!([])),
    };
    if faults.table_replies_lost {
        connection.closed().await;
        return Ok(());
    }
    if faults.table_delay_ms > 0 {
        monoio::time::sleep(Duration::from_millis(faults.table_delay_ms)).await;
    }
    connection.respond(response).await
}

impl State {
    fn read(&mut self, body: &Value) -> Response {
        let tables = body["RequestItems"].as_object().cloned().unwrap_or_default();
        let mut responses = serde_json::Map::new();
        for (table, wanted) in tables {
            let keys = wanted["Keys"].as_array().cloned().unwrap_or_default();
            self.reads += keys.len() as u64;
            let items: Vec<Value> = keys
                .iter()
                .filter_map(|key| self.rows.get(key["pk"]["S"].as_str()?).cloned())
                .collect();
            responses.insert(table, items.into());
        }
        Response::json(StatusCode::OK, &json!({ "Responses": responses, "UnprocessedKeys": {} }))
    }

    fn write(&mut self, body: &Value) -> Response {
        self.writes += 1;
        let items = body["TransactItems"].as_array().cloned().unwrap_or_default();
        let met: Vec<bool> = items.iter().map(|item| self.is_condition_met(item)).collect();
        if met.iter().all(|met| *met) {
            for item in &items {
                let item = &item["Put"]["Item"];
                if item.is_null() {
                    continue;
                }
                let key = item["pk"]["S"].as_str().unwrap_or_default().to_owned();
                self.rows.insert(key, item.clone());
            }
            return Response::json(StatusCode::OK, &json!({}));
        }
        let reasons: Vec<Value> = met
            .iter()
            .map(|met| json!({ "Code": if *met { "None" } else { "ConditionalCheckFailed" } }))
            .collect();
        table_error("TransactionCanceledException", reasons.into())
    }

    fn is_condition_met(&self, item: &Value) -> bool {
        let (part, key) = match item.get("Put") {
            Some(put) => (put, &put["Item"]),
            None => (&item["ConditionCheck"], &item["ConditionCheck"]["Key"]),
        };
        let row = self.rows.get(key["pk"]["S"].as_str().unwrap_or_default());
        match part["ConditionExpression"].as_str() {
            Some("attribute_not_exists(pk)") => row.is_none(),
            Some("version = :v") => {
                row.is_some_and(|row| row["version"] == part["ExpressionAttributeValues"][":v"])
            }
            _ => false,
        }
    }
}

fn table_error(kind: &str, reasons: Value) -> Response {
    let body = json!({
        "__type": format!("com.amazonaws.dynamodb.v20120810#{kind}"),
        "CancellationReasons": reasons,
    });
    Response::json(StatusCode::BAD_REQUEST, &body)
}
