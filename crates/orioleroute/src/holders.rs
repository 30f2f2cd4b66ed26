//! The instances of other regions that hold each revision, according to their last announcements.

use crate::prelude::*;

/// The revisions that instances of other regions have announced as loaded.
///
/// These are hints: an instance that no longer holds the revision loads it for the request that was
/// forwarded to it, and a missing hint costs a load in this region.
#[derive(Clone, Debug, Default)]
pub struct Holders {
    by_revision: Map<key::Revision, Vec<Arc<str>>>,
}

impl Holders {
    /// Records whether an instance holds a revision.
    pub fn update(&mut self, revision: key::Revision, instance: &Arc<str>, held: bool) {
        let instances = self.by_revision.entry(revision).or_default();
        instances.retain(|other| other != instance);
        if held {
            instances.push(instance.clone());
        }
        if instances.is_empty() {
            self.by_revision.remove(&revision);
        }
    }

    /// Returns the instances that hold a revision, the most recent announcement first.
    pub fn of(&self, revision: key::Revision) -> impl Iterator<Item = &Arc<str>> {
        self.by_revision.get(&revision).into_iter().flatten().rev()
    }
}
