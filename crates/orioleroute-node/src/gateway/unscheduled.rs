//! Upstreams that this instance chooses itself: those of plain services, and engines of a zone whose scheduler does not
//! reply.

use std::rc::Rc;

use orioleroute::ingress::quarantine::Run;
use orioleroute::ingress::upstream::Description;
use orioleroute::prelude::*;
use orioleroute::scheduler::message::Reason;

use super::permit::{Permit, Refusal};
use super::placement::PermitRequest;
use super::state::Gateway;

/// Returns a permit on an engine, in `zone` or in any zone, that is listed with the request's model and
/// adapter. This is the fallback when no scheduler replies.
pub fn acquire_listed(
    gateway: &Rc<Gateway>,
    request: &PermitRequest<'_>,
    zone: Option<&str>,
) -> Option<Permit> {
    let now = gateway.now();
    let generation = request.generation;
    let registry = gateway.registry();
    let health = gateway.health();
    let wanted = generation
        .adapter
        .as_ref()
        .map(|adapter| (adapter, gateway.version(&generation.model, adapter).unwrap_or_default()));
    let candidates = registry.ready(request.service).filter(|upstream| {
        let has_adapter = wanted.is_none_or(|(adapter, newest)| {
            upstream.version(&generation.model, adapter).is_some_and(|held| held >= newest)
        });
        has_adapter
            && zone.is_none_or(|zone| *zone == *upstream.zone)
            && upstream.has_model(&generation.model)
            && !request.excluded.contains(&upstream.id)
            && request.build.is_none_or(|build| *build == upstream.build)
            && !health.get(&upstream.id).is_some_and(|health| health.is_ejected(now))
            && gateway.limits.delay(upstream, now).is_zero()
    });
    let costs = candidates.map(|upstream| {
        let health = health.get(&upstream.id).cloned().unwrap_or_default();
        (health.cost(upstream.slots, extra_latency(gateway, &upstream.zone)), upstream)
    });
    let (_, best) = costs.min_by(|(one, _), (other, _)| one.total_cmp(other))?;
    let best = best.clone();
    let version = wanted.and_then(|(adapter, _)| best.version(&generation.model, adapter));
    drop((registry, health));
    // The listed version may be a second old; the engine checks it again.
    let mut permit = Permit::unscheduled(gateway, &best, generation_run(request));
    permit.version = version;
    Some(permit)
}

fn generation_run(request: &PermitRequest<'_>) -> Run {
    let parts: Vec<u64> = request.generation.parts.iter().map(|part| part.id).collect();
    let (own, shared) = parts.split_last().unwrap_or((&0, &[]));
    Run { own: *own, parts: shared.to_vec(), request: Some(request.content), ran_ms: 0 }
}

/// A request for a permit on an upstream of a plain service.
pub struct PlainRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// Upstreams that have already failed this request, or pause.
    pub excluded: &'a [Arc<str>],
    /// The client's attempt id.
    pub attempt: Option<&'a Arc<str>>,
    /// The digest of what the client asks for.
    pub content: u64,
    /// The only build whose upstreams may run the request, if not all may.
    pub build: Option<&'a Arc<str>>,
}

/// Returns a permit on the upstream of a plain service with the least expected cost, among those whose limits allow a
/// request.
pub fn acquire_plain(gateway: &Rc<Gateway>, request: &PlainRequest<'_>) -> Result<Permit, Refusal> {
    let now = gateway.now();
    let (best, soonest) = {
        let registry = gateway.registry();
        let health = gateway.health();
        let usable = registry.ready(request.service).filter(|upstream| {
            !request.excluded.contains(&upstream.id)
                && request.build.is_none_or(|build| *build == upstream.build)
                && !health.get(&upstream.id).is_some_and(|health| health.is_ejected(now))
        });
        let delayed: Vec<(Duration, &Description)> =
            usable.map(|upstream| (gateway.limits.delay(upstream, now), upstream)).collect();
        let allowed = delayed.iter().filter(|(delay, _)| delay.is_zero());
        let costs = allowed.map(|(_, upstream)| {
            let extra_latency = extra_latency(gateway, &upstream.zone);
            let health = health.get(&upstream.id).cloned().unwrap_or_default();
            (health.cost(upstream.slots, extra_latency), upstream)
        });
        let best = costs.min_by(|(one, _), (other, _)| one.total_cmp(other));
        let best = best.map(|(_, upstream)| Description::clone(upstream));
        (best, delayed.iter().map(|(delay, _)| *delay).min())
    };
    let refusal = match soonest {
        Some(delay) => Refusal::until_free(Reason::Overloaded, delay, request.attempt),
        None => Refusal::new(Reason::NoEngine, NO_UPSTREAM_RETRY_AFTER),
    };
    let run = Run { request: Some(request.content), ..Run::default() };
    Ok(Permit::unscheduled(gateway, &best.ok_or(refusal)?, run))
}

/// The retry-after time if a service has no usable upstream: about the length of an ejection.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(400);

/// The extra latency of an upstream in another availability zone of the region, whose traffic also
/// costs more.
const ZONE_LATENCY: Duration = Duration::from_millis(3);

/// The extra latency of an upstream in another region: a round trip takes 24 ms.
const REGION_LATENCY: Duration = Duration::from_millis(30);

fn extra_latency(gateway: &Gateway, zone: &str) -> Duration {
    let settings = gateway.settings();
    if *zone == *settings.zone {
        return Duration::ZERO;
    }
    match gateway.region_of(zone).is_some_and(|region| region == settings.region) {
        true => ZONE_LATENCY,
        false => REGION_LATENCY,
    }
}
