//! Heartbeats between instances, sent as UDP datagrams.

use std::net::SocketAddr;
use std::rc::Rc;

use monoio::net::udp::UdpSocket;
use orioleroute::ingress::Reach;
use orioleroute::ingress::roster::{HEARTBEAT_INTERVAL, Heartbeat};
use slog::debug;

use super::state::Gateway;
use crate::traffic;

/// The largest heartbeat datagram, in bytes.
const MAX_HEARTBEAT_BYTES: usize = 1_400;

/// The number of heartbeats to all instances from one that stops. One may be lost, and each tells of the stop.
const STOP_ROUNDS: u32 = 3;

/// Sends and receives heartbeats, forever.
pub async fn run(gateway: Rc<Gateway>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    monoio::spawn(send(gateway.clone(), socket.clone()));
    loop {
        let (received, buffer) = socket.recv_from(vec![0_u8; MAX_HEARTBEAT_BYTES]).await;
        let Ok((length, peer)) = received else { continue };
        match serde_json::from_slice::<Heartbeat>(&buffer[..length]) {
            Ok(heartbeat) => gateway.roster().record_heartbeat(&heartbeat, gateway.now()),
            Err(error) => {
                debug!(gateway.log, "malformed heartbeat"; "peer" => peer.to_string(),
                    "error" => error.to_string());
            }
        }
    }
}

async fn send(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut round = 0_u32;
    loop {
        round = round.wrapping_add(1);
        let loads = gateway.leadership.loads(gateway.now());
        gateway.roster().record_loads(&loads, gateway.now());
        let heartbeat = gateway.roster().heartbeat(loads, gateway.now());
        let bytes = serde_json::to_vec(&heartbeat).unwrap_or_default();
        for (address, reach) in due_addresses(&gateway, round) {
            traffic::count_bytes("heartbeat", reach, bytes.len());
            // A failed send is treated like a lost datagram: the next heartbeat follows.
            let _ = socket.send_to(bytes.clone(), address).await;
        }
        monoio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Returns the addresses of the peers that get a heartbeat in this round, and how far they are. Instances of other regions get
/// them only from the readers of this region, which stand for it, from schedulers, and at first from one that stops, which is
/// neither any more.
fn due_addresses(gateway: &Gateway, round: u32) -> Vec<(SocketAddr, Reach)> {
    let stands_for_region =
        gateway.feed.is_reader() || !gateway.leadership.scheduled_zones().is_empty();
    // The load of a zone whose scheduler has just begun is needed at once.
    let has_begun =
        gateway.now().since(gateway.leadership.scheduling_since()) < HEARTBEAT_INTERVAL * 2;
    let has_stopped =
        gateway.stopping_for().is_some_and(|it| it < HEARTBEAT_INTERVAL * STOP_ROUNDS);
    let roster = gateway.roster();
    let due_peers = roster.peers().filter(|peer| {
        let is_due =
            has_begun || has_stopped || round.is_multiple_of(roster.heartbeat_stride(peer));
        is_due && (stands_for_region || has_stopped || peer.region == roster.own().region)
    });
    due_peers.map(|peer| (peer.peer_address, traffic::reach(gateway, &peer.zone))).collect()
}
