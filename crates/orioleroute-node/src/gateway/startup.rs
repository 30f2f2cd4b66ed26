//! How a starting instance treats requests before it knows its tables.

use orioleroute::ingress::feed::Table;
use orioleroute::prelude::*;

use super::state::Gateway;

/// Waits until a starting instance has read the configuration, the upstreams and the verdicts on requests, which takes two
/// round trips to the store, but not longer than [`STARTUP_WAIT`] or a small part of the client's time.
///
/// Load pattern: all instances have lost power and return together. Clients that may retry only once
/// would use that retry up if they were refused for these milliseconds.
pub async fn await_tables(gateway: &Gateway, time_left: Option<Duration>) {
    let limit = time_left.map_or(STARTUP_WAIT, |left| left.mul_f64(STARTUP_WAIT_SHARE));
    let until = gateway.now() + limit.min(STARTUP_WAIT);
    while !has_tables(gateway) && !gateway.is_stopping() && gateway.now() < until {
        monoio::time::sleep(STARTUP_POLL_INTERVAL).await;
    }
}

/// Returns whether the instance knows all that it needs to forward requests.
pub fn has_tables(gateway: &Gateway) -> bool {
    gateway.is_serving() && gateway.feed.version(Table::Cluster).is_some()
}

/// The longest wait of a request for a starting instance to have read its tables.
const STARTUP_WAIT: Duration = Duration::from_millis(250);

/// The share of a client's remaining time that a request may wait for that.
const STARTUP_WAIT_SHARE: f64 = 0.1;

/// How often a request that waits for that checks it.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(10);
