//! Who is turned away: the order and the levels put together.

use crate::level::{Level, Loop, Strain};
use crate::order::Order;
use fernglade::{AdmissionRequest, Moment, PartResult, RelayOutcome, Span};
use std::collections::BTreeMap;

/// The queue that is wanted, and the width of the loop: half of what a part takes with none, which is what the limits
/// in flight aim at (one and a half times the shortest), so that the order has turned away what they would have; and
/// at the most a quarter of the time beside the work, where that is short.
fn wanted(heard: &PartResult) -> Span {
    (heard.min_latency * 0.5)
        .min(heard.target_latency.saturating_sub(heard.min_latency) * 0.25)
        .max(Span::from_micros(1))
}

/// Sheds by one level for all cells, which hears much and is quick, and by one a cell, for what is short alone.
#[derive(Clone, Debug, Default)]
pub struct Shedder {
    order: Order,
    all: Level,
    /// One a cell of the deployment.
    cells: BTreeMap<u32, Level>,
    by: Option<Loop>,
    turned_away: u64,
}

/// What a part's end says of the load where it was: nothing, where it says nothing of a queue.
pub fn strain(heard: &PartResult) -> Option<Strain> {
    // In widths, of which the first is wanted.
    let queue = heard.elapsed.saturating_sub(heard.min_latency).as_f64() / wanted(heard).as_f64();
    let told = |queue, beyond| Some(Strain { queue, beyond });
    match heard.outcome {
        RelayOutcome::Rejected => told(1.0, 1.0),
        // From half of the way down to none at all the queue says less and less of how much more could be done.
        RelayOutcome::Succeeded => told((queue - 1.0).min(1.0), (2.0 * queue - 1.0).min(0.0)),
        RelayOutcome::TimedOut | RelayOutcome::Cancelled if queue >= 2.0 => told(1.0, 0.0),
        _ => None,
    }
}

impl Shedder {
    /// What is shed of a scan that needs these cells, as a logarithm: as much as the shortest of them asks for, so
    /// that no scan's parts are half let in.
    pub fn level(&self, now: Moment, cells: impl Iterator<Item = u32>) -> f64 {
        let all = self.by.map_or(0.0, |by| self.all.shed(now, by));
        cells.map(|cell| self.at_cell(now, cell)).fold(all, f64::max)
    }

    /// What one cell sheds by itself.
    pub fn at_cell(&self, now: Moment, cell: u32) -> f64 {
        let level = self.by.zip(self.cells.get(&cell));
        level.map_or(0.0, |(by, level)| level.shed(now, by))
    }

    /// Where a scan stands among those let in, or the share of the longest pause that its client is told.
    pub fn lets_in(&mut self, now: Moment, knock: &AdmissionRequest) -> Result<f64, f64> {
        let stands = self.order.place(now, knock);
        let level = self.level(now, knock.parts.iter().map(|part| part.shard % knock.cells.max(1)));
        let share = (-level).exp();
        if stands < share {
            return Ok(stands / share);
        }
        // Later for more that is shed, and spread by the golden section, so that they do not come back as one.
        self.turned_away += 1;
        let spread = (self.turned_away as f64 * 0.618_033_988_749_895).fract();
        Err(0.5 * (1.0 - share) + 0.5 * spread)
    }

    /// Takes in how a part ended.
    pub fn landed(&mut self, now: Moment, heard: &PartResult) {
        let Some(strain) = strain(heard) else { return };
        let told = Loop { width: wanted(heard), target: heard.min_latency + wanted(heard) };
        // The most hurried traffic type has the narrowest loop, and all go by that.
        let by = *self.by.get_or_insert(told);
        let by = if told.width < by.width { told } else { Loop { target: told.target.min(by.target), ..by } };
        self.by = Some(by);
        self.all.note(now, strain, by);
        self.cells.entry(heard.cell).or_default().note(now, strain, by);
    }
}
