//! The adapters and pools of the active document, indexed for routing.

use std::sync::Arc;

use slotmap::SlotMap;

use crate::document::{Adapter, Delta, Document, Importance, Policy, Pool, Service};
use crate::hash::{Map, Set, digest};
use crate::key;

/// One version of one adapter.
#[derive(Clone, Debug)]
pub struct Revision {
    /// The served name, `adapter@version`.
    pub name: Arc<str>,
    /// The adapter.
    pub adapter: Arc<str>,
    /// The version.
    pub version: Arc<str>,
    /// The base model.
    pub model: Arc<str>,
    /// The regions in which it may run; all if empty.
    pub regions: Vec<Arc<str>>,
    /// The importance of its requests.
    pub importance: Importance,
    /// Whether it is never evicted once loaded.
    pub pinned: bool,
    /// The maximum number of requests that may wait for it.
    pub queue: u32,
    /// A digest of the served name, for rendezvous hashing.
    pub digest: u64,
    /// Whether the active document still contains it.
    pub current: bool,
}

impl Revision {
    /// Returns whether the revision may run in `region`.
    pub fn may_run_in(&self, region: &str) -> bool {
        self.regions.is_empty() || self.regions.iter().any(|allowed| &**allowed == region)
    }
}

/// The index of the active document.
#[derive(Debug, Default)]
pub struct Catalog {
    revisions: SlotMap<key::Revision, Revision>,
    by_name: Map<Arc<str>, key::Revision>,
    defaults: Map<Arc<str>, key::Revision>,
    pools: Map<Arc<str>, Pool>,
    services: Map<Arc<str>, Service>,
    policy: Policy,
}

impl Catalog {
    /// Updates the index to `document`.
    ///
    /// A revision keeps its key from one document to the next, so that references from requests and
    /// engines stay valid. A revision that the document no longer has is kept, marked as not current.
    pub fn apply(&mut self, document: &Document) {
        self.policy = document.policy.clone();
        self.pools = document.pools.iter().map(|pool| (pool.name.clone(), pool.clone())).collect();
        self.services = document
            .services
            .iter()
            .map(|service| (service.name.clone(), service.clone()))
            .collect();
        self.defaults.clear();
        for revision in self.revisions.values_mut() {
            revision.current = false;
        }
        for adapter in &document.adapters {
            self.put_adapter(adapter);
        }
    }

    /// Updates the index by a change of the document.
    ///
    /// The cost is proportional to the number of changed adapters, except for one pass over all
    /// revisions.
    pub fn apply_delta(&mut self, delta: &Delta) {
        if let Some(policy) = &delta.policy {
            self.policy = policy.clone();
        }
        if let Some(pools) = &delta.pools {
            self.pools = pools.iter().map(|pool| (pool.name.clone(), pool.clone())).collect();
        }
        if let Some(services) = &delta.services {
            let named = services.iter().map(|service| (service.name.clone(), service.clone()));
            self.services = named.collect();
        }
        let changed: Set<&str> = delta.names().map(|name| &**name).collect();
        self.defaults.retain(|adapter, _| !changed.contains(&**adapter));
        for revision in self.revisions.values_mut() {
            revision.current &= !changed.contains(&*revision.adapter);
        }
        for adapter in &delta.put {
            self.put_adapter(adapter);
        }
    }

    /// Returns the revision that a request's `model` names: `adapter@version` or `adapter`.
    pub fn resolve(&self, model: &str) -> Option<key::Revision> {
        if let Some(key) = self.defaults.get(model) {
            return Some(*key);
        }
        let key = *self.by_name.get(model)?;
        self.revisions[key].current.then_some(key)
    }

    /// Returns the revision with a served name, current or not.
    pub fn find(&self, name: &str) -> Option<key::Revision> {
        self.by_name.get(name).copied()
    }

    /// Returns the revision with a served name, and inserts it as not current if no document has had
    /// it, so that it can be unloaded from an engine that holds it.
    pub fn intern(&mut self, name: &str) -> key::Revision {
        if let Some(key) = self.find(name) {
            return key;
        }
        let (adapter, version) = name.split_once('@').unwrap_or((name, ""));
        self.put(Revision {
            name: name.into(),
            adapter: adapter.into(),
            version: version.into(),
            model: "".into(),
            regions: Vec::new(),
            importance: Importance::default(),
            pinned: false,
            queue: 0,
            digest: digest(name),
            current: false,
        })
    }

    /// Returns a revision.
    pub fn revision(&self, key: key::Revision) -> &Revision {
        &self.revisions[key]
    }

    /// Returns all current revisions.
    pub fn current(&self) -> impl Iterator<Item = (key::Revision, &Revision)> {
        self.revisions.iter().filter(|(_, revision)| revision.current)
    }

    /// Returns a pool.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.get(name)
    }

    /// Returns a plain service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns the policy.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    fn put_adapter(&mut self, adapter: &Adapter) {
        for version in &adapter.versions {
            let name: Arc<str> = format!("{}@{version}", adapter.name).into();
            let revision = Revision {
                digest: digest(&*name),
                name,
                adapter: adapter.name.clone(),
                version: version.clone(),
                model: adapter.model.clone(),
                regions: adapter.regions.clone(),
                importance: adapter.importance,
                pinned: adapter.pinned,
                queue: adapter.queue,
                current: true,
            };
            let key = self.put(revision);
            if *version == adapter.default {
                self.defaults.insert(adapter.name.clone(), key);
            }
        }
    }

    fn put(&mut self, revision: Revision) -> key::Revision {
        if let Some(key) = self.by_name.get(&revision.name) {
            self.revisions[*key] = revision;
            return *key;
        }
        let name = revision.name.clone();
        let key = self.revisions.insert(revision);
        self.by_name.insert(name, key);
        key
    }
}
