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
        let mut new = old.clone();
        let dropped: Set<&str> = self.dropped.iter().map(|name| &**name).collect();
        new.adapters.retain(|adapter| !dropped.contains(&*adapter.name));
        let places: Map<Arc<str>, usize> = new
            .adapters
            .iter()
            .enumerate()
            .map(|(place, adapter)| (adapter.name.clone(), place))
            .collect();
        for adapter in &self.put {
            match places.get(&adapter.name) {
                Some(place) => new.adapters[*place] = adapter.clone(),
                None => new.adapters.push(adapter.clone()),
            }
        }
        replace(&mut new.models, &self.models);
        replace(&mut new.pools, &self.pools);
        replace(&mut new.services, &self.services);
        replace(&mut new.policy, &self.policy);
        (new.digest() == self.digest).then_some(new)
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
    pub fn digest(&self) -> u64 {
        let parts = [
            digest_of(&self.models),
            digest_of(&self.pools),
            digest_of(&self.services),
            digest_of(&self.policy),
        ];
        self.adapters.iter().map(digest_of).fold(digest(&parts), u64::wrapping_add)
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
