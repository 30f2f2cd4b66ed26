//! Access to the platform's table service, object store and instance list.

use std::rc::Rc;

use http::Method;
use orioleroute::instance::Listing;
use orioleroute::key::Ticket;
use orioleroute::prelude::*;
use orioleroute::table::{Expect, Operation, Outcome, Row, Write};
use orioleroute_wire::Step;
use orioleroute_wire::client::{Answer, Call};
use serde_json::{Value, json};
use slog::warn;

use crate::shell::Shell;

/// The longest wait for a reply of the platform.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The time between two reads of the instance list.
const LIST_POLL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Runs a table operation over DynamoDB's JSON protocol and passes its outcome to the core.
pub async fn run_table_operation(shell: Rc<Shell>, ticket: Ticket, operation: Operation) {
    let (target, body) = match &operation {
        Operation::Read(keys) => ("BatchGetItem", read_body(&shell.settings.table_name, keys)),
        Operation::Write(writes) => {
            ("TransactWriteItems", write_body(&shell.settings.table_name, writes))
        }
    };
    let call = Call::new(Method::POST, "/")
        .header("x-amz-target", format!("DynamoDB_20120810.{target}"))
        .json(&body)
        .header("content-type", "application/x-amz-json-1.0");
    let address = shell.settings.table_address;
    let outcome = match shell.pool.call_within(address, call, REPLY_TIMEOUT).await {
        Ok(answer) => outcome_of(&operation, &answer),
        Err(error) if error.step == Step::Connect => Outcome::Failed,
        Err(_) => Outcome::Unknown,
    };
    if matches!(outcome, Outcome::Failed | Outcome::Unknown) {
        warn!(shell.log, "table operation did not succeed"; "operation" => target);
    }
    shell.handle(Event::Table { ticket, outcome });
}

fn read_body(table: &str, keys: &[Arc<str>]) -> Value {
    let keys: Vec<Value> = keys.iter().map(|key| json!({ "pk": { "S": &**key } })).collect();
    json!({ "RequestItems": { table: { "Keys": keys, "ConsistentRead": true } } })
}

fn write_body(table: &str, writes: &[Write]) -> Value {
    let items: Vec<Value> = writes.iter().map(|write| item_of(table, write)).collect();
    json!({ "TransactItems": items })
}

fn item_of(table: &str, write: &Write) -> Value {
    let mut item = json!({ "TableName": table });
    match write.expect {
        Expect::Absent => item["ConditionExpression"] = "attribute_not_exists(pk)".into(),
        Expect::Version(version) => {
            item["ConditionExpression"] = "version = :v".into();
            item["ExpressionAttributeValues"] = json!({ ":v": { "N": version.to_string() } });
        }
    }
    match &write.value {
        Some(value) => {
            item["Item"] = json!({
                "pk": { "S": &*write.key },
                "version": { "N": write.expect.next_version().to_string() },
                "value": { "S": &**value },
            });
            json!({ "Put": item })
        }
        None => {
            item["Key"] = json!({ "pk": { "S": &*write.key } });
            json!({ "ConditionCheck": item })
        }
    }
}

fn outcome_of(operation: &Operation, answer: &Answer) -> Outcome {
    let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    match operation {
        Operation::Read(_) if answer.status.is_success() => {
            let tables = body["Responses"].as_object();
            let items = tables.into_iter().flat_map(|tables| tables.values());
            Outcome::Rows(items.filter_map(Value::as_array).flatten().filter_map(row_of).collect())
        }
        Operation::Read(_) => Outcome::Failed,
        Operation::Write(_) if answer.status.is_success() => Outcome::Written,
        Operation::Write(_) => match body["CancellationReasons"].as_array() {
            Some(reasons) => Outcome::Conflict(conflicts(reasons)),
            None if answer.status.is_client_error() => Outcome::Failed,
            None => Outcome::Unknown,
        },
    }
}

fn conflicts(reasons: &[Value]) -> Vec<usize> {
    let unmet = reasons.iter().enumerate().filter(|(_, reason)| reason["Code"] != "None");
    unmet.map(|(index, _)| index).collect()
}

fn row_of(item: &Value) -> Option<Row> {
    Some(Row {
        key: item["pk"]["S"].as_str()?.into(),
        version: item["version"]["N"].as_str()?.parse().ok()?,
        value: item["value"]["S"].as_str()?.into(),
    })
}

/// Writes an object and passes the outcome to the core.
pub async fn write_object(shell: Rc<Shell>, ticket: Ticket, key: Arc<str>, value: Arc<str>) {
    let call = Call::new(Method::PUT, format!("/objects/{key}"))
        .body("application/json", value.as_bytes().to_vec());
    let address = shell.settings.objects_address;
    let answer = shell.pool.call_within(address, call, REPLY_TIMEOUT).await;
    let stored = answer.is_ok_and(|answer| answer.status.is_success());
    shell.handle(Event::ObjectWritten { ticket, stored });
}

/// Reads an object and passes its value, or its absence, to the core.
pub async fn read_object(shell: Rc<Shell>, ticket: Ticket, key: Arc<str>) {
    let call = Call::new(Method::GET, format!("/objects/{key}"));
    let address = shell.settings.objects_address;
    let answer = shell.pool.call_within(address, call, REPLY_TIMEOUT).await;
    let value = answer
        .ok()
        .filter(|answer| answer.status.is_success())
        .and_then(|answer| String::from_utf8(answer.body.to_vec()).ok())
        .map(Arc::from);
    shell.handle(Event::ObjectRead { ticket, value });
}

/// Reads the instance list periodically and passes it to the core.
pub async fn poll_instance_list(shell: Rc<Shell>) {
    let address = shell.settings.list_address;
    loop {
        let call = Call::new(Method::GET, "/instances");
        let answer = shell.pool.call_within(address, call, REPLY_TIMEOUT).await;
        if let Ok(list) = answer.and_then(|answer| answer.json::<Vec<Listing>>(address)) {
            shell.handle(Event::UpstreamsListed(list));
        }
        monoio::time::sleep(LIST_POLL_INTERVAL).await;
    }
}
