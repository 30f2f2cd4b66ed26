//! The report on all policies and traces: Markdown tables and SVG bar charts.

use std::fmt::Write;

use super::replay::run;
use super::trace::{Family, clairvoyant, generate};
use super::{Deployment, Features, Metrics, Policy};

/// The seeds of the traces on which the policy was tuned.
pub const TUNING_SEEDS: [u64; 2] = [2, 4];

/// The seeds of the traces in the report. They differ from [`TUNING_SEEDS`].
pub const REPORTED_SEEDS: [u64; 2] = [1, 3];

/// The targets: the highest accepted ratio of stalls to those of the best baseline, and to those of
/// the clairvoyant bound.
const MAX_STALL_RATIOS: (f64, f64) = (0.75, 1.25);

/// The number of cases that run concurrently.
const CONCURRENT_CASES: usize = 3;

/// The results of the policies for one deployment and trace family.
pub struct Row {
    /// The deployment.
    pub deployment: Deployment,
    /// The trace family.
    pub family: Family,
    /// The share of stalled requests under the clairvoyant bound.
    pub bound: f64,
    /// Each policy with its metrics.
    pub results: Vec<(Policy, Metrics)>,
}

impl Row {
    fn metrics(&self, policy: Policy) -> &Metrics {
        let result = self.results.iter().find(|(other, _)| *other == policy);
        result.map(|(_, metrics)| metrics).expect("the policy was run")
    }

    fn baselines(&self) -> impl Iterator<Item = &Metrics> {
        Policy::BASELINES.iter().map(|policy| self.metrics(*policy))
    }

    /// Returns the ratio of the stalls to those of the best baseline.
    fn stalls_to_best_baseline(&self) -> f64 {
        let best = self.baselines().map(Metrics::stalled_share).fold(1.0, f64::min);
        self.orioleroute().stalled_share() / best
    }

    /// Returns the ratio of the stalls to those of the best baseline that stays within the region.
    fn stalls_to_best_local_baseline(&self) -> f64 {
        let local = [Policy::Random, Policy::LeastLoaded, Policy::Hashed];
        let best =
            local.iter().map(|policy| self.metrics(*policy).stalled_share()).fold(1.0, f64::min);
        self.orioleroute().stalled_share() / best
    }

    /// Returns the ratio of the batch efficiency to that of the best baseline.
    fn efficiency_to_best_baseline(&self) -> f64 {
        let best = self.baselines().map(|metrics| metrics.batch_efficiency).fold(0.0, f64::max);
        self.orioleroute().batch_efficiency / best
    }

    fn orioleroute(&self) -> &Metrics {
        self.metrics(Policy::Orioleroute(Features::ALL))
    }
}

/// Runs every policy for every deployment and trace family with these seeds.
pub fn run_cases(seeds: &[u64], policies: &[Policy]) -> Vec<Row> {
    let cases: Vec<(Deployment, Family)> = Deployment::ALL
        .into_iter()
        .flat_map(|deployment| Family::ALL.map(|family| (deployment, family)))
        .collect();
    let mut rows = Vec::new();
    for chunk in cases.chunks(CONCURRENT_CASES) {
        std::thread::scope(|scope| {
            let threads: Vec<_> = chunk
                .iter()
                .map(|(deployment, family)| {
                    scope.spawn(|| run_case(deployment, *family, seeds, policies))
                })
                .collect();
            rows.extend(
                threads.into_iter().map(|thread| thread.join().expect("a run does not panic")),
            );
        });
    }
    rows
}

fn run_case(deployment: &Deployment, family: Family, seeds: &[u64], policies: &[Policy]) -> Row {
    let traces: Vec<_> =
        seeds.iter().map(|seed| generate(deployment, family, *seed, 1.0)).collect();
    let slots = deployment.total_slots();
    let bounds = traces.iter().map(|trace| clairvoyant(trace, deployment.adapters, slots));
    let results = policies
        .iter()
        .map(|policy| {
            let runs: Vec<Metrics> =
                traces.iter().map(|trace| run(deployment, *policy, family, trace)).collect();
            (*policy, Metrics::combine(&runs))
        })
        .collect();
    let bound = bounds.sum::<f64>() / seeds.len() as f64;
    Row { deployment: *deployment, family, bound, results }
}

/// Returns the variants of the policy that each have one feature disabled, with that feature's name.
pub fn ablations() -> [(&'static str, Features); 6] {
    let all = Features::ALL;
    [
        ("evict by demand", Features { demand_eviction: false, ..all }),
        ("pass on to the region that holds it", Features { cross_region: false, ..all }),
        ("homes weighted by their upstreams", Features { weighted_homes: false, ..all }),
        ("widen what is full", Features { replication: false, ..all }),
        ("refuse at once", Features { early_refusal: false, ..all }),
        ("evict from larger batches", Features { packing: false, ..all }),
    ]
}

/// Returns all policies in the report.
pub fn policies() -> Vec<Policy> {
    let variants = ablations().map(|(_, features)| Policy::Orioleroute(features));
    Policy::BASELINES
        .into_iter()
        .chain([Policy::Orioleroute(Features::ALL)])
        .chain(variants)
        .collect()
}

/// Returns a Markdown table of the metrics that have targets, and whether each target was met.
pub fn targets_table(rows: &[Row]) -> String {
    let mut text = String::from(
        "| deployment | trace | stalls / best baseline | stalls / best baseline in the region | \
         stalls / clairvoyant | batch efficiency / best baseline |\n|---|---|---|---|---|---|\n",
    );
    let mark = |met: bool| if met { "met" } else { "missed" };
    for row in rows {
        let (baseline, bound) =
            (row.stalls_to_best_baseline(), row.orioleroute().stalled_share() / row.bound);
        let efficiency = row.efficiency_to_best_baseline();
        let has_target = row.deployment.batch_weight > row.deployment.stall_weight;
        let efficient = if has_target { mark(efficiency >= 1.0) } else { "no target" };
        let _ = writeln!(
            text,
            "| {} | {} | {baseline:.2} {} | {:.2} | {bound:.2} {} | {efficiency:.2} {efficient} |",
            row.deployment.name,
            row.family.name(),
            mark(baseline <= MAX_STALL_RATIOS.0),
            row.stalls_to_best_local_baseline(),
            mark(bound <= MAX_STALL_RATIOS.1),
        );
    }
    text
}

/// Returns a Markdown table of the metrics of every policy.
pub fn metrics_table(rows: &[Row]) -> String {
    let mut text = String::from(
        "| deployment | trace | policy | stalled | stall s / 1,000 | stall p99 s | batch efficiency | \
         first token p50 / p95 s | refused | remote bytes / request |\n\
         |---|---|---|---|---|---|---|---|---|---|\n",
    );
    for row in rows {
        let name = (row.deployment.name, row.family.name());
        let _ = writeln!(
            text,
            "| {} | {} | clairvoyant bound | {:.3} | | | | | | |",
            name.0, name.1, row.bound
        );
        let shown = Policy::BASELINES.into_iter().chain([Policy::Orioleroute(Features::ALL)]);
        for policy in shown {
            let metrics = row.metrics(policy);
            let requests = f64::from(metrics.requests);
            let _ = writeln!(
                text,
                "| {} | {} | {} | {:.3} | {:.0} | {:.2} | {:.3} | {:.3} / {:.2} | {:.4} | {:.0} |",
                name.0,
                name.1,
                policy.name(),
                metrics.stalled_share(),
                metrics.stall_s / requests * 1_000.0,
                metrics.stall_p99_s,
                metrics.batch_efficiency,
                metrics.first_token_s.0,
                metrics.first_token_s.1,
                f64::from(metrics.refused) / requests,
                metrics.remote_bytes,
            );
        }
    }
    text
}

/// Returns a Markdown table of the effect of each feature: the geometric mean over the traces of
/// each metric without the feature divided by that with it.
pub fn ablation_table(rows: &[Row]) -> String {
    let mut text = String::from(
        "| without | deployment | stalled | stall seconds | batch efficiency | refused with / without |\n\
         |---|---|---|---|---|---|\n",
    );
    for (name, features) in ablations() {
        for deployment in Deployment::ALL {
            let rows: Vec<&Row> =
                rows.iter().filter(|row| row.deployment.name == deployment.name).collect();
            let ratio = |field: fn(&Metrics) -> f64| {
                let logs = rows.iter().map(|row| {
                    (field(row.metrics(Policy::Orioleroute(features))) / field(row.orioleroute()))
                        .ln()
                });
                (logs.sum::<f64>() / rows.len() as f64).exp()
            };
            let refused = |policy| rows.iter().map(|row| row.metrics(policy).refused).sum::<u32>();
            let _ = writeln!(
                text,
                "| {name} | {} | {:.3} | {:.3} | {:.3} | {} / {} |",
                deployment.name,
                ratio(Metrics::stalled_share),
                ratio(|metrics| metrics.stall_s),
                ratio(|metrics| metrics.batch_efficiency),
                refused(Policy::Orioleroute(Features::ALL)),
                refused(Policy::Orioleroute(features)),
            );
        }
    }
    text
}

/// Returns an SVG bar chart of the share of stalled requests by policy and trace family of a deployment.
pub fn plot(rows: &[Row], deployment: &Deployment) -> String {
    const BAR_WIDTH: usize = 12;
    const HEIGHT: f64 = 200.0;
    const COLOURS: [&str; 6] = ["#bbbbbb", "#e69f00", "#56b4e9", "#009e73", "#d55e00", "#000000"];
    let rows: Vec<&Row> =
        rows.iter().filter(|row| row.deployment.name == deployment.name).collect();
    let group_width = BAR_WIDTH * 7;
    let mut text = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"290\" \
         font-family=\"sans-serif\" font-size=\"11\">\n\
         <text x=\"40\" y=\"14\">Share of requests stalled by a load, {}</text>\n",
        group_width * rows.len() + 60,
        deployment.name,
    );
    for share in [0.0, 0.5, 1.0] {
        let y = 230.0 - share * HEIGHT;
        let _ = writeln!(text, "<text x=\"8\" y=\"{y}\">{share:.1}</text>");
    }
    let shown: Vec<Policy> =
        Policy::BASELINES.into_iter().chain([Policy::Orioleroute(Features::ALL)]).collect();
    for (index, row) in rows.iter().enumerate() {
        let shares =
            shown.iter().map(|policy| row.metrics(*policy).stalled_share()).chain([row.bound]);
        let left = 40 + index * group_width;
        for (bar, share) in shares.enumerate() {
            let height = share * HEIGHT;
            let _ = writeln!(
                text,
                "<rect x=\"{}\" y=\"{:.1}\" width=\"{}\" height=\"{height:.1}\" fill=\"{}\"/>",
                left + bar * BAR_WIDTH,
                230.0 - height,
                BAR_WIDTH - 1,
                COLOURS[bar],
            );
        }
        let _ = writeln!(text, "<text x=\"{left}\" y=\"245\">{}</text>", row.family.name());
    }
    let names = shown.iter().map(|policy| policy.name()).chain(["clairvoyant bound"]);
    for (index, name) in names.enumerate() {
        let x = 40 + (index % 3) * 220;
        let y = 265 + (index / 3) * 15;
        let _ = writeln!(
            text,
            "<rect x=\"{x}\" y=\"{}\" width=\"9\" height=\"9\" fill=\"{}\"/><text x=\"{}\" y=\"{y}\">{name}</text>",
            y - 9,
            COLOURS[index],
            x + 13,
        );
    }
    text + "</svg>\n"
}
