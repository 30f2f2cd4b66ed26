//! Runs the commands, most of them by a request to an instance.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use http::Method;
use orioleroute::document::{Delta, Document};
use orioleroute::operator::{Answer, Command as OperatorCommand, Status};
use orioleroute_wire::client::{Call, Pool};

use crate::command::{Command, Subcommand};
use crate::{print, trace};

/// The longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

/// The longest wait for the status of any instance other than the one given by `--instance`.
const OTHER_STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// Clears the terminal and moves the cursor to its top left corner.
const CLEAR_SCREEN: &str = "\x1b[2J\x1b[H";

/// The time between two refreshes of a watched status.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a command and returns the exit code.
pub async fn run(command: Command) -> ExitCode {
    match execute(&command).await {
        Ok(code) => ExitCode::from(code),
        Err(message) => {
            eprintln!("oriolectl: {message}");
            ExitCode::from(print::FAILED)
        }
    }
}

async fn execute(command: &Command) -> Result<u8, String> {
    match &command.subcommand {
        Subcommand::Check(file) => {
            let answer = match Document::from_json(&read(file)?) {
                Ok(_) => Answer::Accepted { version: 0 },
                Err(faults) => Answer::Invalid { faults },
            };
            Ok(print::check(&answer, command.json))
        }
        Subcommand::Trace { request, files } => Ok(trace::run(request, files, command.json)),
        Subcommand::Schema => {
            println!("{:#}", Document::schema());
            Ok(0)
        }
        Subcommand::Submit(file) => submit(command, &read(file)?).await,
        Subcommand::Diff(file) => diff(command, &read(file)?).await,
        Subcommand::Status => status(command).await,
        Subcommand::Explain(name) => {
            let operator_command = OperatorCommand::Explain { model: name.as_str().into() };
            Ok(print::answer(&send(command, &operator_command).await?, command.json))
        }
        Subcommand::Drain => {
            Ok(print::answer(&send(command, &OperatorCommand::Drain).await?, command.json))
        }
    }
}

async fn submit(command: &Command, text: &str) -> Result<u8, String> {
    let base = match command.base {
        Some(base) => base,
        None => active_document(command).await?.0,
    };
    let operator_command = OperatorCommand::Submit { base, document: text.into() };
    Ok(print::answer(&send(command, &operator_command).await?, command.json))
}

async fn diff(command: &Command, text: &str) -> Result<u8, String> {
    let new = match Document::from_json(text) {
        Ok(document) => document,
        Err(faults) => return Ok(print::answer(&Answer::Invalid { faults }, command.json)),
    };
    let (_, old) = active_document(command).await?;
    let old = Document::from_json(&old).unwrap_or_default();
    match command.json {
        true => print::json(&Delta::between(&old, &new)),
        false => print::diff(&old, &new),
    }
    Ok(0)
}

async fn status(command: &Command) -> Result<u8, String> {
    loop {
        let answer = merged_status(command).await?;
        if command.watch && !command.json {
            print!("{CLEAR_SCREEN}");
        }
        let code = print::answer(&answer, command.json);
        if !command.watch {
            return Ok(code);
        }
        monoio::time::sleep(WATCH_INTERVAL).await;
    }
}

/// Requests the status of an instance and of all others that it lists, since each has the most current
/// state of its own upstreams.
async fn merged_status(command: &Command) -> Result<Answer, String> {
    let mut merged = match send(command, &OperatorCommand::Status).await? {
        Answer::Status(status) => status,
        other => return Err(format!("unexpected answer: {other:?}")),
    };
    let tasks: Vec<_> = merged
        .instances
        .iter()
        .filter(|instance| Some(instance.operator_address) != command.instance)
        .map(|instance| monoio::spawn(status_of(instance.operator_address, command.token.clone())))
        .collect();
    for task in tasks {
        let (address, status) = task.await;
        merge(&mut merged, address, status);
    }
    merged
        .upstreams
        .sort_by(|one, other| (&one.region, &one.name).cmp(&(&other.region, &other.name)));
    Ok(Answer::Status(merged))
}

async fn status_of(address: SocketAddr, token: String) -> (SocketAddr, Option<Status>) {
    let answer = send_to(address, &token, &OperatorCommand::Status, OTHER_STATUS_TIMEOUT).await;
    match answer {
        Ok(Answer::Status(status)) => (address, Some(status)),
        _ => (address, None),
    }
}

/// Merges the status of another instance; if it did not answer, its version is set to unknown.
fn merge(merged: &mut Status, address: SocketAddr, status: Option<Status>) {
    let version = status.as_ref().map(|status| status.version);
    let mut instances = merged.instances.iter_mut();
    if let Some(instance) = instances.find(|instance| instance.operator_address == address) {
        instance.version = version;
    }
    for upstream in status.into_iter().flat_map(|status| status.upstreams) {
        let mut known = merged.upstreams.iter();
        if !known.any(|it| (&it.region, &it.name) == (&upstream.region, &upstream.name)) {
            merged.upstreams.push(upstream);
        }
    }
}

async fn active_document(command: &Command) -> Result<(u64, String), String> {
    match send(command, &OperatorCommand::Document).await? {
        Answer::Document { version, document } => Ok((version, document.to_string())),
        other => Err(format!("unexpected answer: {other:?}")),
    }
}

async fn send(command: &Command, operator_command: &OperatorCommand) -> Result<Answer, String> {
    let instance: SocketAddr =
        command.instance.ok_or("no instance given; use --instance or ORIOLEROUTE_INSTANCE")?;
    send_to(instance, &command.token, operator_command, ANSWER_TIMEOUT).await
}

async fn send_to(
    instance: SocketAddr,
    token: &str,
    operator_command: &OperatorCommand,
    timeout: Duration,
) -> Result<Answer, String> {
    let call = Call::new(Method::POST, "/command")
        .header("authorization", format!("Bearer {token}"))
        .json(operator_command);
    let answer = Pool::new()
        .call_within(instance, call, timeout)
        .await
        .map_err(|error| error.to_string())?;
    if !answer.status.is_success() {
        let body = String::from_utf8_lossy(&answer.body);
        return Err(format!("{instance} answered {}: {body}", answer.status));
    }
    answer.json(instance).map_err(|error| error.to_string())
}

fn read(file: &str) -> Result<String, String> {
    std::fs::read_to_string(file).map_err(|error| format!("{file}: {error}"))
}
