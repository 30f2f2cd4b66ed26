//! Connections to upstreams by way of another instance, for as long as this one has lost its own path to them.
//!
//! Only the bytes of the connection pass the other instance. What is sent to whom, how often and under whose permit is decided
//! where the client is connected, as without a detour. The other instance connects directly, so that there is one hop at
//! most. `docs/design/detours.md` weighs the ways.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use orioleroute::ingress::path::{FromSibling, ToSibling};
use orioleroute::prelude::*;
use orioleroute::scheduler::Reply;
use orioleroute_wire::connect::Options;
use orioleroute_wire::frames;
use orioleroute_wire::http1::observer::Observer;
use orioleroute_wire::http1::socket::Socket;
use orioleroute_wire::lines::Lines;
use slog::{info, warn};

use crate::gateway::{Gateway, Target, quarantine};
use crate::line::Line;
use crate::work::Work;

/// The longest wait for a connection. A round trip between regions takes 24 ms; a lost packet costs
/// another second, and trying another upstream is faster than that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// How long an upstream may acknowledge nothing before a connection to it is closed. A sound one may be silent for two
/// seconds.
const ACK_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The longest wait for the reply of another instance, which connects meanwhile.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);

/// The number of other instances that are asked for one connection.
const MAX_SIBLINGS: usize = 4;

/// The longest reply, in bytes.
const MAX_REPLY_BYTES: usize = 1 << 10;

/// How many bytes of a peer wait for the other one before no more are read.
const MAX_WAITING_BYTES: usize = 64 << 10;

/// How long a connection on which nothing was asked yet has to be idle before a stopping instance closes it. Whoever has opened
/// it is about to send a request, a round trip between regions later at most.
const UNUSED_TIMEOUT: Duration = Duration::from_millis(250);

/// The way that a connection takes to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Way {
    /// This instance has connected to it.
    Direct,
    /// The instance of this name has connected to it.
    Detour(Arc<str>),
}

impl Way {
    /// Returns the name of the other instance by way of which the connection goes, if it does.
    pub fn sibling(&self) -> Option<&Arc<str>> {
        match self {
            Self::Direct => None,
            Self::Detour(sibling) => Some(sibling),
        }
    }
}

/// Connects to an upstream, by way of another instance if this one has lost its path.
///
/// # Errors
///
/// Fails if the upstream cannot be reached. Nothing has been sent then.
pub async fn connect(gateway: &Rc<Gateway>, target: &Target) -> Result<(Socket, Way), String> {
    let is_doubted = || gateway.path(&target.service).is_doubted();
    if !is_doubted() {
        match connect_directly(gateway, target).await {
            Ok(socket) => return Ok((socket, Way::Direct)),
            Err(error) if !is_doubted() => return Err(error),
            Err(_) => {}
        }
    }
    match connect_by_sibling(gateway, target).await {
        Ok((socket, sibling)) => Ok((socket, Way::Detour(sibling))),
        // If no other instance helps, the upstreams may have been down rather than the path.
        Err(error) => match connect_directly(gateway, target).await {
            Ok(socket) => Ok((socket, Way::Direct)),
            Err(_) => Err(error),
        },
    }
}

/// Records whether an upstream has answered on a new connection. That somebody accepts one shows nothing.
pub fn observe(gateway: &Gateway, target: &Target, way: &Way, is_answered: bool) {
    match (way, is_answered) {
        (Way::Direct, true) => {
            if gateway.path(&target.service).record_reached() {
                info!(gateway.log, "path to upstreams regained"; "service" => &*target.service,
                    "upstream" => &*target.id);
                set_cut_off(gateway);
            }
        }
        (Way::Direct, false) => record_unreachable(gateway, target),
        (Way::Detour(sibling), true) => {
            if gateway.path(&target.service).record_detour(&target.id, gateway.now()) {
                warn!(gateway.log, "path to upstreams lost"; "service" => &*target.service,
                    "upstream" => &*target.id, "sibling" => &**sibling);
                set_cut_off(gateway);
            }
        }
        (Way::Detour(sibling), false) => {
            gateway.path(&target.service).record_fruitless(sibling, gateway.now());
        }
    }
}

/// Returns whether a new request to an upstream of a service may go on an open connection that takes this way. A detour is
/// used only for as long as the path is in doubt, and the other instance neither stops nor loses its own path.
pub fn is_usable(gateway: &Gateway, service: &Arc<str>, way: &Way) -> bool {
    match way {
        Way::Direct => true,
        Way::Detour(sibling) => {
            gateway.path(service).is_doubted() && gateway.roster().is_detour(sibling, gateway.now())
        }
    }
}

/// Looks again whether paths are lost, from time to time. Requests do not show it: they take the detour, and clients are sent
/// elsewhere.
pub fn probe_if_due(gateway: &Rc<Gateway>) {
    for service in gateway.take_due_probes() {
        let detoured = gateway.path(&service).last_detoured(gateway.now());
        let target = {
            let registry = gateway.registry();
            let of_service = || registry.iter().filter(|it| it.service == service);
            let number = gateway.now().as_micros() as usize % of_service().count().max(1);
            let detoured = detoured.and_then(|upstream| registry.get(&upstream));
            detoured.or_else(|| of_service().nth(number)).map(Target::from)
        };
        if let Some(target) = target {
            monoio::spawn(probe(gateway.clone(), target));
        }
    }
}

/// Looks whether an upstream can be reached whose report this instance has not got.
pub fn probe_unreported(gateway: &Rc<Gateway>, upstream: &str) {
    let target = gateway.registry().get(upstream).map(Target::from);
    let Some(target) = target else { return };
    if gateway.path(&target.service).take_early_probe(gateway.now()) {
        monoio::spawn(probe(gateway.clone(), target));
    }
}

/// Asks an upstream who it is, and by way of another instance if the path is doubted. If only that is answered, both ways are
/// tried once more, which tells a lost path from an upstream that is just back.
async fn probe(gateway: Rc<Gateway>, target: Target) {
    for _ in 0..2 {
        let reply = quarantine::ask_identity(&gateway, &target).await;
        let is_reached = is_answered(&reply);
        observe(&gateway, &target, &Way::Direct, is_reached);
        let (is_doubted, is_lost) = {
            let path = gateway.path(&target.service);
            (path.is_doubted(), path.is_lost())
        };
        if is_lost {
            // Services may have been added or removed since.
            set_cut_off(&gateway);
        }
        if is_reached || is_lost || !is_doubted {
            return;
        }
        let Ok((socket, sibling)) = connect_by_sibling(&gateway, &target).await else { return };
        let reply = quarantine::ask_identity_over(&gateway, socket, &target).await;
        observe(&gateway, &target, &Way::Detour(sibling), is_answered(&reply));
        if !is_answered(&reply) || gateway.path(&target.service).is_lost() {
            return;
        }
    }
}

fn is_answered(reply: &Reply) -> bool {
    matches!(reply, Reply::Answered(_) | Reply::Misdirected)
}

/// Records that an upstream could not be connected to.
pub fn record_unreachable(gateway: &Gateway, target: &Target) {
    let is_doubted = {
        let registry = gateway.registry();
        let is_listed = |id: &str| registry.get(id).is_some();
        let listed = registry.iter().filter(|it| it.service == target.service).count();
        let mut path = gateway.path(&target.service);
        path.record_unreachable(&target.id, is_listed, listed, gateway.now())
    };
    if is_doubted {
        gateway.connections.clear(&target.service);
        warn!(gateway.log, "path to upstreams doubted"; "service" => &*target.service,
            "upstream" => &*target.id);
    }
}

async fn connect_directly(gateway: &Gateway, target: &Target) -> Result<Socket, String> {
    let options = Options { ack_timeout: ACK_TIMEOUT, ..Options::default() };
    let connected = Socket::connect_with(target.address, CONNECT_TIMEOUT, options).await;
    connected.map_err(|error| {
        record_unreachable(gateway, target);
        error.to_string()
    })
}

/// Returns the names and addresses of other instances to ask for a connection. Those that were of no use lately come last:
/// most of a zone may have lost the same path.
fn siblings(gateway: &Gateway, service: &Arc<str>) -> Vec<(Arc<str>, SocketAddr)> {
    let now = gateway.now();
    let roster = gateway.roster();
    let path = gateway.path(service);
    let mut detours = roster.detours(now);
    detours.sort_by_key(|it| path.is_fruitless(&it.name, now));
    detours.into_iter().take(MAX_SIBLINGS).map(|it| (it.name.clone(), it.peer_address)).collect()
}

/// Connects to an upstream by way of another instance, whose name is returned as well.
async fn connect_by_sibling(
    gateway: &Gateway,
    target: &Target,
) -> Result<(Socket, Arc<str>), String> {
    let siblings = siblings(gateway, &target.service);
    let mut error = "no other instance reaches it".to_owned();
    for (name, address) in siblings {
        let opened = monoio::time::timeout(REPLY_TIMEOUT, open(address, &target.id)).await;
        let (outcome, opened) = match opened {
            Ok(Ok((FromSibling::Opened, socket))) => ("opened", Some(socket)),
            Ok(Ok((FromSibling::Unreachable, _))) => ("unreachable", None),
            Ok(Ok((FromSibling::Unlisted, _))) => ("unlisted", None),
            Ok(Ok((FromSibling::CutOff, _))) => ("cut_off", None),
            Ok(Err(_)) | Err(_) => ("sibling_lost", None),
        };
        metrics::counter!("orioleroute_detours_total", "outcome" => outcome).increment(1);
        if let Some(socket) = opened {
            return Ok((socket, name));
        }
        error = format!("{outcome} at {name}");
        match outcome {
            "unreachable" => break,
            "cut_off" | "sibling_lost" => {
                gateway.path(&target.service).record_fruitless(&name, gateway.now());
            }
            _ => {}
        }
    }
    Err(error)
}

/// Tells the other instances in the next heartbeat whether this one is cut off.
fn set_cut_off(gateway: &Gateway) {
    let is_cut_off = gateway.is_cut_off();
    gateway.roster().set_cut_off(is_cut_off);
    metrics::gauge!("orioleroute_path_lost").set(f64::from(u8::from(is_cut_off)));
}

/// Asks another instance for a connection to an upstream.
async fn open(sibling: SocketAddr, upstream: &Arc<str>) -> std::io::Result<(FromSibling, Socket)> {
    let options = Options { ack_timeout: ACK_TIMEOUT, ..Options::default() };
    let mut socket = Socket::connect_with(sibling, CONNECT_TIMEOUT, options).await?;
    let line = Line::of(&ToSibling::Open(upstream.clone())).text(false);
    socket.write(line.as_bytes()).await?;
    let mut lines = Lines::new(MAX_REPLY_BYTES);
    loop {
        let line = lines.take(&mut socket.input).map_err(std::io::Error::other)?;
        if let Some(line) = line {
            socket.expect_frames();
            return Ok((serde_json::from_slice(&line)?, socket));
        }
        if socket.fill().await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
    }
}

/// Connects another instance to an upstream, and passes bytes on until either of the two connections ends.
pub async fn serve(
    gateway: Rc<Gateway>,
    mut sibling: Socket,
    peer: SocketAddr,
    upstream: Arc<str>,
) {
    // Counted before it is opened, so that the process does not end in between.
    let _guard = gateway.in_flight.begin(Work::Detour);
    let target = gateway.registry().get(&upstream).map(Target::from);
    let connected = match target {
        // It might end before the response does.
        _ if gateway.is_stopping() => Err(FromSibling::CutOff),
        // It would go by way of another instance itself: a connection that is accepted may be reset at once.
        Some(target) if gateway.path(&target.service).is_doubted() => Err(FromSibling::CutOff),
        Some(target) => {
            let connected = connect_directly(&gateway, &target).await;
            connected.map_err(|_| match gateway.path(&target.service).is_doubted() {
                true => FromSibling::CutOff,
                false => FromSibling::Unreachable,
            })
        }
        None => Err(FromSibling::Unlisted),
    };
    let reply = connected.as_ref().map_or_else(|error| *error, |_| FromSibling::Opened);
    let line = Line::of(&reply).text(false);
    // The instance that asked sees the end of the connection in any case.
    if sibling.write(line.as_bytes()).await.is_ok()
        && let Ok(socket) = connected
    {
        let since = gateway.now();
        let served = metrics::gauge!("orioleroute_detours_served");
        served.increment(1.0);
        let passed = pass_on(&gateway, sibling, socket).await;
        served.decrement(1.0);
        info!(gateway.log, "detour ended"; "upstream" => &*upstream, "peer" => peer.to_string(),
            "error" => passed.err().map(|error| error.to_string()),
            "ms" => gateway.now().since(since).as_millis() as u64);
    }
}

/// Passes bytes on in both directions, those of the upstream in frames. Returns once the upstream's have ended and are
/// written, or an error if either connection is lost or the other instance closes its own. Returns as well once no response is
/// due while this instance stops: instances of an older release would go on using the connection.
async fn pass_on(
    gateway: &Gateway,
    mut sibling: Socket,
    mut upstream: Socket,
) -> std::io::Result<()> {
    let (mut to_sibling, mut to_upstream) = (Bytes::new(), Bytes::new());
    let mut observer = Observer::default();
    let (mut has_ended, mut is_unused) = (false, false);
    loop {
        if to_upstream.is_empty() {
            to_upstream = sibling.input.split().freeze();
            observer.observe_request(&to_upstream);
        }
        if to_sibling.is_empty() && (has_ended || !upstream.input.is_empty()) {
            let received = upstream.input.split();
            observer.observe_response(&received);
            let mut framed = Vec::with_capacity(received.len() + 8);
            frames::encode(&received, &mut framed);
            if has_ended {
                frames::encode_end(&mut framed);
                sibling.write(&framed).await?;
                return sibling.shutdown().await;
            }
            to_sibling = framed.into();
        }
        let is_idle = observer.is_idle() && to_sibling.is_empty() && to_upstream.is_empty();
        if is_idle && gateway.is_stopping() && (observer.has_answered() || is_unused) {
            return sibling.shutdown().await;
        }
        let may_read_sibling = sibling.input.len() < MAX_WAITING_BYTES || !to_sibling.is_empty();
        let may_read_upstream = upstream.input.len() < MAX_WAITING_BYTES || !to_upstream.is_empty();
        monoio::select! {
            read = sibling.write_or_fill(&mut to_sibling), if may_read_sibling => {
                if read? == Some(0) {
                    return Err(std::io::ErrorKind::UnexpectedEof.into());
                }
            }
            read = upstream.write_or_fill(&mut to_upstream), if may_read_upstream && !has_ended => {
                has_ended = read? == Some(0);
            }
            () = monoio::time::sleep(UNUSED_TIMEOUT), if is_idle => is_unused = true,
        }
    }
}
