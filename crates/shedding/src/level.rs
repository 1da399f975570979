//! How much is shed: a proportional and integral controller on how long parts take, in the logarithm of what is let
//! in, so that its gain is the same at twice the load and at ten times. docs/overload.md has why it settles.

use fernglade::{Moment, Span};

/// The most that is shed, as a logarithm: one scan in fifty goes on being let in, to tell when things are well.
pub const MAX_SHED: f64 = 3.912;

/// What the loop goes by; both come from the settings and from what was measured, none is tuned.
#[derive(Clone, Copy, Debug)]
pub struct ControlParameters {
    /// How much longer a part has to take for one unit of strain.
    pub latency_unit: Span,
    /// How long parts take where the strain is nothing.
    pub target_latency: Span,
}

/// What a part says of the load where it was.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OverloadSignal {
    /// How far the queue is from where it is wanted, in widths: from minus one to one.
    pub queue_excess: f64,
    /// Where no queue tells how far: one for a full one, down to minus one for none at all.
    pub saturation: f64,
}

/// One controller. Its times follow from how often it is told of anything: told rarely, it moves slowly, so that a
/// fleet of many who each hear little moves no faster than what it hears can follow.
#[derive(Clone, Debug, Default)]
pub struct ShedController {
    /// What is shed for good, as a logarithm.
    held: f64,
    /// OverloadSignal smoothed over the loop's delay, and what it adds for now.
    strain: OverloadSignal,
    lead: f64,
    /// The usual time between two tellings, in seconds; when the last one was.
    gap: f64,
    at: Option<Moment>,
}

impl ShedController {
    /// Takes in one part's strain.
    pub fn update(&mut self, now: Moment, strain: OverloadSignal, by: ControlParameters) {
        let since = self.at.map_or(0.0, |at| now.since(at).as_f64() / 1e6);
        self.at = Some(self.at.map_or(now, |at| at.max(now)));
        self.gap += (since - self.gap) / 8.0;
        let (width, delay) = (by.latency_unit.as_f64() / 1e6, by.target_latency.as_f64() / 1e6 + self.gap);
        let passed = since.min(delay);
        let part = 1.0 - (-passed / delay.max(1e-6)).exp();
        self.strain.queue_excess += (strain.queue_excess - self.strain.queue_excess) * part;
        self.strain.saturation += (strain.saturation - self.strain.saturation) * part;
        // A quarter of the crossover that the delay allows, and a damping of one for the integral beside it. Where
        // no queue tells how far, a third in a delay: what comes about before it is heard is no more than that.
        self.lead = width / (4.0 * delay.max(1e-6));
        let gain = width / (64.0 * delay.max(1e-6).powi(2));
        let rate = gain * self.strain.queue_excess + self.strain.saturation / (3.0 * delay.max(1e-6));
        self.held = (self.held + rate * passed).clamp(0.0, MAX_SHED);
    }

    /// What is shed now, as a logarithm: the share let in is `exp` of its negative. Unheard, it fades over sixteen
    /// delays, twice the time in which it could have come about.
    pub fn shed_level(&self, now: Moment, by: ControlParameters) -> f64 {
        let delay = by.target_latency.as_f64() / 1e6 + self.gap;
        let unheard = self.at.map_or(0.0, |at| now.since(at).as_f64() / 1e6);
        let fades = (-(unheard - delay).max(0.0) / (16.0 * delay.max(1e-6))).exp();
        (self.held + self.lead * self.strain.queue_excess).clamp(0.0, MAX_SHED) * fades
    }
}
