//! What this mixer reports of itself in its metrics: its program, the settings in force, and this incarnation
//! of the process.

use super::Config;
use crate::protocol::figures::{bounds, OfType, Tells};
use crate::routing::{Figures, Line};
use fernglade_orders::{digest, Operator};
use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::time::{SystemTime, UNIX_EPOCH};

/// What identifies this process in its metrics.
#[derive(Default)]
pub struct Identity {
    operator: Operator,
    program: String,
    incarnation: String,
    settings: RefCell<String>,
    settings_refused: Cell<bool>,
}

impl Identity {
    /// Reads the program's file only if metrics are enabled for anyone.
    pub fn new(config: &Config) -> Self {
        let enabled = config.operator.tells_figures();
        // The executable of this process, even if its path has been replaced since.
        let program = enabled.then(|| std::fs::read("/proc/self/exe").ok()).flatten();
        let started_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        Self {
            operator: config.operator.clone(),
            program: digest(program.as_deref()),
            incarnation: format!("{started_ms}-{}", std::process::id()),
            settings: RefCell::new(config.settings.clone()),
            settings_refused: Cell::new(false),
        }
    }

    /// Whether metrics may be sent to this address.
    pub fn may_read_metrics(&self, from: IpAddr) -> bool {
        self.operator.tells_figures_to(from)
    }

    /// Takes up a reloaded operator's file and returns whether all of it is in force. Its digest is reported
    /// only then.
    pub fn reloaded(&self, config: &Config) -> bool {
        let in_force = config.operator.differs_by_house_rules_only(&self.operator);
        self.settings_refused.set(!in_force);
        if in_force {
            self.settings.replace(config.settings.clone());
        }
        in_force
    }

    /// Records that a reloaded configuration was refused.
    pub fn reload_failed(&self) {
        self.settings_refused.set(true);
    }

    /// The metrics to be reported, from the figures of the routing state.
    pub fn metrics(&self, figures: &Figures) -> Tells {
        let of_type = |(name, line): &(String, Line)| OfType {
            name: name.clone(),
            taken: line.taken,
            served: line.served,
            refused: line.refused,
            failed: line.failed,
            open: line.open,
            within: bounds().map(|bound| line.took.count_between(0, bound)).collect(),
            seconds: line.took.mean() * line.served as f64 / 1e6,
        };
        Tells {
            version: env!("CARGO_PKG_VERSION").into(),
            program: self.program.clone(),
            settings: self.settings.borrow().clone(),
            incarnation: self.incarnation.clone(),
            process: std::process::id(),
            ready: figures.ready,
            refused_settings: self.settings_refused.get(),
            memory: resident_bytes(),
            listed: figures.listed,
            relays: figures.relays,
            types: figures.types.iter().map(of_type).collect(),
        }
    }
}

/// Resident memory from the second field of statm, in pages; 0 if it cannot be read.
fn resident_bytes() -> u64 {
    let read = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = read.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0);
    pages * rustix::param::page_size() as u64
}
