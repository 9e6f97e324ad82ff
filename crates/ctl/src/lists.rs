//! Lists of groups, instances, endpoints and sessions.

use admin::Endpoint;
use admin::Group;
use admin::Handover;
use admin::Instance;
use admin::Session;

use crate::Client;
use crate::Error;
use crate::Method;
use crate::Output;
use crate::Request;
use crate::changes::part;

/// Prints the groups.
pub(crate) async fn groups(client: &Client, output: &mut Output<'_>) -> Result<(), Error> {
    let rows: Vec<Group> = client.get("/v1/groups").await?;
    let titles = ["GROUP", "TERM", "PRIMARY", "PHASE", "WRITABLE"];
    output.table(&rows, &titles, |group| {
        vec![
            group.name.to_string(),
            group.term.to_string(),
            group.primary.as_deref().unwrap_or("-").to_owned(),
            group.phase.to_string(),
            group.is_writable.to_string(),
        ]
    })
}

/// Orders a hand-over.
pub(crate) async fn handover(
    client: &Client,
    output: &mut Output<'_>,
    group: &str,
) -> Result<(), Error> {
    let request = Request {
        method: Method::Post,
        path: format!("/v1/groups/{}/handover", part(group)),
        body: None,
    };
    let ordered: Handover = client.order(&request).await?;
    if output.is_json {
        return output.json(&ordered);
    }
    let Handover { group, term, order } = &ordered;
    output.line(&format!("group={group} term={term} order={order}"))
}

/// Prints the instances.
pub(crate) async fn instances(client: &Client, output: &mut Output<'_>) -> Result<(), Error> {
    let rows: Vec<Instance> = client.get("/v1/instances").await?;
    let titles = [
        "INSTANCE", "ZONE", "ADDRESS", "ADMIN", "STATE", "REVISION", "HEARD",
    ];
    output.table(&rows, &titles, |instance| {
        let heard = instance.heard_ms.map(|millis| format!("{millis}ms"));
        vec![
            instance.name.to_string(),
            instance.zone.to_string(),
            instance.address.to_string(),
            instance.admin.to_string(),
            instance.state.to_string(),
            instance.revision.to_string(),
            heard.unwrap_or_else(|| "-".to_owned()),
        ]
    })
}

/// Prints the endpoints.
pub(crate) async fn endpoints(client: &Client, output: &mut Output<'_>) -> Result<(), Error> {
    let rows: Vec<Endpoint> = client.get("/v1/endpoints").await?;
    let titles = [
        "ENDPOINT", "GROUP", "ZONE", "ADDRESS", "ROLE", "STATE", "RECEIVED", "APPLIED", "OPEN",
        "IN-USE",
    ];
    output.table(&rows, &titles, |endpoint| {
        vec![
            endpoint.name.to_string(),
            endpoint.group.to_string(),
            endpoint.zone.to_string(),
            endpoint.address.to_string(),
            endpoint.role.to_string(),
            endpoint.state.to_string(),
            endpoint.received.as_deref().unwrap_or("-").to_owned(),
            endpoint.applied.as_deref().unwrap_or("-").to_owned(),
            endpoint.connections.to_string(),
            endpoint.in_use.to_string(),
        ]
    })
}

/// Prints the sessions of all instances that answer.
pub(crate) async fn sessions(client: &Client, output: &mut Output<'_>) -> Result<(), Error> {
    let mut rows: Vec<(String, Session)> = Vec::new();
    let mut failures = Vec::new();
    for address in client.addresses() {
        match client
            .get_from::<Vec<Session>>(address, "/v1/sessions")
            .await
        {
            Ok(sessions) => {
                rows.extend(
                    sessions
                        .into_iter()
                        .map(|session| (address.clone(), session)),
                );
            }
            Err(error) => failures.push(error),
        }
    }
    for error in &failures {
        output.note(&format!("missing: {error}"))?;
    }
    if failures.len() == client.addresses().len() {
        return Err(failures.remove(0));
    }
    let titles = [
        "ADMIN",
        "ID",
        "ACCOUNT",
        "SERVICE",
        "ROUTE",
        "CALLER",
        "STATE",
        "STATEMENTS",
        "AGE",
    ];
    output.table(&rows, &titles, |(address, session)| {
        vec![
            address.clone(),
            session.id.to_string(),
            session.account.to_string(),
            session.service.to_string(),
            session.route.to_string(),
            session.caller.to_string(),
            session.state.to_string(),
            session.statements.to_string(),
            format!("{}ms", session.age_ms),
        ]
    })
}
