//! Checks of a document beyond its JSON schema.

use std::fmt::Display;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{Document, FORMAT, schema};
use crate::hash::Set;

/// A fault in a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{path}: found {found}, allowed is {allowed}")]
pub struct Fault {
    /// The path of the value in the document.
    pub path: String,
    /// What was found there.
    pub found: String,
    /// What is allowed there.
    pub allowed: String,
}

impl Fault {
    pub(super) fn new(
        path: impl Into<String>,
        found: impl Display,
        allowed: impl Into<String>,
    ) -> Self {
        Self { path: path.into(), found: found.to_string(), allowed: allowed.into() }
    }
}

/// Decodes a document from JSON text, and returns all faults of types and fields.
pub(super) fn parse(text: &str) -> Result<Document, Vec<Fault>> {
    let value: Value = serde_json::from_str(text)
        .map_err(|error| vec![Fault::new("document", error, "JSON text")])?;
    let faults = schema::faults(&value);
    if !faults.is_empty() {
        return Err(faults);
    }
    serde_path_to_error::deserialize(&value).map_err(|error| {
        let path = error.path().to_string();
        let cause = error.into_inner();
        vec![Fault::new(path, cause, "a document of the published schema")]
    })
}

/// Returns every fault of a decoded document.
pub(super) fn faults(document: &Document) -> Vec<Fault> {
    let mut faults = Vec::new();
    if document.format != FORMAT {
        faults.push(Fault::new("format", document.format, FORMAT.to_string()));
    }
    let models =
        check_names(&mut faults, "models", document.models.iter().map(|model| &*model.name));
    check_names(&mut faults, "pools", document.pools.iter().map(|pool| &*pool.name));
    check_names(&mut faults, "adapters", document.adapters.iter().map(|adapter| &*adapter.name));
    check_names(&mut faults, "services", document.services.iter().map(|service| &*service.name));
    check_pools(document, &models, &mut faults);
    check_adapters(document, &models, &mut faults);
    check_policy(document, &mut faults);
    faults
}

fn check_pools(document: &Document, models: &Set<&str>, faults: &mut Vec<Fault>) {
    for (index, pool) in document.pools.iter().enumerate() {
        let path = |field: &str| format!("pools[{index}].{field}");
        if !models.contains(&*pool.model) {
            faults.push(Fault::new(path("model"), &pool.model, "the name of a model"));
        }
        if pool.slots == 0 {
            faults.push(Fault::new(path("slots"), pool.slots, "at least 1"));
        }
        if pool.concurrency == 0 {
            faults.push(Fault::new(path("concurrency"), pool.concurrency, "at least 1"));
        }
    }
}

fn check_adapters(document: &Document, models: &Set<&str>, faults: &mut Vec<Fault>) {
    for (index, adapter) in document.adapters.iter().enumerate() {
        let path = |field: &str| format!("adapters[{index}].{field}");
        if adapter.name.contains('@') {
            faults.push(Fault::new(path("name"), &adapter.name, "a name without @"));
        }
        if !models.contains(&*adapter.model) {
            faults.push(Fault::new(path("model"), &adapter.model, "the name of a model"));
        }
        if adapter.versions.is_empty() {
            faults.push(Fault::new(path("versions"), "no version", "at least 1 version"));
        }
        let mut seen = Set::default();
        for (index, version) in adapter.versions.iter().enumerate() {
            let path = path(&format!("versions[{index}]"));
            if version.is_empty() {
                faults.push(Fault::new(path, "an empty name", "a name"));
            } else if !seen.insert(version) {
                faults.push(Fault::new(path, version, "a version named once"));
            }
        }
        for (index, region) in adapter.regions.iter().enumerate() {
            if region.is_empty() {
                let path = path(&format!("regions[{index}]"));
                faults.push(Fault::new(path, "an empty name", "the name of a region"));
            }
        }
        if !adapter.versions.contains(&adapter.default) {
            faults.push(Fault::new(path("default"), &adapter.default, "one of the versions"));
        }
    }
}

fn check_policy(document: &Document, faults: &mut Vec<Fault>) {
    let policy = &document.policy;
    if policy.loads_in_transit == 0 {
        faults.push(Fault::new("policy.loads_in_transit", 0, "at least 1"));
    }
    if policy.deadline_ms == 0 {
        faults.push(Fault::new("policy.deadline_ms", 0, "at least 1"));
    }
    for (name, weight) in
        [("stall_weight", policy.stall_weight), ("batch_weight", policy.batch_weight)]
    {
        if !(weight >= 0.0 && weight.is_finite()) {
            faults.push(Fault::new(format!("policy.{name}"), weight, "0 or more"));
        }
    }
}

/// Returns the set of names, and adds a fault for each empty or duplicate name.
fn check_names<'a>(
    faults: &mut Vec<Fault>,
    list: &str,
    names: impl Iterator<Item = &'a str>,
) -> Set<&'a str> {
    let mut seen = Set::default();
    for (index, name) in names.enumerate() {
        if name.is_empty() {
            faults.push(Fault::new(format!("{list}[{index}].name"), "an empty name", "a name"));
        }
        if !seen.insert(name) {
            faults.push(Fault::new(format!("{list}[{index}].name"), name, "a name used once"));
        }
    }
    seen
}
