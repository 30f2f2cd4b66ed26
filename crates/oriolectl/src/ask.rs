//! Commands carried out by asking an instance.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use http::Method;
use orioleroute::document::{Delta, Document};
use orioleroute::operator::{Answer, Command as Question, Status};
use orioleroute_wire::client::{Call, Pool};

use crate::command::{Command, Verb};
use crate::{print, trace};

/// The longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(15);

/// The longest wait for the status of an instance other than the asked one.
const OTHERS_TIMEOUT: Duration = Duration::from_secs(2);

/// Clears a terminal and goes to its top.
const CLEAR: &str = "\x1b[2J\x1b[H";

/// Between two showings of a watched status.
const WATCH: Duration = Duration::from_secs(1);

/// Runs a command and returns the exit code.
pub async fn run(command: Command) -> ExitCode {
    match carry_out(&command).await {
        Ok(code) => ExitCode::from(code),
        Err(message) => {
            eprintln!("oriolectl: {message}");
            ExitCode::from(print::FAILED)
        }
    }
}

async fn carry_out(command: &Command) -> Result<u8, String> {
    match &command.verb {
        Verb::Check(file) => {
            let answer = match Document::from_json(&read(file)?) {
                Ok(_) => Answer::Accepted { version: 0 },
                Err(faults) => Answer::Invalid { faults },
            };
            Ok(print::check(&answer, command.json))
        }
        Verb::Trace { request, files } => Ok(trace::run(request, files, command.json)),
        Verb::Schema => {
            println!("{:#}", Document::schema());
            Ok(0)
        }
        Verb::Submit(file) => submit(command, &read(file)?).await,
        Verb::Diff(file) => diff(command, &read(file)?).await,
        Verb::Status => status(command).await,
        Verb::Explain(name) => {
            let question = Question::Explain { model: name.as_str().into() };
            Ok(print::answer(&ask(command, &question).await?, command.json))
        }
        Verb::Drain => Ok(print::answer(&ask(command, &Question::Drain).await?, command.json)),
    }
}

async fn submit(command: &Command, text: &str) -> Result<u8, String> {
    let base = match command.base {
        Some(base) => base,
        None => in_force(command).await?.0,
    };
    let question = Question::Submit { base, document: text.into() };
    Ok(print::answer(&ask(command, &question).await?, command.json))
}

async fn diff(command: &Command, text: &str) -> Result<u8, String> {
    let new = match Document::from_json(text) {
        Ok(document) => document,
        Err(faults) => return Ok(print::answer(&Answer::Invalid { faults }, command.json)),
    };
    let (_, old) = in_force(command).await?;
    let old = Document::from_json(&old).unwrap_or_default();
    match command.json {
        true => print::json(&Delta::between(&old, &new)),
        false => print::diff(&old, &new),
    }
    Ok(0)
}

async fn status(command: &Command) -> Result<u8, String> {
    loop {
        let answer = whole_status(command).await?;
        if command.watch && !command.json {
            print!("{CLEAR}");
        }
        let code = print::answer(&answer, command.json);
        if !command.watch {
            return Ok(code);
        }
        monoio::time::sleep(WATCH).await;
    }
}

/// Asks an instance and then all others that it names, since each knows its own upstreams best.
async fn whole_status(command: &Command) -> Result<Answer, String> {
    let mut whole = match ask(command, &Question::Status).await? {
        Answer::Status(status) => status,
        other => return Err(format!("unexpected answer: {other:?}")),
    };
    let asked: Vec<_> = whole
        .instances
        .iter()
        .filter(|instance| Some(instance.operator_address) != command.instance)
        .map(|instance| monoio::spawn(status_of(instance.operator_address, command.token.clone())))
        .collect();
    for task in asked {
        let (address, status) = task.await;
        merge(&mut whole, address, status);
    }
    whole
        .upstreams
        .sort_by(|one, other| (&one.region, &one.name).cmp(&(&other.region, &other.name)));
    Ok(Answer::Status(whole))
}

async fn status_of(address: SocketAddr, token: String) -> (SocketAddr, Option<Status>) {
    let answer = ask_at(address, &token, &Question::Status, OTHERS_TIMEOUT).await;
    match answer {
        Ok(Answer::Status(status)) => (address, Some(status)),
        _ => (address, None),
    }
}

/// Adds what another instance said; one that said nothing stays unknown.
fn merge(whole: &mut Status, address: SocketAddr, status: Option<Status>) {
    let version = status.as_ref().map(|status| status.version);
    let mut instances = whole.instances.iter_mut();
    if let Some(instance) = instances.find(|instance| instance.operator_address == address) {
        instance.version = version;
    }
    for upstream in status.into_iter().flat_map(|status| status.upstreams) {
        let mut known = whole.upstreams.iter();
        if !known.any(|it| (&it.region, &it.name) == (&upstream.region, &upstream.name)) {
            whole.upstreams.push(upstream);
        }
    }
}

async fn in_force(command: &Command) -> Result<(u64, String), String> {
    match ask(command, &Question::Document).await? {
        Answer::Document { version, document } => Ok((version, document.to_string())),
        other => Err(format!("unexpected answer: {other:?}")),
    }
}

async fn ask(command: &Command, question: &Question) -> Result<Answer, String> {
    let instance: SocketAddr =
        command.instance.ok_or("name an instance with --instance or ORIOLEROUTE_INSTANCE")?;
    ask_at(instance, &command.token, question, TIMEOUT).await
}

async fn ask_at(
    instance: SocketAddr,
    token: &str,
    question: &Question,
    limit: Duration,
) -> Result<Answer, String> {
    let call = Call::new(Method::POST, "/command")
        .header("authorization", format!("Bearer {token}"))
        .json(question);
    let answer =
        Pool::new().call_within(instance, call, limit).await.map_err(|error| error.to_string())?;
    if !answer.status.is_success() {
        let body = String::from_utf8_lossy(&answer.body);
        return Err(format!("{instance} answered {}: {body}", answer.status));
    }
    answer.json(instance).map_err(|error| error.to_string())
}

fn read(file: &str) -> Result<String, String> {
    std::fs::read_to_string(file).map_err(|error| format!("{file}: {error}"))
}
