use super::*;
use test_case::test_case;

const CONFIG: &str = r#"{"name":"n3","listen":"127.0.0.4:8443","discovery":"127.0.0.1:8500",
  "seed":"8c1f30d27a5be964","limits":{"sockets":1024},
  "known":{"generation":41,"reset":true,"instances":[]},
  "settings":{"tick":5000,"areas":["a","b"],"services":[{"name":"x y","aim":2}],"customers":[]}}"#;

fn read(text: &str) -> Result<Config, String> {
    Config::from_json(&Json::parse(text.as_bytes())?, |_| None)
}

#[test]
fn settings_are_flattened_to_routing_settings() {
    let config = read(CONFIG).unwrap();
    assert_eq!((config.seed, config.known.version), (0x8c1f_30d2_7a5b_e964, 41));
    assert_eq!(config.routing_settings.string_list("areas"), ["a", "b"]);
    assert_eq!(config.routing_settings.object_names("services"), Ok(vec!["x y".into()]));
    assert_eq!(config.routing_settings.number("tick", 0.0), Ok(5000.0));
    assert!(config.descriptors.total() <= 1024);
}

#[test_case("\"seed\":\"8c1f30d27a5be964\"", "\"seed\":7", "seed is not a string of hex digits")]
#[test_case("127.0.0.4:8443", "here", "listen is not an address and port: here")]
#[test_case("\"name\":\"n3\",", "", "name is missing and ROUTER_NAME is not set")]
#[test_case("\"sockets\":1024", "\"sockets\":3", "limits.sockets: 3 is too low, at least 64 are needed")]
#[test_case("\"generation\":41,", "", "known: no generation")]
#[test_case("settings\":{", "other\":{", "settings is missing or not an object")]
fn errors_name_the_invalid_field(from: &str, to: &str, message: &str) {
    assert_eq!(read(&CONFIG.replace(from, to)).err(), Some(message.into()));
}
