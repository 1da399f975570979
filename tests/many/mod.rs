//! What many mixers do together to one set of searchers, in time that is made up: each decides alone, and the
//! sums are judged.

use crate::host::{bare, mixer_of, whole_only, Ending, Story};
use fernglade::retry_budget::RetryBudget;
use fernglade::RelayOutcome;

const FLEET: u32 = 300;
/// How long any part takes, in milliseconds.
const WORK: u64 = 40;

fn one_of(fleet: u32, cells: u32, seed: u32) -> Story {
    bare(mixer_of(
        vec![whole_only()],
        f64::from(fleet),
        RetryBudget::new(3, None),
        true,
        cells,
        u64::from(seed),
    ))
}

/// A searcher of two cores: what comes waits for one of them.
#[derive(Clone, Copy, Default)]
struct Cores([u64; 2]);

impl Cores {
    /// How long a part takes that comes now, all in milliseconds.
    fn takes(&mut self, now: u64) -> u64 {
        let core = self.0.iter_mut().min().expect("two");
        *core = now.max(*core) + WORK;
        *core - now
    }
}

/// What went to the fresh two of one cell's three searchers, and to the third, in each of so many seconds: every
/// mixer has a scan of one part each 2.5 s, one mixer after another.
fn flows(seconds: u64) -> Vec<[usize; 3]> {
    let mut sent = vec![[0; 3]; seconds as usize];
    let mut fleet: Vec<Story> = (1..=FLEET).map(|seed| one_of(FLEET, 1, seed)).collect();
    let (mut cores, round, settling) = ([Cores::default(); 3], 2_500, 60);
    fleet.iter_mut().for_each(|story| story.list_cells(1, 3, 0));
    for lap in 0..settling + seconds * 1_000 / round + 1 {
        for (at, story) in fleet.iter_mut().enumerate() {
            let now = lap * round + at as u64 * round / u64::from(FLEET);
            let from = now.saturating_sub(settling * round);
            story.pass_until(now);
            if lap == settling {
                story.list_cells(1, 3, 2);
            }
            let id = story.scan(1);
            for relay in story.out(id) {
                let second = (from / 1_000) as usize;
                if lap >= settling && second < sent.len() {
                    sent[second][relay.to as usize] += 1;
                }
                story.pass(cores[relay.to as usize].takes(now).min(2_000));
                story.land(relay, RelayOutcome::Succeeded);
            }
        }
    }
    sent
}

#[test]
fn fresh_searchers_get_their_share_from_many_mixers_and_no_more_than_the_rules_pace() {
    let sent = flows(12);
    for (second, pair) in sent.windows(2).enumerate() {
        // The rule: twice what it can do now, for two seconds; a fifth of it at the start, all after 18 s; two cores.
        let can = 2.0 * (0.2 + 0.8 * second as f64 / 18.0);
        let most = 2.0 * can * 2.0 / (WORK as f64 / 1000.0);
        for came in [pair[0][0] + pair[1][0], pair[0][1] + pair[1][1]] {
            // Chance is a few parts in fifty.
            assert!(
                came as f64 <= 1.2 * most,
                "{came} parts in the seconds from {second}, {most} allowed: {sent:?}"
            );
        }
    }
    // 120 parts a second are wanted: a sixth each at the least, and the third is not left to bear it alone.
    let late: Vec<usize> =
        (0..3).map(|at| sent[6..].iter().map(|second| second[at]).sum::<usize>() / 6).collect();
    assert!(late[0] >= 20 && late[1] >= 20 && late[2] <= 70, "{late:?} a second, of 120");
}

/// Each cell has one searcher, all of them fresh: about so large a share of the scans may go there. If each cell
/// were asked by itself, half of the scans at every one of twenty, hardly any would be let in.
#[test]
fn scans_of_many_parts_are_let_in_whole_though_every_cell_is_short() {
    let (mut whole, mut bounced) = (0, 0);
    for seed in 1..=40 {
        let mut story = one_of(FLEET, 20, seed);
        story.list_cells(20, 1, 1);
        for _ in 0..20 {
            let id = story.scan(20);
            story.pass(WORK);
            story.land_all(id, RelayOutcome::Succeeded);
            match story.host.ending(id) {
                Some(Ending::Whole) => whole += 1,
                Some(Ending::Bounced) => bounced += 1,
                other => panic!("{other:?}"),
            }
            story.pass(700);
        }
    }
    assert!(whole * 10 > bounced && bounced > whole, "{whole} whole, {bounced} bounced");
}
