//! Places at model engines, asked of the zones' schedulers.

use std::net::SocketAddr;
use std::rc::Rc;

use orioleroute::hash;
use orioleroute::ingress::Configuration;
use orioleroute::ingress::attempt::Generation;
use orioleroute::ingress::health::Outcome;
use orioleroute::prelude::*;
use orioleroute::scheduler::message::{
    Grant, Placement, Reason, RunResult, ToInstance, ToScheduler,
};

use slog::debug;

use super::link;
use super::state::Gateway;

/// The least time that must be left for asking another zone's scheduler: a round trip between
/// regions and a place there.
const ELSEWHERE_TIME: Duration = Duration::from_millis(200);

/// What a request needs of an engine.
pub struct Need<'a> {
    /// The service.
    pub service: &'a Arc<str>,
    /// What is to be generated.
    pub generation: &'a Generation,
    /// Its rank.
    pub priority: u8,
    /// When its client leaves.
    pub deadline: Instant,
    /// When its answer is late.
    pub objective: Instant,
    /// Engines that have failed it.
    pub excluded: &'a [Arc<str>],
    /// The client's id of the attempt.
    pub attempt: Option<&'a Arc<str>>,
    /// Whether the client was refused before and has come back.
    pub is_return: bool,
}

/// A place at an engine, given back when dropped.
pub struct Permit {
    gateway: Rc<Gateway>,
    origin: Origin,
    /// The engine.
    pub upstream: Arc<str>,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The version of the adapter that it holds, if known.
    pub version: Option<u64>,
}

/// How a place came about, and so whom its end concerns.
enum Origin {
    /// A scheduler was asked for it.
    Scheduled { route: link::Route, ticket: u64 },
    /// This instance chose the upstream itself.
    Unscheduled { begun: Instant },
    /// It has been given back.
    Ended,
}

/// Why there is no place.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When one is likely.
    pub retry_after: Duration,
}

impl Permit {
    /// Tells the scheduler of the first event.
    pub fn started(&self) {
        if let Origin::Scheduled { route, ticket } = &self.origin {
            route.send(&self.gateway, ToScheduler::Started { ticket: *ticket });
        }
    }

    /// Gives the place back and tells how the request ended.
    pub fn end(mut self, result: RunResult) {
        self.give_back(result);
    }

    fn give_back(&mut self, result: RunResult) {
        match std::mem::replace(&mut self.origin, Origin::Ended) {
            Origin::Scheduled { route, ticket } => {
                route.forget(&self.gateway, ticket);
                route.send(&self.gateway, ToScheduler::Ended { ticket, result: Some(result) });
            }
            Origin::Unscheduled { begun } => {
                let now = self.gateway.now();
                let outcome = match result {
                    RunResult::Answered => Outcome::Answered(now.since(begun)),
                    other => other.into(),
                };
                self.gateway.health().entry(self.upstream.clone()).or_default().end(outcome, now);
            }
            Origin::Ended => {}
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.give_back(RunResult::Abandoned);
    }
}

/// Asks the schedulers for a place: that of this instance's zone, then that of the adapter's home
/// zone, and if none answers, takes an engine that is listed with the adapter.
///
/// Adapters that few ask for are fetched by one zone only, which has them warm when they are next
/// asked for anywhere.
pub async fn find(gateway: &Rc<Gateway>, need: &Need<'_>) -> Result<Permit, Refusal> {
    let own: Arc<str> = gateway.settings().zone.as_str().into();
    let home = home_zone(gateway, need.generation).unwrap_or_else(|| own.clone());
    let first = match ask(gateway, &own, need, home == own).await {
        Ok(permit) => return Ok(permit),
        Err(refusal) => refusal,
    };
    let second = match first.reason {
        Reason::NotHere => Some(home),
        // Without a scheduler the own zone's engines still serve what they hold.
        Reason::NotScheduler => match listed(gateway, need, Some(&own)) {
            Some(permit) => return Ok(permit),
            None => other_zone(gateway, &own, home),
        },
        Reason::Overloaded | Reason::NoEngine => {
            let left = need.objective.since(gateway.now());
            (left > ELSEWHERE_TIME).then(|| other_zone(gateway, &own, home)).flatten()
        }
        Reason::TooLate => None,
    };
    let refusal = match second {
        Some(zone) => match ask(gateway, &zone, need, true).await {
            Ok(permit) => return Ok(permit),
            Err(refusal) => refusal,
        },
        None => first,
    };
    // The home zone cannot help: the own zone may fetch the adapter after all.
    let is_left_alone = matches!(refusal.reason, Reason::NotScheduler | Reason::NoEngine);
    let refusal = match first.reason == Reason::NotHere && is_left_alone {
        true => match ask(gateway, &own, need, true).await {
            Ok(permit) => return Ok(permit),
            Err(refusal) => refusal,
        },
        false => refusal,
    };
    if refusal.reason == Reason::NotScheduler {
        return listed(gateway, need, None)
            .ok_or(Refusal { reason: Reason::NoEngine, retry_after: UNSCHEDULED_RETRY });
    }
    Err(refusal)
}

/// When to come back if nobody schedules the zone and no engine is listed with the adapter: about
/// the time until there is a new scheduler.
const UNSCHEDULED_RETRY: Duration = Duration::from_millis(1_000);

async fn ask(
    gateway: &Rc<Gateway>,
    zone: &Arc<str>,
    need: &Need<'_>,
    may_fetch: bool,
) -> Result<Permit, Refusal> {
    let unscheduled = Refusal { reason: Reason::NotScheduler, retry_after: Duration::ZERO };
    let holder = gateway.leadership.leader(zone).map(|leader| leader.holder);
    let address = holder
        .as_ref()
        .and_then(|holder| gateway.roster().member(holder).map(|member| member.peer_address));
    let route = address.and_then(|address| link::Route::to(gateway, address));
    let (Some(route), Some(holder)) = (route, holder) else { return Err(unscheduled) };
    let ticket = gateway.links.next_ticket();
    // A permit that is dropped before the scheduler's answer withdraws the request.
    let mut permit = Permit {
        gateway: gateway.clone(),
        origin: Origin::Scheduled { route: route.clone(), ticket },
        upstream: "".into(),
        address: gateway.settings().peer_address,
        version: None,
    };
    let mut answers = route.expect(gateway, ticket);
    let placement = Placement { may_fetch, ..placement(gateway, zone, ticket, need) };
    route.send(gateway, ToScheduler::Place(Box::new(placement)));
    let mut timeout = FIRST_ANSWER;
    loop {
        match monoio::time::timeout(timeout, answers.recv()).await {
            Ok(Some(ToInstance::Queued { .. })) => timeout = QUEUE_CHECK,
            Ok(Some(ToInstance::Grant(Grant { upstream, address, version, .. }))) => {
                permit.upstream = upstream;
                permit.address = address;
                permit.version = version;
                return Ok(permit);
            }
            Ok(Some(ToInstance::Refuse { retry_after_ms, reason, .. })) => {
                permit.origin = Origin::Ended;
                return Err(Refusal { reason, retry_after: Duration::from_millis(retry_after_ms) });
            }
            Ok(None) => {
                permit.origin = Origin::Ended;
                return Err(unscheduled);
            }
            Err(_) => {
                let is_waiting = timeout == QUEUE_CHECK;
                if is_waiting && gateway.roster().is_responsive(&holder, gateway.now()) {
                    continue;
                }
                debug!(gateway.log, "scheduler silent"; "request" => need.attempt.map(|id| &**id),
                    "zone" => &**zone, "scheduler" => &*holder);
                route.suspect(gateway);
                route.forget(gateway, ticket);
                return Err(unscheduled);
            }
        }
    }
}

/// The longest wait for a scheduler's first answer: a round trip between regions takes 24 ms, and a
/// busy processor some tens of milliseconds.
const FIRST_ANSWER: Duration = Duration::from_millis(150);

/// How often an instance looks whether the scheduler with which a request waits still lives.
const QUEUE_CHECK: Duration = Duration::from_millis(300);

fn placement(gateway: &Gateway, zone: &Arc<str>, ticket: u64, need: &Need<'_>) -> Placement {
    let now = gateway.now();
    let generation = need.generation;
    let adapter = generation.adapter.as_ref();
    Placement {
        ticket,
        zone: zone.clone(),
        service: need.service.clone(),
        model: generation.model.clone(),
        adapter: adapter.cloned(),
        version: adapter.and_then(|adapter| gateway.version(&generation.model, adapter)),
        prompt_tokens: generation.prompt_tokens,
        output_tokens: generation.output_tokens,
        parts: generation.parts.clone(),
        priority: need.priority,
        time_left_ms: need.deadline.since(now).as_millis() as u64,
        objective_left_ms: need.objective.since(now).as_millis() as u64,
        excluded: need.excluded.to_vec(),
        attempt: need.attempt.cloned(),
        is_return: need.is_return,
        may_fetch: true,
    }
}

/// Returns the zone that fetches an adapter which few ask for.
fn home_zone(gateway: &Gateway, generation: &Generation) -> Option<Arc<str>> {
    let item = hash::digest(&generation.adapter);
    let zones = gateway.leadership.zones();
    hash::winner(item, zones.iter().map(|zone| (hash::digest(&**zone), zone))).cloned()
}

/// Returns the zone to which requests overflow: the adapter's home, or else any other.
fn other_zone(gateway: &Gateway, own: &str, home: Arc<str>) -> Option<Arc<str>> {
    if *home != *own {
        return Some(home);
    }
    gateway.leadership.zones().into_iter().find(|zone| **zone != *own)
}

/// Returns an engine, of one zone or any, that is listed with what the request needs, for when no
/// scheduler answers.
fn listed(gateway: &Rc<Gateway>, need: &Need<'_>, zone: Option<&str>) -> Option<Permit> {
    let now = gateway.now();
    let generation = need.generation;
    let registry = gateway.registry();
    let health = gateway.health();
    let wanted = generation
        .adapter
        .as_ref()
        .map(|adapter| (adapter, gateway.version(&generation.model, adapter).unwrap_or_default()));
    let usable = registry.ready(need.service).filter(|upstream| {
        let has_adapter = wanted.is_none_or(|(adapter, newest)| {
            upstream.version(&generation.model, adapter).is_some_and(|held| held >= newest)
        });
        has_adapter
            && zone.is_none_or(|zone| *zone == *upstream.zone)
            && upstream.has_model(&generation.model)
            && !need.excluded.contains(&upstream.id)
            && !health.get(&upstream.id).is_some_and(|health| health.is_ejected(now))
    });
    let costs = usable.map(|upstream| {
        let health = health.get(&upstream.id).cloned().unwrap_or_default();
        (health.cost(upstream.slots, distance(gateway, &upstream.zone)), upstream)
    });
    let (_, best) = costs.min_by(|(one, _), (other, _)| one.total_cmp(other))?;
    let (upstream, address) = (best.id.clone(), best.address);
    let version = wanted.and_then(|(adapter, _)| best.version(&generation.model, adapter));
    drop((registry, health));
    // What the list says may be a second old; the engine checks the version.
    let mut permit = unscheduled_permit(gateway, upstream, address);
    permit.version = version;
    Some(permit)
}

/// Takes the upstream of a plain service with the least expected cost.
pub fn plain(
    gateway: &Rc<Gateway>,
    service: &str,
    excluded: &[Arc<str>],
) -> Result<Permit, Refusal> {
    let now = gateway.now();
    let best = {
        let registry = gateway.registry();
        let health = gateway.health();
        let costs = registry
            .ready(service)
            .filter(|upstream| {
                !excluded.contains(&upstream.id)
                    && !health.get(&upstream.id).is_some_and(|health| health.is_ejected(now))
            })
            .map(|upstream| {
                let distance = distance(gateway, &upstream.zone);
                let cost = health.get(&upstream.id).cloned().unwrap_or_default();
                (cost.cost(upstream.slots, distance), upstream)
            });
        let best = costs.min_by(|(one, _), (other, _)| one.total_cmp(other));
        best.map(|(_, upstream)| (upstream.id.clone(), upstream.address))
    };
    let refusal = Refusal { reason: Reason::NoEngine, retry_after: UNLISTED_RETRY };
    let (upstream, address) = best.ok_or(refusal)?;
    Ok(unscheduled_permit(gateway, upstream, address))
}

/// When to come back if a service has no upstream that can be used: about the length of an ejection.
const UNLISTED_RETRY: Duration = Duration::from_millis(400);

/// The extra time of an upstream in another availability zone of the region, which also costs more.
const ZONE_DISTANCE: Duration = Duration::from_millis(3);

/// The extra time of an upstream in another region: a round trip of 24 ms.
const REGION_DISTANCE: Duration = Duration::from_millis(30);

fn distance(gateway: &Gateway, zone: &str) -> Duration {
    let settings = gateway.settings();
    if *zone == *settings.zone {
        return Duration::ZERO;
    }
    match gateway.region_of(zone).is_some_and(|region| region == settings.region) {
        true => ZONE_DISTANCE,
        false => REGION_DISTANCE,
    }
}

fn unscheduled_permit(gateway: &Rc<Gateway>, upstream: Arc<str>, address: SocketAddr) -> Permit {
    gateway.health().entry(upstream.clone()).or_default().begin();
    let begun = gateway.now();
    Permit {
        gateway: gateway.clone(),
        origin: Origin::Unscheduled { begun },
        upstream,
        address,
        version: None,
    }
}

/// Returns whether a service's upstreams are model engines.
pub fn has_engine(configuration: &Configuration, service: &str) -> bool {
    configuration.services.get(service).is_some_and(|service| service.engine.is_some())
}
