//! Connections between instances and the schedulers of availability zones: one JSON-RPC notification
//! per line, in both directions.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use local_sync::mpsc;
use monoio::net::TcpListener;
use orioleroute::ingress::feed::{Subscription, ToReader};
use orioleroute::ingress::path::ToSibling;
use orioleroute::prelude::*;
use orioleroute::scheduler::Client;
use orioleroute::scheduler::message::{Reason, ToInstance, ToScheduler};
use orioleroute_wire::admission::{Exhausted, Part, Reservation};
use orioleroute_wire::http1::socket::Socket;
use orioleroute_wire::lines::Lines;
use serde::Serialize;
use serde::de::DeserializeOwned;
use slog::{debug, info, warn};

use super::state::Gateway;
use super::{feed, leadership, quarantine, turned_away};
use crate::detour;

/// The longest wait for a connection to a scheduler; a round trip between regions takes 24 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The longest wait for the peer to read a message.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The longest line that a peer may send, in bytes. Peers of an older release do not keep to [`MAX_SENT_BYTES`].
const MAX_LINE_BYTES: usize = 256 << 10;

/// The longest line that is sent, in bytes, which peers of an older release take, too. A longer one would break the
/// connection for all requests.
const MAX_SENT_BYTES: usize = 64 << 10;

/// The longest wait for the first line of a connection. Instances send it at once.
const FIRST_LINE_TIMEOUT: Duration = Duration::from_secs(15);

/// The time before another connection to a scheduler after a failed one, and the pause after a failed
/// accept.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// How long a scheduler that did not reply in time gets no requests, so that few requests wait for one
/// that is partitioned.
const SUSPECT_DURATION: Duration = Duration::from_millis(400);

/// The outgoing and incoming connections of one instance.
#[derive(Default)]
pub struct Links {
    outgoing: RefCell<Map<SocketAddr, Rc<Link>>>,
    failed_at: RefCell<Map<SocketAddr, Instant>>,
    incoming: RefCell<Map<Client, mpsc::unbounded::Tx<ToInstance>>>,
    local: PendingReplies,
    next_client: Cell<u64>,
    next_ticket: Cell<u64>,
}

/// The placement requests that await a reply, by ticket.
#[derive(Default)]
struct PendingReplies(RefCell<Map<u64, mpsc::unbounded::Tx<ToInstance>>>);

/// A connection to a scheduler at another instance.
pub struct Link {
    queue: mpsc::unbounded::Tx<ToScheduler>,
    pending: PendingReplies,
    /// Whether the scheduler has said that it reads all messages of this release.
    is_current: Cell<bool>,
    /// When the scheduler last failed to reply in time.
    suspected: Cell<Option<Instant>>,
}

/// A handle to send messages to a scheduler.
#[derive(Clone)]
pub enum SchedulerHandle {
    /// The scheduler runs in this process.
    Local,
    /// The scheduler runs at another instance.
    Remote(Rc<Link>),
}

impl Links {
    /// Returns a new ticket for a placement request.
    pub fn next_ticket(&self) -> u64 {
        let ticket = self.next_ticket.get() + 1;
        self.next_ticket.set(ticket);
        ticket
    }
}

impl PendingReplies {
    fn expect(&self, ticket: u64) -> mpsc::unbounded::Rx<ToInstance> {
        let (sender, receiver) = mpsc::unbounded::channel();
        self.0.borrow_mut().insert(ticket, sender);
        receiver
    }

    fn deliver(&self, message: ToInstance) {
        let (ticket, is_final) = match &message {
            ToInstance::Queued { ticket } => (*ticket, false),
            ToInstance::Grant(grant) => (grant.ticket, true),
            ToInstance::Refuse { ticket, .. } => (*ticket, true),
            ToInstance::Origin { ticket, .. }
            | ToInstance::Charged { ticket, .. }
            | ToInstance::Lent { ticket, .. } => (*ticket, true),
            ToInstance::Suspects { .. } | ToInstance::Current => return,
        };
        if let Some(sender) = self.0.borrow().get(&ticket) {
            // Fails if the request was withdrawn meanwhile; dropping its permit notifies the scheduler.
            let _ = sender.send(message);
        }
        if is_final {
            self.discard(ticket);
        }
    }

    fn discard(&self, ticket: u64) {
        self.0.borrow_mut().remove(&ticket);
    }
}

impl SchedulerHandle {
    /// Returns a handle to the scheduler at `address`, or `None` if it was recently unreachable or did
    /// not reply in time. Starts connecting if there is no connection.
    pub fn for_address(gateway: &Rc<Gateway>, address: SocketAddr) -> Option<Self> {
        if address == gateway.settings().peer_address {
            return Some(Self::Local);
        }
        let links = &gateway.links;
        if let Some(link) = links.outgoing.borrow().get(&address) {
            let suspected = link.suspected.get();
            let is_suspect =
                suspected.is_some_and(|since| gateway.now().since(since) < SUSPECT_DURATION);
            return (!is_suspect).then(|| Self::Remote(link.clone()));
        }
        let failed_at = links.failed_at.borrow().get(&address).copied();
        if failed_at.is_some_and(|failed_at| gateway.now().since(failed_at) < RETRY_DELAY) {
            return None;
        }
        let (queue, messages) = mpsc::unbounded::channel();
        let link = Rc::new(Link {
            queue,
            pending: PendingReplies::default(),
            is_current: Cell::new(false),
            suspected: Cell::new(None),
        });
        // Fails only once the task of the link has ended.
        let _ = link.queue.send(ToScheduler::follow(links.next_ticket()));
        links.outgoing.borrow_mut().insert(address, link.clone());
        monoio::spawn(run_outgoing(gateway.clone(), address, link.clone(), messages));
        Some(Self::Remote(link))
    }

    /// Sends a message.
    pub fn send(&self, gateway: &Rc<Gateway>, message: ToScheduler) {
        match self {
            Self::Local => leadership::handle_message(gateway, leadership::LOCAL_CLIENT, message),
            // Fails if the task of the link has ended, which has failed all waiting requests.
            Self::Remote(link) => drop(link.queue.send(message)),
        }
    }

    /// Returns whether the instance has said that it reads all messages of this release. One of an older release says
    /// nothing, and must not be sent those that it cannot read.
    pub fn is_current(&self) -> bool {
        match self {
            Self::Local => true,
            Self::Remote(link) => link.is_current.get(),
        }
    }

    /// Asks a question that schedulers of an older release cannot read, and returns whether it was sent. The answer goes to
    /// `answers`.
    pub fn ask(
        &self,
        gateway: &Rc<Gateway>,
        ticket: u64,
        answers: mpsc::unbounded::Tx<ToInstance>,
        question: ToScheduler,
    ) -> bool {
        let pending = match self {
            Self::Local => &gateway.links.local,
            Self::Remote(link) if link.is_current.get() => &link.pending,
            Self::Remote(_) => return false,
        };
        pending.0.borrow_mut().insert(ticket, answers);
        self.send(gateway, question);
        true
    }

    /// Discards a request for which no more replies are expected.
    pub fn discard(&self, gateway: &Rc<Gateway>, ticket: u64) {
        match self {
            Self::Local => gateway.links.local.discard(ticket),
            Self::Remote(link) => link.pending.discard(ticket),
        }
    }

    /// Records that the scheduler did not reply in time. It gets no requests for [`SUSPECT_DURATION`].
    pub fn mark_suspect(&self, gateway: &Rc<Gateway>) {
        if let Self::Remote(link) = self {
            link.suspected.set(Some(gateway.now()));
        }
    }

    /// Registers a placement request, and returns the receiver of its replies. The receiver is closed if
    /// the link fails.
    pub fn expect(&self, gateway: &Rc<Gateway>, ticket: u64) -> mpsc::unbounded::Rx<ToInstance> {
        match self {
            Self::Local => gateway.links.local.expect(ticket),
            Self::Remote(link) => link.pending.expect(ticket),
        }
    }
}

/// Returns the scheduler of a zone if it is in reach.
pub fn scheduler_of(gateway: &Rc<Gateway>, zone: &str) -> Option<SchedulerHandle> {
    if gateway.leadership.fencing_token(zone).is_some() {
        return Some(SchedulerHandle::Local);
    }
    let holder = gateway.leadership.leaders.leader(zone)?.holder;
    let address = {
        let roster = gateway.roster();
        let is_responsive = roster.is_responsive(&holder, gateway.now());
        roster.member(&holder).filter(|_| is_responsive)?.peer_address
    };
    SchedulerHandle::for_address(gateway, address)
}

/// Returns an instance, whether or not it schedules a zone, unless it was recently out of reach.
pub fn instance(gateway: &Rc<Gateway>, name: &str) -> Option<SchedulerHandle> {
    let address = gateway.roster().member(name)?.peer_address;
    SchedulerHandle::for_address(gateway, address)
}

/// Sends a scheduler's reply to an instance.
pub fn send_to_instance(gateway: &Rc<Gateway>, client: Client, message: ToInstance) {
    if client == leadership::LOCAL_CLIENT {
        return gateway.links.local.deliver(message);
    }
    if let Some(queue) = gateway.links.incoming.borrow().get(&client) {
        // Fails if the connection's task has ended, which reports the disconnect itself.
        let _ = queue.send(message);
    }
}

/// Accepts connections from other instances, forever.
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!(gateway.log, "accepting a peer failed"; "error" => error.to_string());
                monoio::time::sleep(RETRY_DELAY).await;
                continue;
            }
        };
        let reservation = match gateway.room.peers.admit(peer) {
            Ok(reservation) => reservation,
            Err(refusal) => {
                turned_away::report(&gateway, turned_away::Listener::Peers, refusal);
                continue;
            }
        };
        let Ok(socket) = Socket::accepted(stream) else { continue };
        monoio::spawn(run_incoming(gateway.clone(), socket, peer, reservation));
    }
}

async fn run_incoming(
    gateway: Rc<Gateway>,
    mut socket: Socket,
    peer: SocketAddr,
    mut reservation: Reservation,
) {
    let first = take_first(&mut socket, &mut reservation);
    let first = monoio::time::timeout(FIRST_LINE_TIMEOUT, first).await;
    match first.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into())) {
        Ok(First::Subscription(it)) => return feed::serve(gateway, socket, it).await,
        Ok(First::Detour(upstream)) => return detour::serve(gateway, socket, peer, upstream).await,
        Ok(First::Message) => {}
        Err(error) => {
            debug!(gateway.log, "peer lost"; "peer" => peer.to_string(), "error" => error.to_string());
            return;
        }
    }
    let client = Client(gateway.links.next_client.get() + 1);
    gateway.links.next_client.set(client.0);
    let (queue, messages) = mpsc::unbounded::channel();
    gateway.links.incoming.borrow_mut().insert(client, queue);
    let receive = |message| leadership::handle_message(&gateway, client, message);
    let reject = |_| report_oversized(&gateway, peer);
    let reservation = Some(&mut reservation);
    let reason = run_connection(socket, reservation, messages, receive, reject).await;
    debug!(gateway.log, "instance disconnected"; "peer" => peer.to_string(), "error" => reason);
    gateway.links.incoming.borrow_mut().remove(&client);
    quarantine::remove_follower(&gateway, client);
    leadership::handle_disconnect(&gateway, client);
}

async fn run_outgoing(
    gateway: Rc<Gateway>,
    address: SocketAddr,
    link: Rc<Link>,
    messages: mpsc::unbounded::Rx<ToScheduler>,
) {
    let reason = match Socket::connect(address, CONNECT_TIMEOUT).await {
        Ok(socket) => {
            info!(gateway.log, "scheduler connected"; "peer" => address.to_string());
            let receive = |message| match message {
                ToInstance::Suspects { zone, row } => {
                    quarantine::apply_row(&gateway, &zone, Some(&row), quarantine::Way::Scheduler);
                }
                ToInstance::Current => link.is_current.set(true),
                reply => link.pending.deliver(reply),
            };
            let reject = |message| {
                report_oversized(&gateway, address);
                if let ToScheduler::Place(placement) = message {
                    let (ticket, reason) = (placement.ticket, Reason::NoEngine);
                    link.pending.deliver(ToInstance::Refuse { ticket, retry_after_ms: 0, reason });
                }
            };
            run_connection(socket, None, messages, receive, reject).await
        }
        Err(error) => error.to_string(),
    };
    warn!(gateway.log, "scheduler lost"; "peer" => address.to_string(), "error" => reason);
    gateway.links.outgoing.borrow_mut().remove(&address);
    gateway.links.failed_at.borrow_mut().insert(address, gateway.now());
    // Dropping the senders fails every waiting request.
    link.pending.0.borrow_mut().clear();
}

fn report_oversized(gateway: &Gateway, peer: SocketAddr) {
    metrics::counter!("orioleroute_link_messages_oversized_total").increment(1);
    warn!(gateway.log, "message too long"; "peer" => peer.to_string());
}

/// Sends and receives messages until the connection ends, and returns the reason. Messages that are too long for the peer
/// are passed to `reject` instead.
async fn run_connection<S: Serialize, R: DeserializeOwned>(
    mut socket: Socket,
    mut reservation: Option<&mut Reservation>,
    mut messages: mpsc::unbounded::Rx<S>,
    mut receive: impl FnMut(R),
    mut reject: impl FnMut(S),
) -> String {
    let mut lines = Lines::new(MAX_LINE_BYTES);
    loop {
        loop {
            let message = match lines.take(&mut socket.input) {
                Ok(Some(line)) => serde_json::from_slice(&line),
                Ok(None) => break,
                Err(error) => return error.to_string(),
            };
            match message {
                Ok(message) => receive(message),
                Err(error) => return error.to_string(),
            }
        }
        let held = reservation.as_mut().map(|it| hold_input(it, &socket));
        if let Some(Err(exhausted)) = held {
            return exhausted.to_string();
        }
        let outgoing = monoio::select! {
            read = socket.fill() => match read {
                Ok(0) => return "closed".into(),
                Ok(_) => None,
                Err(error) => return error.to_string(),
            },
            message = messages.recv() => match message {
                Some(message) => Some(message),
                None => return "no longer used".into(),
            },
        };
        if let Some(message) = outgoing {
            let mut lines = Vec::new();
            let mut next = Some(message);
            while let Some(message) = next {
                if !write_line(&mut lines, &message) {
                    reject(message);
                }
                next = messages.try_recv().ok();
            }
            match monoio::time::timeout(WRITE_TIMEOUT, socket.write(&lines)).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => return error.to_string(),
                Err(_) => return "timed out writing to the peer".into(),
            }
        }
    }
}

/// What a connection of another instance is for.
enum First {
    /// It follows this instance.
    Subscription(Subscription),
    /// It wants to reach this upstream.
    Detour(Arc<str>),
    /// It sends messages to a scheduler, of which the first remains in the input.
    Message,
}

/// Waits for the first line of a connection, which shows what it is for.
async fn take_first(socket: &mut Socket, reservation: &mut Reservation) -> std::io::Result<First> {
    loop {
        if let Some(end) = socket.input.iter().position(|byte| *byte == b'\n') {
            let line = &socket.input[..end];
            let first = if let Ok(ToReader::Subscribe(it)) = serde_json::from_slice(line) {
                First::Subscription(it)
            } else if let Ok(ToSibling::Open(upstream)) = serde_json::from_slice(line) {
                First::Detour(upstream)
            } else {
                return Ok(First::Message);
            };
            let _ = socket.input.split_to(end + 1);
            return Ok(first);
        }
        hold_input(reservation, socket).map_err(|_| std::io::ErrorKind::OutOfMemory)?;
        if socket.input.len() > MAX_LINE_BYTES || socket.fill().await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
    }
}

/// Holds memory for an unfinished line. Its buffer may be twice as large.
fn hold_input(reservation: &mut Reservation, socket: &Socket) -> Result<(), Exhausted> {
    reservation.hold(Part::Input, 2 * socket.input.len())
}

/// Appends a message, unless it is too long, and returns whether it did.
fn write_line(lines: &mut Vec<u8>, message: &impl Serialize) -> bool {
    let start = lines.len();
    // Serializing to a vector fails only for maps with non-string keys, which no message contains.
    if serde_json::to_writer(&mut *lines, message).is_err() || lines.len() - start > MAX_SENT_BYTES
    {
        lines.truncate(start);
        return false;
    }
    lines.push(b'\n');
    true
}
