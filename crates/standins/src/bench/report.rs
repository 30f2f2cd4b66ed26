//! The report on all policies and traces: tables in Markdown and bars in SVG.

use std::fmt::Write;

use super::replay::run;
use super::trace::{Family, clairvoyant, generate};
use super::{Deployment, Figures, Ideas, Policy};

/// Traces with these seeds were used to tune the policy.
pub const TUNING_SEEDS: [u64; 2] = [2, 4];

/// Traces with these seeds are reported.
pub const REPORTED_SEEDS: [u64; 2] = [1, 3];

/// The largest share of the stalls of the best baseline, and of the bound, that is aimed at.
const TARGETS: (f64, f64) = (0.75, 1.25);

/// Families that are run at a time.
const THREADS: usize = 3;

/// What the policies did on one deployment and family.
pub struct Row {
    /// The deployment.
    pub deployment: Deployment,
    /// The family.
    pub family: Family,
    /// The share of stalled requests in the clairvoyant bound.
    pub bound: f64,
    /// Each policy with its figures.
    pub results: Vec<(Policy, Figures)>,
}

impl Row {
    fn of(&self, policy: Policy) -> &Figures {
        let found = self.results.iter().find(|(other, _)| *other == policy);
        found.map(|(_, figures)| figures).expect("it was run")
    }

    fn baselines(&self) -> impl Iterator<Item = &Figures> {
        Policy::BASELINES.iter().map(|policy| self.of(*policy))
    }

    /// Returns the stalls over the best baseline's.
    fn against_baselines(&self) -> f64 {
        let best = self.baselines().map(Figures::stalled_share).fold(1.0, f64::min);
        self.ours().stalled_share() / best
    }

    /// Returns the stalls over those of the best baseline that stays within the region.
    fn against_local(&self) -> f64 {
        let local = [Policy::Random, Policy::LeastLoaded, Policy::Hashed];
        let best = local.iter().map(|policy| self.of(*policy).stalled_share()).fold(1.0, f64::min);
        self.ours().stalled_share() / best
    }

    /// Returns the batch efficiency over the best baseline's.
    fn efficiency(&self) -> f64 {
        let best = self.baselines().map(|figures| figures.batch_efficiency).fold(0.0, f64::max);
        self.ours().batch_efficiency / best
    }

    fn ours(&self) -> &Figures {
        self.of(Policy::Ours(Ideas::ALL))
    }
}

/// Runs every policy over every family with these seeds.
pub fn rows(seeds: &[u64], policies: &[Policy]) -> Vec<Row> {
    let cases: Vec<(Deployment, Family)> = Deployment::ALL
        .into_iter()
        .flat_map(|deployment| Family::ALL.map(|family| (deployment, family)))
        .collect();
    let mut rows = Vec::new();
    for chunk in cases.chunks(THREADS) {
        std::thread::scope(|scope| {
            let threads: Vec<_> = chunk
                .iter()
                .map(|(deployment, family)| {
                    scope.spawn(|| row(deployment, *family, seeds, policies))
                })
                .collect();
            rows.extend(threads.into_iter().map(|thread| thread.join().expect("a run ends")));
        });
    }
    rows
}

fn row(deployment: &Deployment, family: Family, seeds: &[u64], policies: &[Policy]) -> Row {
    let traces: Vec<_> =
        seeds.iter().map(|seed| generate(deployment, family, *seed, 1.0)).collect();
    let slots = deployment.pooled_slots();
    let bounds = traces.iter().map(|trace| clairvoyant(trace, deployment.adapters, slots));
    let results = policies
        .iter()
        .map(|policy| {
            let runs: Vec<Figures> =
                traces.iter().map(|trace| run(deployment, *policy, family, trace)).collect();
            (*policy, Figures::average(&runs))
        })
        .collect();
    let bound = bounds.sum::<f64>() / seeds.len() as f64;
    Row { deployment: *deployment, family, bound, results }
}

/// Returns the variants of the policy with one idea off each.
pub fn ablations() -> [(&'static str, Ideas); 6] {
    let all = Ideas::ALL;
    [
        ("evict by demand", Ideas { demand: false, ..all }),
        ("pass on to the region that holds it", Ideas { regions: false, ..all }),
        ("homes weighted by their upstreams", Ideas { weighted: false, ..all }),
        ("widen what is full", Ideas { widen: false, ..all }),
        ("refuse at once", Ideas { refuse: false, ..all }),
        ("evict from larger batches", Ideas { pack: false, ..all }),
    ]
}

/// Returns all policies that the report needs.
pub fn policies() -> Vec<Policy> {
    let variants = ablations().map(|(_, ideas)| Policy::Ours(ideas));
    Policy::BASELINES.into_iter().chain([Policy::Ours(Ideas::ALL)]).chain(variants).collect()
}

/// Writes the targets, with the figures and whether each was met.
pub fn targets(rows: &[Row]) -> String {
    let mut text = String::from(
        "| deployment | trace | stalls / best baseline | stalls / best baseline in the region | \
         stalls / clairvoyant | batch efficiency / best baseline |\n|---|---|---|---|---|---|\n",
    );
    let mark = |met: bool| if met { "met" } else { "missed" };
    for row in rows {
        let (baseline, bound) = (row.against_baselines(), row.ours().stalled_share() / row.bound);
        let efficiency = row.efficiency();
        let weighed = row.deployment.batch_weight > row.deployment.stall_weight;
        let efficient = if weighed { mark(efficiency >= 1.0) } else { "no target" };
        let _ = writeln!(
            text,
            "| {} | {} | {baseline:.2} {} | {:.2} | {bound:.2} {} | {efficiency:.2} {efficient} |",
            row.deployment.name,
            row.family.name(),
            mark(baseline <= TARGETS.0),
            row.against_local(),
            mark(bound <= TARGETS.1),
        );
    }
    text
}

/// Writes the figures of every policy.
pub fn figures(rows: &[Row]) -> String {
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
        let shown = Policy::BASELINES.into_iter().chain([Policy::Ours(Ideas::ALL)]);
        for policy in shown {
            let figures = row.of(policy);
            let requests = f64::from(figures.requests);
            let _ = writeln!(
                text,
                "| {} | {} | {} | {:.3} | {:.0} | {:.2} | {:.3} | {:.3} / {:.2} | {:.4} | {:.0} |",
                name.0,
                name.1,
                policy.name(),
                figures.stalled_share(),
                figures.stall_s / requests * 1_000.0,
                figures.stall_p99_s,
                figures.batch_efficiency,
                figures.first_token_s.0,
                figures.first_token_s.1,
                f64::from(figures.refused) / requests,
                figures.remote_bytes,
            );
        }
    }
    text
}

/// Writes what each idea brings: the figures without it over those with it, as geometric means.
pub fn ablation(rows: &[Row]) -> String {
    let mut text = String::from(
        "| without | deployment | stalled | stall seconds | batch efficiency | refused with / without |\n\
         |---|---|---|---|---|---|\n",
    );
    for (name, ideas) in ablations() {
        for deployment in Deployment::ALL {
            let rows: Vec<&Row> =
                rows.iter().filter(|row| row.deployment.name == deployment.name).collect();
            let ratio = |part: fn(&Figures) -> f64| {
                let logs = rows
                    .iter()
                    .map(|row| (part(row.of(Policy::Ours(ideas))) / part(row.ours())).ln());
                (logs.sum::<f64>() / rows.len() as f64).exp()
            };
            let refused = |policy| rows.iter().map(|row| row.of(policy).refused).sum::<u32>();
            let _ = writeln!(
                text,
                "| {name} | {} | {:.3} | {:.3} | {:.3} | {} / {} |",
                deployment.name,
                ratio(Figures::stalled_share),
                ratio(|figures| figures.stall_s),
                ratio(|figures| figures.batch_efficiency),
                refused(Policy::Ours(Ideas::ALL)),
                refused(Policy::Ours(ideas)),
            );
        }
    }
    text
}

/// Draws the share of stalled requests of each policy on each family of a deployment.
pub fn plot(rows: &[Row], deployment: &Deployment) -> String {
    const BAR: usize = 12;
    const HEIGHT: f64 = 200.0;
    const COLOURS: [&str; 6] = ["#bbbbbb", "#e69f00", "#56b4e9", "#009e73", "#d55e00", "#000000"];
    let rows: Vec<&Row> =
        rows.iter().filter(|row| row.deployment.name == deployment.name).collect();
    let group = BAR * 7;
    let mut text = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"290\" \
         font-family=\"sans-serif\" font-size=\"11\">\n\
         <text x=\"40\" y=\"14\">Share of requests stalled by a load, {}</text>\n",
        group * rows.len() + 60,
        deployment.name,
    );
    for share in [0.0, 0.5, 1.0] {
        let y = 230.0 - share * HEIGHT;
        let _ = writeln!(text, "<text x=\"8\" y=\"{y}\">{share:.1}</text>");
    }
    let shown: Vec<Policy> =
        Policy::BASELINES.into_iter().chain([Policy::Ours(Ideas::ALL)]).collect();
    for (place, row) in rows.iter().enumerate() {
        let shares = shown.iter().map(|policy| row.of(*policy).stalled_share()).chain([row.bound]);
        let left = 40 + place * group;
        for (bar, share) in shares.enumerate() {
            let height = share * HEIGHT;
            let _ = writeln!(
                text,
                "<rect x=\"{}\" y=\"{:.1}\" width=\"{}\" height=\"{height:.1}\" fill=\"{}\"/>",
                left + bar * BAR,
                230.0 - height,
                BAR - 1,
                COLOURS[bar],
            );
        }
        let _ = writeln!(text, "<text x=\"{left}\" y=\"245\">{}</text>", row.family.name());
    }
    let names = shown.iter().map(|policy| policy.name()).chain(["clairvoyant bound"]);
    for (place, name) in names.enumerate() {
        let x = 40 + (place % 3) * 220;
        let y = 265 + (place / 3) * 15;
        let _ = writeln!(
            text,
            "<rect x=\"{x}\" y=\"{}\" width=\"9\" height=\"9\" fill=\"{}\"/><text x=\"{}\" y=\"{y}\">{name}</text>",
            y - 9,
            COLOURS[place],
            x + 13,
        );
    }
    text + "</svg>\n"
}
