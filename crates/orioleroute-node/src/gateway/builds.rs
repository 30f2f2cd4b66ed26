//! Keeps the builds of the services' upstreams in a row of the store, for instances that start after all were lost. The
//! decisions are in `orioleroute::ingress::builds`.

use std::cell::Cell;
use std::rc::Rc;

use orioleroute::ingress::builds::{self, Builds, WRITE_INTERVAL};
use orioleroute::ingress::feed::{Row, Table};
use orioleroute::prelude::*;
use orioleroute_platform::store::{Commit, Write};
use slog::{debug, info, warn};

use super::feed::Extent;
use super::state::Gateway;
use super::sync::CLUSTER_TABLE;

/// The key of the row.
pub const KEY: &str = "builds";

/// The state of this instance's writes.
#[derive(Default)]
pub struct Shared {
    /// The version of the newest row that was read or written here.
    version: Cell<u64>,
    /// Whether the row of that version has no value.
    is_absent: Cell<bool>,
    /// Since when the row has to be changed.
    due_since: Cell<Option<Instant>>,
    is_writing: Cell<bool>,
}

/// Applies the row, unless a later one has been written here.
pub fn apply_row(gateway: &Rc<Gateway>, row: &Row, extent: Extent) {
    let shared = &gateway.builds;
    if row.version < shared.version.get() {
        return;
    }
    shared.version.set(row.version);
    shared.is_absent.set(row.value.is_none());
    let builds = match row.value.as_deref().map(serde_json::from_str::<Builds>).transpose() {
        Ok(builds) => builds,
        Err(error) => {
            warn!(gateway.log, "malformed row"; "row" => KEY, "error" => error.to_string());
            None
        }
    };
    let now = gateway.now();
    match builds {
        Some(builds) if extent != Extent::Restored => gateway.registry().record_builds(builds, now),
        builds => gateway.registry().restore_builds(builds, now),
    }
}

/// Writes the row if it has to be changed, once it is the turn of this instance among those that schedule zones.
pub fn write_if_due(gateway: &Rc<Gateway>) {
    let shared = &gateway.builds;
    let now = gateway.now();
    let leadership = &gateway.leadership;
    let delay = builds::write_delay(&leadership.leaders.led_zones(), &leadership.scheduled_zones());
    let wanted = delay.and_then(|_| gateway.registry().builds_to_record(now));
    let (Some(delay), Some(wanted)) = (delay, wanted) else { return shared.due_since.set(None) };
    let is_read = gateway.feed.version(Table::Cluster).is_some();
    let since = shared.due_since.get().unwrap_or(now);
    shared.due_since.set(Some(since));
    if is_read && !shared.is_writing.get() && now >= since + delay {
        shared.is_writing.set(true);
        monoio::spawn(write(gateway.clone(), wanted));
    }
}

/// Writes the row, unless it has changed since it was read.
async fn write(gateway: Rc<Gateway>, builds: Builds) {
    let shared = &gateway.builds;
    let expected = if shared.is_absent.get() { 0 } else { shared.version.get() };
    let write = Write {
        table: CLUSTER_TABLE,
        key: KEY.into(),
        expected_version: Some(expected),
        value: serde_json::to_vec(&builds).ok(),
    };
    match gateway.store.commit(&[write]).await {
        Ok(Commit::Committed(version)) => {
            metrics::counter!("orioleroute_builds_written_total").increment(1);
            info!(gateway.log, "builds recorded"; "builds" => format!("{builds}"));
            if version >= shared.version.get() {
                shared.version.set(version);
                shared.is_absent.set(false);
                gateway.registry().record_builds(builds, gateway.now());
            }
        }
        Ok(Commit::Conflict) => debug!(gateway.log, "builds recorded by another instance"),
        Err(error) => {
            warn!(gateway.log, "recording builds failed"; "error" => error.to_string());
        }
    }
    // A write that has failed is repeated later, in the same order.
    shared.due_since.set(Some(gateway.now() + WRITE_INTERVAL));
    shared.is_writing.set(false);
}
