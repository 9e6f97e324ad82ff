//! Instances whose settings live in one table, reached without a network.

use std::collections::BTreeMap;
use std::collections::VecDeque;
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
use axum::body::Body;
use ctl::Client;
use ctl::Options;
use ctl::Output;
use ctl::Reply;
use ctl::Request;
use ctl::Transport;
use membership::Reason;
use serde_json::json;
use settings::Answer;
use settings::Change;
use settings::Operation;
use settings::Standing;
use settings::State;
use settings::Store;
use store::Memory;
use timeline::Event;
use timeline::Kind;
use timeline::Timestamp;
use timeline::event;
use tower::ServiceExt;

const TOKENS: &str = "rosa:read:secret-of-the-reader,olga:write:secret-of-the-writer";

/// One instance.
pub struct Fake {
    store: Store,
    name: Arc<str>,
    /// Looks at a change's status until it is in force everywhere.
    lag: Mutex<u32>,
}

fn unavailable(error: impl ToString) -> Error {
    Error::NotNow {
        step: "read",
        why: error.to_string(),
        retry_after_ms: 10,
    }
}

#[async_trait]
impl Control for Fake {
    async fn tree(&self) -> Result<TreeView, Error> {
        let snapshot = self.store.snapshot().await.map_err(unavailable)?;
        Ok(TreeView {
            revision: snapshot.revision,
            hash: Arc::clone(&snapshot.hash),
            tree: Arc::new(snapshot.tree().map_err(unavailable)?),
        })
    }

    async fn change(&self, change: Change, dry_run: bool) -> Answer {
        self.store.submit(change, 0, 0, dry_run).await
    }

    async fn change_status(&self, id: &str) -> Result<Option<ChangeStatus>, Error> {
        let Some(record) = self.store.record(id).await.map_err(unavailable)? else {
            return Ok(None);
        };
        let mut lag = self.lag.lock().unwrap();
        let is_everywhere = *lag == 0;
        *lag = lag.saturating_sub(1);
        let state = if is_everywhere {
            State::InForce
        } else {
            State::CutOff
        };
        let instances = vec![Standing {
            instance: Arc::from("two"),
            revision: 0,
            state,
            acts_for_ms: None,
        }];
        Ok(Some(ChangeStatus {
            record,
            is_everywhere,
            instances,
        }))
    }

    async fn grant_key(&self, account: &str, id: &str, operator: &str) -> Result<Granted, Error> {
        let path = format!("accounts/{account}/keys/{id}");
        let value =
            json!({"id": id, "salt": "a", "iterations": 1, "stored_key": "a", "server_key": "a"});
        let answer = self.edit(id, operator, &path, value).await?;
        let is_new = matches!(
            answer,
            Answer::Accepted {
                snapshot: Some(_),
                ..
            }
        );
        Ok(Granted {
            answer,
            key_id: Arc::from(id),
            key: is_new.then(|| "the-key".to_owned()),
        })
    }

    async fn withdraw_key(
        &self,
        account: &str,
        key: &str,
        id: &str,
        operator: &str,
    ) -> Result<Answer, Error> {
        let path = format!("accounts/{account}/keys/{key}");
        self.edit(id, operator, &path, serde_json::Value::Null)
            .await
    }

    async fn groups(&self) -> Result<Vec<Group>, Error> {
        Ok(vec![Group {
            name: Arc::from("orders"),
            term: 3,
            primary: None,
            phase: Arc::from("steady"),
            is_writable: true,
        }])
    }

    async fn handover(&self, group: &str, _: &str) -> Result<Handover, Error> {
        Ok(Handover {
            group: Arc::from(group),
            term: 4,
            order: Arc::from("o1"),
        })
    }

    async fn instances(&self) -> Result<Vec<Instance>, Error> {
        Ok(Vec::new())
    }

    async fn endpoints(&self) -> Result<Vec<Endpoint>, Error> {
        Ok(Vec::new())
    }

    async fn sessions(&self) -> Result<Vec<Session>, Error> {
        Ok(Vec::new())
    }

    fn events_after(&self, after: Timestamp) -> Vec<Event> {
        let offset = u64::from(&*self.name == "two");
        let events = (0..3).map(|number| {
            let mut event = event(Kind::Group, "tested").with("number", number);
            event.stamp.wall_ms = 10 + number * 2 + offset;
            event.instance = Arc::clone(&self.name);
            event
        });
        events.filter(|event| event.stamp > after).collect()
    }

    fn record(&self, _: Event) {}

    fn metrics(&self) -> String {
        String::new()
    }

    fn readiness(&self) -> Vec<Reason> {
        Vec::new()
    }

    fn instance(&self) -> Arc<str> {
        Arc::clone(&self.name)
    }
}

impl Fake {
    async fn edit(
        &self,
        id: &str,
        operator: &str,
        path: &str,
        value: serde_json::Value,
    ) -> Result<Answer, Error> {
        let base = self.tree().await?.revision;
        let change = Change {
            id: Arc::from(id),
            base,
            operator: Arc::from(operator),
            operations: vec![Operation {
                path: Arc::from(path),
                value,
            }],
        };
        Ok(self.store.submit(change, 0, 0, false).await)
    }
}

/// What a request meets on its way.
#[derive(Clone, Copy, PartialEq)]
pub enum Fate {
    Arrives,
    LostBefore,
    LostAfter,
    NoConnection,
    /// The answer says that the id belongs to another change.
    Reused,
}

/// Two instances, `one` and `two`, over one table.
pub struct Fleet {
    instances: BTreeMap<String, Arc<Fake>>,
    pub fates: Mutex<VecDeque<Fate>>,
    token: &'static str,
}

impl Fleet {
    pub fn open(token: &'static str, lag: u32) -> Arc<Self> {
        let table = Memory::open();
        let instance = |name: &str| {
            let table: Arc<Memory> = Arc::clone(&table);
            let fake = Fake {
                store: Store::open(table),
                name: Arc::from(name),
                lag: Mutex::new(lag),
            };
            (name.to_owned(), Arc::new(fake))
        };
        Arc::new(Self {
            instances: ["one", "two"].into_iter().map(instance).collect(),
            fates: Mutex::default(),
            token,
        })
    }

    pub async fn revision(&self) -> u64 {
        self.instances["one"].tree().await.unwrap().revision
    }
}

#[async_trait]
impl Transport for Fleet {
    async fn send(&self, address: &str, request: &Request) -> Result<Reply, ctl::Error> {
        let is_change = request.method != ctl::Method::Get;
        let fate = if is_change {
            self.fates
                .lock()
                .unwrap()
                .pop_front()
                .unwrap_or(Fate::Arrives)
        } else {
            Fate::Arrives
        };
        let lost = ctl::Error::Unreachable {
            step: request.path.clone(),
            peer: address.to_owned(),
            why: "test".to_owned(),
            may_have_arrived: fate != Fate::NoConnection,
        };
        if matches!(fate, Fate::LostBefore | Fate::NoConnection) {
            return Err(lost);
        }
        if fate == Fate::Reused {
            let body = json!({"error": "id-reused", "detail": "test"}).to_string();
            return Ok(Reply {
                status: 409,
                body: body.into_bytes(),
            });
        }
        let Some(instance) = self.instances.get(address) else {
            return Err(lost);
        };
        let control: Arc<dyn Control> = Arc::<Fake>::clone(instance);
        let router = router(control, Tokens::parse(TOKENS).unwrap());
        let body = request.body.as_ref().map(ToString::to_string);
        let request = axum::http::Request::builder()
            .method(request.method.to_string().as_str())
            .uri(&request.path)
            .header("authorization", format!("Bearer {}", self.token))
            .body(Body::from(body.unwrap_or_default()))
            .unwrap();
        let response = router.oneshot(request).await.unwrap();
        let status = response.status().as_u16();
        let body = axum::body::to_bytes(response.into_body(), 1 << 24).await;
        if fate == Fate::LostAfter {
            return Err(lost);
        }
        Ok(Reply {
            status,
            body: body.unwrap().to_vec(),
        })
    }
}

/// The outcome of one run of the program.
pub struct Run {
    pub code: u8,
    pub results: String,
    pub notes: String,
}

/// Runs a command line against the fleet.
pub async fn yuccactl(fleet: &Arc<Fleet>, arguments: &[&str]) -> Run {
    let environment = |name: &str| {
        let value = if name == "YUCCAMOUNT_ADMIN" {
            "one,two"
        } else {
            "token"
        };
        Some(value.to_owned())
    };
    let options = Options::parse(arguments, environment).unwrap();
    let transport: Arc<dyn Transport> = Arc::<Fleet>::clone(fleet);
    let client = Client::open(transport, options.admin.clone());
    let mut results = Vec::new();
    let mut notes = Vec::new();
    let mut output = Output {
        is_json: options.is_json,
        results: &mut results,
        notes: &mut notes,
    };
    let outcome = ctl::run(&client, &options, &mut output).await;
    let mut notes = String::from_utf8(notes).unwrap();
    if let Err(error) = &outcome {
        notes.push_str(&error.to_string());
    }
    Run {
        code: outcome.err().map_or(0, |error| error.exit_code()),
        results: String::from_utf8(results).unwrap(),
        notes,
    }
}
