//! Commands carried out by asking an instance.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use http::Method;
use orioleroute::document::Document;
use orioleroute::operator::{Answer, Command as Question};
use orioleroute_wire::client::{Call, Pool};

use crate::command::{Command, Verb};
use crate::print;

/// The longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(15);

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
    print::diff(&old, &new);
    Ok(0)
}

async fn status(command: &Command) -> Result<u8, String> {
    loop {
        let answer = ask(command, &Question::Status).await?;
        let code = print::answer(&answer, command.json);
        if !command.watch {
            return Ok(code);
        }
        monoio::time::sleep(WATCH).await;
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
    let call = Call::new(Method::POST, "/command")
        .header("authorization", format!("Bearer {}", command.token))
        .json(question);
    let answer = Pool::new()
        .call_within(instance, call, TIMEOUT)
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
