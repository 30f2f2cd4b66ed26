//! Simulates the policy of this project on a seeded trace. Guards against a policy that refuses or
//! delays requests although the engines have capacity.

use standins::bench::replay::run;
use standins::bench::trace::{Family, generate};
use standins::bench::{Deployment, Features, Policy};

const SEED: u64 = 1;
const USUAL_RATE: f64 = 1.0;

#[test]
fn at_the_usual_rate_nearly_all_requests_are_answered() {
    let family = Family::Zipf(1.2);
    let trace = generate(&Deployment::KAFFEEWERK, family, SEED, USUAL_RATE);

    let metrics = run(&Deployment::KAFFEEWERK, Policy::Orioleroute(Features::ALL), family, &trace);

    assert!(metrics.within_deadline * 10 >= metrics.requests * 9, "{metrics:?}");
    assert!(metrics.batch_efficiency.is_finite(), "{metrics:?}");
}
