//! Which instance and which upstream answer a request.

use super::Core;
use super::requests::RETRY_AFTER;
use crate::catalog::Revision;
use crate::hash::digest;
use crate::instance::Instance as Identity;
use crate::limits;
use crate::prelude::*;
use crate::request::{Kind, Request, Target};
use crate::routing::{self, Reason};

/// Instances that may pass a request on, at most.
pub(super) const HOPS: u8 = 2;

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
        self.demand.note(now, revision);
        let candidates = self.candidates(revision);
        if candidates.is_empty() {
            return self.refuse(key, Kind::Unavailable, Some(RETRY_AFTER));
        }
        match routing::choose(now, &self.fleet, candidates.iter().copied(), revision) {
            Some((upstream, _)) if !self.has_room(key, upstream) => {
                if !self.spill_one(now, key, revision) {
                    self.refuse(key, Kind::Overloaded, Some(RETRY_AFTER));
                }
            }
            Some((upstream, runners_up)) => {
                self.decide(key, Some(upstream), Reason::LeastLoaded, runners_up);
                self.dispatch(now, key, upstream);
                if self.is_full(upstream) {
                    self.widen(now, revision);
                }
            }
            None if self.leave_region(now, key, revision) => {}
            None => self.wait(now, key, revision),
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
                // One that failed lately is better than none.
                let is_elsewhere = upstream.listing.region != *region;
                (!upstream.is_open(now), is_elsewhere, upstream.running)
            })
            .map(|(key, _)| key);
        match chosen {
            Some(upstream) => {
                self.decide(key, Some(upstream), Reason::LeastLoaded, Vec::new());
                self.dispatch(now, key, upstream);
            }
            None => self.refuse(key, Kind::Unavailable, Some(RETRY_AFTER)),
        }
    }

    /// Lets a request wait for a load, unless too many already do or it cannot be in time.
    pub(super) fn wait(&mut self, now: Instant, key: key::Request, revision: key::Revision) {
        let Some(request) = self.requests.get(key) else { return };
        let (importance, left) = (request.importance, request.queue_deadline.since(now));
        let room = self.catalog.revision(revision).queue;
        if !limits::admits(importance, self.requests.waiting(revision).len(), room) {
            return self.refuse(key, Kind::Overloaded, Some(RETRY_AFTER));
        }
        let wait = self.load_wait(revision);
        if wait > left {
            return self.refuse(key, Kind::Deadline, Some(wait - left));
        }
        self.requests.queue(key, revision);
        self.decide(key, None, Reason::WaitsForLoad, Vec::new());
        self.place(now);
    }

    /// Returns how long a request is expected to wait for a revision that is not loaded.
    pub(super) fn load_wait(&self, revision: key::Revision) -> Duration {
        let others = self.requests.wanted().into_iter().filter(|wanted| *wanted != revision);
        self.load_time.wait(others.count(), self.load_budget())
    }

    /// Returns whether an upstream takes one more request of this importance.
    fn has_room(&self, key: key::Request, upstream: key::Upstream) -> bool {
        let importance = self.requests.get(key).map(|request| request.importance);
        let running = self.fleet.get(upstream).map_or(0, |upstream| upstream.running);
        let concurrency = self.candidate(upstream).map_or(u32::MAX, |found| found.concurrency);
        limits::has_room(importance.unwrap_or_default(), running, concurrency)
    }

    /// Returns whether an upstream runs as many requests as it does at full speed.
    fn is_full(&self, upstream: key::Upstream) -> bool {
        let running = self.fleet.get(upstream).map_or(0, |upstream| upstream.running);
        self.candidate(upstream).is_some_and(|found| running >= found.concurrency)
    }

    /// Passes on the waiting requests whose home has moved to another instance.
    pub(super) fn reroute_waiting(&mut self, now: Instant) {
        for revision in self.requests.wanted() {
            if !self.candidates(revision).is_empty() {
                continue;
            }
            for key in self.requests.waiting(revision).to_vec() {
                self.requests.unqueue(key, revision);
                self.route(now, key);
            }
        }
    }

    /// Gives waiting requests the upstreams that now hold what they wait for.
    pub(super) fn serve_waiting(&mut self, now: Instant) {
        if !self.membership.may_serve(now) {
            return;
        }
        for revision in self.requests.wanted() {
            if self.config.is_in_doubt(now, &self.catalog.revision(revision).adapter) {
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
                self.decide(key, Some(upstream), Reason::LeastLoaded, runners_up);
                self.dispatch(now, key, upstream);
            }
        }
    }

    /// Returns whether another instance is home to what a request asks.
    pub(super) fn passes_on(&self, key: key::Request) -> bool {
        self.next_home(key).is_some()
    }

    pub(super) fn next_home(&self, key: key::Request) -> Option<&Identity> {
        let request = self.requests.get(key)?;
        if request.spec.hops >= HOPS {
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
            .find_map(|region| self.untried_home(region, revision, &request.passed_to))
            .filter(|home| home.name != own.name)
    }

    /// Returns the first home of a revision in a region among those that a request was not passed to.
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

    /// Returns whether a staged document of unknown fate would answer a request differently.
    pub(super) fn is_in_doubt(&self, now: Instant, key: key::Request) -> bool {
        let revision = self.requests.get(key).and_then(|request| request.revision);
        revision.is_some_and(|revision| {
            self.config.is_in_doubt(now, &self.catalog.revision(revision).adapter)
        })
    }
}
