//! Fixed histories: one without faults, and those that once violated an invariant.

mod histories;

use std::time::Duration;

use histories::*;
use orioleroute::operator::Command;
use standins::world::{Faults, Record, World};

#[test]
fn a_system_without_faults_answers_every_request() {
    let mut world = world(1);
    for node in 0..6 {
        apply(&mut world, &Step::Ask { node, adapter: node, exact: false });
    }
    world.run(Duration::from_secs(5));
    for number in 0..6 {
        assert!(
            matches!(world.outcome(number), Some(standins::world::Outcome::Complete(_))),
            "request {number}: {:?}",
            world.outcome(number)
        );
    }
    assert_eq!(world.platform.faults, Faults::default());
}

#[test]
fn an_accepted_submission_of_unknown_outcome_is_not_reported_as_refused() {
    let mut world = world(1);
    // Node 0 writes the acceptance but gets no reply, and cannot reach the platform until another
    // version is accepted.
    apply(&mut world, &Step::Submit { node: 0, versions: 2 });
    let staged = |world: &World| world.platform.rows["config/staged"].version == 3;
    assert!(world.run_until(Duration::from_secs(3), staged));
    world.platform.faults.replies_lost = true;
    let accepted = |version: u64| {
        move |world: &World| {
            world.records.iter().any(|(_, record)| {
                matches!(record, Record::ConfigAccepted { version: head, .. } if *head == version)
            })
        }
    };
    assert!(world.run_until(Duration::from_secs(3), accepted(2)));
    world.platform.faults.replies_lost = false;
    world.isolated_from_platform.insert(0);
    world.run(Duration::from_millis(3_000));
    world.command(3, Command::Submit { base: 2, document: document(1).into() });
    let followed = world.run_until(Duration::from_secs(30), accepted(3));
    world.heal();
    world.run(Duration::from_secs(10));

    assert!(followed);
    assert_eq!(world.checker.violations(), []);
}

#[test]
fn a_partitioned_region_does_not_answer_from_a_replaced_version() {
    let mut world = world(1);
    apply(&mut world, &Step::Submit { node: 0, versions: 2 });
    // Only the announcement of an acceptance makes a node send a message to all others at once.
    let others = (REGIONS.len() * NODES_PER_REGION - 1) as u64;
    let mut sent = world.nodes[0].counts.messages;
    while world.nodes[0].counts.messages < sent + others {
        sent = world.nodes[0].counts.messages;
        world.run(Duration::from_millis(1));
    }

    // The other region confirms, but neither receives the announcement nor reads the head row.
    for far in NODES_PER_REGION..REGIONS.len() * NODES_PER_REGION {
        world.isolated_from_platform.insert(far);
        for near in 0..NODES_PER_REGION {
            world.partitions.insert((near, far));
        }
    }
    world.run(Duration::from_millis(4_300));
    for node in NODES_PER_REGION..REGIONS.len() * NODES_PER_REGION {
        for adapter in 0..ADAPTERS {
            apply(&mut world, &Step::Ask { node, adapter, exact: false });
        }
    }
    world.run(Duration::from_secs(6));

    let accepted = world
        .records
        .iter()
        .any(|(_, record)| matches!(record, Record::ConfigAccepted { version: 2, .. }));
    assert!(accepted);
    assert_eq!(world.nodes[NODES_PER_REGION].core.as_ref().map(|core| core.version()), Some(1));
    assert_eq!(world.checker.violations(), []);
}

#[test]
fn a_waiting_request_is_answered_from_the_document_that_became_active_meanwhile() {
    let seed = 1_466_971_592_330_384_674;
    let ask = |node, adapter| Step::Ask { node, adapter, exact: false };
    let steps = [
        Step::Pause(2),
        Step::Wait(5_444),
        ask(4, 3),
        Step::Submit { node: 5, versions: 2 },
        Step::IsolateFromPlatform(0),
        ask(4, 0),
        Step::Wait(813),
        ask(4, 4),
        Step::Wait(2_614),
        Step::Wait(2_654),
        Step::Pause(3),
        Step::DrainUpstream(0),
        Step::Pause(0),
        ask(2, 0),
        ask(4, 0),
        ask(4, 0),
        Step::SubmitConcurrently { one: 2, other: 4 },
        ask(1, 6),
    ];

    let violation = first_violation(seed, &steps, |_| true);

    assert_eq!(violation, None);
}

#[test]
fn a_new_owner_unloads_revisions_that_its_documents_never_contained() {
    let ask = |node, adapter| Step::Ask { node, adapter, exact: false };
    let steps = [
        vec![Step::Pause(2), Step::Stop(0), Step::Wait(2_157)],
        vec![Step::Submit { node: 1, versions: 2 }, Step::Wait(1_469), Step::Wait(832), ask(1, 2)],
        vec![Step::Start(0), Step::TableDown, Step::Submit { node: 3, versions: 1 }],
        vec![Step::Submit { node: 0, versions: 1 }, Step::Wait(900), Step::Wait(2_249)],
        vec![Step::Resume(2), ask(0, 0)],
    ];

    let violation = first_violation(67_676_501_408_195, &steps.concat(), |_| true);

    assert_eq!(violation, None);
}

#[test]
fn a_submitter_with_an_unknown_outcome_does_not_answer_from_an_older_document() {
    let seed = 7_481_773_281_296_995_276;
    let both = |one, other| Step::Both(Box::new(one), Box::new(other));
    let steps = [
        Step::Pause(4),
        Step::Wait(1_848),
        Step::SubmitConcurrently { one: 5, other: 2 },
        both(Step::Kill(4), Step::Pause(5)),
        Step::Wait(4_725),
        both(Step::ObjectsDown, Step::TableSlow(1_496)),
        Step::Wait(4_550),
        Step::Ask { node: 0, adapter: 2, exact: false },
    ];

    let violation = first_violation(seed, &steps, |_| true);

    assert_eq!(violation, None);
}
