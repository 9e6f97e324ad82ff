//! A fake process to administer.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

use admin::ChangeStatus;
use admin::Control;
use admin::Endpoint;
use admin::Error;
use admin::Granted;
use admin::Group;
use admin::Handover;
use admin::Instance;
use admin::Session;
use admin::Tokens;
use admin::TreeView;
use admin::router;
use async_trait::async_trait;
use axum::Router;
use axum::body::Body;
use axum::http::Request;
use axum::http::StatusCode;
use membership::Reason;
use serde_json::Value;
use settings::Account;
use settings::Answer;
use settings::Change;
use settings::Operation;
use settings::Record;
use settings::Snapshot;
use settings::Standing;
use settings::State;
use settings::Tree;
use settings::Verifier;
use timeline::Event;
use timeline::Kind;
use timeline::Timestamp;
use timeline::event;
use tower::ServiceExt;

pub const READ: &str = "secret-of-the-reader";
pub const WRITE: &str = "secret-of-the-writer";

#[derive(Default)]
pub struct Fake {
    /// What the next changes are answered, else they are accepted.
    pub answer: Mutex<Option<Answer>>,
    pub changes: Mutex<Vec<Change>>,
    pub recorded: Mutex<Vec<Event>>,
    pub reasons: Mutex<Vec<Reason>>,
}

pub fn record(id: &str) -> Record {
    let change = Change {
        id: Arc::from(id),
        base: 0,
        operator: Arc::from("olga"),
        operations: vec![Operation {
            path: Arc::from("values/deadline_ms"),
            value: Value::from(100),
        }],
    };
    Record::of(&change, 1, 5)
}

fn accepted(id: &str) -> Answer {
    Answer::Accepted {
        record: record(id),
        snapshot: Some(Snapshot::of(1, id, &Tree::default())),
    }
}

impl Fake {
    fn answer(&self, id: &str) -> Answer {
        let answer = self.answer.lock().unwrap().clone();
        answer.unwrap_or_else(|| accepted(id))
    }
}

#[async_trait]
impl Control for Fake {
    async fn tree(&self) -> Result<TreeView, Error> {
        let verifier = Verifier {
            id: Arc::from("k1"),
            salt: Arc::from("the-salt"),
            iterations: 1,
            stored_key: Arc::from("the-stored-key"),
            server_key: Arc::from("the-server-key"),
        };
        let mut account = Account::default();
        account.keys.insert(Arc::from("k1"), verifier);
        let mut tree = Tree::default();
        tree.accounts.insert(Arc::from("club"), account);
        Ok(TreeView {
            revision: 1,
            hash: Arc::from("00"),
            tree: Arc::new(tree),
        })
    }

    async fn change(&self, change: Change, dry_run: bool) -> Answer {
        let answer = self.answer(&change.id);
        if dry_run {
            let snapshot = Snapshot::of(1, &change.id, &Tree::default());
            return Answer::Acceptable { snapshot };
        }
        self.changes.lock().unwrap().push(change);
        answer
    }

    async fn change_status(&self, id: &str) -> Result<Option<ChangeStatus>, Error> {
        let known = ChangeStatus {
            record: record(id),
            is_everywhere: false,
            instances: vec![
                Standing {
                    instance: Arc::from("one"),
                    revision: 1,
                    state: State::InForce,
                    acts_for_ms: None,
                },
                Standing {
                    instance: Arc::from("two"),
                    revision: 0,
                    state: State::CutOff,
                    acts_for_ms: Some(40),
                },
            ],
        };
        Ok((id == "known").then_some(known))
    }

    async fn grant_key(&self, account: &str, change: &str, _: &str) -> Result<Granted, Error> {
        if account != "club" {
            let name = account.to_owned();
            return Err(Error::Missing {
                path: "account",
                name,
            });
        }
        Ok(Granted {
            answer: self.answer(change),
            key_id: Arc::from("k1"),
            key: Some("the-key-itself".to_owned()),
        })
    }

    async fn withdraw_key(&self, _: &str, _: &str, change: &str, _: &str) -> Result<Answer, Error> {
        Ok(self.answer(change))
    }

    async fn groups(&self) -> Result<Vec<Group>, Error> {
        Ok(vec![Group {
            name: Arc::from("orders"),
            term: 3,
            primary: Some(Arc::from("a")),
            phase: Arc::from("steady"),
            is_writable: true,
        }])
    }

    async fn handover(&self, group: &str, _: &str) -> Result<Handover, Error> {
        Err(Error::NotNow {
            step: "order hand-over",
            why: format!("no replica of {group} has everything"),
            retry_after_ms: 2_500,
        })
    }

    async fn instances(&self) -> Result<Vec<Instance>, Error> {
        Ok(vec![Instance {
            name: Arc::from("one"),
            zone: Arc::from("z1"),
            address: Arc::from("127.0.0.1:1"),
            admin: Arc::from("127.0.0.1:2"),
            state: Arc::from("live"),
            revision: 1,
            heard_ms: None,
        }])
    }

    async fn endpoints(&self) -> Result<Vec<Endpoint>, Error> {
        Ok(vec![Endpoint {
            name: Arc::from("a"),
            group: Arc::from("orders"),
            zone: Arc::from("z1"),
            address: Arc::from("127.0.0.1:5432"),
            role: Arc::from("primary"),
            state: Arc::from("up"),
            received: Some("3/9".to_owned()),
            applied: None,
            connections: 4,
            in_use: 1,
        }])
    }

    async fn sessions(&self) -> Result<Vec<Session>, Error> {
        Ok(vec![Session {
            id: 1,
            account: Arc::from("club"),
            service: Arc::from("shop"),
            route: Arc::from("orders"),
            caller: Arc::from("127.0.0.1:9"),
            state: Arc::from("idle"),
            statements: 2,
            age_ms: 30,
        }])
    }

    fn events_after(&self, after: Timestamp) -> Vec<Event> {
        let events = (1..=4).map(|count| {
            let kind = if count % 2 == 0 {
                Kind::Group
            } else {
                Kind::Key
            };
            let mut event = event(kind, "tested").with("group", "orders");
            event.stamp = Timestamp { wall_ms: 7, count };
            event
        });
        events.filter(|event| event.stamp > after).collect()
    }

    fn record(&self, event: Event) {
        self.recorded.lock().unwrap().push(event);
    }

    fn metrics(&self) -> String {
        "# EOF\n".to_owned()
    }

    fn readiness(&self) -> Vec<Reason> {
        self.reasons.lock().unwrap().clone()
    }

    fn instance(&self) -> Arc<str> {
        Arc::from("one")
    }
}

pub fn serve(fake: &Arc<Fake>) -> Router {
    let tokens = Tokens::parse(&format!("rosa:read:{READ},olga:write:{WRITE}")).unwrap();
    router(Arc::clone(fake) as Arc<dyn Control>, tokens)
}

pub struct Reply {
    pub status: StatusCode,
    pub headers: BTreeMap<String, String>,
    pub text: String,
}

impl Reply {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or(Value::Null)
    }
}

pub async fn send(fake: &Arc<Fake>, method: &str, path: &str, token: &str, body: &str) -> Reply {
    let mut request = Request::builder().method(method).uri(path);
    if !token.is_empty() {
        request = request.header("authorization", format!("Bearer {token}"));
    }
    let request = request.body(Body::from(body.to_owned())).unwrap();
    let response = serve(fake).oneshot(request).await.unwrap();
    let status = response.status();
    let headers = response.headers().iter();
    let headers = headers
        .map(|(name, value)| (name.to_string(), value.to_str().unwrap().to_owned()))
        .collect();
    let bytes = axum::body::to_bytes(response.into_body(), 1 << 24).await;
    Reply {
        status,
        headers,
        text: String::from_utf8(bytes.unwrap().to_vec()).unwrap(),
    }
}
