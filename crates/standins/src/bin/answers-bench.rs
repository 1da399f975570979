//! Measures what the checks of answers cost: two builds of the mixer serve the same scans by turns, with
//! searchers that answer soundly, several parts in one write, or with more than belongs to the answer. Results
//! depend on the machine: compare within one run.

use clap::Parser;
use fernglade_standins::child::{free_address, mixer_config, start_mixer, temp_file, MixerProcess};
use fernglade_standins::client::{read_response, scan_request, send};
use fernglade_standins::discovery::{agent_with_list, searcher_list};
use fernglade_standins::documents::AnswerMode;
use fernglade_standins::node::{start_node, NodeMode};
use fernglade_standins::searcher::{
    answer_all_parts, answer_parts, answer_twice, answer_with_noise, start_searcher, FrameHandler,
};
use hdrhistogram::Histogram;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

#[derive(Parser)]
struct Arguments {
    /// The mixer program to compare with.
    #[arg(long)]
    before: PathBuf,
    /// The mixer program.
    #[arg(long, default_value = "target/release/fernglade-mixer")]
    mixer: PathBuf,
    /// Scans of each build in each situation.
    #[arg(long, default_value_t = 4_000)]
    scans: usize,
}

const SEARCHERS: usize = 6;
/// The builds take turns after so many scans.
const SCANS_IN_A_TURN: usize = 250;
/// One answer in so many brings more than belongs to it.
const SURPLUS_INTERVAL: usize = 10;
/// The unit of processor times in `/proc`.
const MICROS_PER_TICK: u64 = 10_000;

const OPERATOR: &str =
    "{ dialect: { nodes: ['s*'], indices: { cues: { searches: 'look', customer: 'acme' } } } }";

fn is_surplus_due() -> bool {
    static ANSWERS: AtomicUsize = AtomicUsize::new(0);
    ANSWERS.fetch_add(1, Ordering::Relaxed) % SURPLUS_INTERVAL == SURPLUS_INTERVAL - 1
}

fn noise_at_times(letter: u8, rest: &str) -> Option<Vec<u8>> {
    let is_due = letter == b'm' && is_surplus_due();
    if is_due {
        answer_with_noise(letter, rest)
    } else {
        answer_parts(letter, rest)
    }
}

fn copy_at_times(letter: u8, rest: &str) -> Option<Vec<u8>> {
    let is_due = letter == b'm' && is_surplus_due();
    if is_due {
        answer_twice(letter, rest)
    } else {
        answer_parts(letter, rest)
    }
}

/// How searchers answer, and how they are asked.
enum Situation {
    Searchers { handler: FrameHandler, parts_per_call: usize },
    Nodes,
}

/// One build in one situation.
struct Run {
    mixer: MixerProcess,
    served: usize,
    times: Histogram<u64>,
}

impl Run {
    fn new(program: &Path, name: &str, searchers: &[SocketAddr], situation: &Situation) -> Self {
        let (at, known) = (free_address(), searcher_list(searchers));
        let mut config = mixer_config(&at.to_string(), agent_with_list(known.clone()), &known);
        let mut operator = None;
        match situation {
            Situation::Searchers { parts_per_call, .. } => {
                config = config.replace("\"per_call\":1", &format!("\"per_call\":{parts_per_call}"));
            }
            Situation::Nodes => operator = Some(temp_file(&format!("answers-{name}.json5"), OPERATOR)),
        }
        let config = temp_file(&format!("answers-{name}.json"), &config);
        let mixer = start_mixer(program, 256, config, operator, at);
        let times = Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid histogram bounds");
        Self { mixer, served: 0, times }
    }

    /// Sends scans one after another, so that their times do not depend on each other.
    fn take_turn(&mut self, scans: std::ops::Range<usize>, situation: &Situation) {
        let mut client = self.mixer.connect();
        for scan in scans {
            let request = match situation {
                Situation::Searchers { .. } => scan_request(&format!("a{scan}"), &[0, 1, 2, 3]),
                Situation::Nodes => "GET /cues/_search HTTP/1.1\r\n\r\n".into(),
            };
            let started = Instant::now();
            send(&mut client, request);
            self.served += usize::from(read_response(&mut client).0 == 200);
            let _ = self.times.record(started.elapsed().as_micros() as u64);
        }
    }

    /// The processor time that the mixer has used so far, in microseconds.
    fn processor_us(&self) -> u64 {
        let stat =
            std::fs::read_to_string(format!("/proc/{}/stat", self.mixer.child.id())).unwrap_or_default();
        let fields = stat.rsplit(") ").next().unwrap_or_default().split(' ');
        // The user and system times are the 14th and 15th fields, the 12th and 13th after the name.
        fields.skip(11).take(2).filter_map(|ticks| ticks.parse::<u64>().ok()).sum::<u64>() * MICROS_PER_TICK
    }
}

fn measure(arguments: &Arguments, name: &str, situation: &Situation) {
    let searchers: Vec<SocketAddr> = (0..SEARCHERS)
        .map(|_| match situation {
            Situation::Searchers { handler, .. } => start_searcher(*handler).0,
            Situation::Nodes => start_node(NodeMode::Answers(AnswerMode::Valid)).0,
        })
        .collect();
    let builds = [("before", &arguments.before), ("now", &arguments.mixer)];
    let mut runs = builds.map(|(build, program)| Run::new(program, build, &searchers, situation));
    for turn in 0..arguments.scans.div_ceil(SCANS_IN_A_TURN) {
        let first = turn * SCANS_IN_A_TURN;
        let scans = first..(first + SCANS_IN_A_TURN).min(arguments.scans);
        runs.iter_mut().for_each(|run| run.take_turn(scans.clone(), situation));
    }
    for ((build, _), run) in builds.iter().zip(&runs) {
        let (p50, p99) = (run.times.value_at_quantile(0.5), run.times.value_at_quantile(0.99));
        let processor = run.processor_us() / arguments.scans as u64;
        println!(
            "| {name} | {build} | {} of {} | {p50} | {p99} | {processor} |",
            run.served, arguments.scans
        );
    }
}

fn main() {
    let arguments = Arguments::parse();
    println!("| answers | build | served | p50 us | p99 us | processor us a scan |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let one_by_one = |handler| Situation::Searchers { handler, parts_per_call: 1 };
    measure(&arguments, "sound", &one_by_one(answer_parts));
    let four = Situation::Searchers { handler: answer_all_parts, parts_per_call: 4 };
    measure(&arguments, "four in one write", &four);
    measure(&arguments, "one in ten with noise behind", &one_by_one(noise_at_times));
    measure(&arguments, "one in ten twice", &one_by_one(copy_at_times));
    measure(&arguments, "sound, over HTTP", &Situation::Nodes);
}
