//! What many mixers relay and ask in sum, in made-up time: none knows of another, and the sums are judged.

use fernglade::{Moment, RelayOutcome, Span};
use fernglade_shedding::{Asks, Purse, A_SECOND, SHARE};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

/// Parts a second of one cell, of all mixers together.
const RATE: u64 = 200;

struct Sums {
    honoured: usize,
    lost: usize,
    relayed: usize,
    /// The most that were relayed in one second.
    worst: usize,
}

/// So many mixers, told to be so many, one of which may have a share of all; for 30 s all is well, and for 20 s a share
/// of the first relays is lost, at one cell. What is counted begins with the losses.
fn play(mixers: usize, told: f64, first: f64, lost: f64) -> Sums {
    let mut chance = Pcg64Mcg::seed_from_u64(9);
    let mut fleet: Vec<Purse> = (0..mixers).map(|seed| Purse::new(told, seed as u64)).collect();
    let mut sums = Sums { honoured: 0, lost: 0, relayed: 0, worst: 0 };
    let mut here = (0, 0);
    for step in 0..50 * RATE {
        let now = Moment::from_micros(50_000_000 + step * 1_000_000 / RATE);
        let mixer = if chance.random_bool(first) { 0 } else { chance.random_range(0..mixers) };
        let counted = step >= 30 * RATE;
        if !counted || !chance.random_bool(lost) {
            sums.honoured += usize::from(counted);
            fleet[mixer].landed(now, 3, RelayOutcome::Succeeded);
            continue;
        }
        sums.lost += 1;
        fleet[mixer].landed(now, 3, RelayOutcome::Rejected);
        if fleet[mixer].may_relay(now, 3) {
            fleet[mixer].relayed(now, 3);
            sums.relayed += 1;
            here = if here.0 == step / RATE { (here.0, here.1 + 1) } else { (step / RATE, 1) };
            sums.worst = sums.worst.max(here.1);
        }
    }
    sums
}

/// All of what the cell says is lost: what was earned before is spent, and the few that time alone earns.
#[test_case(3, 3.0, 0.0)]
#[test_case(10, 10.0, 0.0)]
#[test_case(40, 40.0, 0.0)]
#[test_case(300, 300.0, 0.0)]
#[test_case(1_000, 1_000.0, 0.0)]
#[test_case(300, 150.0, 0.0; "told half of their number")]
#[test_case(300, 600.0, 0.0; "told twice their number")]
#[test_case(300, 300.0, 0.25; "one has a quarter of all")]
fn where_a_cell_says_later_to_all_its_load_is_not_thrown_at_others(mixers: usize, told: f64, first: f64) {
    let sums = play(mixers, told, first, 1.0);
    // Ten seconds' earnings; ten and ten more in each ten seconds, times what they are too many for what they are told.
    let most = SHARE * (10 * RATE) as f64 + 30.0 * mixers as f64 / told;
    println!(
        "{mixers} told {told}: {} relayed of {}, {} in the worst second, {most:.0} at most",
        sums.relayed, sums.lost, sums.worst
    );
    assert!(sums.relayed as f64 <= most * 1.1, "{} relayed, {most} at most", sums.relayed);
    assert!(sums.relayed as f64 >= 0.25 * most, "they are there to be used: {} of {most}", sums.relayed);
}

/// A loss that comes once in a while finds its relay nearly always, and no oftener at half the losses is relayed more
/// than the share.
#[test_case(3, 0.0)]
#[test_case(40, 0.0)]
#[test_case(300, 0.0)]
#[test_case(300, 0.25; "one has a quarter of all")]
#[test_case(1_000, 0.0)]
fn few_losses_are_all_relayed_and_many_by_the_share(mixers: usize, first: f64) {
    let few = play(mixers, mixers as f64, first, 0.05);
    let many = play(mixers, mixers as f64, first, 0.5);
    println!(
        "{mixers}: of {} lost {} relayed, of {} lost {} ({} honoured)",
        few.lost, few.relayed, many.lost, many.relayed, many.honoured
    );
    // Of a thousand mixers one hears of the cell once in five seconds and has less than half of a relay at hand.
    let least = if mixers > 300 { 0.35 } else { 0.65 };
    assert!(few.relayed as f64 >= least * few.lost as f64, "{} of {}", few.relayed, few.lost);
    let most = SHARE * (many.honoured as f64 + (10 * RATE) as f64) + 30.0;
    assert!(many.relayed as f64 <= most * 1.1, "{} of {most}", many.relayed);
}

/// Most that fall in a second, and in one interval, where all lose a searcher at the same moment.
fn asked(mixers: usize, told: f64) -> (usize, usize) {
    let mut by_second = vec![0; 200];
    let mut times = Vec::new();
    let every = Asks::new(told, 0).every();
    for mixer in 0..mixers {
        let mut asks = Asks::new(told, mixer as u64);
        let mut at = Moment::from_micros(0) + asks.first();
        while at < Moment::from_micros(200_000_000) {
            by_second[(at.micros() / 1_000_000) as usize] += 1;
            times.push(at);
            at = at + asks.every();
        }
    }
    times.sort_unstable();
    let within = |from: &Moment| times.iter().filter(|at| **at >= *from && at.since(*from) < every).count();
    let starts: Vec<Moment> = times.iter().step_by(times.len() / 50 + 1).copied().collect();
    (by_second.into_iter().max().unwrap_or(0), starts.iter().map(within).max().unwrap_or(0))
}

#[test_case(3)]
#[test_case(10)]
#[test_case(40)]
#[test_case(300)]
#[test_case(1_000)]
fn a_dead_searcher_is_asked_no_oftener_by_a_thousand_than_by_forty(mixers: usize) {
    let (second, interval) = asked(mixers, mixers as f64);
    println!("{mixers} mixers: {second} in the worst second, {interval} in the worst interval");
    assert!(interval <= mixers, "each asks once in an interval, whenever it begins: {interval}");
    // Eight a second, and what chance adds to the worst of two hundred.
    assert!(second as f64 <= A_SECOND + 4.5 * A_SECOND.sqrt(), "{second}");
    // Told half of their number they ask twice as often, and told twice half as often.
    let (half, twice) = (asked(mixers, mixers as f64 / 2.0).0, asked(mixers, mixers as f64 * 2.0).0);
    assert!(half as f64 <= 2.0 * A_SECOND + 4.5 * (2.0 * A_SECOND).sqrt(), "{half}");
    assert!(twice <= second + 4, "{twice} and {second}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever comes, one mixer's relays stay under what was honoured, time and its place among all have earned it;
    /// of a cell as of all, and a few of a thousand are of no use to one that owes.
    #[test]
    fn one_mixers_relays_stay_under_what_it_earned(
        told in 1.0f64..2_000.0,
        seed in 0u64..1_000,
        steps in prop::collection::vec((0u64..4_000_000, 0u32..3, 0u8..3), 1..300),
    ) {
        let mut purse = Purse::new(told, seed);
        let (mut now, mut honoured, mut relayed) = (Moment::from_micros(7), [0usize; 3], [0usize; 3]);
        let began = now;
        for (gap, cell, what) in steps {
            now = now + Span::from_micros(gap);
            let here = cell as usize;
            if what == 0 {
                purse.landed(now, cell, RelayOutcome::Succeeded);
                honoured[here] += 1;
                continue;
            }
            purse.landed(now, cell, RelayOutcome::ConnectionLost);
            if purse.may_relay(now, cell) {
                purse.relayed(now, cell);
                relayed[here] += 1;
            }
            let times = now.since(began).as_f64() / 10e6 + 1.0;
            let most = SHARE * honoured[here] as f64 + 10.0 / told * times + 1.0;
            prop_assert!(relayed[here] as f64 <= most + 1e-6, "{} of {most}", relayed[here]);
            let all = SHARE * honoured.iter().sum::<usize>() as f64 + 100.0 / told * times + 1.0;
            prop_assert!(relayed.iter().sum::<usize>() as f64 <= all + 1e-6);
        }
    }
}
