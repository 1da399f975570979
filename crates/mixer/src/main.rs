//! A fernglade mixer on sockets; every decision is in `fernglade::choice`.

mod program;
mod protocol;
mod routing;
mod transport;

use clap::Parser;
use program::Config;
use std::path::PathBuf;
use std::process::ExitCode;

/// One mixer of a sharded search service, on sockets. The platform's orders come from the file that ROUTER_CONFIG
/// names.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// The operator's own file (JSON5), read again on SIGHUP; without it all that it could switch on is off.
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
