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

    /// Returns those among `zones` whose schedulers record the stream, in an order on which all instances agree.
    pub fn holders<'a>(
        self,
        zones: impl IntoIterator<Item = &'a Arc<str>>,
    ) -> impl Iterator<Item = &'a Arc<str>> {
        let mut zones: Vec<&Arc<str>> = zones.into_iter().collect();
        zones.sort_unstable_by_key(|zone| hash::weight(self.0, hash::digest(&***zone)));
        zones.into_iter().take(HOLDERS)
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
