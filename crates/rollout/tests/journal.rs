//! The journal: whatever it is cut or spoilt at, nothing is read that was not written.

use fernglade_rollout::journal::{last_change, read, Record};
use fernglade_rollout::metrics_sample::Incarnation;
use fernglade_rollout::spec::Side;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn record() -> impl Strategy<Value = Record> {
    let words = "[ -~]{0,20}";
    prop_oneof![
        (words, words).prop_map(|(change, plan)| Record::Begun { change, plan }),
        (0usize..9, prop::collection::vec((0usize..9, words.prop_map(Incarnation)), 0..3))
            .prop_map(|(step, twins)| Record::Step { step, twins }),
        (0usize..9, any::<bool>(), prop::option::of(words.prop_map(Incarnation))).prop_map(
            |(mixer, new, from)| {
                Record::Ordered { mixer, side: if new { Side::New } else { Side::Old }, from }
            }
        ),
        words.prop_map(|why| Record::Held { why, unsure: true }),
        Just(Record::Paused),
        words.prop_map(|why| Record::Ended { side: Side::Old, why }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn cut_anywhere_it_is_read_up_to_the_last_whole_line(records in prop::collection::vec(record(), 1..8), at in 0.0f64..1.0) {
        let bytes: Vec<u8> = records.iter().flat_map(|record| record.to_line().into_bytes()).collect();
        let cut = (at * bytes.len() as f64) as usize;
        let (found, good) = read(&bytes[..cut]).unwrap();
        prop_assert!(good <= cut && records.starts_with(&found));
        let whole = bytes[..cut].iter().filter(|byte| **byte == b'\n').count();
        prop_assert_eq!(found.len(), whole);
    }

    #[test]
    fn a_bit_that_turned_is_found(records in prop::collection::vec(record(), 2..6), at in 0.0f64..1.0, bit in 0u8..8) {
        let mut bytes: Vec<u8> = records.iter().flat_map(|record| record.to_line().into_bytes()).collect();
        let at = (at * bytes.len() as f64) as usize;
        bytes[at] ^= 1 << bit;
        match read(&bytes) {
            // In the last line it is as good as torn; a checksum's digits may be written in two ways.
            Ok((found, _)) => prop_assert!(records.starts_with(&found), "{found:?}"),
            Err(damaged) => prop_assert!(damaged.line <= records.len() + 1),
        }
    }
}

#[test]
fn the_last_change_is_what_counts() {
    let begun = |name: &str| Record::Begun { change: name.into(), plan: "p".into() };
    let ended = Record::Ended { side: Side::New, why: String::new() };
    assert_eq!(last_change(&[]), None);
    let records = [begun("a"), ended.clone(), begun("b"), Record::Paused];
    assert_eq!(last_change(&records), Some((&records[2..], false)));
    assert!(last_change(&records[..2]).unwrap().1);
}
