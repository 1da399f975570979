//! Guards against a mixer that stops answering because the reader of its log hangs. Log lines used to be
//! written to standard error with a blocking call on the only thread, which stalled in `write(2, ...)` once
//! the pipe was full.

use fernglade_standins::child::{free_address, mixer_config, start_with_log, temp_file, MixerProcess};
use fernglade_standins::client::{read_response, scan_request, send};
use fernglade_standins::discovery::{agent_with_list, searcher_list};
use fernglade_standins::searcher::{answer_parts, start_searcher};
use std::io::{pipe, BufRead, BufReader, PipeReader, Write};
use std::path::Path;
use std::process::Stdio;
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

/// The default capacity of a pipe on Linux, in bytes.
const PIPE_CAPACITY: usize = 65_536;

/// A full pipe, as if its reader hung.
fn full_pipe() -> (PipeReader, Stdio) {
    let (reader, mut writer) = pipe().expect("a pipe");
    let filler = [&[b'x'; PIPE_CAPACITY - 1][..], b"\n"].concat();
    writer.write_all(&filler).expect("the pipe has room for its capacity");
    (reader, writer.into())
}

fn mixer(name: &str, log: Stdio) -> MixerProcess {
    let (address, _received) = start_searcher(answer_parts);
    let (listen_address, known) = (free_address(), searcher_list(&[address]));
    let config = mixer_config(&listen_address.to_string(), agent_with_list(known.clone()), &known);
    let program = Path::new(env!("CARGO_BIN_EXE_fernglade-mixer"));
    start_with_log(program, temp_file(&format!("log-{name}.json"), &config), listen_address, log)
}

fn exits_in_time(mixer: &mut MixerProcess) -> bool {
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(3) {
        if mixer.child.try_wait().is_ok_and(|ended| ended.is_some()) {
            return true;
        }
        thread::sleep(Duration::from_millis(10));
    }
    false
}

#[test]
fn an_unread_log_does_not_block_the_mixer() {
    let (_reader, log) = full_pipe();
    let mut mixer = mixer("full", log);
    let mut client = mixer.connect();
    for number in 0..50 {
        send(&mut client, scan_request(&format!("r{number}"), &[0, 1]));
        assert_eq!(read_response(&mut client).0, 200, "request {number}");
        if number % 10 == 0 {
            mixer.signal("-HUP");
        }
    }
    drop(client);
    mixer.signal("-TERM");
    assert!(exits_in_time(&mut mixer), "the mixer exits as usual");
}

#[test]
fn dropped_log_lines_are_counted_once_the_log_is_read_again() {
    let (reader, log) = full_pipe();
    let mixer = mixer("read-again", log);
    let (line_sender, lines) = channel();
    thread::spawn(move || {
        BufReader::new(reader).lines().map_while(Result::ok).try_for_each(|line| line_sender.send(line))
    });
    let next_line = || lines.recv_timeout(Duration::from_secs(5)).expect("a line");
    assert_eq!(next_line().len(), PIPE_CAPACITY - 1);
    mixer.signal("-HUP");
    let first = next_line();
    assert!(first.contains("log lines were dropped"), "{first}");
    let second = next_line();
    assert!(second.contains("configuration reloaded"), "{second}");
}

#[test]
fn a_closed_log_pipe_does_not_block_the_mixer() {
    let (reader, writer) = pipe().expect("a pipe");
    drop(reader);
    let mut mixer = mixer("gone", writer.into());
    let mut client = mixer.connect();
    send(&mut client, scan_request("r0", &[0, 1]));
    assert_eq!(read_response(&mut client).0, 200);
    drop(client);
    mixer.signal("-TERM");
    assert!(exits_in_time(&mut mixer), "the mixer exits as usual");
}
