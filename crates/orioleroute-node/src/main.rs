//! The orioleroute daemon: one instance between callers and upstreams.
//!
//! `docs/OPERATIONS.md` describes how to run it, and `--help` lists its settings. The core in the crate
//! `orioleroute` makes the decisions; this program provides its sockets, timers and log.

mod callers;
mod detour;
mod engines;
mod events;
mod follower;
mod gateway;
mod line;
mod log;
mod meter;
mod operators;
mod peers;
mod platform;
mod quota;
mod refusals;
mod relay;
mod room;
mod settings;
mod shell;
mod signals;
mod traffic;
mod work;

use std::process::ExitCode;
use std::rc::Rc;

use settings::{Outcome, Settings};
use shell::Shell;

fn main() -> ExitCode {
    if settings::is_on_platform() {
        return gateway::main();
    }
    let settings = match Settings::from_environment() {
        Outcome::Run(settings) => *settings,
        Outcome::Print(text) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        Outcome::Fail(message) => {
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

/// Runs the instance until it has left the membership and every request has had its final response.
async fn run(settings: Settings) -> std::io::Result<()> {
    let metrics = meter::install();
    let callers = callers::bind(&settings)?;
    let peers = peers::bind(&settings)?;
    let operators = operators::bind(&settings)?;
    let (log, _flush) = log::to_stderr(&settings);
    let shell = Rc::new(Shell::new(
        settings,
        log,
        callers.local_addr()?,
        peers.local_addr()?,
        operators.local_addr()?,
    ));
    shell.announce();
    monoio::spawn(callers::run(shell.clone(), callers));
    monoio::spawn(peers::run(shell.clone(), peers));
    monoio::spawn(meter::maintain(metrics.clone()));
    monoio::spawn(operators::run(shell.clone(), operators, metrics));
    monoio::spawn(platform::poll_instance_list(shell.clone()));
    monoio::spawn(signals::watch(shell.clone())?);
    shell.tick_until_done().await;
    Ok(())
}
