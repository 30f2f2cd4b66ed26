//! The operator's command line of orioleroute.
//!
//! It asks one instance, or reads log files, and never writes to the platform's table itself. `docs/OPERATIONS.md`
//! shows it at work.

mod ask;
mod command;
mod print;
mod trace;

use std::process::ExitCode;

fn main() -> ExitCode {
    let command = match command::parse(std::env::args().skip(1)) {
        Ok(command) => command,
        Err(command::Stop::Help(text)) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(command::Stop::Usage(message)) => {
            eprintln!("oriolectl: {message}");
            return ExitCode::from(print::USAGE);
        }
    };
    orioleroute_wire::runtime::block_on(ask::run(command))
}
