//! The cases of the second review, by number; each ends with 1 if its rule was broken, 0 if it held, 2 if it could
//! not run.

mod backlog;
mod cut_value;
mod door;
mod lab;
mod long_texts;

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("long-texts") => long_texts::run(),
        Some("door") => door::run(),
        Some("cut-value") => cut_value::run(),
        Some("backlog") => backlog::run(),
        other => {
            eprintln!("no such case: {other:?}");
            std::process::exit(2);
        }
    }
}
