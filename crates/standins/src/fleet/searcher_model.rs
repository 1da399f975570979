//! A model of a searcher's capacity: cores, a queue, a cold start, and the point at which it collapses. Does
//! no I/O and reads no clock.

use super::scenario::Searchers;
use fernglade::{Moment, Span};
use std::collections::VecDeque;

/// What happens to a part that has arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It is completed at this time.
    CompletesAt(Moment),
    /// The queue is full.
    Rejected,
    /// It is accepted and never answered.
    NeverAnswered,
}

/// A searcher.
pub struct SearcherModel {
    /// When each core is next free.
    cores: Vec<Moment>,
    /// When each waiting part will start; it then leaves the queue.
    waiting: VecDeque<Moment>,
    queue: usize,
    /// When it was last started cold, if it was.
    cold_since: Option<Moment>,
    cold_from: f64,
    cold: Span,
    fall_multiple: f64,
    fall: Span,
    /// Work that arrived within the last `fall`.
    recent_work: VecDeque<(Moment, Span)>,
    /// The sum of that work, in microseconds.
    recent_sum: u64,
    /// The factor by which all work takes longer.
    pub slow: f64,
    /// Accepts work and answers nothing.
    pub hanging: bool,
    /// Parts accepted while hanging.
    held: usize,
    /// Rejects everything.
    pub full: bool,
    /// Has collapsed under too much work while cold; it answers nothing any more.
    pub collapsed: bool,
    /// Not running.
    pub down: bool,
    /// Number of crashes so far. Parts accepted before a crash are not answered.
    pub life: u32,
}

fn span(time: std::time::Duration) -> Span {
    Span::from_micros(time.as_micros() as u64)
}

impl SearcherModel {
    /// A warm searcher.
    pub fn new(config: &Searchers) -> Self {
        Self {
            cores: vec![Moment::default(); config.cores.max(1)],
            waiting: VecDeque::new(),
            queue: config.queue,
            cold_since: None,
            cold_from: config.cold_from,
            cold: span(config.cold),
            fall_multiple: config.fall_multiple,
            fall: span(config.fall),
            recent_work: VecDeque::new(),
            recent_sum: 0,
            slow: 1.0,
            hanging: false,
            held: 0,
            full: false,
            collapsed: false,
            down: false,
            life: 0,
        }
    }

    /// Crashes.
    pub fn stop(&mut self) {
        (self.down, self.life, self.held) = (true, self.life + 1, 0);
    }

    /// Restarts, cold and without work.
    pub fn restart_cold(&mut self, now: Moment) {
        (self.down, self.cold_since, self.recent_sum) = (false, Some(now), 0);
        self.cores.iter_mut().for_each(|core| *core = now);
        self.waiting.clear();
        self.recent_work.clear();
    }

    /// Starts or stops hanging. Parts accepted while hanging are never answered.
    pub fn set_hanging(&mut self, hanging: bool) {
        (self.hanging, self.held) = (hanging, 0);
    }

    /// Its current speed as a share of its full speed.
    fn speed(&self, now: Moment) -> f64 {
        let Some(since) = self.cold_since else { return 1.0 };
        let age = now.since(since).as_f64() / self.cold.as_f64().max(1.0);
        self.cold_from + (1.0 - self.cold_from) * age.min(1.0)
    }

    /// Handles an arriving part that needs `work`. A rejected part counts towards a collapse too, as reading
    /// it is work.
    pub fn admit(&mut self, now: Moment, work: Span) -> Admission {
        self.record_load(now, work);
        while self.waiting.front().is_some_and(|begins| *begins <= now) {
            self.waiting.pop_front();
        }
        if self.hanging || self.collapsed {
            self.held += 1;
            return if self.held > self.queue + self.cores.len() {
                Admission::Rejected
            } else {
                Admission::NeverAnswered
            };
        }
        if self.full || self.waiting.len() >= self.queue {
            return Admission::Rejected;
        }
        let duration = work * (self.slow / self.speed(now));
        let core = self.cores.iter_mut().min().expect("there is at least one core");
        let begins = now.max(*core);
        *core = begins + duration;
        let ends = *core;
        if begins > now {
            self.waiting.push_back(begins);
        }
        Admission::CompletesAt(ends)
    }

    /// Adds work other than parts, e.g. a handshake.
    pub fn add_work(&mut self, now: Moment, work: Span) {
        self.record_load(now, work);
        let duration = work * (1.0 / self.speed(now));
        let core = self.cores.iter_mut().min().expect("there is at least one core");
        *core = now.max(*core) + duration;
    }

    /// Counts arriving work, and collapses if it is too much for a cold searcher.
    fn record_load(&mut self, now: Moment, work: Span) {
        self.recent_work.push_back((now, work));
        self.recent_sum += work.micros();
        while let Some((at, expired)) =
            self.recent_work.front().copied().filter(|(at, _)| now.since(*at) > self.fall)
        {
            debug_assert!(at < now);
            self.recent_sum -= expired.micros();
            self.recent_work.pop_front();
        }
        let is_cold = self.cold_since.is_some_and(|since| now.since(since) < self.cold);
        let capacity = self.cores.len() as f64 * self.speed(now) * self.fall.as_f64();
        self.collapsed |= is_cold && self.recent_sum as f64 > self.fall_multiple * capacity;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fleet::Scenario;

    fn searcher_model() -> SearcherModel {
        let scenario =
            r#"{lasts: "1s", mixers: {count: 1}, types: [], searchers: {cells: 1, replicas: 1, queue: 2}}"#;
        SearcherModel::new(&Scenario::parse(scenario).unwrap().searchers)
    }

    fn at(millis: u64) -> Moment {
        Moment::from_micros(millis * 1000)
    }

    #[test]
    fn two_are_at_work_two_wait_and_the_fifth_is_turned_away() {
        let (mut model, work) = (searcher_model(), Span::from_millis(10));
        let taken: Vec<Admission> = (0..5).map(|_| model.admit(at(100), work)).collect();
        let ends = |millis| Admission::CompletesAt(at(millis));
        assert_eq!(taken, [ends(110), ends(110), ends(120), ends(120), Admission::Rejected]);
        assert_eq!(model.admit(at(111), work), ends(130), "one has started and left the queue");
    }

    #[test]
    fn one_that_hangs_takes_as_much_as_it_has_room_for_and_then_says_later() {
        let mut model = searcher_model();
        model.set_hanging(true);
        let taken: Vec<Admission> = (0..5).map(|_| model.admit(at(100), Span::from_millis(10))).collect();
        assert_eq!(
            taken,
            [
                Admission::NeverAnswered,
                Admission::NeverAnswered,
                Admission::NeverAnswered,
                Admission::NeverAnswered,
                Admission::Rejected
            ]
        );
        model.set_hanging(false);
        assert_eq!(model.admit(at(200), Span::from_millis(10)), Admission::CompletesAt(at(210)));
    }

    #[test]
    fn a_cold_one_is_slow_and_topples_when_pressed_and_a_warm_one_never_does() {
        let (mut cold, mut warm) = (searcher_model(), searcher_model());
        cold.stop();
        cold.restart_cold(at(1_000));
        assert_eq!(
            cold.admit(at(1_000), Span::from_millis(10)),
            Admission::CompletesAt(at(1_030)),
            "a third of the speed"
        );
        // Two cores at a third of their speed for two seconds, times two and a half: 3.3 s of work, and a
        // little more as the searcher warms up.
        let mut parts = 0;
        while !cold.collapsed && parts < 10_000 {
            cold.admit(at(1_500), Span::from_millis(10));
            warm.admit(at(1_500), Span::from_millis(10));
            parts += 1;
        }
        assert!((330..500).contains(&parts) && !warm.collapsed, "{parts}");
    }
}
