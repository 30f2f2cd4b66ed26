//! An open-loop load: requests start at a constant rate, independently of the responses.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use orioleroute_wire::client::Pool;

use crate::stream::{self, Outcome};

/// The interval between progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// The longest wait for outstanding responses after the last request.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(60);

/// The load to send.
pub struct Plan {
    /// The caller addresses of the nodes, used in turn.
    pub addresses: Vec<SocketAddr>,
    /// The names of the adapters, used in turn.
    pub models: Vec<String>,
    /// The requests started per second.
    pub requests_per_s: u32,
    /// The time during which requests are started.
    pub duration: Duration,
    /// The number of tokens per response.
    pub tokens: u32,
}

struct Tally {
    started: u64,
    ended: u64,
    completed: u64,
    first_token_us: Histogram<u64>,
    total_us: Histogram<u64>,
    errors: BTreeMap<String, u64>,
}

impl Tally {
    fn new() -> Self {
        let histogram = || Histogram::new(3).expect("three digits are allowed");
        Self {
            started: 0,
            ended: 0,
            completed: 0,
            first_token_us: histogram(),
            total_us: histogram(),
            errors: BTreeMap::new(),
        }
    }

    fn record(&mut self, outcome: Outcome) {
        self.ended += 1;
        if let Some(error) = outcome.error {
            *self.errors.entry(error).or_default() += 1;
            return;
        }
        self.completed += 1;
        let _ = self
            .first_token_us
            .record(outcome.time_to_first_token.unwrap_or_default().as_micros() as u64);
        let _ = self.total_us.record(outcome.total.as_micros() as u64);
    }
}

/// Sends the load and prints a summary of the results.
pub async fn run(plan: Plan) {
    let tally = Rc::new(RefCell::new(Tally::new()));
    let pool = Pool::new();
    let start = Instant::now();
    let interval = Duration::from_secs(1) / plan.requests_per_s;
    let mut last_progress = Duration::ZERO;
    for index in 0_u32.. {
        let due = interval * index;
        if due >= plan.duration {
            break;
        }
        monoio::time::sleep(due.saturating_sub(start.elapsed())).await;
        let address = plan.addresses[index as usize % plan.addresses.len()];
        let model = plan.models[index as usize % plan.models.len()].clone();
        tally.borrow_mut().started += 1;
        let (shared, pool, tokens) = (tally.clone(), pool.clone(), plan.tokens);
        monoio::spawn(async move {
            let outcome = stream::run(&pool, address, &model, tokens).await;
            shared.borrow_mut().record(outcome);
        });
        if due >= last_progress + PROGRESS_INTERVAL {
            last_progress = due;
            progress(&tally.borrow(), start);
        }
    }
    let drain_deadline = Instant::now() + DRAIN_TIMEOUT;
    while tally.borrow().ended < tally.borrow().started && Instant::now() < drain_deadline {
        monoio::time::sleep(PROGRESS_INTERVAL / 10).await;
    }
    report(&tally.borrow(), start.elapsed());
}

fn progress(tally: &Tally, start: Instant) {
    let errors: u64 = tally.errors.values().sum();
    eprintln!(
        "{:>4} s  started {}  completed {}  failed {errors}",
        start.elapsed().as_secs(),
        tally.started,
        tally.completed
    );
}

fn report(tally: &Tally, elapsed: Duration) {
    println!("requests      {} started, {} completed", tally.started, tally.completed);
    println!("unanswered    {}", tally.started - tally.ended);
    println!(
        "goodput       {:.1} complete responses per second",
        tally.completed as f64 / elapsed.as_secs_f64()
    );
    for (error, count) in &tally.errors {
        println!("error         {count} x {error}");
    }
    for (name, histogram) in
        [("first token", &tally.first_token_us), ("full response", &tally.total_us)]
    {
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
