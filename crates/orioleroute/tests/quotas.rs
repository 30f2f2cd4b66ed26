//! Replays of the quotas of organisations over all zones.
//!
//! Guards against an organisation that runs more than its quota while machines and links fail, and against one that is refused
//! although it has room.

mod lending;

use lending::{
    COST, Policy, REFUND_TTL, SETTLED, World, ZONES, bound, everywhere, large, most, moving, small,
};
use orioleroute::ingress::quota::{Account, Lender, UNHEARD_TIME};
use orioleroute::ingress::{Quota, quota};
use orioleroute::prelude::*;
use proptest::prelude::*;

#[rstest::rstest]
#[case::small(small())]
#[case::large(large())]
fn six_times_the_usual_use_the_quota_and_no_more(#[case] quota: Quota) {
    let mut world = World::new(quota);

    world.run(Duration::from_secs(30), quota.rate * 6.0, everywhere);

    world.check_bound();
    let used = world.used_since(SETTLED);
    assert!(used >= 0.95, "used to {used}");
}

#[rstest::rstest]
#[case::small(small())]
#[case::large(large())]
fn zones_that_count_alone_let_more_run_than_the_quota(#[case] quota: Quota) {
    let mut world = World::new(quota);
    world.policy = Policy::WholeEach;

    world.run(Duration::from_secs(30), quota.rate * 6.0, everywhere);

    assert!(world.most() > bound(&quota), "{} of {}", world.most(), bound(&quota));
}

#[rstest::rstest]
#[case::small(small())]
#[case::large(large())]
fn moving_clients_use_the_quota(#[case] quota: Quota) {
    let mut world = World::new(quota);

    world.run(Duration::from_secs(30), quota.rate * 2.0, moving);

    world.check_bound();
    let used = world.used_since(SETTLED);
    assert!(used >= 0.95, "used to {used}");
}

#[rstest::rstest]
#[case::small(small())]
#[case::large(large())]
fn equal_parts_refuse_moving_clients(#[case] quota: Quota) {
    let mut world = World::new(quota);
    world.policy = Policy::PartEach;

    world.run(Duration::from_secs(30), quota.rate * 2.0, moving);

    let used = world.used_since(SETTLED);
    assert!(used < 0.95, "used to {used}");
}

#[rstest::rstest]
#[case::small_everywhere(small(), everywhere)]
#[case::small_moving(small(), moving)]
#[case::large_everywhere(large(), everywhere)]
#[case::large_moving(large(), moving)]
fn few_requests_inside_the_quota_are_refused(
    #[case] quota: Quota,
    #[case] zone: fn(Duration, u64) -> usize,
) {
    let mut world = World::new(quota);

    world.run(Duration::from_secs(60), quota.rate * 0.9, zone);

    let (served, refused) = (world.charged.len(), world.refused.len());
    assert!(refused * 200 <= served + refused, "{refused} refused, {served} served");
}

#[test]
fn a_lowered_quota_binds_after_a_window() {
    let quota = large();
    let mut world = World::new(quota);
    world.run(Duration::from_secs(10), quota.rate * 3.0, everywhere);

    world.quota = Quota { rate: quota.rate / 2.0, burst: quota.burst / 2.0, ..quota };
    let lowered = world.now;
    world.run(Duration::from_secs(20), quota.rate * 3.0, everywhere);

    let most = most(&world.charged, lowered);
    assert!(most <= bound(&world.quota), "{most} of {}", bound(&world.quota));
}

#[test]
fn a_raised_quota_helps_at_once() {
    let quota = small();
    let mut world = World::new(quota);
    world.run(Duration::from_secs(10), quota.rate * 6.0, everywhere);

    world.quota = Quota { rate: quota.rate * 4.0, ..quota };
    let raised = world.now;
    world.run(Duration::from_secs(4), quota.rate * 6.0, everywhere);

    let used = world.used_since(raised);
    assert!(used >= 0.9, "used to {used}");
}

#[rstest::rstest]
#[case::lost(Duration::from_secs(3), 2)]
#[case::frozen(Duration::from_secs(4), 1)]
fn requests_go_on_while_the_lender_is_away(#[case] away: Duration, #[case] term: u64) {
    let quota = large();
    let mut world = World::new(quota);
    world.run(Duration::from_secs(10), quota.rate * 2.0, everywhere);

    let lost = world.now;
    let lender = world.lender.take();
    world.run(away, quota.rate * 2.0, everywhere);
    let served = world.used_since(lost);
    world.lender = lender.filter(|lender| lender.term() == term);
    let successor = Lender::succeeding(term, lost + UNHEARD_TIME);
    world.lender.get_or_insert(successor);
    world.run(Duration::from_secs(10), quota.rate * 2.0, everywhere);

    assert!(served >= 0.55, "used to {served} without a lender");
    world.check_bound();
    let used = world.used_since(lost + away);
    assert!(used >= 0.9, "used to {used} afterwards");
}

#[test]
fn a_restarted_lender_lends_what_nobody_has_spent() {
    let quota = small();
    let mut world = World::new(quota);
    world.run(Duration::from_secs(10), quota.rate * 0.5, everywhere);

    // All processes are started again.
    world.accounts = (0..ZONES).map(|_| Account::default()).collect();
    world.questions.iter_mut().for_each(|question| question.1 = false);
    let start = world.now - Duration::from_millis(1_200);
    world.lender = Some(Lender::succeeding(2, start));
    let (restarted, refused) = (world.now, world.refused.len());
    world.run(Duration::from_secs(2), quota.rate * 1.2, everywhere);

    assert_eq!(world.refused.len(), refused);
    assert!(world.used_since(restarted) > 1.0);
}

#[test]
fn a_restarted_lender_counts_what_was_spent_alone() {
    let quota = large();
    let mut world = World::new(quota);
    world.run(Duration::from_secs(10), quota.rate * 2.0, everywhere);

    world.lender = None;
    let start = world.now;
    world.run(Duration::from_secs(1), quota.rate * 2.0, everywhere);
    world.lender = Some(Lender::succeeding(2, start));
    world.run(Duration::from_secs(10), quota.rate * 2.0, everywhere);

    world.check_bound();
}

#[test]
fn a_zone_alone_keeps_its_part() {
    let quota = large();
    let mut world = World::new(quota);
    world.run(Duration::from_secs(10), quota.rate * 2.0, everywhere);

    let cut = world.now;
    world.is_cut[1] = true;
    world.run(Duration::from_secs(4), quota.rate * 2.0, everywhere);
    world.is_cut[1] = false;
    world.run(Duration::from_secs(10), quota.rate * 2.0, everywhere);

    world.check_bound();
    let used = world.used_since(cut);
    assert!(used >= 0.9, "used to {used}");
}

#[test]
fn the_lenders_of_organisations_lie_in_all_zones() {
    let zones: Vec<String> = (0..ZONES).map(|zone| format!("zone-{zone}")).collect();
    let names = || zones.iter().map(String::as_str);

    let lenders: Set<&str> = (0..100)
        .filter_map(|number| quota::lender_zone(&format!("organisation {number}"), names()))
        .collect();

    assert_eq!(lenders.len(), ZONES);
}

/// What happens next to the system.
#[derive(Clone, Debug)]
enum Step {
    Run { millis: u64, demand: f64, zones: u64 },
    LoseLender,
    Succeed,
    Cut(usize),
    Heal(usize),
    ForgetAccount(usize),
    Return { zone: usize, requests: usize },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (20..2_500_u64, 0.0..8.0, 1..=ZONES as u64)
            .prop_map(|(millis, demand, zones)| Step::Run { millis, demand, zones }),
        1 => Just(Step::LoseLender),
        2 => Just(Step::Succeed),
        1 => (0..ZONES).prop_map(Step::Cut),
        2 => (0..ZONES).prop_map(Step::Heal),
        1 => (0..ZONES).prop_map(Step::ForgetAccount),
        2 => (0..ZONES, 1..40_usize)
            .prop_map(|(zone, requests)| Step::Return { zone, requests }),
    ];
    proptest::collection::vec(step, 4..30)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn no_window_is_over_the_bound(steps in steps(), is_large in any::<bool>()) {
        let quota = if is_large { large() } else { small() };
        let mut world = World::new(quota);
        let mut lost = Instant::ZERO;

        for step in steps {
            match step {
                Step::Run { millis, demand, zones } => {
                    let zone = |_, number| (number % zones) as usize;
                    world.run(Duration::from_millis(millis), quota.rate * demand, zone);
                }
                Step::LoseLender => {
                    lost = world.now;
                    world.lender = None;
                }
                // A successor comes after the time of a take-over.
                Step::Succeed if world.now.since(lost) > quota::RESERVE_TTL => {
                    let term = world.now.as_micros();
                    let since = lost + UNHEARD_TIME;
                    world.lender.get_or_insert_with(|| Lender::succeeding(term, since));
                }
                Step::Succeed => {}
                Step::Cut(zone) => world.is_cut[zone] = true,
                Step::Heal(zone) => world.is_cut[zone] = false,
                Step::ForgetAccount(zone) => {
                    world.accounts[zone] = Account::default();
                    world.questions[zone].1 = false;
                }
                // Requests that were charged within a second have not run.
                Step::Return { zone, requests } => {
                    for _ in 0..requests {
                        let recent = |(at, _): &(Instant, u64)| world.now.since(*at) < REFUND_TTL;
                        let Some(first) = world.charged.iter().position(recent) else { break };
                        world.charged.remove(first);
                        let organisation = World::organisation();
                        world.accounts[zone].refund(&organisation, COST, world.now);
                    }
                }
            }
        }

        prop_assert!(world.most() <= bound(&quota), "{} of {}", world.most(), bound(&quota));
    }
}
