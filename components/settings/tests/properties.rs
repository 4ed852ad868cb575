//! Property tests: settings are accepted only within their limits, and errors name the location.

use proptest::prelude::proptest;
use proptest::prop_assert;
use settings::parse;

const VALID: &str = "vm: v\nhall: h\ncallers: 127.0.0.1:1\npeers: 127.0.0.1:2\n\
                     operations: 127.0.0.1:3\nplatform: 127.0.0.1:4\n";

proptest! {
    #[test]
    fn errors_for_arbitrary_text_have_a_message(text in ".{0,200}") {
        if let Err(e) = parse(&text) {
            prop_assert!(!e.to_string().is_empty());
        }
    }

    #[test]
    fn limits_are_accepted_only_within_their_range(stop in 0u64..10_000_000, requests in 0u64..40_000) {
        let text = format!("{VALID}limits: {{stop_ms: {stop}, requests: {requests}}}\n");
        let valid = (1..=3_600_000).contains(&stop) && (1..=16_384).contains(&requests);
        prop_assert!(parse(&text).is_ok() == valid);
    }

    #[test]
    fn an_unknown_key_is_refused_with_its_line(key in "[a-z]{3,12}") {
        let known = ["limits", "policy", "log", "seeds", "callers", "peers", "platform", "hall"];
        if !known.contains(&key.as_str()) && key != "operations" {
            let message = parse(&format!("{VALID}{key}: 1\n")).err().map(|e| e.to_string());
            prop_assert!(message.is_some_and(|message| message.contains("7:1")));
        }
    }
}
