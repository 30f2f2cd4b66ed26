//! Permits to run requests on upstreams, granted by the schedulers of the availability zones or, for
//! plain services and as a fallback, chosen by this instance.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use orioleroute::hash;
use orioleroute::ingress::attempt::Generation;
use orioleroute::ingress::health::Outcome;
use orioleroute::ingress::notice::Limit;
use orioleroute::ingress::quarantine::Run;
use orioleroute::ingress::upstream::Description;
use orioleroute::ingress::{Configuration, Notice};
use orioleroute::prelude::*;
use orioleroute::scheduler::message::{
    Placement, Reason, RunResult, ToInstance, ToScheduler, UngrantedRun,
};
use orioleroute::scheduler::overflow::{self, Load};
use orioleroute::scheduler::search::{Refused, Search, Step};

use slog::debug;

use super::state::Gateway;
use super::{link, quarantine, sync, unscheduled};

/// A request for a permit on a model engine.
pub struct PermitRequest<'a> {
    /// The service.
    pub service: &'a Arc<str>,
    /// The model, the adapter and the prompt.
    pub generation: &'a Generation,
    /// The priority of the request's route; 0 is the most urgent.
    pub priority: u8,
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

/// A permit to run one request on an upstream, released when dropped.
pub struct Permit {
    gateway: Rc<Gateway>,
    origin: Origin,
    /// When the permit was granted.
    granted_at: Instant,
    /// The id of the upstream.
    pub upstream: Arc<str>,
    /// The address for requests.
    pub address: SocketAddr,
    /// The version of the upstream's entry in the list that whoever granted the permit has.
    pub entry_version: u64,
    /// The version of the adapter that the engine holds, if known.
    pub version: Option<u64>,
    /// The version of the upstream's software, if known.
    pub build: Option<Arc<str>>,
    /// Whether the scheduler knows that the upstream has named a limit.
    is_limited: bool,
    /// What the upstream says of itself in the head of its response, and when that arrived, until the scheduler is told.
    notice: Cell<Option<(Notice, Instant)>>,
}

/// Who granted a permit, which decides who is notified when it is released.
enum Origin {
    /// A scheduler, which was asked for it under `ticket`.
    Scheduled { scheduler: link::SchedulerHandle, ticket: u64 },
    /// This instance, which chose the upstream itself.
    Unscheduled(Box<UngrantedRun>),
    /// The permit has been released.
    Released,
}

/// A refused permit.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    /// Why the permit was refused.
    pub reason: Reason,
    /// How long the client should wait before it retries.
    pub retry_after: Duration,
    /// Whether the request was withdrawn from the queue because another zone would run it sooner.
    pub is_withdrawn: bool,
}

impl Refusal {
    /// Returns a refusal of a request that is not in a queue.
    pub fn new(reason: Reason, retry_after: Duration) -> Self {
        Self { reason, retry_after, is_withdrawn: false }
    }

    /// Returns a refusal of a request for which there will be a place after `delay`. Clients are told different times, so
    /// that they do not come back for it together.
    pub fn until_free(reason: Reason, delay: Duration, attempt: Option<&Arc<str>>) -> Self {
        let jitter = hash::digest(&attempt) as f64 / u64::MAX as f64;
        Self::new(reason, delay.max(MIN_RETRY_AFTER).mul_f64(1.0 + jitter))
    }
}

/// The least time after which a client is told to come back for a place.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

impl Permit {
    /// Returns a permit on an upstream that this instance chose itself.
    pub fn unscheduled(gateway: &Rc<Gateway>, upstream: &Description, run: Run) -> Self {
        let Description { id, address, service, zone, build, .. } = upstream.clone();
        let run =
            UngrantedRun { zone, service, upstream: id.clone(), address, has_answered: false, run };
        let upstream = id;
        gateway.health().entry(upstream.clone()).or_default().begin();
        gateway.limits.take(gateway, &upstream);
        let entry_version = gateway.registry().version();
        Self {
            gateway: gateway.clone(),
            origin: Origin::Unscheduled(Box::new(run)),
            granted_at: gateway.now(),
            upstream,
            address,
            entry_version,
            build: Some(build),
            version: None,
            is_limited: false,
            notice: Cell::default(),
        }
    }

    /// Records what the upstream says of itself, from now on for this instance and with the next message for the
    /// scheduler.
    pub fn observe(&mut self, notice: Notice) {
        let limits = &self.gateway.limits;
        let is_limited = self.is_limited || limits.notice(&self.gateway, &self.upstream).is_some();
        // That there is no limit matters only where one is known.
        let limit = notice.limit.filter(|limit| is_limited || *limit != Limit::Unlimited);
        if let Some(limit) = limit {
            limits.observe(&self.gateway, &self.upstream, limit);
        }
        let notice = Notice { limit, ..notice };
        self.notice.set((!notice.is_empty()).then(|| (notice, self.gateway.now())));
        if notice.is_leaving {
            sync::record_leave(&self.gateway, &self.upstream);
        }
    }

    /// Returns the time since the permit was granted.
    pub fn age(&self) -> Duration {
        self.gateway.now().since(self.granted_at)
    }

    /// Takes what the scheduler is to be told of the upstream.
    fn take_notice(&self) -> Notice {
        let Some((notice, at)) = self.notice.take() else { return Notice::default() };
        let age_ms = self.gateway.now().since(at).as_millis() as u64;
        Notice { age_ms, ..notice }
    }

    /// Notifies the scheduler that the first event has arrived.
    pub fn send_started(&self) {
        if let Origin::Scheduled { scheduler, ticket } = &self.origin {
            let notice = self.take_notice();
            let started = ToScheduler::Started { ticket: *ticket, notice };
            scheduler.send(&self.gateway, started);
        }
    }

    /// Releases the permit and reports how the request ended.
    pub fn end(mut self, result: RunResult) {
        self.release(result, false);
    }

    /// Releases the permit of a request that was not sent, and tells the scheduler what is known of the upstream.
    pub fn end_unsent(mut self, notice: Notice) {
        match std::mem::replace(&mut self.origin, Origin::Released) {
            Origin::Scheduled { scheduler, ticket } => {
                scheduler.discard(&self.gateway, ticket);
                let (result, is_unconfirmed) = (None, false);
                scheduler.send(
                    &self.gateway,
                    ToScheduler::ended(ticket, result, is_unconfirmed, notice),
                );
            }
            origin => {
                self.origin = origin;
                self.release(RunResult::Abandoned, false);
            }
        }
    }

    /// Releases the permit after an answer that may be incomplete although nothing shows it.
    pub fn end_unconfirmed(mut self) {
        self.release(RunResult::Answered, true);
    }

    fn release(&mut self, result: RunResult, is_unconfirmed: bool) {
        match std::mem::replace(&mut self.origin, Origin::Released) {
            Origin::Scheduled { scheduler, ticket } => {
                scheduler.discard(&self.gateway, ticket);
                let result = Some(result);
                let notice = self.take_notice();
                scheduler.send(
                    &self.gateway,
                    ToScheduler::ended(ticket, result, is_unconfirmed, notice),
                );
            }
            Origin::Unscheduled(mut run) => {
                let now = self.gateway.now();
                let outcome = match result {
                    RunResult::Answered => Outcome::Answered(self.age()),
                    other => other.into(),
                };
                {
                    let mut health = self.gateway.health();
                    let health = health.entry(self.upstream.clone()).or_default();
                    run.has_answered = health.has_answered();
                    health.end(outcome, now);
                }
                run.run.ran_ms = self.age().as_millis() as u64;
                if !is_unconfirmed {
                    quarantine::report_run(&self.gateway, *run, result);
                }
            }
            Origin::Released => {}
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.release(RunResult::Abandoned, false);
    }
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
    let limit = gateway.limits.notice(gateway, &permit.upstream).filter(|_| !permit.is_limited);
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
    let mut permit = Permit {
        gateway: gateway.clone(),
        origin: Origin::Scheduled { scheduler: scheduler.clone(), ticket },
        granted_at: gateway.now(),
        upstream: "".into(),
        address: gateway.settings().peer_address,
        entry_version: 0,
        build: None,
        version: None,
        is_limited: false,
        notice: Cell::default(),
    };
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
                ToInstance::Suspects { .. } | ToInstance::Current | ToInstance::Origin { .. },
            )) => {}
            Ok(Some(ToInstance::Grant(grant))) => {
                permit.granted_at = gateway.now();
                permit.upstream = grant.upstream;
                permit.address = grant.address;
                permit.entry_version = grant.entry_version;
                permit.version = grant.version;
                permit.is_limited = grant.is_limited;
                permit.build = grant.build;
                if request.build.is_some_and(|build| permit.build.as_ref() != Some(build)) {
                    // A scheduler of an older release does not know of builds.
                    permit.end_unsent(Notice::default());
                    return Err(Refusal::new(Reason::NoEngine, Duration::ZERO));
                }
                return Ok(permit);
            }
            Ok(Some(ToInstance::Refuse { retry_after_ms, reason, .. })) => {
                permit.origin = Origin::Released;
                return Err(Refusal::new(reason, Duration::from_millis(retry_after_ms)));
            }
            Ok(None) => {
                permit.origin = Origin::Released;
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
    Placement {
        ticket,
        zone: zone.clone(),
        service: request.service.clone(),
        model: generation.model.clone(),
        adapter: adapter.cloned(),
        version: adapter.and_then(|adapter| gateway.version(&generation.model, adapter)),
        prompt_tokens: generation.prompt_tokens,
        output_tokens: generation.output_tokens,
        parts: generation.parts.clone(),
        content: Some(request.content),
        build: request.build.cloned(),
        priority: request.priority,
        time_left_ms: request.deadline.since(now).as_millis() as u64,
        objective_left_ms: request.objective.since(now).as_millis() as u64,
        excluded: request.excluded.to_vec(),
        attempt: request.attempt.cloned(),
        is_return: request.is_return,
        may_fetch: true,
    }
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
