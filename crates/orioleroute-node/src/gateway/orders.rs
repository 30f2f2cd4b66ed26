//! Sends the schedulers' orders and report requests to engines.

use std::net::SocketAddr;
use std::rc::Rc;

use orioleroute::prelude::*;
use orioleroute::scheduler::order::{Order, Outcome};
use orioleroute_platform::engine;
use orioleroute_wire::Step;
use slog::debug;

use super::state::Gateway;
use super::{election, leadership};
use crate::detour;

/// The longest wait for the response to an order or to a report request of an engine in this region. A
/// lost order blocks the engine's next ones for this time, and issuing it again is safe.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(120);

/// The longest wait for the response of an engine in another region: ten round trips.
const REMOTE_ENGINE_TIMEOUT: Duration = Duration::from_millis(250);

/// Sends an order to an engine and passes its outcome to the scheduler.
pub async fn issue(gateway: Rc<Gateway>, zone: Arc<str>, address: SocketAddr, order: Order) {
    let is_permitted = || gateway.leadership.permits_order(&gateway, &zone, order.fencing_token);
    if !is_permitted() {
        debug!(gateway.log, "order held, confirming the lease"; "zone" => &*zone);
        let read = election::read_leaders(gateway.clone());
        // The outcome shows in the check before the order is written.
        let _ = monoio::time::timeout(REMOTE_ENGINE_TIMEOUT, read).await;
    }
    let call = engine::order_request(&order, &gateway.settings().name);
    let timeout = engine_timeout(&gateway, &zone);
    let sent = gateway.pool.call_checked(address, call, timeout, is_permitted).await;
    let outcome = match sent {
        Ok(answer) => engine::order_outcome(answer.status),
        Err(error) if matches!(error.step, Step::Connect | Step::Check) => Outcome::Unsent,
        Err(_) => Outcome::Unanswered,
    };
    debug!(gateway.log, "order"; "upstream" => &*order.upstream,
        "action" => format!("{:?}", order.action),
        "expected" => order.expected_accepted_orders, "outcome" => outcome.to_string());
    metrics::counter!("orioleroute_orders_total", "outcome" => outcome.to_string()).increment(1);
    leadership::handle_order_outcome(&gateway, &zone, &order, outcome);
}

/// Requests a report from an engine and passes it to the scheduler.
pub async fn request_report(
    gateway: Rc<Gateway>,
    zone: Arc<str>,
    address: SocketAddr,
    upstream: Arc<str>,
) {
    let call = engine::report_request(&upstream);
    let timeout = engine_timeout(&gateway, &zone);
    let answer = gateway.pool.call_within(address, call, timeout).await;
    let report = match &answer {
        Ok(answer) => engine::report(answer),
        Err(error) => {
            debug!(gateway.log, "report request failed"; "upstream" => &*upstream,
                "error" => error.to_string());
            detour::probe_unreported(&gateway, &upstream);
            None
        }
    };
    leadership::handle_report(&gateway, &zone, &upstream, report.as_ref());
}

fn engine_timeout(gateway: &Gateway, zone: &str) -> Duration {
    let is_near = gateway.region_of(zone).is_some_and(|region| region == gateway.settings().region);
    if is_near { ENGINE_TIMEOUT } else { REMOTE_ENGINE_TIMEOUT }
}
