//! The adapters and pools of the document in force, indexed for routing.

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
    /// How much its requests matter.
    pub importance: Importance,
    /// Whether it stays loaded once it is.
    pub pinned: bool,
    /// The requests that may wait for it.
    pub queue: u32,
    /// A digest of the served name, for rendezvous hashing.
    pub digest: u64,
    /// Whether the document in force still has it.
    pub current: bool,
}

impl Revision {
    /// Returns whether it may run in `region`.
    pub fn may_run_in(&self, region: &str) -> bool {
        self.regions.is_empty() || self.regions.iter().any(|allowed| &**allowed == region)
    }
}

/// The index of the document in force.
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
    /// Brings the index to `document`.
    ///
    /// A revision keeps its key from one document to the next, so that requests and engines that
    /// refer to it stay valid; one that the document dropped stays behind as not current.
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

    /// Brings the index of a document to the document that `delta` makes of it.
    ///
    /// Its cost grows with the adapters that change, save for one pass over the revisions.
    pub fn change(&mut self, delta: &Delta) {
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

    /// Returns the revision with a served name, which is made up as not current if no document has
    /// had it, so that an engine that holds it can be brought back to the document in force.
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
