//! Benchmarks the policies and writes the report to docs/policy: `policy [tune]`.
//!
//! With `tune`, it only prints the table of targets for the tuning traces. The traces of the report
//! are not used for tuning.

use std::path::Path;

use standins::bench::{Deployment, Features, Policy, overload, report};

fn main() -> std::io::Result<()> {
    if std::env::args().nth(1).as_deref() == Some("tune") {
        let policies: Vec<Policy> =
            Policy::BASELINES.into_iter().chain([Policy::Orioleroute(Features::ALL)]).collect();
        println!("{}", report::targets_table(&report::run_cases(&report::TUNING_SEEDS, &policies)));
        return Ok(());
    }
    let report_dir = Path::new("docs/policy");
    std::fs::create_dir_all(report_dir)?;
    let rows = report::run_cases(&report::REPORTED_SEEDS, &report::policies());
    for deployment in Deployment::ALL {
        let plot = report::plot(&rows, &deployment);
        std::fs::write(report_dir.join(format!("{}.svg", deployment.name)), plot)?;
    }
    let text = format!(
        "# Measurements of the policy\n\nWritten by `cargo run --release -p standins --example policy` \
         from traces with the seeds {:?}; the policy was tuned on {:?}. See ../POLICY.md for the \
         terms.\n\n![Horloge](horloge.svg)\n\n![Kaffeewerk](kaffeewerk.svg)\n\n## Targets\n\n{}\n\
         ## Overload\n\n{}\n## Each idea switched off\n\nFigures without the idea over those with \
         it, geometric means over the traces.\n\n{}\n## All figures\n\n{}",
        report::REPORTED_SEEDS,
        report::TUNING_SEEDS,
        report::targets_table(&rows),
        overload::table(),
        report::ablation_table(&rows),
        report::metrics_table(&rows),
    );
    std::fs::write(report_dir.join("results.md"), text)
}
