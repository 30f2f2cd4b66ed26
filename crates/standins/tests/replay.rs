//! The replay of traces on the routing policy.

use standins::bench::replay::run;
use standins::bench::trace::{Family, generate};
use standins::bench::{Deployment, Ideas, Policy};

const SEED: u64 = 1;
const USUAL_RATE: f64 = 1.0;

#[test]
fn at_the_usual_rate_nearly_all_requests_are_answered() {
    let family = Family::Zipf(1.2);
    let trace = generate(&Deployment::KAFFEEWERK, family, SEED, USUAL_RATE);

    let figures = run(&Deployment::KAFFEEWERK, Policy::Ours(Ideas::ALL), family, &trace);

    assert!(figures.timely * 10 >= figures.requests * 9, "{figures:?}");
    assert!(figures.batch_efficiency.is_finite(), "{figures:?}");
}
