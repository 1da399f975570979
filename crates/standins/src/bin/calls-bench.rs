//! What a request costs a mixer in system calls, and what becomes of requests while system calls fail. Figures are of
//! this machine: compare two mixers within one run of the shell.

use clap::{Parser, ValueEnum};
use fernglade_standins::child::{
    free_address, mixer_config, start_counting_syscalls, start_with_syscall_faults, temp_file, MixerProcess,
    SyscallFault,
};
use fernglade_standins::client::{scan_request, send, try_read_response, Client};
use fernglade_standins::discovery::{agent_with_list, searcher_list};
use fernglade_standins::searcher::{answer_parts, start_searcher};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Parser)]
struct Arguments {
    /// The built mixer.
    #[arg(long, default_value = "target/release/fernglade-mixer")]
    mixer: PathBuf,
    #[arg(long, default_value_t = 180)]
    requests: u64,
    /// Requests a second.
    #[arg(long, default_value_t = 60)]
    rate: u64,
    #[arg(long, value_enum, default_value_t = Connections::New)]
    connections: Connections,
    /// A system call that fails, as CALL:ERROR:FIRST+STEP; without one calls are counted.
    #[arg(long)]
    fault: Option<String>,
    /// Seconds for which it is watched with nothing to do, before the requests.
    #[arg(long, default_value_t = 0)]
    idle: u64,
}

#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum Connections {
    /// One for each request.
    New,
    /// Four for all of them.
    Kept,
}

/// How long a client waits for its answer.
const PATIENCE: Duration = Duration::from_millis(2600);
/// How long the mixer may take to end.
const ENDS_WITHIN: Duration = Duration::from_secs(5);

fn main() {
    let arguments = Arguments::parse();
    let ((first, _), (second, _)) = (start_searcher(answer_parts), start_searcher(answer_parts));
    let (at, known) = (free_address(), searcher_list(&[first, second]));
    let orders =
        temp_file("calls.json", &mixer_config(&at.to_string(), agent_with_list(known.clone()), &known));
    let counts = orders.with_extension("counts");
    let mut mixer = match &arguments.fault {
        Some(fault) => start_with_syscall_faults(&arguments.mixer, orders, at, &[parse(fault)]),
        None => start_counting_syscalls(&arguments.mixer, orders, at, &counts),
    };
    if arguments.idle > 0 {
        watch_idle(&mixer, Duration::from_secs(arguments.idle));
    }
    let answers = ask(&arguments, &mixer);
    let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
    answers.iter().for_each(|(status, _)| *statuses.entry(*status).or_default() += 1);
    let slowest = answers.iter().map(|(_, took)| *took).max().unwrap_or_default();
    println!("statuses (0 is none): {statuses:?}; slowest {slowest:?}");
    mixer.signal("-TERM");
    println!("ended {:?} after SIGTERM", end_of(&mut mixer));
    if arguments.fault.is_none() {
        print_counts(&counts, arguments.requests);
    }
}

/// CALL:ERROR:WHEN; the parts live as long as the program.
fn parse(text: &str) -> SyscallFault {
    let parts: Vec<&'static str> = text.split(':').map(|part| &*part.to_string().leak()).collect();
    let [call, error, when] = parts[..] else { panic!("{text}: not CALL:ERROR:FIRST+STEP") };
    SyscallFault { call, error, when }
}

fn watch_idle(mixer: &MixerProcess, for_so_long: Duration) {
    let (_, before, _) = mixer.resource_usage();
    thread::sleep(for_so_long);
    let (_, after, _) = mixer.resource_usage();
    println!("idle for {for_so_long:?}: {} ms of processor", (after - before) * 10);
}

/// The status of each answer, 0 for none, and how long it took.
fn ask(arguments: &Arguments, mixer: &MixerProcess) -> Vec<(u16, Duration)> {
    let mut kept: Vec<Client> = match arguments.connections {
        Connections::New => Vec::new(),
        Connections::Kept => (0..4).map(|_| mixer.connect()).collect(),
    };
    let began = Instant::now();
    let callers: Vec<_> = (0..arguments.requests)
        .map(|number| {
            let due = Duration::from_millis(number * 1000 / arguments.rate);
            thread::sleep(due.saturating_sub(began.elapsed()));
            if let [_, ..] = kept[..] {
                let at = number as usize % kept.len();
                let (done, client) = ask_one(kept.swap_remove(at), number);
                kept.push(client.unwrap_or_else(|| mixer.connect()));
                return thread::spawn(move || done);
            }
            let client = mixer.connect();
            thread::spawn(move || ask_one(client, number).0)
        })
        .collect();
    callers.into_iter().map(|caller| caller.join().expect("a caller")).collect()
}

/// The client comes back where its connection can be used again.
fn ask_one(mut client: Client, number: u64) -> ((u16, Duration), Option<Client>) {
    let sent = Instant::now();
    client.get_mut().set_read_timeout(Some(PATIENCE)).expect("a time above nothing");
    send(&mut client, scan_request(&format!("r{number}"), &[0, 1]));
    match try_read_response(&mut client) {
        Ok((status, _, _)) => ((status, sent.elapsed()), Some(client)),
        Err(_) => ((0, sent.elapsed()), None),
    }
}

fn end_of(mixer: &mut MixerProcess) -> Option<Duration> {
    let began = Instant::now();
    while began.elapsed() < ENDS_WITHIN {
        if mixer.child.try_wait().is_ok_and(|ended| ended.is_some()) {
            return Some(began.elapsed());
        }
        thread::sleep(Duration::from_millis(5));
    }
    None
}

fn print_counts(counts: &Path, requests: u64) {
    let began = Instant::now();
    let mut text = String::new();
    // The tracer writes them a moment after the program's end.
    while text.is_empty() && began.elapsed() < ENDS_WITHIN {
        thread::sleep(Duration::from_millis(50));
        text = std::fs::read_to_string(counts).unwrap_or_default();
    }
    let _ = std::fs::remove_file(counts);
    for line in text.lines() {
        let mut words = line.split_whitespace();
        let Some(count) = words.next().and_then(|word| word.parse::<f64>().ok()) else { continue };
        println!("{:8.2} a request: {}", count / requests as f64, words.next().unwrap_or_default());
    }
}
