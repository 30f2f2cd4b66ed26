//! Elections: taking over availability zones whose leader is gone, and stepping down.

use std::cell::RefCell;
use std::rc::Rc;

use orioleroute::hash;
use orioleroute::prelude::*;
use orioleroute_platform::store::{Commit, Write};
use slog::{debug, warn};

use super::leadership::{self, Leader, REVIEW_INTERVAL, review};
use super::state::Gateway;
use super::sync::{CLUSTER, LEADERS};

/// The time after its start in which an instance learns of the others before it takes a zone over.
const INTRODUCTION: Duration = Duration::from_millis(1_500);

/// How long a leader must look gone, so that heartbeats that wait while this process was held up
/// are read first.
const VACANCY_CONFIRMATION: Duration = Duration::from_millis(300);

/// How much longer each next candidate for a zone waits than the one before.
const CANDIDATE_STEP: Duration = Duration::from_millis(1_000);

/// How much longer an instance waits that hears no other: it is more likely cut off than alone.
const ISOLATION_DELAY: Duration = Duration::from_millis(5_000);

/// How long an instance of a zone must have been there before another zone's steps down for it: it has
/// read the tables by then, and a flapping instance does not become leader.
const HANDOVER_DELAY: Duration = Duration::from_millis(3_500);

/// Since when zones have had no leader, or one from another zone.
#[derive(Default)]
pub struct Timers {
    vacant_since: RefCell<Map<Arc<str>, Instant>>,
    owed_since: RefCell<Map<Arc<str>, Instant>>,
}

/// Takes over zones whose leader is gone, if this instance is next in line.
pub fn elect(gateway: &Rc<Gateway>) {
    let now = gateway.now();
    let Some(configuration) = gateway.configuration() else { return };
    if gateway.is_stopping() {
        return;
    }
    let own = gateway.roster().own().name.clone();
    let is_introduced = now >= Instant::ZERO + INTRODUCTION;
    let zones: Set<Arc<str>> = {
        let registry = gateway.registry();
        let engines =
            registry.iter().filter(|upstream| leadership::has_engine(&configuration, upstream));
        engines.map(|upstream| upstream.zone.clone()).collect()
    };
    for zone in zones {
        // What a former start of this instance held needs no introduction.
        let was_own = gateway.leadership.leader(&zone).is_some_and(|leader| leader.holder == own);
        if !is_introduced && !was_own {
            continue;
        }
        if should_hand_over(gateway, &zone, now) {
            monoio::spawn(step_down_from(gateway.clone(), zone));
            continue;
        }
        let is_vacant = is_vacant(gateway, &zone, now);
        let mut vacant_since = gateway.leadership.timers.vacant_since.borrow_mut();
        match is_vacant {
            false => {
                vacant_since.remove(&zone);
            }
            true => {
                let since = *vacant_since.entry(zone.clone()).or_insert(now);
                if now.since(since) >= delay(gateway, &zone, now) {
                    vacant_since.insert(zone.clone(), now);
                    drop(vacant_since);
                    monoio::spawn(take(gateway.clone(), zone));
                }
            }
        }
    }
}

/// Returns whether this instance schedules a zone that is not its own although an instance of that zone
/// has long been there to do it.
fn should_hand_over(gateway: &Rc<Gateway>, zone: &Arc<str>, now: Instant) -> bool {
    let roster = gateway.roster();
    let is_held = gateway.leadership.fencing(zone).is_some();
    let is_outside = *roster.own().zone != **zone;
    let mut successors = roster.serving(now).into_iter();
    let is_owed = is_held && is_outside && successors.any(|member| member.zone == *zone);
    let mut owed_since = gateway.leadership.timers.owed_since.borrow_mut();
    if !is_owed {
        owed_since.remove(zone);
        return false;
    }
    let since = *owed_since.entry(zone.clone()).or_insert(now);
    if now.since(since) < HANDOVER_DELAY {
        return false;
    }
    owed_since.insert(zone.clone(), now);
    true
}

fn is_vacant(gateway: &Rc<Gateway>, zone: &str, now: Instant) -> bool {
    let roster = gateway.roster();
    match gateway.leadership.leader(zone) {
        None => true,
        Some(leader) if leader.holder == roster.own().name => {
            leader.incarnation != roster.own().incarnation
        }
        Some(leader) => !roster.is_alive(&leader.holder, now),
    }
}

/// Returns how long this instance leaves a zone without a leader to others that are closer to it.
fn delay(gateway: &Rc<Gateway>, zone: &str, now: Instant) -> Duration {
    let roster = gateway.roster();
    let own = roster.own();
    let leader = gateway.leadership.leader(zone);
    if leader.as_ref().is_some_and(|leader| leader.holder == own.name) {
        return Duration::ZERO;
    }
    let confirmation = if leader.is_some() { VACANCY_CONFIRMATION } else { Duration::ZERO };
    let item = hash::digest(zone);
    let mut candidates: Vec<_> = roster
        .serving(now)
        .into_iter()
        .map(|member| {
            let is_outside = *member.zone != *zone;
            let score = hash::score(item, hash::digest(&*member.name), member.capacity.max(1));
            (is_outside, score, member)
        })
        .collect();
    candidates.sort_by(|(outside, score, _), (other_outside, other_score, _)| {
        outside.cmp(other_outside).then(other_score.total_cmp(score))
    });
    let rank = candidates.iter().position(|(_, _, member)| member.name == own.name).unwrap_or(0);
    let is_isolated = candidates.len() == 1 && roster.peers().next().is_some();
    let isolation = if is_isolated { ISOLATION_DELAY } else { Duration::ZERO };
    confirmation + CANDIDATE_STEP * rank as u32 + isolation
}

/// Writes this instance into a zone's row if nobody else did since it was read.
pub async fn take(gateway: Rc<Gateway>, zone: Arc<str>) {
    let own = gateway.roster().own().clone();
    let leader = Leader { holder: own.name, incarnation: own.incarnation };
    let expected = gateway.leadership.row_version(&zone);
    let write = Write {
        table: CLUSTER,
        key: format!("{LEADERS}{zone}"),
        expected: Some(expected),
        value: serde_json::to_vec(&leader).ok(),
    };
    match gateway.store.commit(&[write]).await {
        Ok(Commit::Done(version)) => {
            gateway.leadership.occupy(&zone, leader, version);
            review(&gateway);
        }
        Ok(Commit::Conflict) => debug!(gateway.log, "zone taken by another"; "zone" => &*zone),
        // If it was written all the same, the watch will show it.
        Err(error) => {
            warn!(gateway.log, "zone not taken"; "zone" => &*zone, "error" => error.to_string());
        }
    }
}

/// Reads the leaders anew, until the store answers.
pub async fn read_leaders(gateway: Rc<Gateway>) {
    loop {
        match gateway.store.read(CLUSTER).await {
            Ok(read) => {
                gateway.leadership.resume();
                for row in read.rows {
                    let Some(zone) = row.key.strip_prefix(LEADERS) else { continue };
                    let leader = row.value.as_deref().map(serde_json::from_slice::<Leader>);
                    if let Some(Ok(leader)) = leader {
                        gateway.leadership.occupy(zone, leader, row.version);
                    }
                }
                return review(&gateway);
            }
            Err(error) => {
                debug!(gateway.log, "leaders unread"; "error" => error.to_string());
                monoio::time::sleep(REVIEW_INTERVAL).await;
            }
        }
    }
}

/// Steps down from all zones, so that others need not wait for this instance's silence.
pub async fn step_down(gateway: Rc<Gateway>) {
    for zone in gateway.leadership.held() {
        step_down_from(gateway.clone(), zone).await;
    }
}

/// Steps down from one zone.
async fn step_down_from(gateway: Rc<Gateway>, zone: Arc<str>) {
    let Some(version) = gateway.leadership.fencing(&zone) else { return };
    let key = format!("{LEADERS}{zone}");
    let write = Write { table: CLUSTER, key, expected: Some(version), value: None };
    match gateway.store.commit(&[write]).await {
        Ok(Commit::Done(version)) => gateway.leadership.vacate(&zone, version),
        Ok(Commit::Conflict) => {}
        Err(error) => {
            warn!(gateway.log, "not stepped down"; "zone" => &*zone,
                "error" => error.to_string());
        }
    }
    review(&gateway);
}
