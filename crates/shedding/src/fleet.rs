//! What one mixer does as one of a fleet: of three things, those that its operator wants.

use crate::asks::ProbeSchedule;
use crate::purse::FleetRetryBudget;
use crate::shedder::LoadShedder;
use fernglade::{Fleet, Heard, Knock, Moment, Span};

/// What is left out decides nothing: the module goes on by itself there.
#[derive(Clone, Debug, Default)]
pub struct FleetPolicy {
    /// Who is turned away.
    pub load_shedder: Option<LoadShedder>,
    /// What of lost parts goes to another replica.
    pub retry_budget: Option<FleetRetryBudget>,
    /// When a searcher that is down is asked.
    pub probe_schedule: Option<ProbeSchedule>,
}

impl Fleet for FleetPolicy {
    fn lets_in(&mut self, now: Moment, knock: &Knock) -> Option<Result<f64, f64>> {
        self.load_shedder.as_mut().map(|shedder| shedder.admit(now, knock))
    }

    fn landed(&mut self, now: Moment, heard: &Heard) {
        self.load_shedder.iter_mut().for_each(|shedder| shedder.record_outcome(now, heard));
        self.retry_budget.iter_mut().for_each(|purse| purse.record_outcome(now, heard.cell, heard.how));
    }

    fn may_relay(&self, now: Moment, cell: u32) -> bool {
        self.retry_budget.as_ref().is_none_or(|purse| purse.may_relay(now, cell))
    }

    fn relayed(&mut self, now: Moment, cell: u32) {
        self.retry_budget.iter_mut().for_each(|purse| purse.record_relay(now, cell));
    }

    fn asks_in(&mut self, first: bool) -> Option<Span> {
        self.probe_schedule.as_mut().map(|asks| if first { asks.first_delay() } else { asks.interval() })
    }
}
