//! Orders of unknown outcome, and the reports that settle them.

use std::time::Duration;

use orioleroute::catalog::Catalog;
use orioleroute::engine::{Loaded, Outcome, Report};
use orioleroute::fleet::{Fleet, MAX_ORDER_DELAY, Residency};
use orioleroute::instance::{Listing, Phase};
use orioleroute::key::{self, Ticket};
use orioleroute::prelude::Instant;

const ORDERED_AT: Instant = Instant::from_millis(1_000);
const REPLY_TIMEOUT_AT: Instant = Instant::from_millis(11_000);

struct Fixture {
    fleet: Fleet,
    catalog: Catalog,
    upstream: key::Upstream,
    revision: key::Revision,
}

fn fixture() -> Fixture {
    let mut fleet = Fleet::default();
    let mut catalog = Catalog::default();
    let listing = Listing {
        name: "upstream-0".into(),
        pool: "notices".into(),
        address: "127.0.0.1:30000".parse().unwrap(),
        region: "zurich".into(),
        zone: "zurich-1".into(),
        phase: Phase::Live,
    };
    fleet.apply_listing(&[listing]);
    let upstream = fleet.iter().next().unwrap().0;
    let revision = catalog.intern("leap-second@v1");
    Fixture { fleet, catalog, upstream, revision }
}

impl Fixture {
    fn report(&mut self, sampled: Instant, loaded: bool) {
        let name = "leap-second@v1".into();
        let loaded = if loaded { vec![Loaded { name, running: 0 }] } else { Vec::new() };
        let report = Report { incarnation: 1, loaded, ..Report::default() };
        let probed = sampled + Duration::from_millis(1);
        self.fleet.get_mut(self.upstream).unwrap().probed = probed;
        let catalog = &self.catalog;
        self.fleet.apply_report(probed, self.upstream, &report, |name| catalog.find(name));
    }

    fn residency(&self) -> Option<Residency> {
        let residents = &self.fleet.get(self.upstream).unwrap().residents;
        residents.get(&self.revision).map(|resident| resident.residency)
    }

    fn load_without_reply(&mut self) {
        let upstream = self.fleet.get_mut(self.upstream).unwrap();
        upstream.begin_load(ORDERED_AT, Ticket(1), self.revision);
        upstream.end_order(REPLY_TIMEOUT_AT, Ticket(1), self.revision, Outcome::Unknown);
    }

    fn unload_without_reply(&mut self) {
        self.report(Instant::from_millis(500), true);
        let upstream = self.fleet.get_mut(self.upstream).unwrap();
        upstream.begin_unload(ORDERED_AT, Ticket(1), self.revision);
        upstream.end_order(REPLY_TIMEOUT_AT, Ticket(1), self.revision, Outcome::Unknown);
    }
}

#[test]
fn a_load_of_unknown_outcome_holds_its_slot_until_a_report_could_show_it() {
    let mut fixture = fixture();
    fixture.load_without_reply();

    fixture.report(REPLY_TIMEOUT_AT + MAX_ORDER_DELAY / 2, false);
    assert_eq!(fixture.residency(), Some(Residency::Loading));

    fixture.report(REPLY_TIMEOUT_AT + MAX_ORDER_DELAY, false);
    assert_eq!(fixture.residency(), None);
}

#[test]
fn a_load_of_unknown_outcome_answers_requests_once_a_report_shows_it() {
    let mut fixture = fixture();
    fixture.load_without_reply();

    fixture.report(REPLY_TIMEOUT_AT, true);

    assert_eq!(fixture.residency(), Some(Residency::Loaded));
}

#[test]
fn an_unload_of_unknown_outcome_blocks_requests_while_it_may_still_take_effect() {
    let mut fixture = fixture();
    fixture.unload_without_reply();

    fixture.report(REPLY_TIMEOUT_AT + MAX_ORDER_DELAY / 2, true);
    assert_eq!(fixture.residency(), Some(Residency::Unloading));

    fixture.report(REPLY_TIMEOUT_AT + MAX_ORDER_DELAY, true);
    assert_eq!(fixture.residency(), Some(Residency::Loaded));
}

#[test]
fn an_unload_of_unknown_outcome_frees_its_slot_once_a_report_shows_it() {
    let mut fixture = fixture();
    fixture.unload_without_reply();

    fixture.report(REPLY_TIMEOUT_AT, false);

    assert_eq!(fixture.residency(), None);
}

#[test]
fn a_late_reply_does_not_undo_what_a_report_has_settled() {
    let mut fixture = fixture();
    fixture.fleet.get_mut(fixture.upstream).unwrap().begin_load(
        ORDERED_AT,
        Ticket(1),
        fixture.revision,
    );
    fixture.report(ORDERED_AT, true);

    let upstream = fixture.fleet.get_mut(fixture.upstream).unwrap();
    upstream.end_order(REPLY_TIMEOUT_AT, Ticket(1), fixture.revision, Outcome::Failed);

    assert_eq!(fixture.residency(), Some(Residency::Loaded));
}

#[test]
fn a_report_sampled_before_an_order_ended_does_not_refute_it() {
    let mut fixture = fixture();
    let upstream = fixture.fleet.get_mut(fixture.upstream).unwrap();
    upstream.begin_load(ORDERED_AT, Ticket(1), fixture.revision);
    upstream.end_order(REPLY_TIMEOUT_AT, Ticket(1), fixture.revision, Outcome::Done);

    fixture.report(ORDERED_AT, false);

    assert_eq!(fixture.residency(), Some(Residency::Loaded));
}

#[test]
fn a_revision_no_longer_reported_is_kept_while_requests_may_be_on_their_way_to_it() {
    let mut fixture = fixture();
    fixture.report(ORDERED_AT, true);
    let upstream = fixture.fleet.get_mut(fixture.upstream).unwrap();
    upstream.residents.get_mut(&fixture.revision).unwrap().running = 1;

    fixture.report(REPLY_TIMEOUT_AT, false);

    assert_eq!(fixture.residency(), Some(Residency::Unloading));
}
