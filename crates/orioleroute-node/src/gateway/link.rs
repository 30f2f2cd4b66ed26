//! Connections between instances and the schedulers of availability zones: one JSON-RPC
//! notification a line, in both directions.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::BytesMut;
use local_sync::mpsc;
use monoio::net::TcpListener;
use orioleroute::prelude::*;
use orioleroute::scheduler::Client;
use orioleroute::scheduler::message::{ToInstance, ToScheduler};
use orioleroute_wire::http1::socket::Socket;
use serde::Serialize;
use serde::de::DeserializeOwned;
use slog::{debug, info, warn};

use super::leadership;
use super::state::Gateway;

/// The longest wait for a connection to a scheduler; a round trip between regions takes 24 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The longest wait for the other end to take a message.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The longest line, in bytes.
const MAX_LINE: usize = 64 << 10;

/// How long a scheduler that could not be reached is not tried again.
const RETRY: Duration = Duration::from_millis(300);

/// How long a scheduler that did not answer in time is left alone, so that only few requests wait for
/// one that is cut off.
const SUSPICION: Duration = Duration::from_millis(400);

/// The outgoing and incoming connections of one instance.
#[derive(Default)]
pub struct Links {
    outgoing: RefCell<Map<SocketAddr, Rc<Link>>>,
    failed: RefCell<Map<SocketAddr, Instant>>,
    incoming: RefCell<Map<Client, mpsc::unbounded::Tx<ToInstance>>>,
    local: Answers,
    next_client: Cell<u64>,
    next_ticket: Cell<u64>,
}

/// The requests whose scheduler has not answered yet.
#[derive(Default)]
struct Answers(RefCell<Map<u64, mpsc::unbounded::Tx<ToInstance>>>);

/// A connection to a scheduler at another instance.
pub struct Link {
    queue: mpsc::unbounded::Tx<ToScheduler>,
    answers: Answers,
    /// When the scheduler last failed to answer in time.
    suspected: Cell<Option<Instant>>,
}

/// The way to a scheduler.
#[derive(Clone)]
pub enum Route {
    /// It runs here.
    Local,
    /// It runs at another instance.
    Remote(Rc<Link>),
}

impl Links {
    /// Returns a number for a request.
    pub fn next_ticket(&self) -> u64 {
        let ticket = self.next_ticket.get() + 1;
        self.next_ticket.set(ticket);
        ticket
    }
}

impl Answers {
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
        };
        if let Some(sender) = self.0.borrow().get(&ticket) {
            // The request may have been given up meanwhile, which its own message tells.
            let _ = sender.send(message);
        }
        if is_final {
            self.forget(ticket);
        }
    }

    fn forget(&self, ticket: u64) {
        self.0.borrow_mut().remove(&ticket);
    }
}

impl Route {
    /// Returns the way to the scheduler at `address`, or `None` if it could not be reached lately.
    pub fn to(gateway: &Rc<Gateway>, address: SocketAddr) -> Option<Self> {
        if address == gateway.settings().peer_address {
            return Some(Self::Local);
        }
        let links = &gateway.links;
        if let Some(link) = links.outgoing.borrow().get(&address) {
            let suspected = link.suspected.get();
            let is_suspect = suspected.is_some_and(|since| gateway.now().since(since) < SUSPICION);
            return (!is_suspect).then(|| Self::Remote(link.clone()));
        }
        let failed = links.failed.borrow().get(&address).copied();
        if failed.is_some_and(|failed| gateway.now().since(failed) < RETRY) {
            return None;
        }
        let (queue, messages) = mpsc::unbounded::channel();
        let link = Rc::new(Link { queue, answers: Answers::default(), suspected: Cell::new(None) });
        links.outgoing.borrow_mut().insert(address, link.clone());
        monoio::spawn(run_outgoing(gateway.clone(), address, link.clone(), messages));
        Some(Self::Remote(link))
    }

    /// Sends a message.
    pub fn send(&self, gateway: &Rc<Gateway>, message: ToScheduler) {
        match self {
            Self::Local => leadership::receive(gateway, leadership::LOCAL, message),
            // A link whose task has ended has told all requests that wait.
            Self::Remote(link) => drop(link.queue.send(message)),
        }
    }

    /// Forgets a request of which nothing more is expected.
    pub fn forget(&self, gateway: &Rc<Gateway>, ticket: u64) {
        match self {
            Self::Local => gateway.links.local.forget(ticket),
            Self::Remote(link) => link.answers.forget(ticket),
        }
    }

    /// Takes note that the scheduler did not answer in time: it is left alone for a while.
    pub fn suspect(&self, gateway: &Rc<Gateway>) {
        if let Self::Remote(link) = self {
            link.suspected.set(Some(gateway.now()));
        }
    }

    /// Returns what will hold the answer to a request for a place; it fails if the link does.
    pub fn expect(&self, gateway: &Rc<Gateway>, ticket: u64) -> mpsc::unbounded::Rx<ToInstance> {
        match self {
            Self::Local => gateway.links.local.expect(ticket),
            Self::Remote(link) => link.answers.expect(ticket),
        }
    }
}

/// Tells an instance what its scheduler decided.
pub fn tell(gateway: &Rc<Gateway>, client: Client, message: ToInstance) {
    if client == leadership::LOCAL {
        return gateway.links.local.deliver(message);
    }
    if let Some(queue) = gateway.links.incoming.borrow().get(&client) {
        // A connection whose task has ended is told of by that task.
        let _ = queue.send(message);
    }
}

/// Takes connections of other instances, forever.
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!(gateway.log, "no peer accepted"; "error" => error.to_string());
                monoio::time::sleep(RETRY).await;
                continue;
            }
        };
        let Ok(socket) = Socket::accepted(stream) else { continue };
        monoio::spawn(run_incoming(gateway.clone(), socket, peer));
    }
}

async fn run_incoming(gateway: Rc<Gateway>, socket: Socket, peer: SocketAddr) {
    let client = Client(gateway.links.next_client.get() + 1);
    gateway.links.next_client.set(client.0);
    let (queue, messages) = mpsc::unbounded::channel();
    gateway.links.incoming.borrow_mut().insert(client, queue);
    let receive = |message| leadership::receive(&gateway, client, message);
    let end = exchange(socket, messages, receive).await;
    debug!(gateway.log, "instance disconnected"; "peer" => peer.to_string(), "error" => end);
    gateway.links.incoming.borrow_mut().remove(&client);
    leadership::disconnected(&gateway, client);
}

async fn run_outgoing(
    gateway: Rc<Gateway>,
    address: SocketAddr,
    link: Rc<Link>,
    messages: mpsc::unbounded::Rx<ToScheduler>,
) {
    let end = match Socket::connect(address, CONNECT_TIMEOUT).await {
        Ok(socket) => {
            info!(gateway.log, "scheduler connected"; "peer" => address.to_string());
            exchange(socket, messages, |message| link.answers.deliver(message)).await
        }
        Err(error) => error.to_string(),
    };
    warn!(gateway.log, "scheduler lost"; "peer" => address.to_string(), "error" => end);
    gateway.links.outgoing.borrow_mut().remove(&address);
    gateway.links.failed.borrow_mut().insert(address, gateway.now());
    // Dropping the senders tells every request that waits.
    link.answers.0.borrow_mut().clear();
}

/// Sends and receives messages until the connection ends, and returns why it did.
async fn exchange<S: Serialize, R: DeserializeOwned>(
    mut socket: Socket,
    mut messages: mpsc::unbounded::Rx<S>,
    mut receive: impl FnMut(R),
) -> String {
    loop {
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
            write_line(&mut lines, &message);
            while let Ok(message) = messages.try_recv() {
                write_line(&mut lines, &message);
            }
            match monoio::time::timeout(WRITE_TIMEOUT, socket.write(&lines)).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => return error.to_string(),
                Err(_) => return "the peer does not read".into(),
            }
        }
        while let Some(line) = take_line(&mut socket.input) {
            match serde_json::from_slice(&line) {
                Ok(message) => receive(message),
                Err(error) => return error.to_string(),
            }
        }
        if socket.input.len() > MAX_LINE {
            return "line too long".into();
        }
    }
}

fn write_line(lines: &mut Vec<u8>, message: &impl Serialize) {
    // Writing to a vector fails only for maps whose keys are no texts, which no message has.
    if serde_json::to_writer(&mut *lines, message).is_ok() {
        lines.push(b'\n');
    }
}

fn take_line(input: &mut BytesMut) -> Option<BytesMut> {
    let end = input.iter().position(|byte| *byte == b'\n')?;
    let mut line = input.split_to(end + 1);
    line.truncate(end);
    Some(line)
}
