//! Short lives of a mixer, each by a seed: clients on open connections until the kill at its earliest, signals in
//! series, a searcher that hangs through the stop, heads in two pieces, in some a crowd, and in every third system calls
//! that fail. SOAK_SEEDS=A..B plays others.

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

/// The longest deadline, and what a client gives each request.
const DEADLINE: Duration = Duration::from_millis(600);
/// An answer may come so much later and still be one; then it is lost.
const GRACE: Duration = Duration::from_millis(500);
/// How long the mixer serves before it is told to stop, and how soon after that it is killed at the earliest.
const SERVES: Duration = Duration::from_millis(1_000);
const KILL: Duration = Duration::from_millis(600 + 700);

/// New connections go on coming for so long after the stop (the protocol page).
const COMES: Duration = Duration::from_millis(400);

/// Set while the first searcher hangs; seeds are played one after another.
static HANGS: AtomicBool = AtomicBool::new(false);

fn hanging(letter: u8, rest: &str) -> Option<Vec<u8>> {
    while HANGS.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(5));
    }
    brief(letter, rest)
}

fn brief(letter: u8, rest: &str) -> Option<Vec<u8>> {
    thread::sleep(Duration::from_millis(2));
    answer_parts(letter, rest)
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum End {
    Served,
    Refused,
    Failed,
    /// An answer after the client's time.
    Late,
    /// Read, as far as can be told, and never answered.
    Lost,
    /// Its connection, which had served before, ended as it came, and nobody takes new ones any more.
    NobodyThere,
}

/// One client, until the mixer is killed.
struct Caller {
    at: SocketAddr,
    chance: Pcg32,
    number: usize,
    until: Instant,
    ends: Vec<(End, Duration)>,
    began: Instant,
}

impl Caller {
    fn run(mut self) -> Vec<(End, Duration)> {
        let mut open: Option<Client> = None;
        for count in 0.. {
            thread::sleep(Duration::from_millis(self.chance.random_range(0..40)));
            if Instant::now() > self.until {
                break;
            }
            let request = self.request(count);
            let asked = self.began.elapsed();
            let end = self.ask(&mut open, &request);
            let gone = end == End::NobodyThere;
            self.ends.push((end, asked));
            if gone {
                break;
            }
        }
        self.ends
    }

    fn request(&mut self, count: usize) -> String {
        let kind = if self.chance.random_bool(0.3) { "fix" } else { "look" };
        let name = format!("{kind}-{}-{count}", self.number);
        let shards: Vec<u32> = (0..self.chance.random_range(1..4)).collect();
        scan_request_of(kind, "x", &name, &shards).replace("X-Timeout: 4.0", "X-Timeout: 0.6")
    }

    /// On the open connection first; where that ends as the request comes, once more on a new one.
    fn ask(&mut self, open: &mut Option<Client>, request: &str) -> End {
        let sent = Instant::now();
        if let Some(mut client) = open.take() {
            if let Some(end) = self.answered(&mut client, request, sent) {
                *open = Some(client);
                return end;
            }
        }
        if self.began.elapsed() > SERVES + COMES {
            return End::NobodyThere;
        }
        let Ok(stream) = TcpStream::connect(self.at) else { return End::NobodyThere };
        let (mut client, connected) = (client_from_stream(stream), self.began.elapsed());
        let end = self.answered(&mut client, request, sent).unwrap_or(End::Lost);
        if end == End::Lost {
            let id = request.lines().find(|line| line.starts_with("X-Request-ID")).unwrap_or_default();
            println!("lost: {id}, connected at {connected:?}, ended at {:?}", self.began.elapsed());
        }
        *open = Some(client);
        end
    }

    /// None where the connection ended with no answer.
    fn answered(&mut self, client: &mut Client, request: &str, sent: Instant) -> Option<End> {
        let pieces = if self.chance.random_bool(0.2) { request.split_at(50) } else { ("", request) };
        client.get_mut().write_all(pieces.0.as_bytes()).ok()?;
        if !pieces.0.is_empty() {
            thread::sleep(Duration::from_millis(5));
        }
        client.get_mut().write_all(pieces.1.as_bytes()).ok()?;
        client.get_mut().set_read_timeout(Some(DEADLINE + GRACE)).expect("a time");
        let status = match try_read_response(client) {
            Ok((status, _, _)) => status,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return Some(End::Lost),
            Err(_) => return None,
        };
        Some(match status {
            _ if sent.elapsed() > DEADLINE + Duration::from_millis(50) => End::Late,
            200 => End::Served,
            429 | 503 => End::Refused,
            _ => End::Failed,
        })
    }
}

/// What became of all requests, and what else was seen.
#[derive(Debug, Default)]
struct Report {
    ends: BTreeMap<End, usize>,
    after_stop: usize,
    edits_twice: usize,
    killed: bool,
}

fn mixer(seed: u64, searchers: &[SocketAddr]) -> MixerProcess {
    let (at, known) = (free_address(), searcher_list(searchers));
    let text = mixer_config(&at.to_string(), agent_with_list(known.clone()), &known);
    let short = [("\"aim\":2000000", "\"aim\":500000"), ("\"give_up\":4000000", "\"give_up\":600000")];
    let text = short.iter().fold(text, |text, (from, to)| text.replace(from, to));
    let program = Path::new(env!("CARGO_BIN_EXE_fernglade-mixer"));
    let orders = temp_file(&format!("soak-{seed}.json"), &text);
    match system_faults(seed) {
        Some(faults) => start_with_syscall_faults(program, orders, at, &faults),
        None => start_mixer(program, 1024, orders, None, at),
    }
}

/// In every third life calls on connections fail, and calls that make them.
fn system_faults(seed: u64) -> Option<[SyscallFault; 2]> {
    const ON_CONNECTIONS: [(&str, &str, &str); 4] = [
        ("sendto", "EINTR", "3+5"),
        ("recvfrom", "EINTR", "3+5"),
        ("sendto", "ENOBUFS", "3+40"),
        ("sendto", "EAGAIN", "3+5"),
    ];
    const MAKING_THEM: [(&str, &str, &str); 6] = [
        ("accept4", "ECONNABORTED", "3+5"),
        ("accept4", "ENFILE", "3+5"),
        ("connect", "EADDRNOTAVAIL", "3+7"),
        ("connect", "EINTR", "3+7"),
        ("socket", "ENOBUFS", "9+7"),
        ("epoll_ctl", "ENOMEM", "3+2"),
    ];
    let fault = |(call, error, when)| SyscallFault { call, error, when };
    let turn = (seed / 3) as usize;
    (seed % 3 == 1).then(|| [fault(ON_CONNECTIONS[turn % 4]), fault(MAKING_THEM[turn % 6])])
}

fn life(seed: u64) -> Report {
    let mut chance = Pcg32::seed_from_u64(seed);
    HANGS.store(false, Ordering::Relaxed);
    let searchers =
        [start_searcher(hanging), start_searcher(brief), start_searcher(brief), start_searcher(brief)];
    let addresses: Vec<SocketAddr> = searchers.iter().map(|(address, _)| *address).collect();
    let mut mixer = mixer(seed, &addresses);
    let crowd: Vec<TcpStream> = (0..if seed.is_multiple_of(3) { 200 } else { 0 })
        .filter_map(|_| TcpStream::connect(mixer.address).ok())
        .collect();
    let began = Instant::now();
    let until = began + SERVES + KILL;
    let callers: Vec<_> = (0..chance.random_range(20..60))
        .map(|number| {
            let chance = Pcg32::seed_from_u64(seed << 16 | number as u64);
            let caller = Caller { at: mixer.address, chance, number, until, ends: Vec::new(), began };
            thread::spawn(move || caller.run())
        })
        .collect();
    let wait_until = |at: Duration| thread::sleep(at.saturating_sub(began.elapsed()));
    wait_until(SERVES - Duration::from_millis(200));
    HANGS.store(true, Ordering::Relaxed);
    wait_until(SERVES);
    mixer.signal("-TERM");
    let mut further: Vec<u64> = (0..3).map(|_| chance.random_range(0..600)).collect();
    further.sort_unstable();
    for at in further {
        wait_until(SERVES + Duration::from_millis(at));
        let which = ["-TERM", "-HUP", "-INT"][chance.random_range(0..3)];
        if mixer.child.try_wait().is_ok_and(|ended| ended.is_none()) {
            mixer.signal(which);
        }
    }
    wait_until(SERVES + KILL);
    let killed = mixer.child.try_wait().is_ok_and(|ended| ended.is_none());
    let _ = mixer.child.kill();
    let ends: Vec<(End, Duration)> =
        callers.into_iter().flat_map(|caller| caller.join().expect("a caller")).collect();
    HANGS.store(false, Ordering::Relaxed);
    drop(crowd);
    thread::sleep(Duration::from_millis(20));
    report(&ends, &searchers, killed)
}

type Told = std::sync::mpsc::Receiver<(u8, String)>;

fn report(ends: &[(End, Duration)], searchers: &[(SocketAddr, Told)], killed: bool) -> Report {
    let mut report = Report { killed, ..Report::default() };
    for (end, asked) in ends {
        *report.ends.entry(*end).or_default() += 1;
        report.after_stop += usize::from(*asked > SERVES && *end != End::NobodyThere);
    }
    // Each part by its id: an edit's never goes out twice (`fix` is irreversible).
    let mut parts: BTreeMap<String, usize> = BTreeMap::new();
    for (_, told) in searchers {
        for (letter, rest) in told.try_iter() {
            if letter == b'm' && rest.starts_with("fix-") {
                *parts.entry(rest.split(' ').next().unwrap_or_default().into()).or_default() += 1;
            }
        }
    }
    report.edits_twice = parts.values().filter(|count| **count > 1).count();
    report
}

fn seeds() -> std::ops::Range<u64> {
    let stated = std::env::var("SOAK_SEEDS").ok();
    let ends = stated.as_deref().and_then(|text| text.split_once(".."));
    let ends = ends.and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    ends.unwrap_or(0..20)
}

#[test]
fn no_request_is_lost_over_a_stop_with_signals_in_series() {
    let mut wrong = Vec::new();
    for seed in seeds() {
        let report = life(seed);
        println!("seed {seed}: {report:?}");
        let lost = report.ends.get(&End::Lost).copied().unwrap_or(0);
        let late = report.ends.get(&End::Late).copied().unwrap_or(0);
        if lost + late + report.edits_twice > 0 || report.killed || report.after_stop == 0 {
            wrong.push((seed, report));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}
