//! How much load is shed: a proportional-integral controller on the latency of parts. It works on the
//! logarithm of the admitted share, so that its gain is the same at twice the load and at ten times.
//! docs/overload.md explains why it is stable.

use fernglade::{Moment, Span};

/// The most that is shed, as a logarithm: one scan in fifty is still admitted, to notice when the overload is
/// over.
pub const MAX_SHED: f64 = 3.912;

/// The parameters of the control loop, derived from the settings and from observed latency.
#[derive(Clone, Copy, Debug)]
pub struct ControlParameters {
    /// The additional latency of a part that corresponds to one unit of the signal.
    pub latency_unit: Span,
    /// The latency of parts at which the signal is zero.
    pub target_latency: Span,
}

/// What the outcome of a part says about the load on its searcher.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OverloadSignal {
    /// The distance of the queue from its target, in latency units: from -1 to 1.
    pub queue_excess: f64,
    /// Stands in where the queue does not tell the distance: 1 for a full queue, down to -1 for an empty one.
    pub saturation: f64,
}

/// One controller. Its time constants follow from how often it is updated: with rare updates it moves slowly,
/// so that a large fleet whose mixers each see few parts moves no faster than their feedback allows.
#[derive(Clone, Debug, Default)]
pub struct ShedController {
    /// The integral term: what is shed, as a logarithm, apart from the proportional term.
    integral: f64,
    /// The signal smoothed over the loop delay, and the gain of the proportional term.
    signal: OverloadSignal,
    proportional_gain: f64,
    /// The mean time between updates in seconds, and the time of the last one.
    update_interval: f64,
    last_update: Option<Moment>,
}

impl ShedController {
    /// Updates the controller with the signal of one part.
    pub fn update(&mut self, now: Moment, signal: OverloadSignal, parameters: ControlParameters) {
        let since = self.last_update.map_or(0.0, |at| now.since(at).as_f64() / 1e6);
        self.last_update = Some(self.last_update.map_or(now, |at| at.max(now)));
        self.update_interval += (since - self.update_interval) / 8.0;
        let (latency_unit, delay) = (
            parameters.latency_unit.as_f64() / 1e6,
            parameters.target_latency.as_f64() / 1e6 + self.update_interval,
        );
        let elapsed = since.min(delay);
        let weight = 1.0 - (-elapsed / delay.max(1e-6)).exp();
        self.signal.queue_excess += (signal.queue_excess - self.signal.queue_excess) * weight;
        self.signal.saturation += (signal.saturation - self.signal.saturation) * weight;
        // The proportional gain is a quarter of the crossover that the delay allows, and the integral gain
        // gives a damping of one. Where the queue does not tell the distance, the level moves by a third in
        // one delay: no more can build up before feedback arrives.
        self.proportional_gain = latency_unit / (4.0 * delay.max(1e-6));
        let integral_gain = latency_unit / (64.0 * delay.max(1e-6).powi(2));
        let rate =
            integral_gain * self.signal.queue_excess + self.signal.saturation / (3.0 * delay.max(1e-6));
        self.integral = (self.integral + rate * elapsed).clamp(0.0, MAX_SHED);
    }

    /// What is shed now, as a logarithm: the admitted share is `exp` of its negative. Without feedback it
    /// decays over sixteen delays, twice the time in which it could have built up.
    pub fn shed_level(&self, now: Moment, parameters: ControlParameters) -> f64 {
        let delay = parameters.target_latency.as_f64() / 1e6 + self.update_interval;
        let silence = self.last_update.map_or(0.0, |at| now.since(at).as_f64() / 1e6);
        let decay = (-(silence - delay).max(0.0) / (16.0 * delay.max(1e-6))).exp();
        (self.integral + self.proportional_gain * self.signal.queue_excess).clamp(0.0, MAX_SHED) * decay
    }
}
