//! A disk that is full or fails for a moment, under the built conductor.

use fernglade_standins::child::free_address;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use test_case::test_case;

struct Conductor {
    child: Child,
    folder: PathBuf,
}

impl Drop for Conductor {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Begins a change of three mixers that nobody runs, with a system call that fails for a while.
fn begins(name: &str, call: &str, error: &str, when: &str) -> Conductor {
    let folder = std::env::temp_dir().join(format!("fernglade-disk-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = |name: &str, text: &str| {
        let path = folder.join(name);
        std::fs::write(&path, text).expect("a file");
        path.display().to_string()
    };
    let (old, new, orders) = (file("old.json5", "{}"), file("new.json5", "{ }"), file("orders.json", "{}"));
    let mixer = |number: u8| {
        let at = free_address();
        format!("{{ name: 'm{number}', zone: 'a', at: '{at}', orders: '{orders}', operator: '{old}' }}")
    };
    let program = env!("CARGO_BIN_EXE_fernglade-rollout");
    let text = format!(
        "{{ change: 'test', journal: '{}', mixers: [{}, {}, {}], old: {{ program: '{program}', operator: '{old}' }},
           new: {{ program: '{program}', operator: '{new}' }}, stages: [1, '100%'] }}",
        folder.join("journal").display(),
        mixer(0),
        mixer(1),
        mixer(2),
    );
    let plan = file("plan.json5", &text);
    let mut command = Command::new("strace");
    command.args(["-D", "-f", "-qq", "--seccomp-bpf", "-o", "/dev/null", "-e", &format!("trace={call}")]);
    command.args(["-e", &format!("inject={call}:error={error}:when={when}")]);
    command.args([program, "run", &plan]).stdin(Stdio::null()).stdout(Stdio::null());
    Conductor { child: command.spawn().expect("strace is installed"), folder }
}

/// What was to be on the disk gets there once there is room, and the conductor goes on meanwhile.
#[test_case("sync", "fdatasync", "EIO", "1..3")]
#[test_case("full", "fdatasync", "ENOSPC", "1..3")]
fn a_journal_that_can_not_be_written_for_a_moment_is_written_then(
    name: &str,
    call: &str,
    error: &str,
    when: &str,
) {
    let mut conductor = begins(name, call, error, when);
    let journal = conductor.folder.join("journal");
    let began = Instant::now();
    let written = || std::fs::read_to_string(&journal).unwrap_or_default();
    while !written().contains("begun") && began.elapsed() < Duration::from_secs(5) {
        std::thread::sleep(Duration::from_millis(20));
    }
    std::thread::sleep(Duration::from_secs(1));
    assert!(conductor.child.try_wait().expect("it was started").is_none(), "it goes on");
    let lines = written().lines().filter(|line| line.contains("begun")).count();
    assert_eq!(lines, 1, "{}", written());
}
