//! `fernglade-rollout`: rolls a new program or new settings out over a fleet of mixers in stages, and rolls
//! back when a stage performs worse. The library crate `fernglade-rollout` makes the decisions; this program
//! carries them out.

mod control_loop;
mod journal_store;
mod metrics_client;
mod mixer_control;

use clap::{Parser, Subcommand};
use control_loop::Outcome;
use fernglade_orders::digest;
use fernglade_rollout::machine::Wish;
use fernglade_rollout::plan::Plan;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Rolls a change out over a fleet of mixers, following an operator's plan (JSON5). See docs/rollout.md.
///
/// Exit codes: 0 if all mixers run the new build, 3 if all were rolled back to the old build, 4 if the
/// rollout is held for an operator, 2 on an error. For check: 1 if any mixer is not as expected.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Action,
}

#[derive(Subcommand)]
enum Action {
    /// Print the steps of the plan without changing anything.
    Plan { plan: PathBuf },
    /// Read the plan and check what every mixer runs, without changing anything.
    Check { plan: PathBuf },
    /// Start the rollout, or continue it from the state in the journal and of the mixers.
    Run {
        plan: PathBuf,
        /// Exit with 4 when the rollout is held for an operator, instead of waiting for `resume` or `undo`.
        #[arg(long)]
        stop_when_held: bool,
    },
    /// Show the state of the rollout.
    Status { plan: PathBuf },
    /// Give no further orders. Orders already given are completed.
    Pause { plan: PathBuf },
    /// Continue after a pause or a hold. A step held as inconclusive is taken as passed; anything else is
    /// tried again.
    Resume { plan: PathBuf },
    /// Roll all mixers back to the old build, in stages.
    Undo { plan: PathBuf },
}

fn main() -> ExitCode {
    match execute(Cli::parse().command) {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("fernglade-rollout: {error}");
            ExitCode::from(2)
        }
    }
}

/// Reads a plan. Also returns the digest of its text, which identifies the rollout in the journal.
fn read_plan(path: &Path) -> Result<(Plan, String), String> {
    let with_path = |error: String| format!("{}: {error}", path.display());
    let text = std::fs::read_to_string(path).map_err(|error| with_path(error.to_string()))?;
    let plan = Plan::parse(&text).map_err(|error| with_path(error.to_string()))?;
    Ok((plan, digest(Some(text.as_bytes()))))
}

/// Runs a subcommand and returns the exit code.
fn execute(action: Action) -> Result<u8, String> {
    match action {
        Action::Plan { plan } => {
            let (plan, _) = read_plan(&plan)?;
            print!("{}:\n{}", plan.change, control_loop::describe_steps(&control_loop::load_spec(&plan)?));
            Ok(0)
        }
        Action::Check { plan } => {
            let (plan, _) = read_plan(&plan)?;
            let (text, healthy) = control_loop::check_mixers(&plan, &control_loop::load_spec(&plan)?);
            print!("{text}");
            Ok(u8::from(!healthy))
        }
        Action::Run { plan, stop_when_held } => {
            let (plan, digest) = read_plan(&plan)?;
            Ok(match control_loop::run(&plan, &digest, stop_when_held)? {
                Outcome::AllNew => 0,
                Outcome::AllOld => 3,
                Outcome::Held => 4,
            })
        }
        Action::Status { plan } => {
            let (plan, _) = read_plan(&plan)?;
            let status = journal_store::read_status(&plan.journal)
                .map_err(|error| format!("no rollout has been started: {error}"))?;
            print!("{}: {status}", plan.change);
            Ok(0)
        }
        Action::Pause { plan } => request(&plan, Wish::Pause),
        Action::Resume { plan } => request(&plan, Wish::Resume),
        Action::Undo { plan } => request(&plan, Wish::Undo),
    }
}

/// Leaves a command for the running conductor.
fn request(path: &Path, wish: Wish) -> Result<u8, String> {
    let (plan, _) = read_plan(path)?;
    journal_store::submit_wish(&plan.journal, wish).map_err(|error| error.to_string())?;
    println!("left for the running conductor; status tells when it has taken it up");
    Ok(0)
}
