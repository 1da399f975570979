//! The mixer processes of a fleet: starts, suspends, stops and kills them.

use super::runner::RunOptions;
use super::scenario::{Idempotency, Scenario};
use crate::child::temp_file;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// The mixer processes, by index. Dropping it kills them and removes their files.
pub struct MixerProcesses {
    program: PathBuf,
    alternate_program: Option<PathBuf>,
    operator_file: Option<PathBuf>,
    /// A copy of the operator file for each mixer, if a controller is to replace it.
    operator_copies: Vec<PathBuf>,
    configs: Vec<PathBuf>,
    children: Vec<Option<Child>>,
    files: Vec<PathBuf>,
}

impl Drop for MixerProcesses {
    fn drop(&mut self) {
        self.kill_all();
        self.files.iter().for_each(|path| drop(std::fs::remove_file(path)));
    }
}

fn micros(time: Duration) -> u64 {
    time.as_micros() as u64
}

/// The configuration of a mixer.
pub fn mixer_config(
    scenario: &Scenario,
    mixer: usize,
    seed: u64,
    listen: SocketAddr,
    discovery: SocketAddr,
) -> Value {
    let service = |traffic_type: &super::scenario::TrafficType| {
        let repeat = match traffic_type.repeat {
            Idempotency::Idempotent => "pure",
            Idempotency::ByKey => "token",
            Idempotency::NonIdempotent => "side_effect",
        };
        json!({"name": traffic_type.name, "aim": micros(traffic_type.quoted), "give_up": micros(traffic_type.abandon), "points": traffic_type.credit,
               "late_worth": 0.1, "repeat": repeat, "window": micros(traffic_type.window)})
    };
    let by_type =
        |of: fn(&super::scenario::TrafficType) -> f64| scenario.types.iter().map(of).collect::<Vec<f64>>();
    let (searchers, budget) = (&scenario.searchers, &scenario.budget);
    json!({
        "name": format!("n{mixer}"), "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": format!("{:016x}", seed ^ (mixer as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        "limits": {"sockets": 1024},
        "known": {"generation": 0, "reset": true, "instances": []},
        "settings": {
            "tick": 1000, "fleet_size": scenario.mixers.told.unwrap_or(scenario.mixers.count as f64), "areas": ["a"], "zone": 0,
            "worth_by": "request", "over_share_worth": 1.0,
            "services": scenario.types.iter().map(service).collect::<Vec<_>>(),
            "customers": [{"name": "acme", "quota_per_s": 1e6}],
            "family_info": {"cells": searchers.cells, "width": 1, "slabs": scenario.shard_count(), "per_call": 1,
                "floor_by_class": by_type(|traffic_type| traffic_type.floor), "complete_from": by_type(|_| 1.0), "fetch_parts": by_type(|_| 0.0)},
            "limits": {"attempts_cap": 3, "cancel": true, "may_probe": true, "may_duplicate": true,
                "dial_timeout": 250_000, "multiplex": 32, "max_open": 4_000, "retry_after": true,
                "max_retry_after": 500_000},
            "invariants": {"cold_from": searchers.cold_from, "cold": micros(searchers.cold),
                "fall_multiple": searchers.fall_multiple, "fall": micros(searchers.fall),
                "drain_grace": micros(searchers.drain_grace), "further_ratio": budget.share,
                "free_resends": budget.free, "resend_span": micros(budget.window)}
        }
    })
}

impl MixerProcesses {
    /// Prepares `count` mixers without starting any.
    pub fn new(options: &RunOptions, count: usize) -> Self {
        let (operator, copied) = (options.operator_file, options.controller.is_some());
        let children = std::iter::repeat_with(|| None).take(count).collect();
        let text = operator.filter(|_| copied).and_then(|path| std::fs::read_to_string(path).ok());
        let mut files = Vec::new();
        for mixer in 0..text.as_ref().map_or(0, |_| count) {
            static COUNT: AtomicUsize = AtomicUsize::new(0);
            let name = format!("operator-{mixer}-{}.json5", COUNT.fetch_add(1, Ordering::Relaxed));
            files.push(temp_file(&name, text.as_deref().unwrap_or_default()));
        }
        Self {
            program: options.program.into(),
            alternate_program: options.alternate_program.map(Into::into),
            operator_file: operator.map(Into::into),
            operator_copies: files.clone(),
            configs: vec![PathBuf::new(); count],
            children,
            files,
        }
    }

    /// The configuration file of each mixer.
    pub fn configs(&self) -> Vec<PathBuf> {
        self.configs.clone()
    }

    /// The copies of the operator file, by mixer.
    pub fn operator_copies(&self) -> Vec<PathBuf> {
        self.operator_copies.clone()
    }

    /// Starts a mixer with a configuration. Every second one runs the alternate program, if there is one.
    pub fn start(&mut self, mixer: usize, config: &Value) -> io::Result<()> {
        let path = temp_file(
            &format!("fleet-{mixer}-{}.json", config["listen"].as_str().unwrap_or("")),
            &config.to_string(),
        );
        let program = self.alternate_program.as_ref().filter(|_| mixer % 2 == 1).unwrap_or(&self.program);
        let mut command = Command::new(program);
        command
            .env_clear()
            .env("ROUTER_CONFIG", &path)
            .env("RUST_LOG", "warn")
            .stdin(Stdio::null())
            .stdout(Stdio::null());
        if let Some(file) = self.operator_copies.get(mixer).or(self.operator_file.as_ref()) {
            command.arg("--operator").arg(file);
        }
        self.configs[mixer].clone_from(&path);
        self.children[mixer] = Some(command.stderr(Stdio::null()).spawn()?);
        if !self.files.contains(&path) {
            self.files.push(path);
        }
        Ok(())
    }

    /// Kills all mixers.
    pub fn kill_all(&mut self) {
        (0..self.children.len()).for_each(|mixer| self.kill(mixer));
    }

    /// Kills a mixer and waits for its exit.
    pub fn kill(&mut self, mixer: usize) {
        if let Some(mut child) = self.children[mixer].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to a running mixer.
    pub fn signal(&self, mixer: usize, signal: Signal) {
        if let Some(child) = &self.children[mixer] {
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// The mixers that have exited since the last call.
    pub fn take_exited(&mut self) -> Vec<usize> {
        let has_exited =
            |child: &mut Option<Child>| child.as_mut().is_some_and(|it| !matches!(it.try_wait(), Ok(None)));
        let exited: Vec<usize> =
            (0..self.children.len()).filter(|at| has_exited(&mut self.children[*at])).collect();
        exited.iter().for_each(|at| self.children[*at] = None);
        exited
    }
}
