//! The groups of engines of a deployment, and its configuration.

use std::collections::BTreeMap;

use orioleroute::document::Document;
use orioleroute::fleet::Fleet;
use orioleroute::hash::{digest, weight};
use orioleroute::key;

use super::{Deployment, Policy};

/// The engines that share one queue of requests waiting for loads.
pub(super) struct Group {
    /// The index of their region.
    pub region: usize,
    /// Their indices.
    pub engines: Vec<usize>,
}

/// Returns the groups of a policy, and the indices of the groups in each region.
///
/// The groups of this project's policy are the engines owned by each instance.
pub(super) fn groups(
    deployment: &Deployment,
    policy: Policy,
    fleet: &Fleet,
    keys: &[key::Upstream],
) -> (Vec<Group>, Vec<Vec<usize>>) {
    let region_of = |engine: usize| engine / deployment.engines_per_region;
    let mut homes = vec![Vec::new(); deployment.regions];
    let group = |engines: Vec<usize>| Group { region: region_of(engines[0]), engines };
    let groups: Vec<Group> = match policy {
        Policy::Random | Policy::Hashed | Policy::HashedGlobally => {
            (0..keys.len()).map(|engine| group(vec![engine])).collect()
        }
        Policy::LeastLoaded => (0..deployment.regions)
            .map(|region| {
                group(
                    (region * deployment.engines_per_region
                        ..(region + 1) * deployment.engines_per_region)
                        .collect(),
                )
            })
            .collect(),
        Policy::Orioleroute(_) => {
            let mut engines_by_owner: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
            for (engine, key) in keys.iter().enumerate() {
                let first = region_of(engine) * deployment.instances_per_region;
                let upstream = fleet.get(*key).map_or(0, |upstream| upstream.digest);
                let owner_weight =
                    |owner: &usize| weight(upstream, digest(&*format!("node-{owner}")));
                let owner =
                    (first..first + deployment.instances_per_region).max_by_key(owner_weight);
                engines_by_owner
                    .entry(owner.expect("a region has instances"))
                    .or_default()
                    .push(engine);
            }
            engines_by_owner.into_values().map(group).collect()
        }
    };
    for (index, group) in groups.iter().enumerate() {
        homes[group.region].push(index);
    }
    (groups, homes)
}

/// Returns a configuration document with the adapters of a deployment.
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
    Document::from_json(&document.to_string()).expect("the document is valid")
}
