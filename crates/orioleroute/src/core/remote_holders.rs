//! Announcements between regions about the revisions that instances hold.

use super::Core;
use super::routes::MAX_HOPS;
use crate::instance::Instance as Identity;
use crate::message::Message;
use crate::prelude::*;
use crate::routing;

impl Core {
    /// Announces to the homes of a revision in other regions whether this instance holds it.
    pub(super) fn announce(&mut self, revision: key::Revision) {
        let candidates = self.candidates(revision).iter();
        let held = candidates
            .filter_map(|key| self.fleet.get(*key))
            .any(|upstream| upstream.has_loaded(revision));
        let named = self.catalog.revision(revision);
        let own = &self.membership.identity().region;
        for view in self.membership.views().filter(|view| view.region != *own) {
            let home = self.ownership.home(&view.region, &named.model, named.digest);
            let Some(home) = home.filter(|_| named.may_run_in(&view.region)) else { continue };
            self.effects.push(Effect::Send {
                to: home.instance.name.clone(),
                address: home.instance.peer_address,
                message: Message::Holds { name: named.name.clone(), held },
            });
        }
    }

    /// Handles a peer's announcement about a revision.
    pub(super) fn handle_holds(&mut self, from: &Arc<str>, name: &str, held: bool) {
        if let Some(revision) = self.catalog.find(name) {
            self.holders.update(revision, from, held);
        }
    }

    /// Forwards a request to a region that holds its revision, if that saves enough of the wait for
    /// a load. Returns whether the request was forwarded.
    pub(super) fn forward_to_holder(
        &mut self,
        now: Instant,
        key: key::Request,
        revision: key::Revision,
    ) -> bool {
        let Some(request) = self.requests.get(key) else { return false };
        // A claim binds the request to this instance; another one would treat it as a conflict.
        if request.spec.hops >= MAX_HOPS - 1 || request.claim.is_some() {
            return false;
        }
        if !routing::prefers_remote_region(self.load_wait(revision), self.catalog.policy()) {
            return false;
        }
        let holder = self.holders.of(revision).find_map(|name| self.remote_member(revision, name));
        let Some((instance, address)) =
            holder.map(|holder| (holder.name.clone(), holder.caller_address))
        else {
            return false;
        };
        self.forward_to(now, key, instance, address);
        true
    }

    /// Returns the member of another region with this name, if the revision may run there.
    fn remote_member(&self, revision: key::Revision, name: &str) -> Option<&Identity> {
        let revision = self.catalog.revision(revision);
        let own = &self.membership.identity().region;
        let views = self.membership.views().filter(|view| view.region != *own);
        views.filter(|view| revision.may_run_in(&view.region)).find_map(|view| view.member(name))
    }
}
