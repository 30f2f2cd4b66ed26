//! Requests passed on to the next home because this one cannot load what they need.

use super::Core;
use super::routes::HOPS;
use crate::prelude::*;

impl Core {
    /// Passes the requests that wait for a revision on to the next home, as far as they may go.
    ///
    /// A home whose upstreams all fail, or hold nothing but revisions in use, would keep them to
    /// their deadlines although another home may load the revision at once.
    pub(super) fn spill(&mut self, now: Instant, revision: key::Revision) {
        for key in self.requests.waiting(revision).to_vec() {
            self.spill_one(now, key, revision);
        }
    }

    /// Passes a request on to the next home, and returns whether it may go there.
    pub(super) fn spill_one(
        &mut self,
        now: Instant,
        key: key::Request,
        revision: key::Revision,
    ) -> bool {
        let Some((instance, address)) = self.spill_home(key, revision) else { return false };
        self.requests.unqueue(key, revision);
        self.forward_to(now, key, instance, address);
        true
    }

    /// Returns the home after this one in the order of preference, if the request may go there.
    fn spill_home(
        &self,
        key: key::Request,
        revision: key::Revision,
    ) -> Option<(Arc<str>, std::net::SocketAddr)> {
        let request = self.requests.get(key)?;
        // A claim binds the request to this instance: another one would take it for a conflict.
        if request.spec.hops >= HOPS || request.claim.is_some() {
            return None;
        }
        let revision = self.catalog.revision(revision);
        let own = self.membership.identity();
        let homes_in = |region| self.ownership.homes(region, &revision.model, revision.digest);
        let homes = homes_in(&own.region);
        let place = homes.iter().position(|home| home.instance.name == own.name)?;
        let elsewhere = self
            .membership
            .views()
            .map(|view| &view.region)
            .filter(|region| **region != own.region && revision.may_run_in(region));
        let next = homes
            .get(place + 1)
            .copied()
            .or_else(|| elsewhere.filter_map(|region| homes_in(region).first().copied()).next())?;
        Some((next.instance.name.clone(), next.instance.caller_address))
    }
}
