//! What happens: a signal to the mixer now and then has no effect: a stop is never begun, a configuration never read.
//! Why: each signal was handed on as a record of four bytes through a pair of sockets; the handler dropped a record whose
//! write failed, a short one shifted all later records, and numbers that no signal has were passed over without a word.
//! What showed it: of 12 lives with one socket write in five short or interrupted, SIGTERM had no effect in 5, and no
//! line in the log told why; without such faults it had in all.

use fernglade_standins::child::{
    free_address, mixer_config, start_with_syscall_faults, temp_file, MixerProcess, SyscallFault,
};
use fernglade_standins::client::{send, HEALTH_REQUEST};
use fernglade_standins::discovery::{agent_with_list, searcher_list};
use fernglade_standins::searcher::{answer_parts, start_searcher};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// A signal takes effect within this.
const PROMPTLY: Duration = Duration::from_millis(200);
const READ_AGAIN: &str = "orders read again";
const STOPS: &str = "told to stop";

/// One life of a mixer: the fault, how many configurations come, and the signal that ends it.
struct Life {
    fault: SyscallFault,
    configurations: usize,
    end: &'static str,
}

/// Which uses of a call fail: each from the eighth on (the mixer is ready by then), or each of so many.
const FROM_THE_EIGHTH: &str = "8+1";
const ONE_IN: [&str; 3] = ["4+2", "4+3", "4+5"];

fn lives() -> Vec<Life> {
    let mut faults = Vec::new();
    // What wakes the mixer goes over sockets, where all calls may fail; other calls may be interrupted.
    for (call, errors) in [
        ("sendto", &["EINTR", "EAGAIN", "ENOBUFS"][..]),
        ("recvfrom", &["EINTR", "EAGAIN", "ENOBUFS"][..]),
        ("write", &["EINTR"][..]),
        ("read", &["EINTR"][..]),
    ] {
        for error in errors {
            // Reads of files and writes of the log are among the other calls, and the standard library repeats an
            // interrupted one until it is not: where each is, the program stands at its own log for good.
            let wakes = matches!(call, "sendto" | "recvfrom");
            let whens = ONE_IN.iter().copied().chain(wakes.then_some(FROM_THE_EIGHTH));
            faults.extend(whens.map(|when| SyscallFault { call, error, when }));
        }
    }
    let lives = faults.iter().copied().cycle().take(50).enumerate();
    let end = |number: usize| ["-TERM", "-INT"][number / 2 % 2];
    lives.map(|(number, fault)| Life { fault, configurations: number % 12, end: end(number) }).collect()
}

fn log_of(mixer: &MixerProcess) -> String {
    std::fs::read_to_string(&mixer.files[1]).expect("its log")
}

/// Whether so many lines with these words stand in the log in time.
fn told(mixer: &MixerProcess, words: &str, times: usize) -> bool {
    let began = Instant::now();
    loop {
        if log_of(mixer).matches(words).count() >= times {
            return true;
        }
        if began.elapsed() > PROMPTLY {
            return false;
        }
        thread::sleep(Duration::from_millis(5));
    }
}

/// What of this life's signals had no effect in time.
fn live(number: usize, life: &Life) -> Vec<String> {
    let (address, _told) = start_searcher(answer_parts);
    let (at, known) = (free_address(), searcher_list(&[address]));
    let text = mixer_config(&at.to_string(), agent_with_list(known.clone()), &known);
    let program = Path::new(env!("CARGO_BIN_EXE_fernglade-mixer"));
    let orders = temp_file(&format!("signals-{number}.json"), &text);
    let mixer = start_with_syscall_faults(program, orders, at, &[life.fault]);
    // Some writes and reads more, so that the faults have begun.
    let mut clients: Vec<_> = (0..8).map(|_| mixer.connect()).collect();
    clients.iter_mut().for_each(|client| send(client, HEALTH_REQUEST));
    let mut without_effect = Vec::new();
    for configuration in 1..=life.configurations {
        thread::sleep(Duration::from_millis(50));
        mixer.signal("-HUP");
        if !told(&mixer, READ_AGAIN, configuration) {
            without_effect.push(format!("SIGHUP {configuration}"));
            break;
        }
    }
    mixer.signal(life.end);
    if !told(&mixer, STOPS, 1) {
        without_effect.push(life.end.into());
    }
    without_effect
}

#[test]
fn signals_take_effect_whatever_the_calls_that_wake_the_mixer_answer() {
    let lives: Vec<Life> = lives();
    let mut lost = Vec::new();
    for (number, life) in lives.iter().enumerate() {
        let without_effect = live(number, life);
        if !without_effect.is_empty() {
            let SyscallFault { call, error, when } = life.fault;
            lost.push(format!("life {number}, {call} {error} {when}: {}", without_effect.join(", ")));
        }
    }
    assert!(lost.is_empty(), "{} of {} lives: {lost:#?}", lost.len(), lives.len());
}
