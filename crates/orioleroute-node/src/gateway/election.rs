//! Elections: takes over availability zones whose leader has failed, and steps down.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use orioleroute::hash;
use orioleroute::ingress::Version;
use orioleroute::ingress::feed::Table;
use orioleroute::ingress::isolation::Isolation;
use orioleroute::ingress::leaders::Leader;
use orioleroute::ingress::roster::Roster;
use orioleroute::prelude::*;
use orioleroute_platform::store::{Commit, Error, Write};
use slog::{debug, warn};

use super::leadership::{self, ELECTION_INTERVAL, reconcile};
use super::state::Gateway;
use super::sync::{CLUSTER_TABLE, LEADER_PREFIX};
use crate::quota;

/// The time after the start during which an instance discovers the others before it takes over a zone.
const DISCOVERY_PERIOD: Duration = Duration::from_millis(1_500);

/// How long a leader must appear failed before it is replaced. Heartbeats that queued up while this
/// process was stalled are read first.
const VACANCY_CONFIRMATION: Duration = Duration::from_millis(300);

/// The additional delay of each candidate for a zone over the candidate ranked before it.
const CANDIDATE_DELAY_STEP: Duration = Duration::from_millis(1_000);

/// The additional delay of an instance that receives no heartbeats although others are listed: it is
/// more likely partitioned than the only one alive.
const ISOLATION_DELAY: Duration = Duration::from_millis(5_000);

/// How long a new leader of another region counts as alive without a heartbeat: the time of two heartbeats
/// between regions, and a margin.
const REMOTE_LEADER_GRACE: Duration = Duration::from_millis(5_000);

/// How long a zone must have an instance of its own before a leader from another zone steps down for it.
/// By then that instance has read the tables, and a flapping instance does not become leader.
const HANDOVER_DELAY: Duration = Duration::from_millis(3_500);

/// Since when zones have had no live leader, or a leader that is due to hand over.
#[derive(Default)]
pub struct Timers {
    vacant_since: RefCell<Map<Arc<str>, Instant>>,
    isolation: Cell<Isolation>,
    /// How long the leaders of the zones that are being taken over have been silent.
    silences: RefCell<Map<Arc<str>, Duration>>,
    handover_due_since: RefCell<Map<Arc<str>, Instant>>,
}

impl Timers {
    /// Returns how long the previous leader of a zone that was taken over has been silent.
    pub fn take_silence(&self, zone: &str) -> Duration {
        self.silences.borrow_mut().remove(zone).unwrap_or_default()
    }
}

/// Takes over the zones without a live leader for which this instance's delay has passed, and steps
/// down from those that are due for a handover.
pub fn elect(gateway: &Rc<Gateway>) {
    let now = gateway.now();
    let Some(configuration) = gateway.configuration() else { return };
    if gateway.is_stopping() {
        return;
    }
    let contact = gateway.roster().contact(now);
    let timers = &gateway.leadership.timers;
    let mut isolation = timers.isolation.get();
    isolation.observe(contact, now);
    timers.isolation.set(isolation);
    if isolation.has_just_ended(contact, now) {
        timers.vacant_since.borrow_mut().clear();
        return;
    }
    let own = gateway.roster().own().name.clone();
    let is_discovery_over = now >= Instant::ZERO + DISCOVERY_PERIOD;
    let zones: Set<Arc<str>> = {
        let registry = gateway.registry();
        // While no engine is listed, the schedulers only collect the losses of upstreams.
        let has_engines =
            registry.iter().any(|upstream| leadership::has_engine(&configuration, upstream));
        let led = registry
            .iter()
            .filter(|upstream| !has_engines || leadership::has_engine(&configuration, upstream));
        led.map(|upstream| upstream.zone.clone()).chain(quota::lender_zones(gateway)).collect()
    };
    for zone in zones {
        // Zones led by a previous incarnation of this instance need no discovery of other candidates, unless a copy of the
        // store says so: another instance may have led since.
        let leaders = &gateway.leadership.leaders;
        let was_own = leaders.leader(&zone).is_some_and(|leader| leader.holder == own)
            && !leaders.is_unconfirmed(&zone);
        if !is_discovery_over && !was_own {
            continue;
        }
        if should_hand_over(gateway, &zone, now) {
            // Tried again at a later election if the store does not answer.
            monoio::spawn(step_down_from(gateway.clone(), zone));
            continue;
        }
        let is_vacant = is_vacant(gateway, &zone, now)
            && is_capable(&gateway.roster(), now)
            && !leaders.has_just_left(&zone, now);
        let mut vacant_since = gateway.leadership.timers.vacant_since.borrow_mut();
        match is_vacant {
            false => {
                vacant_since.remove(&zone);
            }
            true => {
                let since = *vacant_since.entry(zone.clone()).or_insert(now);
                if now.since(since) >= takeover_delay(gateway, &zone, now) {
                    vacant_since.insert(zone.clone(), now);
                    drop(vacant_since);
                    monoio::spawn(take_over(gateway.clone(), zone));
                }
            }
        }
    }
}

/// Returns whether this instance schedules a zone although it reaches no upstream and another instance does, or a zone other
/// than its own while an instance in that zone has been serving for at least [`HANDOVER_DELAY`].
fn should_hand_over(gateway: &Rc<Gateway>, zone: &Arc<str>, now: Instant) -> bool {
    let roster = gateway.roster();
    let is_held = gateway.leadership.fencing_token(zone).is_some();
    if is_held && !is_capable(&roster, now) {
        return true;
    }
    let is_outside = *roster.own().zone != **zone;
    let mut successors = roster.capable(now).into_iter();
    let is_handover_due = is_held && is_outside && successors.any(|member| member.zone == *zone);
    let mut handover_due_since = gateway.leadership.timers.handover_due_since.borrow_mut();
    if !is_handover_due {
        handover_due_since.remove(zone);
        return false;
    }
    let since = *handover_due_since.entry(zone.clone()).or_insert(now);
    if now.since(since) < HANDOVER_DELAY {
        return false;
    }
    handover_due_since.insert(zone.clone(), now);
    true
}

fn is_vacant(gateway: &Rc<Gateway>, zone: &str, now: Instant) -> bool {
    let roster = gateway.roster();
    let leaders = &gateway.leadership.leaders;
    if leaders.is_unconfirmed(zone) && roster.is_scheduled(zone, now) {
        return false;
    }
    match leaders.leader(zone) {
        None => true,
        _ if leaders.is_abandoned(zone, now) => true,
        Some(leader) if leader.holder == roster.own().name => {
            leader.incarnation != roster.own().incarnation
        }
        // An instance of another region sends heartbeats to this one only since it leads a zone.
        Some(leader) => {
            let is_new = roster.is_remote(&leader.holder)
                && leaders
                    .known_since(zone)
                    .is_some_and(|since| now.since(since) < REMOTE_LEADER_GRACE);
            !is_new && !roster.is_alive(&leader.holder, now)
        }
    }
}

/// Returns whether this instance can schedule a zone as well as others could.
fn is_capable(roster: &Roster, now: Instant) -> bool {
    let own = &roster.own().name;
    !roster.is_cut_off(own) || roster.capable(now).iter().any(|it| it.name == *own)
}

/// Returns how long this instance waits before it takes over a zone, so that better-ranked candidates
/// go first. Instances in the zone rank before others; within both groups, the order is by rendezvous
/// hashing weighted by capacity.
fn takeover_delay(gateway: &Rc<Gateway>, zone: &str, now: Instant) -> Duration {
    let roster = gateway.roster();
    let own = roster.own();
    let leader = gateway.leadership.leaders.leader(zone);
    if leader.as_ref().is_some_and(|leader| leader.holder == own.name) {
        return Duration::ZERO;
    }
    let confirmation = if leader.is_some() { VACANCY_CONFIRMATION } else { Duration::ZERO };
    let item = hash::digest(zone);
    let mut candidates: Vec<_> = roster
        .capable(now)
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
    // Those that stop, or reach no upstream, are no candidates, but their heartbeats show that this instance is not cut off.
    let is_isolated = candidates.len() == 1
        && roster.peers().next().is_some()
        && !roster.contact(now).is_present();
    let isolation = if is_isolated { ISOLATION_DELAY } else { Duration::ZERO };
    confirmation + CANDIDATE_DELAY_STEP * rank as u32 + isolation
}

/// Returns since when the former leader of a zone has not lent for it.
fn unled_since(former: Option<&Leader>, own: &Leader, silence: Duration, now: Instant) -> Instant {
    match former {
        Some(former) if former.holder != own.holder => {
            now - silence.saturating_sub(quota::UNHEARD_TIME)
        }
        // An earlier process of this instance.
        Some(former) if former.incarnation != own.incarnation => Instant::ZERO,
        Some(_) | None => now,
    }
}

/// Writes this instance into the leader row of a zone, unless the row has changed since it was read.
pub async fn take_over(gateway: Rc<Gateway>, zone: Arc<str>) {
    let own = gateway.roster().own().clone();
    let leaders = &gateway.leadership.leaders;
    let former = leaders.leader(&zone).filter(|_| !leaders.is_unconfirmed(&zone));
    let expected = leaders.row_version(&zone);
    // A follower may learn of an era from the feed before the store tells it.
    let known = gateway.feed.version(Table::Cluster).unwrap_or_default();
    let era = gateway.store.era().max(Version::from(known).era);
    let leader = Leader { holder: own.name, incarnation: own.incarnation, era: Some(era) };
    let silence = silence(&gateway, &zone);
    gateway.leadership.timers.silences.borrow_mut().insert(zone.clone(), silence);
    let write = Write {
        table: CLUSTER_TABLE,
        key: format!("{LEADER_PREFIX}{zone}"),
        expected_version: Some(expected),
        value: serde_json::to_vec(&leader).ok(),
    };
    let sent = gateway.now();
    match gateway.store.commit(&[write]).await {
        Ok(Commit::Committed(version)) => {
            gateway.leadership.confirm(sent, gateway.now());
            let since = unled_since(former.as_ref(), &leader, silence, gateway.now());
            gateway.quotas.succeed(&zone, version, since);
            leaders.set_leader(&zone, leader, version, gateway.now());
            reconcile(&gateway);
        }
        Ok(Commit::Conflict) => {
            debug!(gateway.log, "takeover lost to another instance"; "zone" => &*zone)
        }
        // If the write was applied despite the error, the watch will deliver the row.
        Err(error) => {
            warn!(gateway.log, "takeover failed"; "zone" => &*zone, "error" => error.to_string());
        }
    }
}

/// Returns for how long at least the leader of a zone has not acted: since the start of this process if
/// it was a previous incarnation of this instance, else since its last heartbeat. Nothing is known of the leader if a copy
/// of the store names an earlier one.
fn silence(gateway: &Gateway, zone: &str) -> Duration {
    let now = gateway.now();
    let roster = gateway.roster();
    let leaders = &gateway.leadership.leaders;
    match leaders.leader(zone) {
        _ if leaders.is_unconfirmed(zone) => Duration::ZERO,
        Some(leader) if leader.holder == roster.own().name => now.since(Instant::ZERO),
        Some(leader) => roster.silence(&leader.holder, now),
        None => Duration::ZERO,
    }
}

/// Reads the leaders from the store, retrying until it answers.
pub async fn read_leaders(gateway: Rc<Gateway>) {
    loop {
        let sent = gateway.now();
        match gateway.store.read(CLUSTER_TABLE).await {
            Ok(read) => {
                gateway.leadership.confirm(sent, gateway.now());
                for row in read.rows {
                    let Some(zone) = row.key.strip_prefix(LEADER_PREFIX) else { continue };
                    let leader = row.value.as_deref().map(serde_json::from_slice::<Leader>);
                    if let Some(Ok(leader)) = leader {
                        gateway.leadership.leaders.set_leader(
                            zone,
                            leader,
                            row.version,
                            gateway.now(),
                        );
                    }
                }
                return reconcile(&gateway);
            }
            Err(error) => {
                debug!(gateway.log, "reading leaders failed"; "error" => error.to_string());
                monoio::time::sleep(ELECTION_INTERVAL).await;
            }
        }
    }
}

/// Steps down from all zones, so that successors need not wait for this instance's heartbeats to
/// time out. Tries again for as long as the store does not answer; the zones are scheduled here meanwhile.
pub async fn step_down(gateway: Rc<Gateway>) {
    let mut zones = gateway.leadership.scheduled_zones();
    while !zones.is_empty() {
        let mut unanswered = Vec::new();
        for zone in zones {
            if step_down_from(gateway.clone(), zone.clone()).await.is_err() {
                unanswered.push(zone);
            }
        }
        zones = unanswered;
        monoio::time::sleep(ELECTION_INTERVAL).await;
    }
}

/// Clears the leader row of one zone, unless it has changed since this instance became leader.
async fn step_down_from(gateway: Rc<Gateway>, zone: Arc<str>) -> Result<(), Error> {
    let Some(version) = gateway.leadership.fencing_token(&zone) else { return Ok(()) };
    let key = format!("{LEADER_PREFIX}{zone}");
    let write = Write { table: CLUSTER_TABLE, key, expected_version: Some(version), value: None };
    let committed = gateway.store.commit(&[write]).await;
    match &committed {
        Ok(Commit::Committed(version)) => {
            gateway.leadership.leaders.clear_leader(&zone, *version, gateway.now())
        }
        Ok(Commit::Conflict) => {}
        Err(error) => {
            warn!(gateway.log, "step-down failed"; "zone" => &*zone,
                "error" => error.to_string());
        }
    }
    reconcile(&gateway);
    committed.map(drop)
}
