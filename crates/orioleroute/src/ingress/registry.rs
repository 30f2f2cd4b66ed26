//! The upstreams that are there, through outages of the list that names them.

use super::upstream::{Description, State};
use crate::prelude::*;

/// How long after the list's return an upstream that is missing still counts as there: it writes
/// its entry again at its next heartbeat, which takes up to two seconds.
pub const RETURN_GRACE: Duration = Duration::from_millis(2_200);

/// A silence of the list that is longer counts as an outage; the long poll answers sooner.
pub const OUTAGE_AFTER: Duration = Duration::from_millis(6_000);

/// The upstreams that are there.
///
/// An upstream whose entry lapsed during an outage of the list is kept until [`RETURN_GRACE`] after
/// the list is back, since its heartbeats could not arrive.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    upstreams: Map<Arc<str>, Description>,
    missing: Map<Arc<str>, Instant>,
    unavailable: bool,
    last_outage: Option<Instant>,
}

/// One change of the list.
#[derive(Clone, Debug)]
pub enum Change {
    /// An entry was written.
    Written(Description),
    /// An entry was removed, or can no longer be read.
    Removed(Arc<str>),
}

impl Registry {
    /// Returns the upstreams that are there, those that leave included.
    pub fn iter(&self) -> impl Iterator<Item = &Description> {
        self.upstreams.values()
    }

    /// Returns an upstream that is there.
    pub fn get(&self, id: &str) -> Option<&Description> {
        self.upstreams.get(id)
    }

    /// Returns the upstreams of a service that take requests.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Description> {
        self.iter()
            .filter(move |upstream| &*upstream.service == service && upstream.state == State::Ready)
    }

    /// Takes note that the list does not answer.
    pub fn lose(&mut self, now: Instant) {
        self.unavailable = true;
        self.last_outage = Some(now);
    }

    /// Replaces all entries by a complete reading of the list.
    pub fn replace(&mut self, entries: impl IntoIterator<Item = Description>, now: Instant) {
        self.recover(now);
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

    /// Applies changes in their order.
    pub fn apply(&mut self, changes: impl IntoIterator<Item = Change>, now: Instant) {
        self.recover(now);
        for change in changes {
            match change {
                Change::Written(entry) => self.write(entry),
                Change::Removed(id) => self.remove(&id, now),
            }
        }
    }

    /// Drops upstreams that are still missing after an outage, and returns whether any was.
    pub fn expire(&mut self, now: Instant) -> bool {
        if self.unavailable {
            return false;
        }
        let due: Vec<Arc<str>> = self
            .missing
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &due {
            self.missing.remove(id);
            self.upstreams.remove(id);
        }
        !due.is_empty()
    }

    fn recover(&mut self, now: Instant) {
        if std::mem::take(&mut self.unavailable) {
            self.last_outage = Some(now);
            for until in self.missing.values_mut() {
                *until = now + RETURN_GRACE;
            }
        }
    }

    fn write(&mut self, entry: Description) {
        self.missing.remove(&entry.id);
        self.upstreams.insert(entry.id.clone(), entry);
    }

    fn remove(&mut self, id: &Arc<str>, now: Instant) {
        let Some(entry) = self.upstreams.get(id) else { return };
        let lapsed_in_outage =
            self.last_outage.is_some_and(|outage| now.since(outage) < RETURN_GRACE);
        match lapsed_in_outage && entry.state == State::Ready {
            true => {
                let outage = self.last_outage.unwrap_or(now);
                self.missing.entry(id.clone()).or_insert(outage + RETURN_GRACE);
            }
            false => {
                self.upstreams.remove(id);
            }
        }
    }
}
