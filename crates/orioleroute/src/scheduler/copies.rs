//! The copies of adapters that an engine has kept, which it loads ten times as fast.

use super::runner::Runner;
use crate::prelude::*;

/// Number of adapters of which an engine keeps a copy in addition to those that it holds.
const MAX_RECENT_ADAPTERS: usize = 36;

/// The adapters of which an engine has a copy, and which it therefore loads fast.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EngineCopies {
    /// The engine's id.
    pub engine: Arc<str>,
    /// The engine's start time, in milliseconds since the Unix epoch. A restart loses the copies.
    pub started_ms: u64,
    /// The adapters, the most recent one last.
    pub adapters: Vec<Arc<str>>,
}

impl Runner {
    /// Returns whether the engine has kept a copy of an adapter, which loads ten times as fast.
    pub fn is_warm(&self, adapter: &str) -> bool {
        self.recent.iter().any(|name| **name == *adapter)
    }

    /// Returns the adapters of which the engine has a copy.
    pub fn copies(&self) -> EngineCopies {
        EngineCopies {
            engine: self.id.clone(),
            started_ms: self.started_ms,
            adapters: self.recent.clone(),
        }
    }

    /// Adds copies that were recorded earlier, unless the engine has restarted since then.
    pub fn restore_copies(&mut self, copies: &EngineCopies) {
        if copies.started_ms != self.started_ms {
            return;
        }
        let known = std::mem::take(&mut self.recent);
        for adapter in copies.adapters.iter().chain(&known) {
            record_recent(&mut self.recent, adapter.clone(), MAX_RECENT_ADAPTERS);
        }
    }

    /// Records that the engine has a copy of an adapter.
    pub fn record_recent(&mut self, adapter: &Arc<str>) {
        record_recent(&mut self.recent, adapter.clone(), MAX_RECENT_ADAPTERS);
    }
}

/// Moves or appends `item` to the end of a list that keeps the `capacity` most recent items.
fn record_recent<T: PartialEq>(items: &mut Vec<T>, item: T, capacity: usize) {
    match items.iter().position(|known| *known == item) {
        Some(index) => {
            items.remove(index);
        }
        None if items.len() >= capacity => {
            items.remove(0);
        }
        None => {}
    }
    items.push(item);
}
