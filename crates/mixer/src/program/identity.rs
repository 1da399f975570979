//! Who this mixer is, for those who may read its figures: its program, the settings in force, this life of it.

use super::Orders;
use crate::protocol::metrics::{bucket_bounds_micros, MixerMetrics, TrafficTypeMetrics};
use crate::routing::{Metrics, TrafficTypeCounts};
use fernglade_orders::{digest, OperatorConfig};
use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::time::{SystemTime, UNIX_EPOCH};

#[derive(Default)]
pub struct Identity {
    operator: OperatorConfig,
    program: String,
    incarnation: String,
    settings: RefCell<String>,
    refused: Cell<bool>,
}

impl Identity {
    /// Nothing is read where nobody may ask.
    pub fn new(orders: &Orders) -> Self {
        let tells = orders.operator.exposes_metrics();
        // The file that this process began from, whatever stands at its path by now.
        let program = tells.then(|| std::fs::read("/proc/self/exe").ok()).flatten();
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        Self {
            operator: orders.operator.clone(),
            program: digest(program.as_deref()),
            incarnation: format!("{since}-{}", std::process::id()),
            settings: RefCell::new(orders.settings.clone()),
            refused: Cell::new(false),
        }
    }

    pub fn tells_to(&self, from: IpAddr) -> bool {
        self.operator.may_read_metrics(from)
    }

    /// The operator's file was read again: its digest is told once all of it is in force, and not before.
    pub fn read_again(&self, orders: &Orders) -> bool {
        let in_force = orders.operator.differs_only_in_admission(&self.operator);
        self.refused.set(!in_force);
        if in_force {
            self.settings.replace(orders.settings.clone());
        }
        in_force
    }

    pub fn refused(&self) {
        self.refused.set(true);
    }

    pub fn tells(&self, figures: &Metrics) -> MixerMetrics {
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
            ready: figures.ready,
            settings_refused: self.refused.get(),
            resident_bytes: resident(),
            searchers_ready: figures.searchers_listed,
            relays: figures.relays,
            traffic_types: figures.traffic_types.iter().map(of_type).collect(),
        }
    }
}

/// Pages resident stand second in the file; nothing where it can't be read.
fn resident() -> u64 {
    let read = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = read.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0);
    pages * rustix::param::page_size() as u64
}
