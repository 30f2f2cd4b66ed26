//! The registered upstreams, which survive outages of the list that they are read from.

use std::collections::BTreeSet;

use super::builds::{Builds, Key, REMOVAL_DELAY, Recorded};
use super::origins::ORIGIN_TTL;
use super::upstream::{Description, State};
use crate::prelude::*;

/// How long after an outage of the store a missing upstream stays registered. An upstream writes its
/// entry again at its next heartbeat, which takes up to two seconds.
pub const RECOVERY_GRACE: Duration = Duration::from_millis(2_200);

/// Time without an answer from the list after which it counts as unavailable. A long poll answers
/// sooner than that.
pub const OUTAGE_TIMEOUT: Duration = Duration::from_millis(6_000);

/// The registered upstreams.
///
/// An upstream whose entry expired during an outage of the store is kept until [`RECOVERY_GRACE`]
/// after the store has recovered, because its heartbeats could not arrive. An entry that is missing
/// although the store served other instances is gone.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    upstreams: Map<Arc<str>, Description>,
    /// The upstreams whose entries are missing after an outage.
    missing: Set<Arc<str>>,
    /// The version of the list up to which all changes are applied.
    version: u64,
    is_read: bool,
    unavailable: bool,
    /// When the list was last unavailable to this instance.
    last_outage: Option<Instant>,
    /// Since when the store has been available to any instance, if it is.
    available_since: Option<Instant>,
    /// When the store was found to have come back from a copy.
    era_began: Option<Instant>,
    /// The upstreams that were removed.
    removed: Map<Arc<str>, Departed>,
    /// When upstreams of builds that are no longer listed were last seen, by service and build.
    former_builds: Map<Key, Instant>,
    /// The builds that the store's row names.
    recorded: Recorded,
    /// The upstreams that are known to leave or to have left, although their entries may say that they are ready.
    departed: Map<Arc<str>, Departed>,
}

/// An upstream that leaves or has left.
#[derive(Clone, Copy, Debug)]
struct Departed {
    started_ms: u64,
    /// Whether it was draining, and not only missing in the list.
    was_draining: bool,
    /// When that became known.
    at: Instant,
    /// The version of its first entry since then, which may be the one of a copy from which the store came back.
    first_version: Option<u64>,
}

impl Departed {
    fn new(entry: &Description, now: Instant) -> Self {
        let was_draining = entry.state == State::Draining;
        Self { started_ms: entry.started_ms, was_draining, at: now, first_version: None }
    }

    /// Records an entry, and returns whether it shows that the upstream is alive: it has been started again, or has written
    /// its entry a second time although it was not draining.
    fn record_entry(&mut self, entry: &Description) -> bool {
        if entry.started_ms != self.started_ms {
            return true;
        }
        let first = *self.first_version.get_or_insert(entry.entry_version);
        !self.was_draining && entry.entry_version > first
    }
}

/// How long upstreams that have left are remembered, in case the store comes back from a copy from before. Copies are
/// some seconds old.
const REMOVAL_MEMORY: Duration = Duration::from_secs(60);

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

    /// Returns the version of the list up to which all changes are applied.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Sets the version of the list up to which all changes are applied.
    pub fn set_version(&mut self, version: u64) {
        self.version = version;
    }

    /// Returns whether an upstream that another instance knows by the entry with this version is draining
    /// or was removed. If that entry is newer than the list here, the other instance knows better.
    pub fn is_leaving(&self, id: &str, entry_version: u64) -> bool {
        match self.upstreams.get(id) {
            Some(upstream) => {
                let is_known = self.departed.contains_key(id);
                upstream.state == State::Draining
                    && (is_known || upstream.entry_version >= entry_version)
            }
            None => self.version >= entry_version,
        }
    }

    /// Returns what is known of an upstream.
    pub fn standing(&self, id: &str) -> Standing {
        match self.upstreams.get(id).map(|upstream| upstream.state) {
            None => Standing::Unlisted,
            Some(State::Draining) => Standing::Draining,
            Some(State::Ready) if self.missing.contains(id) => Standing::Missing,
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

    /// Returns the builds of a service's upstreams that are listed, were for as long as a stream lasts, or are named in the
    /// store's row, which tells what was listed before this instance started.
    pub fn recent_builds(&self, service: &str, now: Instant) -> Set<Arc<str>> {
        let listed = self.iter().filter(|upstream| &*upstream.service == service);
        let former = self
            .former_builds
            .iter()
            .filter(|((of, _), at)| &**of == service && now.since(**at) < ORIGIN_TTL);
        let former = former.map(|((_, build), _)| build.clone());
        let recorded = self.recorded.builds().of(service).cloned();
        listed.map(|upstream| upstream.build.clone()).chain(former).chain(recorded).collect()
    }

    /// Returns whether this instance knows of all builds at which a stream of a service may have begun, up to the age of what
    /// it has read: it has read the list and the store's row, and the row tells what was listed before its start, or the
    /// instance has run for as long as a stream lasts.
    pub fn has_all_builds(&self, service: &str, now: Instant) -> bool {
        let is_read = self.is_read && self.recorded.is_read();
        let is_old = now >= Instant::ZERO + ORIGIN_TTL;
        is_read && (is_old || self.recorded.builds().of(service).next().is_some())
    }

    /// Records that the table that has the row of builds has been read.
    pub fn mark_builds_read(&mut self) {
        self.recorded.mark_read();
    }

    /// Returns whether upstreams of several builds of one service are listed, or were for as long as a stream lasts.
    pub fn has_several_builds(&self, now: Instant) -> bool {
        let services: Set<&Arc<str>> = self.iter().map(|upstream| &upstream.service).collect();
        services.into_iter().any(|service| self.recent_builds(service, now).len() > 1)
    }

    /// Returns the builds that the store's row names, or named before the store lost it.
    pub fn recorded_builds(&self) -> &Builds {
        self.recorded.builds()
    }

    /// Records the store's row of builds as it was read or written.
    pub fn record_builds(&mut self, builds: Builds, now: Instant) {
        self.recorded.set(builds, now);
    }

    /// Records that the store's row of builds is this one since the store came back from a copy, or cannot be read.
    pub fn restore_builds(&mut self, builds: Option<Builds>, now: Instant) {
        self.recorded.restore(builds, now);
    }

    /// Returns the builds that the store's row is to name, if it names others: those that are listed or have just left, and
    /// those that it names already, until they have been absent for [`REMOVAL_DELAY`].
    pub fn builds_to_record(&self, now: Instant) -> Option<Builds> {
        if !self.is_read {
            return None;
        }
        let key = |upstream: &Description| (upstream.service.clone(), upstream.build.clone());
        let listed: BTreeSet<Key> = self.iter().map(key).collect();
        let former = self.former_builds.iter().filter(|(_, at)| now.since(**at) < ORIGIN_TTL);
        let former: BTreeSet<Key> = former.map(|(key, _)| key.clone()).collect();
        let kept = self.recorded.builds().keys().filter(|key| {
            let learned = self.recorded.since(key);
            let absent_since = self.former_builds.get(key).copied().max(learned);
            absent_since.is_some_and(|since| now.since(since) < REMOVAL_DELAY)
        });
        let mut builds = Builds::default();
        listed.into_iter().chain(former).chain(kept).for_each(|key| builds.insert(key));
        (!self.recorded.has(&builds)).then_some(builds)
    }

    /// Records that the list is unavailable to this instance.
    pub fn mark_unavailable(&mut self, now: Instant) {
        self.unavailable = true;
        self.last_outage = Some(now);
    }

    /// Records that the store has come back from a copy. Upstreams that have left since the copy was made may be ready
    /// in it, and entries of others may be missing.
    pub fn begin_era(&mut self, now: Instant) {
        self.era_began = Some(now);
        self.departed = std::mem::take(&mut self.removed);
        for entry in self.upstreams.values().filter(|entry| entry.state == State::Draining) {
            self.departed.insert(entry.id.clone(), Departed::new(entry, now));
        }
    }

    /// Records that an upstream has said itself that it leaves, whatever its entry says from now on.
    pub fn record_leave(&mut self, id: &str, now: Instant) {
        let Some(entry) = self.upstreams.get_mut(id) else { return };
        entry.state = State::Draining;
        self.departed.insert(entry.id.clone(), Departed::new(entry, now));
    }

    /// Records since when the store has been available to any instance, or `None` if it is not known to be.
    pub fn observe_service(&mut self, since: Option<Instant>) {
        self.available_since = since;
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
            self.write(entry, now);
        }
    }

    /// Applies changes to the list in order.
    pub fn apply(&mut self, changes: impl IntoIterator<Item = Change>, now: Instant) {
        self.recover(now);
        for change in changes {
            match change {
                Change::Written(entry) => self.write(entry, now),
                Change::Removed(id) => self.remove(&id, now),
            }
        }
    }

    /// Removes the upstreams that are still missing after the grace period, and returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<Arc<str>> {
        if self.may_lack_entries(now) {
            return Vec::new();
        }
        let due: Vec<Arc<str>> = self.missing.drain().collect();
        for id in &due {
            self.forget(id, now);
        }
        due
    }

    /// Returns whether entries of upstreams that are alive may be missing, because the store was away.
    fn may_lack_entries(&self, now: Instant) -> bool {
        if self.era_began.is_some_and(|began| now.since(began) < RECOVERY_GRACE) {
            return true;
        }
        let Some(outage) = self.last_outage else { return false };
        let own_return = (!self.unavailable).then_some(outage);
        // The store is back as soon as it serves any instance.
        match own_return.into_iter().chain(self.available_since).min() {
            Some(back) => now.since(back) < RECOVERY_GRACE,
            None => true,
        }
    }

    fn recover(&mut self, now: Instant) {
        if std::mem::take(&mut self.unavailable) {
            self.last_outage = Some(now);
        }
    }

    fn write(&mut self, mut entry: Description, now: Instant) {
        self.missing.remove(&entry.id);
        self.removed.remove(&entry.id);
        if let Some(departed) = self.departed.get_mut(&entry.id) {
            match departed.record_entry(&entry) {
                true => drop(self.departed.remove(&entry.id)),
                false => entry.state = State::Draining,
            }
        }
        let build = entry.build.clone();
        let previous = self.upstreams.insert(entry.id.clone(), entry);
        if let Some(previous) = previous.filter(|previous| previous.build != build) {
            self.record_former_build(&previous, now);
        }
    }

    fn record_former_build(&mut self, upstream: &Description, now: Instant) {
        self.former_builds.retain(|_, at| now.since(*at) < REMOVAL_DELAY);
        let key = (upstream.service.clone(), upstream.build.clone());
        self.former_builds.insert(key, now);
    }

    fn remove(&mut self, id: &Arc<str>, now: Instant) {
        let Some(entry) = self.upstreams.get(id) else { return };
        match entry.state == State::Ready && self.may_lack_entries(now) {
            true => drop(self.missing.insert(id.clone())),
            false => {
                self.missing.remove(id);
                self.forget(id, now);
            }
        }
    }

    /// Removes an upstream, and remembers that it was removed.
    fn forget(&mut self, id: &Arc<str>, now: Instant) {
        let is_recent = |departed: &Departed| now.since(departed.at) < REMOVAL_MEMORY;
        self.removed.retain(|_, departed| is_recent(departed));
        let upstreams = &self.upstreams;
        self.departed.retain(|id, departed| is_recent(departed) || upstreams.contains_key(id));
        if let Some(entry) = self.upstreams.remove(id) {
            self.record_former_build(&entry, now);
            self.removed.insert(id.clone(), Departed::new(&entry, now));
        }
    }
}
