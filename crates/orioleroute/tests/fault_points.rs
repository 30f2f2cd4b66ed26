//! Injects every fault at each of several moments of a history and checks every invariant.

mod histories;

use std::time::Duration;

use histories::*;
use standins::world::{Record, World};

/// A moment at which a fault is injected.
#[derive(Clone, Copy, Debug)]
enum Moment {
    Idle,
    RequestArrived,
    LoadOrdered,
    RequestRunning,
    SubmissionStaged,
    SubmissionAccepted,
    ViewChanged,
    ProcessResumed,
}

/// Returns the faults of node 0, which receives the requests and submissions, of its peers and of
/// the services that it uses.
fn faults() -> Vec<Step> {
    let mut faults = vec![
        Step::Partition(0, 1),
        Step::PartitionOneWay(0, 1),
        Step::PartitionOneWay(1, 0),
        Step::PartitionOneWay(0, 3),
        Step::TableDown,
        Step::TableSlow(2_000),
        Step::RepliesLost,
        Step::WritesLate(3_000),
        Step::ObjectsDown,
        messages(50, 50, 2_000),
        Step::SubmitConcurrently { one: 0, other: 3 },
    ];
    for node in 0..NODES_PER_REGION {
        faults.extend([
            Step::Kill(node),
            Step::Stop(node),
            Step::Pause(node),
            Step::IsolateFromPlatform(node),
        ]);
    }
    for engine in 0..ENGINES_PER_REGION {
        faults.extend([
            Step::RestartEngine(engine),
            Step::EngineDown(engine, true),
            Step::LoadsFail(engine, true),
            Step::OrderRepliesLost(engine, true),
            Step::AnswersLost(engine, true),
            Step::ReportsLate(engine, 2_000),
            Step::DrainUpstream(engine),
        ]);
    }
    faults
}

fn ask_for(adapters: std::ops::Range<usize>) -> impl Iterator<Item = Step> {
    adapters.map(|adapter| Step::Ask { node: 0, adapter, exact: adapter % 2 == 0 })
}

/// Runs a world up to a moment and returns whether the moment was reached.
fn reach(world: &mut World, moment: Moment) -> bool {
    let limit = Duration::from_secs(12);
    let happened = |wanted: fn(&Record) -> bool, since: usize| {
        move |world: &World| world.records[since..].iter().any(|(_, record)| wanted(record))
    };
    let since = world.records.len();
    match moment {
        Moment::Idle => return true,
        Moment::RequestArrived | Moment::LoadOrdered | Moment::RequestRunning => {
            ask_for(0..6).for_each(|step| apply(world, &step));
        }
        Moment::SubmissionStaged | Moment::SubmissionAccepted => {
            apply(world, &Step::Submit { node: 0, versions: 2 });
        }
        Moment::ViewChanged => apply(world, &Step::Kill(2)),
        Moment::ProcessResumed => {
            apply(world, &Step::Pause(2));
            world.run(Duration::from_secs(8));
            apply(world, &Step::Resume(2));
        }
    }
    match moment {
        Moment::LoadOrdered => world.run_until(
            limit,
            happened(|record| matches!(record, Record::OrderAccepted { .. }), since),
        ),
        Moment::RequestRunning => world.run_until(
            limit,
            happened(|record| matches!(record, Record::RunStarted { .. }), since),
        ),
        Moment::SubmissionStaged => {
            world.run_until(limit, |world| world.platform.rows["config/staged"].version == 3)
        }
        Moment::SubmissionAccepted => world.run_until(
            limit,
            happened(|record| matches!(record, Record::ConfigAccepted { .. }), since),
        ),
        Moment::ViewChanged => {
            let view = world.platform.rows["view/zurich"].version;
            world.run_until(limit, |world| world.platform.rows["view/zurich"].version > view)
        }
        _ => true,
    }
}

#[rstest::rstest]
fn every_fault_at_this_moment_violates_no_invariant(
    #[values(
        Moment::Idle,
        Moment::RequestArrived,
        Moment::LoadOrdered,
        Moment::RequestRunning,
        Moment::SubmissionStaged,
        Moment::SubmissionAccepted,
        Moment::ViewChanged,
        Moment::ProcessResumed
    )]
    moment: Moment,
) {
    for fault in faults() {
        let mut world = world(7);
        assert!(reach(&mut world, moment), "{moment:?}");
        apply(&mut world, &fault);
        ask_for(3..9).for_each(|step| apply(&mut world, &step));
        apply(&mut world, &Step::CallService { node: 1, key: 1 });
        world.run(Duration::from_secs(2));
        ask_for(6..12).for_each(|step| apply(&mut world, &step));
        apply(&mut world, &Step::CallService { node: 4, key: 1 });
        world.run(Duration::from_secs(8));
        world.settle(RECOVERY_TIME);

        let violations = world.checker.violations();
        assert!(violations.is_empty(), "{fault:?} at {moment:?}: {violations:?}");
    }
}
