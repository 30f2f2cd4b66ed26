//! The instance on a platform that stores the configuration: it routes requests by host and path,
//! reads the upstreams from a table, and runs one scheduler of model engines per availability zone.
//!
//! `docs/PLATFORM.md` describes the parts. This module holds the sockets, timers and tasks; the
//! decisions are made in `orioleroute::ingress` and `orioleroute::scheduler`, and only the crate
//! `orioleroute-platform` contains the names of the platform's interfaces.

mod builds;
mod copies;
mod election;
mod ending;
mod endpoints;
mod exchange;
mod feed;
mod forward;
mod heartbeat;
mod leadership;
mod limits;
mod link;
mod orders;
mod origins;
mod pauses;
mod permit;
mod placement;
pub mod quarantine;
mod relaying;
mod reporting;
mod response;
mod server;
mod settings;
mod startup;
mod state;
mod sync;
mod takeover;
mod tries;
mod turned_away;
mod unscheduled;

use std::process::ExitCode;
use std::rc::Rc;

use monoio::net::TcpListener;
use monoio::net::udp::UdpSocket;
use orioleroute::ingress::feed::Table;
use slog::info;
use strum::IntoEnumIterator;

pub use exchange::Target;
pub use leadership::lending_token;
pub use link::{SchedulerHandle, scheduler_of, send_to_instance};
pub use settings::Settings;
pub use state::Gateway;
use state::Signals;

use crate::{log, meter, refusals};

/// Runs an instance until a termination signal arrives and its work for clients and for other instances is
/// done, or the grace period ends.
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
    let metrics_listener = TcpListener::bind(settings.metrics_address)?;
    let (log, _flush) = log::to_stdout(&settings);
    let gateway = Rc::new(Gateway::new(settings, log));
    info!(gateway.log, "started"; "incarnation" => gateway.incarnation(),
        "callers" => gateway.settings().caller_address.to_string());
    monoio::spawn(server::serve(gateway.clone(), callers));
    monoio::spawn(link::serve(gateway.clone(), peers));
    monoio::spawn(heartbeat::run(gateway.clone(), heartbeats));
    monoio::spawn(endpoints::serve_ready(gateway.clone(), ready));
    monoio::spawn(endpoints::serve_resolutions(gateway.clone(), directory));
    monoio::spawn(meter::maintain(metrics.clone()));
    monoio::spawn(endpoints::serve_metrics(gateway.clone(), metrics_listener, metrics));
    monoio::spawn(feed::run(gateway.clone()));
    monoio::spawn(sync::register_after_read(gateway.clone()));
    for table in Table::iter() {
        monoio::spawn(sync::watch(gateway.clone(), table));
    }
    monoio::spawn(leadership::run(gateway.clone()));
    monoio::spawn(copies::run(gateway.clone()));
    monoio::spawn(refusals::run(gateway.clone()));
    state::run_until_stopped(gateway, signals).await
}
