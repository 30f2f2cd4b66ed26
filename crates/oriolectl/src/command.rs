//! Parses the command line.

use std::net::SocketAddr;

use getopts::Options;

/// The command to run, with its arguments.
pub enum Subcommand {
    /// Checks a document without an instance.
    Check(String),
    /// Prints the schema of the document.
    Schema,
    /// Submits a document.
    Submit(String),
    /// Shows the instances, and the upstreams with the revisions loaded on them.
    Status,
    /// Shows what a document would change.
    Diff(String),
    /// Shows where an adapter is placed and why.
    Explain(String),
    /// Lets an instance leave the membership.
    Drain,
    /// Shows the log lines of a request and those that may explain its outcome.
    Trace {
        /// The request's id.
        request: String,
        /// The log files of the instances; `-` is standard input.
        files: Vec<String>,
    },
}

/// A parsed command line.
pub struct Command {
    /// The command to run.
    pub subcommand: Subcommand,
    /// The operator address of the instance to send the command to.
    pub instance: Option<SocketAddr>,
    /// The operator's token.
    pub token: String,
    /// The version that a submission replaces; the active one if not given.
    pub base: Option<u64>,
    /// Whether to refresh the status until the process is ended.
    pub watch: bool,
    /// Whether to print JSON.
    pub json: bool,
}

/// Why no command is run.
pub enum EarlyExit {
    /// The help or the version was asked for.
    Print(String),
    /// The command line is invalid.
    Usage(String),
}

const BRIEF: &str = "Usage: oriolectl [options] COMMAND

Commands:
    check FILE      check a document, without an instance
    schema          print the schema of the document, without an instance
    submit FILE     submit a document and wait until it is accepted
    diff FILE       show what a document would change
    status          show the instances, the upstreams and what is loaded
    explain NAME    show where an adapter is placed and why
    drain           let the instance leave
    trace ID FILE...
                    show the lines of a request and related ones from the
                    logs of instances; - is standard input

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 the document has faults,
4 another document was accepted first, 5 pending.

--instance and --token can be given as ORIOLEROUTE_INSTANCE and
ORIOLEROUTE_OPERATOR_TOKEN.";

/// Parses the command line.
///
/// # Errors
///
/// Fails with the text to print if the command line is invalid or asks for the help or the version.
pub fn parse(arguments: impl Iterator<Item = String>) -> Result<Command, EarlyExit> {
    let mut options = Options::new();
    options.optopt("i", "instance", "operator address of an instance", "IP:PORT");
    options.optopt("t", "token", "operator token", "TEXT");
    options.optopt("b", "base", "version that the submission replaces", "VERSION");
    options.optflag("w", "watch", "refresh the status every second");
    options.optflag("j", "json", "print JSON");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    let matches = options.parse(arguments).map_err(|error| EarlyExit::Usage(error.to_string()))?;
    if matches.opt_present("help") {
        return Err(EarlyExit::Print(options.usage(BRIEF)));
    }
    if matches.opt_present("version") {
        return Err(EarlyExit::Print(format!("oriolectl {}", env!("CARGO_PKG_VERSION"))));
    }
    let subcommand = subcommand(&matches.free)?;
    let instance = matches
        .opt_str("instance")
        .or_else(|| std::env::var("ORIOLEROUTE_INSTANCE").ok())
        .map(|text| {
            text.parse()
                .map_err(|_| EarlyExit::Usage(format!("--instance is {text:?}, expected IP:PORT")))
        })
        .transpose()?;
    let token = matches
        .opt_str("token")
        .or_else(|| std::env::var("ORIOLEROUTE_OPERATOR_TOKEN").ok())
        .unwrap_or_default();
    let base = matches
        .opt_str("base")
        .map(|text| {
            text.parse().map_err(|_| {
                EarlyExit::Usage(format!("--base is {text:?}, expected a version number"))
            })
        })
        .transpose()?;
    Ok(Command {
        subcommand,
        instance,
        token,
        base,
        watch: matches.opt_present("watch"),
        json: matches.opt_present("json"),
    })
}

fn subcommand(words: &[String]) -> Result<Subcommand, EarlyExit> {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words[..] {
        ["check", file] => Ok(Subcommand::Check(file.to_owned())),
        ["schema"] => Ok(Subcommand::Schema),
        ["submit", file] => Ok(Subcommand::Submit(file.to_owned())),
        ["diff", file] => Ok(Subcommand::Diff(file.to_owned())),
        ["status"] => Ok(Subcommand::Status),
        ["explain", name] => Ok(Subcommand::Explain(name.to_owned())),
        ["drain"] => Ok(Subcommand::Drain),
        ["trace", request, _, ..] => {
            let files = words[2..].iter().map(|file| (*file).to_owned()).collect();
            Ok(Subcommand::Trace { request: request.to_owned(), files })
        }
        [] => Err(EarlyExit::Usage("no command given; --help lists the commands".into())),
        _ => Err(EarlyExit::Usage(format!(
            "unknown command or wrong arguments: {}; --help lists the commands",
            words.join(" ")
        ))),
    }
}
