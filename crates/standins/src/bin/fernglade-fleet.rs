//! Runs a scenario of several mixers with faults on their links, and prints its statistics and violations.

use clap::{Parser, Subcommand};
use fernglade_standins::fleet::runner::RunOptions;
use fernglade_standins::fleet::statistics::SearcherLoad;
use fernglade_standins::fleet::{runner, RunResult, RunStatistics, Scenario};
use plotters::prelude::*;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Runs a fleet of mixers on loopback, with searchers, clients and faults given by a JSON5 file and a seed.
/// Exits with 0 if no rule was broken, 1 if one was, 2 if the scenario could not be run.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Check the file and print its size and load, without running it.
    Check { day: PathBuf },
    /// Run it once for each program, and print the statistics by second, the totals and the violations.
    Run {
        day: PathBuf,
        /// The same seed gives the same scans, work and faults.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The mixer program.
        #[arg(long, default_value = "target/release/fernglade-mixer")]
        program: PathBuf,
        /// A second program, run after it with the same seed.
        #[arg(long)]
        against: Option<PathBuf>,
        /// The program of every second mixer, e.g. an earlier release.
        #[arg(long)]
        beside: Option<PathBuf>,
        /// The operator file of the mixers.
        #[arg(long)]
        operator: Option<PathBuf>,
        /// Loads to run it at in place of its own: offered work over capacity.
        #[arg(long, value_delimiter = ',')]
        loads: Vec<f64>,
        /// Print only the totals and the first violations.
        #[arg(long)]
        brief: bool,
        /// Searchers whose load is printed by second: parts, connections and probes from all mixers.
        #[arg(long, value_delimiter = ',')]
        watch: Vec<usize>,
        /// Number of mixers in place of its own.
        #[arg(long)]
        mixers: Option<usize>,
    },
    /// Print and plot the credit earned against the load, without and with an operator file.
    Curve {
        day: PathBuf,
        /// Seeds; each is run at every load.
        #[arg(long, value_delimiter = ',', default_value = "1")]
        seeds: Vec<u64>,
        #[arg(long, default_value = "target/release/fernglade-mixer")]
        program: PathBuf,
        /// The operator file to compare with none.
        #[arg(long)]
        operator: PathBuf,
        #[arg(long, value_delimiter = ',', default_value = "0.5,0.8,1,1.5,2,3,5")]
        loads: Vec<f64>,
        /// Write the plot to this file, as SVG.
        #[arg(long)]
        plot: Option<PathBuf>,
    },
}

fn main() -> ExitCode {
    match execute(Arguments::parse().command) {
        Ok(broken) => ExitCode::from(u8::from(broken)),
        Err(what) => {
            eprintln!("fernglade-fleet: {what}");
            ExitCode::from(2)
        }
    }
}

/// Reads a scenario file.
fn read_scenario(path: &Path) -> Result<Scenario, String> {
    let with_path = |what: String| format!("{}: {what}", path.display());
    let text = std::fs::read_to_string(path).map_err(|error| with_path(error.to_string()))?;
    Scenario::parse(&text).map_err(|error| with_path(error.to_string()))
}

fn execute(command: Command) -> Result<bool, String> {
    match command {
        Command::Check { day } => {
            let scenario = read_scenario(&day)?;
            let (mixers, searchers) = (scenario.mixers.count, scenario.searcher_count());
            println!(
                "{mixers} mixers, {searchers} searchers, {} troubles, load {:.2}",
                scenario.troubles.len(),
                scenario.load()
            );
            Ok(false)
        }
        Command::Curve { day, seeds, program, operator, loads, plot } => {
            let scenario = read_scenario(&day)?;
            print_curve(&scenario, &seeds, &program, &operator, &loads, plot.as_deref())
        }
        Command::Run { day, seed, program, against, beside, operator, loads, brief, watch, mixers } => {
            let mut scenario = read_scenario(&day)?;
            scenario.mixers.count = mixers.unwrap_or(scenario.mixers.count);
            let scenarios = if loads.is_empty() {
                vec![scenario]
            } else {
                loads.iter().map(|load| scenario.with_load(*load)).collect()
            };
            let mut broken = false;
            for scenario in &scenarios {
                for program in std::iter::once(&program).chain(&against) {
                    let (operator, beside) = (operator.as_deref(), beside.as_deref());
                    let options = RunOptions {
                        program,
                        alternate_program: beside,
                        operator_file: operator,
                        controller: None,
                    };
                    let (result, _) = runner::run_with(scenario, seed, &options)
                        .map_err(|error| format!("{}: {error}", program.display()))?;
                    broken |= !result.violations.is_empty();
                    print_result(scenario, seed, program, &result, brief);
                    watch.iter().for_each(|searcher| print_searcher(&result.statistics, *searcher));
                }
            }
            Ok(broken)
        }
    }
}

/// Prints what one searcher received from all mixers, by second.
fn print_searcher(statistics: &RunStatistics, searcher: usize) {
    let none = Vec::new();
    let seconds = statistics.loads.get(&searcher).unwrap_or(&none);
    let line = |of: fn(&SearcherLoad) -> usize| {
        seconds.iter().map(|load| format!("{:>4}", of(load))).collect::<Vec<_>>().join("")
    };
    println!("searcher {searcher}, by second");
    println!("  parts    {}", line(|load| load.parts));
    println!("  further  {}", line(|load| load.retries));
    println!("  dials    {}", line(|load| load.dials));
    println!("  checks   {}", line(|load| load.probes));
}

/// A load, and the credit earned per second without and with the operator file, as means over all seeds.
type Point = (f64, [f64; 2]);

/// Runs the scenario at each load and prints the curve.
fn print_curve(
    scenario: &Scenario,
    seeds: &[u64],
    program: &Path,
    operator: &Path,
    loads: &[f64],
    plot: Option<&Path>,
) -> Result<bool, String> {
    let (mut points, mut broken): (Vec<Point>, bool) = (Vec::new(), false);
    println!("{:>5}  {:>9}  {:>9}  {:>9}  {:>9}", "load", "share off", "share on", "worth off", "worth on");
    for load in loads {
        let scenario = scenario.with_load(*load);
        let (mut share, mut worth) = ([0.0; 2], [0.0; 2]);
        for seed in seeds {
            for (at, operator) in [None, Some(operator)].into_iter().enumerate() {
                let result = runner::run(&scenario, *seed, program, operator).map_err(|e| e.to_string())?;
                let total = result.statistics.total();
                share[at] += total.served_share() / seeds.len() as f64;
                worth[at] += total.served / scenario.lasts.as_secs_f64() / seeds.len() as f64;
                result.violations.iter().for_each(|violation| println!("  {violation}"));
                broken |= !result.violations.is_empty();
            }
        }
        let ([off, on], [worth_off, worth_on]) = (share, worth);
        println!("{load:>5.2}  {off:>9.3}  {on:>9.3}  {worth_off:>9.1}  {worth_on:>9.1}");
        points.push((*load, worth));
    }
    if let Some(path) = plot {
        draw_plot(path, &points).map_err(|error| format!("{}: {error}", path.display()))?;
    }
    Ok(broken)
}

/// Plots the credit earned per second over the load, grey without the operator file and black with it.
fn draw_plot(path: &Path, points: &[Point]) -> Result<(), Box<dyn std::error::Error>> {
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

/// Prints the result of a run.
fn print_result(scenario: &Scenario, seed: u64, program: &Path, result: &RunResult, brief: bool) {
    let total = result.statistics.total();
    println!(
        "{} seed {seed} load {:.2}: served {:.3} of {:.0}, {:.3} sent over asked, {} rules broken",
        program.display(),
        scenario.load(),
        total.served_share(),
        total.worth,
        total.relays_per_part(),
        result.violations.len()
    );
    if !brief {
        print!("{}", result.statistics);
    }
    for violation in result.violations.iter().take(if brief { 3 } else { 40 }) {
        println!("  {violation}");
    }
}
