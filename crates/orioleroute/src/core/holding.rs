//! What instances of different regions tell each other of the revisions that they hold.

use super::Core;
use super::routes::HOPS;
use crate::instance::Instance as Identity;
use crate::message::Message;
use crate::prelude::*;
use crate::routing;

impl Core {
    /// Tells the homes of a revision in other regions whether this instance holds it.
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

    /// Takes what a peer says of a revision.
    pub(super) fn take_holds(&mut self, from: &Arc<str>, name: &str, held: bool) {
        if let Some(revision) = self.catalog.find(name) {
            self.holders.note(revision, from, held);
        }
    }

    /// Passes a request on to a region that holds its revision, if that saves enough of the wait,
    /// and returns whether it did.
    pub(super) fn leave_region(
        &mut self,
        now: Instant,
        key: key::Request,
        revision: key::Revision,
    ) -> bool {
        let Some(request) = self.requests.get(key) else { return false };
        // A claim binds the request to this instance: another one would take it for a conflict.
        if request.spec.hops >= HOPS - 1 || request.claim.is_some() {
            return false;
        }
        if !routing::leaves_region(self.load_wait(revision), self.catalog.policy()) {
            return false;
        }
        let holder = self.holders.of(revision).find_map(|name| self.member(revision, name));
        let Some((instance, address)) =
            holder.map(|holder| (holder.name.clone(), holder.caller_address))
        else {
            return false;
        };
        self.forward_to(now, key, instance, address);
        true
    }

    /// Returns the member of another region with this name, if the revision may run there.
    fn member(&self, revision: key::Revision, name: &str) -> Option<&Identity> {
        let revision = self.catalog.revision(revision);
        let own = &self.membership.identity().region;
        let views = self.membership.views().filter(|view| view.region != *own);
        views.filter(|view| revision.may_run_in(&view.region)).find_map(|view| view.member(name))
    }
}
