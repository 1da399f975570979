//! The built conductor with a disk that is full or fails for a short time.

use fernglade_standins::child::free_address;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use test_case::test_case;

struct Conductor {
    child: Child,
    directory: PathBuf,
}

impl Drop for Conductor {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Starts a rollout of three mixers that do not run, with a system call that fails for a while.
fn start_rollout(name: &str, call: &str, error: &str, when: &str) -> Conductor {
    let directory = std::env::temp_dir().join(format!("fernglade-disk-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a temporary directory");
    let file = |name: &str, text: &str| {
        let path = directory.join(name);
        std::fs::write(&path, text).expect("a file");
        path.display().to_string()
    };
    let (old, new, config) = (file("old.json5", "{}"), file("new.json5", "{ }"), file("orders.json", "{}"));
    let mixer = |number: u8| {
        let at = free_address();
        format!("{{ name: 'm{number}', zone: 'a', at: '{at}', orders: '{config}', operator: '{old}' }}")
    };
    let program = env!("CARGO_BIN_EXE_fernglade-rollout");
    let text = format!(
        "{{ change: 'test', journal: '{}', mixers: [{}, {}, {}], old: {{ program: '{program}', operator: '{old}' }},
           new: {{ program: '{program}', operator: '{new}' }}, stages: [1, '100%'] }}",
        directory.join("journal").display(),
        mixer(0),
        mixer(1),
        mixer(2),
    );
    let plan = file("plan.json5", &text);
    let mut command = Command::new("strace");
    command.args(["-D", "-f", "-qq", "--seccomp-bpf", "-o", "/dev/null", "-e", &format!("trace={call}")]);
    command.args(["-e", &format!("inject={call}:error={error}:when={when}")]);
    command.args([program, "run", &plan]).stdin(Stdio::null()).stdout(Stdio::null());
    Conductor { child: command.spawn().expect("strace is installed"), directory }
}

/// A record is written once the disk accepts it, and the conductor does not exit in the meantime.
#[test_case("sync", "fdatasync", "EIO", "1..3")]
#[test_case("full", "fdatasync", "ENOSPC", "1..3")]
fn a_failing_write_to_the_journal_is_retried_until_it_succeeds(
    name: &str,
    call: &str,
    error: &str,
    when: &str,
) {
    let mut conductor = start_rollout(name, call, error, when);
    let journal = conductor.directory.join("journal");
    let started = Instant::now();
    let journal_text = || std::fs::read_to_string(&journal).unwrap_or_default();
    while !journal_text().contains("begun") && started.elapsed() < Duration::from_secs(5) {
        std::thread::sleep(Duration::from_millis(20));
    }
    std::thread::sleep(Duration::from_secs(1));
    assert!(
        conductor.child.try_wait().expect("the conductor was started").is_none(),
        "the conductor still runs"
    );
    let lines = journal_text().lines().filter(|line| line.contains("begun")).count();
    assert_eq!(lines, 1, "{}", journal_text());
}
