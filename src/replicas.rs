//! The searchers that are listed, what this mixer has seen of each, and which of them a part goes to: smoothed latency,
//! failures, health, what is in flight, slow start.

use crate::decaying_count::DecayingCount;
use crate::replica_set::ReplicaSets;
use crate::rng::Rng;
use crate::slow_start::{SendAllowance, SlowStart};
use crate::*;
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};
use std::mem::{replace, take};

/// A traffic type, by its index and its quoted time.
pub(crate) type TrafficClass = (usize, Span);

/// How often a searcher that is down is checked: the design page's figure.
pub(crate) const PROBE_INTERVAL: Span = Span::from_millis(5_000);

/// Over how long the parts of a cell are counted: long enough to smooth, and short enough to see a burst in time.
pub(crate) const RATE_WINDOW: Span = Span::from_millis(10_000);
pub(crate) const BURST_WINDOW: Span = Span::from_millis(2_000);

/// How many parts went to a cell.
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

    /// Parts a microsecond, where all has been counted for so long. Before anything is known one part in
    /// three seconds is: less would let a mixer that starts from nothing send a fresh searcher all at once.
    pub(crate) fn rate(&self, now: Moment, counted: Span) -> f64 {
        let (long, short) = (self.smoothed.at(now, RATE_WINDOW), self.recent.at(now, BURST_WINDOW));
        let (smooth, burst) = (RATE_WINDOW.as_f64(), BURST_WINDOW.as_f64());
        let seen = smooth * (1.0 - (-counted.as_f64() / smooth).exp());
        ((long + 1.0) / (seen + 3e6)).max(short / burst)
    }
}

#[derive(Default)]
pub(crate) struct ReplicaState {
    pub(crate) entry: SearcherEntry,
    /// When it started, and its answers since.
    pub(crate) slow_start: Option<(Moment, usize)>,
    /// What may be sent to it while it is cold.
    pub(crate) allowance: Option<SendAllowance>,
    pub(crate) latency: Option<f64>,
    /// The share of relays that failed, for each traffic type.
    pub(crate) failure_rates: Vec<f64>,
    /// How many relays it may have in flight before scans are turned away.
    pub(crate) concurrency_limit: f64,
    /// When the relays left that are out; emptied as they land.
    pub(crate) in_flight: Vec<Moment>,
    /// When a relay last told or brought anything back; when one last left, and one that came back.
    pub(crate) last_heard: Moment,
    pub(crate) answered_up_to: Moment,
    pub(crate) last_reply: Moment,
    pub(crate) last_sent: Moment,
    /// When a part was last lost with its connection, until one sent since is answered.
    pub(crate) connection_lost: Option<Moment>,
    /// When it was last asked whether it is there, and whether it has told anything since.
    pub(crate) last_probe: Option<(Moment, bool)>,
    /// Down: when it is to be checked next, and since when.
    pub(crate) next_probe: Option<Moment>,
    pub(crate) down_since: Moment,
}

impl ReplicaState {
    /// Own parts out, by call where parts that left together share one.
    pub(crate) fn calls_in_flight(&self, parts_per_call: usize) -> usize {
        self.in_flight.chunk_by(|a, b| a == b).map(|call| call.len().div_ceil(parts_per_call.max(1))).sum()
    }

    /// Parts out that are at work there, as far as can be told: not those that left before `by` and that
    /// later ones went past. They are lost one by one, and hold no room though they are waited for.
    pub(crate) fn active_parts(&self, overtaken_before: Moment) -> usize {
        self.in_flight.iter().filter(|at| **at > overtaken_before || **at > self.answered_up_to).count()
    }

    /// Deaths that come once in a while are one cause: ten seconds outlast the time between them.
    pub(crate) fn seems_dead(&self, now: Moment) -> bool {
        self.connection_lost.is_some_and(|at| now.since(at) < Span::from_millis(10_000))
    }
}

/// A relay under way; `pause` is how long nothing had come over its connection, by class; `stale` where that
/// was shut for it.
pub(crate) struct Attempt {
    pub(crate) to: Searcher,
    pub(crate) sent_at: Moment,
    pub(crate) idle_class: usize,
    pub(crate) retired: bool,
    pub(crate) class: TrafficClass,
}

/// Where the share of what went on connections opened anew stands among those by pause.
pub(crate) const NEW_CONNECTION: usize = 7;

/// The searchers and what this mixer has seen of them.
#[derive(Default)]
pub struct ReplicaTable {
    /// Who is listed; who is not any more goes with the next news, once all it owes has landed.
    pub(crate) states: FxHashMap<Searcher, ReplicaState>,
    /// The sum of the latencies known, and their number.
    pub(crate) known_latencies: (f64, f64),
    pub(crate) cells: u32,
    /// What went to each cell, and since when that is counted.
    pub(crate) send_rates: BTreeMap<u32, SendRate>,
    pub(crate) replica_sets: ReplicaSets,
    /// Those that are not listed ready and may owe something; they leave as that has landed.
    pub(crate) departing: BTreeSet<Searcher>,
    /// Those at which a part was lost with its connection; they leave as they answer again, or with the list.
    pub(crate) suspects: BTreeSet<Searcher>,
    pub(crate) first_listed: Option<Moment>,
    pub(crate) width: u32,
    pub(crate) parts_per_call: usize,
    pub(crate) may_probe: bool,
    pub(crate) slow_start: SlowStart,
    pub(crate) rng: Rng,
    /// Where this mixer stands among all in their turns at fresh searchers, from nothing to one: the same for each
    /// searcher, or hardly one of many parts would find all of them open.
    pub(crate) phase: f64,
    /// Smoothed time of answered parts, over all searchers, and the share of parts that are lost.
    pub(crate) mean_latency: f64,
    pub(crate) loss_rate: f64,
    /// The shortest that the smoothed time has been of late: what a part is taken to cost, with little queue.
    pub(crate) min_latency: f64,
    /// The share of relays lost or in vain, by how long nothing came: under 250 ms, then twice each time;
    /// last, of those on new connections, opened for doubt of the old or as those are closed by then.
    pub(crate) loss_by_idle: [f64; NEW_CONNECTION + 1],
    pub(crate) idle_close: Span,
    pub(crate) last_trial: Moment,
}

impl ReplicaTable {
    pub fn new(
        seed: u64,
        cells: u32,
        width: u32,
        parts_per_call: usize,
        may_probe: bool,
        slow_start: SlowStart,
    ) -> Self {
        let (cells, rng, never) = (cells.max(1), Rng::new(seed), Span::from_micros(u64::MAX));
        // Of a row of its own, so that it changes no other draw; the first few numbers of like seeds are alike.
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

    /// Connections idle for so long are closed by the platform, and the next part goes on a new one.
    pub fn with_idle_close(mut self, after: Span) -> Self {
        self.idle_close = after;
        self
    }

    pub(crate) fn average_latency(&self) -> f64 {
        (self.known_latencies.0 + self.mean_latency) / (self.known_latencies.1 + 1.0)
    }

    pub(crate) fn set_latency(&mut self, searcher: Searcher, latency: Option<f64>) {
        let Some(state) = self.states.get_mut(&searcher) else { return };
        let old = replace(&mut state.latency, latency);
        self.known_latencies.0 += latency.unwrap_or(0.0) - old.unwrap_or(0.0);
        self.known_latencies.1 += f64::from(latency.is_some()) - f64::from(old.is_some());
    }

    pub(crate) fn apply_entry(&mut self, entry: SearcherEntry) -> SearcherEntry {
        // A dozen for all mixers together, some for each core of a usual machine; three for each mixer.
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

    /// The replicas of a shard among which this mixer chooses.
    pub(crate) fn replicas_of(&self, shard: u32) -> impl Iterator<Item = &ReplicaState> + '_ {
        let cells = (0..self.width.min(self.cells)).map(move |next| (shard % self.cells + next) % self.cells);
        let state = |searcher: Searcher| &self.states[&searcher];
        cells.flat_map(move |cell| {
            self.replica_sets.candidates(cell, state, |state| state.next_probe.is_none())
        })
    }

    /// Whoever is not ready and owes nothing leaves.
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

    /// It has started anew.
    pub(crate) fn begin_slow_start(&mut self, now: Moment, searcher: Searcher, since: Moment) {
        self.set_latency(searcher, None);
        let phase = self.phase;
        let Some(state) = self.states.get_mut(&searcher) else { return };
        // What was sent to it before counts on: nobody knows which of it came before the start.
        state.allowance.get_or_insert(SendAllowance::new(now, phase));
        if state.slow_start.replace((since, 0)).is_none() {
            state.last_sent = now;
        }
    }

    /// The latency to choose by: the smoothed one, or the age of the oldest part out that no later one went
    /// past, so that a hang is seen early. What is long unheard drifts to the average, to be tried again; who
    /// is fresh and unheard counts as the quickest, as its pace already keeps it from harm.
    pub(crate) fn effective_latency(&self, now: Moment, state: &ReplicaState) -> f64 {
        let oldest = state.in_flight.iter().find(|at| **at > state.answered_up_to);
        let (average, oldest_wait) = (self.average_latency(), oldest.map_or(Span::ZERO, |at| now.since(*at)));
        let default = if state.slow_start.is_some() { self.min_latency } else { average };
        (average + (state.latency.unwrap_or(default) - average) * self.confidence(now, state))
            .max(oldest_wait.as_f64())
    }

    /// How long a part is out until it is late: a quarter of the quoted time, to have time to go elsewhere,
    /// and eight times the usual: sooner, who stands still for a while would be taken for a loss.
    pub(crate) fn late_after(&self, target_latency: Span) -> f64 {
        (target_latency.as_f64() / 4.0).max(8.0 * self.mean_latency).min(target_latency.as_f64())
    }

    /// How much of what is known holds: halved over the check interval, and three tenths of the fleet's turn,
    /// as each of many hears of it less often. None of that lost 0.01, all of it no less.
    pub(crate) fn confidence(&self, now: Moment, state: &ReplicaState) -> f64 {
        let until = if state.in_flight.is_empty() { state.last_heard } else { now };
        (-now.since(until).as_f64()
            / (PROBE_INTERVAL.as_f64() + 0.3 * self.slow_start.mixers * self.min_latency))
            .exp2()
    }

    /// Smooths in what a relay's end tells. An eighth, as in TCP: one odd part tells little, but one in vain
    /// half, and so does an answer in an eighth of what is known, which shows a stall that is over; and the
    /// longer nothing was heard, the less the past counts. Hurts where stalls and answers take turns.
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
            // Past one and a half times the shortest a queue stands: 1.25 to 2 did nearly as well, 3.2 worse.
            // All mixers' limits add up at the searcher, so each grows and starts with its part of the fleet.
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

    /// The design's choice: least latency x (own parts out + 1), among replicas listed ready, not down, and
    /// not in `not`; a down one gets a part as its check where there are no probes. Failures read as a late
    /// part, by their share in the sort, so that who fails fast draws no parts. Hurts bad luck.
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
            // Within three tenths smoothed latencies are alike: a tie goes to where crossing has no price.
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

    /// The fresh replicas of a shard that take no part of a scan of this luck: so many are kept off that
    /// what falls to the others by their latency stays within the pace. Luck is drawn once a scan: if each
    /// cell drew anew, hardly one of many parts would find all open. Turns were lost where no part came by.
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

    /// How many parts may go to a searcher now for its slow start.
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

    /// Whether the replicas of a shard have room under their limits for so many parts; where none is up, that
    /// is not for the door to say. Little worth may fill less, at slow replicas the least: seven and three
    /// tenths lost nowhere. Who is too slow for the time left has none; the slowest of a few takes half
    /// as long again. Where mixers are many, little worth counts on less time. As latencies lag a recovery,
    /// one part at a time is let in by turns, six times rarer where half are lost.
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

    /// Notes a relay, and tells whether its connection is to be trusted no more: relays after such pauses or
    /// less are lost oftener by a quarter than those after none, and oftener than on new ones. Against all
    /// that closes idle ones unseen: they are shut before use, but for a trial in a check interval. Where new
    /// ones fail as well, on ways or at searchers too slow for them, what is there is kept: what looks lost
    /// is then late. Hurts by needless new ones.
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

    /// What a relay's end tells of its searcher, and whether that seems to have died under the part. A part
    /// in vain is a sample of its latency only where it took longer than usual, so that calling parts off
    /// early (a scan that closed without them) does not make a searcher look quick.
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
        // What others went past, and quickly, is lost by itself: its searcher is not slow for it. Read as
        // latency it would close a sound searcher for seconds; as a failure it weighs as often as it comes.
        let overtaken = wasted
            && state.answered_up_to > attempt.sent_at
            && elapsed > 8.0 * state.latency.unwrap_or(average);
        if answered || lost {
            self.loss_rate += (f64::from(lost) - self.loss_rate) * 0.05;
        }
        // Nobody says after what pause connections are closed. So a loss casts doubt on pauses down to a
        // quarter as long, and an answer clears all shorter ones: else each class costs a scan of its own.
        let affected_class = if outcome == RelayOutcome::Unreachable { NEW_CONNECTION } else { idle_class };
        if answered || lost || outcome == RelayOutcome::Unreachable {
            let lowest = if lost { affected_class.saturating_sub(2).max(1) } else { 1 };
            let first_affected =
                if affected_class == NEW_CONNECTION { NEW_CONNECTION } else { lowest.min(affected_class) };
            let rates = &mut self.loss_by_idle[first_affected..=affected_class];
            rates.iter_mut().for_each(|rate| *rate += (f64::from(!answered) - *rate) / 8.0);
        }
        // Dropped as soon as it was used again (a twentieth of the least that a part takes), it had been
        // closed before: that says nothing of the searcher. And who is not listed any more may well go down.
        let immediate = idle_class > 0 && !attempt.retired && elapsed * 20.0 < self.min_latency;
        let closed_while_idle = outcome == RelayOutcome::ConnectionLost && immediate;
        let died = outcome == RelayOutcome::ConnectionLost && !closed_while_idle && state.entry.ready;
        // It answers what was sent after the loss, and has not started since: its connection broke, no more.
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
                // A twentieth: the last twenty parts or so, some seconds of one mixer's scans.
                self.mean_latency += 0.05 * (elapsed - self.mean_latency);
                // It may rise by half in some hundred answers, should the work itself have grown.
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
