//! The permit to run one request on an upstream.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use orioleroute::hash;
use orioleroute::ingress::Notice;
use orioleroute::ingress::health::Outcome;
use orioleroute::ingress::notice::Limit;
use orioleroute::ingress::quarantine::Run;
use orioleroute::ingress::upstream::Description;
use orioleroute::prelude::*;
use orioleroute::scheduler::message::{Grant, Reason, RunResult, ToScheduler, UngrantedRun};

use super::link::SchedulerHandle;
use super::state::Gateway;
use super::{quarantine, sync};

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
    Scheduled { scheduler: SchedulerHandle, ticket: u64 },
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
        let Description { id, address, service, zone, build, started_ms, .. } = upstream.clone();
        let run = UngrantedRun {
            zone,
            service,
            upstream: id.clone(),
            started_ms: Some(started_ms),
            address,
            has_answered: false,
            age_ms: 0,
            run,
        };
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

    /// Returns a permit that a scheduler was asked for under `ticket`. Dropping it withdraws the request.
    pub fn awaiting(gateway: &Rc<Gateway>, scheduler: SchedulerHandle, ticket: u64) -> Self {
        Self {
            gateway: gateway.clone(),
            origin: Origin::Scheduled { scheduler, ticket },
            granted_at: gateway.now(),
            upstream: "".into(),
            address: gateway.settings().peer_address,
            entry_version: 0,
            build: None,
            version: None,
            is_limited: false,
            notice: Cell::default(),
        }
    }

    /// Takes over what the scheduler has granted.
    pub fn accept(&mut self, grant: Grant) {
        self.granted_at = self.gateway.now();
        self.upstream = grant.upstream;
        self.address = grant.address;
        self.entry_version = grant.entry_version;
        self.version = grant.version;
        self.is_limited = grant.is_limited;
        self.build = grant.build;
    }

    /// Releases the permit without a message, because the scheduler has refused the request or is gone.
    pub fn forget(&mut self) {
        self.origin = Origin::Released;
    }

    /// Returns whether the scheduler knows that the upstream has named a limit.
    pub fn is_limited(&self) -> bool {
        self.is_limited
    }

    /// Records what the upstream says of itself in an answer, from now on for this instance and with the next message for the
    /// scheduler. `is_run` says whether it has run the request.
    pub fn observe(&mut self, notice: Notice, is_run: bool) {
        let limits = &self.gateway.limits;
        let is_limited = self.is_limited || limits.notice(&self.gateway, &self.upstream).is_some();
        // That there is no limit matters only where one is known.
        let limit = notice.limit.filter(|limit| is_limited || *limit != Limit::Unlimited);
        if let Some(limit) = limit {
            limits.observe(&self.gateway, &self.upstream, limit);
        }
        if let Origin::Unscheduled(run) = &self.origin
            && run.run.parts.is_empty()
        {
            let latency = is_run.then(|| self.age());
            limits.observe_brittle(&self.gateway, &self.upstream, notice.is_brittle, latency);
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
