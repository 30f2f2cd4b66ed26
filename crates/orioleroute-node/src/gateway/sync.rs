//! Reads the tables of the platform's store and applies their rows: the configuration, the upstreams, the
//! other instances and the leaders of the availability zones.

use std::rc::Rc;

use orioleroute::ingress::Version;
use orioleroute::ingress::feed::{self, Record, Table};
use orioleroute::ingress::leaders::Leader;
use orioleroute::ingress::registry::{Change, Standing};
use orioleroute::ingress::roster::Member;
use orioleroute::ingress::upstream::Description;
use orioleroute::prelude::*;
use orioleroute::retry::Predecessor;
use orioleroute_platform::records::{self, OperatorRecord};
use orioleroute_platform::store::{Commit, Error, Rows, Write};
use slog::{info, warn};

use super::feed::{Changes, Extent};
use super::leadership;
use super::state::Gateway;
use super::{builds, election, quarantine};
use crate::refusals;

/// How long a watch waits for changes. A connection that has gone silent is detected after this time plus
/// the client's own margin and replaced after [`RETRY_DELAY`], together within the four seconds after
/// which an instance counts as in touch with the store again.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2_800);

/// The delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// How long a watch of the upstreams waits for changes. This bounds the time without an answer of the
/// store, by which readers and followers notice that it is lost.
const UPSTREAM_WATCH_TIMEOUT: Duration = Duration::from_millis(600);

/// The time between two watches of the upstreams. Each upstream's heartbeat ends a watch, so this bounds
/// the rate of calls. An upstream that is leaving still accepts requests for four times this interval.
const UPSTREAM_WATCH_INTERVAL: Duration = Duration::from_millis(600);

/// How often an instance checks whether it has to read the store, and whether other watches have failed.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The time between two watches of the operator's table, so that a burst of changes is read in few
/// calls.
const OPERATOR_WATCH_INTERVAL: Duration = Duration::from_millis(50);

/// The table of the instances and of the leaders of the zones.
pub const CLUSTER_TABLE: &str = "cluster";

/// The key prefix of the rows of instances.
const MEMBER_PREFIX: &str = "member/";

/// The key prefix of the rows that name the leader of a zone.
pub const LEADER_PREFIX: &str = "scheduler/";

/// Keeps a table up to date for as long as this instance has to read it from the store, forever.
pub async fn watch(gateway: Rc<Gateway>, table: Table) {
    let mut failures = 0;
    let mut is_compacted = false;
    // Whether some rows may be summaries, which a reader cannot pass on.
    let mut has_summaries = false;
    loop {
        let feed = &gateway.feed;
        let probes = feed.probes_store(table);
        if feed.version(table).is_some() && !feed.reads_store(&gateway, table) && !probes {
            has_summaries = table == Table::Upstreams;
            failures = 0;
            feed.end_reads(table);
            monoio::time::sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        // In an outage, the many instances that are no readers only try the upstreams.
        let is_follower = feed.version(table).is_some() && !feed.is_reader();
        let waits = table != Table::Upstreams && feed.is_failing(Table::Upstreams);
        if is_follower && failures > 0 && waits {
            monoio::time::sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        let needs_whole = is_compacted || has_summaries && feed.is_reader();
        let version = feed.version(table).filter(|_| !needs_whole);
        let read = match version {
            None => gateway.store.read(table_name(table)).await,
            // After a failure the watch returns at once, so that an outage that is over is noticed, and
            // one that is not over costs only the short time-out of such a call.
            Some(version) if failures > 0 => {
                gateway.store.watch(table_name(table), version, Duration::ZERO).await
            }
            Some(version) => watch_until_failure(&gateway, table, version).await,
        };
        match read {
            Ok(read) => {
                if std::mem::take(&mut failures) > 0 {
                    info!(gateway.log, "store regained"; "table" => table.to_string());
                }
                if needs_whole {
                    is_compacted = false;
                    has_summaries = false;
                }
                let has_changes = version.is_none() || !read.rows.is_empty();
                let update = to_update(&gateway, table, version, read);
                let changes = feed.apply_read(&update, gateway.now());
                apply(&gateway, table, changes);
                if has_changes {
                    monoio::time::sleep(watch_interval(table)).await;
                }
            }
            Err(Error::Compacted) => {
                info!(gateway.log, "change history compacted, rereading table";
                    "table" => table.to_string());
                is_compacted = true;
            }
            Err(error) => {
                failures += 1;
                if failures == 1 {
                    warn!(gateway.log, "store lost"; "table" => table.to_string(),
                        "reader" => feed.is_reader(), "followers" => feed.follower_count(),
                        "error" => error.to_string());
                }
                feed.record_failure(table, gateway.now());
                if table == Table::Upstreams {
                    // Meanwhile a reader follows others, which send it summaries.
                    has_summaries = true;
                    observe_loss(&gateway);
                }
                let delay = match is_follower {
                    true => {
                        feed::retry_delay(failures) + feed::jitter(&gateway.roster().own().name)
                    }
                    false => RETRY_DELAY,
                };
                monoio::time::sleep(delay).await;
            }
        }
    }
}

/// Watches a table, but not for longer than until a call about another table fails: if one connection
/// has gone silent, the others may have too. Nor for longer than until an answer about another table shows
/// that the store has come back from a copy.
async fn watch_until_failure(
    gateway: &Rc<Gateway>,
    table: Table,
    version: u64,
) -> Result<Rows, Error> {
    let failures = gateway.feed.failures();
    let has_failed = async {
        let is_current = || !gateway.store.has_come_back_since(version);
        while gateway.feed.failures() == failures && is_current() {
            monoio::time::sleep(ROLE_CHECK_INTERVAL).await;
        }
    };
    let wait = if table == Table::Upstreams { UPSTREAM_WATCH_TIMEOUT } else { WATCH_TIMEOUT };
    monoio::select! {
        read = gateway.store.watch(table_name(table), version, wait) => read,
        () = has_failed => {
            gateway.store.watch(table_name(table), version, Duration::ZERO).await
        }
    }
}

/// Applies the changed rows of a table.
pub fn apply(gateway: &Rc<Gateway>, table: Table, changes: Changes) {
    let Changes { rows, extent } = changes;
    if extent == Extent::Restored {
        let version = gateway.feed.version(table).unwrap_or_default();
        metrics::counter!("orioleroute_store_restored_total", "table" => <&str>::from(table))
            .increment(1);
        warn!(gateway.log, "store came back from a copy"; "table" => table.to_string(),
            "era" => Version::from(version).era, "changed_rows" => rows.len());
    } else if rows.is_empty() && extent != Extent::Whole && table != Table::Upstreams {
        return;
    }
    match table {
        Table::Operator => {
            rows.iter().for_each(|row| apply_operator_row(gateway, row));
            gateway.feed.publish_in_force(gateway);
        }
        Table::Upstreams => apply_upstreams(gateway, &rows, extent),
        Table::Cluster => {
            rows.iter().for_each(|row| apply_cluster_row(gateway, row, extent));
            gateway.registry().mark_builds_read();
            observe_predecessor(gateway, rows.as_slice());
            if extent == Extent::Restored {
                write_lost_rows(gateway);
            }
            leadership::reconcile(gateway);
        }
    }
}

/// Records that this instance, or a reader that it follows, has lost the store.
pub fn observe_loss(gateway: &Rc<Gateway>) {
    if gateway.feed.has_no_source() {
        gateway.registry().mark_unavailable(gateway.now());
    }
}

/// Returns the rows of a read in the form in which they are passed on.
fn to_update(gateway: &Rc<Gateway>, table: Table, after: Option<u64>, read: Rows) -> feed::Update {
    if read.unreadable > 0 {
        metrics::counter!("orioleroute_rows_malformed_total", "table" => <&str>::from(table))
            .increment(read.unreadable as u64);
        warn!(gateway.log, "rows without a readable key left out"; "table" => table.to_string(),
            "rows" => read.unreadable);
    }
    let rows = read.rows.into_iter().map(|row| {
        let value = match (table, &row.value) {
            (_, None) => None,
            (Table::Upstreams, Some(value)) => match records::upstream(&row.key, value) {
                Ok(description) => serde_json::to_string(&description).ok(),
                Err(error) => {
                    report_malformed(gateway, table, &row.key, &error.reason());
                    None
                }
            },
            (Table::Operator, Some(value)) => {
                let concealed = records::conceal_keys(&row.key, value);
                Some(concealed.unwrap_or_else(|error| records::unreadable(&error)))
            }
            (Table::Cluster, Some(value)) => Some(String::from_utf8_lossy(value).into_owned()),
        };
        feed::Row {
            key: row.key.into(),
            version: row.version,
            value: value.map(Arc::from),
            is_summary: false,
        }
    });
    feed::Update { table, after, version: read.version, rows: rows.collect() }
}

/// Reports a row that is not used because its value cannot be decoded. It is reported once for each time that it is written,
/// and again if the whole table is read.
fn report_malformed(gateway: &Gateway, table: Table, key: &str, cause: &str) {
    metrics::counter!("orioleroute_rows_malformed_total", "table" => <&str>::from(table))
        .increment(1);
    warn!(gateway.log, "malformed row"; "table" => table.to_string(), "row" => key, "error" => cause);
}

fn apply_operator_row(gateway: &Rc<Gateway>, row: &feed::Row) {
    let applied = match &row.value {
        Some(value) => {
            let record = Record { key: row.key.clone(), value: value.clone() };
            put_in_force(gateway, &record)
        }
        None => Ok(()),
    };
    refusals::observe(gateway, row, applied.as_ref().err());
}

/// Acts by what the operator has written, as another instance tells it, unless something newer is in force.
pub fn apply_operator_record(gateway: &Rc<Gateway>, record: &Record) {
    if let Err(error) = put_in_force(gateway, record) {
        report_malformed(gateway, Table::Operator, &record.key, &error.reason());
    }
}

fn put_in_force(gateway: &Rc<Gateway>, record: &Record) -> Result<(), records::Error> {
    let is_in_force = match records::operator_record(&record.key, record.value.as_bytes())? {
        OperatorRecord::Configuration(configuration) => gateway.configure(*configuration),
        OperatorRecord::Announcement(announcement) => gateway.record_announcement(&announcement),
        OperatorRecord::Other => false,
    };
    if is_in_force {
        gateway.set_in_force(record);
    }
    Ok(())
}

fn apply_upstreams(gateway: &Rc<Gateway>, rows: &[feed::Row], extent: Extent) {
    let now = gateway.now();
    observe_service(gateway);
    if extent == Extent::Restored {
        gateway.registry().begin_era(now);
    }
    let changes = rows.iter().map(|row| {
        let entry = row.value.as_deref().map(serde_json::from_str::<Description>);
        match entry {
            Some(Ok(entry)) => Change::Written(Description { entry_version: row.version, ..entry }),
            Some(Err(error)) => {
                report_malformed(gateway, Table::Upstreams, &row.key, &error.to_string());
                Change::Removed(row.key.clone())
            }
            None => Change::Removed(row.key.clone()),
        }
    });
    match extent {
        Extent::Whole => {
            let written = changes.filter_map(|change| match change {
                Change::Written(entry) => Some(entry),
                Change::Removed(_) => None,
            });
            let entries: Vec<_> = written.collect();
            gateway.registry().replace(entries, now);
            gateway.update_serving();
        }
        Extent::Written | Extent::Restored => {
            let changes: Vec<Change> = changes.collect();
            let before: Vec<Standing> = {
                let registry = gateway.registry();
                rows.iter().map(|row| registry.standing(&row.key)).collect()
            };
            gateway.registry().apply(changes, now);
            // An upstream may have changed more than once.
            let mut logged: Set<&Arc<str>> = Set::default();
            for (row, before) in rows.iter().zip(before) {
                if logged.insert(&row.key) {
                    log_standing(gateway, &row.key, before);
                }
            }
        }
    }
    if let Some(version) = gateway.feed.version(Table::Upstreams) {
        gateway.registry().set_version(version);
    }
    if !rows.is_empty() {
        leadership::update_engines(gateway);
    }
}

/// Records that an upstream has said in an answer that it leaves.
pub fn record_leave(gateway: &Rc<Gateway>, upstream: &str) {
    let before = gateway.registry().standing(upstream);
    gateway.registry().record_leave(upstream, gateway.now());
    log_standing(gateway, upstream, before);
}

/// Removes the upstreams that are still missing some time after an outage.
pub fn expire_upstreams(gateway: &Rc<Gateway>) {
    if gateway.registry().missing() == 0 {
        return;
    }
    observe_service(gateway);
    let expired = gateway.registry().expire(gateway.now());
    for upstream in &expired {
        log_standing(gateway, upstream, Standing::Missing);
    }
    if !expired.is_empty() {
        leadership::update_engines(gateway);
    }
}

/// Records since when the store has been available to anyone, as far as is known here.
fn observe_service(gateway: &Gateway) {
    let now = gateway.now();
    let others = gateway.roster().store_available_since(now);
    let since = gateway.feed.served_since(now).into_iter().chain(others).min();
    gateway.registry().observe_service(since);
}

fn log_standing(gateway: &Gateway, upstream: &str, before: Standing) {
    let after = gateway.registry().standing(upstream);
    if after == before {
        return;
    }
    let missing = gateway.registry().missing();
    let version = gateway.feed.version(Table::Upstreams).map(Version::from);
    metrics::gauge!("orioleroute_upstreams_missing").set(missing as f64);
    info!(gateway.log, "upstream standing changed"; "upstream" => upstream,
        "before" => before.to_string(), "after" => after.to_string(),
        "version" => version.map(|version| version.number), "era" => version.map(|version| version.era));
}

fn table_name(table: Table) -> &'static str {
    match table {
        Table::Operator => records::OPERATOR_TABLE,
        Table::Upstreams => records::UPSTREAMS_TABLE,
        Table::Cluster => CLUSTER_TABLE,
    }
}

fn watch_interval(table: Table) -> Duration {
    match table {
        Table::Operator => OPERATOR_WATCH_INTERVAL,
        Table::Upstreams => UPSTREAM_WATCH_INTERVAL,
        Table::Cluster => RETRY_DELAY,
    }
}

/// Learns from the first read of the table, which precedes the registration, whether there was an earlier process of this
/// instance.
fn observe_predecessor(gateway: &Gateway, rows: &[feed::Row]) {
    if gateway.predecessor() != Predecessor::Unknown {
        return;
    }
    let own = format!("{MEMBER_PREFIX}{}", gateway.roster().own().name);
    let is_listed = rows.iter().any(|row| *row.key == *own && row.value.is_some());
    gateway.set_predecessor(if is_listed { Predecessor::Present } else { Predecessor::Absent });
}

/// Registers this instance once it has read the table, because it replaces the row of an earlier process.
pub async fn register_after_read(gateway: Rc<Gateway>) {
    while gateway.feed.version(Table::Cluster).is_none() {
        monoio::time::sleep(READ_POLL_INTERVAL).await;
    }
    register(gateway).await;
}

/// How often a starting instance checks whether it has read the table of instances.
const READ_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Writes this instance's row, retrying until the store has it.
pub async fn register(gateway: Rc<Gateway>) {
    let member = gateway.roster().own().clone();
    let key = format!("{MEMBER_PREFIX}{}", member.name);
    let value = serde_json::to_vec(&member).unwrap_or_default();
    let write = Write { table: CLUSTER_TABLE, key, expected_version: None, value: Some(value) };
    loop {
        match gateway.store.commit(std::slice::from_ref(&write)).await {
            Ok(Commit::Committed(_) | Commit::Conflict) => return,
            Err(error) => warn!(gateway.log, "registration failed"; "error" => error.to_string()),
        }
        monoio::time::sleep(RETRY_DELAY).await;
    }
}

/// Writes again what this instance had written and the copy of the store lacks.
fn write_lost_rows(gateway: &Rc<Gateway>) {
    let own = gateway.roster().own().clone();
    let row = gateway.feed.row(Table::Cluster, &format!("{MEMBER_PREFIX}{}", own.name));
    let known = row.and_then(|row| serde_json::from_str::<Member>(row.value.as_deref()?).ok());
    if known.as_ref() != Some(&own) {
        monoio::spawn(register(gateway.clone()));
    }
    for zone in gateway.leadership.scheduled_zones() {
        if gateway.leadership.leaders.is_unconfirmed(&zone) {
            monoio::spawn(election::take_over(gateway.clone(), zone.clone()));
        }
        quarantine::publish_again(gateway, &zone);
    }
}

fn apply_cluster_row(gateway: &Rc<Gateway>, row: &feed::Row, extent: Extent) {
    let now = gateway.now();
    if let Some(name) = row.key.strip_prefix(MEMBER_PREFIX) {
        let member = row.value.as_deref().map(serde_json::from_str::<Member>);
        match member {
            // Its heartbeats show whether it is there; it writes its row again.
            None if extent == Extent::Restored => {}
            None => gateway.roster().remove(name),
            Some(Ok(member)) => gateway.roster().upsert(member, now),
            Some(Err(error)) => {
                report_malformed(gateway, Table::Cluster, &row.key, &error.to_string());
            }
        }
    } else if *row.key == *builds::KEY {
        builds::apply_row(gateway, row, extent);
    } else if let Some(zone) = row.key.strip_prefix(quarantine::REPORT_PREFIX) {
        quarantine::apply_row(gateway, zone, row.value.as_deref(), quarantine::Way::Store);
    } else if let Some(zone) = row.key.strip_prefix(LEADER_PREFIX) {
        let leader = row.value.as_deref().map(serde_json::from_str::<Leader>);
        match leader {
            None if extent == Extent::Restored => {
                gateway.leadership.leaders.mark_lost(zone, row.version, now)
            }
            None => gateway.leadership.leaders.clear_leader(zone, row.version, now),
            Some(Ok(leader)) => {
                gateway.leadership.leaders.set_leader(zone, leader, row.version, now)
            }
            Some(Err(error)) => {
                report_malformed(gateway, Table::Cluster, &row.key, &error.to_string());
            }
        }
    }
}
