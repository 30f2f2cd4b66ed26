//! Metrics, derived from the events that the core handles and the effects that it returns.
//!
//! `docs/OPERATIONS.md` lists them. Names and units follow Prometheus: seconds, bytes, `_total`.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Instant as Clock;

use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use orioleroute::engine::{self, Order};
use orioleroute::prelude::*;
use orioleroute::request::{Failure, Progress, Step};
use orioleroute::{Core, table};

/// The upper bounds of the histogram buckets, in seconds.
const BUCKETS_S: [f64; 14] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.46, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 120.0];

/// The time between two rounds of [`maintain`]. At a thousand requests a second they take 20 kB of samples each.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Installs the recorder of metrics and returns the handle that renders them.
pub fn install() -> PrometheusHandle {
    // Setting the buckets fails only if the list is empty.
    let builder = PrometheusBuilder::new().set_buckets(&BUCKETS_S).unwrap_or_default();
    let recorder = builder.build_recorder();
    let handle = recorder.handle();
    // Fails only if a recorder was installed before; this process installs just this one.
    let _ = metrics::set_global_recorder(recorder);
    handle
}

/// Folds recorded samples into their histograms, forever. The recorder does so by itself only when the metrics are read, and
/// keeps them until then.
pub async fn maintain(metrics: PrometheusHandle) {
    loop {
        monoio::time::sleep(UPKEEP_INTERVAL).await;
        metrics.run_upkeep();
    }
}

/// Updates the metrics from events and effects.
#[derive(Default)]
pub struct Meter {
    arrivals: RefCell<HashMap<key::Request, Clock>>,
}

impl Meter {
    /// Observes an event before the core handles it.
    pub fn observe_event(&self, event: &Event) {
        match event {
            Event::Arrived { request, .. } => {
                self.arrivals.borrow_mut().insert(*request, Clock::now());
            }
            Event::Progress { request, progress } => self.observe_progress(*request, *progress),
            Event::OrderEnded { outcome, .. } => {
                counter!("orioleroute_orders_total", "outcome" => order_label(*outcome))
                    .increment(1);
            }
            Event::Table { outcome, .. } => {
                counter!("orioleroute_table_operations_total", "outcome" => table_label(outcome))
                    .increment(1);
            }
            Event::Message { .. } => {
                counter!("orioleroute_peer_messages_total", "direction" => "received").increment(1);
            }
            _ => {}
        }
    }

    /// Observes an effect before it is applied.
    pub fn observe_effect(&self, effect: &Effect) {
        match effect {
            Effect::Send { .. } => {
                counter!("orioleroute_peer_messages_total", "direction" => "sent").increment(1);
            }
            Effect::Order { order: Order::Load { .. }, .. } => {
                counter!("orioleroute_loads_total").increment(1);
            }
            Effect::Order { order: Order::Unload { .. }, .. } => {
                counter!("orioleroute_unloads_total").increment(1);
            }
            Effect::LogDecision(decision) => {
                counter!("orioleroute_decisions_total", "reason" => decision.reason.to_string())
                    .increment(1);
            }
            Effect::Request { request, step: Step::Refuse(refusal) } => {
                counter!("orioleroute_refusals_total",
                    "kind" => refusal.kind.to_string(), "ran" => refusal.ran.to_string())
                .increment(1);
                self.record_end(*request, "refused");
            }
            Effect::Request { step: Step::Forward { .. }, .. } => {
                counter!("orioleroute_forwards_total").increment(1);
            }
            _ => {}
        }
    }

    /// Sets the gauges from the core's state.
    pub fn update_gauges(&self, core: &Core, now: Instant) {
        let lease = if core.membership().holds_lease(now) { 1.0 } else { 0.0 };
        gauge!("orioleroute_lease_held").set(lease);
        gauge!("orioleroute_config_version").set(core.version() as f64);
        gauge!("orioleroute_requests_in_flight").set(core.requests().len() as f64);
    }

    fn observe_progress(&self, request: key::Request, progress: Progress) {
        match progress {
            Progress::ResponseStarted => {
                if let Some(arrived) = self.arrivals.borrow().get(&request) {
                    let time = arrived.elapsed().as_secs_f64();
                    histogram!("orioleroute_time_to_first_token_seconds").record(time);
                }
            }
            Progress::Failed(failure) => {
                counter!("orioleroute_failed_attempts_total", "failure" => failure_label(failure))
                    .increment(1);
            }
            Progress::Finished => self.record_end(request, "finished"),
            Progress::CallerDisconnected => self.record_end(request, "gone"),
        }
    }

    fn record_end(&self, request: key::Request, outcome: &'static str) {
        // A refused request has been counted at the refusal and has no arrival left.
        let Some(arrived) = self.arrivals.borrow_mut().remove(&request) else { return };
        counter!("orioleroute_requests_total", "outcome" => outcome).increment(1);
        histogram!("orioleroute_request_duration_seconds", "outcome" => outcome)
            .record(arrived.elapsed().as_secs_f64());
    }
}

fn failure_label(failure: Failure) -> &'static str {
    match failure {
        Failure::Unsent => "unsent",
        Failure::Declined => "declined",
        Failure::NotLoaded => "not_loaded",
        Failure::Broken => "broken",
    }
}

fn order_label(outcome: engine::Outcome) -> &'static str {
    match outcome {
        engine::Outcome::Done => "done",
        engine::Outcome::Failed => "failed",
        engine::Outcome::Fenced => "fenced",
        engine::Outcome::Unknown => "unknown",
    }
}

fn table_label(outcome: &table::Outcome) -> &'static str {
    match outcome {
        table::Outcome::Rows(_) => "read",
        table::Outcome::Written => "written",
        table::Outcome::Conflict(_) => "conflict",
        table::Outcome::Failed => "failed",
        table::Outcome::Unknown => "unknown",
    }
}
