//! Whatever operators write is taken or refused with words, and selectors do what they say.

use std::collections::BTreeMap;

use catalogue::{Labels, Selector, parse_documents};
use proptest::collection::btree_map;
use proptest::prelude::proptest;
use proptest::{prop_assert, prop_assert_eq};

proptest! {
    #[test]
    fn any_text_is_taken_or_refused_with_words(text in "(target|service|customer|---|[ {}:,a-z0-9\\n]){0,60}") {
        if let Err(e) = parse_documents(&text) {
            prop_assert!(!e.to_string().is_empty());
        }
    }

    /// A selector matches just when each of its conditions, taken alone, does.
    #[test]
    fn a_selector_is_the_conjunction_of_its_conditions(
        labels in btree_map("[ab]", "[xyz]", 0..3),
        all in btree_map("[ab]", "[xyz]", 0..3),
        any in btree_map("[ab]", proptest::collection::vec("[xyz]", 0..3), 0..3),
        none in btree_map("[ab]", proptest::collection::vec("[xyz]", 0..3), 0..3),
    ) {
        let labels: Labels = labels;
        let mut expected = true;
        for (key, value) in &all {
            expected &= labels.get(key) == Some(value);
        }
        let among = |values: &BTreeMap<String, Vec<String>>| -> Vec<bool> {
            let one = |(key, values): (&String, &Vec<String>)| {
                labels.get(key).is_some_and(|value| values.contains(value))
            };
            values.iter().map(one).collect()
        };
        expected &= among(&any).iter().all(|found| *found);
        expected &= !among(&none).iter().any(|found| *found);

        let selector = Selector { all, any, none };

        prop_assert_eq!(selector.matches(&labels), expected);
    }
}
