//! What is wrong with a settings input.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// Characters of a refused value that a fault repeats.
const VALUE_CHARS: usize = 120;

/// One reason why a tree or a change was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Where, with `/` between names; empty for the whole tree.
    pub path: String,
    /// The refused value as JSON, shortened.
    pub value: String,
    /// What would have been accepted.
    pub allowed: String,
}

impl Fault {
    /// Describes a refused value.
    pub fn new(path: &str, value: &Value, allowed: impl Into<String>) -> Self {
        let text = match value {
            Value::Array(_) => "a list".to_owned(),
            Value::Object(_) => "an object".to_owned(),
            plain => plain.to_string(),
        };
        Self {
            path: path.to_owned(),
            value: text.chars().take(VALUE_CHARS).collect(),
            allowed: allowed.into(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            path,
            value,
            allowed,
        } = self;
        write!(f, "path={path:?} value={value:?} allowed={allowed:?}")
    }
}
