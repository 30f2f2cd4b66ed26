//! The command line.

use std::net::SocketAddr;

use getopts::Options;

/// What to do.
pub enum Verb {
    /// Checks a document without an instance.
    Check(String),
    /// Prints the schema of the document.
    Schema,
    /// Submits a document.
    Submit(String),
    /// Shows what holds where.
    Status,
    /// Shows what a document would change.
    Diff(String),
    /// Shows why an adapter is where it is.
    Explain(String),
    /// Lets an instance leave.
    Drain,
    /// Tells the story of a request from the logs of instances.
    Trace {
        /// The request's id.
        request: String,
        /// Where the logs are.
        files: Vec<String>,
    },
}

/// A whole command.
pub struct Command {
    /// What to do.
    pub verb: Verb,
    /// The instance to ask.
    pub instance: Option<SocketAddr>,
    /// The operator's token.
    pub token: String,
    /// The version that a submission replaces; the one in force if not given.
    pub base: Option<u64>,
    /// Whether to show the status again and again.
    pub watch: bool,
    /// Whether to print JSON.
    pub json: bool,
}

/// Why no command is run.
pub enum Stop {
    /// A text was asked for.
    Help(String),
    /// The command line is wrong.
    Usage(String),
}

const BRIEF: &str = "Usage: oriolectl [options] COMMAND

Commands:
    check FILE      check a document, without an instance
    schema          print the schema of the document, without an instance
    submit FILE     submit a document and wait until it is accepted
    diff FILE       show what a document would change
    status          show what holds where
    explain NAME    show why an adapter is where it is
    drain           let the asked instance leave
    trace ID FILE...
                    tell the story of a request from the logs of instances;
                    - is standard input

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 the document has faults,
4 another document was accepted first, 5 pending.

--instance and --token can be given as ORIOLEROUTE_INSTANCE and
ORIOLEROUTE_OPERATOR_TOKEN.";

/// Reads the command line.
pub fn parse(arguments: impl Iterator<Item = String>) -> Result<Command, Stop> {
    let mut options = Options::new();
    options.optopt("i", "instance", "operator address of an instance", "IP:PORT");
    options.optopt("t", "token", "operator token", "TEXT");
    options.optopt("b", "base", "version that the submission replaces", "VERSION");
    options.optflag("w", "watch", "show the status again and again");
    options.optflag("j", "json", "print JSON");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    let matches = options.parse(arguments).map_err(|error| Stop::Usage(error.to_string()))?;
    if matches.opt_present("help") {
        return Err(Stop::Help(options.usage(BRIEF)));
    }
    if matches.opt_present("version") {
        return Err(Stop::Help(format!("oriolectl {}", env!("CARGO_PKG_VERSION"))));
    }
    let verb = verb(&matches.free)?;
    let instance = matches
        .opt_str("instance")
        .or_else(|| std::env::var("ORIOLEROUTE_INSTANCE").ok())
        .map(|text| text.parse().map_err(|_| Stop::Usage(format!("--instance is {text:?}"))))
        .transpose()?;
    let token = matches
        .opt_str("token")
        .or_else(|| std::env::var("ORIOLEROUTE_OPERATOR_TOKEN").ok())
        .unwrap_or_default();
    let base = matches
        .opt_str("base")
        .map(|text| text.parse().map_err(|_| Stop::Usage(format!("--base is {text:?}"))))
        .transpose()?;
    Ok(Command {
        verb,
        instance,
        token,
        base,
        watch: matches.opt_present("watch"),
        json: matches.opt_present("json"),
    })
}

fn verb(words: &[String]) -> Result<Verb, Stop> {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words[..] {
        ["check", file] => Ok(Verb::Check(file.to_owned())),
        ["schema"] => Ok(Verb::Schema),
        ["submit", file] => Ok(Verb::Submit(file.to_owned())),
        ["diff", file] => Ok(Verb::Diff(file.to_owned())),
        ["status"] => Ok(Verb::Status),
        ["explain", name] => Ok(Verb::Explain(name.to_owned())),
        ["drain"] => Ok(Verb::Drain),
        ["trace", request, _, ..] => {
            let files = words[2..].iter().map(|file| (*file).to_owned()).collect();
            Ok(Verb::Trace { request: request.to_owned(), files })
        }
        [] => Err(Stop::Usage("a command is missing; --help lists them".into())),
        _ => Err(Stop::Usage(format!("no such command: {}; --help lists them", words.join(" ")))),
    }
}
