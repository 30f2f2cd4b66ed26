//! Organisations of the replayed loads, and how each is served.

use std::collections::BTreeMap;

use orioleroute::ingress::Configuration;
use orioleroute::ingress::organisation::{Organisation, Quota, Unit};
use orioleroute::prelude::*;

use super::configuration;

/// Returns the configuration with organisations of these names and quotas in tokens a second.
pub fn configuration_with(organisations: &[(&str, Option<f64>)]) -> Arc<Configuration> {
    let organisations = organisations.iter().map(|(name, rate)| Organisation {
        name: (*name).into(),
        keys: Vec::new(),
        priority: None,
        quota: rate.map(|rate| Quota { rate, burst: rate, unit: Unit::Token, default_tokens: 200 }),
    });
    let configuration = Configuration::clone(&configuration());
    Arc::new(configuration.with_organisations(organisations).expect("the names are valid"))
}

/// How the requests of one organisation were served.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    pub requests: usize,
    pub on_time: usize,
    pub refused_at_once: usize,
    pub refused_later: usize,
    /// The sum of the times after which refused clients were told to retry.
    pub retry_after: Duration,
}

impl Tally {
    /// Returns the share of the requests that were served on time.
    pub fn on_time_share(&self) -> f64 {
        self.on_time as f64 / self.requests.max(1) as f64
    }

    /// Returns the share of the refusals that came on arrival.
    pub fn at_once_share(&self) -> f64 {
        let refused = self.refused_at_once + self.refused_later;
        self.refused_at_once as f64 / refused.max(1) as f64
    }

    /// Returns the mean time after which refused clients were told to retry.
    pub fn mean_retry_after(&self) -> Duration {
        self.retry_after / (self.refused_at_once + self.refused_later).max(1) as u32
    }
}

/// How each organisation was served.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tallies(BTreeMap<Option<Arc<str>>, Tally>);

impl Tallies {
    pub fn of(&self, organisation: &str) -> Tally {
        self.0.get(&Some(organisation.into())).copied().unwrap_or_default()
    }

    pub fn of_mut(&mut self, organisation: &Option<Arc<str>>) -> &mut Tally {
        self.0.entry(organisation.clone()).or_default()
    }

    pub fn iter(&self) -> impl Iterator<Item = (&str, &Tally)> {
        self.0.iter().map(|(name, tally)| (name.as_deref().unwrap_or("none"), tally))
    }

    /// Returns the tally of all requests.
    pub fn total(&self) -> Tally {
        self.0.values().fold(Tally::default(), |total, tally| Tally {
            requests: total.requests + tally.requests,
            on_time: total.on_time + tally.on_time,
            refused_at_once: total.refused_at_once + tally.refused_at_once,
            refused_later: total.refused_later + tally.refused_later,
            retry_after: total.retry_after + tally.retry_after,
        })
    }
}
