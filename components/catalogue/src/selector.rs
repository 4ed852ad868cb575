//! Labels and the selectors that match them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Labels of an object.
pub type Labels = BTreeMap<String, String>;

/// Conditions on labels; all of them must hold.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Selector {
    /// Labels that must have exactly this value.
    #[serde(default, skip_serializing_if = "Labels::is_empty")]
    pub all: Labels,
    /// Labels that must have one of these values.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub any: BTreeMap<String, Vec<String>>,
    /// Labels that must not have any of these values; an absent label passes.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub none: BTreeMap<String, Vec<String>>,
}

impl Selector {
    /// Whether the labels fulfil every condition.
    pub fn matches(&self, labels: &Labels) -> bool {
        let among = |key: &String, values: &Vec<String>| {
            labels.get(key).is_some_and(|v| values.contains(v))
        };
        self.all.iter().all(|(k, v)| labels.get(k) == Some(v))
            && self.any.iter().all(|(k, vs)| among(k, vs))
            && !self.none.iter().any(|(k, vs)| among(k, vs))
    }

    /// Whether the selector has no condition and so matches everything.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty() && self.any.is_empty() && self.none.is_empty()
    }

    /// Every label key that the selector mentions.
    pub fn keys(&self) -> impl Iterator<Item = &String> {
        self.all.keys().chain(self.any.keys()).chain(self.none.keys())
    }
}
