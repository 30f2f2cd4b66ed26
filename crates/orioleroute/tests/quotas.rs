//! Replays of the quotas of organisations over all zones.
//!
//! Guards against an organisation that runs more than its quota while machines and links fail, and against one that is refused
//! although it has room.

use orioleroute::ingress::organisation::Unit;
use orioleroute::ingress::quota::{Account, Lender, Lent, Loan, Verdict};
use orioleroute::ingress::{Quota, quota};
use orioleroute::prelude::*;
use proptest::prelude::*;

const ZONES: usize = 6;

/// The window of the objective.
const WINDOW: Duration = Duration::from_secs(8);

/// What a window may hold above the quota: a part of it, and some tokens.
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 17_000.0;

/// The tokens of a request.
const COST: u64 = 2_400;

const STEP: Duration = Duration::from_millis(5);
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);
const TIMEOUT: Duration = Duration::from_millis(120);

/// One way to the lender from another region, and from its own zone.
const FAR: Duration = Duration::from_millis(12);
const NEAR: Duration = Duration::from_millis(1);

fn small() -> Quota {
    Quota { rate: 4_200.0, burst: 4_200.0, unit: Unit::Token, default_tokens: 200 }
}

fn large() -> Quota {
    Quota { rate: 250_000.0, burst: 250_000.0, ..small() }
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

enum Message {
    Ask(usize, Loan),
    Answer(usize, Lent),
    TimedOut(usize),
}

/// Accounts of several zones and the lender of one organisation.
struct World {
    now: Instant,
    quota: Quota,
    lender: Option<Lender>,
    accounts: Vec<Account<Instant>>,
    /// The accounts that the lender does not hear.
    is_cut: [bool; ZONES],
    /// The questions of each account, the last of which may wait for its answer.
    questions: [(u64, bool); ZONES],
    under_way: Vec<(Instant, u64, Message)>,
    charged: Vec<(Instant, u64)>,
    refused: Vec<Instant>,
    /// What of a request was asked for already.
    due: f64,
}

impl World {
    fn new(quota: Quota) -> Self {
        Self {
            now: at(100_000),
            quota,
            lender: Some(Lender::new(1, Instant::ZERO)),
            accounts: (0..ZONES).map(|_| Account::default()).collect(),
            is_cut: [false; ZONES],
            questions: [(0, false); ZONES],
            under_way: Vec::new(),
            charged: Vec::new(),
            refused: Vec::new(),
            due: 0.0,
        }
    }

    fn organisation() -> Arc<str> {
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
                let lender = self.lender.as_mut().filter(|_| !self.is_cut[zone]);
                let Some(lender) = lender else { return };
                let name = format!("n{zone}").into();
                let lent = lender.lend(&name, &loan, &self.quota, now);
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
    fn run(&mut self, time: Duration, rate: f64, zone: impl Fn(Duration, u64) -> usize) {
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
    fn most(&self) -> f64 {
        most(&self.charged, at(0))
    }

    fn charged_in(&self, begin: Instant, end: Instant) -> f64 {
        let within = self.charged.iter().filter(|(at, _)| *at > begin && *at <= end);
        within.map(|(_, cost)| *cost as f64).sum()
    }
}

/// The most that was charged in any window that begins after a time.
fn most(charged: &[(Instant, u64)], after: Instant) -> f64 {
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

fn bound(quota: &Quota) -> f64 {
    (quota.rate * WINDOW.as_secs_f64() + quota.burst) * (1.0 + OVERAGE) + SLACK
}

fn everywhere(_: Duration, number: u64) -> usize {
    number as usize * 5 % ZONES
}

/// Clients that all move to the next zone every second.
fn moving(time: Duration, _: u64) -> usize {
    time.as_secs() as usize % ZONES
}

#[rstest::rstest]
#[case::small(small())]
#[case::large(large())]
fn six_times_the_usual_use_the_quota_and_no_more(#[case] quota: Quota) {
    let mut world = World::new(quota);
    let demand = quota.rate * 6.0;

    world.run(Duration::from_secs(30), demand, everywhere);

    let (begin, end) = (at(104_000), at(130_000));
    assert!(world.most() <= bound(&quota), "{} of {}", world.most(), bound(&quota));
    let used = world.charged_in(begin, end) / (quota.rate * end.since(begin).as_secs_f64());
    assert!(used >= 0.95, "used to {used}");
    // Without a quota they would run six times as much.
    assert!(demand * WINDOW.as_secs_f64() > bound(&quota));
}

#[rstest::rstest]
#[case::small(small())]
#[case::large(large())]
fn moving_clients_use_the_quota(#[case] quota: Quota) {
    let mut world = World::new(quota);

    world.run(Duration::from_secs(30), quota.rate * 2.0, moving);

    let (begin, end) = (at(104_000), at(130_000));
    assert!(world.most() <= bound(&quota), "{} of {}", world.most(), bound(&quota));
    let used = world.charged_in(begin, end) / (quota.rate * end.since(begin).as_secs_f64());
    assert!(used >= 0.95, "used to {used}");
    // A sixth for each zone would serve a sixth.
}

#[rstest::rstest]
#[case::small_everywhere(small(), everywhere)]
#[case::small_moving(small(), moving)]
#[case::large_everywhere(large(), everywhere)]
#[case::large_moving(large(), moving)]
fn few_requests_inside_the_quota_are_refused(
    #[case] quota: Quota,
    #[case] zone: fn(Duration, u64) -> usize,
) {
    let mut world = World::new(quota);

    world.run(Duration::from_secs(60), quota.rate * 0.9, zone);

    let (served, refused) = (world.charged.len(), world.refused.len());
    assert!(refused * 200 <= served + refused, "{refused} refused, {served} served");
}

#[test]
fn a_lowered_quota_binds_after_a_window() {
    let quota = large();
    let mut world = World::new(quota);
    world.run(Duration::from_secs(10), quota.rate * 3.0, everywhere);

    world.quota = Quota { rate: quota.rate / 2.0, burst: quota.burst / 2.0, ..quota };
    let lowered = world.now;
    world.run(Duration::from_secs(20), quota.rate * 3.0, everywhere);

    let most = most(&world.charged, lowered);
    assert!(most <= bound(&world.quota), "{most} of {}", bound(&world.quota));
}

#[test]
fn a_raised_quota_helps_at_once() {
    let quota = small();
    let mut world = World::new(quota);
    world.run(Duration::from_secs(10), quota.rate * 6.0, everywhere);

    world.quota = Quota { rate: quota.rate * 4.0, ..quota };
    let raised = world.now;
    world.run(Duration::from_secs(4), quota.rate * 6.0, everywhere);

    let used = world.charged_in(raised, world.now) / (world.quota.rate * 4.0);
    assert!(used >= 0.9, "used to {used}");
}

#[rstest::rstest]
#[case::lost(Duration::from_secs(3), 2)]
#[case::frozen(Duration::from_secs(4), 1)]
fn requests_go_on_while_the_lender_is_away(#[case] away: Duration, #[case] term: u64) {
    let quota = large();
    let mut world = World::new(quota);
    world.run(Duration::from_secs(10), quota.rate * 2.0, everywhere);

    let lost = world.now;
    let lender = world.lender.take();
    world.run(away, quota.rate * 2.0, everywhere);
    let served = world.charged_in(lost, world.now) / (quota.rate * away.as_secs_f64());
    world.lender = lender.filter(|lender| lender.term() == term);
    let successor = Lender::new(term, world.now);
    world.lender.get_or_insert(successor);
    world.run(Duration::from_secs(10), quota.rate * 2.0, everywhere);

    assert!(served >= 0.55, "used to {served} without a lender");
    assert!(world.most() <= bound(&quota), "{} of {}", world.most(), bound(&quota));
    let used = world.charged_in(lost + away, world.now) / (quota.rate * 10.0);
    assert!(used >= 0.9, "used to {used} afterwards");
}

#[test]
fn a_zone_alone_keeps_its_part() {
    let quota = large();
    let mut world = World::new(quota);
    world.run(Duration::from_secs(10), quota.rate * 2.0, everywhere);

    let cut = world.now;
    world.is_cut[1] = true;
    world.run(Duration::from_secs(4), quota.rate * 2.0, everywhere);
    world.is_cut[1] = false;
    world.run(Duration::from_secs(10), quota.rate * 2.0, everywhere);

    assert!(world.most() <= bound(&quota), "{} of {}", world.most(), bound(&quota));
    let used = world.charged_in(cut, world.now) / (quota.rate * 14.0);
    assert!(used >= 0.9, "used to {used}");
}

#[test]
fn the_lenders_of_organisations_lie_in_all_zones() {
    let zones: Vec<String> = (0..ZONES).map(|zone| format!("zone-{zone}")).collect();
    let names = || zones.iter().map(String::as_str);

    let lenders: Set<&str> = (0..100)
        .filter_map(|number| quota::lender_zone(&format!("organisation {number}"), names()))
        .collect();

    assert_eq!(lenders.len(), ZONES);
}

/// What happens next to the system.
#[derive(Clone, Debug)]
enum Step {
    Run { millis: u64, demand: f64, zones: u64 },
    LoseLender,
    Succeed,
    Cut(usize),
    Heal(usize),
    ForgetAccount(usize),
    Return { zone: usize },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (20..2_500_u64, 0.0..8.0, 1..=ZONES as u64)
            .prop_map(|(millis, demand, zones)| Step::Run { millis, demand, zones }),
        1 => Just(Step::LoseLender),
        2 => Just(Step::Succeed),
        1 => (0..ZONES).prop_map(Step::Cut),
        2 => (0..ZONES).prop_map(Step::Heal),
        1 => (0..ZONES).prop_map(Step::ForgetAccount),
        1 => (0..ZONES).prop_map(|zone| Step::Return { zone }),
    ];
    proptest::collection::vec(step, 4..30)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn no_window_is_over_the_bound(steps in steps(), is_large in any::<bool>()) {
        let quota = if is_large { large() } else { small() };
        let mut world = World::new(quota);
        let mut lost = Instant::ZERO;

        for step in steps {
            match step {
                Step::Run { millis, demand, zones } => {
                    let zone = |_, number| (number % zones) as usize;
                    world.run(Duration::from_millis(millis), quota.rate * demand, zone);
                }
                Step::LoseLender => {
                    lost = world.now;
                    world.lender = None;
                }
                // A successor comes after the time of a take-over.
                Step::Succeed if world.now.since(lost) > quota::RESERVE_TTL => {
                    let term = world.now.as_micros();
                    world.lender.get_or_insert(Lender::new(term, at(term / 1_000)));
                }
                Step::Succeed => {}
                Step::Cut(zone) => world.is_cut[zone] = true,
                Step::Heal(zone) => world.is_cut[zone] = false,
                Step::ForgetAccount(zone) => {
                    world.accounts[zone] = Account::default();
                    world.questions[zone].1 = false;
                }
                // The last request that was charged here did not run.
                Step::Return { zone } => {
                    let last = world.charged.last().is_some_and(|(at, _)| *at == world.now);
                    if last && world.charged.pop().is_some() {
                        let organisation = World::organisation();
                        world.accounts[zone].refund(&organisation, COST, world.now);
                    }
                }
            }
        }

        prop_assert!(world.most() <= bound(&quota), "{} of {}", world.most(), bound(&quota));
    }
}
