//! Overflow of requests to the next home when this one cannot load their revision.

use super::Core;
use super::routes::MAX_HOPS;
use crate::prelude::*;

impl Core {
    /// Forwards the requests that wait for a revision to the next home, where that is allowed.
    ///
    /// Without this, a home whose upstreams all fail or hold only revisions in use would keep the
    /// requests until their deadlines, although another home may be able to load the revision at
    /// once.
    pub(super) fn overflow(&mut self, now: Instant, revision: key::Revision) {
        for key in self.requests.waiting(revision).to_vec() {
            self.overflow_request(now, key, revision);
        }
    }

    /// Forwards a request to the next home and returns whether that was allowed.
    pub(super) fn overflow_request(
        &mut self,
        now: Instant,
        key: key::Request,
        revision: key::Revision,
    ) -> bool {
        let Some((instance, address)) = self.overflow_home(key, revision) else { return false };
        self.requests.unqueue(key, revision);
        self.forward_to(now, key, instance, address);
        true
    }

    /// Returns the home after this one in order of preference, if the request may be forwarded to
    /// it.
    fn overflow_home(
        &self,
        key: key::Request,
        revision: key::Revision,
    ) -> Option<(Arc<str>, std::net::SocketAddr)> {
        let request = self.requests.get(key)?;
        // A claim binds the request to this instance; another one would treat it as a conflict.
        if request.spec.hops >= MAX_HOPS || request.claim.is_some() {
            return None;
        }
        let revision = self.catalog.revision(revision);
        let own = self.membership.identity();
        let homes_in = |region| self.ownership.homes(region, &revision.model, revision.digest);
        let homes = homes_in(&own.region);
        let position = homes.iter().position(|home| home.instance.name == own.name)?;
        let other_regions = self
            .membership
            .views()
            .map(|view| &view.region)
            .filter(|region| **region != own.region && revision.may_run_in(region));
        let next = homes.get(position + 1).copied().or_else(|| {
            other_regions.filter_map(|region| homes_in(region).first().copied()).next()
        })?;
        Some((next.instance.name.clone(), next.instance.caller_address))
    }
}
