//! A steady load: requests start at a constant rate, whether answers come or not.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use orioleroute_wire::client::Pool;

use crate::stream::{self, Outcome};

/// Between two progress lines.
const PROGRESS: Duration = Duration::from_secs(1);

/// The longest wait for the last answers.
const REST: Duration = Duration::from_secs(60);

/// What to send.
pub struct Plan {
    /// The nodes, taken in turn.
    pub addresses: Vec<SocketAddr>,
    /// The adapters, taken in turn.
    pub models: Vec<String>,
    /// The requests a second.
    pub rate: u32,
    /// How long requests are started.
    pub time: Duration,
    /// The tokens of an answer.
    pub tokens: u32,
}

struct Tally {
    started: u64,
    ended: u64,
    whole: u64,
    first_us: Histogram<u64>,
    whole_us: Histogram<u64>,
    errors: BTreeMap<String, u64>,
}

impl Tally {
    fn new() -> Self {
        let histogram = || Histogram::new(3).expect("three digits are allowed");
        Self {
            started: 0,
            ended: 0,
            whole: 0,
            first_us: histogram(),
            whole_us: histogram(),
            errors: BTreeMap::new(),
        }
    }

    fn take(&mut self, outcome: Outcome) {
        self.ended += 1;
        if let Some(error) = outcome.error {
            *self.errors.entry(error).or_default() += 1;
            return;
        }
        self.whole += 1;
        let _ = self.first_us.record(outcome.first.unwrap_or_default().as_micros() as u64);
        let _ = self.whole_us.record(outcome.whole.as_micros() as u64);
    }
}

/// Sends the load and prints what came of it.
pub async fn run(plan: Plan) {
    let tally = Rc::new(RefCell::new(Tally::new()));
    let pool = Pool::new();
    let start = Instant::now();
    let gap = Duration::from_secs(1) / plan.rate;
    let mut shown = Duration::ZERO;
    for index in 0_u32.. {
        let due = gap * index;
        if due >= plan.time {
            break;
        }
        monoio::time::sleep(due.saturating_sub(start.elapsed())).await;
        let address = plan.addresses[index as usize % plan.addresses.len()];
        let model = plan.models[index as usize % plan.models.len()].clone();
        tally.borrow_mut().started += 1;
        let (shared, pool, tokens) = (tally.clone(), pool.clone(), plan.tokens);
        monoio::spawn(async move {
            let outcome = stream::run(&pool, address, &model, tokens).await;
            shared.borrow_mut().take(outcome);
        });
        if due >= shown + PROGRESS {
            shown = due;
            progress(&tally.borrow(), start);
        }
    }
    let end = Instant::now() + REST;
    while tally.borrow().ended < tally.borrow().started && Instant::now() < end {
        monoio::time::sleep(PROGRESS / 10).await;
    }
    report(&tally.borrow(), start.elapsed());
}

fn progress(tally: &Tally, start: Instant) {
    let errors: u64 = tally.errors.values().sum();
    eprintln!(
        "{:>4} s  started {}  whole {}  failed {errors}",
        start.elapsed().as_secs(),
        tally.started,
        tally.whole
    );
}

fn report(tally: &Tally, time: Duration) {
    println!("requests      {} started, {} answered whole", tally.started, tally.whole);
    println!("unanswered    {}", tally.started - tally.ended);
    println!("goodput       {:.1} whole answers a second", tally.whole as f64 / time.as_secs_f64());
    for (error, count) in &tally.errors {
        println!("error         {count} x {error}");
    }
    for (name, histogram) in [("first token", &tally.first_us), ("whole answer", &tally.whole_us)] {
        let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1e3;
        println!(
            "{name:<13} p50 {:.2} ms  p95 {:.2} ms  p99 {:.2} ms  max {:.2} ms",
            at(0.5),
            at(0.95),
            at(0.99),
            histogram.max() as f64 / 1e3
        );
    }
}
