//! The choice of what to load and what to unload.

use crate::fleet::{Fleet, Residency, Upstream};
use crate::prelude::*;

/// What to do to make a revision answer requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plan {
    /// Load it on this upstream.
    Load(key::Upstream),
    /// Unload this revision from this upstream first.
    Evict(key::Upstream, key::Revision),
}

/// Returns how to make room for `revision` on one of `candidates`, each with its slots.
///
/// An upstream with a free slot goes first; then the revision that was idle longest is evicted.
/// One in use, by this instance or by the engine's own report, is never evicted.
pub fn plan(
    now: Instant,
    fleet: &Fleet,
    candidates: impl IntoIterator<Item = (key::Upstream, u32)>,
    revision: key::Revision,
    pinned: impl Fn(key::Revision) -> bool,
) -> Option<Plan> {
    let open: Vec<(key::Upstream, &Upstream, u32)> = candidates
        .into_iter()
        .filter_map(|(key, slots)| Some((key, fleet.get(key)?, slots)))
        .filter(|(_, upstream, _)| upstream.is_open(now) && upstream.is_known(now))
        .filter(|(_, upstream, _)| !upstream.residents.contains_key(&revision))
        .collect();
    let free = open
        .iter()
        .filter(|(_, upstream, slots)| (upstream.residents.len() as u32) < *slots)
        .min_by_key(|(_, upstream, _)| (upstream.running, upstream.residents.len()));
    if let Some((key, _, _)) = free {
        return Some(Plan::Load(*key));
    }
    open.iter()
        .flat_map(|(key, upstream, _)| {
            upstream.residents.iter().map(move |(victim, resident)| (*key, *victim, resident))
        })
        .filter(|(_, victim, resident)| {
            resident.residency == Residency::Loaded
                && resident.running == 0
                && resident.reported == 0
                && !pinned(*victim)
        })
        .min_by_key(|(_, _, resident)| resident.used)
        .map(|(key, victim, _)| Plan::Evict(key, victim))
}
