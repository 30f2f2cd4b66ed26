//! What a scheduler tells others: the load of its zone, and what a successor needs to know of its engines.

use super::copies::EngineCopies;
use super::runner::Runner;
use super::{Scheduler, overflow};
use crate::prelude::*;

impl Scheduler {
    /// Returns the adapters of which the engines have copies, to be recorded for a successor.
    pub fn copies(&self) -> Vec<EngineCopies> {
        let mut copies: Vec<EngineCopies> = self.runners.values().map(Runner::copies).collect();
        copies.sort_by(|one, other| one.engine.cmp(&other.engine));
        copies
    }

    /// Records the copies that a predecessor knew of. Those of engines that have restarted are ignored.
    pub fn restore_copies(&mut self, copies: impl IntoIterator<Item = EngineCopies>) {
        for copies in copies {
            if let Some(key) = self.by_id.get(&copies.engine) {
                self.runners[*key].restore_copies(&copies);
            }
            self.restored_copies.insert(copies.engine.clone(), copies);
        }
    }

    /// Returns the load of the zone, which is called `zone` in messages.
    pub fn load(&self, zone: &Arc<str>, now: Instant) -> overflow::Load {
        let usable = self.runners.values().filter(|runner| {
            !runner.is_draining
                && runner.model().is_some()
                && !runner.health.is_ejected(now)
                && runner.allows_request(now)
        });
        let (mut engines, mut delay) = (0, Duration::ZERO);
        for runner in usable {
            engines += 1;
            delay += runner.queueing_delay();
        }
        let delay_ms = delay.as_millis() as u32 / engines.max(1);
        overflow::Load { zone: zone.clone(), engines, delay_ms }
    }
}
