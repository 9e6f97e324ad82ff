//! The cases.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::caller::Caller;
use crate::group::Group;
use crate::group::ids;
use crate::instance::Instance;
use crate::record::Record;
use crate::store;
use crate::store::Store;

const ZONES: [&str; 3] = ["bahirdar", "gondar", "dessie"];
const SERVICE: &str = "huvo";
/// How long statements may reach a server after its report that it leaves (`drain-timeout-ms`).
const DRAIN: Duration = Duration::from_millis(7_000);
const KEY: &str = "u6wsjnbanfqasnmgkcuy";
/// The key of a tenant with a low limit.
const HOT_KEY: &str = "j8pjbvk9m68k7b2ex5wa";

/// The result of a case: whether the rule was broken, or why the case could not run.
pub type Verdict = Result<bool, String>;

/// Runs a case.
pub fn run(case: &str, record: &Record, has_trouble: bool) -> Verdict {
    record.line(&format!("case {case} trouble={has_trouble}"));
    match case {
        "reborn" => reborn(record, has_trouble),
        "blackout" => blackout(record, has_trouble),
        "paging" => paging(record, has_trouble),
        "logs" => logs(record, has_trouble),
        "replaced" => replaced(record, has_trouble),
        _ => Err(format!("no case {case}")),
    }
}

/// A small deployment.
struct Site {
    store: Arc<Store>,
    group: Arc<Group>,
    instances: Vec<Instance>,
    directory: PathBuf,
    record: Record,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.instances.clear();
        // A temporary folder that can't be removed is no reason to fail.
        let _removed = std::fs::remove_dir_all(&self.directory);
    }
}

impl Site {
    /// Starts the store, a group and the operator, and prepares the instances.
    fn open(record: &Record, count: usize) -> Result<Self, String> {
        let fail = |error: std::io::Error| error.to_string();
        let directory =
            std::env::temp_dir().join(format!("yuccamount-case-{}", std::process::id()));
        std::fs::create_dir_all(&directory).map_err(fail)?;
        let (store, store_address) = Store::bind(record).map_err(fail)?;
        let group = Group::start(SERVICE, &ZONES, &store, record).map_err(fail)?;
        let cloud = store::serve_promotions(&group, record).map_err(fail)?;
        store.put("op", "config", &config());
        let prepare = |number: usize| -> std::io::Result<Instance> {
            let zone = ZONES[number % ZONES.len()];
            let name = format!("edge-{zone}-{number}");
            Instance::prepare(&directory, &name, zone, store_address, cloud, record)
        };
        let instances: std::io::Result<Vec<Instance>> = (0..count).map(prepare).collect();
        Ok(Self {
            instances: instances.map_err(fail)?,
            store,
            group,
            directory,
            record: record.clone(),
        })
    }

    fn start(&mut self) -> Result<(), String> {
        for instance in &mut self.instances {
            instance.start().map_err(|error| error.to_string())?;
        }
        for instance in &self.instances {
            if !instance.wait_until_ready(Duration::from_secs(15)) {
                return Err(format!("{} is not ready", instance.name));
            }
        }
        Ok(())
    }

    fn fronts(&self) -> Vec<SocketAddr> {
        self.instances
            .iter()
            .map(|instance| instance.front)
            .collect()
    }

    /// Writes until it is acknowledged, with a new session and a new id for each attempt; returns the
    /// id of the acknowledged attempt.
    fn write(&self, item: &str, data: &str, limit: Duration) -> Option<String> {
        let deadline = Instant::now() + limit;
        for front in self.fronts().iter().cycle() {
            if Instant::now() >= deadline {
                return None;
            }
            let caller = Caller::connect(*front, "lepu", KEY, &self.record);
            let answer =
                caller.and_then(|mut caller| caller.query(&format!("WRITE {item} {data}")));
            if let Ok(answer) = answer
                && answer.outcome.is_ok()
            {
                return Some(answer.id);
            }
            thread::sleep(Duration::from_millis(200));
        }
        None
    }

    /// Reads an item on the route of kind `primary`.
    fn read(&self, item: &str, limit: Duration) -> Option<Vec<String>> {
        let deadline = Instant::now() + limit;
        for front in self.fronts().iter().cycle() {
            if Instant::now() >= deadline {
                return None;
            }
            let caller = Caller::connect(*front, "lepu", KEY, &self.record);
            let answer = caller.and_then(|mut caller| caller.query(&format!("READ {item}")));
            if let Ok(answer) = answer
                && answer.outcome.is_ok()
            {
                return Some(answer.rows);
            }
            thread::sleep(Duration::from_millis(200));
        }
        None
    }

    /// Returns whether a server was promoted without one of the acknowledged writes.
    fn is_lost(&self, acknowledged: &[String]) -> bool {
        let state = self.group.state();
        let mut is_lost = false;
        for (server, log) in &state.promotions {
            for id in acknowledged.iter().filter(|id| !log.contains(id)) {
                let line =
                    format!("LOST: {server} was promoted without the acknowledged write {id}");
                self.record.line(&line);
                is_lost = true;
            }
        }
        is_lost
    }

    fn wait_for_promotion(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if !self.group.state().promotions.is_empty() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    fn quote_output(&self) {
        for instance in &self.instances {
            instance.quote_output(&["failover", "server-", "order ", "commit-d"]);
        }
    }
}

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[\
         {{\"name\":\"r-1\",\"database\":\"lepu\",\"prefix\":\"/\",\"route-type\":\"primary\",\
         \"timeout-ms\":1000,\"target-latency-ms\":200,\"priority\":1,\"service\":\"{SERVICE}\",\
         \"attempts\":2,\"public\":false}},\
         {{\"name\":\"r-2\",\"database\":\"xapu\",\"prefix\":\"/\",\"route-type\":\"bounded\",\
         \"timeout-ms\":2000,\"target-latency-ms\":600,\"priority\":2,\"service\":\"{SERVICE}\",\
         \"attempts\":2,\"max-staleness-ms\":1500,\"public\":false}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health-check\":\"/health\",\
         \"max-connections\":38,\"protocol\":\"h1\",\"tls\":false,\"sync-replicas\":1}}],\
         \"limits\":{{\"header-bytes\":16384,\"body-bytes\":262144,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000,\"tx-idle-ms\":3000}},\
         \"tenants\":[{{\"name\":\"nypu\",\"api-keys\":[\"{KEY}\"],\"priority\":1,\
         \"rate-per-s\":2000,\"burst\":2000}},\
         {{\"name\":\"hapi\",\"api-keys\":[\"{HOT_KEY}\"],\"priority\":1,\
         \"rate-per-s\":25,\"burst\":25}}]}}"
    )
}

fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Writes that all three servers hold, then some that only the primary and the first replica hold.
fn write_orders(site: &Site, has_trouble: bool) -> Result<Vec<String>, String> {
    let limit = Duration::from_secs(8);
    let mut acknowledged = Vec::new();
    let mut write = |number: usize| {
        let id = site.write(&format!("order{number}"), &format!("paid{number}"), limit);
        id.map(|id| acknowledged.push(id))
            .ok_or("a write was not acknowledged")
    };
    for number in 0..3 {
        write(number)?;
    }
    pause(100);
    if has_trouble {
        site.group.state().servers[2].is_deaf = true;
        site.record
            .line("replica i-huvo2 receives nothing from now on");
    }
    for number in 3..6 {
        write(number)?;
    }
    Ok(acknowledged)
}

/// Waits for the end of the outage and returns whether an acknowledged write is lost.
fn judge(site: &Site, acknowledged: &[String]) -> Verdict {
    for number in [0, 5] {
        let rows = site.read(&format!("order{number}"), Duration::from_secs(12));
        site.record.line(&format!("order{number} reads {rows:?}"));
    }
    let is_lost = site.is_lost(acknowledged);
    let state = site.group.state();
    for server in &state.servers {
        site.record
            .line(&format!("log of {}: {:?}", server.id, ids(server)));
    }
    drop(state);
    site.quote_output();
    Ok(is_lost)
}

/// A replica that starts again with nothing, behind a cut from the store, while the primary is down and
/// the other replica has received nothing for a while.
fn reborn(record: &Record, has_trouble: bool) -> Verdict {
    let mut site = Site::open(record, 2)?;
    site.start()?;
    pause(2_000);
    let acknowledged = write_orders(&site, has_trouble)?;
    pause(1_000);
    if has_trouble {
        let group = &site.group;
        group.state().servers[1].is_cut = true;
        record.line("server i-huvo1 is cut off from the store");
        group.crash(1);
        group.crash(0);
        pause(400);
        group.start_again(1, false);
        site.wait_for_promotion(Duration::from_millis(4_600));
        group.state().servers[1].is_cut = false;
        record.line("the cut heals");
        pause(600);
        group.state().servers[2].is_deaf = false;
        record.line("replica i-huvo2 receives again");
        pause(1_000);
        group.start_again(0, true);
    }
    pause(1_000);
    judge(&site, &acknowledged)
}

/// The instances, the primary and a replica end at the same moment; the replica and the instances are
/// back at once, the replica with nothing, and the primary some seconds later.
fn blackout(record: &Record, has_trouble: bool) -> Verdict {
    let mut site = Site::open(record, 2)?;
    site.start()?;
    pause(2_000);
    let acknowledged = write_orders(&site, has_trouble)?;
    if has_trouble {
        let group = Arc::clone(&site.group);
        group.crash(1);
        group.crash(0);
        for instance in &mut site.instances {
            instance.kill();
        }
        pause(400);
        group.start_again(1, false);
        pause(600);
        site.start()?;
        site.wait_for_promotion(Duration::from_millis(5_000));
        group.state().servers[2].is_deaf = false;
        record.line("replica i-huvo2 receives again");
        pause(500);
        group.start_again(0, true);
    }
    pause(1_000);
    judge(&site, &acknowledged)
}

/// A server reports that it leaves between the two pages of the entries that a restarted instance reads.
fn paging(record: &Record, has_trouble: bool) -> Verdict {
    let mut site = Site::open(record, 2)?;
    // The entries of other services: the table is longer than one answer of the store.
    for number in 0..600 {
        let content = format!(
            "{{\"service\":\"other{}\",\"address\":\"127.0.0.1:{}\",\"zone\":\"gondar\",\
             \"version\":\"v1\",\"slots\":3,\"state\":\"ready\",\"warmup-left-ms\":0,\
             \"db-role\":\"replica\",\"born\":1,\"sequence\":1}}",
            number / 3,
            20_000 + number
        );
        site.store
            .put("servers", &format!("i-other{number:03}"), &content);
    }
    site.start()?;
    site.write("order0", "paid0", Duration::from_secs(8))
        .ok_or("no write was acknowledged")?;
    pause(2_000);
    let reported: Arc<Mutex<Option<Instant>>> = Arc::default();
    site.instances[1].stop(Duration::from_secs(8))?;
    if has_trouble {
        let (group, record) = (Arc::clone(&site.group), record.clone());
        let reported = Arc::clone(&reported);
        let hook = move |page: &store::Page<'_>| {
            let mut reported = reported.lock().expect("not poisoned");
            if page.table != "servers" || reported.is_some() || !page.has_more {
                return;
            }
            record.line(&format!(
                "store answers the first page, from={:?}",
                page.from
            ));
            group.state().servers[1].is_draining = true;
            // The server writes its entry within this time, before the next page is read.
            pause(6);
            *reported = Some(Instant::now());
        };
        *site.store.hook.lock().expect("not poisoned") = Some(Box::new(hook));
    }
    let instance = &mut site.instances[1];
    instance.start().map_err(|error| error.to_string())?;
    if !instance.wait_until_ready(Duration::from_secs(15)) {
        return Err(format!("{} is not ready", instance.name));
    }
    let front = instance.front;
    let until = Instant::now() + Duration::from_millis(9_500);
    let callers: Vec<_> = (0..4).map(|_| (front, record.clone())).collect();
    let callers: Vec<_> = callers
        .into_iter()
        .map(|(front, record)| thread::spawn(move || read_until(front, &record, until)))
        .collect();
    for caller in callers {
        caller
            .join()
            .map_err(|_| String::from("a caller panicked"))?;
    }
    let reported = *reported.lock().expect("not poisoned");
    if has_trouble && reported.is_none() {
        return Err(String::from("the entries were read in one answer"));
    }
    if has_trouble {
        site.group.crash(1);
        record.line("server i-huvo1 has left");
    }
    let late = count_late(&site, reported);
    for instance in &site.instances {
        instance.quote_output(&["server-", "settings-applied", "rotation", "stopped"]);
    }
    Ok(late > 0)
}

/// Reads on the route of kind `bounded`, one statement after another.
fn read_until(front: SocketAddr, record: &Record, until: Instant) {
    let mut open = None;
    while Instant::now() < until {
        let caller = match open.take() {
            Some(caller) => Ok(caller),
            None => Caller::connect(front, "xapu", KEY, record),
        };
        if let Ok(mut caller) = caller
            && caller.query("READ order0").is_ok()
        {
            open = Some(caller);
        }
        pause(50);
    }
}

/// Counts the statements that reached the leaving server later than `DRAIN` after its report.
fn count_late(site: &Site, reported: Option<Instant>) -> usize {
    let state = site.group.state();
    let leaving = &state.servers[1].id;
    let Some(reported) = reported else {
        return 0;
    };
    let late = state.statements.iter().filter(|(at, server, id, _)| {
        server == leaving && id != "-" && at.saturating_duration_since(reported) > DRAIN
    });
    let count = late.count();
    let line = format!(
        "DRAIN: {count} statements reached {leaving} later than {DRAIN:?} after its report"
    );
    site.record.line(&line);
    count
}

/// All processes are killed and started again; the reader of their logs rests from then on, while a tenant
/// asks for more than its limit.
fn logs(record: &Record, has_trouble: bool) -> Verdict {
    /// `recovery-s`.
    const RECOVERY: Duration = Duration::from_secs(12);
    let mut site = Site::open(&record.quiet(), 2)?;
    site.start()?;
    pause(1_000);
    let begun = Instant::now();
    let counts: Arc<Mutex<Vec<(Instant, bool)>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for front in site.fronts() {
        for number in 0..6 {
            let (key, pause_ms) = match number {
                0 | 1 => (HOT_KEY, 20),
                _ => (KEY, 10),
            };
            let quiet = record.quiet();
            let (counts, is_over) = (Arc::clone(&counts), Arc::clone(&is_over));
            callers.push(thread::spawn(move || {
                call_until_over(front, key, pause_ms, &quiet, &counts, &is_over);
            }));
        }
    }
    pause(5_000);
    record.line("final fault: all processes are killed");
    let fault = Instant::now();
    for instance in &mut site.instances {
        instance.kill();
    }
    pause(1_200);
    site.start()?;
    let back = Instant::now();
    if has_trouble {
        for instance in &site.instances {
            instance.set_log_unread(true);
        }
    }
    pause(30_000);
    let until = Instant::now() - Duration::from_secs(4);
    let ready = site
        .instances
        .iter()
        .filter(|instance| instance.is_ready())
        .count();
    record.line(&format!(
        "{ready} of {} instances answer that they are ready",
        site.instances.len()
    ));
    is_over.store(true, Ordering::Relaxed);
    for instance in &site.instances {
        instance.set_log_unread(false);
    }
    for caller in callers {
        caller
            .join()
            .map_err(|_| String::from("a caller panicked"))?;
    }
    let before = share(record, &counts, begun, fault);
    let after = share(record, &counts, back + RECOVERY, until);
    record.line(&format!(
        "RECOVER: served before the final fault {before:.2}, after {after:.2}"
    ));
    Ok(before >= 0.25 && after < 0.25)
}

/// All machines are lost for good, and as many come at other addresses.
fn replaced(record: &Record, has_trouble: bool) -> Verdict {
    /// `recovery-s`.
    const RECOVERY: Duration = Duration::from_secs(12);
    const MACHINES: usize = 4;
    let mut site = Site::open(&record.quiet(), 2 * MACHINES)?;
    let mut spare = site.instances.split_off(MACHINES);
    site.start()?;
    pause(2_000);
    let counts: Arc<Mutex<Vec<(Instant, bool)>>> = Arc::default();
    let begun = Instant::now();
    call_for(&site, Duration::from_secs(6), &counts)?;
    let fault = Instant::now();
    for instance in &mut site.instances {
        instance.kill();
    }
    if has_trouble {
        record.line("the machines are gone for good; others come at other addresses");
        std::mem::swap(&mut site.instances, &mut spare);
    }
    pause(2_000);
    site.start()?;
    let back = Instant::now();
    call_for(&site, Duration::from_secs(40), &counts)?;
    let before = share(record, &counts, begun, fault);
    let after = share(record, &counts, back + RECOVERY, Instant::now());
    record.line(&format!(
        "RECOVER: served before the final fault {before:.2}, after {after:.2}"
    ));
    for instance in &site.instances {
        instance.quote_output(&["slices", "leader-known"]);
    }
    Ok(before >= 0.25 && after < 0.25)
}

/// Sends reads and writes through all instances for some time.
fn call_for(
    site: &Site,
    time: Duration,
    counts: &Arc<Mutex<Vec<(Instant, bool)>>>,
) -> Result<(), String> {
    let is_over = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for front in site.fronts() {
        let quiet = site.record.quiet();
        let (counts, is_over) = (Arc::clone(counts), Arc::clone(&is_over));
        callers.push(thread::spawn(move || {
            call_until_over(front, KEY, 100, &quiet, &counts, &is_over);
        }));
    }
    thread::sleep(time);
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        caller
            .join()
            .map_err(|_| String::from("a caller panicked"))?;
    }
    Ok(())
}

/// Returns the share of the requests sent in a span that were served.
fn share(record: &Record, counts: &Mutex<Vec<(Instant, bool)>>, from: Instant, to: Instant) -> f64 {
    let counts = counts.lock().expect("not poisoned");
    let sent: Vec<bool> = counts
        .iter()
        .filter(|(at, _)| *at >= from && *at < to)
        .map(|(_, is_served)| *is_served)
        .collect();
    let served = sent.iter().filter(|is_served| **is_served).count();
    record.line(&format!("of {} requests {served} were served", sent.len()));
    served as f64 / (sent.len() as f64).max(1.0)
}

/// Sends reads and counts those that are served.
fn call_until_over(
    front: SocketAddr,
    key: &str,
    pause_ms: u64,
    record: &Record,
    counts: &Mutex<Vec<(Instant, bool)>>,
    is_over: &AtomicBool,
) {
    let mut open = None;
    while !is_over.load(Ordering::Relaxed) {
        let sent = Instant::now();
        let caller = match open.take() {
            Some(caller) => Ok(caller),
            None => Caller::connect(front, "lepu", key, record),
        };
        let answer = caller.and_then(|mut caller| {
            let answer = caller.query("READ order0")?;
            Ok((caller, answer))
        });
        let is_served = answer
            .as_ref()
            .is_ok_and(|(_, answer)| answer.outcome.is_ok());
        counts.lock().expect("not poisoned").push((sent, is_served));
        open = answer.ok().map(|(caller, _)| caller);
        pause(pause_ms);
    }
}
