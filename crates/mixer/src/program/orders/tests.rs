use super::*;
use test_case::test_case;

const ORDERS: &str = r#"{"name":"n3","listen":"127.0.0.4:8443","discovery":"127.0.0.1:8500",
  "seed":"8c1f30d27a5be964","limits":{"sockets":1024},
  "known":{"generation":41,"reset":true,"instances":[]},
  "settings":{"tick":5000,"areas":["a","b"],"services":[{"name":"x y","aim":2}],"customers":[]}}"#;

fn read(text: &str) -> Result<Orders, String> {
    Orders::from_json(&Json::parse(text.as_bytes())?, |_| None)
}

#[test]
fn the_settings_are_the_readings_of_the_simulators_wire() {
    let orders = read(ORDERS).unwrap();
    assert_eq!((orders.seed, orders.known.version), (0x8c1f_30d2_7a5b_e964, 41));
    assert_eq!(orders.readings.string_list("areas"), ["a", "b"]);
    assert_eq!(orders.readings.object_names("services"), Ok(vec!["x y".into()]));
    assert_eq!(orders.readings.number("tick", 0.0), Ok(5000.0));
    assert!(orders.descriptors.total() <= 1024);
}

#[test_case("\"seed\":\"8c1f30d27a5be964\"", "\"seed\":7", "seed is not a text of hex digits")]
#[test_case("127.0.0.4:8443", "here", "listen is no address and port: here")]
#[test_case("\"name\":\"n3\",", "", "no name, and ROUTER_NAME is not set")]
#[test_case("\"sockets\":1024", "\"sockets\":3", "limits.sockets: 3 is too few, 64 are needed")]
#[test_case("\"generation\":41,", "", "known: no generation")]
#[test_case("settings\":{", "other\":{", "no settings")]
fn what_is_wrong_is_told_with_its_place(from: &str, to: &str, says: &str) {
    assert_eq!(read(&ORDERS.replace(from, to)).err(), Some(says.into()));
}
