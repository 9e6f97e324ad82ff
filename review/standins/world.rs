//! What the cases share: the platform, services and instances of one run.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::database::Run;
use crate::database::Service;
use crate::edge;
use crate::edge::Edge;
use crate::edge::Settings;
use crate::http;
use crate::http::Request;
use crate::http::Response;
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

/// A run ends after this time, whatever it has reached.
const LIMIT: Duration = Duration::from_secs(112);

/// The result of a case.
pub enum Verdict {
    Held(String),
    Broken(String),
    NotRun(String),
}

/// The platform, the services and the instances of one run.
pub struct World {
    pub record: Arc<Record>,
    pub has_trouble: bool,
    pub store: Arc<Store>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub edges: Vec<Edge>,
    cloud: SocketAddr,
    /// The address of the store.
    platform: SocketAddr,
    dir: PathBuf,
}

/// Runs a case in a new temporary folder; ends all processes and removes the folder.
pub fn play(
    record: &str,
    has_trouble: bool,
    case: fn(&mut World) -> Result<Verdict, String>,
) -> Verdict {
    let record = Arc::new(Record::open(record));
    let dir = std::env::temp_dir().join(format!("yuccamount-review-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a temporary folder");
    let (sender, receiver) = std::sync::mpsc::channel();
    let case_record = Arc::clone(&record);
    let case_dir = dir.clone();
    let runner = thread::spawn(move || {
        let mut world = World::open(case_record, has_trouble, case_dir);
        let verdict = case(&mut world);
        let verdict = verdict.unwrap_or_else(Verdict::NotRun);
        drop(world);
        let _sent = sender.send(verdict);
    });
    let verdict = match receiver.recv_timeout(LIMIT) {
        Ok(verdict) => verdict,
        // The thread panicked or takes too long.
        Err(_) if runner.is_finished() => Verdict::NotRun("the script failed".to_owned()),
        Err(_) => Verdict::NotRun("the script took too long".to_owned()),
    };
    // Those of a case that failed or took too long.
    edge::kill_all();
    if let Ok(logs) = std::env::var("KEEP_LOGS") {
        let _copied = std::process::Command::new("cp").arg("-r").arg(&dir).arg(logs).status();
    }
    let _removed = fs::remove_dir_all(&dir);
    verdict
}

impl World {
    fn open(record: Arc<Record>, has_trouble: bool, dir: PathBuf) -> Self {
        let store = Store::open();
        let platform = store.serve();
        let cloud = http::serve("127.0.0.1", |request| promote(&request));
        record.line(&format!("trouble={has_trouble}"));
        World {
            record,
            has_trouble,
            store,
            runs: Arc::default(),
            edges: Vec::new(),
            cloud,
            platform,
            dir,
        }
    }

    /// Starts a service with one server in each zone.
    pub fn add_service(&mut self, name: &str, zones: &[&str]) -> Arc<Service> {
        let service = Service::open(name, zones, &self.store, &self.record, &self.runs);
        SERVICES.lock().unwrap().push(Arc::clone(&service));
        service
    }

    /// Writes the operator's configuration.
    pub fn configure(&self, text: &str) {
        self.record.line(&format!("operator writes {text}"));
        self.store.put("op", "config", text);
    }

    /// Starts an instance.
    pub fn add_edge(&mut self, name: &str, zone: &str) {
        let settings = Settings {
            name,
            zone,
            store: self.platform,
            cloud: self.cloud,
        };
        self.record.line(&format!("instance {name} starts in {zone}"));
        self.edges.push(Edge::open(&self.dir, &settings));
    }

    /// Waits until all instances are ready.
    pub fn wait_ready(&self) -> Result<(), String> {
        for edge in &self.edges {
            if !edge.wait_ready(Duration::from_secs(15)) {
                return Err(format!("{} is not ready", edge.name));
            }
        }
        Ok(())
    }
}

/// All services, for the cloud API.
static SERVICES: Mutex<Vec<Arc<Service>>> = Mutex::new(Vec::new());

fn promote(request: &Request) -> Response {
    if request.method != "POST" || request.path != "/promote" {
        return Response::new(404, String::new());
    }
    let body = Json::parse(&request.body).unwrap_or(Json::Null);
    let services = SERVICES.lock().unwrap().clone();
    let name = body.get("service").text();
    let Some(service) = services.iter().find(|service| service.name == name) else {
        return Response::new(409, String::new());
    };
    let holder = request.header("x-yuccamount-lock-holder");
    let token = request.header("x-yuccamount-fence-token").parse().unwrap_or(0);
    let status = service.promote(body.get("id").text(), holder, token);
    Response::new(status, String::new())
}

/// Sleeps for some milliseconds.
pub fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Returns a configuration with the databases `orders`, at a primary route, and `jobs`, at a
/// read-your-writes route.
pub fn config(version: u64, service: &str, services: &[&str], tenants: usize) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health-check\":\"/health\",\"max-connections\":34,\
                 \"protocol\":\"h1\",\"tls\":false,\"sync-replicas\":1}}"
            )
        })
        .collect();
    let tenants: Vec<String> = (1..=tenants)
        .map(|index| {
            format!(
                "{{\"name\":\"t{index}\",\"api-keys\":[\"key-of-t{index}\"],\"priority\":1,\
                 \"rate-per-s\":121,\"burst\":121}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r1\",\"database\":\"orders\",\
         \"prefix\":\"/\",\"route-type\":\"primary\",\"timeout-ms\":1000,\
         \"target-latency-ms\":200,\"priority\":1,\"service\":\"{service}\",\"attempts\":2,\
         \"public\":false}},{{\"name\":\"r2\",\"database\":\"jobs\",\"prefix\":\"/\",\
         \"route-type\":\"read_your_writes\",\"timeout-ms\":1000,\"target-latency-ms\":400,\
         \"priority\":2,\"service\":\"{service}\",\"attempts\":2,\"max-staleness-ms\":2500,\
         \"public\":false}}],\"services\":[{}],\"limits\":{{\"tx-idle-ms\":3000}},\
         \"tenants\":[{}]}}",
        services.join(","),
        tenants.join(",")
    )
}
