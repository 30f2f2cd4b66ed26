//! The I/O around the core: passes events to the core and applies the effects that it returns.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Instant as Clock, SystemTime, UNIX_EPOCH};

use local_sync::{mpsc, oneshot};
use orioleroute::Core;
use orioleroute::event::TICK;
use orioleroute::instance::Instance as Identity;
use orioleroute::key::Ticket;
use orioleroute::operator::{Answer, Command};
use orioleroute::prelude::*;
use orioleroute::request::Step;
use orioleroute::routing::{Decision, Reason};
use orioleroute_wire::client::Pool;
use orioleroute_wire::rpc;
use slog::{Logger, debug, info, o, warn};

use crate::meter::Meter;
use crate::settings::Settings;
use crate::{engines, platform};

/// The longest wait for a peer to acknowledge a message.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The receiver of the steps of one request, as the core decides them.
pub type Steps = mpsc::unbounded::Rx<Step>;

/// One instance at run time.
pub struct Shell {
    /// The settings.
    pub settings: Settings,
    /// The connections to peers, upstreams and the platform.
    pub pool: Pool,
    /// The log.
    pub log: Logger,
    /// The metrics.
    pub meter: Meter,
    core: RefCell<Core>,
    started: Clock,
    steps: RefCell<HashMap<key::Request, mpsc::unbounded::Tx<Step>>>,
    request_names: RefCell<HashMap<key::Request, Arc<str>>>,
    pending_commands: RefCell<HashMap<Ticket, oneshot::Sender<Answer>>>,
    last_command: Cell<u64>,
}

impl Shell {
    /// Returns an instance that listens on the given addresses.
    pub fn new(
        settings: Settings,
        log: Logger,
        caller_address: SocketAddr,
        peer_address: SocketAddr,
        operator_address: SocketAddr,
    ) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let identity = Identity {
            name: settings.name.as_str().into(),
            incarnation: since_epoch.as_micros() as u64,
            region: settings.region.as_str().into(),
            zone: settings.zone.as_str().into(),
            caller_address,
            peer_address,
            operator_address,
        };
        Self {
            settings,
            pool: Pool::new(),
            log,
            meter: Meter::default(),
            core: RefCell::new(Core::new(identity)),
            started: Clock::now(),
            steps: RefCell::default(),
            request_names: RefCell::default(),
            pending_commands: RefCell::default(),
            last_command: Cell::new(0),
        }
    }

    /// Logs the listening addresses and prints them on standard output, where the process that started
    /// this instance reads them.
    pub fn announce(&self) {
        let core = self.core.borrow();
        let identity = core.membership().identity();
        println!(
            "listening callers={} peers={} operators={}",
            identity.caller_address, identity.peer_address, identity.operator_address
        );
        info!(self.log, "started"; "incarnation" => identity.incarnation,
            "callers" => identity.caller_address.to_string(),
            "peers" => identity.peer_address.to_string(),
            "operators" => identity.operator_address.to_string());
    }

    /// Returns the time on the core's clock.
    pub fn now(&self) -> Instant {
        Instant::from_micros(self.started.elapsed().as_micros() as u64)
    }

    /// Calls a function with the core's current state.
    pub fn read<T>(&self, read: impl FnOnce(&Core) -> T) -> T {
        read(&self.core.borrow())
    }

    /// Passes an event to the core and applies the effects that it returns.
    pub fn handle(self: &Rc<Self>, event: Event) {
        self.meter.observe_event(&event);
        let effects = self.core.borrow_mut().handle(self.now(), event);
        for effect in effects {
            self.meter.observe_effect(&effect);
            self.apply(effect);
        }
    }

    /// Admits a request and returns its key and the receiver of its steps.
    pub fn admit(&self) -> (key::Request, Steps) {
        let key = self.core.borrow_mut().allocate_request();
        let (sender, steps) = mpsc::unbounded::channel();
        self.steps.borrow_mut().insert(key, sender);
        (key, steps)
    }

    /// Sets the name that the caller gave an admitted request, under which it is logged.
    pub fn name_request(&self, key: key::Request, name: &str) {
        self.request_names.borrow_mut().insert(key, name.into());
    }

    /// Removes a request that has had its final response.
    pub fn remove_request(&self, key: key::Request) {
        self.steps.borrow_mut().remove(&key);
        self.request_names.borrow_mut().remove(&key);
    }

    /// Passes an operator's command to the core and waits for the answer.
    pub async fn command(self: &Rc<Self>, command: Command) -> Option<Answer> {
        let ticket = Ticket(self.last_command.get() + 1);
        self.last_command.set(ticket.0);
        let (sender, answer) = oneshot::channel();
        self.pending_commands.borrow_mut().insert(ticket, sender);
        self.handle(Event::Command { ticket, command });
        answer.await.ok()
    }

    /// Ticks the core until the instance has left the membership and has no request in flight.
    pub async fn tick_until_done(self: &Rc<Self>) {
        while !self.core.borrow().is_done() {
            self.handle(Event::Tick);
            monoio::time::sleep(TICK / 2).await;
        }
        info!(self.log, "left");
    }

    fn apply(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Send { to, address, message } => {
                let shell = self.clone();
                monoio::spawn(async move { shell.send(to, address, message).await });
            }
            Effect::Table { ticket, operation } => {
                monoio::spawn(platform::run_table_operation(self.clone(), ticket, operation));
            }
            Effect::WriteObject { ticket, key, value } => {
                monoio::spawn(platform::write_object(self.clone(), ticket, key, value));
            }
            Effect::ReadObject { ticket, key } => {
                monoio::spawn(platform::read_object(self.clone(), ticket, key));
            }
            Effect::Order { ticket, upstream, address, order, fencing } => {
                let sending =
                    engines::send_order(self.clone(), ticket, upstream, address, order, fencing);
                monoio::spawn(sending);
            }
            Effect::Probe { upstream, address } => {
                monoio::spawn(engines::probe(self.clone(), upstream, address));
            }
            Effect::Request { request, step } => {
                if let Some(sender) = self.steps.borrow().get(&request) {
                    let _ = sender.send(step);
                }
            }
            Effect::Answer { ticket, answer } => {
                if let Some(sender) = self.pending_commands.borrow_mut().remove(&ticket) {
                    let _ = sender.send(answer);
                }
            }
            Effect::LogDecision(decision) => self.log_decision(&decision),
        }
    }

    async fn send(
        self: Rc<Self>,
        to: Arc<str>,
        address: SocketAddr,
        message: orioleroute::message::Message,
    ) {
        let token = &self.settings.peer_token;
        let name = &self.settings.name;
        let result = rpc::notify(&self.pool, address, token, name, &message, PEER_TIMEOUT).await;
        if let Err(error) = result {
            debug!(self.log, "sending message to peer failed"; "peer" => &*to,
                "error" => error.to_string());
        }
    }

    /// Returns the name that the caller gave a request, or its key if the caller gave none.
    fn request_name(&self, key: key::Request) -> String {
        let names = self.request_names.borrow();
        names.get(&key).map_or_else(|| format!("{key:?}"), ToString::to_string)
    }

    fn log_decision(&self, decision: &Decision) {
        let (adapter, version) = match decision.name.split_once('@') {
            Some((adapter, version)) => (adapter.to_owned(), Some(version.to_owned())),
            None => (decision.name.to_string(), None),
        };
        let fields = o!(
            "request" => decision.request.map(|key| self.request_name(key)),
            "adapter" => adapter,
            "version" => version,
            "chosen" => decision.chosen.as_deref().map(str::to_owned),
            "reason" => decision.reason.to_string(),
            "runners_up" => decision.runners_up.join(","),
        );
        match decision.reason {
            Reason::Refused => warn!(self.log, "decision"; fields),
            _ => info!(self.log, "decision"; fields),
        }
    }
}
