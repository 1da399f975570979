//! Tests of the combined load that many mixers put on one set of searchers, in simulated time. Each mixer
//! decides alone; the sums are checked.

use crate::host::{complete_only, mixer_of, without_searchers, Ending, Scenario};
use fernglade::retry_budget::RetryBudget;
use fernglade::RelayOutcome;

const MIXERS: u32 = 300;
/// How long each part takes, in milliseconds.
const PART_TIME: u64 = 40;

/// A mixer of a fleet, without searchers.
fn mixer_scenario(mixers: u32, cells: u32, seed: u32) -> Scenario {
    without_searchers(mixer_of(
        vec![complete_only()],
        f64::from(mixers),
        RetryBudget::new(3, None),
        true,
        cells,
        u64::from(seed),
    ))
}

/// A searcher with two cores; a part waits until one of them is free.
#[derive(Clone, Copy, Default)]
struct Cores([u64; 2]);

impl Cores {
    /// Returns how long a part that arrives now takes, in milliseconds.
    fn time_to_finish(&mut self, now: u64) -> u64 {
        let core = self.0.iter_mut().min().expect("two");
        *core = now.max(*core) + PART_TIME;
        *core - now
    }
}

/// Returns the parts sent in each second to the two fresh searchers of a cell and to its third one. Every
/// mixer has a scan of one part each 2.5 s, one mixer after another.
fn sent_per_second(seconds: u64) -> Vec<[usize; 3]> {
    let mut sent = vec![[0; 3]; seconds as usize];
    let mut mixers: Vec<Scenario> = (1..=MIXERS).map(|seed| mixer_scenario(MIXERS, 1, seed)).collect();
    let (mut cores, interval, warm_up_rounds) = ([Cores::default(); 3], 2_500, 60);
    mixers.iter_mut().for_each(|scenario| scenario.list_cells(1, 3, 0));
    for round in 0..warm_up_rounds + seconds * 1_000 / interval + 1 {
        for (at, scenario) in mixers.iter_mut().enumerate() {
            let now = round * interval + at as u64 * interval / u64::from(MIXERS);
            let from = now.saturating_sub(warm_up_rounds * interval);
            scenario.advance_to(now);
            if round == warm_up_rounds {
                scenario.list_cells(1, 3, 2);
            }
            let id = scenario.scan(1);
            for relay in scenario.in_flight(id) {
                let second = (from / 1_000) as usize;
                if round >= warm_up_rounds && second < sent.len() {
                    sent[second][relay.to as usize] += 1;
                }
                scenario.advance(cores[relay.to as usize].time_to_finish(now).min(2_000));
                scenario.finish(relay, RelayOutcome::Succeeded);
            }
        }
    }
    sent
}

#[test]
fn fresh_searchers_get_their_share_from_many_mixers_and_no_more_than_the_rules_pace() {
    let sent = sent_per_second(12);
    for (second, pair) in sent.windows(2).enumerate() {
        // The rule: twice the current capacity, for two seconds; a fifth of the full capacity at the start,
        // all of it after 18 s; two cores.
        let can = 2.0 * (0.2 + 0.8 * second as f64 / 18.0);
        let most = 2.0 * can * 2.0 / (PART_TIME as f64 / 1000.0);
        for arrived in [pair[0][0] + pair[1][0], pair[0][1] + pair[1][1]] {
            // Random variation is a few parts in fifty.
            assert!(
                arrived as f64 <= 1.2 * most,
                "{arrived} parts in the seconds from {second}, {most} allowed: {sent:?}"
            );
        }
    }
    // 120 parts a second are requested. Each fresh searcher gets at least a sixth, so that the third does not
    // bear the load alone.
    let late: Vec<usize> =
        (0..3).map(|at| sent[6..].iter().map(|second| second[at]).sum::<usize>() / 6).collect();
    assert!(late[0] >= 20 && late[1] >= 20 && late[2] <= 70, "{late:?} a second, of 120");
}

/// Each cell has a single, fresh searcher, so about as large a share of the scans as it may be sent can be
/// admitted. If each cell decided on its own, half of the scans at each of twenty cells, hardly any scan
/// would be admitted.
#[test]
fn scans_of_many_parts_are_let_in_whole_though_every_cell_is_short() {
    let (mut complete, mut rejected) = (0, 0);
    for seed in 1..=40 {
        let mut scenario = mixer_scenario(MIXERS, 20, seed);
        scenario.list_cells(20, 1, 1);
        for _ in 0..20 {
            let id = scenario.scan(20);
            scenario.advance(PART_TIME);
            scenario.finish_all(id, RelayOutcome::Succeeded);
            match scenario.host.ending(id) {
                Some(Ending::Complete) => complete += 1,
                Some(Ending::Rejected) => rejected += 1,
                other => panic!("{other:?}"),
            }
            scenario.advance(700);
        }
    }
    assert!(complete * 10 > rejected && rejected > complete, "{complete} complete, {rejected} rejected");
}
