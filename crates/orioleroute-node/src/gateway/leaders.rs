//! What an instance knows of the rows in the store that name the scheduler of each availability zone.

use std::cell::RefCell;

use orioleroute::prelude::*;

/// The instance that schedules an availability zone.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Leader {
    /// The name of the instance.
    pub holder: Arc<str>,
    /// The incarnation of the instance, which distinguishes its restarts.
    pub incarnation: u64,
}

/// The leaders as last read from the store.
#[derive(Default)]
pub struct Leaders {
    entries: RefCell<Map<Arc<str>, Entry>>,
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
    /// Since when the row is missing because the store came back from a copy without it.
    lost_since: Option<Instant>,
}

/// How long the holder of a zone has for writing its row again after the store came back from a copy without it: a
/// call that is not answered and another one.
const REWRITE_TIME: Duration = Duration::from_millis(2_000);

impl Leaders {
    /// Returns what is known of all zones.
    pub fn entries(&self) -> Map<Arc<str>, Entry> {
        self.entries.borrow().clone()
    }

    /// Sets the leader of a zone, unless the known version of its row is at least as new.
    pub fn set_leader(&self, zone: &str, leader: Leader, version: u64, now: Instant) {
        let leader = Some(leader);
        let entry = Entry { leader, version, known_since: now, lost_since: None };
        self.update_entry(zone, entry);
    }

    /// Records that the store came back from a copy that has no leader of a zone. The leader goes on, and writes its row
    /// again.
    pub fn mark_lost(&self, zone: &str, now: Instant) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(zone) {
            entry.lost_since.get_or_insert(now);
        }
    }

    /// Forgets the leader of a zone, which is then read from the store again.
    pub fn forget(&self, zone: &str) {
        self.entries.borrow_mut().remove(zone);
    }

    /// Returns whether the row of a zone's leader is missing since the store came back from a copy.
    pub fn is_lost(&self, zone: &str) -> bool {
        self.entries.borrow().get(zone).is_some_and(|entry| entry.lost_since.is_some())
    }

    /// Returns whether the leader of a zone has not written its row again in time.
    pub fn is_abandoned(&self, zone: &str, now: Instant) -> bool {
        let leaders = self.entries.borrow();
        let lost_since = leaders.get(zone).and_then(|entry| entry.lost_since);
        lost_since.is_some_and(|since| now.since(since) >= REWRITE_TIME)
    }

    /// Records that a zone has no leader, unless the known version of its row is at least as new.
    pub fn clear_leader(&self, zone: &str, version: u64, now: Instant) {
        let entry = Entry { leader: None, version, known_since: now, lost_since: None };
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
        let entry =
            leaders.get(zone).filter(|entry| entry.leader.is_some() && entry.lost_since.is_none());
        entry.map_or(0, |entry| entry.version)
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
