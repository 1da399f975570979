//! What one mixer does as one of a fleet: of three things, those that its operator wants.

use crate::asks::Asks;
use crate::purse::Purse;
use crate::shedder::Shedder;
use fernglade::{AdmissionRequest, FleetPolicy, Moment, PartResult, Span};

/// What is left out decides nothing: the module goes on by itself there.
#[derive(Clone, Debug, Default)]
pub struct AsOne {
    /// Who is turned away.
    pub shedder: Option<Shedder>,
    /// What of lost parts goes to another replica.
    pub purse: Option<Purse>,
    /// When a searcher that is down is asked.
    pub asks: Option<Asks>,
}

impl FleetPolicy for AsOne {
    fn admit(&mut self, now: Moment, knock: &AdmissionRequest) -> Option<Result<f64, f64>> {
        self.shedder.as_mut().map(|shedder| shedder.lets_in(now, knock))
    }

    fn note_result(&mut self, now: Moment, heard: &PartResult) {
        self.shedder.iter_mut().for_each(|shedder| shedder.landed(now, heard));
        self.purse.iter_mut().for_each(|purse| purse.landed(now, heard.cell, heard.outcome));
    }

    fn may_retry(&self, now: Moment, cell: u32) -> bool {
        self.purse.as_ref().is_none_or(|purse| purse.may_relay(now, cell))
    }

    fn note_retry(&mut self, now: Moment, cell: u32) {
        self.purse.iter_mut().for_each(|purse| purse.relayed(now, cell));
    }

    fn probe_delay(&mut self, first: bool) -> Option<Span> {
        self.asks.as_mut().map(|asks| if first { asks.first() } else { asks.every() })
    }
}
