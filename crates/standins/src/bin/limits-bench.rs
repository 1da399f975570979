//! Measures what badly behaved clients cost a mixer: the most memory that it holds under a limit while a crowd
//! stops inside requests; how late a usual client is answered while another sends noise at full speed beside three busy
//! processes on the same core; and how much clients are served that ask without a pause. Results depend on the machine: compare within one run.

use clap::{Parser, Subcommand};
use fernglade_standins::child::{free_address, mixer_config, start_mixer, temp_file, MixerProcess};
use fernglade_standins::crowd::{Crowd, CrowdForm};
use fernglade_standins::discovery::{agent_with_list, searcher_list};
use fernglade_standins::documents::answer_searches;
use fernglade_standins::noise::{NoiseForm, NoisyClient};
use fernglade_standins::noisy_peers::{DiscoveryNoise, SearcherNoise};
use fernglade_standins::searcher::{answer_parts, frame, start_searcher, FrameHandler};
use fernglade_standins::usual_client::{Habits, UsualClient};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

#[derive(Parser)]
struct Arguments {
    /// The mixer program.
    #[arg(long, default_value = "target/release/fernglade-mixer", global = true)]
    mixer: PathBuf,
    /// How long each form is played, in seconds.
    #[arg(long, default_value_t = 4, global = true)]
    seconds: u64,
    /// The usual client connects anew for each request.
    #[arg(long, global = true)]
    reconnect: bool,
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// The peak of resident memory for each form of crowd.
    Memory {
        /// The limits in the mixer's configuration, in MB.
        #[arg(long, value_delimiter = ',', default_values_t = [32, 64, 192])]
        limits: Vec<u64>,
        /// Clients in the crowd.
        #[arg(long, default_value_t = 330)]
        clients: usize,
        /// Plays only the forms whose names contain this.
        #[arg(long, default_value = "")]
        form: String,
    },
    /// A usual client's times beside each form of noise.
    Work {
        /// Plays only the forms whose names contain this.
        #[arg(long, default_value = "")]
        form: String,
        /// The core that the mixer and the busy processes run on.
        #[arg(long, default_value_t = 0)]
        core: usize,
    },
    /// Scans a second of clients that ask one after another without a pause, with nothing else on the mixer.
    Share {
        /// Further mixer programs, played in turns with the first.
        #[arg(long, value_delimiter = ',')]
        beside: Vec<PathBuf>,
        /// Lengths of the text that each request carries.
        #[arg(long, value_delimiter = ',', default_values_t = [100, 8_000, 30_000])]
        text_bytes: Vec<usize>,
        /// Clients, each with a connection of its own.
        #[arg(long, value_delimiter = ',', default_values_t = [1, 4, 32])]
        connections: Vec<usize>,
    },
    /// The same beside each form of noise of a discovery and of a searcher.
    Peers {
        /// The core that the mixer and the busy processes run on.
        #[arg(long, default_value_t = 0)]
        core: usize,
    },
}

/// Searchers in each play.
const SEARCHERS: usize = 12;
/// Processes that compute without a pause on the mixer's core.
const BUSY_PROCESSES: usize = 3;
/// Time of a searcher for one part.
const SERVICE_TIME: Duration = Duration::from_millis(10);
/// Length of a long answer's value, which fits into an answer.
const LONG_VALUE_BYTES: usize = 60_000;
/// Descriptors that the mixer may hold.
const DESCRIPTORS: usize = 1024;
/// Pause of the usual client between two requests.
const PAUSE: Duration = Duration::from_millis(2);

const OPERATOR: &str = "{ dialect: { indices: { cues: { searches: 'look', customer: 'acme' } } } }";

fn answer_after_service(letter: u8, rest: &str) -> Option<Vec<u8>> {
    if letter == b'm' {
        thread::sleep(SERVICE_TIME);
    }
    // Names that the mixer gives to searches of the query API.
    if letter == b'm' && rest.starts_with('q') {
        return answer_searches(letter, rest);
    }
    answer_parts(letter, rest)
}

/// Answers the crowd's parts with long values, all others as usual.
fn answer_crowd_with_long_values(letter: u8, rest: &str) -> Option<Vec<u8>> {
    let id = rest.split(' ').next().unwrap_or_default();
    if letter == b'm' && id.starts_with("crowd") {
        return Some(frame(b'q', &format!("{id} good 1 -\n{}", "v".repeat(LONG_VALUE_BYTES))));
    }
    if letter == b'm' && id.starts_with('q') {
        return answer_searches(letter, rest);
    }
    answer_after_service(letter, rest)
}

fn start(program: &Path, name: &str, handler: FrameHandler, memory_mb: u64) -> MixerProcess {
    let known = searcher_list(&start_searchers(handler));
    start_before(program, name, agent_with_list(known.clone()), &known, memory_mb)
}

fn start_searchers(handler: FrameHandler) -> Vec<SocketAddr> {
    (0..SEARCHERS).map(|_| start_searcher(handler).0).collect()
}

/// Starts a mixer with its own discovery and list of searchers.
fn start_before(
    program: &Path,
    name: &str,
    discovery: SocketAddr,
    known: &str,
    memory_mb: u64,
) -> MixerProcess {
    let at = free_address();
    let limits = format!("\"limits\":{{\"sockets\":{DESCRIPTORS},\"memory_mb\":{memory_mb}}}");
    let config = mixer_config(&at.to_string(), discovery, known)
        .replace("\"limits\":{\"sockets\":256}", &limits)
        .replace("\"quota_per_s\":1000", "\"quota_per_s\":100000");
    let operator = temp_file(&format!("limits-{name}.json5"), OPERATOR);
    start_mixer(program, DESCRIPTORS, temp_file(&format!("limits-{name}.json"), &config), Some(operator), at)
}

fn measure_memory(arguments: &Arguments, limits: &[u64], clients: usize, wanted: &str) {
    println!("| form | limit MB | peak KB | usual p50 ms | p99 ms | answers | connections |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let single = CrowdForm::ALL.iter().map(std::slice::from_ref);
    for forms in single.chain([&CrowdForm::ALL[..]]) {
        let name = if forms.len() > 1 { "all".into() } else { format!("{:?}", forms[0]) };
        for limit in limits.iter().filter(|_| name.contains(wanted)) {
            let mixer = start(&arguments.mixer, "memory", answer_crowd_with_long_values, *limit);
            let usual = UsualClient::start(mixer.address, "usual", PAUSE);
            let crowd = Crowd::start(mixer.address, forms, clients, Duration::from_secs(arguments.seconds));
            thread::sleep(Duration::from_secs(arguments.seconds));
            let (answers, connections) = (usual.stop(), crowd.stop());
            println!(
                "| {name} | {limit} | {} | {:.1} | {:.1} | {:?} | {connections} |",
                mixer.peak_memory_kb(),
                answers.millis(0.5),
                answers.millis(0.99),
                answers.by_status
            );
        }
    }
}

fn pin(process: u32, core: usize) {
    let arguments = ["-pc".to_string(), core.to_string(), process.to_string()];
    let _ = Command::new("taskset").args(arguments).stdout(Stdio::null()).status();
}

/// Processes that compute on one core until they are dropped.
struct BusyProcesses(Vec<Child>);

impl BusyProcesses {
    fn start(core: usize) -> Self {
        let start = |_| {
            let child = Command::new("sh").args(["-c", "while :; do :; done"]).spawn();
            let child = child.expect("failed to start a shell");
            pin(child.id(), core);
            child
        };
        Self((0..BUSY_PROCESSES).map(start).collect())
    }
}

impl Drop for BusyProcesses {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

const WORK_TABLE: &str =
    "| form | usual p50 ms | p99 ms | answers | noise sent | processor of a core | resident KB after |\n\
    | --- | --- | --- | --- | --- | --- | --- |";

/// A usual client's times at a mixer on the shared core.
fn measure_usual(
    arguments: &Arguments,
    core: usize,
    name: &str,
    mixer: &MixerProcess,
    form: Option<NoiseForm>,
) {
    let duration = Duration::from_secs(arguments.seconds);
    pin(mixer.child.id(), core);
    let _busy = BusyProcesses::start(core);
    let _ = UsualClient::run(mixer.address, "warm", PAUSE, Duration::from_millis(500));
    let noise = form.map(|form| NoisyClient::start(mixer.address, form, duration * 2));
    let before = mixer.resource_usage().1;
    let ask = if arguments.reconnect { UsualClient::run_reconnecting } else { UsualClient::run };
    let answers = ask(mixer.address, "usual", PAUSE, duration);
    let (_, after, resident) = mixer.resource_usage();
    let sent = noise.map_or(0, NoisyClient::stop);
    println!(
        "| {name} | {:.1} | {:.1} | {:?} | {sent} | {:.2} | {resident} |",
        answers.millis(0.5),
        answers.millis(0.99),
        answers.by_status,
        (after - before) as f64 / 100.0 / duration.as_secs_f64()
    );
}

fn measure_work(arguments: &Arguments, core: usize, wanted: &str) {
    println!("{WORK_TABLE}");
    let forms = std::iter::once(None)
        .chain(NoiseForm::ALL.into_iter().filter(|form| format!("{form:?}").contains(wanted)).map(Some));
    for form in forms {
        let mixer = start(&arguments.mixer, "work", answer_after_service, 192);
        let name = form.map_or("calm".into(), |form| format!("{form:?}"));
        measure_usual(arguments, core, &name, &mixer, form);
    }
}

/// The usual client's times beside a discovery and a searcher that keep the mixer busy.
fn measure_peers(arguments: &Arguments, core: usize) {
    println!("{WORK_TABLE}");
    let program = &arguments.mixer;
    measure_usual(arguments, core, "calm", &start(program, "peers", answer_after_service, 192), None);
    for noise in DiscoveryNoise::ALL {
        let known = searcher_list(&start_searchers(answer_after_service));
        let mixer = start_before(program, "peers", noise.start(&known), &known, 192);
        measure_usual(arguments, core, &format!("{noise:?}"), &mixer, None);
    }
    for noise in SearcherNoise::ALL {
        let mut searchers = start_searchers(answer_after_service);
        searchers[0] = noise.start(SERVICE_TIME);
        let known = searcher_list(&searchers);
        let mixer = start_before(program, "peers", agent_with_list(known.clone()), &known, 192);
        measure_usual(arguments, core, &format!("{noise:?}"), &mixer, None);
    }
}

/// What clients are served that ask without a pause, by each of the programs in turns.
fn measure_share(arguments: &Arguments, beside: &[PathBuf], text_bytes: &[usize], connections: &[usize]) {
    println!("| program | text bytes | connections | scans a second | p50 ms | p99 ms | longest ms | others than 200 |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for text_bytes in text_bytes {
        for connections in connections {
            for program in std::iter::once(&arguments.mixer).chain(beside) {
                let habits = Habits { text_bytes: *text_bytes, ..Habits::with_pause(Duration::ZERO) };
                let row = measure_closed_loops(arguments, program, habits, *connections);
                println!("| {} | {text_bytes} | {connections} | {row} |", program.display());
            }
        }
    }
}

fn measure_closed_loops(arguments: &Arguments, program: &Path, habits: Habits, connections: usize) -> String {
    let habits = Habits { reconnects: arguments.reconnect, ..habits };
    let mixer = start(program, "share", answer_parts, 192);
    let start = |number| UsualClient::start_with(mixer.address, &format!("share{number}x"), habits);
    let clients: Vec<UsualClient> = (0..connections).map(start).collect();
    thread::sleep(Duration::from_secs(arguments.seconds));
    let mut all: Vec<_> = clients.into_iter().map(UsualClient::stop).collect();
    let mut answers = all.pop().expect("there is a client");
    all.iter().for_each(|others| answers.add(others));
    let served = answers.by_status.get(&200).copied().unwrap_or(0);
    format!(
        "{} | {:.2} | {:.2} | {:.1} | {}",
        served / arguments.seconds,
        answers.millis(0.5),
        answers.millis(0.99),
        answers.millis(1.0),
        answers.count() - served
    )
}

fn main() {
    let arguments = Arguments::parse();
    match &arguments.what {
        What::Memory { limits, clients, form } => measure_memory(&arguments, limits, *clients, form),
        What::Work { core, form } => measure_work(&arguments, *core, form),
        What::Share { beside, text_bytes, connections } => {
            measure_share(&arguments, beside, text_bytes, connections)
        }
        What::Peers { core } => measure_peers(&arguments, *core),
    }
}
