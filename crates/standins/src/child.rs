//! Runs the built mixer as a child process.

use crate::client::{connect_client, try_read_response, HEALTH_REQUEST};
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The configuration of one mixer with two traffic types: `look` is idempotent, `fix` must not be sent again
/// once it may have run.
pub fn mixer_config(listen: &str, discovery: SocketAddr, known: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"7","limits":{{"sockets":256}},
        "known":{known},"settings":{{"tick":5000,"fleet_size":1,"areas":["a"],
        "services":[{{"name":"look","aim":2000000,"give_up":4000000,"repeat":"pure"}},
        {{"name":"fix","aim":2000000,"give_up":4000000,"repeat":"side_effect"}}],
        "customers":[{{"name":"acme","quota_per_s":1000}}],
        "family_info":{{"cells":1,"width":1,"slabs":4,"per_call":1}},
        "limits":{{"attempts_cap":3,"cancel":true,"may_probe":true,"dial_timeout":250000,"multiplex":32}}}}}}"#
    )
}

/// Writes a file to the system's temporary directory under a name that is unique to this process.
pub fn temp_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("fernglade-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("failed to write a temporary file");
    path
}

/// A loopback address on which nothing listens. Derived from the process id and a counter, so that tests
/// running at the same time get different ones.
pub fn free_address() -> SocketAddr {
    static COUNT: AtomicU8 = AtomicU8::new(1);
    let process = std::process::id();
    ([127, 16 + (process >> 8) as u8 % 200, process as u8, COUNT.fetch_add(1, Ordering::Relaxed)], 8443)
        .into()
}

/// A running mixer. Dropping it kills the process and removes its files.
pub struct MixerProcess {
    pub child: Child,
    /// Where it accepts clients.
    pub address: SocketAddr,
    /// Files to remove when it is dropped.
    pub files: Vec<PathBuf>,
}

impl Drop for MixerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.files.iter().for_each(|path| drop(std::fs::remove_file(path)));
    }
}

/// Starts `program` with at most `max_descriptors` open files and waits until it reports that it is ready.
pub fn start_mixer(
    program: &Path,
    max_descriptors: usize,
    config: PathBuf,
    operator: Option<PathBuf>,
    at: SocketAddr,
) -> MixerProcess {
    let mut shell = format!("ulimit -n {max_descriptors}; exec \"$0\"");
    let mut command = Command::new("sh");
    if operator.is_some() {
        shell += " --operator \"$1\"";
    }
    command.args(["-c", &shell]).arg(program).args(&operator).env("ROUTER_CONFIG", &config);
    let child = command.stdin(Stdio::null()).stderr(Stdio::null()).spawn().expect("failed to start a shell");
    wait_until_serving(MixerProcess {
        child,
        address: at,
        files: std::iter::once(config).chain(operator).collect(),
    })
}

/// Starts `program` with its log written to `log`.
pub fn start_with_log(program: &Path, config: PathBuf, at: SocketAddr, log: Stdio) -> MixerProcess {
    let mut command = Command::new(program);
    command.env("ROUTER_CONFIG", &config).stdin(Stdio::null()).stderr(log);
    let child = command.spawn().expect("failed to start the program");
    wait_until_serving(MixerProcess { child, address: at, files: vec![config] })
}

/// A system call that strace makes fail: its name, the error, and at which invocations (`FIRST+STEP` in
/// strace syntax).
#[derive(Clone, Copy)]
pub struct SyscallFault {
    pub call: &'static str,
    pub error: &'static str,
    pub when: &'static str,
}

impl SyscallFault {
    fn strace_argument(&self) -> String {
        format!("inject={}:error={}:when={}", self.call, self.error, self.when)
    }
}

/// Starts `program` under strace with injected system call errors. Its log goes to a file next to the
/// configuration.
pub fn start_with_syscall_faults(
    program: &Path,
    config: PathBuf,
    at: SocketAddr,
    faults: &[SyscallFault],
) -> MixerProcess {
    let calls: Vec<&str> = faults.iter().map(|fault| fault.call).collect();
    let mut arguments = ["--seccomp-bpf", "-o", "/dev/null", "-e"].map(String::from).to_vec();
    arguments.push(format!("trace={}", calls.join(",")));
    arguments.extend(faults.iter().flat_map(|fault| ["-e".to_string(), fault.strace_argument()]));
    start_under_strace(program, config, at, &arguments)
}

/// Starts `program` under strace, which writes the number of each system call to `counts` when the program
/// exits.
pub fn start_counting_syscalls(
    program: &Path,
    config: PathBuf,
    at: SocketAddr,
    counts: &Path,
) -> MixerProcess {
    let arguments = ["-c", "-U", "calls,name", "-o"].map(String::from).to_vec();
    let arguments = [arguments, vec![counts.display().to_string()]].concat();
    start_under_strace(program, config, at, &arguments)
}

/// The program stays the direct child of this process: `-D` runs the tracer as a detached grandchild.
fn start_under_strace(program: &Path, config: PathBuf, at: SocketAddr, arguments: &[String]) -> MixerProcess {
    let log = config.with_extension("log");
    let stderr = std::fs::File::create(&log).expect("failed to create the log file");
    let mut command = Command::new("strace");
    command.args(["-D", "-f", "-qq"]).args(arguments);
    command.arg(program).env("ROUTER_CONFIG", &config).stdin(Stdio::null()).stderr(stderr);
    let child = command.spawn().expect("failed to start strace; .ci/run installs it");
    wait_until_serving(MixerProcess { child, address: at, files: vec![config, log] })
}

/// How long a mixer may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// How long it may take to answer one health request.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(2);

/// Polls the health endpoint until the mixer reports that it is ready; panics after [`READY_TIMEOUT`].
pub fn wait_until_serving(mixer: MixerProcess) -> MixerProcess {
    let started = Instant::now();
    while started.elapsed() < READY_TIMEOUT {
        if let Ok(stream) = std::net::TcpStream::connect(mixer.address) {
            let mut client = crate::client::client_from_stream(stream);
            let _ = client.get_mut().set_read_timeout(Some(HEALTH_TIMEOUT));
            if client.get_mut().write_all(HEALTH_REQUEST.as_bytes()).is_ok()
                && try_read_response(&mut client).is_ok_and(|a| a.0 == 200)
            {
                return mixer;
            }
        }
        thread::sleep(Duration::from_millis(25));
    }
    panic!("the mixer did not become ready in time");
}

impl MixerProcess {
    /// Opens a client connection to it.
    pub fn connect(&self) -> crate::client::Client {
        connect_client(self.address)
    }

    /// Sends it a signal by running `kill`, e.g. with `-TERM`.
    pub fn signal(&self, option: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([option, &id]).status();
        assert!(status.expect("failed to run kill").success());
    }

    /// Reads from `/proc` its number of open descriptors, its CPU time in hundredths of a second and its
    /// resident memory in kilobytes.
    pub fn resource_usage(&self) -> (usize, u64, u64) {
        let path = format!("/proc/{}", self.child.id());
        let read =
            |name: &str| std::fs::read_to_string(format!("{path}/{name}")).expect("the mixer is running");
        let stat = read("stat");
        let times = stat.split(' ').skip(13).take(2).filter_map(|time| time.parse::<u64>().ok()).sum();
        let status = read("status");
        let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let memory = memory.and_then(|line| line.trim().split(' ').next()?.parse().ok()).unwrap_or(0);
        (std::fs::read_dir(format!("{path}/fd")).expect("the mixer is running").count(), times, memory)
    }

    /// The most memory that was ever resident, in kilobytes.
    pub fn peak_memory_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the mixer is running");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        peak.and_then(|line| line.trim().split(' ').next()?.parse().ok()).expect("the kernel reports a peak")
    }
}
