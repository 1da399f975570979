//! The policies that a mixer shares with its fleet; the operator enables each of them.

use crate::load_shedder::LoadShedder;
use crate::probe_schedule::ProbeSchedule;
use crate::retry_budget::FleetRetryBudget;
use fernglade::{AdmissionRequest, FleetPolicy, Moment, PartResult, Span};

/// A policy that is `None` is disabled: the decision module then uses its own.
#[derive(Clone, Debug, Default)]
pub struct FleetLimits {
    /// Which scans are rejected under overload.
    pub load_shedder: Option<LoadShedder>,
    /// Which lost parts are relayed to another replica.
    pub retry_budget: Option<FleetRetryBudget>,
    /// When a searcher that is down is probed.
    pub probe_schedule: Option<ProbeSchedule>,
}

impl FleetPolicy for FleetLimits {
    fn admit(&mut self, now: Moment, scan: &AdmissionRequest) -> Option<Result<f64, f64>> {
        self.load_shedder.as_mut().map(|shedder| shedder.admit(now, scan))
    }

    fn note_result(&mut self, now: Moment, result: &PartResult) {
        self.load_shedder.iter_mut().for_each(|shedder| shedder.record_outcome(now, result));
        self.retry_budget
            .iter_mut()
            .for_each(|budget| budget.record_outcome(now, result.cell, result.outcome));
    }

    fn may_retry(&self, now: Moment, cell: u32) -> bool {
        self.retry_budget.as_ref().is_none_or(|budget| budget.may_relay(now, cell))
    }

    fn note_retry(&mut self, now: Moment, cell: u32) {
        self.retry_budget.iter_mut().for_each(|budget| budget.record_relay(now, cell));
    }

    fn probe_delay(&mut self, first: bool) -> Option<Span> {
        self.probe_schedule
            .as_mut()
            .map(|schedule| if first { schedule.first_delay() } else { schedule.interval() })
    }
}
