//! Random histories of several cores under faults, in which every invariant is checked.

mod histories;

use histories::{first_violation, histories, proptest_config, step};
use proptest::prelude::*;
use standins::world::check::Invariant;

proptest! {
    #![proptest_config(proptest_config(histories(2_000)))]

    #[test]
    fn every_invariant_holds_in_every_history(
        seed in any::<u64>(),
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let violation = first_violation(seed, &steps, |_| true);
        prop_assert!(violation.is_none(), "{violation:?}");
    }
}

proptest! {
    #![proptest_config(proptest_config(histories(2_000) / 10))]

    #[test]
    fn no_refusal_waits_until_near_the_deadline(
        seed in any::<u64>(),
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let violation = first_violation(seed, &steps, |invariant| invariant == Invariant::PromptRefusal);
        prop_assert!(violation.is_none(), "{violation:?}");
    }
}
