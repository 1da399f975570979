//! What a crowd at the door costs a client that comes from elsewhere: its times for a new connection and an answer,
//! calm and in a flood, without and with the operator's rules; the processor's time for each connection of the
//! crowd; and the memory before and after. Figures are of this machine: compare within one run.

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
struct Call {
    /// The built mixer.
    #[arg(long, default_value = "target/release/fernglade-mixer")]
    mixer: PathBuf,
    /// Descriptors that the mixer may hold.
    #[arg(long, default_value_t = 256)]
    held: usize,
    /// Seconds of each flood.
    #[arg(long, default_value_t = 5)]
    seconds: u64,
    /// Connections that the crowd opens at the most in each flood.
    #[arg(long, default_value_t = 2_000_000)]
    most: usize,
    /// Threads of the crowd.
    #[arg(long, default_value_t = 2)]
    threads: usize,
    /// The crowd comes from many addresses.
    #[arg(long)]
    many: bool,
}

/// Asks on a new connection each time, and does so again at once.
fn measure(
    mixer: &MixerProcess,
    time: Duration,
    crowd: Option<&ConnectionFlood>,
) -> (Histogram<u64>, usize, usize) {
    let mut times = Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds in order");
    let (mut served, mut refused, began) = (0, 0, Instant::now());
    while began.elapsed() < time && crowd.is_none_or(|crowd| !crowd.is_finished()) {
        let asked = Instant::now();
        let from = IpAddr::V4(Ipv4Addr::new(127, 9, 0, 1));
        let answered = connect_from(from, mixer.address, Duration::from_secs(5)).ok().and_then(|stream| {
            let mut asks = client_from_stream(stream);
            send(&mut asks, HEALTH_REQUEST);
            try_read_response(&mut asks).ok()
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
    let call = Call::parse();
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    let most = rustix::process::Rlimit { current: limit.maximum, ..limit };
    let _ = rustix::process::setrlimit(rustix::process::Resource::Nofile, most);
    let time = Duration::from_secs(call.seconds);
    println!(
        "mixer with {} descriptors, crowd of {} threads, {} s each",
        call.held, call.threads, call.seconds
    );
    println!("| rules | crowd | served | not served | p50 ms | p99 ms | max ms | crowd's connections | us each | memory KB |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for rules in [None, Some(RULES)] {
        let (address, _told) = start_searcher(answer_parts);
        let (at, known) = (free_address(), searcher_list(&[address]));
        let orders =
            temp_file("bench.json", &mixer_config(&at.to_string(), agent_with_list(known.clone()), &known));
        let operator = rules.map(|text| temp_file("bench.json5", text));
        let mixer = start_mixer(&call.mixer, call.held, orders, operator, at);
        for flood in [false, true] {
            let from = if call.many {
                FloodSource::ManyAddresses
            } else {
                FloodSource::OneAddress(Ipv4Addr::new(127, 99, 0, 1))
            };
            let bounds = FloodLimits {
                threads: call.threads,
                max_opened: call.most / call.threads.max(1),
                max_held: 2_000,
                max_duration: time + Duration::from_secs(1),
            };
            let (_, before, _) = mixer.resource_usage();
            let crowd = flood.then(|| ConnectionFlood::start(mixer.address, from, bounds));
            let (times, served, refused) = measure(&mixer, time, crowd.as_ref());
            let opened = crowd.map_or(0, ConnectionFlood::stop);
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
