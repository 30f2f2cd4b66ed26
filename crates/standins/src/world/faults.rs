//! Recovery from all faults, and the state that is recorded for the checker afterwards.

use std::collections::BTreeSet;
use std::time::Duration;

use orioleroute::document::Document;
use orioleroute::instance::Phase;
use orioleroute::operator::{Answer, Command};

use super::engine::Faults;
use super::{Record, World};

impl World {
    /// Ends all faults, waits for the system to recover and records the resulting state.
    ///
    /// Nodes that are not running are started after half of `span`; the state is recorded at its end.
    pub fn settle(&mut self, span: Duration) {
        self.heal();
        for engine in &mut self.engines {
            engine.faults = Faults::default();
            engine.report_lag = Duration::ZERO;
        }
        for node in 0..self.nodes.len() {
            self.resume(node);
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
        let unlisted = self.unlisted();
        self.record(Record::Recovered { versions, unlisted });
    }

    /// Returns the adapters that engines hold but the active document does not list.
    ///
    /// This leaves out draining engines, since they get no orders, and engines that ignore fencing
    /// tokens, since they may get none for up to 15 minutes after an unclean removal; see
    /// `docs/DESIGN.md`, section "Leases".
    fn unlisted(&mut self) -> Vec<(usize, String)> {
        let Some(active_names) = self.active_names() else { return Vec::new() };
        let engines = self.engines.iter().enumerate();
        engines
            .filter(|(_, engine)| engine.checks_fencing && engine.listing.phase == Phase::Live)
            .flat_map(|(number, engine)| engine.loaded().map(move |name| (number, name)))
            .filter(|(_, name)| !active_names.contains(*name))
            .map(|(number, name)| (number, name.to_owned()))
            .collect()
    }

    /// Returns the served names in the active document of the first running node.
    fn active_names(&mut self) -> Option<BTreeSet<String>> {
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
