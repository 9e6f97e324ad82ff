//! Changes to the tree.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use crate::Error;
use crate::Fault;
use crate::SCHEMA;
use crate::Tree;

/// What an operator wants changed, all of it or nothing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Chosen by the operator's program; the same id is never applied twice.
    pub id: Arc<str>,
    /// The revision that the operator saw.
    pub base: u64,
    /// Who wants it.
    pub operator: Arc<str>,
    /// The steps, applied in order.
    pub operations: Vec<Operation>,
}

/// One step of a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// Names with `/` between them, from the root; empty for the whole tree.
    pub path: Arc<str>,
    /// The new value; `null` removes what is there.
    pub value: Value,
}

/// Returns the tree after a change, or why it is refused.
pub fn apply(tree: &Tree, change: &Change) -> Result<Tree, Error> {
    if !tree.is_editable() {
        return Err(Error::Newer {
            found: tree.schema,
            known: SCHEMA,
        });
    }
    let mut root = tree.to_value();
    for operation in &change.operations {
        edit(&mut root, operation)?;
    }
    Tree::read(&root).map_err(|faults| Error::Faulty { faults })
}

fn edit(root: &mut Value, operation: &Operation) -> Result<(), Error> {
    if operation.path.is_empty() {
        *root = operation.value.clone();
        return Ok(());
    }
    let names: Vec<&str> = operation.path.split('/').collect();
    let (last, parents) = names
        .split_last()
        .expect("a split yields at least one part");
    let mut place = root;
    for name in parents {
        let object = members(place, operation)?;
        place = object
            .entry(*name)
            .or_insert_with(|| Value::Object(Map::new()));
    }
    let object = members(place, operation)?;
    if !operation.value.is_null() {
        object.insert((*last).to_owned(), operation.value.clone());
        return Ok(());
    }
    if object.remove(*last).is_some() {
        return Ok(());
    }
    Err(refused(
        operation,
        "a path that exists, since null removes it",
    ))
}

fn members<'a>(
    place: &'a mut Value,
    operation: &Operation,
) -> Result<&'a mut Map<String, Value>, Error> {
    match place {
        Value::Object(object) => Ok(object),
        _ => Err(refused(
            operation,
            "a path that does not lead through a plain value or list",
        )),
    }
}

fn refused(operation: &Operation, allowed: &str) -> Error {
    Error::Faulty {
        faults: vec![Fault::new(&operation.path, &operation.value, allowed)],
    }
}
