//! The lease that a leader needs to issue orders to engines that do not check fencing tokens.
//!
//! Guards against two leaders that act in turn: a former leader that was frozen or cut off and does not
//! know yet that it was replaced. The opposite fault, a leader that stops in an outage in which nobody
//! can replace it, leaves a zone without loads.

use std::net::SocketAddr;

use orioleroute::ingress::access::Report;
use orioleroute::ingress::roster::{Contact, Heartbeat, Member, Roster};
use orioleroute::prelude::*;
use orioleroute::scheduler::lease::{CONFIRMATION_TTL, Lease, MAX_PAUSE};
use rstest::rstest;

const UNFENCED: bool = false;
const FENCED: bool = true;

/// The time after which an instance takes over from a leader whose heartbeats have stopped: 6.5 heartbeat
/// intervals.
const TAKEOVER_TIME: Duration = Duration::from_millis(2_600);

fn contact(
    near: usize,
    near_responsive: usize,
    remote: usize,
    remote_responsive: usize,
) -> Contact {
    Contact { near, near_responsive, remote, remote_responsive }
}

const IN_TOUCH: Contact = Contact { near: 2, near_responsive: 2, remote: 6, remote_responsive: 6 };
const ISOLATED: Contact = Contact { near: 2, near_responsive: 0, remote: 6, remote_responsive: 0 };

/// Returns a lease that is observed ten times a second until `now`.
fn running_lease(now: Instant) -> Lease {
    let mut lease = Lease::default();
    for millis in (0..=now.as_micros() / 1_000).step_by(100) {
        lease.observe(Some(Duration::ZERO), Instant::from_millis(millis));
    }
    lease
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

#[rstest]
#[case::all_responsive(contact(2, 2, 6, 6), true)]
#[case::most_of_the_region(contact(4, 2, 6, 1), true)]
#[case::half_of_the_region(contact(3, 1, 6, 6), false)]
#[case::no_other_region(contact(2, 2, 6, 0), false)]
#[case::nobody(contact(2, 0, 6, 0), false)]
#[case::alone_by_design(contact(0, 0, 0, 0), true)]
fn contact_with_possible_successors_permits_orders(
    #[case] contact: Contact,
    #[case] is_permitted: bool,
) {
    let lease = running_lease(at(5_000));

    assert_eq!(lease.permits_orders(UNFENCED, contact, at(5_000)), is_permitted);
}

#[test]
fn a_leader_that_only_reaches_the_store_acts_on_a_recent_read() {
    let mut lease = running_lease(at(5_000));
    assert!(!lease.permits_orders(UNFENCED, ISOLATED, at(5_000)));

    lease.confirm(at(4_990), at(5_000));

    assert!(lease.permits_orders(UNFENCED, ISOLATED, at(5_000)));
    assert!(!lease.permits_orders(UNFENCED, ISOLATED, at(4_990) + CONFIRMATION_TTL));
}

/// A successor that gets no more heartbeats of the leader waits for [`TAKEOVER_TIME`]; by then the leader must have
/// stopped on its own.
#[test]
fn an_isolated_leader_stops_before_it_is_replaced() {
    let own = member("a");
    let mut roster = Roster::new(own);
    roster.upsert(member("b"), Instant::ZERO);
    roster.upsert(member("c"), Instant::ZERO);
    let last_heard = at(10_000);
    for name in ["b", "c"] {
        let heartbeat = Heartbeat {
            name: name.into(),
            incarnation: 1,
            is_serving: true,
            store: Report::Unused,
            unread: Vec::new(),
            is_cut_off: false,
            loads: Vec::new(),
        };
        roster.record_heartbeat(&heartbeat, last_heard);
    }
    let lease = running_lease(last_heard + TAKEOVER_TIME);

    let permits = |now| lease.permits_orders(UNFENCED, roster.contact(now), now);

    assert!(permits(last_heard));
    assert!(!permits(last_heard + TAKEOVER_TIME.mul_f64(0.75)));
}

/// Two clocks tell of a suspension. The steady clock stops in one kind of freeze and goes on in the other.
#[rstest]
#[case::clock_stopped(at(5_100), Duration::from_millis(4_000))]
#[case::clock_went_on(at(5_000) + MAX_PAUSE + Duration::from_millis(1), Duration::ZERO)]
fn after_a_freeze_orders_wait_for_a_read_of_the_leaders(
    #[case] thawed: Instant,
    #[case] suspension: Duration,
    #[values(UNFENCED, FENCED)] is_fenced: bool,
) {
    let mut lease = running_lease(at(5_000));
    lease.confirm(at(4_990), at(5_000));

    let was_suspended = lease.observe(Some(suspension), thawed);

    assert!(was_suspended);
    assert!(!lease.permits_orders(is_fenced, IN_TOUCH, thawed));
    let sent = thawed + Duration::from_millis(10);
    lease.confirm(sent, sent + Duration::from_millis(20));
    assert!(lease.permits_orders(is_fenced, IN_TOUCH, sent + Duration::from_millis(20)));
}

/// The answer to a read that was sent before a freeze may have been waiting since then.
#[test]
fn a_read_that_was_sent_before_a_freeze_does_not_permit_orders() {
    let mut lease = running_lease(at(5_000));
    let thawed = at(9_000);
    lease.observe(Some(Duration::ZERO), thawed);

    lease.confirm(at(4_990), thawed);

    assert!(!lease.permits_orders(UNFENCED, IN_TOUCH, thawed));
}

/// A leader is cut off, another instance takes over, and the cut heals while the store turns the former
/// leader away: heartbeats arrive again before it learns that it was replaced.
#[test]
fn contact_that_returns_is_no_evidence_until_the_leaders_are_read() {
    let mut lease = running_lease(at(5_000));
    lease.observe_contact(IN_TOUCH, at(5_000));
    lease.observe_contact(ISOLATED, at(6_000));
    lease.observe_contact(IN_TOUCH, at(10_000));
    assert!(!lease.permits_orders(UNFENCED, IN_TOUCH, at(10_000)));
    assert!(lease.permits_orders(FENCED, IN_TOUCH, at(10_000)));

    lease.confirm(at(5_900), at(6_010));
    assert!(!lease.permits_orders(UNFENCED, IN_TOUCH, at(10_000)), "read before the cut");
    lease.confirm(at(10_000), at(10_030));

    assert!(lease.permits_orders(UNFENCED, IN_TOUCH, at(10_030)));
    assert!(lease.permits_orders(UNFENCED, IN_TOUCH, at(10_000) + CONFIRMATION_TTL));
}

/// A former leader that is alone or was frozen lends quotas beside its successor.
#[test]
fn loans_need_contact_or_a_read_of_the_leaders() {
    let mut lease = running_lease(at(5_000));
    lease.observe_contact(ISOLATED, at(5_000));
    assert!(!lease.permits_loans(ISOLATED, at(5_000)));
    assert!(lease.permits_loans(IN_TOUCH, at(5_500)), "contact has returned");
    lease.confirm(at(5_500), at(5_510));
    assert!(lease.permits_loans(ISOLATED, at(5_600)));

    lease.observe(Some(Duration::ZERO), at(9_000));

    assert!(!lease.permits_loans(IN_TOUCH, at(9_000)), "frozen");
}

#[test]
fn engines_that_check_fencing_tokens_need_no_contact() {
    let lease = running_lease(at(5_000));

    assert!(lease.permits_orders(FENCED, ISOLATED, at(5_000)));
}

fn member(name: &str) -> Member {
    Member {
        name: name.into(),
        incarnation: 1,
        region: "r".into(),
        zone: "r-a".into(),
        caller_address: SocketAddr::from(([10, 0, 0, 1], 1_000)),
        peer_address: SocketAddr::from(([10, 0, 0, 1], 2_000)),
        capacity: 25,
    }
}
