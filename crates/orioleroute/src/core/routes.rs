//! The choice of the instance and the upstream that answer a request.

use super::Core;
use super::requests::RETRY_AFTER;
use crate::catalog::Revision;
use crate::hash::digest;
use crate::instance::Instance as Identity;
use crate::limits;
use crate::prelude::*;
use crate::request::{Kind, Request, Target};
use crate::routing::{self, Reason};

/// Maximum number of times that instances may forward a request.
pub(super) const MAX_HOPS: u8 = 2;

impl Core {
    /// Returns the instances that serve a model or service in a region, in order of preference.
    pub fn homes(&self, region: &str, target: &Target) -> Vec<&Identity> {
        match target {
            Target::Model(model) => {
                let Some(key) = self.catalog.resolve(model) else { return Vec::new() };
                let revision = self.catalog.revision(key);
                let homes = self.ownership.homes(region, &revision.model, revision.digest);
                homes.into_iter().map(|home| &home.instance).collect()
            }
            Target::Service(name) => match self.membership.view_of(region) {
                Some(view) => view.preference(digest(&**name)),
                None => Vec::new(),
            },
        }
    }

    pub(super) fn route_model(&mut self, now: Instant, key: key::Request, revision: key::Revision) {
        self.demand.observe(now, revision);
        let candidates = self.candidates(revision);
        if candidates.is_empty() {
            return self.refuse(key, Kind::Unavailable, Some(RETRY_AFTER));
        }
        match routing::choose(now, &self.fleet, candidates.iter().copied(), revision) {
            Some((upstream, _)) if !self.has_capacity(key, upstream) => {
                if !self.overflow_request(now, key, revision) {
                    self.refuse(key, Kind::Overloaded, Some(RETRY_AFTER));
                }
            }
            Some((upstream, runners_up)) => {
                self.log_decision(key, Some(upstream), Reason::LeastLoaded, runners_up);
                self.dispatch(now, key, upstream);
                if self.is_full(upstream) {
                    self.add_replica(now, revision);
                }
            }
            None if self.forward_to_holder(now, key, revision) => {}
            None => self.wait_for_load(now, key, revision),
        }
    }

    pub(super) fn route_service(&mut self, now: Instant, key: key::Request) {
        let Some(Request { spec, .. }) = self.requests.get(key) else { return };
        let Target::Service(name) = &spec.target else { return };
        let Some(service) = self.catalog.service(name) else {
            return self.refuse(key, Kind::NotFound, None);
        };
        let region = &self.membership.identity().region;
        let chosen = self
            .fleet
            .iter()
            .filter(|(_, upstream)| upstream.listing.pool == service.pool && !upstream.is_leaving())
            .min_by_key(|(_, upstream)| {
                // An upstream that failed recently is better than none, so it sorts last.
                let is_remote = upstream.listing.region != *region;
                (!upstream.is_open(now), is_remote, upstream.running)
            })
            .map(|(key, _)| key);
        match chosen {
            Some(upstream) => {
                self.log_decision(key, Some(upstream), Reason::LeastLoaded, Vec::new());
                self.dispatch(now, key, upstream);
            }
            None => self.refuse(key, Kind::Unavailable, Some(RETRY_AFTER)),
        }
    }

    /// Queues a request until its revision is loaded. Refuses it if the queue is full or if the
    /// wait is expected to last beyond the request's queue deadline.
    pub(super) fn wait_for_load(
        &mut self,
        now: Instant,
        key: key::Request,
        revision: key::Revision,
    ) {
        let Some(request) = self.requests.get(key) else { return };
        let (importance, left) = (request.importance, request.queue_deadline.since(now));
        let queue_limit = self.catalog.revision(revision).queue;
        if !limits::admits(importance, self.requests.waiting(revision).len(), queue_limit) {
            return self.refuse(key, Kind::Overloaded, Some(RETRY_AFTER));
        }
        let wait = self.load_wait(revision);
        if wait > left {
            return self.refuse(key, Kind::Deadline, Some(wait - left));
        }
        self.requests.queue(key, revision);
        self.log_decision(key, None, Reason::WaitsForLoad, Vec::new());
        self.load_awaited(now);
    }

    /// Returns how long a request is expected to wait for a revision that is not loaded.
    pub(super) fn load_wait(&self, revision: key::Revision) -> Duration {
        let others =
            self.requests.awaited_revisions().into_iter().filter(|awaited| *awaited != revision);
        self.load_time.expected_wait(others.count(), self.load_budget())
    }

    /// Returns whether an upstream may take one more request of this request's importance.
    fn has_capacity(&self, key: key::Request, upstream: key::Upstream) -> bool {
        let importance = self.requests.get(key).map(|request| request.importance);
        let running = self.fleet.get(upstream).map_or(0, |upstream| upstream.running);
        let concurrency = self.candidate(upstream).map_or(u32::MAX, |found| found.concurrency);
        limits::has_capacity(importance.unwrap_or_default(), running, concurrency)
    }

    /// Returns whether an upstream runs as many requests as it can run at full speed.
    fn is_full(&self, upstream: key::Upstream) -> bool {
        let running = self.fleet.get(upstream).map_or(0, |upstream| upstream.running);
        self.candidate(upstream).is_some_and(|found| running >= found.concurrency)
    }

    /// Reroutes the waiting requests whose home has moved to another instance, which leaves this
    /// one without an upstream for them.
    pub(super) fn reroute_waiting(&mut self, now: Instant) {
        for revision in self.requests.awaited_revisions() {
            if !self.candidates(revision).is_empty() {
                continue;
            }
            for key in self.requests.waiting(revision).to_vec() {
                self.requests.unqueue(key, revision);
                self.route(now, key);
            }
        }
    }

    /// Dispatches waiting requests to upstreams that now have their revision loaded.
    pub(super) fn serve_waiting(&mut self, now: Instant) {
        if !self.membership.may_serve(now) {
            return;
        }
        for revision in self.requests.awaited_revisions() {
            if self.config.is_uncertain(now, &self.catalog.revision(revision).adapter) {
                continue;
            }
            for key in self.requests.waiting(revision).to_vec() {
                let candidates = self.candidates(revision).iter().copied();
                let Some((upstream, runners_up)) =
                    routing::choose(now, &self.fleet, candidates, revision)
                else {
                    break;
                };
                self.requests.unqueue(key, revision);
                self.log_decision(key, Some(upstream), Reason::LeastLoaded, runners_up);
                self.dispatch(now, key, upstream);
            }
        }
    }

    /// Returns whether a request has another instance as its home.
    pub(super) fn has_other_home(&self, key: key::Request) -> bool {
        self.next_home(key).is_some()
    }

    pub(super) fn next_home(&self, key: key::Request) -> Option<&Identity> {
        let request = self.requests.get(key)?;
        if request.spec.hops >= MAX_HOPS {
            return None;
        }
        let key = request.revision?;
        if !self.candidates(key).is_empty() && request.spec.hops > 0 {
            return None;
        }
        let revision = self.catalog.revision(key);
        let own = self.membership.identity();
        let others = self.membership.views().map(|view| &view.region);
        let regions =
            std::iter::once(&own.region).chain(others.filter(|name| **name != own.region));
        regions
            .filter(|region| revision.may_run_in(region))
            .find_map(|region| self.untried_home(region, revision, &request.forwarded_to))
            .filter(|home| home.name != own.name)
    }

    /// Returns the most preferred home of a revision in a region to which the request was not
    /// forwarded yet.
    fn untried_home(
        &self,
        region: &str,
        revision: &Revision,
        tried: &[Arc<str>],
    ) -> Option<&Identity> {
        let (model, digest) = (&revision.model, revision.digest);
        let home = match tried {
            [] => self.ownership.home(region, model, digest),
            _ => {
                let mut homes = self.ownership.homes(region, model, digest).into_iter();
                homes.find(|home| !tried.contains(&home.instance.name))
            }
        };
        home.map(|home| &home.instance)
    }

    /// Returns whether a document that this instance cannot yet confirm or apply may change the
    /// answer to a request.
    pub(super) fn is_uncertain(&self, now: Instant, key: key::Request) -> bool {
        let revision = self.requests.get(key).and_then(|request| request.revision);
        revision.is_some_and(|revision| {
            self.config.is_uncertain(now, &self.catalog.revision(revision).adapter)
        })
    }
}
