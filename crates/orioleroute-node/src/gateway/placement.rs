//! Acquires permits on model engines from the schedulers of the availability zones, or from this instance as a fallback.

use std::rc::Rc;

use orioleroute::hash;
use orioleroute::ingress::attempt::Generation;
use orioleroute::ingress::priority::Grade;
use orioleroute::ingress::{Configuration, Notice};
use orioleroute::prelude::*;
use orioleroute::scheduler::message::{Placement, Reason, ToInstance, ToScheduler};
use orioleroute::scheduler::overflow::{self, Load};
use orioleroute::scheduler::search::{Refused, Search, Step};

use slog::debug;

use super::permit::{Permit, Refusal};
use super::state::Gateway;
use super::{link, unscheduled};

/// A request for a permit on a model engine.
pub struct PermitRequest<'a> {
    /// The organisation whose request it is, if it is known.
    pub organisation: Option<&'a Arc<str>>,
    /// The service.
    pub service: &'a Arc<str>,
    /// The model, the adapter and the prompt.
    pub generation: &'a Generation,
    /// The priority of the request.
    pub grade: Grade,
    /// When the client stops waiting.
    pub deadline: Instant,
    /// When the target latency of the response, or of its first event, is exceeded.
    pub objective: Instant,
    /// Engines that have already failed this request.
    pub excluded: &'a [Arc<str>],
    /// The client's attempt id.
    pub attempt: Option<&'a Arc<str>>,
    /// The digest of what the client asks for.
    pub content: u64,
    /// The only build whose engines may run the request, if not all may.
    pub build: Option<&'a Arc<str>>,
    /// Whether the client retries after a refusal.
    pub is_return: bool,
}

/// Acquires a permit on a model engine from the schedulers of the zones, in the order that
/// [`Search`] decides. If no scheduler replies, chooses an engine that is listed with the adapter.
pub async fn acquire(
    gateway: &Rc<Gateway>,
    request: &PermitRequest<'_>,
) -> Result<Permit, Refusal> {
    let own: Arc<str> = gateway.settings().zone.as_str().into();
    let home = home_zone(gateway, request.generation).unwrap_or_else(|| own.clone());
    let diverted = diverted_zone(gateway, request, &own, &home);
    let (mut search, mut ask) = Search::begin(own.clone(), home, diverted);
    let refusal = loop {
        let refusal = match request_known_permit(gateway, &ask.zone, request, ask.may_fetch).await {
            Ok(permit) => return Ok(permit),
            Err(refusal) => refusal,
        };
        // Without a scheduler, this zone's engines still serve the adapters that they hold.
        if refusal.reason == Reason::NotScheduler
            && ask.zone == own
            && let Some(permit) = unscheduled::acquire_listed(gateway, request, Some(&own))
        {
            return Ok(permit);
        }
        let refused = Refused { reason: refusal.reason, is_withdrawn: refusal.is_withdrawn };
        let left = request.objective.since(gateway.now());
        ask = match search.handle_refusal(refused, left) {
            Step::Ask(ask) => ask,
            Step::Overflow => match overflow_zone(gateway, request, search.tried(), left) {
                Some(zone) => search.overflow_to(zone),
                None => break refusal,
            },
            Step::Refuse => match other_zone(gateway, request, search.tried()) {
                Some(zone) => search.overflow_to(zone),
                None => break refusal,
            },
        };
    };
    if refusal.reason == Reason::NotScheduler {
        return unscheduled::acquire_listed(gateway, request, None)
            .ok_or(Refusal::new(Reason::NoEngine, UNSCHEDULED_RETRY_AFTER));
    }
    Err(refusal)
}

/// Returns a zone that has not been asked yet for a request that only engines of one build may run, of which there may be few.
fn other_zone(
    gateway: &Gateway,
    request: &PermitRequest<'_>,
    tried: &[Arc<str>],
) -> Option<Arc<str>> {
    request.build?;
    let zones = gateway.leadership.leaders.led_zones();
    let region = gateway.settings().region.clone();
    let untried = zones.into_iter().filter(|zone| !tried.contains(zone));
    untried.min_by_key(|zone| gateway.region_of(zone).as_ref() != Some(&region))
}

/// The retry-after time if the zone has no scheduler and no engine is listed with the adapter: about
/// the time until a new scheduler is elected.
const UNSCHEDULED_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Requests a permit from the scheduler of a zone, and once more if that does not know of a limit that the engine has
/// named to this instance, as one that has just begun. It is told, and the permit is not used.
async fn request_known_permit(
    gateway: &Rc<Gateway>,
    zone: &Arc<str>,
    request: &PermitRequest<'_>,
    may_fetch: bool,
) -> Result<Permit, Refusal> {
    let permit = request_permit(gateway, zone, request, may_fetch).await?;
    let limit = gateway.limits.notice(gateway, &permit.upstream).filter(|_| !permit.is_limited());
    let Some(notice) = limit else { return Ok(permit) };
    permit.end_unsent(notice);
    request_permit(gateway, zone, request, may_fetch).await
}

async fn request_permit(
    gateway: &Rc<Gateway>,
    zone: &Arc<str>,
    request: &PermitRequest<'_>,
    may_fetch: bool,
) -> Result<Permit, Refusal> {
    let unscheduled = Refusal::new(Reason::NotScheduler, Duration::ZERO);
    let holder = gateway.leadership.leaders.leader(zone).map(|leader| leader.holder);
    let address = holder
        .as_ref()
        .and_then(|holder| gateway.roster().member(holder).map(|member| member.peer_address));
    let scheduler =
        address.and_then(|address| link::SchedulerHandle::for_address(gateway, address));
    let (Some(scheduler), Some(holder)) = (scheduler, holder) else { return Err(unscheduled) };
    let ticket = gateway.links.next_ticket();
    // Dropping the permit before the scheduler's reply withdraws the request.
    let mut permit = Permit::awaiting(gateway, scheduler.clone(), ticket);
    let mut replies = scheduler.expect(gateway, ticket);
    let queued_at = gateway.now();
    let placement = Placement { may_fetch, ..placement_message(gateway, zone, ticket, request) };
    scheduler.send(gateway, ToScheduler::Place(Box::new(placement)));
    let mut timeout = FIRST_REPLY_TIMEOUT;
    loop {
        match monoio::time::timeout(timeout, replies.recv()).await {
            Ok(Some(ToInstance::Queued { .. })) => timeout = QUEUE_CHECK_INTERVAL,
            // Answers no request.
            Ok(Some(
                ToInstance::Suspects { .. }
                | ToInstance::Current
                | ToInstance::Origin { .. }
                | ToInstance::Charged { .. }
                | ToInstance::Lent { .. },
            )) => {}
            Ok(Some(ToInstance::Grant(grant))) => {
                permit.accept(grant);
                if request.build.is_some_and(|build| permit.build.as_ref() != Some(build)) {
                    // A scheduler of an older release does not know of builds.
                    permit.end_unsent(Notice::default());
                    return Err(Refusal::new(Reason::NoEngine, Duration::ZERO));
                }
                return Ok(permit);
            }
            Ok(Some(ToInstance::Refuse { retry_after_ms, reason, .. })) => {
                permit.forget();
                return Err(Refusal::new(reason, Duration::from_millis(retry_after_ms)));
            }
            Ok(None) => {
                permit.forget();
                return Err(unscheduled);
            }
            Err(_) => {
                let is_waiting = timeout == QUEUE_CHECK_INTERVAL;
                if is_waiting && gateway.roster().is_responsive(&holder, gateway.now()) {
                    if is_sooner_elsewhere(gateway, zone, request, queued_at) {
                        // Dropping the permit withdraws the request from the queue.
                        let refusal = Refusal::new(Reason::Overloaded, Duration::ZERO);
                        return Err(Refusal { is_withdrawn: true, ..refusal });
                    }
                    continue;
                }
                debug!(gateway.log, "scheduler not responding";
                    "request" => request.attempt.map(|id| &**id), "zone" => &**zone,
                    "scheduler" => &*holder);
                scheduler.mark_suspect(gateway);
                scheduler.discard(gateway, ticket);
                return Err(unscheduled);
            }
        }
    }
}

/// The longest wait for a scheduler's first reply: a round trip between regions takes 24 ms, and a
/// busy processor adds some tens of milliseconds.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(150);

/// How often a queued request checks for recent heartbeats of the scheduler, and whether another zone would
/// run it sooner.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Returns whether a request that has been queued for as long as it may still wait before it is late would
/// run in time in another zone.
fn is_sooner_elsewhere(
    gateway: &Gateway,
    zone: &str,
    request: &PermitRequest<'_>,
    queued_at: Instant,
) -> bool {
    let now = gateway.now();
    let left = request.objective.since(now);
    if now.since(queued_at) < left {
        return false;
    }
    let roster = gateway.roster();
    let mut others = roster.loads(now).filter(|load| *load.zone != *zone);
    others.any(|load| overflow::is_sooner_in(load, left))
}

fn placement_message(
    gateway: &Gateway,
    zone: &Arc<str>,
    ticket: u64,
    request: &PermitRequest<'_>,
) -> Placement {
    let now = gateway.now();
    let generation = request.generation;
    let adapter = generation.adapter.as_ref();
    let mut placement = Placement {
        ticket,
        zone: zone.clone(),
        organisation: request.organisation.cloned(),
        service: request.service.clone(),
        model: generation.model.clone(),
        adapter: adapter.cloned(),
        version: adapter.and_then(|adapter| gateway.version(&generation.model, adapter)),
        prompt_tokens: generation.prompt_tokens,
        output_tokens: generation.output_tokens,
        parts: generation.parts.clone(),
        content: Some(request.content),
        build: request.build.cloned(),
        priority: 0,
        exact_priority: None,
        time_left_ms: request.deadline.since(now).as_millis() as u64,
        objective_left_ms: request.objective.since(now).as_millis() as u64,
        excluded: request.excluded.to_vec(),
        attempt: request.attempt.cloned(),
        is_return: request.is_return,
        may_fetch: true,
    };
    placement.set_priority(request.grade);
    placement
}

/// Returns the home zone of an adapter, which fetches it while it is rarely used.
fn home_zone(gateway: &Gateway, generation: &Generation) -> Option<Arc<str>> {
    let item = hash::digest(&generation.adapter);
    let zones = gateway.leadership.leaders.led_zones();
    hash::winner(item, zones.iter().map(|zone| (hash::digest(&**zone), zone))).cloned()
}

/// Returns the zone in which a request is placed first because this instance's zone has a longer queue
/// than the others: the adapter's home zone if it has a shorter one, else one with spare capacity.
fn diverted_zone(
    gateway: &Gateway,
    request: &PermitRequest<'_>,
    own: &Arc<str>,
    home: &Arc<str>,
) -> Option<Arc<str>> {
    let attempt = request.attempt.map(|id| &**id).unwrap_or_default();
    {
        let roster = gateway.roster();
        let loads: Vec<&Load> = roster.loads(gateway.now()).collect();
        let own_load = loads.iter().find(|load| load.zone == *own)?;
        let others = loads.iter().copied().filter(|load| load.zone != *own);
        let share = overflow::diverted_share(own_load, others);
        if !overflow::is_in_share(attempt, share) {
            return None;
        }
        let home_load = loads.iter().find(|load| load.zone == *home && load.zone != *own);
        if home_load.is_some_and(|load| load.delay_ms < own_load.delay_ms) {
            return Some(home.clone());
        }
    }
    let left = request.objective.since(gateway.now());
    overflow_zone(gateway, request, std::slice::from_ref(own), left)
}

/// Returns the zone that a request overflows to, which is none of those tried.
fn overflow_zone(
    gateway: &Gateway,
    request: &PermitRequest<'_>,
    tried: &[Arc<str>],
    left: Duration,
) -> Option<Arc<str>> {
    let region = gateway.settings().region.clone();
    let roster = gateway.roster();
    let untried = roster.loads(gateway.now()).filter(|load| !tried.contains(&load.zone));
    let candidates = untried.map(|load| overflow::Candidate {
        load,
        is_near: gateway.region_of(&load.zone).as_ref() == Some(&region),
    });
    let attempt = request.attempt.map(|id| &**id).unwrap_or_default();
    overflow::choose(candidates, left, attempt)
}

/// Returns whether a service's upstreams are model engines.
pub fn has_engine(configuration: &Configuration, service: &str) -> bool {
    configuration.services.get(service).is_some_and(|service| service.engine.is_some())
}
