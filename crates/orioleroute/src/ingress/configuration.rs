//! An accepted configuration: routes by host and path prefix, services, and limits.

use crate::hash;
use crate::prelude::*;

/// An accepted configuration.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Its version; a later configuration has a higher one.
    pub version: u64,
    /// The routes of each host, longest prefix first.
    routes: Map<Arc<str>, Vec<Arc<Route>>>,
    /// The services by name.
    pub services: Map<Arc<str>, Service>,
    /// What a client may send.
    pub limits: Limits,
}

impl Configuration {
    /// Returns a configuration of these parts.
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
        Self { version, routes: by_host, services: services.collect(), limits }
    }

    /// Returns the route with the longest prefix of `path` on `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes.get(host)?.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns how many routes there are.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}

/// Where requests of one host and path prefix go.
#[derive(Clone, Debug)]
pub struct Route {
    /// The route's name.
    pub name: Arc<str>,
    /// The host.
    pub host: Arc<str>,
    /// The start of the paths, with a slash at both ends.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: Kind,
    /// The longest time that a request may be kept waiting.
    pub timeout: Duration,
    /// The time within which an answer, or the first event of a stream, is on time.
    pub objective: Duration,
    /// The rank of its requests; 0 is served first.
    pub priority: u8,
    /// The most upstreams to which one attempt may be sent.
    pub attempts: u32,
    /// Whether a broken stream may go on at another upstream.
    pub is_resumable: bool,
    /// The services that answer.
    pub targets: Vec<Target>,
}

impl Route {
    /// Returns the service for the attempt `id`, by the weights of the targets.
    ///
    /// The same id gets the same service at every instance, so that a retry inside one attempt
    /// does not cross from one side of a split to the other.
    pub fn service(&self, id: &str) -> Option<&Arc<str>> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut point = hash::digest(id).checked_rem(total)?;
        for target in &self.targets {
            match point.checked_sub(u64::from(target.weight)) {
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

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// The request may run more than once.
    Idempotent,
    /// An attempt may run at most once.
    NonIdempotent,
    /// The answer is a stream of events; an attempt may run at most once unless it is resumable.
    Stream,
}

/// A service that gets a share of a route's requests.
#[derive(Clone, Debug)]
pub struct Target {
    /// The service.
    pub service: Arc<str>,
    /// Its share, relative to the other targets'.
    pub weight: u32,
}

/// A group of upstreams that answer the same requests.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// The connections that one upstream accepts from all instances together.
    pub connections: usize,
    /// What its upstreams can hold, if they are model engines.
    pub engine: Option<Engine>,
}

/// What each model engine of a service can hold.
#[derive(Clone, Debug)]
pub struct Engine {
    /// The requests that run at once.
    pub slots: usize,
    /// The tokens that fit into its cache.
    pub cache_tokens: u64,
    /// The adapters that it holds at once, those being loaded included.
    pub adapter_places: usize,
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
    /// The memory that it takes, in MB.
    pub weights_mb: f64,
    /// The memory that one of its adapters takes, in MB.
    pub adapter_mb: f64,
    /// How long it loads from the weight store when nothing else loads.
    pub load_time: Duration,
}

/// What a client may send, and how long it may take or stay idle.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The longest head, in bytes.
    pub head_bytes: usize,
    /// The longest body, in bytes.
    pub body_bytes: usize,
    /// The longest time from the first byte of a head to its end.
    pub head_time: Duration,
    /// The longest time between two requests on a connection.
    pub idle_time: Duration,
}

impl Default for Limits {
    /// Returns what holds until a configuration is known: the usual limits of HTTP servers.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}
