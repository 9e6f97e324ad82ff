//! Decides who may log in.

use std::sync::Arc;

use account::key;
use async_trait::async_trait;
use front::Credential;
use front::Hello;
use front::Refusal;
use front::Verifier;
use timeline::Kind;
use timeline::event;

use crate::node::Entry;
use crate::node::Node;
use crate::node::lock;
use crate::session::Session;

/// Opens sessions on the routes of the settings in force.
pub struct Gate {
    node: Arc<Node>,
}

impl Gate {
    /// Opens the gate of a process.
    pub fn open(node: Arc<Node>) -> Arc<Self> {
        Arc::new(Self { node })
    }
}

#[async_trait]
impl front::Gate for Gate {
    async fn credential(&self, hello: &Hello) -> Result<Option<Credential>, Refusal> {
        let (service, route) = split(&hello.database)?;
        let tree = Arc::clone(&self.node.held().ok_or_else(not_ready)?.tree);
        let effective = tree.resolve(service, route, Some(&hello.account));
        if effective.is_some_and(|effective| effective.open_to_all) {
            return Ok(None);
        }
        let verifiers: Vec<key::Verifier> = {
            let keyring = lock(&self.node.keyring);
            keyring.verifiers(&hello.account).cloned().collect()
        };
        let is_allowed = tree.allows(service, route, &hello.account);
        let Some(first) = verifiers.first().filter(|_| is_allowed) else {
            let fleet = self.node.options.fleet_secret.as_bytes();
            return Ok(Some(credential(
                &key::mock_verifier(&hello.account, fleet),
                &[],
            )));
        };
        Ok(Some(credential(first, &verifiers)))
    }

    async fn open(
        &self,
        hello: Hello,
        key: Option<Arc<str>>,
    ) -> Result<Box<dyn front::Session>, Refusal> {
        let (service, route) = split(&hello.database)?;
        let held = self.node.held().ok_or_else(not_ready)?;
        let found = held
            .tree
            .services
            .get(service)
            .and_then(|service| service.routes.get(route));
        let Some(found) = found else {
            let message = format!("no route {service}/{route}; ask your operator for its name");
            return Err(Refusal::fatal("3D000", message).not_run(None));
        };
        let group = Arc::clone(&found.group);
        let entry = Entry::open(
            &hello,
            key,
            Arc::from(service),
            Arc::from(route),
            self.node.now(),
        );
        let entry = self.node.sessions.add(entry);
        let opened = event(Kind::Session, "opened")
            .with("session", entry.id)
            .with("account", &entry.account)
            .with("route", &hello.database)
            .with("caller", entry.client);
        self.node.ring.record(opened);
        let session = Session::open(Arc::clone(&self.node), entry, group, &hello);
        match session {
            Ok(session) => Ok(Box::new(session)),
            Err(refusal) => Err(refusal),
        }
    }
}

fn credential(shown: &key::Verifier, verifiers: &[key::Verifier]) -> Credential {
    let verifiers = if verifiers.is_empty() {
        std::slice::from_ref(shown)
    } else {
        verifiers
    };
    Credential {
        salt: shown.salt.to_vec(),
        iterations: shown.iterations,
        verifiers: verifiers
            .iter()
            .map(|verifier| Verifier {
                id: Arc::clone(&verifier.id),
                stored_key: verifier.stored_key,
                server_key: verifier.server_key,
            })
            .collect(),
    }
}

fn split(database: &str) -> Result<(&str, &str), Refusal> {
    database.split_once('/').ok_or_else(|| {
        let message = format!("database {database:?}: allowed is SERVICE/ROUTE");
        Refusal::fatal("3D000", message).not_run(None)
    })
}

fn not_ready() -> Refusal {
    let message = "this instance holds no settings yet; connect to another one";
    Refusal::fatal("57P03", message).not_run(Some(500))
}
