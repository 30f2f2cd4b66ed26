//! Heartbeats between instances, as datagrams.

use std::net::SocketAddr;
use std::rc::Rc;

use monoio::net::udp::UdpSocket;
use orioleroute::ingress::roster::{HEARTBEAT_INTERVAL, Heartbeat};
use slog::debug;

use super::state::Gateway;

/// The longest heartbeat, in bytes.
const MAX_HEARTBEAT: usize = 512;

/// Sends and receives heartbeats, forever.
pub async fn run(gateway: Rc<Gateway>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    monoio::spawn(send(gateway.clone(), socket.clone()));
    loop {
        let (received, buffer) = socket.recv_from(vec![0_u8; MAX_HEARTBEAT]).await;
        let Ok((length, peer)) = received else { continue };
        match serde_json::from_slice::<Heartbeat>(&buffer[..length]) {
            Ok(heartbeat) => gateway.roster().hear(&heartbeat, gateway.now()),
            Err(error) => {
                debug!(gateway.log, "datagram unreadable"; "peer" => peer.to_string(),
                    "error" => error.to_string());
            }
        }
    }
}

async fn send(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut round = 0_u32;
    loop {
        round = round.wrapping_add(1);
        let heartbeat = gateway.roster().heartbeat();
        let bytes = serde_json::to_vec(&heartbeat).unwrap_or_default();
        for address in due(&gateway, round) {
            // A datagram that cannot be sent is like one that is lost: the next one follows.
            let _ = socket.send_to(bytes.clone(), address).await;
        }
        monoio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Returns where heartbeats go in this round.
fn due(gateway: &Gateway, round: u32) -> Vec<SocketAddr> {
    let roster = gateway.roster();
    let due = roster.peers().filter(|peer| round.is_multiple_of(roster.intervals(peer)));
    due.map(|peer| peer.peer_address).collect()
}
