//! What a searcher has room for: cores, a queue, a cold start, and the point at which it topples. Pure: times come in.

use super::scenario::Searchers;
use fernglade::{Moment, Span};
use std::collections::VecDeque;

/// What becomes of a part that has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It is done then.
    CompletesAt(Moment),
    /// The queue is full.
    Rejected,
    /// It takes it, and nothing ever comes of it.
    NeverAnswered,
}

pub struct SearcherModel {
    /// When each core is next free.
    cores: Vec<Moment>,
    /// When those who wait begin; they leave as they do.
    waiting: VecDeque<Moment>,
    queue: usize,
    /// Since when it has been up, where it began cold.
    since: Option<Moment>,
    cold_from: f64,
    cold: Span,
    multiple: f64,
    fall: Span,
    /// Work that came within the last `fall`, and its sum in microseconds.
    came: VecDeque<(Moment, Span)>,
    sum: u64,
    /// How many times as long everything takes.
    pub slow: f64,
    /// Takes work, answers nothing; and how much it holds so.
    pub hanging: bool,
    held: usize,
    /// Turns everything away.
    pub full: bool,
    pub collapsed: bool,
    /// Not there at all.
    pub gone: bool,
    /// Counts its starts: what an earlier life took is not answered.
    pub life: u32,
}

fn span(time: std::time::Duration) -> Span {
    Span::of_micros(time.as_micros() as u64)
}

impl SearcherModel {
    pub fn new(told: &Searchers) -> Self {
        Self {
            cores: vec![Moment::default(); told.cores.max(1)],
            waiting: VecDeque::new(),
            queue: told.queue,
            since: None,
            cold_from: told.cold_from,
            cold: span(told.cold),
            multiple: told.fall_multiple,
            fall: span(told.fall),
            came: VecDeque::new(),
            sum: 0,
            slow: 1.0,
            hanging: false,
            held: 0,
            full: false,
            collapsed: false,
            gone: false,
            life: 0,
        }
    }

    pub fn stop(&mut self) {
        (self.gone, self.life, self.held) = (true, self.life + 1, 0);
    }

    /// Back, cold, with nothing in hand.
    pub fn restart_cold(&mut self, now: Moment) {
        (self.gone, self.since, self.sum) = (false, Some(now), 0);
        self.cores.iter_mut().for_each(|core| *core = now);
        self.waiting.clear();
        self.came.clear();
    }

    /// What it held while it hung is lost for good.
    pub fn set_hanging(&mut self, hanging: bool) {
        (self.hanging, self.held) = (hanging, 0);
    }

    /// The share of a warm one's speed that it has.
    fn speed(&self, now: Moment) -> f64 {
        let Some(since) = self.since else { return 1.0 };
        let age = now.since(since).as_f64() / self.cold.as_f64().max(1.0);
        self.cold_from + (1.0 - self.cold_from) * age.min(1.0)
    }

    /// Takes a part in that needs so much work. What is turned away presses too, as reading it is work.
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
        let takes = work * (self.slow / self.speed(now));
        let core = self.cores.iter_mut().min().expect("a core at least");
        let begins = now.max(*core);
        *core = begins + takes;
        let ends = *core;
        if begins > now {
            self.waiting.push_back(begins);
        }
        Admission::CompletesAt(ends)
    }

    /// Work beside the parts: a handshake.
    pub fn add_work(&mut self, now: Moment, work: Span) {
        self.record_load(now, work);
        let takes = work * (1.0 / self.speed(now));
        let core = self.cores.iter_mut().min().expect("a core at least");
        *core = now.max(*core) + takes;
    }

    fn record_load(&mut self, now: Moment, work: Span) {
        self.came.push_back((now, work));
        self.sum += work.micros();
        while let Some((at, gone)) = self.came.front().copied().filter(|(at, _)| now.since(*at) > self.fall) {
            debug_assert!(at < now);
            self.sum -= gone.micros();
            self.came.pop_front();
        }
        let is_cold = self.since.is_some_and(|since| now.since(since) < self.cold);
        let can = self.cores.len() as f64 * self.speed(now) * self.fall.as_f64();
        self.collapsed |= is_cold && self.sum as f64 > self.multiple * can;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fleet::Scenario;

    fn searcher_model() -> SearcherModel {
        let day =
            r#"{lasts: "1s", mixers: {count: 1}, types: [], searchers: {cells: 1, replicas: 1, queue: 2}}"#;
        SearcherModel::new(&Scenario::parse(day).unwrap().searchers)
    }

    fn at(millis: u64) -> Moment {
        Moment::at_micros(millis * 1000)
    }

    #[test]
    fn two_are_at_work_two_wait_and_the_fifth_is_turned_away() {
        let (mut post, work) = (searcher_model(), Span::of_millis(10));
        let taken: Vec<Admission> = (0..5).map(|_| post.admit(at(100), work)).collect();
        let ends = |millis| Admission::CompletesAt(at(millis));
        assert_eq!(taken, [ends(110), ends(110), ends(120), ends(120), Admission::Rejected]);
        assert_eq!(post.admit(at(111), work), ends(130), "one has begun, and left the queue");
    }

    #[test]
    fn one_that_hangs_takes_as_much_as_it_has_room_for_and_then_says_later() {
        let mut post = searcher_model();
        post.set_hanging(true);
        let taken: Vec<Admission> = (0..5).map(|_| post.admit(at(100), Span::of_millis(10))).collect();
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
        post.set_hanging(false);
        assert_eq!(post.admit(at(200), Span::of_millis(10)), Admission::CompletesAt(at(210)));
    }

    #[test]
    fn a_cold_one_is_slow_and_topples_when_pressed_and_a_warm_one_never_does() {
        let (mut cold, mut warm) = (searcher_model(), searcher_model());
        cold.stop();
        cold.restart_cold(at(1_000));
        assert_eq!(
            cold.admit(at(1_000), Span::of_millis(10)),
            Admission::CompletesAt(at(1_030)),
            "a third of the speed"
        );
        // Two cores at a third for two seconds, and two and a half times that: 3.3 s of work, and a little for age.
        let mut pressed = 0;
        while !cold.collapsed && pressed < 10_000 {
            cold.admit(at(1_500), Span::of_millis(10));
            warm.admit(at(1_500), Span::of_millis(10));
            pressed += 1;
        }
        assert!((330..500).contains(&pressed) && !warm.collapsed, "{pressed}");
    }
}
