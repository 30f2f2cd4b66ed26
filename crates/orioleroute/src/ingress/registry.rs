//! The registered upstreams, which survive outages of the list that they are read from.

use super::upstream::{Description, State};
use crate::prelude::*;

/// How long after an outage of the list a missing upstream stays registered. An upstream writes its
/// entry again at its next heartbeat, which takes up to two seconds.
pub const RECOVERY_GRACE: Duration = Duration::from_millis(2_200);

/// How long a removed upstream is remembered: longer than a scheduler that has lost the list goes on
/// granting requests to it.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);

/// Time without an answer from the list after which it counts as unavailable. A long poll answers
/// sooner than that.
pub const OUTAGE_TIMEOUT: Duration = Duration::from_millis(6_000);

/// The registered upstreams.
///
/// An upstream whose entry expired during an outage of the list is kept until [`RECOVERY_GRACE`]
/// after the list has recovered, because its heartbeats could not arrive.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    upstreams: Map<Arc<str>, Description>,
    missing: Map<Arc<str>, Instant>,
    /// When upstreams that are no longer registered were removed.
    removed: Map<Arc<str>, Instant>,
    is_read: bool,
    unavailable: bool,
    last_outage: Option<Instant>,
}

/// What an instance knows of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
    /// The upstream is not registered.
    Unlisted,
    /// The upstream accepts requests.
    Ready,
    /// The upstream is registered and shutting down.
    Draining,
    /// The upstream's entry is missing after an outage of the list. It still gets requests.
    Missing,
}

/// A change to the list.
#[derive(Clone, Debug)]
pub enum Change {
    /// An entry was written.
    Written(Description),
    /// An entry was removed or can no longer be decoded.
    Removed(Arc<str>),
}

impl Registry {
    /// Returns the registered upstreams, including draining ones.
    pub fn iter(&self) -> impl Iterator<Item = &Description> {
        self.upstreams.values()
    }

    /// Returns the registered upstream with this id.
    pub fn get(&self, id: &str) -> Option<&Description> {
        self.upstreams.get(id)
    }

    /// Returns whether the list has been read at least once.
    pub fn is_read(&self) -> bool {
        self.is_read
    }

    /// Returns whether an upstream is draining or was removed. One that has never been listed may be new.
    pub fn is_leaving(&self, id: &str) -> bool {
        match self.upstreams.get(id) {
            Some(upstream) => upstream.state == State::Draining,
            None => self.removed.contains_key(id),
        }
    }

    /// Returns what is known of an upstream.
    pub fn standing(&self, id: &str) -> Standing {
        match self.upstreams.get(id).map(|upstream| upstream.state) {
            None => Standing::Unlisted,
            Some(State::Draining) => Standing::Draining,
            Some(State::Ready) if self.missing.contains_key(id) => Standing::Missing,
            Some(State::Ready) => Standing::Ready,
        }
    }

    /// Returns the number of upstreams that get requests although their entries are missing.
    pub fn missing(&self) -> usize {
        self.missing.len()
    }

    /// Returns the upstreams of a service that accept requests.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Description> {
        self.iter()
            .filter(move |upstream| &*upstream.service == service && upstream.state == State::Ready)
    }

    /// Records that the list is unavailable.
    pub fn mark_unavailable(&mut self, now: Instant) {
        self.unavailable = true;
        self.last_outage = Some(now);
    }

    /// Replaces all entries with a complete snapshot of the list.
    pub fn replace(&mut self, entries: impl IntoIterator<Item = Description>, now: Instant) {
        self.recover(now);
        self.is_read = true;
        let entries: Vec<Description> = entries.into_iter().collect();
        let present: Set<Arc<str>> = entries.iter().map(|entry| entry.id.clone()).collect();
        let gone: Vec<Arc<str>> =
            self.upstreams.keys().filter(|id| !present.contains(*id)).cloned().collect();
        for id in gone {
            self.remove(&id, now);
        }
        for entry in entries {
            self.write(entry);
        }
    }

    /// Applies changes to the list in order.
    pub fn apply(&mut self, changes: impl IntoIterator<Item = Change>, now: Instant) {
        self.recover(now);
        for change in changes {
            match change {
                Change::Written(entry) => self.write(entry),
                Change::Removed(id) => self.remove(&id, now),
            }
        }
    }

    /// Removes the upstreams that are still missing after the grace period, and returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<Arc<str>> {
        if self.unavailable {
            return Vec::new();
        }
        let due: Vec<Arc<str>> = self
            .missing
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &due {
            self.missing.remove(id);
            self.drop_upstream(id, now);
        }
        due
    }

    fn recover(&mut self, now: Instant) {
        if std::mem::take(&mut self.unavailable) {
            self.last_outage = Some(now);
            for until in self.missing.values_mut() {
                *until = now + RECOVERY_GRACE;
            }
        }
    }

    fn write(&mut self, entry: Description) {
        self.missing.remove(&entry.id);
        self.removed.remove(&entry.id);
        self.upstreams.insert(entry.id.clone(), entry);
    }

    fn remove(&mut self, id: &Arc<str>, now: Instant) {
        let Some(entry) = self.upstreams.get(id) else { return };
        let expired_in_outage =
            self.last_outage.is_some_and(|outage| now.since(outage) < RECOVERY_GRACE);
        match expired_in_outage && entry.state == State::Ready {
            true => {
                let outage = self.last_outage.unwrap_or(now);
                self.missing.entry(id.clone()).or_insert(outage + RECOVERY_GRACE);
            }
            false => self.drop_upstream(id, now),
        }
    }

    fn drop_upstream(&mut self, id: &Arc<str>, now: Instant) {
        self.upstreams.remove(id);
        self.removed.retain(|_, removed| now.since(*removed) < REMOVED_RETENTION);
        self.removed.insert(id.clone(), now);
    }
}
