//! Granting and withdrawing keys.

use std::sync::Arc;

use account::key::PBKDF2_ITERATIONS;
use account::key::Secret;
use account::key::Verifier;
use account::key::salt;
use admin::Control as _;
use admin::Error;
use admin::Granted;
use settings::Answer;
use settings::Change;
use settings::Operation;
use timeline::Kind;
use timeline::event;

use super::Control;
use super::control::no_settings;
use super::control::not_now;
use crate::task;

/// Makes a key and stores what checks it.
pub(super) async fn grant(
    control: &Control,
    account: &str,
    change: &str,
    operator: &str,
) -> Result<Granted, Error> {
    let node = &control.node;
    let held = node.held().ok_or_else(no_settings)?;
    if !held.tree.accounts.contains_key(account) {
        return Err(missing("account", account));
    }
    let earlier = control.store.record(change).await;
    let earlier = earlier.map_err(|cause| not_now("read the change", &cause))?;
    if let Some(record) = earlier {
        let key_id = record
            .paths
            .first()
            .and_then(|path| path.rsplit('/').next())
            .unwrap_or_default();
        return Ok(Granted {
            key_id: Arc::from(key_id),
            answer: Answer::Accepted {
                record,
                snapshot: None,
            },
            key: None,
        });
    }
    let secret = Secret::random(&mut rand::rng());
    let key_id = key_id();
    let fleet = node.options.fleet_secret.as_bytes();
    let verifier = derive(&key_id, &secret, salt(account, fleet)).await?;
    let operation = Operation {
        path: Arc::from(format!("accounts/{account}/keys/{key_id}")),
        value: serde_json::to_value(task::encode_verifier(&verifier)).unwrap_or_default(),
    };
    let answer = submit(control, change, operator, operation).await;
    let is_accepted = matches!(answer, Answer::Accepted { .. });
    let granted = event(Kind::Key, "granted")
        .with("account", account)
        .with("key", &key_id)
        .with("accepted", is_accepted)
        .with("operator", operator);
    node.ring.record(granted);
    Ok(Granted {
        answer,
        key: is_accepted.then(|| secret.expose().to_owned()),
        key_id: Arc::from(key_id),
    })
}

/// Removes a key from the settings.
pub(super) async fn withdraw(
    control: &Control,
    account: &str,
    key: &str,
    change: &str,
    operator: &str,
) -> Result<Answer, Error> {
    let held = control.node.held().ok_or_else(no_settings)?;
    let found = held
        .tree
        .accounts
        .get(account)
        .ok_or_else(|| missing("account", account))?;
    let is_known = found.keys.contains_key(key);
    if !is_known {
        let earlier = control.store.record(change).await;
        let earlier = earlier.map_err(|cause| not_now("read the change", &cause))?;
        let record = earlier.ok_or_else(|| missing("key", key))?;
        return Ok(Answer::Accepted {
            record,
            snapshot: None,
        });
    }
    let operation = Operation {
        path: Arc::from(format!("accounts/{account}/keys/{key}")),
        value: serde_json::Value::Null,
    };
    let answer = submit(control, change, operator, operation).await;
    let withdrawn = event(Kind::Key, "withdrawn")
        .with("account", account)
        .with("key", key)
        .with("accepted", matches!(answer, Answer::Accepted { .. }))
        .with("operator", operator);
    control.node.ring.record(withdrawn);
    Ok(answer)
}

async fn submit(control: &Control, id: &str, operator: &str, operation: Operation) -> Answer {
    let base = control.node.held().map_or(0, |held| held.snapshot.revision);
    let change = Change {
        id: Arc::from(id),
        base,
        operator: Arc::from(operator),
        operations: vec![operation],
    };
    control.change(change, false).await
}

/// Derives off the tasks that serve requests, since it takes milliseconds.
async fn derive(id: &str, secret: &Secret, salt: Arc<[u8]>) -> Result<Verifier, Error> {
    let id = id.to_owned();
    let secret = secret.clone();
    let derived = tokio::task::spawn_blocking(move || {
        Verifier::derive(&id, &secret, &salt, PBKDF2_ITERATIONS)
    });
    derived.await.map_err(|cause| not_now("derive", &cause))
}

fn key_id() -> String {
    use rand::Rng;
    let number: u32 = rand::rng().random();
    format!("k{number:08x}")
}

fn missing(path: &'static str, name: &str) -> Error {
    Error::Missing {
        path,
        name: name.to_owned(),
    }
}
