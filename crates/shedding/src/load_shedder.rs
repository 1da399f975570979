//! Which scans are rejected: combines the priority order and the shed controllers.

use crate::priority_order::PriorityOrder;
use crate::shed_controller::{ControlParameters, OverloadSignal, ShedController};
use fernglade::{AdmissionRequest, Moment, PartResult, RelayOutcome, Span};
use std::collections::BTreeMap;

/// The target of the queue, which is also the latency unit of the loop: half of a part's latency without a
/// queue. The limits on in-flight parts aim at one and a half times the minimum latency, so that scans are
/// shed in order of priority before those limits reject any. At most a quarter of the time that the target
/// latency leaves above the minimum latency, where that is short.
fn queue_target(result: &PartResult) -> Span {
    (result.min_latency * 0.5)
        .min(result.target_latency.saturating_sub(result.min_latency) * 0.25)
        .max(Span::from_micros(1))
}

/// Sheds by one controller for all cells, which sees many parts and reacts quickly, and by one for each cell,
/// for cells that are overloaded alone.
#[derive(Clone, Debug, Default)]
pub struct LoadShedder {
    priority_order: PriorityOrder,
    overall: ShedController,
    /// One for each cell of the deployment.
    cells: BTreeMap<u32, ShedController>,
    parameters: Option<ControlParameters>,
    rejected: u64,
}

/// The signal in the result of a part; `None` if it says nothing about a queue.
pub fn overload_signal(result: &PartResult) -> Option<OverloadSignal> {
    // In latency units, the first of which is the target.
    let queue_units =
        result.elapsed.saturating_sub(result.min_latency).as_f64() / queue_target(result).as_f64();
    let signal = |queue_excess, saturation| Some(OverloadSignal { queue_excess, saturation });
    match result.outcome {
        RelayOutcome::Rejected => signal(1.0, 1.0),
        // From half of the target down to an empty queue, the queue says less and less about how much more
        // work fits.
        RelayOutcome::Succeeded => signal((queue_units - 1.0).min(1.0), (2.0 * queue_units - 1.0).min(0.0)),
        RelayOutcome::TimedOut | RelayOutcome::Cancelled if queue_units >= 2.0 => signal(1.0, 0.0),
        _ => None,
    }
}

impl LoadShedder {
    /// What is shed of a scan that needs these cells, as a logarithm: as much as the most overloaded one
    /// requires, so that no scan is admitted for only some of its parts.
    pub fn shed_level(&self, now: Moment, cells: impl Iterator<Item = u32>) -> f64 {
        let all = self.parameters.map_or(0.0, |parameters| self.overall.shed_level(now, parameters));
        cells.map(|cell| self.cell_shed_level(now, cell)).fold(all, f64::max)
    }

    /// What is shed for one cell alone.
    pub fn cell_shed_level(&self, now: Moment, cell: u32) -> f64 {
        let level = self.parameters.zip(self.cells.get(&cell));
        level.map_or(0.0, |(parameters, level)| level.shed_level(now, parameters))
    }

    /// `Ok` with the position of a scan among the admitted ones, or `Err` with the pause before a retry, as a
    /// share of the longest one.
    pub fn admit(&mut self, now: Moment, scan: &AdmissionRequest) -> Result<f64, f64> {
        let position = self.priority_order.position(now, scan);
        let level = self.shed_level(now, scan.parts.iter().map(|part| part.shard % scan.cells.max(1)));
        let share = (-level).exp();
        if position < share {
            return Ok(position / share);
        }
        // The pause grows with what is shed, and is spread by the golden section, so that clients do not all
        // retry at once.
        self.rejected += 1;
        let spread = (self.rejected as f64 * 0.618_033_988_749_895).fract();
        Err(0.5 * (1.0 - share) + 0.5 * spread)
    }

    /// Records the result of a part.
    pub fn record_outcome(&mut self, now: Moment, result: &PartResult) {
        let Some(signal) = overload_signal(result) else { return };
        let observed = ControlParameters {
            latency_unit: queue_target(result),
            target_latency: result.min_latency + queue_target(result),
        };
        // The traffic type with the lowest minimum latency has the smallest latency unit, and all types use
        // that.
        let parameters = *self.parameters.get_or_insert(observed);
        let parameters = if observed.latency_unit < parameters.latency_unit {
            observed
        } else {
            ControlParameters {
                target_latency: observed.target_latency.min(parameters.target_latency),
                ..parameters
            }
        };
        self.parameters = Some(parameters);
        self.overall.update(now, signal, parameters);
        self.cells.entry(result.cell).or_default().update(now, signal, parameters);
    }
}
