//! Property tests of the document parser's errors and of selectors.

use std::collections::BTreeMap;

use catalogue::{Labels, Selector, parse_documents};
use proptest::collection::btree_map;
use proptest::prelude::proptest;
use proptest::{prop_assert, prop_assert_eq};

proptest! {
    #[test]
    fn errors_for_arbitrary_text_have_a_message(text in "(target|service|customer|---|[ {}:,a-z0-9\\n]){0,60}") {
        if let Err(e) = parse_documents(&text) {
            prop_assert!(!e.to_string().is_empty());
        }
    }

    /// A selector matches exactly if each of its conditions matches on its own.
    #[test]
    fn a_selector_matches_if_all_conditions_match(
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
        let each_has_one_of = |values: &BTreeMap<String, Vec<String>>| -> Vec<bool> {
            let has_one_of = |(key, values): (&String, &Vec<String>)| {
                labels.get(key).is_some_and(|value| values.contains(value))
            };
            values.iter().map(has_one_of).collect()
        };
        expected &= each_has_one_of(&any).iter().all(|found| *found);
        expected &= !each_has_one_of(&none).iter().any(|found| *found);

        let selector = Selector { all, any, none };

        prop_assert_eq!(selector.matches(&labels), expected);
    }
}
