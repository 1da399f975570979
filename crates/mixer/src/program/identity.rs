//! Who this mixer is, for those who may read its figures: its program, the settings in force, this life of it.

use super::Orders;
use crate::protocol::figures::{bounds, OfType, Tells};
use crate::routing::{Metrics, TrafficTypeCounts};
use fernglade_orders::{digest, Operator};
use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::time::{SystemTime, UNIX_EPOCH};

#[derive(Default)]
pub struct Identity {
    operator: Operator,
    program: String,
    incarnation: String,
    settings: RefCell<String>,
    refused: Cell<bool>,
}

impl Identity {
    /// Nothing is read where nobody may ask.
    pub fn new(orders: &Orders) -> Self {
        let tells = orders.operator.tells_figures();
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
        self.operator.tells_figures_to(from)
    }

    /// The operator's file was read again: its digest is told once all of it is in force, and not before.
    pub fn read_again(&self, orders: &Orders) -> bool {
        let in_force = orders.operator.differs_by_house_rules_only(&self.operator);
        self.refused.set(!in_force);
        if in_force {
            self.settings.replace(orders.settings.clone());
        }
        in_force
    }

    pub fn refused(&self) {
        self.refused.set(true);
    }

    pub fn tells(&self, figures: &Metrics) -> Tells {
        let of_type = |(name, line): &(String, TrafficTypeCounts)| OfType {
            name: name.clone(),
            taken: line.taken,
            served: line.served,
            refused: line.refused,
            failed: line.failed,
            open: line.open,
            within: bounds().map(|bound| line.latency.count_between(0, bound)).collect(),
            seconds: line.latency.mean() * line.served as f64 / 1e6,
        };
        Tells {
            version: env!("CARGO_PKG_VERSION").into(),
            program: self.program.clone(),
            settings: self.settings.borrow().clone(),
            incarnation: self.incarnation.clone(),
            process: std::process::id(),
            ready: figures.ready,
            refused_settings: self.refused.get(),
            memory: resident(),
            listed: figures.searchers_listed,
            relays: figures.relays,
            types: figures.traffic_types.iter().map(of_type).collect(),
        }
    }
}

/// Pages resident stand second in the file; nothing where it can't be read.
fn resident() -> u64 {
    let read = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = read.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0);
    pages * rustix::param::page_size() as u64
}
