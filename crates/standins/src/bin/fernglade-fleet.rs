//! Plays a day of several mixers with faults between them, and says what came of it.

use clap::{Parser, Subcommand};
use fernglade_standins::fleet::{play, Day, Played};
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
        /// The operator's file of the mixers.
        #[arg(long)]
        operator: Option<PathBuf>,
        /// Loads to play it at, in place of its own: work that comes over work that can be done.
        #[arg(long, value_delimiter = ',')]
        loads: Vec<f64>,
        /// Only the sums.
        #[arg(long)]
        brief: bool,
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

fn read(path: &Path) -> Result<Day, String> {
    let within = |what: String| format!("{}: {what}", path.display());
    let text = std::fs::read_to_string(path).map_err(|error| within(error.to_string()))?;
    Day::read(&text).map_err(|wrong| within(wrong.to_string()))
}

fn answer(ask: Ask) -> Result<bool, String> {
    match ask {
        Ask::Check { day } => {
            let day = read(&day)?;
            let (mixers, searchers) = (day.mixers.count, day.posts());
            println!(
                "{mixers} mixers, {searchers} searchers, {} troubles, load {:.2}",
                day.troubles.len(),
                day.load()
            );
            Ok(false)
        }
        Ask::Run { day, seed, program, against, operator, loads, brief } => {
            let day = read(&day)?;
            let days = if loads.is_empty() {
                vec![day]
            } else {
                loads.iter().map(|load| day.at_load(*load)).collect()
            };
            let mut broken = false;
            for day in &days {
                for program in std::iter::once(&program).chain(&against) {
                    let played = play::play(day, seed, program, operator.as_deref());
                    let played = played.map_err(|error| format!("{}: {error}", program.display()))?;
                    broken |= !played.breaches.is_empty();
                    tell(day, seed, program, &played, brief);
                }
            }
            Ok(broken)
        }
    }
}

fn tell(day: &Day, seed: u64, program: &Path, played: &Played, brief: bool) {
    let whole = played.figures.whole();
    println!(
        "{} seed {seed} load {:.2}: served {:.3} of {:.0}, {:.3} sent over asked, {} rules broken",
        program.display(),
        day.load(),
        whole.share(),
        whole.worth,
        whole.sent_over_asked(),
        played.breaches.len()
    );
    if !brief {
        print!("{}", played.figures);
    }
    for breach in played.breaches.iter().take(if brief { 3 } else { 40 }) {
        println!("  {breach}");
    }
}
