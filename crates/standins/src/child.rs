//! The built mixer as a child process.

use crate::client::{connect_client, try_read_response, HEALTH_REQUEST};
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Orders for one mixer: `look` may run again, `fix` never, once it may have run.
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

/// A file of this process's own in the system's folder for such.
pub fn temp_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("fernglade-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("a file can be written");
    path
}

/// An address where nobody listens yet: the loopback has a million, and no two tests share one.
pub fn free_address() -> SocketAddr {
    static COUNT: AtomicU8 = AtomicU8::new(1);
    let process = std::process::id();
    ([127, 16 + (process >> 8) as u8 % 200, process as u8, COUNT.fetch_add(1, Ordering::Relaxed)], 8443)
        .into()
}

pub struct MixerProcess {
    pub child: Child,
    pub address: SocketAddr,
    pub files: Vec<PathBuf>,
}

impl Drop for MixerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.files.iter().for_each(|path| drop(std::fs::remove_file(path)));
    }
}

/// Starts `program` with so many descriptors allowed by the system and waits until it says that it can serve.
pub fn start_mixer(
    program: &Path,
    held: usize,
    orders: PathBuf,
    operator: Option<PathBuf>,
    at: SocketAddr,
) -> MixerProcess {
    let mut shell = format!("ulimit -n {held}; exec \"$0\"");
    let mut command = Command::new("sh");
    if operator.is_some() {
        shell += " --operator \"$1\"";
    }
    command.args(["-c", &shell]).arg(program).args(&operator).env("ROUTER_CONFIG", &orders);
    let child = command.stdin(Stdio::null()).stderr(Stdio::null()).spawn().expect("a shell");
    wait_until_serving(MixerProcess {
        child,
        address: at,
        files: std::iter::once(orders).chain(operator).collect(),
    })
}

/// Starts `program` with its log going where it is told.
pub fn start_with_log(program: &Path, orders: PathBuf, at: SocketAddr, log: Stdio) -> MixerProcess {
    let mut command = Command::new(program);
    command.env("ROUTER_CONFIG", &orders).stdin(Stdio::null()).stderr(log);
    let child = command.spawn().expect("the program starts");
    wait_until_serving(MixerProcess { child, address: at, files: vec![orders] })
}

/// A system call that fails: which, with what error, and at which of its uses (`FIRST+STEP`, as strace has it).
#[derive(Clone, Copy)]
pub struct SyscallFault {
    pub call: &'static str,
    pub error: &'static str,
    pub when: &'static str,
}

impl SyscallFault {
    fn argument(&self) -> String {
        format!("inject={}:error={}:when={}", self.call, self.error, self.when)
    }
}

/// Starts `program` under strace, which has system calls of it fail. Its log goes to a file beside the orders.
pub fn start_with_syscall_faults(
    program: &Path,
    orders: PathBuf,
    at: SocketAddr,
    faults: &[SyscallFault],
) -> MixerProcess {
    let calls: Vec<&str> = faults.iter().map(|fault| fault.call).collect();
    let mut arguments = ["--seccomp-bpf", "-o", "/dev/null", "-e"].map(String::from).to_vec();
    arguments.push(format!("trace={}", calls.join(",")));
    arguments.extend(faults.iter().flat_map(|fault| ["-e".to_string(), fault.argument()]));
    start_under_strace(program, orders, at, &arguments)
}

/// Starts `program` under strace, which writes how often it made each system call to `counts` at its end.
pub fn start_counting_syscalls(
    program: &Path,
    orders: PathBuf,
    at: SocketAddr,
    counts: &Path,
) -> MixerProcess {
    let arguments = ["-c", "-U", "calls,name", "-o"].map(String::from).to_vec();
    let arguments = [arguments, vec![counts.display().to_string()]].concat();
    start_under_strace(program, orders, at, &arguments)
}

/// The program stays the direct child: the tracer detaches itself from the test.
fn start_under_strace(program: &Path, orders: PathBuf, at: SocketAddr, arguments: &[String]) -> MixerProcess {
    let log = orders.with_extension("log");
    let stderr = std::fs::File::create(&log).expect("a log can be written");
    let mut command = Command::new("strace");
    command.args(["-D", "-f", "-qq"]).args(arguments);
    command.arg(program).env("ROUTER_CONFIG", &orders).stdin(Stdio::null()).stderr(stderr);
    let child = command.spawn().expect("strace is installed (.ci/run does so)");
    wait_until_serving(MixerProcess { child, address: at, files: vec![orders, log] })
}

/// How long a mixer may take until it serves, and to answer whether it does.
const SERVES_WITHIN: Duration = Duration::from_secs(20);
const ANSWERS_WITHIN: Duration = Duration::from_secs(2);

pub fn wait_until_serving(mixer: MixerProcess) -> MixerProcess {
    let began = Instant::now();
    while began.elapsed() < SERVES_WITHIN {
        if let Ok(stream) = std::net::TcpStream::connect(mixer.address) {
            let mut asks = crate::client::client_from_stream(stream);
            let _ = asks.get_mut().set_read_timeout(Some(ANSWERS_WITHIN));
            if asks.get_mut().write_all(HEALTH_REQUEST.as_bytes()).is_ok()
                && try_read_response(&mut asks).is_ok_and(|a| a.0 == 200)
            {
                return mixer;
            }
        }
        thread::sleep(Duration::from_millis(25));
    }
    panic!("the mixer never served");
}

impl MixerProcess {
    pub fn connect(&self) -> crate::client::Client {
        connect_client(self.address)
    }

    pub fn signal(&self, which: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([which, &id]).status();
        assert!(status.expect("kill runs").success());
    }

    /// `/proc` counts its descriptors, its time on the processor in hundredths of a second, and its memory in
    /// kilobytes.
    pub fn resource_usage(&self) -> (usize, u64, u64) {
        let path = format!("/proc/{}", self.child.id());
        let read = |name: &str| std::fs::read_to_string(format!("{path}/{name}")).expect("it runs");
        let stat = read("stat");
        let times = stat.split(' ').skip(13).take(2).filter_map(|time| time.parse::<u64>().ok()).sum();
        let status = read("status");
        let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let memory = memory.and_then(|line| line.trim().split(' ').next()?.parse().ok()).unwrap_or(0);
        (std::fs::read_dir(format!("{path}/fd")).expect("it runs").count(), times, memory)
    }
}
