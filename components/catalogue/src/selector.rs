//! Labels and the selectors that match them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Labels of an object, as key-value pairs.
pub type Labels = BTreeMap<String, String>;

/// Conditions on labels, all of which must hold.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Selector {
    /// Labels that must be present with exactly this value.
    #[serde(default, skip_serializing_if = "Labels::is_empty")]
    pub all: Labels,
    /// Labels that must be present with one of these values.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub any: BTreeMap<String, Vec<String>>,
    /// Labels that must not have any of these values; an absent label is accepted.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub none: BTreeMap<String, Vec<String>>,
}

impl Selector {
    /// Whether the labels meet every condition.
    pub fn matches(&self, labels: &Labels) -> bool {
        let has_one_of = |key: &String, values: &Vec<String>| {
            labels.get(key).is_some_and(|v| values.contains(v))
        };
        self.all.iter().all(|(k, v)| labels.get(k) == Some(v))
            && self.any.iter().all(|(k, vs)| has_one_of(k, vs))
            && !self.none.iter().any(|(k, vs)| has_one_of(k, vs))
    }

    /// Whether the selector has no conditions, and so matches all labels.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty() && self.any.is_empty() && self.none.is_empty()
    }

    /// The label keys in all conditions; a key may occur more than once.
    pub fn keys(&self) -> impl Iterator<Item = &String> {
        self.all.keys().chain(self.any.keys()).chain(self.none.keys())
    }
}
