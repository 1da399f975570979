//! Statistics of a run, second by second and in total, computed from its trace. Does no I/O.

use super::scenario::{Scenario, TrafficType};
use super::trace::{Part, PartOutcome, TraceEntry, TraceEvent};
use fernglade::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::ops::Range;

/// Counts of one second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SecondCounts {
    /// First tries.
    pub scans: usize,
    /// The credit of these scans.
    pub worth: f64,
    /// The part of that credit that was earned, i.e. served within the target latency, whenever that was.
    pub served: f64,
    /// Tries answered with 429 or 503.
    pub refused: usize,
    /// Tries answered with another error.
    pub failed: usize,
    /// Parts of all tries.
    pub parts: usize,
    /// Relays.
    pub relays: usize,
    /// New connections to searchers.
    pub dials: usize,
    /// Health probes.
    pub probes: usize,
    /// Parts rejected by searchers.
    pub rejected_parts: usize,
    /// Relays beyond the first of each part.
    pub retries: usize,
}

/// What one searcher received in a second, from all mixers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SearcherLoad {
    /// Relays.
    pub parts: usize,
    /// Relays beyond the first of each part.
    pub retries: usize,
    /// New connections.
    pub dials: usize,
    /// Health probes.
    pub probes: usize,
}

/// The statistics of a run.
#[derive(Clone, Debug, Default)]
pub struct RunStatistics {
    /// Counts of each second.
    pub seconds: Vec<SecondCounts>,
    /// What each searcher received, second by second.
    pub loads: BTreeMap<usize, Vec<SearcherLoad>>,
    /// By traffic type: first tries, their credit, and the credit earned.
    pub types: BTreeMap<String, (usize, f64, f64)>,
    /// By traffic type: the credit not earned on scans whose mixer was suspended within their target latency.
    pub lost_to_stalls: BTreeMap<String, f64>,
    /// All tries.
    pub tries: usize,
}

/// The first try of a scan, and what became of the scan.
struct FirstTry {
    at: Moment,
    traffic_type: usize,
    mixer: usize,
    served: bool,
    stalled: bool,
}

/// The target latency, with the platform's tolerance on sockets.
fn target_latency(config: &TrafficType) -> Span {
    Span::from_micros(config.quoted.as_micros() as u64) + Span::from_millis(50)
}

impl RunStatistics {
    /// Computes the statistics of a trace.
    pub fn from_trace(scenario: &Scenario, trace: &[TraceEntry]) -> Self {
        let mut statistics = Self::default();
        let mut firsts: BTreeMap<u32, FirstTry> = BTreeMap::new();
        let mut tries: BTreeMap<u32, (u32, usize)> = BTreeMap::new();
        let mut sent: BTreeMap<Part, usize> = BTreeMap::new();
        let mut stalled_mixers = BTreeSet::new();
        for TraceEntry { at, event } in trace {
            let second = (at.micros() / 1_000_000) as usize;
            match event {
                TraceEvent::ScanSent { scan, first_try: first, mixer, traffic_type, shards, .. } => {
                    let config = &scenario.types[*traffic_type];
                    if scan == first && !firsts.contains_key(first) {
                        let stalled = stalled_mixers.contains(mixer);
                        let scan_sent = FirstTry {
                            at: *at,
                            traffic_type: *traffic_type,
                            mixer: *mixer,
                            served: false,
                            stalled,
                        };
                        firsts.insert(*first, scan_sent);
                        let counts = statistics.second(second);
                        (counts.scans, counts.worth) = (counts.scans + 1, counts.worth + config.credit);
                        let line = statistics.types.entry(config.name.clone()).or_default();
                        (line.0, line.1) = (line.0 + 1, line.1 + config.credit);
                    }
                    if tries.insert(*scan, (*first, shards.len())).is_none() {
                        statistics.tries += 1;
                        statistics.second(second).parts += shards.len();
                    }
                }
                TraceEvent::ScanAnswered { scan, status, values, .. } => {
                    let Some((first, parts)) = tries.get(scan) else { continue };
                    let Some(first) = firsts.get_mut(first) else { continue };
                    let config = &scenario.types[first.traffic_type];
                    match status {
                        200 if !first.served && at.since(first.at) <= target_latency(config) => {
                            first.served = true;
                            let worth = config.credit * values.len() as f64 / *parts as f64;
                            let (started, name) = (first.at.micros() / 1_000_000, config.name.clone());
                            statistics.second(started as usize).served += worth;
                            statistics.types.entry(name).or_default().2 += worth;
                        }
                        200 => {}
                        429 | 503 => statistics.second(second).refused += 1,
                        _ => statistics.second(second).failed += 1,
                    }
                }
                TraceEvent::PartRelayed { searcher, part, .. } => {
                    let before = sent.entry(*part).or_default();
                    let retries = usize::from(*before > 0);
                    *before += 1;
                    let counts = statistics.second(second);
                    (counts.relays, counts.retries) = (counts.relays + 1, counts.retries + retries);
                    let load = statistics.load(*searcher, second);
                    (load.parts, load.retries) = (load.parts + 1, load.retries + retries);
                }
                TraceEvent::MixerStalled { mixer, stalled: true } => {
                    stalled_mixers.insert(*mixer);
                    let open = |first: &&mut FirstTry| {
                        first.mixer == *mixer
                            && at.since(first.at) <= target_latency(&scenario.types[first.traffic_type])
                    };
                    firsts.values_mut().filter(open).for_each(|first| first.stalled = true);
                }
                TraceEvent::MixerStalled { mixer, stalled: false } => {
                    stalled_mixers.remove(mixer);
                }
                TraceEvent::PartAnswered { outcome: PartOutcome::Rejected, .. } => {
                    statistics.second(second).rejected_parts += 1
                }
                TraceEvent::LinkOpened { searcher, .. } => {
                    statistics.second(second).dials += 1;
                    statistics.load(*searcher, second).dials += 1;
                }
                TraceEvent::ProbeReceived { searcher, .. } => {
                    statistics.second(second).probes += 1;
                    statistics.load(*searcher, second).probes += 1;
                }
                _ => {}
            }
        }
        for first in firsts.values().filter(|first| first.stalled && !first.served) {
            let config = &scenario.types[first.traffic_type];
            *statistics.lost_to_stalls.entry(config.name.clone()).or_default() += config.credit;
        }
        statistics
    }

    fn load(&mut self, searcher: usize, second: usize) -> &mut SearcherLoad {
        let seconds = self.loads.entry(searcher).or_default();
        if seconds.len() <= second {
            seconds.resize(second + 1, SearcherLoad::default());
        }
        &mut seconds[second]
    }

    /// The maximum of one count over the given searchers and seconds.
    pub fn max_load(
        &self,
        searchers: &[usize],
        seconds: Range<usize>,
        of: impl Fn(&SearcherLoad) -> usize,
    ) -> usize {
        let counts = searchers.iter().filter_map(|searcher| self.loads.get(searcher));
        let within = counts.flat_map(|all| all.iter().take(seconds.end).skip(seconds.start));
        within.map(of).max().unwrap_or(0)
    }

    /// The most connections that any searcher received in one second, from all mixers.
    pub fn max_dials(&self) -> usize {
        self.max_overall(|load| load.dials)
    }

    /// The most health probes that any searcher received in one second, from all mixers.
    pub fn max_probes(&self) -> usize {
        self.max_overall(|load| load.probes)
    }

    fn max_overall(&self, of: impl Fn(&SearcherLoad) -> usize) -> usize {
        self.loads.values().flatten().map(of).max().unwrap_or(0)
    }

    fn second(&mut self, at: usize) -> &mut SecondCounts {
        if self.seconds.len() <= at {
            self.seconds.resize(at + 1, SecondCounts::default());
        }
        &mut self.seconds[at]
    }

    /// The sum of the seconds from `from` to before `until`.
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

    /// The sum of all seconds.
    pub fn total(&self) -> SecondCounts {
        self.sum_between(0, self.seconds.len())
    }

    /// The share of a traffic type's credit that was earned.
    pub fn served_share_of(&self, name: &str) -> f64 {
        self.types.get(name).map_or(1.0, |(_, worth, served)| served / worth.max(f64::MIN_POSITIVE))
    }
}

impl SecondCounts {
    /// The share of the credit that was earned.
    pub fn served_share(&self) -> f64 {
        if self.worth > 0.0 {
            self.served / self.worth
        } else {
            1.0
        }
    }

    /// Relays per requested part, over all tries.
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
        let scenario = Scenario::parse(text).unwrap();
        let at = |millis: u64, event| TraceEntry { at: Moment::from_micros(millis * 1_000), event };
        let scan_sent = |scan, mixer| {
            let timeout = Span::from_millis(1_000);
            TraceEvent::ScanSent { scan, first_try: scan, mixer, traffic_type: 0, shards: vec![0], timeout }
        };
        let (status, complete, values) = (200, true, vec![(0, "v".to_string())]);
        let answered =
            TraceEvent::ScanAnswered { scan: 4, mixer: 0, status, complete, values, retry_after: None };
        let trace = [
            at(1_000, scan_sent(1, 0)), // Its target latency had passed before.
            at(1_800, scan_sent(2, 0)),
            at(2_000, TraceEvent::MixerStalled { mixer: 0, stalled: true }),
            at(2_100, scan_sent(3, 1)), // The other mixer is running.
            at(3_300, scan_sent(4, 0)), // Served as soon as the mixer resumes.
            at(3_500, TraceEvent::MixerStalled { mixer: 0, stalled: false }),
            at(3_510, answered),
            at(4_000, scan_sent(5, 0)),
        ];
        assert_eq!(
            RunStatistics::from_trace(&scenario, &trace).lost_to_stalls,
            BTreeMap::from([("look".to_string(), 1.0)])
        );
    }
}
