//! Plays a day of several mixers with faults between them, and says what came of it.

use clap::{Parser, Subcommand};
use fernglade_standins::fleet::runner::RunOptions;
use fernglade_standins::fleet::statistics::SearcherLoad;
use fernglade_standins::fleet::{runner, RunResult, RunStatistics, Scenario};
use plotters::prelude::*;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A fleet of mixers on loopback, with searchers, clients and faults by a JSON5 file and a seed. Ends with 0 where no
/// rule was broken, 1 where one was, 2 where it could not be played.
#[derive(Parser)]
#[command(version)]
struct Call {
    #[command(subcommand)]
    what: Ask,
}

#[derive(Subcommand)]
enum Ask {
    /// Read the file, say how heavy its load is, and play nothing.
    Check { day: PathBuf },
    /// Play it once for each program, and print its seconds, its sums and the rules that were broken.
    Run {
        day: PathBuf,
        /// The same seed brings the same scans, work and troubles.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The mixer to play it with.
        #[arg(long, default_value = "target/release/fernglade-mixer")]
        program: PathBuf,
        /// A second one, played after it on the same seed.
        #[arg(long)]
        against: Option<PathBuf>,
        /// What every second mixer runs in place of it: an earlier release beside today's.
        #[arg(long)]
        beside: Option<PathBuf>,
        /// The operator's file of the mixers.
        #[arg(long)]
        operator: Option<PathBuf>,
        /// Loads to play it at, in place of its own: work that comes over work that can be done.
        #[arg(long, value_delimiter = ',')]
        loads: Vec<f64>,
        /// Only the sums.
        #[arg(long)]
        brief: bool,
        /// Searchers of which each second is told: what all mixers together sent, dialled and asked there.
        #[arg(long, value_delimiter = ',')]
        watch: Vec<usize>,
        /// Play it with so many mixers in place of its own.
        #[arg(long)]
        mixers: Option<usize>,
    },
    /// Worth served against the load, without and with an operator's file in turns, as a table and a plot.
    Curve {
        day: PathBuf,
        /// Each is played at every load.
        #[arg(long, value_delimiter = ',', default_value = "1")]
        seeds: Vec<u64>,
        #[arg(long, default_value = "target/release/fernglade-mixer")]
        program: PathBuf,
        /// What is held against the program without one.
        #[arg(long)]
        operator: PathBuf,
        #[arg(long, value_delimiter = ',', default_value = "0.5,0.8,1,1.5,2,3,5")]
        loads: Vec<f64>,
        /// Where the plot is written, as SVG.
        #[arg(long)]
        plot: Option<PathBuf>,
    },
}

fn main() -> ExitCode {
    match answer(Call::parse().what) {
        Ok(broken) => ExitCode::from(u8::from(broken)),
        Err(what) => {
            eprintln!("fernglade-fleet: {what}");
            ExitCode::from(2)
        }
    }
}

fn read(path: &Path) -> Result<Scenario, String> {
    let within = |what: String| format!("{}: {what}", path.display());
    let text = std::fs::read_to_string(path).map_err(|error| within(error.to_string()))?;
    Scenario::parse(&text).map_err(|wrong| within(wrong.to_string()))
}

fn answer(ask: Ask) -> Result<bool, String> {
    match ask {
        Ask::Check { day } => {
            let day = read(&day)?;
            let (mixers, searchers) = (day.mixers.count, day.searcher_count());
            println!(
                "{mixers} mixers, {searchers} searchers, {} troubles, load {:.2}",
                day.troubles.len(),
                day.load()
            );
            Ok(false)
        }
        Ask::Curve { day, seeds, program, operator, loads, plot } => {
            let day = read(&day)?;
            curve(&day, &seeds, &program, &operator, &loads, plot.as_deref())
        }
        Ask::Run { day, seed, program, against, beside, operator, loads, brief, watch, mixers } => {
            let mut day = read(&day)?;
            day.mixers.count = mixers.unwrap_or(day.mixers.count);
            let days = if loads.is_empty() {
                vec![day]
            } else {
                loads.iter().map(|load| day.with_load(*load)).collect()
            };
            let mut broken = false;
            for day in &days {
                for program in std::iter::once(&program).chain(&against) {
                    let (operator, beside) = (operator.as_deref(), beside.as_deref());
                    let options = RunOptions {
                        program,
                        alternate_program: beside,
                        operator_file: operator,
                        controller: None,
                    };
                    let (played, _) = runner::run_with(day, seed, &options)
                        .map_err(|error| format!("{}: {error}", program.display()))?;
                    broken |= !played.violations.is_empty();
                    tell(day, seed, program, &played, brief);
                    watch.iter().for_each(|searcher| watched(&played.statistics, *searcher));
                }
            }
            Ok(broken)
        }
    }
}

/// What came to one searcher from all mixers together, second by second.
fn watched(figures: &RunStatistics, searcher: usize) {
    let none = Vec::new();
    let seconds = figures.loads.get(&searcher).unwrap_or(&none);
    let line = |of: fn(&SearcherLoad) -> usize| {
        seconds.iter().map(|load| format!("{:>4}", of(load))).collect::<Vec<_>>().join("")
    };
    println!("searcher {searcher}, by second");
    println!("  parts    {}", line(|load| load.parts));
    println!("  further  {}", line(|load| load.retries));
    println!("  dials    {}", line(|load| load.dials));
    println!("  checks   {}", line(|load| load.probes));
}

/// One load, the worth served of what was asked, without and with the operator's file: means of all seeds.
type Point = (f64, [f64; 2]);

fn curve(
    day: &Scenario,
    seeds: &[u64],
    program: &Path,
    operator: &Path,
    loads: &[f64],
    plot: Option<&Path>,
) -> Result<bool, String> {
    let (mut points, mut broken): (Vec<Point>, bool) = (Vec::new(), false);
    println!("{:>5}  {:>9}  {:>9}  {:>9}  {:>9}", "load", "share off", "share on", "worth off", "worth on");
    for load in loads {
        let day = day.with_load(*load);
        let (mut share, mut worth) = ([0.0; 2], [0.0; 2]);
        for seed in seeds {
            for (at, operator) in [None, Some(operator)].into_iter().enumerate() {
                let played = runner::run(&day, *seed, program, operator).map_err(|e| e.to_string())?;
                let whole = played.statistics.total();
                share[at] += whole.served_share() / seeds.len() as f64;
                worth[at] += whole.served / day.lasts.as_secs_f64() / seeds.len() as f64;
                played.violations.iter().for_each(|breach| println!("  {breach}"));
                broken |= !played.violations.is_empty();
            }
        }
        let ([off, on], [worth_off, worth_on]) = (share, worth);
        println!("{load:>5.2}  {off:>9.3}  {on:>9.3}  {worth_off:>9.1}  {worth_on:>9.1}");
        points.push((*load, worth));
    }
    if let Some(path) = plot {
        drawn(path, &points).map_err(|error| format!("{}: {error}", path.display()))?;
    }
    Ok(broken)
}

/// Worth served a second over the load, grey without the file and black with it.
fn drawn(path: &Path, points: &[Point]) -> Result<(), Box<dyn std::error::Error>> {
    let most_load = points.iter().map(|point| point.0).fold(1.0, f64::max);
    let most = points.iter().flat_map(|point| point.1).fold(1.0, f64::max) * 1.1;
    let area = SVGBackend::new(path, (640, 400)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..most_load, 0.0..most)?;
    let (x, y) = ("work offered over what can be done", "worth served a second");
    chart.configure_mesh().x_desc(x).y_desc(y).draw()?;
    for (at, (name, colour)) in [("off", RGBColor(150, 150, 150)), ("on", BLACK)].into_iter().enumerate() {
        let line = points.iter().map(|(load, worth)| (*load, worth[at]));
        let series = chart.draw_series(LineSeries::new(line, colour.stroke_width(2)))?;
        series.label(name).legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

fn tell(day: &Scenario, seed: u64, program: &Path, played: &RunResult, brief: bool) {
    let whole = played.statistics.total();
    println!(
        "{} seed {seed} load {:.2}: served {:.3} of {:.0}, {:.3} sent over asked, {} rules broken",
        program.display(),
        day.load(),
        whole.served_share(),
        whole.worth,
        whole.relays_per_part(),
        played.violations.len()
    );
    if !brief {
        print!("{}", played.statistics);
    }
    for breach in played.violations.iter().take(if brief { 3 } else { 40 }) {
        println!("  {breach}");
    }
}
