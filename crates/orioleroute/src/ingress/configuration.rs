//! An accepted configuration: routes by host and path prefix, services, and limits.

mod check;

pub use check::{Invalid, Limit, OrganisationPart, Place, RoutePart};

use super::organisation::{Organisation, Organisations, Unidentified};
use super::priority::{Grade, Priority, Scale};
use crate::hash;
use crate::prelude::*;

/// An accepted configuration.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// The version; a later configuration has a higher one.
    pub version: u64,
    /// The routes of each host, longest prefix first.
    routes: Map<Arc<str>, Vec<Arc<Route>>>,
    /// The services, by name.
    pub services: Map<Arc<str>, Service>,
    /// The limits on client requests and connections.
    pub limits: Limits,
    /// The organisations whose requests carry keys. Without any, no request needs a key.
    pub organisations: Organisations,
    /// The priorities that the requests of each service can have.
    scales: Map<Arc<str>, Scale>,
}

impl Configuration {
    /// Returns a configuration with these routes, services and limits.
    pub fn new(
        version: u64,
        routes: impl IntoIterator<Item = Route>,
        services: impl IntoIterator<Item = Service>,
        limits: Limits,
    ) -> Self {
        let mut by_host: Map<Arc<str>, Vec<Arc<Route>>> = Map::default();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services.into_iter().map(|service| (service.name.clone(), service));
        let configuration = Self {
            version,
            routes: by_host,
            services: services.collect(),
            limits,
            organisations: Organisations::default(),
            scales: Map::default(),
        };
        configuration.with_scales()
    }

    /// Returns the configuration with these organisations.
    ///
    /// # Errors
    ///
    /// Fails with the first organisation that makes no sense, alone or beside the others.
    pub fn with_organisations(
        self,
        organisations: impl IntoIterator<Item = Organisation>,
    ) -> Result<Self, Invalid> {
        let organisations: Vec<Organisation> = organisations.into_iter().collect();
        check::check_organisations(&organisations)?;
        let organisations = organisations.into_iter().collect();
        Ok(Self { organisations, ..self }.with_scales())
    }

    /// Returns the configuration with the priorities that the requests of each service can have: those of its routes, and of
    /// the organisations, which may ask for any service.
    fn with_scales(self) -> Self {
        let mut priorities: Map<Arc<str>, Vec<Priority>> = Map::default();
        for route in self.routes.values().flatten() {
            for target in &route.targets {
                priorities.entry(target.service.clone()).or_default().push(route.priority);
            }
        }
        let of_organisations = || self.organisations.iter().filter_map(|it| it.priority);
        let scales = priorities
            .into_iter()
            .map(|(service, of_routes)| (service, of_routes.into_iter().chain(of_organisations())))
            .map(|(service, all)| (service, all.collect()));
        Self { scales: scales.collect(), ..self }
    }

    /// Returns the priority of a request for a service, with the levels that stand for it elsewhere.
    pub fn grade(&self, service: &str, priority: Priority) -> Grade {
        let scale = self.scales.get(service);
        scale.map_or(Grade { priority, ..Grade::default() }, |scale| scale.grade(priority))
    }

    /// Returns the organisation by whose key a request on a route is made, or `None` if the request needs no key and has
    /// none that is known.
    ///
    /// # Errors
    ///
    /// Fails if the route is not open and no organisation has the key.
    pub fn identify<'a>(
        &self,
        route: &Route,
        keys: impl IntoIterator<Item = &'a [u8]>,
    ) -> Result<Option<&Arc<Organisation>>, Unidentified> {
        if self.organisations.is_empty() {
            return Ok(None);
        }
        match self.organisations.identify(keys) {
            Ok(organisation) => Ok(Some(organisation)),
            Err(_) if route.is_open => Ok(None),
            Err(unidentified) => Err(unidentified),
        }
    }

    /// Returns a configuration with these routes, services and limits, if it is valid.
    ///
    /// # Errors
    ///
    /// Fails with the first value or reference that makes no sense.
    pub fn checked(
        version: u64,
        routes: impl IntoIterator<Item = Route>,
        services: impl IntoIterator<Item = Service>,
        limits: Limits,
    ) -> Result<Self, Invalid> {
        let routes: Vec<Route> = routes.into_iter().collect();
        let services: Vec<Service> = services.into_iter().collect();
        check::check(&routes, &services, &limits)?;
        Ok(Self::new(version, routes, services, limits))
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes.get(host)?.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}

/// A route, which sends the requests for one host and path prefix to services.
#[derive(Clone, Debug)]
pub struct Route {
    /// The route's name.
    pub name: Arc<str>,
    /// The host.
    pub host: Arc<str>,
    /// The path prefix, which begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether requests may be repeated, and whether responses are streams.
    pub kind: Kind,
    /// The maximum time that a client is kept waiting.
    pub timeout: Duration,
    /// The time within which a response, or the first event of a stream, is on time.
    pub objective: Duration,
    /// The priority of its requests; 0 is the highest.
    pub priority: Priority,
    /// The maximum number of upstreams to which one attempt may be sent.
    pub attempts: u32,
    /// Whether an interrupted stream may be resumed at another upstream.
    pub is_resumable: bool,
    /// Whether its requests need no key.
    pub is_open: bool,
    /// The longest pause between events with which a stream is on time, if the route states one.
    pub pause_objective: Option<Duration>,
    /// The services among which the requests are split.
    pub targets: Vec<Target>,
}

impl Route {
    /// Returns the service for the attempt `id`, chosen by the weights of the targets, or `None` if all
    /// weights are zero.
    ///
    /// The same id maps to the same service at every instance, so that a retry within an attempt stays
    /// on the same side of a traffic split.
    pub fn service(&self, id: &str) -> Option<&Arc<str>> {
        let total = self.targets.iter().map(|target| target.weight).fold(0, u64::saturating_add);
        let mut point = hash::digest(id).checked_rem(total)?;
        for target in &self.targets {
            match point.checked_sub(target.weight) {
                Some(rest) => point = rest,
                None => return Some(&target.service),
            }
        }
        None
    }

    /// Returns whether an attempt may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::NonIdempotent => false,
            Kind::Stream => self.is_resumable,
        }
    }
}

/// The kind of a route's requests, by which they may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// The request may run more than once.
    Idempotent,
    /// An attempt may run at most once.
    NonIdempotent,
    /// The response is a stream of events. An attempt may run at most once unless it is resumable.
    Stream,
}

/// A service that gets a share of a route's requests.
#[derive(Clone, Debug)]
pub struct Target {
    /// The service.
    pub service: Arc<str>,
    /// The target's share of the requests, relative to the weights of the other targets.
    pub weight: u64,
}

/// A group of upstreams that serve the same requests.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// The number of connections that one upstream accepts from all instances together.
    pub max_connections: usize,
    /// The path at which its upstreams say who they are and whether they are sound.
    pub health_path: Option<Arc<str>>,
    /// The capacity of its upstreams, if they are model engines.
    pub engine: Option<Engine>,
}

/// The capacity of each model engine of a service.
#[derive(Clone, Debug)]
pub struct Engine {
    /// The number of requests that it runs concurrently.
    pub slots: usize,
    /// The size of its cache, in tokens.
    pub cache_tokens: u64,
    /// The number of adapters that it holds at once, including those being loaded.
    pub adapter_slots: usize,
    /// The memory for weights and adapters, in MB.
    pub weights_mb: f64,
    /// The base models that it may hold.
    pub models: Vec<Model>,
}

/// A base model.
#[derive(Clone, Debug)]
pub struct Model {
    /// Its name.
    pub name: Arc<str>,
    /// The memory that its weights take, in MB.
    pub weights_mb: f64,
    /// The memory that one of its adapters takes, in MB.
    pub adapter_mb: f64,
    /// How long it takes to load from the weight store when nothing else is being loaded.
    pub load_time: Duration,
}

/// Limits on the size of client requests, and on the time for sending them and between them.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// The maximum time from the first byte of a request head to its end.
    pub head_timeout: Duration,
    /// The maximum time between two requests on a connection.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns the limits in effect until a configuration is known, which are usual for HTTP servers.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
