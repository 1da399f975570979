//! The fleet laboratory as a whole: the rule checker finds the faults of `naive-mixer`, run as three
//! processes, and nothing in a run without faults.

use fernglade_standins::child::temp_file;
use fernglade_standins::fleet::{runner, Rule, Scenario};
use std::path::Path;
use test_case::test_case;

const SCENARIO: &str = r#"{
  lasts: "3s", mixers: { count: 3 }, searchers: { cells: 2, replicas: 2, notice: ["50ms", "150ms"] },
  clients: { tries: 1 }, budget: { free: 5, share: 0.2, in_sum: 1.2 },
  types: [
    { name: "look", rate: 40, parts: 2, work: "4ms", quoted: "500ms", abandon: "900ms", repeat: "redoable", floor: 0.5 },
    { name: "fix", rate: 20, parts: 1, work: "4ms", quoted: "500ms", abandon: "900ms", repeat: "irreversible" },
  ],
  troubles: [TROUBLE]
}"#;

#[test_case("", "", &[], &[]; "sound, and nothing happens")]
#[test_case("twice", "", &[Rule::Effect, Rule::Budget, Rule::Sum], &[Rule::Answer, Rule::Drain]; "every part goes to two")]
#[test_case("mute", "", &[Rule::Answer], &[Rule::Effect, Rule::Drain, Rule::Sum]; "some scans are never answered")]
#[test_case("deaf", "{ what: 'drain', at: '500ms', searchers: [0, 2] }", &[Rule::Drain], &[Rule::Effect, Rule::Answer]; "a drain is not heeded")]
#[test_case("boasts", "{ what: 'hang', at: '500ms', lasts: '2s', searchers: [0] }", &[Rule::Honest], &[Rule::Drain, Rule::Sum]; "half is called whole")]
#[test_case("hasty", "", &[Rule::Answer], &[Rule::Drain, Rule::Sum]; "parts are sent after the answer")]
fn what_is_planted_is_found_and_nothing_else(
    fault: &str,
    scenario_faults: &str,
    found: &[Rule],
    clean: &[Rule],
) {
    let scenario = Scenario::parse(&SCENARIO.replace("TROUBLE", scenario_faults)).unwrap();
    let operator = temp_file(&format!("planted-{fault}"), fault);
    let program = Path::new(env!("CARGO_BIN_EXE_naive-mixer"));
    let result = runner::run(&scenario, 21, program, Some(&operator)).unwrap();
    let _ = std::fs::remove_file(operator);
    let rules: Vec<Rule> = result.violations.iter().map(|violation| violation.rule).collect();
    assert!(result.statistics.total().scans > 100, "{}", result.statistics);
    assert!(found.iter().all(|rule| rules.contains(rule)), "{found:?} wanted: {:#?}", result.violations);
    assert!(clean.iter().all(|rule| !rules.contains(rule)), "{clean:?} unwanted: {:#?}", result.violations);
    assert!(!found.is_empty() || rules.is_empty(), "{:#?}\n{}", result.violations, result.statistics);
}
