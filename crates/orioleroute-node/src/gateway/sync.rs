//! What the instance learns from the platform's store: the configuration, the upstreams, the other
//! instances and who schedules which availability zone.

use std::rc::Rc;

use orioleroute::ingress::registry::Change;
use orioleroute::ingress::roster::Member;
use orioleroute::prelude::*;
use orioleroute_platform::records::{self, OperatorRecord};
use orioleroute_platform::store::{Commit, Error, Row, Rows, Write};
use slog::{info, warn};

use super::leadership::{self, Leader};
use super::state::Gateway;

/// How long a watch waits for changes. A store that has gone silent is noticed after that and the
/// client's own slack, within the time in which an instance has to be in touch again.
const WATCH: Duration = Duration::from_millis(4_000);

/// The time before a call that failed is made again.
const RETRY: Duration = Duration::from_millis(250);

/// The time between two watches of the upstreams. Each one's heartbeat ends a watch, so this bounds
/// the calls; a leaving upstream may be used for four times as long.
const UPSTREAM_PACE: Duration = Duration::from_millis(600);

/// How much longer that time is for each instance beyond [`FEW_INSTANCES`], since all of them together
/// load the store.
const PACE_PER_INSTANCE: Duration = Duration::from_millis(15);

/// The instances up to which the time is not lengthened.
const FEW_INSTANCES: usize = 10;

/// The longest time between two watches of the upstreams: with the delay of an answer well below the
/// time for which a leaving upstream still takes requests.
const LONGEST_PACE: Duration = Duration::from_millis(1_300);

/// The time between two watches of the operator's table, so that a storm of changes is read in few
/// calls.
const OPERATOR_PACE: Duration = Duration::from_millis(50);

/// The table of the instances and of who schedules which zone.
pub const CLUSTER: &str = "cluster";

/// The prefix of the rows of instances.
const MEMBERS: &str = "member/";

/// The prefix of the rows that say who schedules a zone.
pub const LEADERS: &str = "scheduler/";

/// Keeps the configuration and the adapters' versions up to date.
pub async fn watch_operator(gateway: Rc<Gateway>) {
    let apply = |gateway: &Rc<Gateway>, rows: Vec<Row>, _: bool| {
        for row in rows {
            let Some(value) = row.value else { continue };
            match records::operator_record(&row.key, &value) {
                Ok(OperatorRecord::Configuration(configuration)) => {
                    gateway.configure(*configuration);
                }
                Ok(OperatorRecord::Announcement(announcement)) => gateway.announce(&announcement),
                Ok(OperatorRecord::Other) => {}
                Err(error) => warn!(gateway.log, "row unreadable"; "error" => error.to_string()),
            }
        }
    };
    follow(&gateway, records::OPERATOR, |_| OPERATOR_PACE, apply, |_| {}).await;
}

/// Keeps the upstreams up to date.
pub async fn watch_upstreams(gateway: Rc<Gateway>) {
    let apply = |gateway: &Rc<Gateway>, rows: Vec<Row>, is_whole: bool| {
        let now = gateway.now();
        let changes = rows.into_iter().map(|row| upstream_change(gateway, row));
        match is_whole {
            true => {
                let written = changes.filter_map(|change| match change {
                    Change::Written(entry) => Some(entry),
                    Change::Removed(_) => None,
                });
                let entries: Vec<_> = written.collect();
                gateway.registry().replace(entries, now);
            }
            false => {
                let changes: Vec<Change> = changes.collect();
                gateway.registry().apply(changes, now);
            }
        }
        leadership::list(gateway);
    };
    let lose = |gateway: &Rc<Gateway>| gateway.registry().lose(gateway.now());
    follow(&gateway, records::UPSTREAMS, upstream_pace, apply, lose).await;
}

/// Announces this instance, and keeps the others and the schedulers up to date.
pub async fn watch_members(gateway: Rc<Gateway>) {
    announce(&gateway).await;
    let apply = |gateway: &Rc<Gateway>, rows: Vec<Row>, is_whole: bool| {
        if is_whole {
            gateway.leadership.forget_leaders();
        }
        for row in rows {
            apply_member_row(gateway, row);
        }
        leadership::review(gateway);
    };
    follow(&gateway, CLUSTER, |_| RETRY, apply, |_| {}).await;
}

/// Reads a table and then follows its changes, forever.
async fn follow(
    gateway: &Rc<Gateway>,
    table: &'static str,
    pace: impl Fn(&Gateway) -> Duration,
    apply: impl Fn(&Rc<Gateway>, Vec<Row>, bool),
    lose: impl Fn(&Rc<Gateway>),
) {
    let mut version = None;
    let mut is_lost = false;
    loop {
        let read = match version {
            None => gateway.store.read(table).await,
            Some(version) => gateway.store.watch(table, version, WATCH).await,
        };
        match read {
            Ok(Rows { rows, version: newest }) => {
                if std::mem::take(&mut is_lost) {
                    info!(gateway.log, "store regained"; "table" => table);
                }
                let is_whole = version.is_none();
                version = Some(newest);
                if is_whole || !rows.is_empty() {
                    apply(gateway, rows, is_whole);
                    monoio::time::sleep(pace(gateway)).await;
                }
            }
            Err(Error::Compacted) => {
                info!(gateway.log, "history dropped, reading anew"; "table" => table);
                version = None;
            }
            Err(error) => {
                if !std::mem::replace(&mut is_lost, true) {
                    warn!(gateway.log, "store lost"; "table" => table, "error" => error.to_string());
                }
                lose(gateway);
                monoio::time::sleep(RETRY).await;
            }
        }
    }
}

fn upstream_pace(gateway: &Gateway) -> Duration {
    let more = gateway.roster().peers().count().saturating_sub(FEW_INSTANCES) as u32;
    (UPSTREAM_PACE + PACE_PER_INSTANCE * more).min(LONGEST_PACE)
}

fn upstream_change(gateway: &Rc<Gateway>, row: Row) -> Change {
    let id: Arc<str> = row.key.as_str().into();
    let Some(value) = row.value else { return Change::Removed(id) };
    match records::upstream(&row.key, &value) {
        Ok(entry) => Change::Written(entry),
        Err(error) => {
            warn!(gateway.log, "row unreadable"; "error" => error.to_string());
            Change::Removed(id)
        }
    }
}

/// Writes this instance's row until the store has it.
async fn announce(gateway: &Rc<Gateway>) {
    let member = gateway.roster().own().clone();
    let key = format!("{MEMBERS}{}", member.name);
    let value = serde_json::to_vec(&member).unwrap_or_default();
    let write = Write { table: CLUSTER, key, expected: None, value: Some(value) };
    loop {
        match gateway.store.commit(std::slice::from_ref(&write)).await {
            Ok(Commit::Done(_) | Commit::Conflict) => return,
            Err(error) => warn!(gateway.log, "not announced yet"; "error" => error.to_string()),
        }
        monoio::time::sleep(RETRY).await;
    }
}

fn apply_member_row(gateway: &Rc<Gateway>, row: Row) {
    let now = gateway.now();
    if let Some(name) = row.key.strip_prefix(MEMBERS) {
        let member = row.value.as_deref().map(serde_json::from_slice::<Member>);
        match member {
            None => gateway.roster().remove(name),
            Some(Ok(member)) => gateway.roster().admit(member, now),
            Some(Err(error)) => {
                warn!(gateway.log, "row unreadable"; "row" => row.key, "error" => error.to_string());
            }
        }
    } else if let Some(zone) = row.key.strip_prefix(LEADERS) {
        let leader = row.value.as_deref().map(serde_json::from_slice::<Leader>);
        match leader {
            None => gateway.leadership.vacate(zone, row.version),
            Some(Ok(leader)) => gateway.leadership.occupy(zone, leader, row.version),
            Some(Err(error)) => {
                warn!(gateway.log, "row unreadable"; "row" => row.key, "error" => error.to_string());
            }
        }
    }
}
