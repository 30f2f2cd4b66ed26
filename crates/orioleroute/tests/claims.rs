//! Requests that may run only once, under faults of the table, the service and the claimers.

mod histories;

use std::time::Duration;

use orioleroute::operator::Command;
use orioleroute::request::{Kind, Ran, Refusal, Spec, Target};
use proptest::prelude::*;
use rstest::rstest;
use serde_json::json;
use standins::world::{Engine, Faults, Outcome, Record, World};

const NODES: usize = 3;

/// Longer than a run of the service and any wait for the table.
const SETTLED: Duration = Duration::from_secs(8);

fn document() -> String {
    json!({
        "format": 1,
        "models": [],
        "pools": [],
        "adapters": [],
        "services": [{ "name": "bookings", "pool": "course" }],
    })
    .to_string()
}

/// Returns nodes in front of one plain service, with an active document.
fn world(seed: u64) -> World {
    let mut world = World::new(seed);
    for _ in 0..NODES {
        world.add_node("zurich");
    }
    world.add_engine(Engine::new(0, "course", "zurich", 0));
    world.run(SETTLED);
    world.command(0, Command::Submit { base: 0, document: document().into() });
    world.run(SETTLED);
    assert_eq!(world.nodes[0].core.as_ref().map(|core| core.version()), Some(1));
    world
}

fn book(world: &mut World, node: usize, key: Option<&str>) -> usize {
    let spec = Spec {
        timeout: Some(Duration::from_secs(5)),
        repeatable: false,
        idempotency: key.map(Into::into),
        ..Spec::new(Target::Service("bookings".into()))
    };
    world.ask(node, spec)
}

fn runs(world: &World) -> usize {
    world.records.iter().filter(|(_, record)| matches!(record, Record::RunStarted { .. })).count()
}

fn is_complete(outcome: Option<&Outcome>) -> bool {
    matches!(outcome, Some(Outcome::Complete(_)))
}

fn refusal(outcome: Option<&Outcome>) -> Option<(Kind, Ran)> {
    match outcome {
        Some(Outcome::Refused(Refusal { kind, ran, .. })) => Some((*kind, *ran)),
        _ => None,
    }
}

#[test]
fn claims_are_written_in_batches() {
    let mut world = world(1);
    let before = world.nodes[0].counts.writes;

    let numbers: Vec<usize> =
        (0..300).map(|index| book(&mut world, 0, Some(&format!("seat-{index}")))).collect();
    world.run(Duration::from_secs(3));

    assert!(numbers.iter().all(|number| is_complete(world.outcome(*number))));
    let writes = world.nodes[0].counts.writes - before;
    // 300 claims and the ends of 300 claims are 600 rows.
    assert!(writes <= 12, "{writes} writes");
}

#[test]
fn a_conflict_refuses_only_its_own_request() {
    let mut world = world(2);
    book(&mut world, 1, Some("seat-3"));
    world.run(SETTLED);

    let numbers: Vec<usize> =
        (0..10).map(|index| book(&mut world, 0, Some(&format!("seat-{index}")))).collect();
    world.run(SETTLED);

    for (index, number) in numbers.into_iter().enumerate() {
        let outcome = world.outcome(number);
        match index {
            3 => assert_eq!(refusal(outcome), Some((Kind::Conflict, Ran::Ran))),
            _ => assert!(is_complete(outcome), "{index}: {outcome:?}"),
        }
    }
}

#[test]
fn a_claim_outlives_its_claimer() {
    let mut world = world(3);
    book(&mut world, 0, Some("seat"));
    assert!(world.run_until(SETTLED, |world| runs(world) == 1));
    world.kill(0);
    world.run(SETTLED);

    let retry = book(&mut world, 1, Some("seat"));
    world.run(SETTLED);

    assert_eq!(refusal(world.outcome(retry)), Some((Kind::Conflict, Ran::MayHaveRun)));
    assert_eq!(runs(&world), 1);
}

#[rstest]
#[case::at_the_same_node(0)]
#[case::at_another_node(1)]
fn a_key_that_was_not_used_can_be_claimed_again(#[case] node: usize) {
    let mut world = world(4);
    world.engines[0].faults.down = true;
    let first = book(&mut world, 0, Some("seat"));
    world.run(SETTLED);
    world.engines[0].faults.down = false;

    let retry = book(&mut world, node, Some("seat"));
    world.run(SETTLED);

    assert_eq!(refusal(world.outcome(first)).map(|(_, ran)| ran), Some(Ran::NotRun));
    assert!(is_complete(world.outcome(retry)), "{:?}", world.outcome(retry));
}

#[rstest]
#[case::reply_lost(Faults { replies_lost: true, ..Faults::default() })]
#[case::written_late(Faults { write_delay: Some(Duration::from_secs(6)), ..Faults::default() })]
#[case::table_down(Faults { table_down: true, ..Faults::default() })]
fn a_claim_of_unknown_outcome_does_not_block_a_later_attempt(#[case] faults: Faults) {
    let mut world = world(5);
    world.platform.faults = faults;
    let first = book(&mut world, 0, Some("seat"));
    world.run(Duration::from_secs(5));
    world.heal();
    world.run(SETTLED);

    let retry = book(&mut world, 1, Some("seat"));
    world.run(SETTLED);

    assert_eq!(refusal(world.outcome(first)).map(|(_, ran)| ran), Some(Ran::NotRun));
    assert!(is_complete(world.outcome(retry)), "{:?}", world.outcome(retry));
    assert_eq!(runs(&world), 1);
}

#[test]
fn a_table_outage_refuses_requests_at_once() {
    let mut world = world(6);
    world.platform.faults.table_down = true;
    world.run(SETTLED);

    let number = book(&mut world, 0, Some("seat"));

    assert_eq!(refusal(world.outcome(number)), Some((Kind::Unavailable, Ran::NotRun)));
}

#[test]
fn a_request_without_a_key_is_attempted_once() {
    let mut world = world(7);
    world.engines[0].faults.answers_lost = true;

    let number = book(&mut world, 0, None);
    world.run(SETTLED);

    assert_eq!(refusal(world.outcome(number)).map(|(_, ran)| ran), Some(Ran::MayHaveRun));
    assert_eq!(runs(&world), 1);
}

/// A step of a generated history.
#[derive(Clone, Copy, Debug)]
enum Step {
    CallService { node: usize, key: usize },
    Kill(usize),
    Start(usize),
    Pause(usize),
    Resume(usize),
    TableDown,
    RepliesLost,
    WritesLate(u64),
    ServiceDown(bool),
    AnswersLost(bool),
    Heal,
    Wait(u64),
}

/// The number of idempotency keys that bookings use.
const KEYS: usize = 4;

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    prop_oneof![
        12 => (node.clone(), 0..KEYS).prop_map(|(node, key)| Step::CallService { node, key }),
        1 => node.clone().prop_map(Step::Kill),
        1 => node.clone().prop_map(Step::Start),
        1 => node.clone().prop_map(Step::Pause),
        1 => node.prop_map(Step::Resume),
        1 => Just(Step::TableDown),
        1 => Just(Step::RepliesLost),
        1 => (1..5_000_u64).prop_map(Step::WritesLate),
        2 => any::<bool>().prop_map(Step::ServiceDown),
        2 => any::<bool>().prop_map(Step::AnswersLost),
        3 => Just(Step::Heal),
        8 => (1..2_000_u64).prop_map(Step::Wait),
    ]
}

fn apply(world: &mut World, step: Step) {
    match step {
        Step::CallService { node, key } => {
            book(world, node, Some(&format!("seat-{key}")));
        }
        Step::Kill(node) => world.kill(node),
        Step::Start(node) if world.nodes[node].core.is_none() => world.start(node),
        Step::Start(_) => {}
        Step::Pause(node) => world.pause(node),
        Step::Resume(node) => world.resume(node),
        Step::TableDown => world.platform.faults.table_down = true,
        Step::RepliesLost => world.platform.faults.replies_lost = true,
        Step::WritesLate(millis) => {
            world.platform.faults.write_delay = Some(Duration::from_millis(millis));
        }
        Step::ServiceDown(down) => world.engines[0].faults.down = down,
        Step::AnswersLost(lost) => world.engines[0].faults.answers_lost = lost,
        Step::Heal => world.heal(),
        Step::Wait(millis) => world.run(Duration::from_millis(millis)),
    }
}

/// Removes all faults and lets the nodes settle.
fn settle(world: &mut World) {
    world.heal();
    world.engines[0].faults = Default::default();
    for node in 0..NODES {
        world.resume(node);
        if world.nodes[node].core.is_none() {
            world.start(node);
        }
    }
    world.run(Duration::from_secs(30));
}

/// Returns whether every booking of a key was refused as not run.
fn is_unused(world: &World, key: &str) -> bool {
    let mut asked = world.records.iter().filter_map(|(_, record)| match record {
        Record::RequestSent(number, asked) if asked.idempotency.as_deref() == Some(key) => {
            Some(*number)
        }
        _ => None,
    });
    asked.all(|number| refusal(world.outcome(number)).is_some_and(|(_, ran)| ran == Ran::NotRun))
}

proptest! {
    #![proptest_config(histories::proptest_config(histories::histories(500)))]

    /// No key runs twice, whatever fails. If no node was killed, a key whose attempts were all
    /// refused as not run can still be used.
    #[test]
    fn a_key_runs_once_and_is_not_lost(
        seed in any::<u64>(),
        steps in prop::collection::vec(step(), 1..40),
    ) {
        let mut world = world(seed);
        for step in &steps {
            apply(&mut world, *step);
        }
        settle(&mut world);
        let killed = steps.iter().any(|step| matches!(step, Step::Kill(_)));
        for key in (0..KEYS).map(|key| format!("seat-{key}")) {
            let is_free = !killed && is_unused(&world, &key);
            let number = book(&mut world, 0, Some(&key));
            world.run(SETTLED);
            let outcome = world.outcome(number);
            prop_assert!(!is_free || is_complete(outcome), "{key} was lost: {outcome:?}");
            prop_assert!(outcome.is_some(), "{key} has no answer");
        }
        let violation = world.checker.violations().first();
        prop_assert!(violation.is_none(), "{violation:?}");
    }
}
