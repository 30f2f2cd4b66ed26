//! Which prompt parts may have ended engines of the zone, from how the runs on them ended.
//!
//! See [`crate::ingress::quarantine`] for the verdicts.

use std::net::SocketAddr;

use crate::ingress::quarantine::{Loss, Part, Quarantine, Report, Run};
use crate::prelude::*;

/// How long a part counts as sound after a run of it. A part that begins to end engines within this time is suspected
/// only after it.
const SOUND_TTL: Duration = Duration::from_secs(60);

/// The most parts that are remembered as sound.
const MAX_SOUND_PARTS: usize = 4_096;

/// How long the runs that a lost engine breaks off are counted towards its loss.
const LOSS_SPAN: Duration = Duration::from_secs(2);

/// How long a loss is remembered.
const LOSS_TTL: Duration = Duration::from_secs(3_600);

/// The most losses that are remembered. With [`MAX_RUNS`] and [`MAX_PARTS`] it limits a report to about 30 KB.
const MAX_LOSSES: usize = 16;

/// The most runs that are remembered of a loss.
const MAX_RUNS: usize = 12;

/// The most parts that are remembered of a run, the first ones.
const MAX_PARTS: usize = 8;

/// How long a part that another zone suspects is reported as sound after a run of it. It is short, because the report
/// clears the part also of losses that are newer than the run.
const SOUND_REPORT_TIME: Duration = Duration::from_millis(2_000);

/// What the zone's runs say about prompt parts.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    /// The engines on which a run broke off.
    broken: Map<key::Upstream, BrokenEngine>,
    losses: Vec<TimedLoss>,
    sound: Map<Part, Instant>,
    /// The parts that other zones suspect.
    elsewhere: Set<Part>,
    reported_sound: Set<Part>,
    has_changed: bool,
}

#[derive(Clone, Debug)]
struct BrokenEngine {
    address: SocketAddr,
    service: Arc<str>,
    since: Instant,
    runs: Vec<Run>,
    /// The parts of those runs that were answered, and sound if the engine lives.
    answered: Set<u64>,
    /// Whether the engine was found to be lost, and its loss is among the losses.
    is_lost: bool,
}

#[derive(Clone, Debug)]
struct TimedLoss {
    at: Instant,
    loss: Loss,
}

impl Suspects {
    /// Records that a run was sound.
    pub fn record_sound(&mut self, service: &Arc<str>, ids: &[u64], now: Instant) {
        for id in ids {
            let part = Part { service: service.clone(), id: *id };
            self.clear(&part);
            self.sound.insert(part, now);
        }
        self.evict_sound(now);
    }

    /// Records that a run broke off, or was answered in a way that does not show whether the answer is whole. Returns
    /// whether to check whether its engine is lost.
    pub fn record_broken(
        &mut self,
        engine: key::Upstream,
        (service, address): (&Arc<str>, SocketAddr),
        (run, is_answered): (Run, bool),
        now: Instant,
    ) -> bool {
        let parts = run.parts.into_iter().filter(|id| !self.is_sound(service, *id, now));
        let run = Run { own: run.own, parts: parts.take(MAX_PARTS).collect() };
        if run.parts.is_empty() {
            return false;
        }
        let answered: Vec<u64> = if is_answered { run.parts.clone() } else { Vec::new() };
        self.broken.retain(|_, broken| now.since(broken.since) < LOSS_SPAN);
        if let Some(broken) = self.broken.get_mut(&engine) {
            broken.answered.extend(answered);
            match broken.is_lost {
                true => self.add_to_loss(address, run),
                false if broken.runs.len() < MAX_RUNS => broken.runs.push(run),
                false => {}
            }
            return false;
        }
        let service = service.clone();
        let answered = answered.into_iter().collect();
        let (runs, is_lost) = (vec![run], false);
        let broken = BrokenEngine { address, service, since: now, runs, answered, is_lost };
        self.broken.insert(engine, broken);
        true
    }

    /// Handles the result of the check of an engine.
    pub fn handle_check(&mut self, engine: key::Upstream, is_lost: bool, now: Instant) {
        let Some(broken) = self.broken.get_mut(&engine).filter(|broken| !broken.is_lost) else {
            return;
        };
        if !is_lost {
            let (service, answered) =
                (broken.service.clone(), std::mem::take(&mut broken.answered));
            self.broken.remove(&engine);
            let answered: Vec<u64> = answered.into_iter().collect();
            return self.record_sound(&service, &answered, now);
        }
        broken.is_lost = true;
        let runs = std::mem::take(&mut broken.runs);
        let (service, engine) = (broken.service.clone(), broken.address);
        self.has_changed = true;
        if self.losses.len() >= MAX_LOSSES {
            self.losses.remove(0);
        }
        self.losses.push(TimedLoss { at: now, loss: Loss { service, engine, age_ms: 0, runs } });
    }

    /// Returns whether an engine on which a run with this part broke off is being checked.
    pub fn is_being_checked(&self, part: &Part, now: Instant) -> bool {
        self.broken.values().any(|broken| {
            !broken.is_lost
                && now.since(broken.since) < LOSS_SPAN
                && broken.service == part.service
                && broken.runs.iter().any(|run| run.parts.contains(&part.id))
        })
    }

    /// Returns whether any engine is being checked.
    pub fn is_checking(&self) -> bool {
        self.broken.values().any(|broken| !broken.is_lost)
    }

    /// Takes over what other zones report.
    pub fn update(&mut self, quarantine: &Quarantine, zone: &str) {
        self.elsewhere = quarantine.suspects_elsewhere(zone);
        for part in quarantine.sound_elsewhere(zone) {
            self.clear(part);
        }
    }

    /// Takes over what a predecessor has reported.
    pub fn restore(&mut self, report: &Report, now: Instant) {
        let losses = report.losses.iter().map(|loss| {
            let at = now - Duration::from_millis(loss.age_ms);
            TimedLoss { at, loss: loss.clone() }
        });
        self.losses = losses.chain(std::mem::take(&mut self.losses)).collect();
    }

    /// Returns the report if it has changed since the last call.
    pub fn take_report(&mut self, now: Instant) -> Option<Report> {
        let known = self.losses.len();
        self.losses.retain(|timed| now.since(timed.at) < LOSS_TTL && !timed.loss.runs.is_empty());
        let sound = self.elsewhere.iter().filter(|part| {
            self.sound.get(*part).is_some_and(|at| now.since(*at) < SOUND_REPORT_TIME)
        });
        let sound: Set<Part> = sound.cloned().collect();
        self.has_changed |= self.losses.len() < known || sound != self.reported_sound;
        if !std::mem::take(&mut self.has_changed) {
            return None;
        }
        self.reported_sound = sound.clone();
        let losses = self.losses.iter().map(|timed| {
            let age_ms = now.since(timed.at).as_millis() as u64;
            Loss { age_ms, ..timed.loss.clone() }
        });
        Some(Report { losses: losses.collect(), sound: sound.into_iter().collect() })
    }

    fn is_sound(&self, service: &Arc<str>, id: u64, now: Instant) -> bool {
        let part = Part { service: service.clone(), id };
        self.sound.get(&part).is_some_and(|at| now.since(*at) < SOUND_TTL)
    }

    fn clear(&mut self, part: &Part) {
        for timed in &mut self.losses {
            self.has_changed |= timed.loss.clear(part);
        }
    }

    /// Adds a run to the newest loss of an engine.
    fn add_to_loss(&mut self, address: SocketAddr, run: Run) {
        let mut losses = self.losses.iter_mut().rev();
        if let Some(timed) = losses.find(|timed| timed.loss.engine == address)
            && timed.loss.runs.len() < MAX_RUNS
        {
            timed.loss.runs.push(run);
            self.has_changed = true;
        }
    }

    fn evict_sound(&mut self, now: Instant) {
        if self.sound.len() <= MAX_SOUND_PARTS {
            return;
        }
        let mut times: Vec<Instant> = self.sound.values().copied().collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        self.sound.retain(|_, at| *at > median && now.since(*at) < SOUND_TTL);
    }
}
