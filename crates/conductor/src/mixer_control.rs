//! Starts, stops and reloads mixers, as child processes of the conductor or with the operator's commands.

use crate::journal_store::{replace_file, JournalStore};
use fernglade_rollout::plan::{Build, Commands, Plan};
use fernglade_rollout::spec::Side;
use rustix::process::{kill_process, test_kill_process, Pid, Signal};
use std::io;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Limit for an operator's command, which should only initiate the action and return without waiting for its
/// result.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(10);

/// Carries out orders to mixers.
pub struct MixerControl<'a> {
    plan: &'a Plan,
    /// The child process of each mixer that this conductor has started.
    children: Vec<Option<Child>>,
}

/// The mixer and the process that an order is meant for.
#[derive(Clone, Copy)]
pub struct Target {
    pub mixer: usize,
    /// As the mixer last reported it.
    pub pid: u32,
}

impl<'a> MixerControl<'a> {
    /// Controls the mixers of the plan. None of them is a child process yet.
    pub fn new(plan: &'a Plan) -> Self {
        Self { plan, children: plan.mixers.iter().map(|_| None).collect() }
    }

    fn build(&self, side: Side) -> &'a Build {
        match side {
            Side::Old => &self.plan.old,
            Side::New => &self.plan.new,
        }
    }

    /// Asks a mixer to shut down gracefully.
    pub fn stop(&mut self, target: Target) -> Result<(), String> {
        match &self.plan.commands {
            Some(commands) => self.run_command(&commands.stop, target, None),
            None => signal(target.pid, Signal::TERM),
        }
    }

    /// Kills a mixer.
    pub fn kill(&mut self, target: Target) -> Result<(), String> {
        match &self.plan.commands {
            Some(commands) => self.run_command(&commands.kill, target, None),
            None => signal(target.pid, Signal::KILL),
        }
    }

    /// Starts a mixer with the build of the side.
    pub fn start(&mut self, journal: &JournalStore, target: Target, side: Side) -> Result<(), String> {
        if let Some(commands) = &self.plan.commands {
            return self.run_command(&commands.start, target, Some(side));
        }
        let (build, mixer) = (self.build(side), &self.plan.mixers[target.mixer]);
        self.install_settings(target.mixer, build)?;
        // A child that never became ready may still hold the address.
        if let Some(mut child) = self.children[target.mixer].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let mut command = Command::new(&build.program);
        if let (Some(file), Some(_)) = (&mixer.operator, &build.operator) {
            command.arg("--operator").arg(file);
        }
        let log = journal.child_log(&mixer.name).map_err(|error| error.to_string())?;
        // Its own process group, so that a signal from the terminal to the conductor does not stop the
        // mixers.
        command.env("ROUTER_CONFIG", &mixer.config).stdin(Stdio::null()).stdout(Stdio::null());
        let child = command.stderr(log).process_group(0).spawn();
        let child = child.map_err(|error| format!("{}: {error}", build.program.display()))?;
        self.children[target.mixer] = Some(child);
        Ok(())
    }

    /// Installs new settings and has the running mixer reload them.
    pub fn reload(&mut self, target: Target, side: Side) -> Result<(), String> {
        if let Some(Commands { reload: Some(words), .. }) = &self.plan.commands {
            return self.run_command(words, target, Some(side));
        }
        self.install_settings(target.mixer, self.build(side))?;
        signal(target.pid, Signal::HUP)
    }

    /// Copies the settings of the build to the file that the mixer reads.
    fn install_settings(&self, mixer: usize, build: &Build) -> Result<(), String> {
        let (Some(to), Some(from)) = (&self.plan.mixers[mixer].operator, &build.operator) else {
            return Ok(());
        };
        let bytes = std::fs::read(from).map_err(|error| format!("{}: {error}", from.display()))?;
        replace_file(to, &bytes).map_err(|error| format!("{}: {error}", to.display()))
    }

    /// Runs an operator's command with its placeholders replaced, and waits for it to return.
    fn run_command(&self, words: &[String], target: Target, side: Option<Side>) -> Result<(), String> {
        let mixer = &self.plan.mixers[target.mixer];
        let build = side.map(|side| self.build(side));
        let path = |path: Option<&Path>| path.map_or(String::new(), |path| path.display().to_string());
        let values = [
            ("{name}", mixer.name.clone()),
            ("{zone}", mixer.zone.clone()),
            ("{at}", mixer.address.to_string()),
            ("{process}", target.pid.to_string()),
            ("{side}", side.map_or("", |side| if side == Side::New { "new" } else { "old" }).into()),
            ("{program}", path(build.map(|build| build.program.as_path()))),
            ("{settings}", path(build.and_then(|build| build.operator.as_deref()))),
            ("{orders}", path(Some(&mixer.config))),
            ("{operator}", path(mixer.operator.as_deref())),
        ];
        let substitute =
            |word: &String| values.iter().fold(word.clone(), |word, (name, value)| word.replace(name, value));
        let words: Vec<String> = words.iter().map(substitute).collect();
        let (program, arguments) = words.split_first().ok_or("a command without a word")?;
        let mut command = Command::new(program);
        command.args(arguments).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().map_err(|error| format!("{program}: {error}"))?;
        let deadline = Instant::now() + COMMAND_TIMEOUT;
        while child.try_wait().map_err(|error| error.to_string())?.is_none() {
            if Instant::now() >= deadline {
                let _ = child.kill();
                let _ = child.wait();
                return Err(format!("{program} has not come back within {} s", COMMAND_TIMEOUT.as_secs()));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        let output = child.wait_with_output().map_err(|error| error.to_string())?;
        let message = String::from_utf8_lossy(&output.stderr);
        let message = message.lines().next().unwrap_or_default();
        output
            .status
            .success()
            .then_some(())
            .ok_or_else(|| format!("{program}: {}: {message:.200}", output.status))
    }

    /// Whether a child process has exited since the last call, and if so whether it failed. Nothing is known
    /// of mixers that are not children of the conductor.
    pub fn poll_exit(&mut self, mixer: usize) -> Option<bool> {
        let child = self.children[mixer].as_mut()?;
        let status = child.try_wait().ok().flatten()?;
        self.children[mixer] = None;
        Some(!status.success())
    }

    /// Whether the process of a mixer that no longer listens has exited. With operator's commands the mixer
    /// may run on another machine, so this is assumed.
    pub fn has_exited(&self, pid: u32) -> bool {
        self.plan.commands.is_some() || !is_alive(pid)
    }
}

/// The process ID, if it is safe to signal.
fn to_pid(pid: u32) -> Option<Pid> {
    // Never init, a process group or all processes.
    i32::try_from(pid).ok().filter(|pid| *pid > 1).and_then(Pid::from_raw)
}

fn signal(pid: u32, signal: Signal) -> Result<(), String> {
    let pid = to_pid(pid).ok_or_else(|| format!("{pid} is no process to signal"))?;
    match kill_process(pid, signal) {
        // It has exited in the meantime: this was intended, or is detected by the next scrape.
        Err(rustix::io::Errno::SRCH) | Ok(()) => Ok(()),
        Err(error) => Err(io::Error::from(error).to_string()),
    }
}

/// Whether the process runs. A zombie does not.
fn is_alive(pid: u32) -> bool {
    let exists = to_pid(pid).is_some_and(|pid| test_kill_process(pid).is_ok());
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let is_zombie = stat.rsplit_once(") ").is_some_and(|(_, rest)| rest.starts_with(['Z', 'X']));
    exists && !is_zombie
}
