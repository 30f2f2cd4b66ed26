//! Sends orders to engines and fetches their reports.

use std::net::SocketAddr;
use std::rc::Rc;

use http::{Method, StatusCode};
use orioleroute::engine::{Order, Outcome, Report};
use orioleroute::key::Ticket;
use orioleroute::prelude::*;
use orioleroute_wire::client::Call;
use serde_json::json;
use slog::warn;

use crate::shell::Shell;

/// The longest wait for an engine to complete an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(10);

/// The longest wait for a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Sends an order to an engine and passes its outcome to the core.
pub async fn send_order(
    shell: Rc<Shell>,
    ticket: Ticket,
    upstream: key::Upstream,
    address: SocketAddr,
    order: Order,
    fencing: u64,
) {
    let (path, body) = match &order {
        Order::Load { name } => {
            let body = json!({ "lora_name": &**name, "lora_path": name.replace('@', "/") });
            ("/v1/load_lora_adapter", body)
        }
        Order::Unload { name } => ("/v1/unload_lora_adapter", json!({ "lora_name": &**name })),
    };
    let call =
        Call::new(Method::POST, path).header("x-fencing-number", fencing.to_string()).json(&body);
    let outcome = match shell.pool.call_within(address, call, ORDER_TIMEOUT).await {
        Ok(answer) if answer.status.is_success() => Outcome::Done,
        Ok(answer) if answer.status == StatusCode::PRECONDITION_FAILED => Outcome::Fenced,
        Ok(_) => Outcome::Failed,
        Err(error) if error.is_unsent() => Outcome::Failed,
        Err(_) => Outcome::Unknown,
    };
    if outcome != Outcome::Done {
        warn!(shell.log, "order did not succeed"; "upstream" => address.to_string(),
            "served" => &**order.name(), "outcome" => format!("{outcome:?}"));
    }
    shell.handle(Event::OrderEnded { ticket, upstream, outcome });
}

/// Fetches an engine's report and passes it, or its absence, to the core.
pub async fn probe(shell: Rc<Shell>, upstream: key::Upstream, address: SocketAddr) {
    let call = Call::new(Method::GET, "/report");
    let answer = shell.pool.call_within(address, call, REPORT_TIMEOUT).await;
    let report = answer.and_then(|answer| answer.json::<Report>(address)).ok();
    shell.handle(Event::Report { upstream, report });
}
