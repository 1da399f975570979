//! What this mixer reports of itself in its metrics: its program, the settings in force, and this incarnation
//! of the process.

use super::Config;
use crate::protocol::metrics::{bucket_bounds_micros, LimitWaits, MixerMetrics, TrafficTypeMetrics};
use crate::routing::{Metrics, TrafficTypeCounts};
use fernglade_admission::{Limit, WaitRecord};
use fernglade_orders::{digest, OperatorConfig};
use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::time::{SystemTime, UNIX_EPOCH};

/// What identifies this process in its metrics.
#[derive(Default)]
pub struct Identity {
    operator: OperatorConfig,
    program: String,
    incarnation: String,
    settings: RefCell<String>,
    settings_refused: Cell<bool>,
}

impl Identity {
    /// Reads the program's file only if metrics are enabled for anyone.
    pub fn new(config: &Config) -> Self {
        let enabled = config.operator.exposes_metrics();
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
        self.operator.may_read_metrics(from)
    }

    /// Takes up a reloaded operator's file and returns whether all of it is in force. Its digest is reported
    /// only then.
    pub fn reloaded(&self, config: &Config) -> bool {
        let in_force = config.operator.differs_only_in_admission(&self.operator);
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

    /// The metrics to be reported, from those of the routing state and the waits for limits.
    pub fn metrics(&self, metrics: &Metrics, waits: &WaitRecord) -> MixerMetrics {
        let of_type = |(name, line): &(String, TrafficTypeCounts)| TrafficTypeMetrics {
            name: name.clone(),
            taken: line.taken,
            served: line.served,
            refused: line.refused,
            failed: line.failed,
            open: line.open,
            cumulative_counts: bucket_bounds_micros()
                .map(|bound| line.latency.count_between(0, bound))
                .collect(),
            total_seconds: line.latency.mean() * line.served as f64 / 1e6,
        };
        MixerMetrics {
            version: env!("CARGO_PKG_VERSION").into(),
            program_digest: self.program.clone(),
            settings_digest: self.settings.borrow().clone(),
            incarnation: self.incarnation.clone(),
            process_id: std::process::id(),
            ready: metrics.ready,
            settings_refused: self.settings_refused.get(),
            resident_bytes: resident_bytes(),
            allocated_bytes: metrics.allocated_bytes,
            allocatable_bytes: metrics.allocatable_bytes,
            memory_refusals: vec![
                ("unfinished request", metrics.memory_refusals.unfinished_requests),
                ("unread answer", metrics.memory_refusals.unread_answers),
                ("scan", metrics.memory_refusals.scans),
                ("value", metrics.memory_refusals.values),
            ],
            limit_waits: Limit::ALL.iter().map(|limit| limit_waits(*limit, waits)).collect(),
            repeated_ids: metrics.repeated_ids,
            searchers_ready: metrics.searchers_listed,
            relays: metrics.relays,
            traffic_types: metrics.traffic_types.iter().map(of_type).collect(),
        }
    }
}

fn limit_waits(limit: Limit, record: &WaitRecord) -> LimitWaits {
    let waits = record.of(limit);
    LimitWaits {
        limit: limit.name(),
        count: waits.count,
        total_seconds: waits.total.micros() as f64 / 1e6,
        longest_seconds: waits.longest.micros() as f64 / 1e6,
    }
}

/// Resident memory from the second field of statm, in pages; 0 if it cannot be read.
pub fn resident_bytes() -> u64 {
    let read = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = read.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0);
    pages * rustix::param::page_size() as u64
}
