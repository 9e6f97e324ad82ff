//! The difference between two trees, as operations.

use std::sync::Arc;

use serde_json::Value;
use settings::Operation;

/// Returns the operations that lead from one tree to another, in the order of their paths.
pub fn diff(from: &Value, to: &Value) -> Vec<Operation> {
    let mut operations = Vec::new();
    compare("", from, to, &mut operations);
    operations
}

fn compare(path: &str, from: &Value, to: &Value, operations: &mut Vec<Operation>) {
    if from == to {
        return;
    }
    let (Value::Object(old), Value::Object(new)) = (from, to) else {
        operations.push(operation(path, to.clone()));
        return;
    };
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        operations.push(operation(&join(path, name), Value::Null));
    }
    for (name, value) in new {
        let path = join(path, name);
        match old.get(name) {
            Some(old) => compare(&path, old, value, operations),
            None => operations.push(operation(&path, value.clone())),
        }
    }
}

fn operation(path: &str, value: Value) -> Operation {
    Operation {
        path: Arc::from(path),
        value,
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}/{name}")
    }
}
