//! Accounts of several zones that borrow from the lender of one organisation.

use orioleroute::ingress::Quota;
use orioleroute::ingress::organisation::Unit;
use orioleroute::ingress::quota::{Account, Lender, Lent, Loan, Verdict};
use orioleroute::prelude::*;

pub const ZONES: usize = 6;

/// The window of the objective.
pub const WINDOW: Duration = Duration::from_secs(8);

/// What a window may hold above the quota: a part of it, and some tokens.
pub const OVERAGE: f64 = 0.1;
pub const SLACK: f64 = 17_000.0;

/// The tokens of a request.
pub const COST: u64 = 2_400;

pub const STEP: Duration = Duration::from_millis(5);
pub const REFRESH_INTERVAL: Duration = Duration::from_millis(250);
/// The longest time from a charge to its refund.
pub const REFUND_TTL: Duration = Duration::from_secs(1);

pub const TIMEOUT: Duration = Duration::from_millis(120);

/// One way to the lender from another region, and from its own zone.
pub const FAR: Duration = Duration::from_millis(12);
pub const NEAR: Duration = Duration::from_millis(1);

pub fn small() -> Quota {
    Quota { rate: 4_200.0, burst: 4_200.0, unit: Unit::Token, default_tokens: 200 }
}

pub fn large() -> Quota {
    Quota { rate: 250_000.0, burst: 250_000.0, ..small() }
}

pub const fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

pub enum Message {
    Ask(usize, Loan),
    Answer(usize, Lent),
    TimedOut(usize),
}

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// One lender for all zones.
    Lender,
    /// Each zone for itself, with the whole quota.
    WholeEach,
    /// Each zone for itself, with an equal part.
    PartEach,
}

/// Accounts of several zones and the lender of one organisation.
pub struct World {
    pub now: Instant,
    pub quota: Quota,
    pub policy: Policy,
    pub lender: Option<Lender>,
    /// The lenders of zones that decide for themselves.
    own_lenders: Vec<Lender>,
    pub accounts: Vec<Account<Instant>>,
    /// The accounts whose messages do not reach the lender.
    pub is_cut: [bool; ZONES],
    /// The questions of each account, the last of which may wait for its answer.
    pub questions: [(u64, bool); ZONES],
    under_way: Vec<(Instant, u64, Message)>,
    pub charged: Vec<(Instant, u64)>,
    pub refused: Vec<Instant>,
    /// What of a request was asked for already.
    due: f64,
}

impl World {
    pub fn new(quota: Quota) -> Self {
        Self {
            now: at(100_000),
            quota,
            policy: Policy::Lender,
            lender: Some(Lender::new(1, Instant::ZERO)),
            own_lenders: (0..ZONES).map(|_| Lender::new(1, Instant::ZERO)).collect(),
            accounts: (0..ZONES).map(|_| Account::default()).collect(),
            is_cut: [false; ZONES],
            questions: [(0, false); ZONES],
            under_way: Vec::new(),
            charged: Vec::new(),
            refused: Vec::new(),
            due: 0.0,
        }
    }

    pub fn organisation() -> Arc<str> {
        "o".into()
    }

    fn delay(zone: usize) -> Duration {
        if zone == 0 { NEAR } else { FAR }
    }

    fn charge(&mut self, zone: usize) {
        let now = self.now;
        match self.accounts[zone].charge(&Self::organisation(), now, COST, now) {
            Some(verdict) => self.record(now, verdict),
            None => {
                let loan = self.accounts[zone].loan(&Self::organisation(), now);
                loan.into_iter().for_each(|loan| self.ask(zone, loan));
            }
        }
    }

    fn record(&mut self, sent: Instant, verdict: Verdict) {
        match verdict {
            Verdict::Charged => self.charged.push((sent, COST)),
            Verdict::Refused(_) => self.refused.push(sent),
        }
    }

    fn ask(&mut self, zone: usize, loan: Loan) {
        let question = self.questions[zone].0 + 1;
        self.questions[zone] = (question, true);
        self.under_way.push((self.now + Self::delay(zone), question, Message::Ask(zone, loan)));
        self.under_way.push((self.now + TIMEOUT, question, Message::TimedOut(zone)));
    }

    fn deliver(&mut self, question: u64, message: Message) {
        let now = self.now;
        let (zone, verdicts) = match message {
            Message::Ask(zone, loan) => {
                let part = if self.policy == Policy::PartEach { ZONES as f64 } else { 1.0 };
                let (rate, burst) = (self.quota.rate / part, self.quota.burst / part);
                let quota = Quota { rate, burst, ..self.quota };
                let lender = match self.policy {
                    Policy::Lender => self.lender.as_mut().filter(|_| !self.is_cut[zone]),
                    Policy::WholeEach | Policy::PartEach => self.own_lenders.get_mut(zone),
                };
                let Some(lender) = lender else { return };
                let lent = lender.lend(&format!("n{zone}").into(), &loan, &quota, now);
                let due = now + Self::delay(zone);
                return self.under_way.push((due, question, Message::Answer(zone, lent)));
            }
            Message::Answer(zone, _) if self.is_cut[zone] => return,
            Message::Answer(zone, _) | Message::TimedOut(zone)
                if self.questions[zone] != (question, true) =>
            {
                return;
            }
            Message::Answer(zone, lent) => (zone, self.accounts[zone].handle_lent(&lent, now)),
            Message::TimedOut(zone) => {
                (zone, self.accounts[zone].handle_silence(&Self::organisation(), now))
            }
        };
        self.questions[zone].1 = false;
        verdicts.into_iter().for_each(|(sent, verdict)| self.record(sent, verdict));
        let next = self.accounts[zone].loan(&Self::organisation(), now);
        next.into_iter().for_each(|loan| self.ask(zone, loan));
    }

    /// Runs for a time while clients ask for this many tokens a second in zones that `zone` chooses by the time.
    pub fn run(&mut self, time: Duration, rate: f64, zone: impl Fn(Duration, u64) -> usize) {
        let begin = self.now;
        let mut sent = 0;
        while self.now.since(begin) < time {
            self.now += STEP;
            let now = self.now;
            let (due, later) = std::mem::take(&mut self.under_way)
                .into_iter()
                .partition::<Vec<_>, _>(|(due, ..)| *due <= now);
            self.under_way = later;
            due.into_iter().for_each(|(_, question, message)| self.deliver(question, message));
            if now.as_micros().is_multiple_of(REFRESH_INTERVAL.as_micros() as u64) {
                for zone in 0..ZONES {
                    let loans = self.accounts[zone].refresh(now);
                    loans.into_iter().for_each(|loan| self.ask(zone, loan));
                }
            }
            self.due += rate * STEP.as_secs_f64() / COST as f64;
            while self.due >= 1.0 {
                self.due -= 1.0;
                sent += 1;
                self.charge(zone(now.since(begin), sent));
            }
        }
    }

    /// The most that was charged in any window.
    pub fn most(&self) -> f64 {
        most(&self.charged, at(0))
    }

    /// Returns the part of the quota's rate that was used from a time on.
    pub fn used_since(&self, begin: Instant) -> f64 {
        let within = self.charged.iter().filter(|(at, _)| *at > begin);
        let sum: f64 = within.map(|(_, cost)| *cost as f64).sum();
        sum / (self.quota.rate * self.now.since(begin).as_secs_f64())
    }

    pub fn check_bound(&self) {
        assert!(self.most() <= bound(&self.quota), "{} of {}", self.most(), bound(&self.quota));
    }
}

/// When the bucket is empty at the latest that was full in the beginning.
pub const SETTLED: Instant = at(104_000);

/// The most that was charged in any window that begins after a time.
pub fn most(charged: &[(Instant, u64)], after: Instant) -> f64 {
    let mut charged: Vec<_> = charged.iter().filter(|(at, _)| *at >= after).collect();
    charged.sort();
    let mut sum = 0;
    let mut most = 0;
    let mut first = 0;
    for (at, cost) in &charged {
        sum += cost;
        while at.since(charged[first].0) > WINDOW {
            sum -= charged[first].1;
            first += 1;
        }
        most = most.max(sum);
    }
    most as f64
}

pub fn bound(quota: &Quota) -> f64 {
    (quota.rate * WINDOW.as_secs_f64() + quota.burst) * (1.0 + OVERAGE) + SLACK
}

pub fn everywhere(_: Duration, number: u64) -> usize {
    number as usize * 5 % ZONES
}

/// Clients that all move to the next zone every second.
pub fn moving(time: Duration, _: u64) -> usize {
    time.as_secs() as usize % ZONES
}
