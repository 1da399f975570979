//! Guards against lost signals: a SIGTERM that does not stop the mixer, or a SIGHUP that does not reload its
//! configuration. Signals used to be passed on as four-byte records through a socket pair. The handler
//! dropped a record whose write failed, a short write shifted all later records, and invalid signal numbers
//! were ignored silently. In 5 of 12 runs with one socket write in five short or interrupted, SIGTERM had no
//! effect and nothing was logged; without such faults it took effect in all runs.

use fernglade_standins::child::{
    free_address, mixer_config, start_with_syscall_faults, temp_file, MixerProcess, SyscallFault,
};
use fernglade_standins::client::{send, HEALTH_REQUEST};
use fernglade_standins::discovery::{agent_with_list, searcher_list};
use fernglade_standins::searcher::{answer_parts, start_searcher};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// The time limit for a signal to take effect.
const EFFECT_LIMIT: Duration = Duration::from_millis(200);
const RELOAD_LINE: &str = "configuration reloaded";
const STOP_LINE: &str = "stopping on signal";

/// One run of a mixer: the injected fault, the number of configuration reloads, and the signal that ends the
/// run.
struct Run {
    fault: SyscallFault,
    reloads: usize,
    end_signal: &'static str,
}

/// Which invocations of a system call fail: all from the eighth on, when the mixer is ready, or one in two,
/// three or five.
const FROM_EIGHTH_CALL: &str = "8+1";
const ONE_IN: [&str; 3] = ["4+2", "4+3", "4+5"];

fn runs() -> Vec<Run> {
    let mut faults = Vec::new();
    // The mixer is woken through sockets, whose calls may fail with any of these errors. Other calls may only
    // be interrupted.
    for (call, errors) in [
        ("sendto", &["EINTR", "EAGAIN", "ENOBUFS"][..]),
        ("recvfrom", &["EINTR", "EAGAIN", "ENOBUFS"][..]),
        ("write", &["EINTR"][..]),
        ("read", &["EINTR"][..]),
    ] {
        for error in errors {
            // The other calls include file reads and log writes, which the standard library repeats while
            // they are interrupted: if every call were, the mixer would hang in its own logging forever.
            let wakes_mixer = matches!(call, "sendto" | "recvfrom");
            let patterns = ONE_IN.iter().copied().chain(wakes_mixer.then_some(FROM_EIGHTH_CALL));
            faults.extend(patterns.map(|when| SyscallFault { call, error, when }));
        }
    }
    let runs = faults.iter().copied().cycle().take(50).enumerate();
    let end_signal = |number: usize| ["-TERM", "-INT"][number / 2 % 2];
    runs.map(|(number, fault)| Run { fault, reloads: number % 12, end_signal: end_signal(number) }).collect()
}

fn read_log(mixer: &MixerProcess) -> String {
    std::fs::read_to_string(&mixer.files[1]).expect("its log")
}

/// Whether the log contains these words this many times before the time limit.
fn logs_in_time(mixer: &MixerProcess, words: &str, times: usize) -> bool {
    let started = Instant::now();
    loop {
        if read_log(mixer).matches(words).count() >= times {
            return true;
        }
        if started.elapsed() > EFFECT_LIMIT {
            return false;
        }
        thread::sleep(Duration::from_millis(5));
    }
}

/// Performs a run, and returns the signals that took no effect in time.
fn perform(number: usize, run: &Run) -> Vec<String> {
    let (address, _received) = start_searcher(answer_parts);
    let (listen_address, known) = (free_address(), searcher_list(&[address]));
    let config = mixer_config(&listen_address.to_string(), agent_with_list(known.clone()), &known);
    let program = Path::new(env!("CARGO_BIN_EXE_fernglade-mixer"));
    let config_file = temp_file(&format!("signals-{number}.json"), &config);
    let mixer = start_with_syscall_faults(program, config_file, listen_address, &[run.fault]);
    // Some more reads and writes, so that the faults have begun.
    let mut clients: Vec<_> = (0..8).map(|_| mixer.connect()).collect();
    clients.iter_mut().for_each(|client| send(client, HEALTH_REQUEST));
    let mut without_effect = Vec::new();
    for reload in 1..=run.reloads {
        thread::sleep(Duration::from_millis(50));
        mixer.signal("-HUP");
        if !logs_in_time(&mixer, RELOAD_LINE, reload) {
            without_effect.push(format!("SIGHUP {reload}"));
            break;
        }
    }
    mixer.signal(run.end_signal);
    if !logs_in_time(&mixer, STOP_LINE, 1) {
        without_effect.push(run.end_signal.into());
    }
    without_effect
}

#[test]
fn signals_take_effect_despite_failing_system_calls() {
    let runs: Vec<Run> = runs();
    let mut failures = Vec::new();
    for (number, run) in runs.iter().enumerate() {
        let without_effect = perform(number, run);
        if !without_effect.is_empty() {
            let SyscallFault { call, error, when } = run.fault;
            failures.push(format!("run {number}, {call} {error} {when}: {}", without_effect.join(", ")));
        }
    }
    assert!(failures.is_empty(), "{} of {} runs: {failures:#?}", failures.len(), runs.len());
}
