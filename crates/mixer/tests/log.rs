//! What happens: whoever reads the mixer's log hangs, and the mixer answers nobody any more. Why: lines went to standard
//! error by a call that blocks while the pipe there is full, on the one thread that does all else. What showed it: a
//! trace of the program, which stands in `write(2, ...)`.

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

/// What a pipe holds on Linux, where nobody changes it.
const PIPE: usize = 65_536;

/// A pipe that is full, as its reader hangs.
fn full_pipe() -> (PipeReader, Stdio) {
    let (reader, mut writer) = pipe().expect("a pipe");
    let filler = [&[b'x'; PIPE - 1][..], b"\n"].concat();
    writer.write_all(&filler).expect("it has room for so much");
    (reader, writer.into())
}

fn mixer(name: &str, log: Stdio) -> MixerProcess {
    let (address, _told) = start_searcher(answer_parts);
    let (at, known) = (free_address(), searcher_list(&[address]));
    let text = mixer_config(&at.to_string(), agent_with_list(known.clone()), &known);
    let program = Path::new(env!("CARGO_BIN_EXE_fernglade-mixer"));
    start_with_log(program, temp_file(&format!("log-{name}.json"), &text), at, log)
}

fn ends_in_time(mixer: &mut MixerProcess) -> bool {
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(3) {
        if mixer.child.try_wait().is_ok_and(|ended| ended.is_some()) {
            return true;
        }
        thread::sleep(Duration::from_millis(10));
    }
    false
}

#[test]
fn a_log_that_nobody_reads_holds_nobody_up() {
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
    assert!(ends_in_time(&mut mixer), "it stops as usual");
}

#[test]
fn lines_that_could_not_be_written_are_counted_once_the_log_is_read_again() {
    let (reader, log) = full_pipe();
    let mixer = mixer("read-again", log);
    let (tell, lines) = channel();
    thread::spawn(move || {
        BufReader::new(reader).lines().map_while(Result::ok).try_for_each(|line| tell.send(line))
    });
    let next = || lines.recv_timeout(Duration::from_secs(5)).expect("a line");
    assert_eq!(next().len(), PIPE - 1);
    mixer.signal("-HUP");
    let first = next();
    assert!(first.contains("lines of the log could not be written"), "{first}");
    let then = next();
    assert!(then.contains("orders read again"), "{then}");
}

#[test]
fn a_log_whose_reader_has_gone_holds_nobody_up() {
    let (reader, writer) = pipe().expect("a pipe");
    drop(reader);
    let mut mixer = mixer("gone", writer.into());
    let mut client = mixer.connect();
    send(&mut client, scan_request("r0", &[0, 1]));
    assert_eq!(read_response(&mut client).0, 200);
    drop(client);
    mixer.signal("-TERM");
    assert!(ends_in_time(&mut mixer), "it stops as usual");
}
