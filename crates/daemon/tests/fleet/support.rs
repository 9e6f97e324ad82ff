//! A small fleet: one group of three servers, the platform, and some instances.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::sync::Arc;
use std::time::Duration;

use ::store::Http;
use admin::Control as _;
use daemon::Instance;
use daemon::conf::Options;
use daemon::control::Control;
use settings::Answer;
use settings::Change;
use settings::Operation;
use standin::group;
use standin::group::Group;
use standin::link;
use standin::link::Links;
use standin::link::Route;
use standin::store;
use standin::store::Service;
use tokio_postgres::Client;
use tokio_postgres::Config;
use tokio_postgres::NoTls;
use tokio_postgres::SimpleQueryMessage;

/// Longest wait for something that must happen.
const PATIENCE: Duration = Duration::from_secs(30);

/// More instances than any fleet has.
const INSTANCES_MAX: u8 = 9;

/// The account of all tests.
pub const ACCOUNT: &str = "shop";

/// A running fleet.
pub struct Fleet {
    number: u8,
    pub group: Arc<Group>,
    pub platform: Arc<Service>,
    pub instances: Vec<Instance>,
    pub key: String,
    pub key_id: Arc<str>,
    /// The links to the platform and between instances, if they are limited.
    links: Option<Arc<Links>>,
}

impl Fleet {
    /// Starts a fleet on addresses of its own.
    pub async fn open(number: u8, instances: u8) -> Self {
        Self::open_with(number, instances, &tree(number, 10_000, 10_000)).await
    }

    /// Starts a fleet with these settings.
    pub async fn open_with(number: u8, instances: u8, tree: &serde_json::Value) -> Self {
        Self::open_linked(number, instances, tree, None).await
    }

    /// Starts a fleet in one zone whose links to the platform and between instances move this many
    /// bytes a second.
    pub async fn open_slow(number: u8, instances: u8, bytes_per_s: u32) -> Self {
        let bytes_per_s = NonZeroU32::new(bytes_per_s);
        let tree = tree(number, 10_000, 10_000);
        Self::open_linked(number, instances, &tree, bytes_per_s).await
    }

    async fn open_linked(
        number: u8,
        instances: u8,
        tree: &serde_json::Value,
        bytes_per_s: Option<NonZeroU32>,
    ) -> Self {
        let servers = (1..=3).map(|server| address(number, 0, server, 5432));
        let options = group::Options::new("orders", servers.collect());
        let group = Group::spawn(options).await.unwrap();
        let platform = Service::open();
        let routes = store::routes(Arc::clone(&platform));
        let listen = address(number, 1, 1, 9000);
        standin::bind(listen, routes).await.unwrap();
        let mut fleet = Self {
            number,
            group,
            platform,
            instances: Vec::new(),
            key: String::new(),
            key_id: Arc::from(""),
            links: None,
        };
        if bytes_per_s.is_some() {
            fleet.links = Some(link(number, instances, bytes_per_s).await);
        }
        for index in 1..=instances {
            fleet.start(index).await;
        }
        fleet.configure(tree).await;
        fleet.settle().await;
        fleet
    }

    /// Starts one more instance.
    pub async fn start(&mut self, index: u8) {
        let mut options = options(self.number, index);
        if self.links.is_some() {
            use_links(&mut options, self.number);
        }
        let instance = Instance::open(options).await.unwrap();
        self.instances.push(instance);
    }

    /// Returns an instance's administration.
    pub fn control(&self, index: usize) -> Control {
        Control::open(Arc::clone(self.instances[index].node()))
    }

    /// Makes a change at an instance and expects it to be accepted.
    pub async fn change(&self, index: usize, id: &str, path: &str, value: serde_json::Value) {
        let control = self.control(index);
        let base = control.tree().await.unwrap().revision;
        let change = Change {
            id: Arc::from(id),
            base,
            operator: Arc::from("test"),
            operations: vec![Operation {
                path: Arc::from(path),
                value,
            }],
        };
        let answer = control.change(change, false).await;
        assert!(matches!(answer, Answer::Accepted { .. }), "{answer:?}");
    }

    /// Connects to an instance.
    pub async fn client(&self, index: usize) -> Client {
        self.connect(index, &self.key).await.unwrap()
    }

    /// Connects to an instance with any key.
    pub async fn connect(&self, index: usize, key: &str) -> Result<Client, tokio_postgres::Error> {
        let options = self.instances[index].node().options.clone();
        let listen: SocketAddr = options.listen.parse().unwrap();
        let (client, connection) = Config::new()
            .host(listen.ip().to_string())
            .port(listen.port())
            .user(ACCOUNT)
            .password(key)
            .dbname("catalog/orders")
            .connect(NoTls)
            .await?;
        tokio::spawn(connection);
        Ok(client)
    }

    /// Creates the table of the tests.
    pub async fn create_table(&self) {
        let client = self.client(0).await;
        run(
            &client,
            "CREATE TABLE entries (id BIGINT PRIMARY KEY, item TEXT)",
        )
        .await;
    }

    /// Returns the platform as an instance sees it.
    pub fn platform_client(&self) -> Arc<Http> {
        let base = format!("http://{}", address(self.number, 1, 1, 9000));
        Http::open(&base, Duration::from_secs(5)).unwrap()
    }

    async fn configure(&mut self, tree: &serde_json::Value) {
        until("the first settings", || async {
            self.control(0).tree().await.is_ok()
        })
        .await;
        self.change(0, "tree", "", tree.clone()).await;
        let granted = self.control(0).grant_key(ACCOUNT, "key", "test").await;
        let granted = granted.unwrap();
        self.key = granted.key.unwrap();
        self.key_id = granted.key_id;
    }

    /// Waits until all instances are ready and see a writable group.
    pub async fn settle(&self) {
        for index in 0..self.instances.len() {
            let control = self.control(index);
            until("readiness", || async {
                let is_ready = control.readiness().is_empty();
                let groups = control.groups().await.unwrap();
                let revision = control.tree().await.map_or(0, |tree| tree.revision);
                is_ready
                    && revision >= 2
                    && !groups.is_empty()
                    && groups.iter().all(|group| group.is_writable)
            })
            .await;
        }
    }
}

/// Waits for a condition that must come true.
pub async fn until<F, R>(what: &str, mut is_true: F)
where
    F: FnMut() -> R,
    R: Future<Output = bool>,
{
    let waited = tokio::time::timeout(PATIENCE, async {
        while !is_true().await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
    assert!(waited.await.is_ok(), "{what}: not within {PATIENCE:?}");
}

/// Runs a statement, again after refusals that say that it was not run.
pub async fn run(client: &Client, text: &str) -> Vec<SimpleQueryMessage> {
    let tried = tokio::time::timeout(PATIENCE, async {
        loop {
            match client.simple_query(text).await {
                Ok(messages) => return messages,
                Err(error) if is_not_run(&error) => {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
                Err(error) => panic!("{text}: {error:?}"),
            }
        }
    });
    tried.await.expect("the statement runs in time")
}

/// Returns the SQLSTATE of an error.
pub fn code(error: &tokio_postgres::Error) -> String {
    let code = error.code().map(|code| code.code().to_owned());
    code.unwrap_or_else(|| error.to_string())
}

/// Returns true if a refusal says that nothing was run.
pub fn is_not_run(error: &tokio_postgres::Error) -> bool {
    error
        .as_db_error()
        .and_then(|error| error.detail())
        .is_some_and(|detail| detail.contains("not-run=true"))
}

/// Returns the first column of all rows.
pub fn column(messages: &[SimpleQueryMessage]) -> Vec<String> {
    messages
        .iter()
        .filter_map(|message| match message {
            SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
            _ => None,
        })
        .collect()
}

/// Returns the settings of the tests.
pub fn tree(number: u8, rate: u64, burst: u64) -> serde_json::Value {
    let endpoints: BTreeMap<String, serde_json::Value> = (1..=3)
        .map(|server| {
            let address = address(number, 0, server, 5432).to_string();
            let endpoint = serde_json::json!({"zone": format!("z{server}"), "address": address});
            (format!("orders-{server}"), endpoint)
        })
        .collect();
    serde_json::json!({
        "schema": 1,
        "services": {"catalog": {"routes": {"orders": {
            "group": "orders", "database": "orders", "accounts": [ACCOUNT]
        }}}},
        "accounts": {ACCOUNT: {"values": {"rate_per_s": rate, "burst": burst}}},
        "groups": {"orders": {
            "values": {"connections": 35},
            "endpoints": endpoints, "slots": 5, "user": "yucca", "password_ref": "p"
        }}
    })
}

fn options(number: u8, index: u8) -> Options {
    let at = |port: u16| Arc::from(address(number, 2, index, port).to_string());
    Options {
        name: Arc::from(format!("i{index}")),
        zone: Arc::from(format!("z{index}")),
        listen: at(6432),
        peer: at(7000),
        admin: at(8000),
        platform: Arc::from(format!("http://{}", address(number, 1, 1, 9000))),
        fleet: Arc::from("test"),
        fleet_secret: Arc::from("test-fleet-secret"),
        previous_fleet_secret: None,
        endpoint_user: Arc::from("yucca"),
        endpoint_password: Arc::from("secret"),
        admin_token_read: Arc::from("test-read-token-0001"),
        admin_token_write: Arc::from("test-write-token-001"),
        tls: None,
        via: BTreeMap::new(),
        join: vec![Arc::from(address(number, 2, 1, 7000).to_string())],
        log_level: log::LevelFilter::Info,
    }
}

/// Starts links to the platform and to each instance.
async fn link(number: u8, instances: u8, bytes_per_s: Option<NonZeroU32>) -> Arc<Links> {
    let route = |listen: SocketAddr, to: SocketAddr| Route {
        listen,
        to,
        from_zone: Some(Arc::from("z")),
        to_zone: Arc::from("z"),
    };
    let platform = route(address(number, 3, 1, 9000), address(number, 1, 1, 9000));
    let peers = (1..=instances).map(|index| {
        route(
            address(number, 3, index, 7000),
            address(number, 2, index, 7000),
        )
    });
    let options = link::Options {
        routes: std::iter::once(platform).chain(peers).collect(),
        bytes_per_s,
        ..link::Options::default()
    };
    Links::spawn(options).await.unwrap()
}

/// Makes an instance reach the platform and its peers through the links.
fn use_links(options: &mut Options, number: u8) {
    options.zone = Arc::from("z");
    options.platform = Arc::from(format!("http://{}", address(number, 3, 1, 9000)));
    let via = (1..=INSTANCES_MAX).map(|index| {
        let [to, link] = [2, 3].map(|kind| address(number, kind, index, 7000).to_string());
        (Arc::from(to), Arc::from(link))
    });
    options.via = via.collect();
}

fn address(number: u8, kind: u8, host: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, 60 + number, kind, host], port))
}
