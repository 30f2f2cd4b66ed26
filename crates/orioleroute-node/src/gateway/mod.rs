//! The instance on a platform that keeps the configuration: requests by host and path, upstreams
//! from a list, model engines under one scheduler for each availability zone.
//!
//! `docs/PLATFORM.md` describes the parts. Decisions are the core's, in `orioleroute::ingress` and
//! `orioleroute::scheduler`; names of the platform's interfaces are known to the crate
//! `orioleroute-platform` only.

mod directory;
mod election;
mod exchange;
mod forward;
mod front;
mod heartbeat;
mod leadership;
mod link;
mod placing;
mod settings;
mod state;
mod stream;
mod sync;

use std::process::ExitCode;
use std::rc::Rc;

use monoio::net::TcpListener;
use monoio::net::udp::UdpSocket;
use slog::info;

pub use settings::Settings;
use state::{Gateway, Signals};

use crate::meter;

/// Runs an instance until it has been told to stop and has answered its requests.
pub fn main() -> ExitCode {
    let settings = match Settings::from_environment() {
        settings::Outcome::Run(settings) => *settings,
        settings::Outcome::Print(text) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        settings::Outcome::Fail(message) => {
            eprintln!("{message}");
            return ExitCode::from(2);
        }
    };
    match orioleroute_wire::runtime::block_on(run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("orioleroute-node: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(settings: Settings) -> std::io::Result<()> {
    let signals = Signals::install()?;
    let metrics = meter::install();
    let callers = TcpListener::bind(settings.caller_address)?;
    let peers = TcpListener::bind(settings.peer_address)?;
    let heartbeats = UdpSocket::bind(settings.peer_address)?;
    let ready = TcpListener::bind(settings.ready_address)?;
    let directory = TcpListener::bind(settings.directory_address)?;
    let exposition = TcpListener::bind(settings.metrics_address)?;
    let gateway = Rc::new(Gateway::new(settings));
    info!(gateway.log, "started"; "incarnation" => gateway.incarnation(),
        "callers" => gateway.settings().caller_address.to_string());
    monoio::spawn(front::serve(gateway.clone(), callers));
    monoio::spawn(link::serve(gateway.clone(), peers));
    monoio::spawn(heartbeat::run(gateway.clone(), heartbeats));
    monoio::spawn(directory::serve_ready(gateway.clone(), ready));
    monoio::spawn(directory::serve_resolutions(gateway.clone(), directory));
    monoio::spawn(directory::serve_metrics(gateway.clone(), exposition, metrics));
    monoio::spawn(sync::watch_operator(gateway.clone()));
    monoio::spawn(sync::watch_upstreams(gateway.clone()));
    monoio::spawn(sync::watch_members(gateway.clone()));
    monoio::spawn(leadership::run(gateway.clone()));
    state::run_until_stopped(gateway, signals).await
}
