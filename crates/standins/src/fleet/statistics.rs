//! What came of a day, second by second and in all, from what passed on the links. Pure.

use super::scenario::{Scenario, TrafficType};
use super::trace::{Part, PartOutcome, TraceEntry, TraceEvent};
use fernglade::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::ops::Range;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SecondCounts {
    /// First tries, and what they are worth.
    pub scans: usize,
    pub worth: f64,
    /// What was served of it in its quoted time, whenever that was.
    pub served: f64,
    /// Answers that refuse, and that fail, first tries and later ones.
    pub refused: usize,
    pub failed: usize,
    /// Parts of all tries, and relays of them.
    pub parts: usize,
    pub relays: usize,
    pub dials: usize,
    pub probes: usize,
    pub rejected_parts: usize,
    /// Relays beyond each part's first.
    pub retries: usize,
}

/// What came to one searcher in a second, from all mixers together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SearcherLoad {
    pub parts: usize,
    pub retries: usize,
    pub dials: usize,
    pub probes: usize,
}

#[derive(Clone, Debug, Default)]
pub struct RunStatistics {
    pub seconds: Vec<SecondCounts>,
    /// By searcher, second by second.
    pub loads: BTreeMap<usize, Vec<SearcherLoad>>,
    /// By traffic type: first tries, worth, worth served.
    pub types: BTreeMap<String, (usize, f64, f64)>,
    /// By traffic type: the worth that was not served of scans whose mixer stood still in their quoted time.
    pub lost_to_stalls: BTreeMap<String, f64>,
    pub tries: usize,
}

struct FirstTry {
    at: Moment,
    traffic_type: usize,
    mixer: usize,
    served: bool,
    stood: bool,
}

/// The platform's slack on sockets.
fn quoted(told: &TrafficType) -> Span {
    Span::of_micros(told.quoted.as_micros() as u64) + Span::of_millis(50)
}

impl RunStatistics {
    pub fn from_trace(day: &Scenario, trace: &[TraceEntry]) -> Self {
        let mut figures = Self::default();
        let mut firsts: BTreeMap<u32, FirstTry> = BTreeMap::new();
        let mut tries: BTreeMap<u32, (u32, usize)> = BTreeMap::new();
        let mut sent: BTreeMap<Part, usize> = BTreeMap::new();
        let mut still = BTreeSet::new();
        for TraceEntry { at, event } in trace {
            let second = (at.micros() / 1_000_000) as usize;
            match event {
                TraceEvent::ScanSent { scan, first, mixer, traffic_type, shards, .. } => {
                    let told = &day.types[*traffic_type];
                    if scan == first && !firsts.contains_key(first) {
                        let stood = still.contains(mixer);
                        let asked = FirstTry {
                            at: *at,
                            traffic_type: *traffic_type,
                            mixer: *mixer,
                            served: false,
                            stood,
                        };
                        firsts.insert(*first, asked);
                        let here = figures.second(second);
                        (here.scans, here.worth) = (here.scans + 1, here.worth + told.credit);
                        let line = figures.types.entry(told.name.clone()).or_default();
                        (line.0, line.1) = (line.0 + 1, line.1 + told.credit);
                    }
                    if tries.insert(*scan, (*first, shards.len())).is_none() {
                        figures.tries += 1;
                        figures.second(second).parts += shards.len();
                    }
                }
                TraceEvent::ScanAnswered { scan, status, values, .. } => {
                    let Some((first, parts)) = tries.get(scan) else { continue };
                    let Some(first) = firsts.get_mut(first) else { continue };
                    let told = &day.types[first.traffic_type];
                    match status {
                        200 if !first.served && at.since(first.at) <= quoted(told) => {
                            first.served = true;
                            let worth = told.credit * values.len() as f64 / *parts as f64;
                            let (began, name) = (first.at.micros() / 1_000_000, told.name.clone());
                            figures.second(began as usize).served += worth;
                            figures.types.entry(name).or_default().2 += worth;
                        }
                        200 => {}
                        429 | 503 => figures.second(second).refused += 1,
                        _ => figures.second(second).failed += 1,
                    }
                }
                TraceEvent::PartRelayed { searcher, part, .. } => {
                    let before = sent.entry(*part).or_default();
                    let retries = usize::from(*before > 0);
                    *before += 1;
                    let here = figures.second(second);
                    (here.relays, here.retries) = (here.relays + 1, here.retries + retries);
                    let load = figures.load(*searcher, second);
                    (load.parts, load.retries) = (load.parts + 1, load.retries + retries);
                }
                TraceEvent::MixerStalled { mixer, still: true } => {
                    still.insert(*mixer);
                    let open = |first: &&mut FirstTry| {
                        first.mixer == *mixer && at.since(first.at) <= quoted(&day.types[first.traffic_type])
                    };
                    firsts.values_mut().filter(open).for_each(|first| first.stood = true);
                }
                TraceEvent::MixerStalled { mixer, still: false } => {
                    still.remove(mixer);
                }
                TraceEvent::PartAnswered { end: PartOutcome::Rejected, .. } => {
                    figures.second(second).rejected_parts += 1
                }
                TraceEvent::LinkOpened { searcher, .. } => {
                    figures.second(second).dials += 1;
                    figures.load(*searcher, second).dials += 1;
                }
                TraceEvent::ProbeReceived { searcher, .. } => {
                    figures.second(second).probes += 1;
                    figures.load(*searcher, second).probes += 1;
                }
                _ => {}
            }
        }
        for first in firsts.values().filter(|first| first.stood && !first.served) {
            let told = &day.types[first.traffic_type];
            *figures.lost_to_stalls.entry(told.name.clone()).or_default() += told.credit;
        }
        figures
    }

    fn load(&mut self, searcher: usize, second: usize) -> &mut SearcherLoad {
        let seconds = self.loads.entry(searcher).or_default();
        if seconds.len() <= second {
            seconds.resize(second + 1, SearcherLoad::default());
        }
        &mut seconds[second]
    }

    /// The most of something that came to any of these searchers in any of these seconds.
    pub fn max_load(
        &self,
        searchers: &[usize],
        seconds: Range<usize>,
        of: impl Fn(&SearcherLoad) -> usize,
    ) -> usize {
        let here = searchers.iter().filter_map(|searcher| self.loads.get(searcher));
        let within = here.flat_map(|all| all.iter().take(seconds.end).skip(seconds.start));
        within.map(of).max().unwrap_or(0)
    }

    /// The most that one searcher was dialled in any second, by all mixers together.
    pub fn max_dials(&self) -> usize {
        self.most_of_all(|load| load.dials)
    }

    /// The same of checks.
    pub fn max_probes(&self) -> usize {
        self.most_of_all(|load| load.probes)
    }

    fn most_of_all(&self, of: impl Fn(&SearcherLoad) -> usize) -> usize {
        self.loads.values().flatten().map(of).max().unwrap_or(0)
    }

    fn second(&mut self, at: usize) -> &mut SecondCounts {
        if self.seconds.len() <= at {
            self.seconds.resize(at + 1, SecondCounts::default());
        }
        &mut self.seconds[at]
    }

    /// The sum of some seconds.
    pub fn sum_between(&self, from: usize, until: usize) -> SecondCounts {
        let seconds = self.seconds.iter().skip(from).take(until.saturating_sub(from));
        seconds.fold(SecondCounts::default(), |sum, one| SecondCounts {
            scans: sum.scans + one.scans,
            worth: sum.worth + one.worth,
            served: sum.served + one.served,
            refused: sum.refused + one.refused,
            failed: sum.failed + one.failed,
            parts: sum.parts + one.parts,
            relays: sum.relays + one.relays,
            dials: sum.dials + one.dials,
            probes: sum.probes + one.probes,
            rejected_parts: sum.rejected_parts + one.rejected_parts,
            retries: sum.retries + one.retries,
        })
    }

    pub fn total(&self) -> SecondCounts {
        self.sum_between(0, self.seconds.len())
    }

    /// The share of a traffic type's worth that was served.
    pub fn served_share_of(&self, name: &str) -> f64 {
        self.types.get(name).map_or(1.0, |(_, worth, served)| served / worth.max(f64::MIN_POSITIVE))
    }
}

impl SecondCounts {
    pub fn served_share(&self) -> f64 {
        if self.worth > 0.0 {
            self.served / self.worth
        } else {
            1.0
        }
    }

    /// Relays over the parts that were asked for, in tries that come again too.
    pub fn relays_per_part(&self) -> f64 {
        self.relays as f64 / self.parts.max(1) as f64
    }
}

impl fmt::Display for RunStatistics {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(to, "second  scans  served  refused  failed   parts  relays  turned away  dials  checks")?;
        for (at, second) in self.seconds.iter().enumerate() {
            let SecondCounts { scans, refused, failed, parts, relays, dials, probes, rejected_parts, .. } =
                second;
            let share = second.served_share();
            writeln!(
                to,
                "{at:>6}  {scans:>5}  {share:>6.3}  {refused:>7}  {failed:>6}  {parts:>6}  {relays:>6}  \
                 {rejected_parts:>11}  {dials:>5}  {probes:>6}"
            )?;
        }
        let whole = self.total();
        writeln!(
            to,
            "served {:.3} of the worth of {} scans in {} tries; {:.2} relays a part asked; one searcher dialled {} \
             times in its worst second, checked {} times",
            whole.served_share(),
            whole.scans,
            self.tries,
            whole.relays_per_part(),
            self.max_dials(),
            self.max_probes()
        )?;
        for name in self.types.keys() {
            writeln!(to, "{name}: served {:.3}", self.served_share_of(name))?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_waits_at_a_mixer_that_stands_still_is_told_apart_unless_it_is_served() {
        let text = r#"{ lasts: "9s", mixers: { count: 2 }, searchers: { cells: 1, replicas: 1 },
            types: [{ name: "look", rate: 1, parts: 1, work: "1ms", quoted: "500ms", abandon: "1s", repeat: "redoable" }] }"#;
        let day = Scenario::parse(text).unwrap();
        let at = |millis: u64, event| TraceEntry { at: Moment::at_micros(millis * 1_000), event };
        let asked = |scan, mixer| {
            let left = Span::of_millis(1_000);
            TraceEvent::ScanSent { scan, first: scan, mixer, traffic_type: 0, shards: vec![0], left }
        };
        let (status, whole, values) = (200, true, vec![(0, "v".to_string())]);
        let answered = TraceEvent::ScanAnswered { scan: 4, mixer: 0, status, whole, values, pause: None };
        let trace = [
            at(1_000, asked(1, 0)), // Its quoted time was over before.
            at(1_800, asked(2, 0)),
            at(2_000, TraceEvent::MixerStalled { mixer: 0, still: true }),
            at(2_100, asked(3, 1)), // The other one moves.
            at(3_300, asked(4, 0)), // Served as soon as it goes on.
            at(3_500, TraceEvent::MixerStalled { mixer: 0, still: false }),
            at(3_510, answered),
            at(4_000, asked(5, 0)),
        ];
        assert_eq!(
            RunStatistics::from_trace(&day, &trace).lost_to_stalls,
            BTreeMap::from([("look".to_string(), 1.0)])
        );
    }
}
