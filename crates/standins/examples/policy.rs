//! Measures the policies and writes docs/policy: `policy [tune]`.
//!
//! With `tune` it prints the targets on the traces that the policy may be tuned on, and writes
//! nothing.

use std::path::Path;

use standins::bench::{Deployment, Ideas, Policy, overload, report};

fn main() -> std::io::Result<()> {
    if std::env::args().nth(1).as_deref() == Some("tune") {
        let policies: Vec<Policy> =
            Policy::BASELINES.into_iter().chain([Policy::Ours(Ideas::ALL)]).collect();
        println!("{}", report::targets(&report::rows(&report::TUNING_SEEDS, &policies)));
        return Ok(());
    }
    let folder = Path::new("docs/policy");
    std::fs::create_dir_all(folder)?;
    let rows = report::rows(&report::REPORTED_SEEDS, &report::policies());
    for deployment in Deployment::ALL {
        let plot = report::plot(&rows, &deployment);
        std::fs::write(folder.join(format!("{}.svg", deployment.name)), plot)?;
    }
    let text = format!(
        "# Measurements of the policy\n\nWritten by `cargo run --release -p standins --example policy` \
         from traces with the seeds {:?}; the policy was tuned on {:?}. See ../POLICY.md for the \
         terms.\n\n![Horloge](horloge.svg)\n\n![Kaffeewerk](kaffeewerk.svg)\n\n## Targets\n\n{}\n\
         ## Overload\n\n{}\n## Each idea switched off\n\nFigures without the idea over those with \
         it, geometric means over the traces.\n\n{}\n## All figures\n\n{}",
        report::REPORTED_SEEDS,
        report::TUNING_SEEDS,
        report::targets(&rows),
        overload::table(),
        report::ablation(&rows),
        report::figures(&rows),
    );
    std::fs::write(folder.join("results.md"), text)
}
