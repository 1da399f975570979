//! Counts the system calls that a mixer makes per request, or shows how requests end while system calls fail.
//! Results depend on the machine: compare mixers on the same one, one right after the other.

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
    /// The mixer program.
    #[arg(long, default_value = "target/release/fernglade-mixer")]
    mixer: PathBuf,
    /// Number of requests.
    #[arg(long, default_value_t = 180)]
    requests: u64,
    /// Requests per second.
    #[arg(long, default_value_t = 60)]
    rate: u64,
    /// How clients connect.
    #[arg(long, value_enum, default_value_t = Connections::New)]
    connections: Connections,
    /// Make a system call fail, as CALL:ERROR:FIRST+STEP. Without a fault, system calls are counted.
    #[arg(long)]
    fault: Option<String>,
    /// Seconds for which its CPU time is measured while idle, before the requests.
    #[arg(long, default_value_t = 0)]
    idle: u64,
}

#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum Connections {
    /// A new connection for each request.
    New,
    /// Four connections, reused for all requests.
    Kept,
}

/// How long a client waits for its response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(2600);
/// How long the mixer may take to exit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(5);

fn main() {
    let arguments = Arguments::parse();
    let ((first, _), (second, _)) = (start_searcher(answer_parts), start_searcher(answer_parts));
    let (at, known) = (free_address(), searcher_list(&[first, second]));
    let config =
        temp_file("calls.json", &mixer_config(&at.to_string(), agent_with_list(known.clone()), &known));
    let counts = config.with_extension("counts");
    let mut mixer = match &arguments.fault {
        Some(fault) => start_with_syscall_faults(&arguments.mixer, config, at, &[parse(fault)]),
        None => start_counting_syscalls(&arguments.mixer, config, at, &counts),
    };
    if arguments.idle > 0 {
        measure_idle(&mixer, Duration::from_secs(arguments.idle));
    }
    let answers = send_requests(&arguments, &mixer);
    let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
    answers.iter().for_each(|(status, _)| *statuses.entry(*status).or_default() += 1);
    let slowest = answers.iter().map(|(_, took)| *took).max().unwrap_or_default();
    println!("statuses (0 is none): {statuses:?}; slowest {slowest:?}");
    mixer.signal("-TERM");
    println!("ended {:?} after SIGTERM", wait_for_exit(&mut mixer));
    if arguments.fault.is_none() {
        print_counts(&counts, arguments.requests);
    }
}

/// Parses CALL:ERROR:WHEN. The strings are leaked, as they are needed for the life of the program.
fn parse(text: &str) -> SyscallFault {
    let parts: Vec<&'static str> = text.split(':').map(|part| &*part.to_string().leak()).collect();
    let [call, error, when] = parts[..] else { panic!("{text}: expected CALL:ERROR:FIRST+STEP") };
    SyscallFault { call, error, when }
}

/// Prints the CPU time of an idle mixer.
fn measure_idle(mixer: &MixerProcess, duration: Duration) {
    let (_, before, _) = mixer.resource_usage();
    thread::sleep(duration);
    let (_, after, _) = mixer.resource_usage();
    println!("idle for {duration:?}: {} ms of processor", (after - before) * 10);
}

/// Sends all requests, and returns the status of each response (0 for none) and how long it took.
fn send_requests(arguments: &Arguments, mixer: &MixerProcess) -> Vec<(u16, Duration)> {
    let mut idle_clients: Vec<Client> = match arguments.connections {
        Connections::New => Vec::new(),
        Connections::Kept => (0..4).map(|_| mixer.connect()).collect(),
    };
    let started = Instant::now();
    let threads: Vec<_> = (0..arguments.requests)
        .map(|number| {
            let due = Duration::from_millis(number * 1000 / arguments.rate);
            thread::sleep(due.saturating_sub(started.elapsed()));
            if let [_, ..] = idle_clients[..] {
                let at = number as usize % idle_clients.len();
                let (result, client) = send_request(idle_clients.swap_remove(at), number);
                idle_clients.push(client.unwrap_or_else(|| mixer.connect()));
                return thread::spawn(move || result);
            }
            let client = mixer.connect();
            thread::spawn(move || send_request(client, number).0)
        })
        .collect();
    threads
        .into_iter()
        .map(|thread_handle| thread_handle.join().expect("a request thread panicked"))
        .collect()
}

/// Sends one request. Returns the client too if its connection can be reused.
fn send_request(mut client: Client, number: u64) -> ((u16, Duration), Option<Client>) {
    let sent = Instant::now();
    client.get_mut().set_read_timeout(Some(RESPONSE_TIMEOUT)).expect("failed to set the read timeout");
    send(&mut client, scan_request(&format!("r{number}"), &[0, 1]));
    match try_read_response(&mut client) {
        Ok((status, _, _)) => ((status, sent.elapsed()), Some(client)),
        Err(_) => ((0, sent.elapsed()), None),
    }
}

/// Waits for the exit of the mixer; `None` if it takes too long.
fn wait_for_exit(mixer: &mut MixerProcess) -> Option<Duration> {
    let started = Instant::now();
    while started.elapsed() < EXIT_TIMEOUT {
        if mixer.child.try_wait().is_ok_and(|ended| ended.is_some()) {
            return Some(started.elapsed());
        }
        thread::sleep(Duration::from_millis(5));
    }
    None
}

/// Prints the number of each system call per request.
fn print_counts(counts: &Path, requests: u64) {
    let started = Instant::now();
    let mut text = String::new();
    // The tracer writes the counts shortly after the program has exited.
    while text.is_empty() && started.elapsed() < EXIT_TIMEOUT {
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
