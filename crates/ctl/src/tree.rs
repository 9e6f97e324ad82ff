//! The tree: printing, comparing and replacing it.

use std::io::Read;
use std::path::Path;

use admin::ChangeStatus;
use admin::TreeView;
use serde_json::Value;
use settings::Operation;
use settings::Tree;

use crate::Client;
use crate::Error;
use crate::Options;
use crate::Output;
use crate::changes;
use crate::diff::diff;

/// Returns the tree in force.
pub(crate) async fn current(client: &Client) -> Result<TreeView, Error> {
    client.get("/v1/tree").await
}

/// Prints the tree, or a part of it.
pub(crate) async fn get(
    client: &Client,
    output: &mut Output<'_>,
    path: Option<&str>,
) -> Result<(), Error> {
    let view = current(client).await?;
    output.note(&format!("revision={}", view.revision))?;
    let tree = view.tree.to_value();
    let Some(path) = path else {
        return output.json(&tree);
    };
    let part = path
        .split('/')
        .try_fold(&tree, |place, name| place.get(name));
    let part = part.ok_or_else(|| Error::Usage {
        why: format!("{path}: the tree has no such part"),
    })?;
    output.json(part)
}

/// Prints what replacing the tree by a file's would change.
pub(crate) async fn compare(
    client: &Client,
    output: &mut Output<'_>,
    file: &Path,
) -> Result<(), Error> {
    let wanted = read(file)?;
    let view = current(client).await?;
    let tree = view.tree.to_value();
    let operations = diff(&tree, &wanted);
    output.note(&format!(
        "revision={} differences={}",
        view.revision,
        operations.len()
    ))?;
    if output.is_json {
        return output.json(&operations);
    }
    for operation in &operations {
        output.line(&describe(&tree, operation))?;
    }
    Ok(())
}

/// Replaces the tree by a file's, in one change.
pub(crate) async fn apply(
    client: &Client,
    options: &Options,
    output: &mut Output<'_>,
    file: &Path,
) -> Result<(), Error> {
    let wanted = read(file)?;
    if let Some(id) = &options.id
        && is_known(client, id).await?
    {
        output.note("the id is known; this is what became of its change")?;
        changes::status(client, output, id).await?;
        return changes::wait(client, options, output, id).await;
    }
    let view = current(client).await?;
    let operations = diff(&view.tree.to_value(), &wanted);
    if operations.is_empty() {
        return output.note(&format!("revision={} differences=0", view.revision));
    }
    let base = options.base.unwrap_or(view.revision);
    changes::submit(client, options, output, base, operations).await
}

/// Returns true if a change with this id was accepted earlier.
async fn is_known(client: &Client, id: &str) -> Result<bool, Error> {
    let path = format!("/v1/changes/{}", changes::part(id));
    match client.get::<ChangeStatus>(&path).await {
        Ok(_) => Ok(true),
        Err(Error::Refused { problem, .. }) if problem.error == "not-found" => Ok(false),
        Err(error) => Err(error),
    }
}

/// Reads a file with a whole tree and checks it.
fn read(file: &Path) -> Result<Value, Error> {
    let failed = |why: String| Error::File {
        file: file.display().to_string(),
        why,
    };
    let text = if file == Path::new("-") {
        let mut text = String::new();
        let read = std::io::stdin().read_to_string(&mut text);
        read.map(|_| text)
    } else {
        std::fs::read_to_string(file)
    };
    let text = text.map_err(|error| failed(error.to_string()))?;
    let value: Value = serde_json::from_str(&text).map_err(|error| failed(error.to_string()))?;
    let tree = Tree::read(&value).map_err(|faults| {
        let lines = faults.iter().map(|fault| format!("\n  {fault}"));
        failed(format!(
            "faults={}{}",
            faults.len(),
            lines.collect::<String>()
        ))
    })?;
    Ok(tree.to_value())
}

fn describe(tree: &Value, operation: &Operation) -> String {
    match (find(tree, &operation.path), &operation.value) {
        (Some(old), Value::Null) => format!("- {} {old}", operation.path),
        (Some(old), new) => format!("~ {} {old} -> {new}", operation.path),
        (None, new) => format!("+ {} {new}", operation.path),
    }
}

fn find<'a>(tree: &'a Value, path: &str) -> Option<&'a Value> {
    path.split('/')
        .try_fold(tree, |place, name| place.get(name))
}
