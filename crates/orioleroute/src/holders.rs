//! Which instances of other regions hold which revisions, as they last said.

use crate::prelude::*;

/// What instances of other regions said that they hold.
///
/// It is a hint: an instance that no longer holds the revision loads it for the request that was
/// passed on to it, and a hint that is missing costs a load in this region.
#[derive(Clone, Debug, Default)]
pub struct Holders {
    by_revision: Map<key::Revision, Vec<Arc<str>>>,
}

impl Holders {
    /// Takes what an instance says of a revision.
    pub fn note(&mut self, revision: key::Revision, instance: &Arc<str>, held: bool) {
        let instances = self.by_revision.entry(revision).or_default();
        instances.retain(|other| other != instance);
        if held {
            instances.push(instance.clone());
        }
        if instances.is_empty() {
            self.by_revision.remove(&revision);
        }
    }

    /// Returns the instances that hold a revision, the one that said so last first.
    pub fn of(&self, revision: key::Revision) -> impl Iterator<Item = &Arc<str>> {
        self.by_revision.get(&revision).into_iter().flatten().rev()
    }
}
