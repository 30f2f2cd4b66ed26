//! Goodput when more is asked than can be served.

use std::fmt::Write;

use super::replay::run;
use super::trace::{Family, generate};
use super::{Deployment, Ideas, Policy, report::REPORTED_SEEDS};

/// Multiples of the usual rate; the engines and the weight store are full near the middle.
const SCALES: [f64; 6] = [1.0, 2.0, 5.0, 10.0, 20.0, 40.0];

/// Returns the requests a second that are answered within their deadlines, by offered rate.
pub fn table() -> String {
    let mut text = String::from(
        "Requests a second answered to the first token within the deadline, Zipf 1.0.\n\n\
         | deployment | offered / s | answered in time / s | over its peak | refused |\n|---|---|---|---|---|\n",
    );
    for deployment in Deployment::ALL {
        let policy = Policy::Ours(Ideas::ALL);
        let runs = SCALES.map(|scale| {
            let trace = generate(&deployment, Family::Zipf(1.0), REPORTED_SEEDS[0], scale);
            run(&deployment, policy, Family::Zipf(1.0), &trace)
        });
        let measured = super::trace::LENGTH_S - super::trace::WARM_UP_S;
        let goodput = |timely: u32| f64::from(timely) / measured;
        let peak = runs.iter().map(|run| goodput(run.timely)).fold(0.0, f64::max);
        for run in runs {
            let _ = writeln!(
                text,
                "| {} | {:.1} | {:.1} | {:.2} | {:.3} |",
                deployment.name,
                f64::from(run.requests) / measured,
                goodput(run.timely),
                goodput(run.timely) / peak,
                f64::from(run.refused) / f64::from(run.requests),
            );
        }
    }
    text
}
