//! `fernglade-rollout`: a change of program or settings over a fleet of mixers, in stages, stopped where a stage does
//! worse. What is decided is in `fernglade-rollout` the library; here it is carried out.

mod ask;
mod conduct;
mod hands;
mod paper;

use clap::{Parser, Subcommand};
use conduct::End;
use fernglade_orders::digest;
use fernglade_rollout::machine::Wish;
use fernglade_rollout::plan::Plan;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A rolling change of a fleet of mixers, by an operator's plan (JSON5): docs/rollout.md.
///
/// Ends with 0 where all is new, 3 where all is old again, 4 where it is held for a person, 2 where nothing could be
/// done; check: 1 where not all is well.
#[derive(Parser)]
#[command(version)]
struct Call {
    #[command(subcommand)]
    what: Ask,
}

#[derive(Subcommand)]
enum Ask {
    /// Say what would be changed when, and touch nothing.
    Plan { plan: PathBuf },
    /// Read the plan, ask every mixer what it runs, and touch nothing.
    Check { plan: PathBuf },
    /// Begin the change, or go on with it where its journal and the mixers say that it stands.
    Run {
        plan: PathBuf,
        /// End, with 4, where a person has to look; without it, wait for `resume` or `undo`.
        #[arg(long)]
        stop_when_held: bool,
    },
    /// How it stands.
    Status { plan: PathBuf },
    /// Order nothing further; what has been ordered is finished.
    Pause { plan: PathBuf },
    /// Go on after a pause, or after a hold: an undecided step is then taken as passed, anything else tried again.
    Resume { plan: PathBuf },
    /// Back to the old, in stages.
    Undo { plan: PathBuf },
}

fn main() -> ExitCode {
    match answer(Call::parse().what) {
        Ok(code) => ExitCode::from(code),
        Err(what) => {
            eprintln!("fernglade-rollout: {what}");
            ExitCode::from(2)
        }
    }
}

/// The plan, and the digest of its text, by which a change is known again.
fn read(path: &Path) -> Result<(Plan, String), String> {
    let within = |what: String| format!("{}: {what}", path.display());
    let text = std::fs::read_to_string(path).map_err(|error| within(error.to_string()))?;
    let plan = Plan::parse(&text).map_err(|wrong| within(wrong.to_string()))?;
    Ok((plan, digest(Some(text.as_bytes()))))
}

fn answer(ask: Ask) -> Result<u8, String> {
    match ask {
        Ask::Plan { plan } => {
            let (plan, _) = read(&plan)?;
            print!("{}:\n{}", plan.change, conduct::steps(&conduct::course(&plan)?));
            Ok(0)
        }
        Ask::Check { plan } => {
            let (plan, _) = read(&plan)?;
            let (text, well) = conduct::survey(&plan, &conduct::course(&plan)?);
            print!("{text}");
            Ok(u8::from(!well))
        }
        Ask::Run { plan, stop_when_held } => {
            let (plan, digest) = read(&plan)?;
            Ok(match conduct::run(&plan, &digest, stop_when_held)? {
                End::AllNew => 0,
                End::AllOld => 3,
                End::Held => 4,
            })
        }
        Ask::Status { plan } => {
            let (plan, _) = read(&plan)?;
            let stands =
                paper::status(&plan.journal).map_err(|error| format!("no change has been run: {error}"))?;
            print!("{}: {stands}", plan.change);
            Ok(0)
        }
        Ask::Pause { plan } => wish(&plan, Wish::Pause),
        Ask::Resume { plan } => wish(&plan, Wish::Resume),
        Ask::Undo { plan } => wish(&plan, Wish::Undo),
    }
}

fn wish(path: &Path, wish: Wish) -> Result<u8, String> {
    let (plan, _) = read(path)?;
    paper::leave_wish(&plan.journal, wish).map_err(|error| error.to_string())?;
    println!("left for the running conductor; status tells when it has taken it up");
    Ok(0)
}
