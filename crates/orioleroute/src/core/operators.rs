//! Answers to operators' commands.

use super::Core;
use crate::operator::{Answer, Explanation, Holding, InstanceStatus, Status, UpstreamStatus};
use crate::prelude::*;
use crate::request::Target;

impl Core {
    /// Returns the status of the system as known to this instance.
    pub(super) fn status(&self, now: Instant) -> Status {
        let own = self.membership.identity();
        let instances = self
            .membership
            .views()
            .flat_map(|view| &view.members)
            .map(|member| InstanceStatus {
                name: member.name.clone(),
                region: member.region.clone(),
                operator_address: member.operator_address,
                version: (member.name == own.name).then_some(self.config.version()),
            })
            .collect();
        let upstreams = self
            .ownership
            .owned_upstreams()
            .filter_map(|key| Some((key, self.fleet.get(key)?)))
            .filter(|(_, upstream)| self.catalog.pool(&upstream.listing.pool).is_some())
            .map(|(key, upstream)| UpstreamStatus {
                name: upstream.listing.name.clone(),
                pool: upstream.listing.pool.clone(),
                region: upstream.listing.region.clone(),
                holding: self.holding(now, key),
                loaded: self.loaded(key),
                running: upstream.running,
            })
            .collect();
        Status {
            version: self.config.version(),
            staged: self.config.staged(),
            lease: self.membership.holds_lease(now),
            instances,
            upstreams,
        }
    }

    /// Explains where an adapter is loaded and why.
    pub(super) fn explain(&self, model: &Arc<str>) -> Answer {
        let Some(key) = self.catalog.resolve(model) else {
            let reason = format!("no adapter or version is called {model}").into();
            return Answer::Failed { reason };
        };
        let own = self.membership.identity();
        let homes: Vec<Arc<str>> = self
            .homes(&own.region, &Target::Model(model.clone()))
            .iter()
            .map(|home| home.name.clone())
            .collect();
        let loaded: Vec<Arc<str>> = self
            .fleet
            .iter()
            .filter(|(_, upstream)| upstream.has_loaded(key))
            .map(|(_, upstream)| upstream.listing.name.clone())
            .collect();
        let reason = match (homes.first(), loaded.is_empty()) {
            (None, _) => "no instance of this region owns an upstream that may run it",
            (Some(home), _) if *home != own.name => "another instance is home to it",
            (Some(_), true) => "no request has needed it since it was last unloaded",
            (Some(_), false) => "it was loaded for requests and not needed less than others since",
        };
        Answer::Explanation(Explanation {
            name: self.catalog.revision(key).name.clone(),
            homes,
            loaded,
            waiting: self.requests.waiting(key).len() as u32,
            reason: reason.into(),
        })
    }

    fn holding(&self, now: Instant, key: key::Upstream) -> Holding {
        let Some(upstream) = self.fleet.get(key) else { return Holding::Unknown };
        if !upstream.has_fresh_report(now) {
            return Holding::Unknown;
        }
        let dropped =
            upstream.residents.keys().any(|revision| !self.catalog.revision(*revision).current);
        if dropped { Holding::Pending } else { Holding::Holds }
    }

    fn loaded(&self, key: key::Upstream) -> Vec<Arc<str>> {
        let Some(upstream) = self.fleet.get(key) else { return Vec::new() };
        let mut names: Vec<Arc<str>> = upstream
            .residents
            .keys()
            .filter(|revision| upstream.has_loaded(**revision))
            .map(|revision| self.catalog.revision(*revision).name.clone())
            .collect();
        names.sort();
        names
    }
}
