//! The software versions at which streams began.
//!
//! Load pattern: upstreams of several builds serve side by side during a release, and what two builds write does not fit
//! together. A client that takes a stream up after a broken connection names only the attempt that brought its first event,
//! to any instance, when the instance that served it may be gone. So each stream's build is recorded at several instances
//! before its first event goes out. `docs/PLATFORM.md`, section "Software versions side by side", compares the alternatives.

use std::collections::VecDeque;
use std::collections::hash_map::Entry;

use crate::hash;
use crate::prelude::*;

/// How long a stream is remembered: the longest that a stream lasts, with the retries of its client.
pub const ORIGIN_TTL: Duration = Duration::from_secs(60);

/// The most streams that an instance remembers. With 24 bytes each they take about 6 MB.
const MAX_ORIGINS: usize = 1 << 18;

/// The number of other instances that record a stream.
pub const HOLDERS: usize = 3;

/// The most instances of which any records streams for others. It bounds the connections of an instance while upstreams of
/// several builds serve.
const MAX_CANDIDATES: usize = 12;

/// Returns those among `members` that record streams for others. All instances that list the same members agree on them.
pub fn candidates(members: impl IntoIterator<Item = Arc<str>>) -> Vec<Arc<str>> {
    let item = hash::digest("origins");
    let mut members: Vec<Arc<str>> = members.into_iter().collect();
    members.sort_by_cached_key(|name| hash::weight(item, hash::digest(&**name)));
    members.truncate(MAX_CANDIDATES);
    members
}

/// The attempt that brought a stream's first event.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Origin(u64);

impl Origin {
    /// Returns the origin that a client names by the id of its attempt.
    pub fn of(attempt: &str) -> Self {
        Self(hash::digest(attempt))
    }

    /// Returns `candidates` in the order in which they are to record the stream. The first [`HOLDERS`] in reach do. The order
    /// differs from stream to stream, so that no few instances hold the records of all.
    pub fn holders(self, candidates: &[Arc<str>]) -> Vec<&Arc<str>> {
        let mut holders: Vec<&Arc<str>> = candidates.iter().collect();
        holders.sort_by_cached_key(|name| hash::weight(self.0, hash::digest(&***name)));
        holders
    }
}

/// The builds at which recent streams began, as far as one instance knows.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    builds: Map<Origin, Arc<str>>,
    /// The origins in the order in which they were recorded.
    recorded: VecDeque<(Instant, Origin)>,
}

impl Origins {
    /// Records the build at which a stream began. The first record of a stream counts.
    pub fn record(&mut self, origin: Origin, build: Arc<str>, now: Instant) {
        self.evict(now);
        if let Entry::Vacant(entry) = self.builds.entry(origin) {
            entry.insert(build);
            self.recorded.push_back((now, origin));
        }
    }

    /// Returns the build at which a stream began, if that is known.
    pub fn build(&self, origin: Origin) -> Option<Arc<str>> {
        self.builds.get(&origin).cloned()
    }

    fn evict(&mut self, now: Instant) {
        while let Some((at, origin)) = self.recorded.front().copied() {
            if now.since(at) < ORIGIN_TTL && self.recorded.len() < MAX_ORIGINS {
                return;
            }
            self.recorded.pop_front();
            self.builds.remove(&origin);
        }
    }
}

/// What an instance says of a stream that a client takes up.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Testimony {
    /// The build at which the stream began, if the instance knows it.
    pub build: Option<Arc<str>>,
    /// The availability zones of which the instance is the only scheduler, as far as it has evidence of that.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<Arc<str>>,
    /// The recent builds of the stream's service that the instance knows.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub builds: Vec<Arc<str>>,
}

/// What shows at which build a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Evidence {
    /// The instance itself recorded the stream.
    OwnRecord,
    /// A scheduler recorded the stream.
    Record,
    /// The schedulers of all zones know one build.
    Schedulers,
    /// The store lists one build.
    List,
}

/// The result of a search for the build at which a stream began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finding {
    /// The stream may go on at upstreams of this build alone.
    Known(Arc<str>, Evidence),
    /// It may have begun at any of several builds.
    Unknown,
}

/// A search for the build at which a stream began.
///
/// An instance that has been cut off or suspended does not know which upstreams have joined since then, nor that it does
/// not know. So its own list only adds to the builds that are possible. That there are no others is shown by what is said
/// after the search has begun: by the schedulers of all zones, since one of them has granted the stream, or by the store.
#[derive(Clone, Debug)]
pub struct Inquiry {
    /// The possible builds.
    builds: Set<Arc<str>>,
    /// The zones whose schedulers have not answered.
    missing: Set<Arc<str>>,
    /// Whether no zone is known.
    has_no_zones: bool,
    recorded: Option<Arc<str>>,
    has_list: bool,
}

impl Inquiry {
    /// Begins a search at an instance that knows these builds of the service, and these zones that have schedulers.
    pub fn new(builds: Set<Arc<str>>, zones: impl IntoIterator<Item = Arc<str>>) -> Self {
        let missing: Set<Arc<str>> = zones.into_iter().collect();
        let has_no_zones = missing.is_empty();
        Self { builds, missing, has_no_zones, recorded: None, has_list: false }
    }

    /// Records what an instance says that was asked after the search had begun.
    pub fn record_testimony(&mut self, testimony: Testimony) {
        self.recorded = self.recorded.take().or(testimony.build);
        self.builds.extend(testimony.builds);
        for zone in &testimony.zones {
            self.missing.remove(zone);
        }
    }

    /// Records the builds of the service in the store, by a read that was sent after the search had begun.
    pub fn record_list(&mut self, builds: impl IntoIterator<Item = Arc<str>>) {
        self.builds.extend(builds);
        self.has_list = true;
    }

    /// Returns whether the stream may have begun at any of several builds, so that only a record can tell.
    pub fn needs_record(&self) -> bool {
        self.builds.len() > 1
    }

    /// Returns whether the store has been read.
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// Returns the result, or `None` while others may know more.
    pub fn finding(&self) -> Option<Finding> {
        if let Some(build) = &self.recorded {
            return Some(Finding::Known(build.clone(), Evidence::Record));
        }
        let has_schedulers = self.missing.is_empty() && !self.has_no_zones;
        let evidence = match (has_schedulers, self.has_list) {
            (true, _) => Evidence::Schedulers,
            (false, true) => Evidence::List,
            (false, false) => return None,
        };
        let mut builds = self.builds.iter();
        match (builds.next(), builds.next()) {
            (Some(only), None) => Some(Finding::Known(only.clone(), evidence)),
            // A scheduler that has not answered may have a record.
            _ => has_schedulers.then_some(Finding::Unknown),
        }
    }
}
