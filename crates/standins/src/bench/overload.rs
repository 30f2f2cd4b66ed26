//! Goodput under overload.

use std::fmt::Write;

use super::replay::run;
use super::trace::{Family, generate};
use super::{Deployment, Features, Policy, report::REPORTED_SEEDS};

/// The offered rates, as multiples of the usual rate. The engines and the weight store saturate near the
/// middle.
const RATE_SCALES: [f64; 6] = [1.0, 2.0, 5.0, 10.0, 20.0, 40.0];

/// Returns a Markdown table of the requests per second answered within the deadline, by offered rate.
pub fn table() -> String {
    let mut text = String::from(
        "Requests a second answered to the first token within the deadline, Zipf 1.0.\n\n\
         | deployment | offered / s | answered in time / s | over its peak | refused |\n|---|---|---|---|---|\n",
    );
    for deployment in Deployment::ALL {
        let policy = Policy::Orioleroute(Features::ALL);
        let runs = RATE_SCALES.map(|scale| {
            let trace = generate(&deployment, Family::Zipf(1.0), REPORTED_SEEDS[0], scale);
            run(&deployment, policy, Family::Zipf(1.0), &trace)
        });
        let measured_s = super::trace::LENGTH_S - super::trace::WARM_UP_S;
        let goodput = |within_deadline: u32| f64::from(within_deadline) / measured_s;
        let peak = runs.iter().map(|run| goodput(run.within_deadline)).fold(0.0, f64::max);
        for run in runs {
            let _ = writeln!(
                text,
                "| {} | {:.1} | {:.1} | {:.2} | {:.3} |",
                deployment.name,
                f64::from(run.requests) / measured_s,
                goodput(run.within_deadline),
                goodput(run.within_deadline) / peak,
                f64::from(run.refused) / f64::from(run.requests),
            );
        }
    }
    text
}
