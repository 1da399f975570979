//! Measures what a connection flood costs a client from another address: the time for a new connection and an
//! answer, without and during a flood, without and with admission rules of the operator file; the mixer's CPU
//! time for each connection of the flood; and its memory. Results depend on the machine: compare within one
//! run.

use clap::Parser;
use fernglade_standins::child::{free_address, mixer_config, start_mixer, temp_file, MixerProcess};
use fernglade_standins::client::{client_from_stream, connect_from, send, try_read_response, HEALTH_REQUEST};
use fernglade_standins::discovery::{agent_with_list, searcher_list};
use fernglade_standins::flood::{ConnectionFlood, FloodLimits, FloodSource};
use fernglade_standins::searcher::{answer_parts, start_searcher};
use hdrhistogram::Histogram;
use std::net::{IpAddr, Ipv4Addr};
use std::path::PathBuf;
use std::time::{Duration, Instant};

const RULES: &str =
    "{ admission: { per_address: 32, kept: 0.25, known: ['127.9.0.0/16'], retry_after: '500ms' } }";

#[derive(Parser)]
struct Arguments {
    /// The mixer program.
    #[arg(long, default_value = "target/release/fernglade-mixer")]
    mixer: PathBuf,
    /// File descriptors that the mixer may open.
    #[arg(long, default_value_t = 256)]
    held: usize,
    /// Seconds of each flood.
    #[arg(long, default_value_t = 5)]
    seconds: u64,
    /// Connections opened at most in each flood.
    #[arg(long, default_value_t = 2_000_000)]
    most: usize,
    /// Threads of the flood.
    #[arg(long, default_value_t = 2)]
    threads: usize,
    /// Open the connections from many addresses.
    #[arg(long)]
    many: bool,
}

/// Sends health requests, one after another, each on a new connection.
fn measure(
    mixer: &MixerProcess,
    time: Duration,
    connection_flood: Option<&ConnectionFlood>,
) -> (Histogram<u64>, usize, usize) {
    let mut times = Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid histogram bounds");
    let (mut served, mut refused, started) = (0, 0, Instant::now());
    while started.elapsed() < time
        && connection_flood.is_none_or(|connection_flood| !connection_flood.is_finished())
    {
        let asked = Instant::now();
        let from = IpAddr::V4(Ipv4Addr::new(127, 9, 0, 1));
        let answered = connect_from(from, mixer.address, Duration::from_secs(5)).ok().and_then(|stream| {
            let mut client = client_from_stream(stream);
            send(&mut client, HEALTH_REQUEST);
            try_read_response(&mut client).ok()
        });
        match answered {
            Some((200, ..)) => served += 1,
            _ => refused += 1,
        }
        let _ = times.record(asked.elapsed().as_micros() as u64);
        std::thread::sleep(Duration::from_millis(2));
    }
    (times, served, refused)
}

fn main() {
    let arguments = Arguments::parse();
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    let most = rustix::process::Rlimit { current: limit.maximum, ..limit };
    let _ = rustix::process::setrlimit(rustix::process::Resource::Nofile, most);
    let time = Duration::from_secs(arguments.seconds);
    println!(
        "mixer with {} descriptors, crowd of {} threads, {} s each",
        arguments.held, arguments.threads, arguments.seconds
    );
    println!("| rules | crowd | served | not served | p50 ms | p99 ms | max ms | crowd's connections | us each | memory KB |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for rules in [None, Some(RULES)] {
        let (address, _frames) = start_searcher(answer_parts);
        let (at, known) = (free_address(), searcher_list(&[address]));
        let config =
            temp_file("bench.json", &mixer_config(&at.to_string(), agent_with_list(known.clone()), &known));
        let operator = rules.map(|text| temp_file("bench.json5", text));
        let mixer = start_mixer(&arguments.mixer, arguments.held, config, operator, at);
        for flood in [false, true] {
            let from = if arguments.many {
                FloodSource::ManyAddresses
            } else {
                FloodSource::OneAddress(Ipv4Addr::new(127, 99, 0, 1))
            };
            let bounds = FloodLimits {
                threads: arguments.threads,
                max_opened: arguments.most / arguments.threads.max(1),
                max_held: 2_000,
                max_duration: time + Duration::from_secs(1),
            };
            let (_, before, _) = mixer.resource_usage();
            let connection_flood = flood.then(|| ConnectionFlood::start(mixer.address, from, bounds));
            let (times, served, refused) = measure(&mixer, time, connection_flood.as_ref());
            let opened = connection_flood.map_or(0, ConnectionFlood::stop);
            let (_, after, memory) = mixer.resource_usage();
            let ms = |micros: u64| micros as f64 / 1000.0;
            let each = (after - before) as f64 * 10_000.0 / opened.max(1) as f64;
            let each = if flood { format!("{each:.1}") } else { "-".into() };
            println!(
                "| {} | {} | {served} | {refused} | {:.2} | {:.2} | {:.2} | {opened} | {each} | {memory} |",
                if rules.is_some() { "operator's" } else { "none" },
                if flood { "flood" } else { "calm" },
                ms(times.value_at_quantile(0.5)),
                ms(times.value_at_quantile(0.99)),
                ms(times.max()),
            );
        }
    }
}
