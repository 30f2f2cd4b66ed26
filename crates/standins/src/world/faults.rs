//! The end of every fault, and what holds once it has been quiet for a while.

use std::collections::BTreeSet;
use std::time::Duration;

use orioleroute::document::Document;
use orioleroute::instance::Phase;
use orioleroute::operator::{Answer, Command};

use super::engine::Faults;
use super::{Record, World};

impl World {
    /// Mends every fault, starts every dead node, lets `span` pass and records what then holds.
    pub fn settle(&mut self, span: Duration) {
        self.heal();
        for engine in &mut self.engines {
            engine.faults = Faults::default();
            engine.report_lag = Duration::ZERO;
        }
        for node in 0..self.nodes.len() {
            self.wake(node);
        }
        self.run(span / 2);
        for node in 0..self.nodes.len() {
            if self.nodes[node].core.is_none() {
                self.start(node);
            }
        }
        self.run(span / 2);
        let versions = self.nodes.iter().enumerate();
        let versions = versions
            .filter_map(|(number, node)| Some((number, node.core.as_ref()?.version())))
            .collect();
        let strays = self.strays();
        self.record(Record::Quiet { versions, strays });
    }

    /// Returns what engines hold that the document in force does not have.
    ///
    /// An engine that is leaving gets no orders. One that ignores fencing numbers gets none for up
    /// to 15 minutes after an unclean removal; see `docs/DESIGN.md`, section "Leases".
    fn strays(&mut self) -> Vec<(usize, String)> {
        let Some(names) = self.names() else { return Vec::new() };
        let engines = self.engines.iter().enumerate();
        engines
            .filter(|(_, engine)| engine.checks_fencing && engine.listing.phase == Phase::Live)
            .flat_map(|(number, engine)| engine.loaded().map(move |name| (number, name)))
            .filter(|(_, name)| !names.contains(*name))
            .map(|(number, name)| (number, name.to_owned()))
            .collect()
    }

    /// Returns the served names of the document that a live node says is in force.
    fn names(&mut self) -> Option<BTreeSet<String>> {
        let node = (0..self.nodes.len()).find(|number| self.nodes[*number].core.is_some())?;
        let ticket = self.command(node, Command::Document);
        let Some(Answer::Document { document, .. }) = self.answers.get(&ticket) else {
            return None;
        };
        let document = Document::from_json(document).ok()?;
        let names = document.adapters.iter().flat_map(|adapter| {
            adapter.versions.iter().map(move |version| format!("{}@{version}", adapter.name))
        });
        Some(names.collect())
    }
}
