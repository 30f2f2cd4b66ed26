//! Faults of real processes; the guarantees to callers are checked from the callers' side.

mod support;

use std::net::TcpStream;
use std::time::{Duration, Instant};

use http::StatusCode;
use nix::sys::signal::Signal;
use rstest::rstest;
use standins::process::Process;
use standins::proxy::TcpProxy;
use standins::system::{self, set_faults, wait_until};
use standins::{engine, platform, service};
use support::{
    System, book, complete, complete_within, disconnect_early, is_served_by, ran, receive, send,
    stream, stream_within,
};

/// The longest time that an immediate refusal may take.
const IMMEDIATE: Duration = Duration::from_millis(500);

#[test]
fn a_killed_node_is_replaced_and_its_streams_report_an_error() {
    let mut system = System::start(3);
    let home = system.home(0, "milk");
    let others: Vec<usize> = (0..3).filter(|index| *index != home).collect();
    let through_other = stream(system.callers(others[0]), "milk", 2_000);
    let direct = stream(system.callers(home), "milk", 2_000);

    system.nodes[home].signal(Signal::SIGKILL).expect("it runs");
    let killed = Instant::now();

    let forwarded = through_other.join().expect("it was read");
    assert!(forwarded.ends_with_error(), "{} {:?}", forwarded.text, forwarded.error);
    assert!(direct.join().expect("it was read").error.is_some());
    let addresses = [system.callers(others[0]), system.callers(others[1])];
    wait_until("a successor answers", || {
        is_served_by(complete(addresses[0], "milk", "after").as_ref(), "milk@v1")
    });
    println!("figure: {:?} from the kill to the first answer", killed.elapsed());
    wait_until("the other node answers too", || {
        is_served_by(complete(addresses[1], "milk", "after").as_ref(), "milk@v1")
    });
    system.nodes.remove(home);
    system.wait_for_members(2);
    system.assert_nothing_evicted_in_use();
}

#[test]
fn a_paused_owner_resumes_without_harm() {
    let system = System::start(3);
    let home = system.home(0, "milk");
    let other = (home + 1) % 3;
    set_faults(system.service, &service::Faults { delay_ms: 1_500, ..Default::default() });
    let address = system.callers(home);
    let booking = std::thread::spawn(move || book(address, "frozen"));
    wait_until("the booking runs", || system.runs("frozen") == 1);

    system.nodes[home].signal(Signal::SIGSTOP).expect("it runs");
    let again = book(system.callers(other), "frozen").expect("it answers");
    wait_until("the paused node is removed", || {
        system::status(&system.nodes[other]).is_some_and(|status| status.instances.len() == 2)
    });
    system.submit(other, 1, "v2");
    wait_until("the other nodes answer", || {
        is_served_by(complete(system.callers(other), "milk", "meanwhile").as_ref(), "milk@v2")
    });
    let running = stream(system.callers(other), "milk", 300);
    // Sent while the node is paused, so that it finds these requests as soon as it resumes, with the old
    // configuration still active.
    let sockets: Vec<TcpStream> = (0..8).map(|_| send(address, "milk")).collect();
    system.nodes[home].signal(Signal::SIGCONT).expect("it is stopped");

    for answer in sockets.into_iter().map(receive) {
        assert!(!answer.contains("milk@v1"), "it used the old configuration: {answer}");
    }
    assert_eq!(again.status, StatusCode::CONFLICT);
    assert_eq!(ran(&again), Some("may-have-run"));
    let first = booking.join().expect("it was asked").expect("it was answered");
    assert_eq!(first.status, StatusCode::OK);
    assert!(running.join().expect("it was read").is_complete(300));
    system.wait_for_members(3);
    wait_until("it uses the new configuration", || {
        is_served_by(complete(address, "milk", "later").as_ref(), "milk@v2")
    });
    assert_eq!(system.runs("frozen"), 1);
    system.assert_nothing_evicted_in_use();
}

#[test]
fn a_stream_resumes_after_its_connection_is_closed() {
    let engines = [system::start_engine(engine::Settings::default())];
    let proxy = TcpProxy::start(engines[0]).expect("a port is free");
    let system = System::with_engines(2, &engines, &[proxy.address]);
    let address = system.callers(system.home(0, "milk"));
    let interrupted = stream(address, "milk", 300);

    assert!(proxy.close_connections() > 0);

    let interrupted = interrupted.join().expect("it was read");
    assert!(interrupted.is_complete(300), "{} {:?}", interrupted.text, interrupted.error);
    wait_until("a new connection answers", || {
        is_served_by(complete(address, "milk", "after").as_ref(), "milk@v1")
    });
    wait_until("the engine has ended every run", || {
        let history = system.history();
        let ends = history.iter().filter(|entry| entry["event"] == "end").count();
        let begins = ["begin", "resume"];
        ends == history.iter().filter(|entry| begins.iter().any(|b| entry["event"] == *b)).count()
    });
    system.assert_nothing_evicted_in_use();
}

#[test]
fn a_long_outage_of_the_table_stops_only_calls_that_may_run_once() {
    let system = System::start(3);
    let address = system.callers(0);
    assert!(is_served_by(complete(address, "milk@v1", "before").as_ref(), "milk@v1"));
    set_faults(system.platform, &platform::Faults { table_down: true, ..Default::default() });
    let outage_start = Instant::now();
    let mut answers = 0;

    // After three lease periods, every lease that the table confirmed has expired.
    wait_until("three lease periods have passed", || {
        let answer = complete(address, "milk@v1", "meanwhile");
        assert!(is_served_by(answer.as_ref(), "milk@v1"), "{answer:?}");
        answers += 1;
        outage_start.elapsed() > Duration::from_secs(9)
    });
    let cold = complete(address, "milk@v2", "cold");
    let sent_at = Instant::now();
    let refused = book(address, "outage").expect("it answers");
    let waited = sent_at.elapsed();

    assert!(answers > 10);
    assert!(is_served_by(cold.as_ref(), "milk@v2"), "{cold:?}");
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(ran(&refused), Some("not-run"));
    assert!(refused.headers.contains_key("retry-after"));
    assert_eq!(system.runs("outage"), 0);
    assert!(waited < IMMEDIATE, "{waited:?}");
    set_faults(system.platform, &platform::Faults::default());
    wait_until("the booking runs", || {
        book(address, "outage").is_some_and(|answer| answer.status == StatusCode::OK)
    });
    assert_eq!(system.runs("outage"), 1);
}

#[test]
fn a_booking_survives_lost_replies_of_the_table() {
    let system = System::start(2);
    let address = system.callers(0);
    set_faults(
        system.platform,
        &platform::Faults { table_replies_lost: true, ..Default::default() },
    );

    let refused = book(address, "lost").expect("it answers");
    let runs = system.runs("lost");
    set_faults(system.platform, &platform::Faults::default());

    assert_eq!(ran(&refused), Some("not-run"));
    assert_eq!(runs, 0);
    wait_until("the booking runs", || {
        book(address, "lost").is_some_and(|answer| answer.status == StatusCode::OK)
    });
    let again = book(system.callers(1), "lost").expect("it answers");
    assert_eq!(again.status, StatusCode::CONFLICT);
    assert_eq!(system.runs("lost"), 1);
}

#[test]
fn a_restarted_engine_is_loaded_again() {
    let engines = [system::start_engine(engine::Settings::default())];
    let system = System::with_engines(2, &engines, &engines);
    let address = system.callers(0);
    assert!(is_served_by(complete(address, "milk", "before").as_ref(), "milk@v1"));

    set_faults(engines[0], &engine::Faults { restart: true, ..Default::default() });
    let answer = complete(address, "milk", "after");

    assert!(is_served_by(answer.as_ref(), "milk@v1"), "{answer:?}");
    assert_eq!(system.starts("after"), 1);
}

#[rstest]
#[case::again_and_again(engine::Faults { break_after: 5, ..Default::default() })]
#[case::and_cannot_resume(engine::Faults { break_after: 5, no_resume: true, ..Default::default() })]
fn an_interrupted_stream_ends_with_an_error(#[case] faults: engine::Faults) {
    let mut system = System::start(2);
    let home = system.home(0, "milk");
    for engine in &system.engines {
        set_faults(*engine, &faults);
    }

    let broken = stream(system.callers(home), "milk", 50).join().expect("it was read");

    assert!(broken.ends_with_error(), "{} {:?}", broken.text, broken.error);
    assert_eq!(broken.text.matches("w0 ").count(), 1);
    // The shutdown would wait for the request if it were still in flight.
    system.nodes[home].signal(Signal::SIGTERM).expect("it runs");
    assert!(system.nodes[home].wait(Duration::from_secs(10)).is_ok_and(|ended| ended.success()));
}

/// The last chunk marks the end of the body, but only the last event marks the end of a stream.
#[rstest]
#[case::inside_an_event(engine::Break::InsideEvent)]
#[case::after_an_event(engine::Break::AfterEvent)]
fn a_stream_that_ends_before_its_last_event_is_resumed(#[case] break_as: engine::Break) {
    let system = System::start(2);
    for engine in &system.engines {
        set_faults(*engine, &engine::Faults { break_after: 5, break_as, ..Default::default() });
    }

    let resumed = stream(system.callers(system.home(0, "milk")), "milk", 15);

    let resumed = resumed.join().expect("it was read");
    assert!(resumed.is_complete(15), "{} {:?}", resumed.text, resumed.error);
}

#[rstest]
#[case::inside_an_event(engine::Break::InsideEvent)]
#[case::after_an_event(engine::Break::AfterEvent)]
fn a_stream_that_ends_before_its_last_event_and_is_not_resumed_ends_with_an_error(
    #[case] break_as: engine::Break,
) {
    let system = System::start(2);
    let faults = engine::Faults { break_after: 5, break_as, no_resume: true, ..Default::default() };
    system.engines.iter().for_each(|engine| set_faults(*engine, &faults));

    let broken = stream(system.callers(system.home(0, "milk")), "milk", 15);

    let broken = broken.join().expect("it was read");
    assert!(broken.ends_with_error(), "{} {:?}", broken.text, broken.error);
    assert!(!broken.text.contains("{\"id\n") && !broken.text.contains("{\"iddata"));
}

/// A service sends without an end. Its caller gets an error, and callers of models are served meanwhile.
#[test]
fn a_response_of_a_service_without_an_end_is_cut() {
    let system = System::start(2);
    let address = system.callers(system.home(0, "milk"));
    assert!(is_served_by(complete(address, "milk", "before").as_ref(), "milk@v1"));
    set_faults(system.service, &service::Faults { endless: true, ..Default::default() });
    let start = Instant::now();
    let booking = std::thread::spawn(move || book(address, "endless"));
    wait_until("the booking runs", || system.runs("endless") == 1);

    let served = complete(address, "milk", "meanwhile");

    assert!(is_served_by(served.as_ref(), "milk@v1"), "{served:?}");
    let booking = booking.join().expect("it was asked").expect("it was answered");
    assert!(!booking.status.is_success(), "{}", booking.status);
    assert_eq!(ran(&booking), Some("may-have-run"));
    assert!(start.elapsed() < Duration::from_secs(5), "{:?}", start.elapsed());
}

/// The connection of a stream breaks, and the engine answers a request to resume it only after more than the 2 s
/// that one try waits. The tries that were left were not used, and the stream ended with an error.
#[rstest]
#[case::every_answer_is_late(engine::Faults {
    break_after: 5, late_resumes: u32::MAX, resume_delay_ms: 2_500, ..Default::default()
})]
#[case::the_first_has_no_answer(engine::Faults {
    break_after: 5, late_resumes: 1, resume_delay_ms: 60_000, ..Default::default()
})]
fn a_broken_stream_is_resumed_by_an_engine_that_answers_late(#[case] faults: engine::Faults) {
    let system = System::start(2);
    system.engines.iter().for_each(|engine| set_faults(*engine, &faults));

    let resumed = stream(system.callers(system.home(0, "milk")), "milk", 10);

    let resumed = resumed.join().expect("it was read");
    assert!(resumed.is_complete(10), "{} {:?}", resumed.text, resumed.error);
}

#[test]
fn a_stalled_stream_is_resumed() {
    let engines = [system::start_engine(engine::Settings::default())];
    let proxy = TcpProxy::start(engines[0]).expect("a port is free");
    let system = System::with_engines(2, &engines, &[proxy.address]);
    let stalled = stream(system.callers(system.home(0, "milk")), "milk", 300);

    proxy.drop_traffic();

    let stalled = stalled.join().expect("it was read");
    assert!(stalled.is_complete(300), "{} {:?}", stalled.text, stalled.error);
}

/// An engine is silent within a stream for longer than the 10 s after which it is asked to resume the stream, and
/// then goes on. Its connection was given up when the resumption failed, and the stream ended with an error.
#[rstest]
#[case::it_cannot_resume(engine::Faults { no_resume: true, ..Default::default() })]
#[case::it_does_not_answer(engine::Faults {
    late_resumes: u32::MAX, resume_delay_ms: 60_000, ..Default::default()
})]
fn a_stalled_stream_that_is_not_resumed_goes_on(#[case] resumption: engine::Faults) {
    // The only node forwards nothing.
    let system = System::start(1);
    let faults = engine::Faults { pause_after: 5, pause_ms: 12_500, ..resumption };
    system.engines.iter().for_each(|engine| set_faults(*engine, &faults));

    let silent = stream(system.callers(0), "milk", 10);

    let silent = silent.join().expect("it was read");
    assert!(silent.is_complete(10), "{} {:?}", silent.text, silent.error);
}

/// A stream through two nodes is silent after its deadline, and its engine resumes it 1 s after it was asked. The node
/// that forwards had the same limit of 10 s as the other one, and ended the stream before the resumption.
#[test]
fn a_stalled_stream_through_another_node_is_resumed() {
    let system = System::start(2);
    let addresses = [system.callers(0), system.callers(1)];
    for address in addresses {
        assert!(is_served_by(complete(address, "milk", "before").as_ref(), "milk@v1"));
    }
    let faults = engine::Faults {
        pause_after: 5,
        pause_ms: 60_000,
        late_resumes: u32::MAX,
        resume_delay_ms: 1_000,
        ..Default::default()
    };
    system.engines.iter().for_each(|engine| set_faults(*engine, &faults));

    // One of the nodes forwards.
    let limit = Duration::from_secs(2);
    let streams = addresses.map(|address| stream_within(address, "milk", 10, limit));

    for stalled in streams.map(|stream| stream.join().expect("it was read")) {
        assert!(stalled.is_complete(10), "{} {:?}", stalled.text, stalled.error);
    }
}

/// An engine is silent within a stream for good. The stream must not be kept open without a limit.
#[test]
fn a_stalled_stream_that_is_not_resumed_ends_after_its_deadline() {
    let system = System::start(1);
    let faults =
        engine::Faults { pause_after: 5, pause_ms: 60_000, no_resume: true, ..Default::default() };
    system.engines.iter().for_each(|engine| set_faults(*engine, &faults));
    let start = Instant::now();

    let silent = stream_within(system.callers(0), "milk", 10, Duration::from_secs(12));

    let silent = silent.join().expect("it was read");
    let lasted = start.elapsed();
    assert!(silent.ends_with_error(), "{} {:?}", silent.text, silent.error);
    assert!(lasted > Duration::from_secs(12) && lasted < Duration::from_secs(15), "{lasted:?}");
}

/// The connection of a silent stream breaks while its engine, which is slow to answer, has been asked to resume it.
/// The tries already under way must not be dropped, because too few are left.
#[test]
fn a_stalled_stream_whose_connection_breaks_while_it_is_resumed_is_complete() {
    let system = System::start(1);
    let faults = engine::Faults {
        pause_after: 5,
        pause_ms: 11_000,
        break_after: 5,
        late_resumes: u32::MAX,
        resume_delay_ms: 4_500,
        ..Default::default()
    };
    system.engines.iter().for_each(|engine| set_faults(*engine, &faults));

    let broken = stream(system.callers(0), "milk", 10);

    let broken = broken.join().expect("it was read");
    assert!(broken.is_complete(10), "{} {:?}", broken.text, broken.error);
}

/// An engine goes on with a silent stream just as it answers the request to resume it. Only one of the two may be
/// followed, else the caller gets events twice.
#[test]
fn a_stalled_stream_that_goes_on_while_it_is_resumed_has_every_event_once() {
    let system = System::start(1);
    let faults = engine::Faults {
        pause_after: 5,
        pause_ms: 12_000,
        late_resumes: u32::MAX,
        resume_delay_ms: 2_000,
        ..Default::default()
    };
    system.engines.iter().for_each(|engine| set_faults(*engine, &faults));

    let streams: Vec<_> = (0..8).map(|_| stream(system.callers(0), "milk", 20)).collect();

    for read in streams.into_iter().map(|stream| stream.join().expect("it was read")) {
        assert!(read.is_complete(20), "{} {:?}", read.text, read.error);
    }
}

/// A service is silent within a response for longer than 10 s, and then completes it within the caller's deadline. The
/// connection was given up after 10 s, and the caller of a service that may run only once got a failure.
#[rstest]
#[case::directly(1)]
#[case::through_another_node(2)]
fn a_response_that_pauses_within_its_deadline_is_delivered(#[case] nodes: usize) {
    let system = System::start(nodes);
    set_faults(system.service, &service::Faults { pause_ms: 11_500, ..Default::default() });

    // One of two nodes forwards.
    let bookings: Vec<_> = (0..nodes)
        .map(|node| system.callers(node))
        .enumerate()
        .map(|(index, address)| std::thread::spawn(move || book(address, &format!("slow-{index}"))))
        .collect();

    for (index, booking) in bookings.into_iter().enumerate() {
        let answer = booking.join().expect("it was asked").expect("it was answered");
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        assert_eq!(answer.body, "one seat");
        assert_eq!(system.runs(&format!("slow-{index}")), 1);
    }
}

#[test]
fn a_terminated_node_completes_its_streams() {
    let mut system = System::start(2);
    let leaving = system.home(0, "milk");
    let other = 1 - leaving;
    let streams: Vec<_> = [leaving, other, leaving, other]
        .map(|index| stream(system.callers(index), "milk", 300))
        .into();

    system.nodes[leaving].signal(Signal::SIGTERM).expect("it runs");
    system.add_node("node-new");

    for stream in streams {
        let stream = stream.join().expect("it was read");
        assert!(stream.is_complete(300), "{} {:?}", stream.text, stream.error);
    }
    let ended = system.nodes[leaving].wait(Duration::from_secs(10)).expect("it ends");
    assert!(ended.success());
    system.nodes.remove(leaving);
    system.wait_for_members(2);
    let address = system.callers(1);
    wait_until("the new node answers", || {
        is_served_by(complete(address, "milk", "after").as_ref(), "milk@v1")
    });
    system.assert_nothing_evicted_in_use();
}

#[test]
fn a_late_answer_reaches_no_other_caller() {
    let engines = [system::start_engine(engine::Settings::default())];
    let system = System::with_engines(2, &engines, &engines);
    let address = system.callers(system.home(0, "milk"));
    for model in ["milk@v1", "milk@v2"] {
        assert!(is_served_by(complete(address, model, "before").as_ref(), model));
    }
    set_faults(engines[0], &engine::Faults { delay_ms: 1_000, ..Default::default() });
    let late = complete_within(address, "milk@v1", Duration::from_millis(300));
    set_faults(engines[0], &engine::Faults::default());

    // These requests run while the late answer arrives.
    let answers: Vec<_> = (0..40)
        .map(|index| if index % 2 == 0 { "milk@v1" } else { "milk@v2" })
        .map(|model| (model, complete(address, model, "other")))
        .collect();

    let late = late.expect("it is answered");
    assert!(late.status.is_server_error(), "{}", late.status);
    assert_eq!(ran(&late), Some("may-have-run"));
    for (model, answer) in answers {
        assert!(is_served_by(answer.as_ref(), model), "{model}: {answer:?}");
    }
    assert_eq!(system.starts("other"), 40);
}

#[rstest]
#[case::at_its_home(true)]
#[case::through_another_node(false)]
fn a_caller_that_disconnects_cancels_its_request(#[case] at_home: bool) {
    let system = System::start(2);
    let home = system.home(0, "milk");
    let receiver = if at_home { home } else { 1 - home };

    disconnect_early(system.callers(receiver), "milk", 1_000);

    let ended = wait_until("the engine ends the request", || {
        system.history().iter().any(|entry| entry["event"] == "end")
    });
    // The whole stream would last ten seconds.
    assert!(ended < Duration::from_secs(3), "{ended:?}");
}

#[test]
fn a_node_uses_no_io_uring_and_starts_no_process() {
    let system = System::start(2);
    let address = system.callers(0);
    assert!(is_served_by(complete(address, "milk", "one").as_ref(), "milk@v1"));
    assert_eq!(book(address, "seat").map(|answer| answer.status), Some(StatusCode::OK));

    for node in &system.nodes {
        assert_eq!(links(node).iter().find(|link| link.contains("io_uring")), None);
        assert!(links(node).iter().any(|link| link.contains("eventpoll")));
        assert_eq!(children(node), "");
    }
}

/// Returns the link targets of the open file descriptors of a process.
fn links(process: &Process) -> Vec<String> {
    let folder = std::fs::read_dir(format!("/proc/{}/fd", process.id())).expect("it runs");
    let links = folder.flatten().filter_map(|entry| std::fs::read_link(entry.path()).ok());
    links.map(|link| link.display().to_string()).collect()
}

/// Returns the ids of the child processes that the threads of a process started.
fn children(process: &Process) -> String {
    let threads = std::fs::read_dir(format!("/proc/{}/task", process.id())).expect("it runs");
    let lists = threads.flatten().map(|thread| thread.path().join("children"));
    lists.map(|list| std::fs::read_to_string(list).expect("the kernel lists children")).collect()
}
