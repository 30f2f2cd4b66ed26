//! The retry budget that all instances share, while processes end and clients move between instances.
//!
//! Guards against repeats beyond the budget of one window: what a process has saved of the requests before the window, and what
//! those that get its clients then earn in it.

use std::collections::VecDeque;
use std::time::Duration;

use orioleroute::prelude::Instant;
use orioleroute::retry::{ALLOWANCE_WINDOW, Allowance, Predecessor};
use proptest::prelude::*;
use rstest::rstest;

/// The length of a step, in milliseconds.
const STEP_MS: u64 = 50;

/// The fraction of the requests that may be repeated, beside the fixed allowance.
const BUDGET_FRACTION: f64 = 0.2;

/// The number of instances and the fixed allowance of all of them.
#[derive(Clone, Copy, Debug)]
struct Deployment {
    instances: u32,
    fixed: u32,
}

const DEPLOYMENTS: [Deployment; 3] = [
    Deployment { instances: 9, fixed: 58 },
    Deployment { instances: 73, fixed: 186 },
    Deployment { instances: 195, fixed: 430 },
];

/// A process of an instance.
#[derive(Clone, Debug)]
struct Process {
    allowance: Allowance,
    predecessor: Predecessor,
    started: Instant,
    /// The requests that it has received and that are not whole yet.
    pending: f64,
}

impl Process {
    fn new(predecessor: Predecessor, started: Instant) -> Self {
        Self { allowance: Allowance::default(), predecessor, started, pending: 0.0 }
    }
}

/// Instances whose upstreams fail every request, so that each repeats as much as it may.
struct Site {
    deployment: Deployment,
    processes: Vec<Process>,
    /// The requests and repeats of each step in the last three windows, newest last.
    steps: VecDeque<(u32, u32)>,
}

impl Site {
    fn new(deployment: Deployment) -> Self {
        let process = Process::new(Predecessor::Absent, Instant::ZERO);
        Self {
            deployment,
            processes: vec![process; deployment.instances as usize],
            steps: VecDeque::new(),
        }
    }

    /// Starts the processes of these instances again.
    fn restart(&mut self, instances: impl IntoIterator<Item = usize>, now: Instant) {
        for instance in instances {
            self.processes[instance] = Process::new(Predecessor::Present, now);
        }
    }

    /// Sends `rate` requests a second to each of the instances that `is_used` selects, and repeats what may be repeated.
    fn step(&mut self, rate: f64, is_used: impl Fn(usize) -> bool, is_failing: bool, now: Instant) {
        let Deployment { instances, fixed } = self.deployment;
        let (mut requests, mut repeats) = (0, 0);
        for (instance, process) in self.processes.iter_mut().enumerate() {
            if !is_used(instance) {
                continue;
            }
            process.pending += rate * STEP_MS as f64 / 1_000.0;
            while process.pending >= 1.0 {
                process.pending -= 1.0;
                process.allowance.deposit(now);
                requests += 1;
            }
            let usable = process.predecessor.usable(fixed, now.since(process.started));
            while is_failing && process.allowance.withdraw(usable, instances, now) {
                repeats += 1;
            }
        }
        self.steps.push_back((requests, repeats));
        let kept = 3 * ALLOWANCE_WINDOW.as_millis() as usize / STEP_MS as usize;
        while self.steps.len() > kept {
            self.steps.pop_front();
        }
    }

    /// Returns the repeats of the window that ends now, and how many are allowed. The requests of this window count, those of
    /// the one before, or of the one between, whichever has most.
    fn window(&self) -> (u32, f64) {
        let length = ALLOWANCE_WINDOW.as_millis() as usize / STEP_MS as usize;
        let sum = |back: usize| {
            let window = self.steps.iter().rev().skip(back).take(length);
            window
                .fold((0, 0), |(all, again), (requests, repeats)| (all + requests, again + repeats))
        };
        let requests = [0, length / 2, length].map(|back| sum(back).0).into_iter().max();
        let allowed = f64::from(requests.unwrap_or_default()) * BUDGET_FRACTION;
        (sum(0).1, allowed + f64::from(self.deployment.fixed))
    }
}

/// How processes end, or clients move, when the instances have used what they had saved.
#[derive(Clone, Copy, Debug)]
enum Change {
    /// All processes end and start again.
    AllRestart,
    /// All processes end and start again each three seconds.
    RestartInSeries,
    /// Half of the instances are gone, and the others get their clients.
    HalfAreGone,
    /// The instances get their clients from each other in turn, a tenth at a time.
    InTurn,
}

#[rstest]
fn repeats_exceed_the_budget_after_processes_with_saved_retries_end(
    #[values(Change::AllRestart, Change::RestartInSeries, Change::HalfAreGone, Change::InTurn)]
    change: Change,
    #[values(2.0, 8.6, 40.0)] rate: f64,
) {
    for deployment in DEPLOYMENTS {
        let count = deployment.instances as usize;
        let mut site = Site::new(deployment);
        for millis in (0..45_000).step_by(STEP_MS as usize) {
            let now = Instant::from_millis(millis);
            let since_failure = millis.saturating_sub(15_000);
            match change {
                Change::AllRestart if millis == 15_500 => site.restart(0..count, now),
                Change::RestartInSeries if since_failure % 3_000 == 500 => {
                    site.restart(0..count, now);
                }
                _ => {}
            }

            let turn = (since_failure / 1_000) as usize % 10;
            let (is_used, rate): (Box<dyn Fn(usize) -> bool>, f64) = match change {
                Change::HalfAreGone if since_failure >= 500 => {
                    (Box::new(|instance| instance % 2 == 0), 2.0 * rate)
                }
                Change::InTurn if since_failure > 0 => {
                    (Box::new(move |instance| instance % 10 == turn), 10.0 * rate)
                }
                _ => (Box::new(|_| true), rate),
            };
            site.step(rate, is_used, millis >= 15_000, now);

            let (repeats, allowed) = site.window();
            assert!(
                f64::from(repeats) <= allowed,
                "{deployment:?}: {repeats} repeats of {allowed} at {now:?}"
            );
        }
    }
}

/// What happens in a second.
#[derive(Clone, Copy, Debug)]
struct Second {
    /// The requests a second of each instance that is used.
    rate: f64,
    /// The part of the instances whose processes end.
    restarted: f64,
    /// The part of the instances that get requests, from a place on.
    used: f64,
    from: f64,
    is_failing: bool,
}

fn seconds() -> impl Strategy<Value = Vec<Second>> {
    let second = (0.0..30.0, 0.0..1.0, 0.1..1.0, 0.0..1.0, any::<bool>()).prop_map(
        |(rate, restarted, used, from, is_failing)| Second {
            rate,
            restarted: f64::max(restarted - 0.5, 0.0),
            used,
            from,
            is_failing,
        },
    );
    proptest::collection::vec(second, 10..60)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Whatever the requests, the failures, the ends of processes and the ways of clients are.
    #[test]
    fn repeats_stay_within_the_budget_over_random_histories(history in seconds()) {
        let deployment = Deployment { instances: 20, fixed: 80 };
        let count = f64::from(deployment.instances);
        let mut site = Site::new(deployment);
        for (number, second) in history.into_iter().enumerate() {
            let start = Instant::from_millis(1_000 * number as u64);
            let first = (second.from * count) as usize;
            site.restart((0..(second.restarted * count) as usize).map(|it| (it + first) % 20), start);
            for millis in (0..1_000).step_by(STEP_MS as usize) {
                let now = start + Duration::from_millis(millis);
                let used = (second.used * count) as usize;
                let is_used = |instance: usize| (instance + 20 - first) % 20 < used;
                site.step(second.rate, is_used, second.is_failing, now);
                let (repeats, allowed) = site.window();
                prop_assert!(f64::from(repeats) <= allowed, "{repeats} of {allowed} at {now:?}");
            }
        }
    }
}
