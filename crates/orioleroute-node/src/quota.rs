//! Charges requests to the quotas of their organisations, and lends and borrows between schedulers.
//!
//! The decisions are in `orioleroute::ingress::quota`; this module holds the messages and timers.

use std::cell::RefCell;
use std::rc::Rc;

use local_sync::mpsc;
use orioleroute::hash;
pub use orioleroute::ingress::quota::UNHEARD_TIME;
use orioleroute::ingress::quota::{
    self, Account, Average, Lender, Lent, Loan, Reserve, Shortage, Verdict,
};
use orioleroute::ingress::{Attempt, Organisation};
use orioleroute::prelude::*;
use orioleroute::scheduler::Client;
use orioleroute::scheduler::message::{Reason, ToInstance, ToScheduler};
use slog::{info, warn};

use crate::gateway::{Gateway, SchedulerHandle, lending_token, scheduler_of, send_to_instance};

/// The longest wait for a lender: a round trip between regions takes 24 ms, and a busy processor adds some tens of
/// milliseconds.
const LENDER_TIMEOUT: Duration = Duration::from_millis(120);

/// The longest wait for an account, which may wait for a lender.
const ACCOUNT_TIMEOUT: Duration = Duration::from_millis(200);

/// The time for a connection that was just opened to say what it reads.
const CONNECTION_DELAY: Duration = Duration::from_millis(20);

/// How often a new connection is waited for.
const CONNECTION_ROUNDS: u32 = 4;

/// The time within which a request that has not run gives its tokens back. Those of a later one could be spent in a window
/// that does not count their charge.
const REFUND_TTL: Duration = Duration::from_millis(1_000);

/// The retry-after time of a request for which nobody counts, about that of a take-over.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// The time after its start in which an instance waits for lenders, which may be starting as well and have little at first.
const STARTUP_TIME: Duration = Duration::from_secs(2);

/// The longest such wait of a request.
const STARTUP_WAIT: Duration = Duration::from_millis(600);

/// The pause before they are asked again.
const STARTUP_DELAY: Duration = Duration::from_millis(40);

/// The least time after which a client is told to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The number of organisations that have counters of their own.
const MAX_COUNTED: usize = 64;

/// A request that waits for a loan.
type Waiting = (Client, u64);

/// What this instance lends, has borrowed, and may spend alone.
#[derive(Default)]
pub struct Quotas {
    /// The lenders by zone.
    lenders: RefCell<Map<Arc<str>, Lender>>,
    account: RefCell<Account<Waiting>>,
    /// What this instance has been charged, by organisation.
    own: RefCell<Map<Arc<str>, Own>>,
    counted: RefCell<Set<Arc<str>>>,
}

/// What an instance has been charged for an organisation.
#[derive(Default)]
struct Own {
    average: Average,
    reserve: Reserve,
}

/// A request that is charged to a quota.
pub struct Charge(Option<Charged>);

struct Charged {
    organisation: Arc<str>,
    cost: u64,
    at: Instant,
    /// Where it was charged, unless nobody answered.
    scheduler: Option<SchedulerHandle>,
}

/// Why a request was not charged.
pub struct Denied {
    /// The reason.
    pub reason: Reason,
    /// The time after which the client is told to come back.
    pub retry_after: Duration,
    organisation: Arc<str>,
    cost: u64,
    /// The zone whose scheduler said so, if one did.
    zone: Option<Arc<str>>,
    shortage: Option<Shortage>,
}

impl Quotas {
    /// Forgets what was borrowed, because the process was suspended.
    pub fn clear_account(&self) {
        *self.account.borrow_mut() = Account::default();
    }

    /// Gives back what was charged.
    pub fn refund(&self, organisation: &Arc<str>, amount: u64, now: Instant) {
        self.account.borrow_mut().refund(organisation, amount, now);
    }

    /// Begins to lend for a zone for which nobody has lent since a time.
    pub fn succeed(&self, zone: &Arc<str>, term: u64, since: Instant) {
        self.lenders.borrow_mut().insert(zone.clone(), Lender::succeeding(term, since));
    }

    /// Spends what this instance may spend alone.
    fn take_own(&self, organisation: &str, cost: u64, now: Instant) -> bool {
        let mut own = self.own.borrow_mut();
        own.get_mut(organisation).is_some_and(|own| own.reserve.take(cost as f64, 1.0, now))
    }

    /// Records that a charge was answered.
    fn renew_own(&self, organisation: &Arc<str>, charged: u64, now: Instant) {
        let mut all = self.own.borrow_mut();
        let own = all.entry(organisation.clone()).or_default();
        own.average.add(charged as f64, now);
        own.reserve.renew(own.average.rate(now), now);
    }

    /// Returns the label of an organisation in metrics, of which there are not too many.
    pub fn label(&self, organisation: &Arc<str>) -> Arc<str> {
        let mut counted = self.counted.borrow_mut();
        if counted.len() < MAX_COUNTED {
            counted.insert(organisation.clone());
        }
        counted.get(organisation).cloned().unwrap_or_else(|| "other".into())
    }
}

/// Charges a request to the quota of its organisation, if it has one.
///
/// # Errors
///
/// Fails if the request is over the quota, or if nobody answers and this instance may not spend so much alone.
pub async fn charge(
    gateway: &Rc<Gateway>,
    organisation: Option<&Arc<Organisation>>,
    attempt: &Attempt,
) -> Result<Charge, Denied> {
    let limited = organisation.and_then(|it| Some((&it.name, it.quota?)));
    let Some((organisation, quota)) = limited else { return Ok(Charge(None)) };
    let cost = quota.cost(attempt.tokens);
    let begun = gateway.now();
    loop {
        let denied = match charge_once(gateway, organisation, cost, attempt).await {
            Ok(charge) => return Ok(charge),
            Err(denied) => denied,
        };
        let now = gateway.now();
        let is_starting = now.since(Instant::ZERO) < STARTUP_TIME;
        if !is_starting || now.since(begun) >= STARTUP_WAIT {
            return Err(denied);
        }
        monoio::time::sleep(STARTUP_DELAY).await;
    }
}

async fn charge_once(
    gateway: &Rc<Gateway>,
    organisation: &Arc<str>,
    cost: u64,
    attempt: &Attempt,
) -> Result<Charge, Denied> {
    let charged = |scheduler| {
        let (organisation, at) = (organisation.clone(), gateway.now());
        Charge(Some(Charged { organisation, cost, at, scheduler }))
    };
    for zone in account_zones(gateway, organisation) {
        let Some(scheduler) = scheduler_of(gateway, &zone) else { continue };
        let Some(shortage) = ask_account(gateway, &scheduler, organisation, cost).await else {
            continue;
        };
        let Some(shortage) = shortage else {
            gateway.quotas.renew_own(organisation, cost, gateway.now());
            return Ok(charged(Some(scheduler)));
        };
        let reason = match shortage.is_alone {
            true => Reason::QuotaUnknown,
            false => Reason::OverQuota,
        };
        let jitter = hash::digest(&attempt.id) as f64 / u64::MAX as f64;
        let retry_after = Duration::from_millis(shortage.retry_after_ms).max(MIN_RETRY_AFTER);
        return Err(Denied {
            reason,
            retry_after: retry_after.mul_f64(1.0 + jitter),
            organisation: organisation.clone(),
            cost,
            zone: Some(zone),
            shortage: Some(shortage),
        });
    }
    if gateway.quotas.take_own(organisation, cost, gateway.now()) {
        return Ok(charged(None));
    }
    let (reason, retry_after) = (Reason::QuotaUnknown, UNKNOWN_RETRY_AFTER);
    let organisation = organisation.clone();
    Err(Denied { reason, retry_after, organisation, cost, zone: None, shortage: None })
}

/// Returns the zones whose accounts may be charged: that of this instance, and that of the lender.
fn account_zones(gateway: &Gateway, organisation: &str) -> Vec<Arc<str>> {
    let own: Arc<str> = gateway.settings().zone.as_str().into();
    let lender = lender_zone(gateway, organisation).filter(|zone| *zone != own);
    [Some(own), lender].into_iter().flatten().collect()
}

fn lender_zone(gateway: &Gateway, organisation: &str) -> Option<Arc<str>> {
    let settings = gateway.settings();
    let zones = settings.zones.iter().map(|(zone, _)| zone.as_str());
    quota::lender_zone(organisation, zones).map(Arc::from)
}

/// Returns the zones that need a scheduler because it lends: none without quotas, else all.
pub fn lender_zones(gateway: &Gateway) -> Vec<Arc<str>> {
    let configuration = gateway.configuration();
    let mut organisations = configuration.iter().flat_map(|it| it.organisations.iter());
    if !organisations.any(|organisation| organisation.quota.is_some()) {
        return Vec::new();
    }
    gateway.settings().zones.iter().map(|(zone, _)| zone.as_str().into()).collect()
}

/// Charges an account. Returns `None` if it does not answer in time.
async fn ask_account(
    gateway: &Rc<Gateway>,
    scheduler: &SchedulerHandle,
    organisation: &Arc<str>,
    cost: u64,
) -> Option<Option<Shortage>> {
    let ticket = gateway.links.next_ticket();
    let question = ToScheduler::Charge { ticket, organisation: organisation.clone(), cost };
    match ask(gateway, scheduler, ticket, question, ACCOUNT_TIMEOUT).await? {
        ToInstance::Charged { shortage, .. } => Some(shortage),
        _ => None,
    }
}

/// Asks a scheduler, and waits for the answer.
async fn ask(
    gateway: &Rc<Gateway>,
    scheduler: &SchedulerHandle,
    ticket: u64,
    question: ToScheduler,
    timeout: Duration,
) -> Option<ToInstance> {
    let mut rounds = 0;
    while !scheduler.is_current() {
        rounds += 1;
        if rounds > CONNECTION_ROUNDS {
            return None;
        }
        monoio::time::sleep(CONNECTION_DELAY).await;
    }
    let (answers, mut answer) = mpsc::unbounded::channel();
    if !scheduler.ask(gateway, ticket, answers, question) {
        return None;
    }
    let answered = monoio::time::timeout(timeout, answer.recv()).await;
    scheduler.discard(gateway, ticket);
    if answered.is_err() {
        scheduler.mark_suspect(gateway);
    }
    answered.ok().flatten()
}

impl Charge {
    /// Gives the tokens back of a request that certainly has not run.
    pub fn refund(self, gateway: &Rc<Gateway>) {
        let Some(charged) = self.0 else { return };
        let is_late = gateway.now().since(charged.at) > REFUND_TTL;
        let Some(scheduler) = charged.scheduler.filter(|_| !is_late) else { return };
        let (organisation, amount) = (charged.organisation, charged.cost);
        scheduler.send(gateway, ToScheduler::Refund { organisation, amount });
    }
}

impl Denied {
    /// Writes the log line of the refusal, and counts it.
    pub fn report(&self, gateway: &Gateway, attempt: &Attempt) {
        let label = gateway.quotas.label(&self.organisation);
        metrics::counter!("orioleroute_refusals_total", "reason" => self.reason.to_string())
            .increment(1);
        metrics::counter!("orioleroute_quota_refusals_total", "organisation" => label.to_string())
            .increment(1);
        info!(gateway.log, "refused"; "request" => attempt.id.as_deref(),
            "reason" => self.reason.to_string(), "organisation" => &*self.organisation,
            "cost" => self.cost, "account" => self.zone.as_deref(),
            "available" => self.shortage.map(|shortage| shortage.available),
            "answer_age_ms" => self.shortage.and_then(|shortage| shortage.age_ms),
            "is_alone" => self.shortage.map(|shortage| shortage.is_alone),
            "retry_after_ms" => self.retry_after.as_millis() as u64);
    }
}

/// Charges the account of this instance for another one.
pub fn handle_charge(
    gateway: &Rc<Gateway>,
    client: Client,
    ticket: u64,
    organisation: &Arc<str>,
    cost: u64,
) {
    let key = (client, ticket);
    let now = gateway.now();
    let verdict = gateway.quotas.account.borrow_mut().charge(organisation, key, cost, now);
    if let Some(verdict) = verdict {
        return answer(gateway, vec![(key, verdict)]);
    }
    let loan = gateway.quotas.account.borrow_mut().loan(organisation, now);
    if let Some(loan) = loan {
        borrow(gateway, vec![loan]);
    }
}

fn answer(gateway: &Rc<Gateway>, verdicts: Vec<(Waiting, Verdict)>) {
    for ((client, ticket), verdict) in verdicts {
        let shortage = match verdict {
            Verdict::Charged => None,
            Verdict::Refused(shortage) => Some(shortage),
        };
        send_to_instance(gateway, client, ToInstance::Charged { ticket, shortage });
    }
}

/// Tops up what is borrowed, and gives back what is not used. Called at regular intervals.
pub fn refresh(gateway: &Rc<Gateway>) {
    let loans = gateway.quotas.account.borrow_mut().refresh(gateway.now());
    borrow(gateway, loans);
}

/// Asks the lenders of organisations, and passes their answers to the account.
fn borrow(gateway: &Rc<Gateway>, loans: Vec<Loan>) {
    let mut by_zone: Map<Arc<str>, Vec<Loan>> = Map::default();
    for loan in loans {
        if let Some(zone) = lender_zone(gateway, &loan.organisation) {
            by_zone.entry(zone).or_default().push(loan);
        }
    }
    let own = gateway.roster().own().name.clone();
    for (zone, loans) in by_zone {
        match scheduler_of(gateway, &zone) {
            Some(SchedulerHandle::Local) => {
                let lent = lend(gateway, &zone, &own, &loans);
                apply(gateway, &loans, &lent);
            }
            Some(scheduler) => {
                let (gateway, account) = (gateway.clone(), own.clone());
                monoio::spawn(async move {
                    let lent = ask_lender(&gateway, &scheduler, zone, account, loans.clone()).await;
                    apply(&gateway, &loans, &lent);
                });
            }
            None => apply(gateway, &loans, &[]),
        }
    }
}

async fn ask_lender(
    gateway: &Rc<Gateway>,
    scheduler: &SchedulerHandle,
    zone: Arc<str>,
    account: Arc<str>,
    loans: Vec<Loan>,
) -> Vec<Lent> {
    let ticket = gateway.links.next_ticket();
    let question = ToScheduler::Borrow { ticket, zone, account, loans };
    match ask(gateway, scheduler, ticket, question, LENDER_TIMEOUT).await {
        Some(ToInstance::Lent { loans, .. }) => loans,
        _ => Vec::new(),
    }
}

/// Passes what was lent to the account, and the silence of lenders that did not answer.
fn apply(gateway: &Rc<Gateway>, loans: &[Loan], lent: &[Lent]) {
    for loan in loans {
        let organisation = &loan.organisation;
        let now = gateway.now();
        let lent = lent.iter().find(|lent| lent.organisation == *organisation);
        let (verdicts, next) = {
            let mut account = gateway.quotas.account.borrow_mut();
            let verdicts = match lent {
                Some(lent) => account.handle_lent(lent, now),
                None => account.handle_silence(organisation, now),
            };
            (verdicts, account.loan(organisation, now))
        };
        answer(gateway, verdicts);
        if let Some(next) = next {
            borrow(gateway, vec![next]);
        }
    }
}

/// Lends to an account, if this instance schedules the zone and there is evidence that nobody has taken it over.
pub fn lend(
    gateway: &Rc<Gateway>,
    zone: &Arc<str>,
    account: &Arc<str>,
    loans: &[Loan],
) -> Vec<Lent> {
    let now = gateway.now();
    let token = lending_token(gateway, zone);
    let (Some(term), Some(configuration)) = (token, gateway.configuration()) else {
        return Vec::new();
    };
    let mut lenders = gateway.quotas.lenders.borrow_mut();
    let lender = lenders
        .entry(zone.clone())
        .or_insert_with(|| Lender::new(term, gateway.leadership.scheduling_since()));
    if lender.term() != term {
        warn!(gateway.log, "lending begins again"; "zone" => &**zone, "term" => term);
        *lender = Lender::new(term, now);
    }
    let lent = loans.iter().filter_map(|loan| {
        let quota = configuration.organisations.get(&loan.organisation)?.quota?;
        Some(lender.lend(account, loan, &quota, now))
    });
    lent.collect()
}
