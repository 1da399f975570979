//! Speaks the simulator's wire protocol on standard input and output. Every decision is made in
//! `fernglade::choice`.

mod instance;
mod process;
mod wire;

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    let (input, output) = (BufReader::new(io::stdin().lock()), BufWriter::new(io::stdout().lock()));
    match process::serve(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fernglade-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}
