//! The scenario files in `days/` parse, and errors in others are reported with their place.

use fernglade_standins::fleet::Scenario;
use std::path::Path;
use test_case::test_case;

#[test]
fn every_shipped_day_is_read_and_asks_for_the_same_on_the_same_seed() {
    let days = std::fs::read_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join("days")).unwrap();
    for path in days.map(|entry| entry.unwrap().path()) {
        let day = Scenario::parse(&std::fs::read_to_string(&path).unwrap());
        let day = day.unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        let arrivals = day.arrivals(5);
        assert!(arrivals.len() > 100 && arrivals == day.arrivals(5) && arrivals != day.arrivals(6));
        let half = day.with_load(0.5 * day.load()).arrivals(5).len() as f64 / arrivals.len() as f64;
        assert!((0.4..0.6).contains(&half), "{}: {half}", path.display());
    }
}

const SOUND: &str = r#"{
  lasts: "1s", mixers: { count: 2 }, searchers: { cells: 1, replicas: 2 },
  types: [{ name: "look", rate: 5, parts: 1, work: "1ms", quoted: "1s", abandon: "2s", repeat: "redoable" }],
  troubles: [{ what: "burst", at: "0s", lasts: "1s", times: 9, of: "look" }],
}"#;

#[test]
fn a_burst_brings_so_many_more_and_a_skew_gives_one_mixer_its_share() {
    let day = Scenario::parse(&SOUND.replace("lasts: \"1s\", mixers", "lasts: \"300s\", mixers")).unwrap();
    let arrivals = day.arrivals(1);
    let first = arrivals.iter().filter(|arrival| arrival.at.as_secs() < 1).count();
    assert!((20..80).contains(&first), "{first} in a second of 45");
    let skewed = Scenario::parse(
        &SOUND.replace("count: 2", "count: 5, first: 0.75").replace("\"1s\", mix", "\"300s\", mix"),
    );
    let arrivals = skewed.unwrap().arrivals(1);
    let share = arrivals.iter().filter(|arrival| arrival.mixer == 0).count() as f64 / arrivals.len() as f64;
    assert!((0.7..0.8).contains(&share), "{share}");
}

#[test_case("count: 2", "count: 0", "mixers.count: expected 1 to 64"; "no mixer")]
#[test_case("replicas: 2", "replicas: 999", "searchers: expected 1 to 256"; "too many searchers")]
#[test_case("parts: 1", "parts: 9", "types[0].parts: expected 1 to as many"; "more parts than shards")]
#[test_case("work: \"1ms\"", "work: \"a bit\"", "types[0].work: \"a bit\" is not a duration"; "no time")]
#[test_case("of: \"look\"", "of: \"lock\"", "troubles[0].of: there is no such"; "an unknown type")]
#[test_case("of: \"look\"", "mixers: [7]", "troubles[0].mixers: index 7 does not exist"; "an unknown mixer")]
#[test_case("of: \"look\"", "searchers: 1.5", "troubles[0].searchers: 1.5 is not a share"; "no share")]
#[test_case("what: \"burst\"", "what: \"thunder\"", "troubles[0].what"; "an unknown trouble")]
#[test_case("rate: 5", "rat: 5", "types[0]"; "an unknown key")]
fn what_is_wrong_is_told_with_its_place(from: &str, to: &str, says: &str) {
    let error = Scenario::parse(&SOUND.replace(from, to)).unwrap_err().to_string();
    assert!(error.starts_with(says), "{error}");
}
