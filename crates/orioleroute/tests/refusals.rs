//! What the operator is told of refused rows, by instances that learn of them at different times.
//!
//! Guards against an operator who is told what is not true any more, or whom the instances tell different things in turn.

use orioleroute::ingress::refusal::{Correction, Refusal, Refusals};
use orioleroute::prelude::*;
use proptest::prelude::*;

const KEY: &str = "config";

fn refusal(row_version: u64, since_ms: u64, in_force: Option<u64>) -> Refusal {
    let (path, cause) = (String::new(), "no number".into());
    Refusal { row_version, stated_version: None, path, cause, since_ms, in_force }
}

/// What an instance knows, and the row that all of them keep.
#[derive(Debug, Default)]
struct Instance {
    refusals: Refusals,
    known: u64,
}

impl Instance {
    /// Reads the operator's row as of a version, of which every second one is refused.
    fn read(&mut self, version: u64, now_ms: u64) {
        if version <= self.known {
            return;
        }
        self.known = version;
        match version % 2 {
            1 => self.refusals.refuse(&KEY.into(), refusal(version, now_ms, Some(0))),
            _ => drop(self.refusals.accept(KEY, version)),
        }
    }

    fn tell(&self, told: &mut Map<Arc<str>, Option<Refusal>>) -> usize {
        let corrections = self.refusals.corrections(told, self.known);
        let count = corrections.len();
        for (key, correction) in corrections {
            match correction {
                Correction::Write(refusal) => told.insert(key, Some(refusal)),
                Correction::Remove => told.remove(&key),
            };
        }
        count
    }
}

#[test]
fn an_instance_that_starts_does_not_take_back_what_is_in_force() {
    let mut told: Map<Arc<str>, Option<Refusal>> = Map::default();
    told.insert(KEY.into(), Some(refusal(3, 1_000, Some(2))));
    let mut refusals = Refusals::default();
    refusals.refuse(&KEY.into(), refusal(3, 2_000, None));

    let corrections = refusals.corrections(&told, 3);

    assert_eq!(corrections, []);
}

/// Guards against a refusal that is over although only an earlier row was put in force.
#[test]
fn an_earlier_row_does_not_end_a_refusal() {
    let mut refusals = Refusals::default();
    refusals.refuse(&KEY.into(), refusal(3, 1_000, Some(2)));

    let ended = refusals.accept(KEY, 2);

    assert_eq!((ended, refusals.len()), (None, 1));
}

#[test]
fn a_row_of_somebody_else_is_no_refusal_that_is_over() {
    let told: Map<Arc<str>, Option<Refusal>> = [("other".into(), None)].into_iter().collect();

    let corrections = Refusals::default().corrections(&told, 9);

    assert_eq!(corrections, []);
}

proptest! {
    /// Whatever the order in which instances read the rows and tell of them, the operator is told the truth in the end, and the
    /// time at which the row was refused first.
    #[test]
    fn instances_that_lag_take_nothing_back(
        steps in proptest::collection::vec((0..4_usize, 1..12_u64, any::<bool>()), 1..60),
        last in 1..12_u64,
    ) {
        let mut instances: [Instance; 4] = Default::default();
        let mut told = Map::default();
        for (step, (instance, version, tells)) in steps.iter().enumerate() {
            let version = *version.min(&last);
            instances[*instance].read(version, step as u64);
            let before = told.get(KEY).cloned().flatten();
            if *tells {
                instances[*instance].tell(&mut told);
            }
            let after = told.get(KEY).cloned().flatten();
            if let (Some(before), Some(after)) = (before, after) {
                prop_assert!(after.row_version >= before.row_version);
                let is_same = after.row_version == before.row_version;
                prop_assert!(!is_same || after.since_ms == before.since_ms);
            }
        }

        instances.iter_mut().for_each(|instance| instance.read(last, 100));
        for instance in &instances {
            instance.tell(&mut told);
        }
        prop_assert!(instances.iter().all(|instance| instance.tell(&mut told) == 0));
        let expected = (last % 2 == 1).then_some(last);
        let said = told.get(KEY).cloned().flatten().map(|refusal| refusal.row_version);
        prop_assert_eq!(said, expected);
    }
}
