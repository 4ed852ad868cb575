//! Whatever stands in a settings file, it is taken within bounds or refused with its place.

use proptest::prelude::proptest;
use proptest::prop_assert;
use settings::parse;

const SOUND: &str = "vm: v\nhall: h\ncallers: 127.0.0.1:1\npeers: 127.0.0.1:2\n\
                     operations: 127.0.0.1:3\nplatform: 127.0.0.1:4\n";

proptest! {
    #[test]
    fn any_text_is_refused_with_words(text in ".{0,200}") {
        if let Err(e) = parse(&text) {
            prop_assert!(!e.to_string().is_empty());
        }
    }

    #[test]
    fn limits_are_taken_only_within_bounds(stop in 0u64..10_000_000, requests in 0u64..40_000) {
        let text = format!("{SOUND}limits: {{stop_ms: {stop}, requests: {requests}}}\n");
        let sound = (1..=3_600_000).contains(&stop) && (1..=16_384).contains(&requests);
        prop_assert!(parse(&text).is_ok() == sound);
    }

    #[test]
    fn a_line_more_that_nobody_knows_is_refused_by_its_line(key in "[a-z]{3,12}") {
        let known = ["limits", "policy", "log", "seeds", "callers", "peers", "platform", "hall"];
        if !known.contains(&key.as_str()) && key != "operations" {
            let told = parse(&format!("{SOUND}{key}: 1\n")).err().map(|e| e.to_string());
            prop_assert!(told.is_some_and(|told| told.contains("7:1")));
        }
    }
}
