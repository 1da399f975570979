//! A fernglade mixer on sockets; every decision is in `fernglade::choice`.

mod program;
mod protocol;
mod routing;
mod transport;

use program::Orders;
use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match Orders::read(|name| std::env::var(name).ok()).and_then(program::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("fernglade-mixer: {what}");
            ExitCode::FAILURE
        }
    }
}
