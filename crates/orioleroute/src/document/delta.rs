//! Changes from one document to the next, which are sent instead of whole documents.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Adapter, Document, Model, Policy, Pool, Service};
use crate::hash::{Map, Set, digest};

/// The change from a document to its successor.
///
/// Adapters are listed individually, because there are tens of thousands of them and an operator
/// usually changes only a few. The other parts are small and are sent whole if they change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The base models, if they change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub models: Option<Vec<Model>>,
    /// The pools, if they change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pools: Option<Vec<Pool>>,
    /// The plain services, if they change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub services: Option<Vec<Service>>,
    /// The policy, if it changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub policy: Option<Policy>,
    /// The adapters that are new or changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub put: Vec<Adapter>,
    /// The names of the removed adapters.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub dropped: Vec<Arc<str>>,
    /// The digest of the successor; see [`Document::digest`].
    pub digest: u64,
}

impl Delta {
    /// Returns the change from `old` to `new`.
    pub fn between(old: &Document, new: &Document) -> Self {
        let previous: Map<&str, &Adapter> =
            old.adapters.iter().map(|adapter| (&*adapter.name, adapter)).collect();
        let kept: Set<&str> = new.adapters.iter().map(|adapter| &*adapter.name).collect();
        let changed = new.adapters.iter().filter(|adapter| {
            previous.get(&*adapter.name).is_none_or(|previous| **previous != **adapter)
        });
        let removed = old.adapters.iter().filter(|adapter| !kept.contains(&*adapter.name));
        Self {
            models: (old.models != new.models).then(|| new.models.clone()),
            pools: (old.pools != new.pools).then(|| new.pools.clone()),
            services: (old.services != new.services).then(|| new.services.clone()),
            policy: (old.policy != new.policy).then(|| new.policy.clone()),
            put: changed.cloned().collect(),
            dropped: removed.map(|adapter| adapter.name.clone()).collect(),
            digest: new.digest(),
        }
    }

    /// Returns the successor of `old`, or `None` if the delta was computed from another document.
    pub fn apply(&self, old: &Document) -> Option<Document> {
        self.apply_with_digest(old, old.digest())
    }

    /// Returns the successor of `old`, whose digest is `old_digest`, or `None` if the delta was computed
    /// from another document.
    ///
    /// The digest of the successor is updated from the changed adapters only, because encoding all
    /// of tens of thousands of adapters would take longer than everything else.
    pub fn apply_with_digest(&self, old: &Document, old_digest: u64) -> Option<Document> {
        let mut new = old.clone();
        replace(&mut new.models, &self.models);
        replace(&mut new.pools, &self.pools);
        replace(&mut new.services, &self.services);
        replace(&mut new.policy, &self.policy);
        let mut sum = old_digest.wrapping_sub(old.parts_digest());
        sum = sum.wrapping_add(new.parts_digest());

        let dropped: Set<&str> = self.dropped.iter().map(|name| &**name).collect();
        let mut put: Map<&str, &Adapter> =
            self.put.iter().map(|adapter| (&*adapter.name, adapter)).collect();
        new.adapters.retain_mut(|adapter| {
            let next = put.remove(&*adapter.name);
            let is_dropped = dropped.contains(&*adapter.name);
            if is_dropped || next.is_some() {
                sum = sum.wrapping_sub(json_digest(adapter));
            }
            if let Some(next) = next {
                sum = sum.wrapping_add(json_digest(next));
                adapter.clone_from(next);
            }
            !is_dropped
        });
        for adapter in self.put.iter().filter(|adapter| put.contains_key(&*adapter.name)) {
            sum = sum.wrapping_add(json_digest(adapter));
            new.adapters.push(adapter.clone());
        }
        (sum == self.digest).then_some(new)
    }

    /// Returns the names of the adapters that are new, changed or dropped.
    pub fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.put.iter().map(|adapter| &adapter.name).chain(&self.dropped)
    }

    /// Returns whether the change can affect the answers to requests for an adapter.
    pub fn affects(&self, adapter: &str) -> bool {
        self.models.is_some()
            || self.pools.is_some()
            || self.put.iter().any(|put| &*put.name == adapter)
            || self.dropped.iter().any(|name| &**name == adapter)
    }
}

impl Document {
    /// Returns a digest that does not depend on the order of the adapters.
    ///
    /// It is the wrapping sum of the digest of each adapter and a digest of the other parts, so that it
    /// can be updated incrementally when adapters change.
    pub fn digest(&self) -> u64 {
        let parts = self.parts_digest();
        self.adapters.iter().map(json_digest).fold(parts, u64::wrapping_add)
    }

    fn parts_digest(&self) -> u64 {
        let parts = [
            json_digest(&self.models),
            json_digest(&self.pools),
            json_digest(&self.services),
            json_digest(&self.policy),
        ];
        digest(&parts)
    }
}

fn json_digest(value: &impl Serialize) -> u64 {
    digest(&serde_json::to_string(value).unwrap_or_default())
}

fn replace<T: Clone>(part: &mut T, changed: &Option<T>) {
    if let Some(changed) = changed {
        part.clone_from(changed);
    }
}
