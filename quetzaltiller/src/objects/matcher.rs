//! Matching of labels by equality and by sets of values.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Labels of an upstream or a request.
pub type Labels = BTreeMap<String, String>;

/// Comparison of a label with the values of an expression.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Operator {
    /// The label is present with one of the values.
    In,
    /// The label is absent or has none of the values.
    NotIn,
    /// The label is present.
    Exists,
    /// The label is absent.
    DoesNotExist,
}

/// One condition on one label.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Expression {
    /// Key of the label.
    pub key: String,
    /// How the label is compared with `values`.
    pub operator: Operator,
    /// Values for `in` and `not_in`.
    #[serde(default)]
    pub values: Vec<String>,
}

impl Expression {
    /// Whether `labels` meet the condition.
    pub fn matches(&self, labels: &Labels) -> bool {
        let value = labels.get(&self.key);
        let is_listed = value.is_some_and(|value| self.values.contains(value));
        match self.operator {
            Operator::In => is_listed,
            Operator::NotIn => !is_listed,
            Operator::Exists => value.is_some(),
            Operator::DoesNotExist => value.is_none(),
        }
    }
}

/// Conditions that must all hold; an empty matcher matches nothing.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Matcher {
    /// Labels that must be present with these values.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub labels: Labels,
    /// Conditions beside `labels`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub expressions: Vec<Expression>,
}

impl Matcher {
    /// Whether `labels` meet all conditions.
    pub fn matches(&self, labels: &Labels) -> bool {
        let labels_match = self.labels.iter().all(|(key, value)| labels.get(key) == Some(value));
        !self.is_empty() && labels_match && self.expressions.iter().all(|e| e.matches(labels))
    }

    /// Whether the matcher has no condition.
    pub fn is_empty(&self) -> bool {
        self.labels.is_empty() && self.expressions.is_empty()
    }
}
