//! Replies and messages that arrive late, more than once and out of order.

mod histories;

use std::time::Duration;

use orioleroute::operator::Command;
use orioleroute::request::{Spec, Target};
use proptest::prelude::*;
use serde_json::json;
use standins::world::{Engine, Outcome, World};

const NODES: usize = 3;

const SETTLED: Duration = Duration::from_secs(8);

fn document() -> String {
    let adapters: Vec<_> = (0..4)
        .map(|number| {
            json!({
                "name": format!("adapter-{number}"),
                "model": "base",
                "versions": ["v1", "v2"],
                "default": "v2",
            })
        })
        .collect();
    json!({
        "format": 1,
        "models": [{ "name": "base" }],
        "pools": [{ "name": "coaching", "model": "base", "slots": 4, "fencing": "checked" }],
        "adapters": adapters,
        "services": [{ "name": "bookings", "pool": "course" }],
    })
    .to_string()
}

fn world(seed: u64) -> World {
    let mut world = World::new(seed);
    for _ in 0..NODES {
        world.add_node("zurich");
    }
    for number in 0..3 {
        world.add_engine(Engine::new(number, "coaching", "zurich", 4));
    }
    world.add_engine(Engine::new(3, "course", "zurich", 0));
    world.run(SETTLED);
    world.command(0, Command::Submit { base: 0, document: document().into() });
    world.run(SETTLED);
    assert_eq!(world.nodes[0].core.as_ref().map(|core| core.version()), Some(1));
    world
}

/// Sends a request for a version of an adapter, or books a seat.
fn ask(world: &mut World, node: usize, target_index: usize) -> usize {
    let repeatable = target_index < 8;
    let (target, idempotency) = match repeatable {
        true => (
            Target::Model(format!("adapter-{}@v{}", target_index / 2, 1 + target_index % 2).into()),
            None,
        ),
        false => (Target::Service("bookings".into()), Some(format!("seat-{target_index}").into())),
    };
    world.ask(
        node,
        Spec {
            timeout: Some(Duration::from_secs(5)),
            repeatable,
            idempotency,
            ..Spec::new(target)
        },
    )
}

proptest! {
    #![proptest_config(histories::proptest_config(histories::histories(300)))]

    #[test]
    fn each_request_gets_its_own_answer_once(
        seed in any::<u64>(),
        duplicate_percent in 1..80_u64,
        asked in prop::collection::vec((0..NODES, 0..12_usize, 0..500_u64), 1..60),
    ) {
        let mut world = world(seed);
        world.duplicate_percent = duplicate_percent;
        let numbers: Vec<usize> = asked
            .iter()
            .map(|(node, target_index, wait)| {
                let number = ask(&mut world, *node, *target_index);
                world.run(Duration::from_millis(*wait));
                number
            })
            .collect();
        world.run(SETTLED);

        let violations = world.checker.violations();
        prop_assert!(violations.is_empty(), "{violations:?}");
        for (number, (_, target_index, _)) in numbers.iter().zip(&asked) {
            let outcome = world.outcome(*number);
            prop_assert!(outcome.is_some(), "request {number} has no answer");
            let is_complete = matches!(outcome, Some(Outcome::Complete(_)));
            prop_assert!(*target_index >= 8 || is_complete, "request {number}: {outcome:?}");
        }
    }
}
