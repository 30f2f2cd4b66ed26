//! Changes from one document to the next, so that whole documents need not travel.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Adapter, Document, Model, Policy, Pool, Service};
use crate::hash::{Map, Set, digest};

/// What changes a document into its successor.
///
/// Adapters are listed one by one, since there are tens of thousands of them and an operator
/// changes a few; the other parts are small and travel whole when they change.
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
    /// The names of the adapters that go.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub dropped: Vec<Arc<str>>,
    /// The digest of the successor; see [`Document::digest`].
    pub digest: u64,
}

impl Delta {
    /// Returns what changes `old` into `new`.
    pub fn between(old: &Document, new: &Document) -> Self {
        let former: Map<&str, &Adapter> =
            old.adapters.iter().map(|adapter| (&*adapter.name, adapter)).collect();
        let kept: Set<&str> = new.adapters.iter().map(|adapter| &*adapter.name).collect();
        let changed = new.adapters.iter().filter(|adapter| {
            former.get(&*adapter.name).is_none_or(|former| **former != **adapter)
        });
        let gone = old.adapters.iter().filter(|adapter| !kept.contains(&*adapter.name));
        Self {
            models: (old.models != new.models).then(|| new.models.clone()),
            pools: (old.pools != new.pools).then(|| new.pools.clone()),
            services: (old.services != new.services).then(|| new.services.clone()),
            policy: (old.policy != new.policy).then(|| new.policy.clone()),
            put: changed.cloned().collect(),
            dropped: gone.map(|adapter| adapter.name.clone()).collect(),
            digest: new.digest(),
        }
    }

    /// Returns the successor of `old`, or `None` if `old` is not the document that the delta was
    /// made from.
    pub fn apply(&self, old: &Document) -> Option<Document> {
        self.apply_to(old, old.digest())
    }

    /// Returns the successor of `old`, whose digest is known, or `None` if `old` is not the document
    /// that the delta was made from.
    ///
    /// The digest of the successor is worked out from the adapters that change, since to encode all
    /// of tens of thousands would take longer than everything else.
    pub fn apply_to(&self, old: &Document, old_digest: u64) -> Option<Document> {
        let mut new = old.clone();
        replace(&mut new.models, &self.models);
        replace(&mut new.pools, &self.pools);
        replace(&mut new.services, &self.services);
        replace(&mut new.policy, &self.policy);
        let mut sum = old_digest.wrapping_sub(old.digest_of_parts());
        sum = sum.wrapping_add(new.digest_of_parts());

        let dropped: Set<&str> = self.dropped.iter().map(|name| &**name).collect();
        let mut put: Map<&str, &Adapter> =
            self.put.iter().map(|adapter| (&*adapter.name, adapter)).collect();
        new.adapters.retain_mut(|adapter| {
            let next = put.remove(&*adapter.name);
            let gone = dropped.contains(&*adapter.name);
            if gone || next.is_some() {
                sum = sum.wrapping_sub(digest_of(adapter));
            }
            if let Some(next) = next {
                sum = sum.wrapping_add(digest_of(next));
                adapter.clone_from(next);
            }
            !gone
        });
        for adapter in self.put.iter().filter(|adapter| put.contains_key(&*adapter.name)) {
            sum = sum.wrapping_add(digest_of(adapter));
            new.adapters.push(adapter.clone());
        }
        (sum == self.digest).then_some(new)
    }

    /// Returns the names of the adapters that are new, changed or dropped.
    pub fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.put.iter().map(|adapter| &adapter.name).chain(&self.dropped)
    }

    /// Returns whether requests for an adapter could be answered differently by the successor.
    pub fn touches(&self, adapter: &str) -> bool {
        self.models.is_some()
            || self.pools.is_some()
            || self.put.iter().any(|put| &*put.name == adapter)
            || self.dropped.iter().any(|name| &**name == adapter)
    }
}

impl Document {
    /// Returns a digest that does not depend on the order of the adapters.
    ///
    /// It is the sum of a digest of each adapter and one of the other parts, so that a change can be
    /// worked into it.
    pub fn digest(&self) -> u64 {
        let parts = self.digest_of_parts();
        self.adapters.iter().map(digest_of).fold(parts, u64::wrapping_add)
    }

    fn digest_of_parts(&self) -> u64 {
        let parts = [
            digest_of(&self.models),
            digest_of(&self.pools),
            digest_of(&self.services),
            digest_of(&self.policy),
        ];
        digest(&parts)
    }
}

fn digest_of(value: &impl Serialize) -> u64 {
    digest(&serde_json::to_string(value).unwrap_or_default())
}

fn replace<T: Clone>(part: &mut T, changed: &Option<T>) {
    if let Some(changed) = changed {
        part.clone_from(changed);
    }
}
