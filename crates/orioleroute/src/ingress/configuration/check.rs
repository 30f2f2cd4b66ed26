//! What makes a configuration valid beyond the types of its values.
//!
//! The store is said to accept only valid configurations. One that is not would take the requests of whole routes away
//! at every instance, so it is not put in force, and the one before it stays.

use super::{Engine, Limits, Organisation, Route, Service};
use crate::hash::{Map, Set};

/// Why a configuration is not valid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{cause}")]
pub struct Invalid {
    /// Where the fault is.
    pub place: Place,
    /// What is wrong there.
    pub cause: &'static str,
}

/// A place in a configuration. Routes, services, models and organisations are numbered from 0 in the order in which they
/// were given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// The routes.
    Routes,
    /// A part of a route.
    Route(usize, RoutePart),
    /// The name of a service.
    ServiceName(usize),
    /// The slots of the engine of a service.
    EngineSlots(usize),
    /// The name of a model of the engine of a service.
    ModelName {
        /// The service.
        service: usize,
        /// The model.
        model: usize,
    },
    /// A limit.
    Limit(Limit),
    /// A part of an organisation.
    Organisation(usize, OrganisationPart),
}

/// A part of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutePart {
    /// The host.
    Host,
    /// The path prefix.
    Prefix,
    /// The maximum time that a client is kept waiting.
    Timeout,
    /// The maximum number of upstreams.
    Attempts,
    /// The services.
    Targets,
}

/// A limit on client requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// The size of a request head.
    HeadBytes,
    /// The time for a request head.
    HeadTimeout,
    /// The time between requests.
    IdleTimeout,
}

/// A part of an organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrganisationPart {
    /// The name.
    Name,
    /// The keys.
    Keys,
    /// The quota.
    Quota,
}

/// Checks the parts of a configuration, alone and beside each other.
pub(super) fn check(
    routes: &[Route],
    services: &[Service],
    limits: &Limits,
) -> Result<(), Invalid> {
    require(!routes.is_empty(), Place::Routes, "there are none")?;
    let mut names: Set<&str> = Set::default();
    for (index, service) in services.iter().enumerate() {
        let place = Place::ServiceName(index);
        require(!service.name.is_empty(), place, "the service has no name")?;
        require(names.insert(&service.name), place, "the service is there twice")?;
        if let Some(engine) = &service.engine {
            check_engine(engine, index)?;
        }
    }
    let mut prefixes: Set<(&str, &str)> = Set::default();
    for (index, route) in routes.iter().enumerate() {
        check_route(route, index, &names)?;
        let is_new = prefixes.insert((&route.host, &route.prefix));
        let place = Place::Route(index, RoutePart::Prefix);
        require(is_new, place, "the route has the host and prefix of another one")?;
    }
    check_limits(limits)
}

fn check_route(route: &Route, index: usize, services: &Set<&str>) -> Result<(), Invalid> {
    let place = |part| Place::Route(index, part);
    let has_slashes = route.prefix.starts_with('/') && route.prefix.ends_with('/');
    let is_known = |target: &super::Target| services.contains(&*target.service);
    let has_weight = route.targets.iter().any(|target| target.weight > 0);
    let are_known = route.targets.iter().all(is_known);
    require(!route.host.is_empty(), place(RoutePart::Host), "the route has no host")?;
    require(has_slashes, place(RoutePart::Prefix), "does not begin and end with a slash")?;
    require(!route.timeout.is_zero(), place(RoutePart::Timeout), "leaves no time")?;
    require(route.attempts > 0, place(RoutePart::Attempts), "allows no attempt")?;
    require(has_weight, place(RoutePart::Targets), "the route has no service")?;
    require(are_known, place(RoutePart::Targets), "names a service that is not there")
}

fn check_engine(engine: &Engine, service: usize) -> Result<(), Invalid> {
    require(engine.slots > 0, Place::EngineSlots(service), "the engine has no slots")?;
    let mut names: Set<&str> = Set::default();
    for (index, model) in engine.models.iter().enumerate() {
        let place = Place::ModelName { service, model: index };
        require(!model.name.is_empty(), place, "the model has no name")?;
        require(names.insert(&model.name), place, "the model is there twice")?;
    }
    Ok(())
}

fn check_limits(limits: &Limits) -> Result<(), Invalid> {
    let place = Place::Limit;
    require(limits.max_head_bytes > 0, place(Limit::HeadBytes), "allows no request head")?;
    let has_head_time = !limits.head_timeout.is_zero();
    require(has_head_time, place(Limit::HeadTimeout), "leaves no time for a request head")?;
    let has_idle_time = !limits.idle_timeout.is_zero();
    require(has_idle_time, place(Limit::IdleTimeout), "leaves no time between requests")
}

/// Checks the organisations, alone and beside each other.
pub(super) fn check_organisations(organisations: &[Organisation]) -> Result<(), Invalid> {
    let mut names: Set<&str> = Set::default();
    // A key is named by its organisation only.
    let mut owners: Map<String, &str> = Map::default();
    for (index, organisation) in organisations.iter().enumerate() {
        let place = |part| Place::Organisation(index, part);
        let name = place(OrganisationPart::Name);
        require(!organisation.name.is_empty(), name, "the organisation has no name")?;
        require(names.insert(&organisation.name), name, "the organisation is there twice")?;
        for digest in &organisation.keys {
            let owner = *owners.entry(digest.to_string()).or_insert(&organisation.name);
            let is_own = owner == &*organisation.name;
            let keys = place(OrganisationPart::Keys);
            require(is_own, keys, "the organisation has a key that another one has")?;
        }
        if let Some(quota) = &organisation.quota {
            let is_rate = quota.rate.is_finite() && quota.rate > 0.0;
            let is_burst = quota.burst.is_finite() && quota.burst >= 0.0;
            let quota = place(OrganisationPart::Quota);
            require(is_rate && is_burst, quota, "the quota is no number of units")?;
        }
    }
    Ok(())
}

fn require(holds: bool, place: Place, cause: &'static str) -> Result<(), Invalid> {
    if holds { Ok(()) } else { Err(Invalid { place, cause }) }
}
