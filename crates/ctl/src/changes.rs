//! Changes: sending them, learning what became of them, waiting until they are in force.

use std::sync::Arc;
use std::time::Duration;

use admin::ChangeStatus;
use admin::Granted;
use serde_json::Value;
use serde_json::json;
use settings::Answer;
use settings::Operation;
use settings::State;

use crate::Client;
use crate::Error;
use crate::Method;
use crate::Options;
use crate::Output;
use crate::Request;
use crate::tree;

/// Between two looks at a change's status.
const WAIT_PAUSE: Duration = Duration::from_millis(200);

/// Returns the id that the operator chose, or a new one.
pub(crate) fn id(options: &Options) -> String {
    match &options.id {
        Some(id) => id.clone(),
        None => format!("{:016x}", rand::random::<u64>()),
    }
}

/// Sets one value.
pub(crate) async fn set(
    client: &Client,
    options: &Options,
    output: &mut Output<'_>,
    path: &str,
    value: &str,
) -> Result<(), Error> {
    let value = serde_json::from_str(value).unwrap_or_else(|_| Value::from(value));
    let base = match options.base {
        Some(base) => base,
        None => tree::current(client).await?.revision,
    };
    let operation = Operation {
        path: Arc::from(path),
        value,
    };
    submit(client, options, output, base, vec![operation]).await
}

/// Sends a change of the tree.
pub(crate) async fn submit(
    client: &Client,
    options: &Options,
    output: &mut Output<'_>,
    base: u64,
    operations: Vec<Operation>,
) -> Result<(), Error> {
    let id = id(options);
    let request = Request {
        method: Method::Post,
        path: format!("/v1/changes?dry_run={}", options.is_dry_run),
        body: Some(json!({"id": id, "base": base, "operations": operations})),
    };
    output.note(&format!("change={id} base={base}"))?;
    let answer: Answer = client.submit(&request, &id).await?;
    conclude(client, options, output, &id, &answer).await
}

/// Makes a key.
pub(crate) async fn grant(
    client: &Client,
    options: &Options,
    output: &mut Output<'_>,
    account: &str,
) -> Result<(), Error> {
    let id = id(options);
    let request = Request {
        method: Method::Post,
        path: format!("/v1/accounts/{}/keys?change={}", part(account), part(&id)),
        body: None,
    };
    refuse_dry_run(options)?;
    output.note(&format!("change={id}"))?;
    let granted: Granted = client.submit(&request, &id).await?;
    match &granted.key {
        _ if output.is_json => output.json(&granted)?,
        Some(key) => output.line(&format!(
            "account={account} id={} key={key}",
            granted.key_id
        ))?,
        None => output.line(&format!(
            "account={account} id={} key=\"shown only once, when it was made: withdraw this one \
             and make another\"",
            granted.key_id
        ))?,
    }
    wait(client, options, output, &id).await
}

/// Withdraws a key.
pub(crate) async fn withdraw(
    client: &Client,
    options: &Options,
    output: &mut Output<'_>,
    account: &str,
    key: &str,
) -> Result<(), Error> {
    let id = id(options);
    let (account, key) = (part(account), part(key));
    let request = Request {
        method: Method::Delete,
        path: format!("/v1/accounts/{account}/keys/{key}?change={}", part(&id)),
        body: None,
    };
    refuse_dry_run(options)?;
    output.note(&format!("change={id}"))?;
    let answer: Answer = client.submit(&request, &id).await?;
    conclude(client, options, output, &id, &answer).await
}

/// Prints what became of a change and where it is in force.
pub(crate) async fn status(
    client: &Client,
    output: &mut Output<'_>,
    id: &str,
) -> Result<(), Error> {
    let status = fetch_status(client, id).await?;
    if output.is_json {
        return output.json(&status);
    }
    let record = &status.record;
    output.line(&format!(
        "change={} revision={} operator={} everywhere={} paths={}",
        record.id,
        record.revision,
        record.operator,
        status.is_everywhere,
        record.paths.join(",")
    ))?;
    let titles = ["INSTANCE", "REVISION", "STATE", "ACTS-FOR"];
    output.table(&status.instances, &titles, |standing| {
        let acts_for = match (standing.state, standing.acts_for_ms) {
            (State::InForce, _) => "-".to_owned(),
            (_, Some(millis)) => format!("{millis}ms"),
            (_, None) => "until reached".to_owned(),
        };
        vec![
            standing.instance.to_string(),
            standing.revision.to_string(),
            standing.state.to_string(),
            acts_for,
        ]
    })
}

/// Prints an accepted change and waits for it, if asked to.
async fn conclude(
    client: &Client,
    options: &Options,
    output: &mut Output<'_>,
    id: &str,
    answer: &Answer,
) -> Result<(), Error> {
    match answer {
        _ if output.is_json => output.json(answer)?,
        Answer::Accepted { record, snapshot } => {
            let when = if snapshot.is_some() { "now" } else { "earlier" };
            let revision = record.revision;
            output.line(&format!("accepted={when} change={id} revision={revision}"))?;
        }
        Answer::Acceptable { snapshot } => {
            output.line(&format!("acceptable=true revision={}", snapshot.revision))?;
        }
        other => {
            return Err(Error::Unexpected {
                step: "submit change".to_owned(),
                peer: client.addresses().join(","),
                why: format!("{other:?}"),
            });
        }
    }
    if options.is_dry_run {
        return Ok(());
    }
    wait(client, options, output, id).await
}

/// Waits until a change is in force everywhere, if asked to.
pub(crate) async fn wait(
    client: &Client,
    options: &Options,
    output: &mut Output<'_>,
    id: &str,
) -> Result<(), Error> {
    if !options.is_waiting {
        return Ok(());
    }
    let deadline = tokio::time::Instant::now() + options.wait_timeout;
    let mut missing = "not known yet".to_owned();
    while tokio::time::Instant::now() < deadline {
        if let Ok(status) = fetch_status(client, id).await {
            if status.is_everywhere {
                return output.note(&format!("change={id} in_force=everywhere"));
            }
            missing = describe_missing(&status);
        }
        tokio::time::sleep(WAIT_PAUSE).await;
    }
    Err(Error::NotInForce {
        id: id.to_owned(),
        missing,
    })
}

async fn fetch_status(client: &Client, id: &str) -> Result<ChangeStatus, Error> {
    client.get(&format!("/v1/changes/{}", part(id))).await
}

fn describe_missing(status: &ChangeStatus) -> String {
    let missing = status
        .instances
        .iter()
        .filter(|standing| standing.state != State::InForce)
        .map(|standing| format!("{} ({})", standing.instance, standing.state));
    missing.collect::<Vec<_>>().join(", ")
}

fn refuse_dry_run(options: &Options) -> Result<(), Error> {
    if !options.is_dry_run {
        return Ok(());
    }
    Err(Error::Usage {
        why: "--dry-run goes with tree apply and set only".to_owned(),
    })
}

/// Encodes a name as one part of a path or as a query's value.
pub(crate) fn part(name: &str) -> String {
    let encode = |byte: u8| {
        if byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte) {
            char::from(byte).to_string()
        } else {
            format!("%{byte:02X}")
        }
    };
    name.bytes().map(encode).collect()
}
