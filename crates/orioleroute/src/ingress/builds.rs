//! The builds of the services' upstreams, as a row of the store keeps them beyond the loss of all instances.
//!
//! Load pattern: all instances lose power while upstreams of two builds serve, or when those of the older one have just left.
//! Clients take up streams of both, and what the instances had seen of the older build is gone with them. A row that
//! changes only with the builds tells those that start which builds a stream may have begun at. It has no times, because
//! the clocks of instances differ: a build leaves it once a scheduler has known it to be absent for as long as a
//! stream lasts. See `docs/PLATFORM.md`, section "Software versions side by side".

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};

use super::origins::ORIGIN_TTL;
use crate::hash;
use crate::prelude::*;

/// A service and a build of its upstreams.
pub type Key = (Arc<str>, Arc<str>);

/// How long a build has been absent when it is removed from the row: as long as a stream lasts, and a margin by which instances may have
/// learned of it at different times, so that none adds again what another one has removed.
pub const REMOVAL_DELAY: Duration = Duration::from_secs(ORIGIN_TTL.as_secs() + 10);

/// The most builds of a service that the row names. With two of them a stream may have begun at either already.
const MAX_BUILDS: usize = 8;

/// The time between two schedulers that would write the same change: that of a write, and until the other instances have read
/// it.
pub const WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// The builds of each service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Builds(BTreeMap<Arc<str>, BTreeSet<Arc<str>>>);

impl Builds {
    /// Adds a build of a service, unless the service has as many as the row names.
    pub fn insert(&mut self, (service, build): Key) {
        let builds = self.0.entry(service).or_default();
        if builds.len() < MAX_BUILDS {
            builds.insert(build);
        }
    }

    /// Returns whether a build of a service is named.
    pub fn contains(&self, (service, build): &Key) -> bool {
        self.0.get(service).is_some_and(|builds| builds.contains(build))
    }

    /// Returns the builds of a service.
    pub fn of(&self, service: &str) -> impl Iterator<Item = &Arc<str>> {
        self.0.get(service).into_iter().flatten()
    }

    /// Returns all builds with their services.
    pub fn keys(&self) -> impl Iterator<Item = Key> {
        let all = self.0.iter();
        all.flat_map(|(service, builds)| {
            builds.iter().map(|build| (service.clone(), build.clone()))
        })
    }
}

impl fmt::Display for Builds {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, (service, builds)) in self.0.iter().enumerate() {
            let separator = if number > 0 { ", " } else { "" };
            let builds: Vec<&str> = builds.iter().map(|build| &**build).collect();
            write!(formatter, "{separator}{service}: {}", builds.join(" "))?;
        }
        Ok(())
    }
}

/// What one instance knows of the row.
#[derive(Clone, Debug, Default)]
pub struct Recorded {
    /// The builds that the row names, or named before the store lost it.
    builds: Builds,
    /// When this instance learned that the row names them.
    since: Map<Key, Instant>,
    /// Whether the store's row is known to be just this.
    is_stored: bool,
    /// Whether the table that has the row has been read.
    is_read: bool,
}

impl Recorded {
    /// Records the row as it was read or written.
    pub fn set(&mut self, builds: Builds, now: Instant) {
        self.since = builds
            .keys()
            .map(|key| {
                let since = self.since.get(&key).copied().unwrap_or(now);
                (key, since)
            })
            .collect();
        self.builds = builds;
        self.is_stored = true;
    }

    /// Records that the store came back from a copy with this row, or with none that can be read. What the row named before
    /// has to be written again.
    pub fn restore(&mut self, copy: Option<Builds>, now: Instant) {
        let known = self.builds.clone();
        let mut all = copy.clone().unwrap_or_default();
        known.keys().for_each(|key| all.insert(key));
        let is_stored = copy.as_ref() == Some(&all);
        self.set(all, now);
        self.is_stored = is_stored;
    }

    /// Records that the table that has the row has been read. There may be no row.
    pub fn mark_read(&mut self) {
        self.is_read = true;
    }

    /// Returns whether the table that has the row has been read.
    pub fn is_read(&self) -> bool {
        self.is_read
    }

    /// Returns the builds that the row names.
    pub fn builds(&self) -> &Builds {
        &self.builds
    }

    /// Returns since when this instance has known that the row names a build.
    pub fn since(&self, key: &Key) -> Option<Instant> {
        self.since.get(key).copied()
    }

    /// Returns whether the store's row is known to have just these builds. No row is as good as an empty one.
    pub fn has(&self, builds: &Builds) -> bool {
        (self.is_stored || builds.0.is_empty()) && self.builds == *builds
    }
}

/// Returns how long an instance that schedules the zones `own` among all `led` ones waits before it writes a change, or `None` if it
/// schedules none. All instances agree on the order.
pub fn write_delay(led: &[Arc<str>], own: &[Arc<str>]) -> Option<Duration> {
    let item = hash::digest("builds");
    let mut zones: Vec<&Arc<str>> = led.iter().collect();
    zones.sort_unstable_by_key(|zone| hash::weight(item, hash::digest(&***zone)));
    let rank = zones.iter().position(|zone| own.contains(zone))?;
    Some(WRITE_INTERVAL * rank as u32)
}
