//! The command line tool for operators of orioleroute.
//!
//! It sends commands to instances or reads files, and never writes to the platform's table itself.
//! `docs/OPERATIONS.md` shows examples.

mod ask;
mod command;
mod print;
mod trace;

use std::process::ExitCode;

fn main() -> ExitCode {
    let command = match command::parse(std::env::args().skip(1)) {
        Ok(command) => command,
        Err(command::EarlyExit::Print(text)) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(command::EarlyExit::Usage(message)) => {
            eprintln!("oriolectl: {message}");
            return ExitCode::from(print::USAGE);
        }
    };
    orioleroute_wire::runtime::block_on(ask::run(command))
}
