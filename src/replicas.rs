//! The listed searchers, what this mixer has observed of each (smoothed latency, failures, health, parts in
//! flight, slow start), and the choice of the replica that a part is sent to.

use crate::decaying_count::DecayingCount;
use crate::replica_set::ReplicaSets;
use crate::rng::Rng;
use crate::slow_start::{SendAllowance, SlowStart};
use crate::*;
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};
use std::mem::{replace, take};

/// A traffic type: its index and its target latency.
pub(crate) type TrafficClass = (usize, Span);

/// How often a searcher that is down is probed, as the design page states it.
pub(crate) const PROBE_INTERVAL: Span = Span::from_millis(5_000);

/// Time constants of the counts of parts sent to a cell: one long enough to smooth, one short enough to see a
/// burst in time.
pub(crate) const RATE_WINDOW: Span = Span::from_millis(10_000);
pub(crate) const BURST_WINDOW: Span = Span::from_millis(2_000);

/// The rate of parts sent to a cell.
#[derive(Clone, Copy, Default)]
pub(crate) struct SendRate {
    pub(crate) smoothed: DecayingCount,
    pub(crate) recent: DecayingCount,
}

impl SendRate {
    pub(crate) fn note(&mut self, now: Moment) {
        self.smoothed.note(now, RATE_WINDOW);
        self.recent.note(now, BURST_WINDOW);
    }

    /// Returns the rate in parts per microsecond, where parts have been counted for the time `counted`. It
    /// starts from one part in three seconds: a lower estimate would let a mixer that has just started send
    /// everything to a fresh searcher at once.
    pub(crate) fn rate(&self, now: Moment, counted: Span) -> f64 {
        let (long, short) = (self.smoothed.at(now, RATE_WINDOW), self.recent.at(now, BURST_WINDOW));
        let (smooth, burst) = (RATE_WINDOW.as_f64(), BURST_WINDOW.as_f64());
        let seen = smooth * (1.0 - (-counted.as_f64() / smooth).exp());
        ((long + 1.0) / (seen + 3e6)).max(short / burst)
    }
}

/// What this mixer has observed of one searcher.
#[derive(Default)]
pub(crate) struct ReplicaState {
    pub(crate) entry: ListedSearcher,
    /// When it started, and the number of its answers since then.
    pub(crate) slow_start: Option<(Moment, usize)>,
    /// How much may be sent to it during its slow start.
    pub(crate) allowance: Option<SendAllowance>,
    /// The smoothed latency in microseconds, if there are samples.
    pub(crate) latency: Option<f64>,
    /// The smoothed share of failed relays, by traffic type.
    pub(crate) failure_rates: Vec<f64>,
    /// How many relays it may have in flight before scans are rejected.
    pub(crate) concurrency_limit: f64,
    /// When the relays in flight were sent; each entry is removed when its relay ends.
    pub(crate) in_flight: Vec<Moment>,
    /// When a relay last gave a sample of its latency or failures.
    pub(crate) last_heard: Moment,
    /// The latest send time among the relays that have been answered.
    pub(crate) answered_up_to: Moment,
    /// When anything last arrived on one of its connections.
    pub(crate) last_reply: Moment,
    /// When a relay was last sent to it, or its slow start began.
    pub(crate) last_sent: Moment,
    /// When a part was last lost with its connection; cleared when a relay sent later is answered.
    pub(crate) connection_lost: Option<Moment>,
    /// When it was last probed because it was silent, and whether anything has come from it since.
    pub(crate) last_probe: Option<(Moment, bool)>,
    /// If it is down, when it is to be probed next.
    pub(crate) next_probe: Option<Moment>,
    /// Since when it is down.
    pub(crate) down_since: Moment,
}

impl ReplicaState {
    /// Returns the number of this mixer's calls in flight; parts that were sent at the same time share calls.
    pub(crate) fn calls_in_flight(&self, parts_per_call: usize) -> usize {
        self.in_flight.chunk_by(|a, b| a == b).map(|call| call.len().div_ceil(parts_per_call.max(1))).sum()
    }

    /// Returns the number of parts in flight that the searcher is presumably working on. Not counted are
    /// parts sent before `overtaken_before` that later parts have overtaken: they are single losses, and take
    /// no capacity though the mixer still waits for them.
    pub(crate) fn active_parts(&self, overtaken_before: Moment) -> usize {
        self.in_flight.iter().filter(|at| **at > overtaken_before || **at > self.answered_up_to).count()
    }

    /// Whether the searcher seems to have died in the last ten seconds. Repeated crashes have one cause; ten
    /// seconds is longer than the time between them.
    pub(crate) fn seems_dead(&self, now: Moment) -> bool {
        self.connection_lost.is_some_and(|at| now.since(at) < Span::from_millis(10_000))
    }
}

/// A relay in flight.
pub(crate) struct Attempt {
    pub(crate) to: Searcher,
    pub(crate) sent_at: Moment,
    /// How long nothing had arrived on its connection, as an index in `ReplicaTable::loss_by_idle`.
    pub(crate) idle_class: usize,
    /// Whether the connection was retired for that before the relay was sent.
    pub(crate) retired: bool,
    pub(crate) class: TrafficClass,
}

/// The index in `ReplicaTable::loss_by_idle` of relays on new connections.
pub(crate) const NEW_CONNECTION: usize = 7;

/// The searchers and what this mixer has observed of them.
#[derive(Default)]
pub struct ReplicaTable {
    /// The state of each listed searcher. One that is no longer listed is removed by a later list update,
    /// once its relays have ended.
    pub(crate) states: FxHashMap<Searcher, ReplicaState>,
    /// The sum of the known latencies, and their number.
    pub(crate) known_latencies: (f64, f64),
    /// The number of cells in the deployment; shard s is held by cell s modulo this and the cells after it.
    pub(crate) cells: u32,
    /// The rate of parts sent to each cell.
    pub(crate) send_rates: BTreeMap<u32, SendRate>,
    pub(crate) replica_sets: ReplicaSets,
    /// Searchers that are not listed as ready and may have relays in flight; removed when these have ended.
    pub(crate) departing: BTreeSet<Searcher>,
    /// Searchers at which a part was lost with its connection; removed when they answer again or leave the
    /// list.
    pub(crate) suspects: BTreeSet<Searcher>,
    /// When the first list was applied; rates are counted from then.
    pub(crate) first_listed: Option<Moment>,
    /// The number of consecutive cells that hold each shard.
    pub(crate) width: u32,
    /// The number of parts that one call to a searcher may carry.
    pub(crate) parts_per_call: usize,
    /// Whether the platform allows health probes.
    pub(crate) may_probe: bool,
    pub(crate) slow_start: SlowStart,
    pub(crate) rng: Rng,
    /// This mixer's position, from 0 to 1, in the order in which mixers take turns at fresh searchers. It is
    /// the same for every searcher: otherwise a scan of many parts would hardly ever find all of them open.
    pub(crate) phase: f64,
    /// The smoothed latency of answered parts over all searchers.
    pub(crate) mean_latency: f64,
    /// The smoothed share of parts that are lost.
    pub(crate) loss_rate: f64,
    /// The lowest value of the smoothed latency in the recent past, taken as the cost of a part when there is
    /// little queueing.
    pub(crate) min_latency: f64,
    /// The share of relays that were lost or sent for nothing, by how long their connection had been idle:
    /// under 250 ms, then twice as long for each class. The last class is new connections, opened because the
    /// old ones were in doubt or had been closed for idleness.
    pub(crate) loss_by_idle: [f64; NEW_CONNECTION + 1],
    /// The idle time after which the platform closes connections.
    pub(crate) idle_close: Span,
    /// When a connection in doubt was last used on trial.
    pub(crate) last_trial: Moment,
}

impl ReplicaTable {
    /// Creates an empty table for one of the mixers that `slow_start` counts.
    pub fn new(
        seed: u64,
        cells: u32,
        width: u32,
        parts_per_call: usize,
        may_probe: bool,
        slow_start: SlowStart,
    ) -> Self {
        let (cells, rng, never) = (cells.max(1), Rng::new(seed), Span::from_micros(u64::MAX));
        // A generator of its own, so that no other draw changes. Its first few numbers are skipped because
        // they are alike for similar seeds.
        let mut phase_rng = Rng::new(!seed);
        let phase = (0..8).map(|_| phase_rng.below(1 << 20)).last().unwrap_or(0) as f64 / f64::from(1 << 20);
        let replica_sets = ReplicaSets::new(slow_start.mixers, seed);
        Self {
            cells,
            width,
            parts_per_call,
            may_probe,
            slow_start,
            rng,
            phase,
            replica_sets,
            idle_close: never,
            ..Self::default()
        }
    }

    /// Sets the idle time after which the platform closes connections; the next part is then sent on a new
    /// one.
    pub fn with_idle_close(mut self, after: Span) -> Self {
        self.idle_close = after;
        self
    }

    /// Returns the average of the known latencies, with the overall mean as one more sample.
    pub(crate) fn average_latency(&self) -> f64 {
        (self.known_latencies.0 + self.mean_latency) / (self.known_latencies.1 + 1.0)
    }

    /// Sets the smoothed latency of a searcher and keeps the sum over all of them.
    pub(crate) fn set_latency(&mut self, searcher: Searcher, latency: Option<f64>) {
        let Some(state) = self.states.get_mut(&searcher) else { return };
        let old = replace(&mut state.latency, latency);
        self.known_latencies.0 += latency.unwrap_or(0.0) - old.unwrap_or(0.0);
        self.known_latencies.1 += f64::from(latency.is_some()) - f64::from(old.is_some());
    }

    /// Applies a list entry and returns the previous one of that searcher.
    pub(crate) fn apply_entry(&mut self, entry: ListedSearcher) -> ListedSearcher {
        // Twelve for all mixers together, a few for each core of a usual machine; at least three for each
        // mixer.
        let limit = (12.0 / self.slow_start.mixers).max(3.0);
        let state = self
            .states
            .entry(entry.searcher)
            .or_insert_with(|| ReplicaState { concurrency_limit: limit, ..ReplicaState::default() });
        let previous = replace(&mut state.entry, entry);
        if previous.cell != entry.cell || !entry.ready {
            self.replica_sets.remove(previous.cell, entry.searcher);
        }
        if entry.ready {
            self.replica_sets.insert(entry.cell, entry.searcher);
        } else {
            self.departing.insert(entry.searcher);
        }
        if !entry.ready {
            state.next_probe = None;
            self.set_latency(entry.searcher, None);
        }
        previous
    }

    /// Returns the replicas of a shard that this mixer chooses from.
    pub(crate) fn replicas_of(&self, shard: u32) -> impl Iterator<Item = &ReplicaState> + '_ {
        let cells = (0..self.width.min(self.cells)).map(move |next| (shard % self.cells + next) % self.cells);
        let state = |searcher: Searcher| &self.states[&searcher];
        cells.flat_map(move |cell| {
            self.replica_sets.candidates(cell, state, |state| state.next_probe.is_none())
        })
    }

    /// Removes searchers that are not ready and have no relays in flight.
    pub(crate) fn remove_departed(&mut self) {
        let (states, suspects) = (&mut self.states, &mut self.suspects);
        self.departing.retain(|searcher| {
            let stays = states.get(searcher).map(|state| (state.entry.ready, state.in_flight.is_empty()));
            match stays {
                Some((false, false)) => true,
                Some((true, _)) => false,
                Some((false, true)) | None => {
                    states.remove(searcher);
                    suspects.remove(searcher);
                    false
                }
            }
        });
    }

    /// Starts the slow start of a searcher that started at `since`.
    pub(crate) fn begin_slow_start(&mut self, now: Moment, searcher: Searcher, since: Moment) {
        self.set_latency(searcher, None);
        let phase = self.phase;
        let Some(state) = self.states.get_mut(&searcher) else { return };
        // Parts sent earlier still count, as it is unknown which of them came before the start.
        state.allowance.get_or_insert(SendAllowance::new(now, phase));
        if state.slow_start.replace((since, 0)).is_none() {
            state.last_sent = now;
        }
    }

    /// Returns the latency to choose by: the smoothed one, or the age of the oldest part in flight that no
    /// later part has overtaken, so that a hang is seen early. As time passes without news, the value drifts
    /// to the average, so that the searcher is tried again. A fresh searcher without samples counts as the
    /// fastest, as slow start already protects it.
    pub(crate) fn effective_latency(&self, now: Moment, state: &ReplicaState) -> f64 {
        let oldest = state.in_flight.iter().find(|at| **at > state.answered_up_to);
        let (average, oldest_wait) = (self.average_latency(), oldest.map_or(Span::ZERO, |at| now.since(*at)));
        let default = if state.slow_start.is_some() { self.min_latency } else { average };
        (average + (state.latency.unwrap_or(default) - average) * self.confidence(now, state))
            .max(oldest_wait.as_f64())
    }

    /// Returns how long a part is in flight until it is late: a quarter of the target latency, so that there
    /// is time to send it elsewhere, but at least eight times the mean latency, up to the whole target
    /// latency. With less, a searcher that pauses for a moment would be taken for lost.
    pub(crate) fn late_after(&self, target_latency: Span) -> f64 {
        (target_latency.as_f64() / 4.0).max(8.0 * self.mean_latency).min(target_latency.as_f64())
    }

    /// Returns the weight of past samples, from 1 down to 0. It halves over the probe interval plus three
    /// tenths of the time in which the whole fleet takes a turn, as each of many mixers gets samples less
    /// often.
    pub(crate) fn confidence(&self, now: Moment, state: &ReplicaState) -> f64 {
        let until = if state.in_flight.is_empty() { state.last_heard } else { now };
        (-now.since(until).as_f64()
            / (PROBE_INTERVAL.as_f64() + 0.3 * self.slow_start.mixers * self.min_latency))
            .exp2()
    }

    /// Updates the smoothed latency, failure rate and concurrency limit with the end of a relay.
    ///
    /// A sample weighs an eighth, as in TCP, because one outlier means little. It weighs half if the part
    /// failed, or if the latency is less than an eighth of the known one, which shows that a stall is over.
    /// The longer there was no sample, the less the past counts. Searchers that alternate between stalls and
    /// answers are judged badly by this.
    pub(crate) fn record_sample(
        &mut self,
        now: Moment,
        searcher: Searcher,
        traffic_type: usize,
        sample: Option<f64>,
        failed: bool,
    ) {
        let (min_latency, mixers) = (self.min_latency, self.slow_start.mixers);
        let confidence = self.confidence(now, &self.states[&searcher]);
        let Some(state) = self.states.get_mut(&searcher) else { return };
        let stalled = |sample: f64| failed || state.latency.is_some_and(|known| sample * 8.0 < known);
        let weight = (1.0 - confidence).max(if sample.is_some_and(stalled) { 0.5 } else { 0.125 });
        state.last_heard = now;
        state.failure_rates.resize(state.failure_rates.len().max(traffic_type + 1), 0.0);
        state.failure_rates[traffic_type] += (f64::from(failed) - state.failure_rates[traffic_type]) * weight;
        if let Some(sample) = sample {
            let latency = state.latency.map_or(sample, |old| old + (sample - old) * weight);
            // Above 1.5 times the minimum latency there is a queue. The limits of all mixers add up at the
            // searcher, so each starts and grows by its share of the fleet.
            let ratio = (1.5 * min_latency / latency).clamp(0.1, 1.0);
            if ratio < 1.0 || state.in_flight.len() as f64 > state.concurrency_limit / 4.0 {
                let target =
                    state.concurrency_limit * ratio + (3.0 * state.concurrency_limit / mixers).sqrt();
                state.concurrency_limit =
                    (state.concurrency_limit + 0.1 * (target - state.concurrency_limit)).max(3.0);
            }
            self.set_latency(searcher, Some(latency));
        }
    }

    /// Chooses the replica with the least latency x (own parts in flight + 1), as the design states, among
    /// those that are listed as ready, are not down and are not in `excluded`. If the platform has no probes,
    /// a part is sent to a replica that is down once its probe would be due.
    ///
    /// Failures count as late parts in proportion to their share in the traffic type, so that a searcher that
    /// fails fast does not attract parts. A replica with a run of bad luck is avoided by this.
    pub(crate) fn choose(
        &mut self,
        now: Moment,
        shard: u32,
        class: TrafficClass,
        rank: f64,
        excluded: &[Searcher],
    ) -> Option<Searcher> {
        let held_back = self.held_back(now, shard, rank);
        let mut rng = take(&mut self.rng);
        let not_excluded = |state: &&ReplicaState| !excluded.contains(&state.entry.searcher);
        let mut candidates: Vec<&ReplicaState> = self.replicas_of(shard).filter(not_excluded).collect();
        let first = rng.below(candidates.len().max(1));
        candidates.rotate_left(first);
        let score = |state: &ReplicaState| {
            let searcher = state.entry.searcher;
            let effective = self.effective_latency(now, state);
            let failure_rate =
                state.failure_rates.get(class.0).map_or(0.0, |rate| rate * self.confidence(now, state));
            // Smoothed latencies within 30 % are equivalent; such a tie goes to a replica that has no
            // cross-zone cost.
            let zone_factor = if state.entry.cross_zone { 1.3 } else { 1.0 };
            let latency =
                (effective + failure_rate * (self.late_after(class.1) - effective).max(0.0)) * zone_factor;
            match state.next_probe {
                Some(due) => (!self.may_probe && now >= due).then_some((0.0, searcher)),
                None if held_back.contains(&searcher) => None,
                None => Some((latency * (state.calls_in_flight(self.parts_per_call) + 1) as f64, searcher)),
            }
        };
        let best = candidates.into_iter().filter_map(score).min_by(|a, b| a.0.total_cmp(&b.0));
        let best = best.map(|(_, searcher)| searcher);
        self.rng = rng;
        best
    }

    /// Returns the fresh replicas of a shard that a scan of this rank is not sent to. As many scans are kept
    /// from them as it takes for the parts that they attract by their latency to stay within the slow-start
    /// rate.
    ///
    /// The rank is drawn once per scan: if each cell drew again, a scan of many parts would hardly ever find
    /// all of them open. Fixed turns in time were worse, as a turn is lost when no part comes in it.
    pub(crate) fn held_back(&self, now: Moment, shard: u32, rank: f64) -> Vec<Searcher> {
        let is_up = |state: &&ReplicaState| state.next_probe.is_none();
        if self.replicas_of(shard).all(|state| state.slow_start.is_none()) {
            return Vec::new();
        }
        let weight_of = |state: &ReplicaState| 1.0 / self.effective_latency(now, state).max(1.0);
        let total_weight: f64 = self.replicas_of(shard).filter(is_up).map(weight_of).sum();
        let send_rate = self.send_rates.get(&(shard % self.cells)).copied().unwrap_or_default();
        let rate =
            send_rate.rate(now, now.since(self.first_listed.unwrap_or(now))) * f64::from(self.width.max(1));
        let is_held_back = |state: &&ReplicaState| {
            let Some((since, answered)) =
                state.slow_start.filter(|(since, _)| self.slow_start.is_cold(*since, now))
            else {
                return false;
            };
            let offered_rate = rate * weight_of(state) / total_weight;
            let sharers = self.replica_sets.sharers(state.entry.cell);
            let share = self.slow_start.share(since, self.min_latency, offered_rate, sharers, now);
            is_up(state)
                && (state.in_flight.len() > answered
                    || rank >= share
                    || self.slow_start_allowance(state, now) < 1.0)
        };
        self.replicas_of(shard).filter(is_held_back).map(|state| state.entry.searcher).collect()
    }

    /// Returns how many parts may be sent to a searcher now under its slow start.
    pub(crate) fn slow_start_allowance(&self, state: &ReplicaState, now: Moment) -> f64 {
        let Some((since, _)) = state.slow_start.filter(|(since, _)| self.slow_start.is_cold(*since, now))
        else {
            return f64::MAX;
        };
        let sharers = self.replica_sets.sharers(state.entry.cell);
        let available = |allowance: &SendAllowance| {
            allowance.at(&self.slow_start, since, self.min_latency, sharers, now).available()
        };
        state.allowance.as_ref().map_or(f64::MAX, available)
    }

    /// Whether the replicas of a shard have capacity for `parts` more parts within their concurrency limits.
    /// If none is up, this is not a matter of admission and the answer is yes.
    ///
    /// A scan of low priority may fill less of a limit, and least at slow replicas. A replica that is too
    /// slow for the remaining time has no capacity; the slowest of a few takes half as long again as the
    /// smoothed latency. With many mixers, a scan of low priority counts on less of its time.
    ///
    /// As smoothed latencies lag behind a recovery, one part at a time is let through in turns, six times
    /// less often when half of the parts are lost.
    pub(crate) fn has_capacity(
        &self,
        now: Moment,
        time_left: Span,
        shard: u32,
        priority: f64,
        rank: f64,
        parts: usize,
    ) -> bool {
        let held_back = self.held_back(now, shard, rank);
        let time_left =
            time_left.as_f64() * (0.5 + 0.5 * priority).max(4.0 / self.slow_start.mixers).min(1.0);
        let trial_interval = self.min_latency * (1.0 + 20.0 * self.loss_rate * self.loss_rate);
        let overtaken_before = now.saturating_sub(Span::from_micros((8.0 * self.mean_latency) as u64));
        let capacity = |state: &ReplicaState| {
            let (effective, sharers) =
                (self.effective_latency(now, state), self.replica_sets.sharers(state.entry.cell));
            let min_fraction = if effective > 2.0 * self.min_latency { 0.3 } else { 0.7 };
            let headroom = state.concurrency_limit
                * (min_fraction + (1.0 - min_fraction) * priority).min(1.0)
                - state.active_parts(overtaken_before) as f64;
            let trial_due = state.in_flight.iter().all(|at| *at <= overtaken_before)
                && now.since(state.last_sent).as_f64() >= trial_interval * sharers;
            let is_open =
                (trial_due || effective * 1.5 < time_left) && !held_back.contains(&state.entry.searcher);
            f64::from(is_open) * headroom.max(0.0).ceil().min(self.slow_start_allowance(state, now))
        };
        self.replicas_of(shard)
            .filter(|state| state.next_probe.is_none())
            .map(capacity)
            .reduce(|a, b| a + b)
            .is_none_or(|capacity| capacity >= parts as f64)
    }

    /// Records a relay, and decides whether the connections of its searcher are to be retired first.
    ///
    /// They are, if relays after this idle time or less are lost more often, by at least 0.25, than both
    /// those after none and those on new connections. Guards against anything on the way that closes idle
    /// connections without notice: they are closed before use, except for one trial in each probe interval.
    /// Where new connections fail as well, because of the network or of searchers that are too slow for them,
    /// the existing ones are kept: what looks lost is then late. The cost is needless new connections.
    pub(crate) fn note_sent(&mut self, now: Moment, searcher: Searcher, class: TrafficClass) -> Attempt {
        let (slow_start, part_latency) = (&self.slow_start, self.min_latency);
        let state = self.states.entry(searcher).or_default();
        if let (Some((since, _)), Some(allowance)) = (state.slow_start, &mut state.allowance) {
            let sharers = self.replica_sets.sharers(state.entry.cell);
            *allowance = allowance.at(slow_start, since, part_latency, sharers, now);
            allowance.spend();
        }
        let idle = now.since(state.last_reply);
        let idle_doublings = (u64::BITS - (idle.micros() / 250_000).leading_zeros()) as usize;
        let idle_class =
            if idle >= self.idle_close { NEW_CONNECTION } else { idle_doublings.min(NEW_CONNECTION - 1) };
        state.in_flight.push(now);
        state.last_sent = now;
        let worst_loss =
            self.loss_by_idle[1..=idle_class.min(NEW_CONNECTION - 1)].iter().copied().fold(0.0, f64::max);
        let suspicious = worst_loss > self.loss_by_idle[0].max(self.loss_by_idle[NEW_CONNECTION]) + 0.25;
        let retired = suspicious && now.since(self.last_trial) < PROBE_INTERVAL;
        self.last_trial = if suspicious && !retired { now } else { self.last_trial };
        Attempt {
            to: searcher,
            sent_at: now,
            idle_class: if retired { NEW_CONNECTION } else { idle_class },
            retired,
            class,
        }
    }

    /// Records the end of a relay, and returns whether its searcher seems to have died while it had the part.
    ///
    /// A part that was sent for nothing is a latency sample only if it took longer than usual, so that
    /// cancelling parts early (when a scan ends without them) does not make a searcher look fast.
    pub(crate) fn note_finished(
        &mut self,
        now: Moment,
        attempt: &Attempt,
        outcome: RelayOutcome,
        elapsed: f64,
    ) -> bool {
        let (searcher, idle_class, traffic_type, average) =
            (attempt.to, attempt.idle_class, attempt.class.0, self.average_latency());
        let Some(state) = self.states.get_mut(&searcher) else { return false };
        state.in_flight.iter().position(|at| *at == attempt.sent_at).map(|at| state.in_flight.remove(at));
        let answered =
            matches!(outcome, RelayOutcome::Succeeded | RelayOutcome::Failed | RelayOutcome::Rejected);
        let took_longer = elapsed > state.latency.unwrap_or(average);
        let wasted = took_longer && matches!(outcome, RelayOutcome::TimedOut | RelayOutcome::Cancelled);
        let lost = wasted || outcome == RelayOutcome::ConnectionLost;
        state.last_reply = if answered { now } else { state.last_reply };
        state.last_probe = state.last_probe.map(|(at, replied)| (at, replied || answered));
        state.answered_up_to =
            if answered { state.answered_up_to.max(attempt.sent_at) } else { state.answered_up_to };
        // A part that later ones have overtaken, and which took much longer than usual, is a single loss; its
        // searcher is not slow. As a latency it would exclude a healthy searcher for seconds; as a failure it
        // counts as often as it occurs.
        let overtaken = wasted
            && state.answered_up_to > attempt.sent_at
            && elapsed > 8.0 * state.latency.unwrap_or(average);
        if answered || lost {
            self.loss_rate += (f64::from(lost) - self.loss_rate) * 0.05;
        }
        // It is unknown after what idle time connections are closed. So a loss also counts for idle times
        // down to a quarter as long, and an answer counts for all shorter ones; otherwise each class would
        // cost a scan of its own.
        let affected_class = if outcome == RelayOutcome::Unreachable { NEW_CONNECTION } else { idle_class };
        if answered || lost || outcome == RelayOutcome::Unreachable {
            let lowest = if lost { affected_class.saturating_sub(2).max(1) } else { 1 };
            let first_affected =
                if affected_class == NEW_CONNECTION { NEW_CONNECTION } else { lowest.min(affected_class) };
            let rates = &mut self.loss_by_idle[first_affected..=affected_class];
            rates.iter_mut().for_each(|rate| *rate += (f64::from(!answered) - *rate) / 8.0);
        }
        // A connection that is lost as soon as it is used again (in a twentieth of the minimum latency) had
        // been closed before, which says nothing about the searcher. And a searcher that is no longer listed
        // as ready is expected to go down.
        let immediate = idle_class > 0 && !attempt.retired && elapsed * 20.0 < self.min_latency;
        let closed_while_idle = outcome == RelayOutcome::ConnectionLost && immediate;
        let died = outcome == RelayOutcome::ConnectionLost && !closed_while_idle && state.entry.ready;
        // It answered a relay sent after the loss and has not started since then, so only its connection
        // broke.
        let recovered = |at: &Moment| {
            answered && attempt.sent_at > *at && state.slow_start.is_none_or(|(since, _)| since < *at)
        };
        state.connection_lost =
            if died { Some(now) } else { state.connection_lost.filter(|at| !recovered(at)) };
        match state.connection_lost {
            Some(_) => self.suspects.insert(searcher),
            None => self.suspects.remove(&searcher),
        };
        match outcome {
            _ if closed_while_idle || !state.entry.ready => {}
            RelayOutcome::Succeeded => {
                state.slow_start.iter_mut().for_each(|(_, answers)| *answers += 1);
                self.record_sample(now, searcher, traffic_type, Some(elapsed), false);
                // A weight of 1/20 averages about the last twenty parts, which is some seconds of one mixer's
                // scans.
                self.mean_latency += 0.05 * (elapsed - self.mean_latency);
                // It may rise by half within several hundred answers, in case the work itself has grown.
                self.min_latency = (self.min_latency * 1.0005).min(self.mean_latency);
            }
            RelayOutcome::Rejected => {
                self.record_sample(now, searcher, traffic_type, Some(attempt.class.1.as_f64()), true)
            }
            RelayOutcome::Unreachable => self.record_sample(now, searcher, traffic_type, None, true),
            _ if lost || answered => self.record_sample(
                now,
                searcher,
                traffic_type,
                Some(elapsed).filter(|_| wasted && !overtaken),
                true,
            ),
            _ => {}
        }
        died
    }
}
