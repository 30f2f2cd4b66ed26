//! What makes a configuration valid beyond the types of its values.
//!
//! The store is said to accept only valid configurations. One that is not would take the requests of whole routes away
//! at every instance, so it is not put in force, and the one before it stays.

use super::{Engine, Limits, Organisation, Route, Service};
use crate::hash::{Map, Set};

/// Why a configuration is not valid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{place}: {cause}")]
pub struct Invalid {
    /// The route, service or limit.
    pub place: String,
    /// What is wrong with it.
    pub cause: &'static str,
}

/// Checks the parts of a configuration, alone and beside each other.
pub(super) fn check(
    routes: &[Route],
    services: &[Service],
    limits: &Limits,
) -> Result<(), Invalid> {
    require(!routes.is_empty(), || "routes".into(), "there are none")?;
    let mut names: Set<&str> = Set::default();
    for service in services {
        let place = || format!("service {:?}", service.name);
        require(!service.name.is_empty(), place, "has no name")?;
        require(names.insert(&service.name), place, "is there twice")?;
        if let Some(engine) = &service.engine {
            check_engine(engine, &service.name)?;
        }
    }
    let mut prefixes: Set<(&str, &str)> = Set::default();
    for route in routes {
        check_route(route, &names)?;
        let is_new = prefixes.insert((&route.host, &route.prefix));
        let place = || format!("route {:?}", route.name);
        require(is_new, place, "has the host and prefix of another one")?;
    }
    check_limits(limits)
}

fn check_route(route: &Route, services: &Set<&str>) -> Result<(), Invalid> {
    let place = || format!("route {:?}", route.name);
    let has_slashes = route.prefix.starts_with('/') && route.prefix.ends_with('/');
    let is_known = |target: &super::Target| services.contains(&*target.service);
    let has_weight = route.targets.iter().any(|target| target.weight > 0);
    require(!route.host.is_empty(), place, "has no host")?;
    require(has_slashes, place, "has a prefix that does not begin and end with a slash")?;
    require(!route.timeout.is_zero(), place, "leaves no time")?;
    require(route.attempts > 0, place, "allows no attempt")?;
    require(has_weight, place, "has no service")?;
    require(route.targets.iter().all(is_known), place, "names a service that is not there")
}

fn check_engine(engine: &Engine, service: &str) -> Result<(), Invalid> {
    let place = || format!("engine of service {service:?}");
    let mut names: Set<&str> = Set::default();
    require(engine.slots > 0, place, "has no slots")?;
    let are_named = engine.models.iter().all(|model| !model.name.is_empty());
    require(are_named, place, "has a model without a name")?;
    let are_different = engine.models.iter().all(|model| names.insert(&model.name));
    require(are_different, place, "has two models of one name")
}

fn check_limits(limits: &Limits) -> Result<(), Invalid> {
    let place = || "limits".into();
    require(limits.max_head_bytes > 0, place, "allow no request head")?;
    require(!limits.head_timeout.is_zero(), place, "leave no time for a request head")?;
    require(!limits.idle_timeout.is_zero(), place, "leave no time between requests")
}

/// Checks the organisations, alone and beside each other.
pub(super) fn check_organisations(organisations: &[Organisation]) -> Result<(), Invalid> {
    let mut names: Set<&str> = Set::default();
    // A key is named by its organisation only.
    let mut owners: Map<String, &str> = Map::default();
    for organisation in organisations {
        let place = || format!("organisation {:?}", organisation.name);
        require(!organisation.name.is_empty(), place, "has no name")?;
        require(names.insert(&organisation.name), place, "is there twice")?;
        for digest in &organisation.keys {
            let owner = *owners.entry(digest.to_string()).or_insert(&organisation.name);
            let is_own = owner == &*organisation.name;
            require(is_own, place, "has a key that another one has")?;
        }
        if let Some(quota) = &organisation.quota {
            let is_rate = quota.rate.is_finite() && quota.rate > 0.0;
            let is_burst = quota.burst.is_finite() && quota.burst >= 0.0;
            require(is_rate && is_burst, place, "has a quota that is no number of units")?;
        }
    }
    Ok(())
}

fn require(
    holds: bool,
    place: impl FnOnce() -> String,
    cause: &'static str,
) -> Result<(), Invalid> {
    if holds { Ok(()) } else { Err(Invalid { place: place(), cause }) }
}
