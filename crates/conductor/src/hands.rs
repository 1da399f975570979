//! What is done to mixers: as children of the conductor's own, or by the operator's commands.

use crate::paper::{replace, Paper};
use fernglade_rollout::plan::{Build, Commands, Plan};
use fernglade_rollout::spec::Side;
use rustix::process::{kill_process, test_kill_process, Pid, Signal};
use std::io;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// An operator's command starts or stops something and comes back: it does not wait for it.
const COMMAND_WITHIN: Duration = Duration::from_secs(10);

pub struct Hands<'a> {
    plan: &'a Plan,
    /// Those that this conductor started.
    children: Vec<Option<Child>>,
}

/// What a mixer is, to those who are to do something to it.
#[derive(Clone, Copy)]
pub struct Whom {
    pub mixer: usize,
    /// As it told.
    pub process: u32,
}

impl<'a> Hands<'a> {
    pub fn new(plan: &'a Plan) -> Self {
        Self { plan, children: plan.mixers.iter().map(|_| None).collect() }
    }

    fn build(&self, side: Side) -> &'a Build {
        match side {
            Side::Old => &self.plan.old,
            Side::New => &self.plan.new,
        }
    }

    pub fn stop(&mut self, whom: Whom) -> Result<(), String> {
        match &self.plan.commands {
            Some(commands) => self.by_command(&commands.stop, whom, None),
            None => signal(whom.process, Signal::TERM),
        }
    }

    pub fn kill(&mut self, whom: Whom) -> Result<(), String> {
        match &self.plan.commands {
            Some(commands) => self.by_command(&commands.kill, whom, None),
            None => signal(whom.process, Signal::KILL),
        }
    }

    pub fn start(&mut self, paper: &Paper, whom: Whom, side: Side) -> Result<(), String> {
        if let Some(commands) = &self.plan.commands {
            return self.by_command(&commands.start, whom, Some(side));
        }
        let (build, mixer) = (self.build(side), &self.plan.mixers[whom.mixer]);
        self.lay(whom.mixer, build)?;
        // One that never came up holds its address yet.
        if let Some(mut child) = self.children[whom.mixer].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let mut command = Command::new(&build.program);
        if let (Some(file), Some(_)) = (&mixer.operator, &build.operator) {
            command.arg("--operator").arg(file);
        }
        let log = paper.child_log(&mixer.name).map_err(|error| error.to_string())?;
        // A group of its own: what ends the conductor at a terminal does not end the mixers.
        command.env("ROUTER_CONFIG", &mixer.config).stdin(Stdio::null()).stdout(Stdio::null());
        let child = command.stderr(log).process_group(0).spawn();
        let child = child.map_err(|error| format!("{}: {error}", build.program.display()))?;
        self.children[whom.mixer] = Some(child);
        Ok(())
    }

    /// New settings for one that goes on running.
    pub fn hand(&mut self, whom: Whom, side: Side) -> Result<(), String> {
        if let Some(Commands { reload: Some(words), .. }) = &self.plan.commands {
            return self.by_command(words, whom, Some(side));
        }
        self.lay(whom.mixer, self.build(side))?;
        signal(whom.process, Signal::HUP)
    }

    /// Lays the settings where the mixer reads them.
    fn lay(&self, mixer: usize, build: &Build) -> Result<(), String> {
        let (Some(to), Some(from)) = (&self.plan.mixers[mixer].operator, &build.operator) else {
            return Ok(());
        };
        let bytes = std::fs::read(from).map_err(|error| format!("{}: {error}", from.display()))?;
        replace(to, &bytes).map_err(|error| format!("{}: {error}", to.display()))
    }

    fn by_command(&self, words: &[String], whom: Whom, side: Option<Side>) -> Result<(), String> {
        let mixer = &self.plan.mixers[whom.mixer];
        let build = side.map(|side| self.build(side));
        let path = |path: Option<&Path>| path.map_or(String::new(), |path| path.display().to_string());
        let values = [
            ("{name}", mixer.name.clone()),
            ("{zone}", mixer.zone.clone()),
            ("{at}", mixer.address.to_string()),
            ("{process}", whom.process.to_string()),
            ("{side}", side.map_or("", |side| if side == Side::New { "new" } else { "old" }).into()),
            ("{program}", path(build.map(|build| build.program.as_path()))),
            ("{settings}", path(build.and_then(|build| build.operator.as_deref()))),
            ("{orders}", path(Some(&mixer.config))),
            ("{operator}", path(mixer.operator.as_deref())),
        ];
        let filled =
            |word: &String| values.iter().fold(word.clone(), |word, (name, value)| word.replace(name, value));
        let words: Vec<String> = words.iter().map(filled).collect();
        let (program, arguments) = words.split_first().ok_or("a command without a word")?;
        let mut command = Command::new(program);
        command.args(arguments).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().map_err(|error| format!("{program}: {error}"))?;
        let until = Instant::now() + COMMAND_WITHIN;
        while child.try_wait().map_err(|error| error.to_string())?.is_none() {
            if Instant::now() >= until {
                let _ = child.kill();
                let _ = child.wait();
                return Err(format!("{program} has not come back within {} s", COMMAND_WITHIN.as_secs()));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        let done = child.wait_with_output().map_err(|error| error.to_string())?;
        let says = String::from_utf8_lossy(&done.stderr);
        let says = says.lines().next().unwrap_or_default();
        done.status.success().then_some(()).ok_or_else(|| format!("{program}: {}: {says:.200}", done.status))
    }

    /// Whether it has ended, and whether that was bad: known of children of ours only.
    pub fn has_ended(&mut self, mixer: usize) -> Option<bool> {
        let child = self.children[mixer].as_mut()?;
        let status = child.try_wait().ok().flatten()?;
        self.children[mixer] = None;
        Some(!status.success())
    }

    /// Nobody listens where it was: whether its process is gone too, as far as that can be told from here.
    pub fn is_gone(&self, process: u32) -> bool {
        self.plan.commands.is_some() || !is_alive(process)
    }
}

fn pid(process: u32) -> Option<Pid> {
    // Never one, never a group, never everybody.
    i32::try_from(process).ok().filter(|process| *process > 1).and_then(Pid::from_raw)
}

fn signal(process: u32, signal: Signal) -> Result<(), String> {
    let pid = pid(process).ok_or_else(|| format!("{process} is no process to signal"))?;
    match kill_process(pid, signal) {
        // It has ended meanwhile, which is what was wanted or will be seen.
        Err(rustix::io::Errno::SRCH) | Ok(()) => Ok(()),
        Err(error) => Err(io::Error::from(error).to_string()),
    }
}

/// One that has ended, and waits for its parent to hear of it, is not alive.
fn is_alive(process: u32) -> bool {
    let there = pid(process).is_some_and(|pid| test_kill_process(pid).is_ok());
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let ended = stat.rsplit_once(") ").is_some_and(|(_, rest)| rest.starts_with(['Z', 'X']));
    there && !ended
}
