//! Settings of an instance with the platform backend: flags, variables and the file are checked at the
//! start and at each reload.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rstest::rstest;
use serde_json::Value;

const PROGRAM: &str = env!("CARGO_BIN_EXE_orioleroute-node");

/// A settings file that is removed when dropped.
struct SettingsFile(PathBuf);

impl SettingsFile {
    fn write(text: &str) -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("orioleroute-{}-{number}.conf", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).unwrap();
        Self(path)
    }
}

impl Drop for SettingsFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn settings(more: &str) -> String {
    let address = "127.0.0.1:0";
    format!(
        "# comment\nname = n1\nregion = r\nzone = a\nzones = a=r,b=r\n\
         caller-address = {address}\nready-address = {address}\ndirectory-address = {address}\n\
         peer-address = {address}\nmetrics-address = {address}\nstore-address = 127.0.0.1:1\n{more}"
    )
}

fn run(file: &SettingsFile, arguments: &[&str]) -> Output {
    Command::new(PROGRAM)
        .args(["--backend", "platform", "--print-settings", "--config"])
        .arg(&file.0)
        .args(arguments)
        .output()
        .expect("the program starts")
}

#[test]
fn a_flag_overrides_the_file() {
    let file = SettingsFile::write(&settings("connections = 7\n"));

    let from_file = run(&file, &[]);
    let from_flag = run(&file, &["--connections", "9"]);

    assert!(from_file.status.success());
    assert!(String::from_utf8_lossy(&from_file.stdout).contains("connections = 7"));
    assert!(String::from_utf8_lossy(&from_flag.stdout).contains("connections = 9"));
}

#[rstest]
#[case::unknown("conections = 7\n", "line 12")]
#[case::no_value("connections\n", "line 12")]
#[case::wrong_type("grace-ms = soon\n", "--grace-ms")]
#[case::wrong_zones("zones = a\n", "--zones")]
fn errors_in_the_file_name_their_location(#[case] more: &str, #[case] location: &str) {
    let file = SettingsFile::write(&settings(more));

    let output = run(&file, &[]);

    let message = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{message}");
    assert!(message.contains(location), "{message}");
}

/// The limits of the machine come from a template, which leaves a value empty if it is not stated.
#[rstest]
#[case::empty("memory-mb =\ndescriptors = \n")]
#[case::not_stated("memory-mb = 0\ndescriptors = 0\n")]
#[case::decimals("memory-mb = 160.5\ndescriptors = 3075.0\n")]
fn limits_of_the_machine_are_taken_as_they_are_stated(#[case] more: &str) {
    let file = SettingsFile::write(&settings(more));

    let output = run(&file, &[]);

    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
}

/// Guards against a process that does not start because the deployment states a figure with a fraction, 0, or none.
#[rstest]
#[case::decimals("retry-allowance = 58.5\n", "retry-allowance = 58.5")]
#[case::none_allowed("retry-allowance = 0\n", "retry-allowance = 0")]
#[case::large("retry-allowance = 9007199254740992\n", "retry-allowance = 9007199254740992")]
#[case::no_allowance_stated("retry-allowance =\n", "retry-allowance = ")]
#[case::no_fencing_stated("engines-check-fencing =\n", "engines-check-fencing = ")]
fn figures_of_the_deployment_are_taken_as_they_are_stated(#[case] more: &str, #[case] shown: &str) {
    let file = SettingsFile::write(&settings(more));

    let output = run(&file, &[]);

    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert!(String::from_utf8_lossy(&output.stdout).contains(shown));
}

#[rstest]
#[case::allowance("retry-allowance = some\n", "--retry-allowance")]
#[case::negative_allowance("retry-allowance = -1\n", "--retry-allowance")]
#[case::fencing("engines-check-fencing = maybe\n", "--engines-check-fencing")]
#[case::text("memory-mb = much\n", "--memory-mb")]
#[case::negative("descriptors = -1\n", "--descriptors")]
#[case::unending("memory-mb = inf\n", "--memory-mb")]
fn limits_of_the_machine_that_are_no_numbers_are_errors(#[case] more: &str, #[case] name: &str) {
    let file = SettingsFile::write(&settings(more));

    let output = run(&file, &[]);

    let message = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{message}");
    assert!(message.contains(name), "{message}");
}

#[test]
fn all_missing_settings_are_named_at_once() {
    let file = SettingsFile::write("name = n1\n");

    let output = run(&file, &[]);

    let message = String::from_utf8_lossy(&output.stderr);
    for flag in ["--region", "--zones", "--store-address"] {
        assert!(message.contains(flag), "{message}");
    }
}

#[test]
fn an_invalid_reload_keeps_the_previous_settings_and_is_logged() {
    let file = SettingsFile::write(&settings(""));
    let mut child = start(&file);
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    read_until_logged(&mut lines, "started");

    std::fs::write(&file.0, settings("grace-ms = soon\n")).unwrap();
    let pid = Pid::from_raw(child.id() as i32);
    kill(pid, Signal::SIGHUP).unwrap();
    let rejected = read_until_logged(&mut lines, "settings rejected, keeping the previous ones");
    std::fs::write(&file.0, settings("grace-ms = 9000\n")).unwrap();
    kill(pid, Signal::SIGHUP).unwrap();
    read_until_logged(&mut lines, "settings reloaded");

    assert!(rejected["error"].as_str().unwrap().contains("--grace-ms"));
    child.kill().unwrap();
    child.wait().unwrap();
}

#[test]
fn a_stalled_log_reader_does_not_block_the_shutdown() {
    let file = SettingsFile::write(&settings("log-level = debug\n"));
    let mut child = start(&file);
    // Nothing reads the pipe; the process still has to end in time.
    std::thread::sleep(Duration::from_millis(500));

    kill(Pid::from_raw(child.id() as i32), Signal::SIGTERM).unwrap();

    let start = Instant::now();
    while child.try_wait().unwrap().is_none() {
        assert!(start.elapsed() < Duration::from_secs(12), "the process does not end");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn start(file: &SettingsFile) -> Child {
    Command::new(PROGRAM)
        .args(["--backend", "platform", "--config"])
        .arg(&file.0)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program starts")
}

fn read_until_logged(
    lines: &mut impl Iterator<Item = std::io::Result<String>>,
    text: &str,
) -> Value {
    let mut values =
        lines.map_while(Result::ok).filter_map(|line| serde_json::from_str(&line).ok());
    values
        .find(|value: &Value| value["msg"] == text)
        .unwrap_or_else(|| panic!("{text:?} is not logged"))
}
