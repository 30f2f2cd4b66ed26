//! What an instance knows of the rows in the store that name the scheduler of each availability zone.
//!
//! When the store comes back from a copy, its rows show who led when the copy was made, not who leads now. A row states
//! the era in which it was written, so one that a copy brought back is recognized. It replaces no leader that was known
//! before: that one goes on and writes its row again. `docs/PLATFORM.md`, section "When versions go back".

use std::cell::RefCell;

use super::Version;
use crate::prelude::*;

/// The instance that schedules an availability zone.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Leader {
    /// The name of the instance.
    pub holder: Arc<str>,
    /// The incarnation of the instance, which distinguishes its restarts.
    pub incarnation: u64,
    /// The era of the store in which the row was written. Rows of releases that state none count as written in the era in
    /// which they are read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub era: Option<u64>,
}

impl Leader {
    /// Returns whether a row with this content and this version was brought back by a copy of the store.
    fn is_from_copy(&self, version: u64) -> bool {
        self.era.is_some_and(|era| era < Version::from(version).era)
    }
}

/// The leaders as last read from the store.
#[derive(Default)]
pub struct Leaders {
    entries: RefCell<Map<Arc<str>, Entry>>,
    /// When this instance last ceased to lead a zone.
    left: RefCell<Map<Arc<str>, Instant>>,
}

/// What is known of the leader of one zone.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The leader, if the zone has one.
    pub leader: Option<Leader>,
    /// The version of the row, which is the leader's fencing token.
    pub version: u64,
    /// When this instance learned of it.
    known_since: Instant,
    /// Set while the leader has not written its row in the store's current era.
    unconfirmed: Option<Unconfirmed>,
}

/// The row of a zone in the copy from which the store came back.
#[derive(Clone, Copy, Debug)]
struct Unconfirmed {
    since: Instant,
    /// The version at which the row can be overwritten, or 0 if the copy has none.
    row_version: u64,
}

/// How long the holder of a zone has for writing its row again after the store came back from a copy: a
/// call that is not answered and another one.
pub const REWRITE_TIME: Duration = Duration::from_millis(2_000);

/// How long after it has led a zone an instance does not take it over again, because a successor may have sent orders meanwhile.
/// Engines must not get orders of two leaders in turn within three seconds.
pub const RETURN_DELAY: Duration = Duration::from_millis(3_300);

impl Entry {
    /// Returns whether the leader has yet to write its row in the store's current era.
    pub fn is_unconfirmed(&self) -> bool {
        self.unconfirmed.is_some()
    }
}

impl Leaders {
    /// Returns what is known of all zones.
    pub fn entries(&self) -> Map<Arc<str>, Entry> {
        self.entries.borrow().clone()
    }

    /// Sets the leader of a zone, unless the known version of its row is at least as new. A leader whose row was brought
    /// back by a copy replaces none that is known.
    pub fn set_leader(&self, zone: &str, leader: Leader, version: u64, now: Instant) {
        if leader.is_from_copy(version) {
            return self.restore(zone, leader, version, now);
        }
        let leader = Some(leader);
        let entry = Entry { leader, version, known_since: now, unconfirmed: None };
        self.update_entry(zone, entry);
    }

    /// Records that the store came back from a copy that has no leader of a zone, up to a version of the table. The leader goes
    /// on, and writes its row again unless it has done so since.
    pub fn mark_lost(&self, zone: &str, version: u64, now: Instant) {
        let mut leaders = self.entries.borrow_mut();
        if let Some(entry) = leaders.get_mut(zone).filter(|entry| entry.version < version) {
            let since = entry.unconfirmed.map_or(now, |unconfirmed| unconfirmed.since);
            entry.unconfirmed = Some(Unconfirmed { since, row_version: 0 });
        }
    }

    /// Records that the store came back from a copy with this row.
    fn restore(&self, zone: &str, leader: Leader, version: u64, now: Instant) {
        let mut leaders = self.entries.borrow_mut();
        let Some(entry) = leaders.get_mut(zone) else {
            let unconfirmed = Some(Unconfirmed { since: now, row_version: version });
            let entry = Entry { leader: Some(leader), version, known_since: now, unconfirmed };
            leaders.insert(zone.into(), entry);
            return;
        };
        let known = entry.unconfirmed.map_or(entry.version, |known| known.row_version);
        if entry.version < version && known < version {
            let since = entry.unconfirmed.map_or(now, |unconfirmed| unconfirmed.since);
            entry.unconfirmed = Some(Unconfirmed { since, row_version: version });
        }
    }

    /// Records that this instance has ceased to lead a zone.
    pub fn record_left(&self, zone: &Arc<str>, now: Instant) {
        self.left.borrow_mut().insert(zone.clone(), now);
    }

    /// Returns whether this instance has led a zone so lately that it must not take it over yet.
    pub fn has_just_left(&self, zone: &str, now: Instant) -> bool {
        let left = self.left.borrow().get(zone).copied();
        left.is_some_and(|left| now.since(left) < RETURN_DELAY)
    }

    /// Forgets the leader of a zone, which is then read from the store again.
    pub fn forget(&self, zone: &str) {
        self.entries.borrow_mut().remove(zone);
    }

    /// Returns whether the leader of a zone has yet to write its row in the store's current era.
    pub fn is_unconfirmed(&self, zone: &str) -> bool {
        self.entries.borrow().get(zone).is_some_and(Entry::is_unconfirmed)
    }

    /// Returns whether the leader of a zone has not written its row again in time.
    pub fn is_abandoned(&self, zone: &str, now: Instant) -> bool {
        let leaders = self.entries.borrow();
        let unconfirmed = leaders.get(zone).and_then(|entry| entry.unconfirmed);
        unconfirmed.is_some_and(|unconfirmed| now.since(unconfirmed.since) >= REWRITE_TIME)
    }

    /// Records that a zone has no leader, unless the known version of its row is at least as new.
    pub fn clear_leader(&self, zone: &str, version: u64, now: Instant) {
        let entry = Entry { leader: None, version, known_since: now, unconfirmed: None };
        self.update_entry(zone, entry);
    }

    /// Returns when this instance learned of the leader of a zone, if it has one.
    pub fn known_since(&self, zone: &str) -> Option<Instant> {
        self.entries.borrow().get(zone).map(|entry| entry.known_since)
    }

    /// Returns the leader of a zone, if it has one.
    pub fn leader(&self, zone: &str) -> Option<Leader> {
        self.entries.borrow().get(zone)?.leader.clone()
    }

    /// Returns the zones that have a leader.
    pub fn led_zones(&self) -> Vec<Arc<str>> {
        let leaders = self.entries.borrow();
        let led = leaders.iter().filter(|(_, entry)| entry.leader.is_some());
        led.map(|(zone, _)| zone.clone()).collect()
    }

    /// Returns the version at which the leader row of a zone can be overwritten, or 0 if it has none.
    pub fn row_version(&self, zone: &str) -> u64 {
        let leaders = self.entries.borrow();
        let Some(entry) = leaders.get(zone) else { return 0 };
        match entry.unconfirmed {
            Some(unconfirmed) => unconfirmed.row_version,
            None if entry.leader.is_some() => entry.version,
            None => 0,
        }
    }

    fn update_entry(&self, zone: &str, entry: Entry) {
        let mut leaders = self.entries.borrow_mut();
        match leaders.get_mut(zone) {
            Some(known) if known.version >= entry.version => {}
            Some(known) => *known = entry,
            None => {
                leaders.insert(zone.into(), entry);
            }
        }
    }
}
