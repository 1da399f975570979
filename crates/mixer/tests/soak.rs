//! Soak test of shutdown: one short run of a mixer per seed. Clients send on open connections until the
//! earliest moment of the kill, signals come in series, a searcher hangs throughout the shutdown and some
//! request heads arrive in two pieces. In every third run many idle connections are open, and in another
//! third system calls fail. `SOAK_SEEDS=A..B` selects other seeds.

use fernglade_standins::child::{
    free_address, mixer_config, start_mixer, start_with_syscall_faults, temp_file, MixerProcess, SyscallFault,
};
use fernglade_standins::client::{client_from_stream, scan_request_of, try_read_response, Client};
use fernglade_standins::discovery::{agent_with_list, searcher_list};
use fernglade_standins::searcher::{answer_parts, start_searcher};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The longest deadline, and the timeout of each request.
const DEADLINE: Duration = Duration::from_millis(600);
/// How long after the deadline an answer may still arrive; without one by then the request counts as lost.
const GRACE: Duration = Duration::from_millis(500);
/// How long the mixer serves before SIGTERM, and the earliest SIGKILL after that.
const SERVING_TIME: Duration = Duration::from_millis(1_000);
const KILL_DELAY: Duration = Duration::from_millis(600 + 700);

/// How long new connections may still arrive after SIGTERM, by the protocol description.
const LATE_CONNECTION_WINDOW: Duration = Duration::from_millis(400);

/// Set while the first searcher hangs. A global suffices because seeds run one after another.
static SEARCHER_HANGS: AtomicBool = AtomicBool::new(false);

fn hanging_searcher(letter: u8, rest: &str) -> Option<Vec<u8>> {
    while SEARCHER_HANGS.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(5));
    }
    brief_searcher(letter, rest)
}

fn brief_searcher(letter: u8, rest: &str) -> Option<Vec<u8>> {
    thread::sleep(Duration::from_millis(2));
    answer_parts(letter, rest)
}

/// How a request ended, as seen by its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Outcome {
    Served,
    Refused,
    Failed,
    /// Answered after the client's timeout.
    Late,
    /// Probably read, and never answered.
    Lost,
    /// The open connection closed as the request was sent, and new connections are no longer accepted.
    ConnectionsRefused,
}

/// A client that sends requests until the mixer is killed.
struct Caller {
    at: SocketAddr,
    rng: Pcg32,
    number: usize,
    killed_at: Instant,
    outcomes: Vec<(Outcome, Duration)>,
    started: Instant,
}

impl Caller {
    fn run(mut self) -> Vec<(Outcome, Duration)> {
        let mut connection: Option<Client> = None;
        for count in 0.. {
            thread::sleep(Duration::from_millis(self.rng.random_range(0..40)));
            if Instant::now() > self.killed_at {
                break;
            }
            let request = self.request(count);
            let sent_at = self.started.elapsed();
            let outcome = self.ask(&mut connection, &request);
            let refused = outcome == Outcome::ConnectionsRefused;
            self.outcomes.push((outcome, sent_at));
            if refused {
                break;
            }
        }
        self.outcomes
    }

    fn request(&mut self, count: usize) -> String {
        let kind = if self.rng.random_bool(0.3) { "fix" } else { "look" };
        let name = format!("{kind}-{}-{count}", self.number);
        let shards: Vec<u32> = (0..self.rng.random_range(1..4)).collect();
        scan_request_of(kind, "x", &name, &shards).replace("X-Timeout: 4.0", "X-Timeout: 0.6")
    }

    /// Sends the request on the open connection; if that closes without an answer, once more on a new
    /// connection.
    fn ask(&mut self, connection: &mut Option<Client>, request: &str) -> Outcome {
        let sent = Instant::now();
        if let Some(mut client) = connection.take() {
            if let Some(outcome) = self.exchange(&mut client, request, sent) {
                *connection = Some(client);
                return outcome;
            }
        }
        if self.started.elapsed() > SERVING_TIME + LATE_CONNECTION_WINDOW {
            return Outcome::ConnectionsRefused;
        }
        let Ok(stream) = TcpStream::connect(self.at) else { return Outcome::ConnectionsRefused };
        let (mut client, connected) = (client_from_stream(stream), self.started.elapsed());
        let outcome = self.exchange(&mut client, request, sent).unwrap_or(Outcome::Lost);
        if outcome == Outcome::Lost {
            let id = request.lines().find(|line| line.starts_with("X-Request-ID")).unwrap_or_default();
            println!("lost: {id}, connected at {connected:?}, ended at {:?}", self.started.elapsed());
        }
        *connection = Some(client);
        outcome
    }

    /// Sends the request, and returns `None` if the connection closed without an answer.
    fn exchange(&mut self, client: &mut Client, request: &str, sent: Instant) -> Option<Outcome> {
        let pieces = if self.rng.random_bool(0.2) { request.split_at(50) } else { ("", request) };
        client.get_mut().write_all(pieces.0.as_bytes()).ok()?;
        if !pieces.0.is_empty() {
            thread::sleep(Duration::from_millis(5));
        }
        client.get_mut().write_all(pieces.1.as_bytes()).ok()?;
        client.get_mut().set_read_timeout(Some(DEADLINE + GRACE)).expect("a time");
        let status = match try_read_response(client) {
            Ok((status, _, _)) => status,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return Some(Outcome::Lost),
            Err(_) => return None,
        };
        Some(match status {
            _ if sent.elapsed() > DEADLINE + Duration::from_millis(50) => Outcome::Late,
            200 => Outcome::Served,
            429 | 503 => Outcome::Refused,
            _ => Outcome::Failed,
        })
    }
}

/// The outcomes of all requests of a run, and what else was observed.
#[derive(Debug, Default)]
struct Report {
    outcomes: BTreeMap<Outcome, usize>,
    sent_after_stop: usize,
    edits_sent_twice: usize,
    killed: bool,
}

fn mixer(seed: u64, searchers: &[SocketAddr]) -> MixerProcess {
    let (address, known) = (free_address(), searcher_list(searchers));
    let config = mixer_config(&address.to_string(), agent_with_list(known.clone()), &known);
    let short_limits = [("\"aim\":2000000", "\"aim\":500000"), ("\"give_up\":4000000", "\"give_up\":600000")];
    let config = short_limits.iter().fold(config, |config, (from, to)| config.replace(from, to));
    let program = Path::new(env!("CARGO_BIN_EXE_fernglade-mixer"));
    let config_file = temp_file(&format!("soak-{seed}.json"), &config);
    match system_faults(seed) {
        Some(faults) => start_with_syscall_faults(program, config_file, address, &faults),
        None => start_mixer(program, 1024, config_file, None, address),
    }
}

/// In every third run, system calls on connections fail, and calls that establish them.
fn system_faults(seed: u64) -> Option<[SyscallFault; 2]> {
    const CONNECTION_FAULTS: [(&str, &str, &str); 4] = [
        ("sendto", "EINTR", "3+5"),
        ("recvfrom", "EINTR", "3+5"),
        ("sendto", "ENOBUFS", "3+40"),
        ("sendto", "EAGAIN", "3+5"),
    ];
    const CONNECT_FAULTS: [(&str, &str, &str); 6] = [
        ("accept4", "ECONNABORTED", "3+5"),
        ("accept4", "ENFILE", "3+5"),
        ("connect", "EADDRNOTAVAIL", "3+7"),
        ("connect", "EINTR", "3+7"),
        ("socket", "ENOBUFS", "9+7"),
        ("epoll_ctl", "ENOMEM", "3+2"),
    ];
    let fault = |(call, error, when)| SyscallFault { call, error, when };
    let run_index = (seed / 3) as usize;
    (seed % 3 == 1).then(|| [fault(CONNECTION_FAULTS[run_index % 4]), fault(CONNECT_FAULTS[run_index % 6])])
}

fn run_seed(seed: u64) -> Report {
    let mut rng = Pcg32::seed_from_u64(seed);
    SEARCHER_HANGS.store(false, Ordering::Relaxed);
    let searchers = [
        start_searcher(hanging_searcher),
        start_searcher(brief_searcher),
        start_searcher(brief_searcher),
        start_searcher(brief_searcher),
    ];
    let addresses: Vec<SocketAddr> = searchers.iter().map(|(address, _)| *address).collect();
    let mut mixer = mixer(seed, &addresses);
    let idle_connections: Vec<TcpStream> = (0..if seed.is_multiple_of(3) { 200 } else { 0 })
        .filter_map(|_| TcpStream::connect(mixer.address).ok())
        .collect();
    let started = Instant::now();
    let killed_at = started + SERVING_TIME + KILL_DELAY;
    let callers: Vec<_> = (0..rng.random_range(20..60))
        .map(|number| {
            let rng = Pcg32::seed_from_u64(seed << 16 | number as u64);
            let caller = Caller { at: mixer.address, rng, number, killed_at, outcomes: Vec::new(), started };
            thread::spawn(move || caller.run())
        })
        .collect();
    let wait_until = |at: Duration| thread::sleep(at.saturating_sub(started.elapsed()));
    wait_until(SERVING_TIME - Duration::from_millis(200));
    SEARCHER_HANGS.store(true, Ordering::Relaxed);
    wait_until(SERVING_TIME);
    mixer.signal("-TERM");
    let mut signal_times: Vec<u64> = (0..3).map(|_| rng.random_range(0..600)).collect();
    signal_times.sort_unstable();
    for at in signal_times {
        wait_until(SERVING_TIME + Duration::from_millis(at));
        let signal = ["-TERM", "-HUP", "-INT"][rng.random_range(0..3)];
        if mixer.child.try_wait().is_ok_and(|ended| ended.is_none()) {
            mixer.signal(signal);
        }
    }
    wait_until(SERVING_TIME + KILL_DELAY);
    let killed = mixer.child.try_wait().is_ok_and(|ended| ended.is_none());
    let _ = mixer.child.kill();
    let outcomes: Vec<(Outcome, Duration)> =
        callers.into_iter().flat_map(|caller| caller.join().expect("a caller")).collect();
    SEARCHER_HANGS.store(false, Ordering::Relaxed);
    drop(idle_connections);
    thread::sleep(Duration::from_millis(20));
    report(&outcomes, &searchers, killed)
}

type Received = std::sync::mpsc::Receiver<(u8, String)>;

fn report(outcomes: &[(Outcome, Duration)], searchers: &[(SocketAddr, Received)], killed: bool) -> Report {
    let mut report = Report { killed, ..Report::default() };
    for (outcome, sent_at) in outcomes {
        *report.outcomes.entry(*outcome).or_default() += 1;
        report.sent_after_stop +=
            usize::from(*sent_at > SERVING_TIME && *outcome != Outcome::ConnectionsRefused);
    }
    // Counts each part of an edit by its id: none may be sent twice, as `fix` is irreversible.
    let mut sent_counts: BTreeMap<String, usize> = BTreeMap::new();
    for (_, received) in searchers {
        for (letter, rest) in received.try_iter() {
            if letter == b'm' && rest.starts_with("fix-") {
                *sent_counts.entry(rest.split(' ').next().unwrap_or_default().into()).or_default() += 1;
            }
        }
    }
    report.edits_sent_twice = sent_counts.values().filter(|count| **count > 1).count();
    report
}

fn seeds() -> std::ops::Range<u64> {
    let range_text = std::env::var("SOAK_SEEDS").ok();
    let bounds = range_text.as_deref().and_then(|text| text.split_once(".."));
    let bounds = bounds.and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    bounds.unwrap_or(0..20)
}

#[test]
fn no_request_is_lost_during_shutdown_with_repeated_signals() {
    let mut failures = Vec::new();
    for seed in seeds() {
        let report = run_seed(seed);
        println!("seed {seed}: {report:?}");
        let lost = report.outcomes.get(&Outcome::Lost).copied().unwrap_or(0);
        let late = report.outcomes.get(&Outcome::Late).copied().unwrap_or(0);
        if lost + late + report.edits_sent_twice > 0 || report.killed || report.sent_after_stop == 0 {
            failures.push((seed, report));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
