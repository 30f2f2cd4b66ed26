//! The engines of a deployment, their owners and its configuration.

use std::collections::BTreeMap;

use orioleroute::document::Document;
use orioleroute::fleet::Fleet;
use orioleroute::hash::{digest, weight};
use orioleroute::key;

use super::{Deployment, Policy};

/// Engines that load for one queue of waiting requests.
pub(super) struct Group {
    /// The number of their region.
    pub region: usize,
    /// Their numbers.
    pub engines: Vec<usize>,
}

/// Returns the groups of a policy, and those of the owners by region.
pub(super) fn groups(
    deployment: &Deployment,
    policy: Policy,
    fleet: &Fleet,
    keys: &[key::Upstream],
) -> (Vec<Group>, Vec<Vec<usize>>) {
    let region_of = |engine: usize| engine / deployment.engines;
    let mut homes = vec![Vec::new(); deployment.regions];
    let group = |engines: Vec<usize>| Group { region: region_of(engines[0]), engines };
    let groups: Vec<Group> = match policy {
        Policy::Random | Policy::Hashed | Policy::HashedAcross => {
            (0..keys.len()).map(|engine| group(vec![engine])).collect()
        }
        Policy::LeastLoaded => (0..deployment.regions)
            .map(|region| {
                group((region * deployment.engines..(region + 1) * deployment.engines).collect())
            })
            .collect(),
        Policy::Ours(_) => {
            let mut owned: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
            for (engine, key) in keys.iter().enumerate() {
                let first = region_of(engine) * deployment.instances;
                let upstream = fleet.get(*key).map_or(0, |upstream| upstream.digest);
                let node = |owner: &usize| weight(upstream, digest(&*format!("node-{owner}")));
                let owner = (first..first + deployment.instances).max_by_key(node);
                owned.entry(owner.expect("a region has instances")).or_default().push(engine);
            }
            owned.into_values().map(group).collect()
        }
    };
    for (number, group) in groups.iter().enumerate() {
        homes[group.region].push(number);
    }
    (groups, homes)
}

/// Returns a document with the adapters of a deployment.
pub(super) fn configuration(deployment: &Deployment) -> Document {
    let adapters: Vec<_> = (0..deployment.adapters)
        .map(|adapter| {
            serde_json::json!({
                "name": format!("adapter-{adapter}"), "model": "base",
                "versions": ["v1"], "default": "v1",
            })
        })
        .collect();
    let pool = serde_json::json!({ "name": "pool", "model": "base", "slots": deployment.slots });
    let document = serde_json::json!({
        "format": 1, "models": [{ "name": "base" }], "pools": [pool], "adapters": adapters,
    });
    Document::from_json(&document.to_string()).expect("it is valid")
}
