//! Simulates what many mixers relay and probe in total, in virtual time: no mixer knows of another, and the
//! totals are checked.

use fernglade::{Moment, RelayOutcome, Span};
use fernglade_shedding::{FleetRetryBudget, ProbeSchedule, PROBES_PER_SECOND, RETRY_SHARE};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

/// Parts a second of one cell, from all mixers together.
const PARTS_PER_SECOND: u64 = 200;

struct Totals {
    succeeded: usize,
    lost: usize,
    relayed: usize,
    /// The most relays in one second.
    worst_second: usize,
}

/// Simulates a number of mixers with a stated fleet size, the first of which may get a share of the load to
/// itself. For 30 s all parts succeed; for 20 s a share of the first relays is lost at one cell. Counting
/// starts with the losses.
fn simulate(mixers: usize, stated_size: f64, first_mixer_share: f64, lost: f64) -> Totals {
    let mut rng = Pcg64Mcg::seed_from_u64(9);
    let mut fleet: Vec<FleetRetryBudget> =
        (0..mixers).map(|seed| FleetRetryBudget::new(stated_size, seed as u64)).collect();
    let mut totals = Totals { succeeded: 0, lost: 0, relayed: 0, worst_second: 0 };
    let mut in_second = (0, 0);
    for step in 0..50 * PARTS_PER_SECOND {
        let now = Moment::from_micros(50_000_000 + step * 1_000_000 / PARTS_PER_SECOND);
        let mixer = if rng.random_bool(first_mixer_share) { 0 } else { rng.random_range(0..mixers) };
        let counted = step >= 30 * PARTS_PER_SECOND;
        if !counted || !rng.random_bool(lost) {
            totals.succeeded += usize::from(counted);
            fleet[mixer].record_outcome(now, 3, RelayOutcome::Succeeded);
            continue;
        }
        totals.lost += 1;
        fleet[mixer].record_outcome(now, 3, RelayOutcome::Rejected);
        if fleet[mixer].may_relay(now, 3) {
            fleet[mixer].record_relay(now, 3);
            totals.relayed += 1;
            in_second = if in_second.0 == step / PARTS_PER_SECOND {
                (in_second.0, in_second.1 + 1)
            } else {
                (step / PARTS_PER_SECOND, 1)
            };
            totals.worst_second = totals.worst_second.max(in_second.1);
        }
    }
    totals
}

/// All parts of the cell are lost: mixers spend what they earned before, and the allowance that time alone
/// earns.
#[test_case(3, 3.0, 0.0)]
#[test_case(10, 10.0, 0.0)]
#[test_case(40, 40.0, 0.0)]
#[test_case(300, 300.0, 0.0)]
#[test_case(1_000, 1_000.0, 0.0)]
#[test_case(300, 150.0, 0.0; "stated as half of their number")]
#[test_case(300, 600.0, 0.0; "stated as twice their number")]
#[test_case(300, 300.0, 0.25; "one mixer gets a quarter of the load")]
fn a_cell_that_rejects_everything_does_not_shift_its_load_to_others(
    mixers: usize,
    stated_size: f64,
    first_mixer_share: f64,
) {
    let totals = simulate(mixers, stated_size, first_mixer_share, 1.0);
    // The earnings of ten seconds, and an allowance of ten at once and ten in each ten seconds, times the
    // real over the stated size of the fleet.
    let most = RETRY_SHARE * (10 * PARTS_PER_SECOND) as f64 + 30.0 * mixers as f64 / stated_size;
    println!(
        "{mixers} mixers, stated as {stated_size}: {} relayed of {}, {} in the worst second, {most:.0} at most",
        totals.relayed, totals.lost, totals.worst_second
    );
    assert!(totals.relayed as f64 <= most * 1.1, "{} relayed, {most} at most", totals.relayed);
    assert!(totals.relayed as f64 >= 0.25 * most, "the budget is used: {} of {most}", totals.relayed);
}

/// Occasional losses are nearly always relayed, and when half of the parts are lost, no more than the share
/// is relayed.
#[test_case(3, 0.0)]
#[test_case(40, 0.0)]
#[test_case(300, 0.0)]
#[test_case(300, 0.25; "one mixer gets a quarter of the load")]
#[test_case(1_000, 0.0)]
fn few_losses_are_nearly_all_relayed_and_many_up_to_the_share(mixers: usize, first_mixer_share: f64) {
    let few = simulate(mixers, mixers as f64, first_mixer_share, 0.05);
    let many = simulate(mixers, mixers as f64, first_mixer_share, 0.5);
    println!(
        "{mixers}: of {} lost {} relayed, of {} lost {} ({} succeeded)",
        few.lost, few.relayed, many.lost, many.relayed, many.succeeded
    );
    // Each of a thousand mixers sees a part of the cell once in five seconds and has less than half of a
    // relay available.
    let least = if mixers > 300 { 0.35 } else { 0.65 };
    assert!(few.relayed as f64 >= least * few.lost as f64, "{} of {}", few.relayed, few.lost);
    let most = RETRY_SHARE * (many.succeeded as f64 + (10 * PARTS_PER_SECOND) as f64) + 30.0;
    assert!(many.relayed as f64 <= most * 1.1, "{} of {most}", many.relayed);
}

/// The most probes in one second, and in one interval, when all mixers lose a searcher at the same moment.
fn probes(mixers: usize, stated_size: f64) -> (usize, usize) {
    let mut by_second = vec![0; 200];
    let mut times = Vec::new();
    let interval = ProbeSchedule::new(stated_size, 0).interval();
    for mixer in 0..mixers {
        let mut schedule = ProbeSchedule::new(stated_size, mixer as u64);
        let mut at = Moment::from_micros(0) + schedule.first_delay();
        while at < Moment::from_micros(200_000_000) {
            by_second[(at.micros() / 1_000_000) as usize] += 1;
            times.push(at);
            at = at + schedule.interval();
        }
    }
    times.sort_unstable();
    let within =
        |from: &Moment| times.iter().filter(|at| **at >= *from && at.since(*from) < interval).count();
    let starts: Vec<Moment> = times.iter().step_by(times.len() / 50 + 1).copied().collect();
    (by_second.into_iter().max().unwrap_or(0), starts.iter().map(within).max().unwrap_or(0))
}

#[test_case(3)]
#[test_case(10)]
#[test_case(40)]
#[test_case(300)]
#[test_case(1_000)]
fn a_dead_searcher_is_probed_no_more_by_a_thousand_mixers_than_by_forty(mixers: usize) {
    let (second, interval) = probes(mixers, mixers as f64);
    println!("{mixers} mixers: {second} in the worst second, {interval} in the worst interval");
    assert!(interval <= mixers, "each mixer probes once in an interval, whenever it begins: {interval}");
    // Eight a second, and what chance adds in the worst of two hundred seconds.
    assert!(second as f64 <= PROBES_PER_SECOND + 4.5 * PROBES_PER_SECOND.sqrt(), "{second}");
    // With half of its size stated the fleet probes twice as often, with twice its size half as often.
    let (half, twice) = (probes(mixers, mixers as f64 / 2.0).0, probes(mixers, mixers as f64 * 2.0).0);
    assert!(half as f64 <= 2.0 * PROBES_PER_SECOND + 4.5 * (2.0 * PROBES_PER_SECOND).sqrt(), "{half}");
    assert!(twice <= second + 4, "{twice} and {second}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever happens, one mixer relays no more than successful parts, time and its offset have earned it,
    /// for a cell as for all. The allowance of a fleet of a thousand does not help a mixer that is in debt.
    #[test]
    fn the_relays_of_one_mixer_stay_within_its_budget(
        stated_size in 1.0f64..2_000.0,
        seed in 0u64..1_000,
        steps in prop::collection::vec((0u64..4_000_000, 0u32..3, 0u8..3), 1..300),
    ) {
        let mut budget = FleetRetryBudget::new(stated_size, seed);
        let (mut now, mut succeeded, mut relayed) = (Moment::from_micros(7), [0usize; 3], [0usize; 3]);
        let start = now;
        for (gap, cell, what) in steps {
            now = now + Span::from_micros(gap);
            let at_cell = cell as usize;
            if what == 0 {
                budget.record_outcome(now, cell, RelayOutcome::Succeeded);
                succeeded[at_cell] += 1;
                continue;
            }
            budget.record_outcome(now, cell, RelayOutcome::ConnectionLost);
            if budget.may_relay(now, cell) {
                budget.record_relay(now, cell);
                relayed[at_cell] += 1;
            }
            let times = now.since(start).as_f64() / 10e6 + 1.0;
            let most = RETRY_SHARE * succeeded[at_cell] as f64 + 10.0 / stated_size * times + 1.0;
            prop_assert!(relayed[at_cell] as f64 <= most + 1e-6, "{} of {most}", relayed[at_cell]);
            let all = RETRY_SHARE * succeeded.iter().sum::<usize>() as f64 + 100.0 / stated_size * times + 1.0;
            prop_assert!(relayed.iter().sum::<usize>() as f64 <= all + 1e-6);
        }
    }
}
