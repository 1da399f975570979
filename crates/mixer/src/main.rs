//! Runs a fernglade mixer on real sockets. All routing decisions are made in `fernglade::choice`.

mod program;
mod protocol;
mod routing;
mod transport;

use cap::Cap;
use clap::Parser;
use program::Config;
use std::alloc::System;
use std::path::PathBuf;
use std::process::ExitCode;

/// Counts what the whole program allocates, in the place where it does. It enforces no limit itself.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// One mixer of a sharded search service. Its configuration comes from the file that ROUTER_CONFIG names.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// Operator's file (JSON5), reloaded on SIGHUP. Without it every optional feature is off.
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .target(env_logger::Target::Pipe(Box::new(program::LogWriter::default())))
        .init();
    let config = Config::read(arguments.operator.as_deref(), |name| std::env::var(name).ok());
    match config.and_then(program::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fernglade-mixer: {error}");
            ExitCode::FAILURE
        }
    }
}
