//! Random schedules of replacements with three instances that are cut off, frozen or without the table,
//! and with replicas that lag, receive nothing or join right after an order.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::world::Instance;
use crate::world::Ledger;
use crate::world::Site;
use crate::world::Stall;
use crate::world::Switch;
use crate::world::World;
use crate::world::Writers;
use crate::world::revision;

/// Schedules that run at the same time unless `YUCCAMOUNT_SCHEDULES` says otherwise.
const SCHEDULES: u64 = 16;
/// Steps of a schedule; instances exchange datagrams over real sockets, so time is not paused.
const STEPS: u32 = 120;
/// The time of a step.
const STEP: Duration = Duration::from_millis(100);
/// The time after which a group serves once all failures have ended.
const RECOVERY: Duration = Duration::from_secs(25);
const INSTANCES: [&str; 3] = ["i1", "i2", "i3"];
/// The servers and their ports; the last three join in the course of a schedule.
const SERVERS: [(&str, u16); 6] = [("a", 1), ("b", 2), ("c", 3), ("d", 4), ("e", 5), ("f", 6)];
/// How long after an order a replica joins, in milliseconds.
const JOIN_DELAY_MS: std::ops::Range<u64> = 50..600;
/// The time for which an instance is frozen, in milliseconds.
const FREEZE_MS: std::ops::Range<u64> = 100..3_500;

/// An instance with callers that write all the time.
struct Serving {
    /// Runs all tasks of the instance.
    runtime: Option<Runtime>,
    /// Dropping it tells the instance to stop.
    _instance: Instance,
    site: Arc<Site>,
    _writers: Writers,
}

impl Serving {
    async fn open(schedule: &Schedule, name: &str) -> Self {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime");
        let site = schedule.world.open_site(&schedule.switch, name).await;
        let instance = {
            let _guard = runtime.enter();
            schedule.world.spawn_at(&site)
        };
        instance.wait().await;
        let pause = Duration::from_millis(10);
        let writers = schedule.ledger.write_through(&instance, 3, pause).await;
        Self {
            runtime: Some(runtime),
            _instance: instance,
            site,
            _writers: writers,
        }
    }

    /// Runs nothing of the instance for a while, as on a machine that has stopped.
    fn freeze(&self, time: Duration) {
        let runtime = self.runtime.as_ref().expect("a running instance");
        runtime.spawn(async move { std::thread::sleep(time) });
    }
}

impl Drop for Serving {
    /// Ends all tasks of the instance at once, as a crash does.
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

struct Schedule {
    seed: u64,
    world: World,
    switch: Arc<Switch>,
    ledger: Arc<Ledger>,
    rng: ChaCha8Rng,
    instances: BTreeMap<&'static str, Serving>,
    /// The number of servers that have joined, of `SERVERS`.
    joined: usize,
    /// The orders after which a replica was added, or none was left.
    orders_seen: usize,
    /// When the next replica joins.
    join_at: Option<Instant>,
    /// When the table is reached again.
    table_back_at: Option<Instant>,
}

impl Schedule {
    async fn open(seed: u64) -> Self {
        let world = match seed.is_multiple_of(2) {
            true => World::open(),
            false => World::open_unchecked(),
        };
        world.set_revision(revision(2));
        let mut schedule = Self {
            seed,
            world,
            switch: Switch::open(),
            ledger: Ledger::open(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            instances: BTreeMap::new(),
            joined: 3,
            orders_seen: 0,
            join_at: None,
            table_back_at: None,
        };
        for name in INSTANCES {
            let serving = Serving::open(&schedule, name).await;
            schedule.instances.insert(name, serving);
        }
        schedule
    }

    fn server(&mut self) -> &'static str {
        let servers = &SERVERS[..self.joined];
        servers.choose(&mut self.rng).expect("servers").0
    }

    fn instance(&mut self) -> &'static str {
        INSTANCES.choose(&mut self.rng).expect("instances")
    }

    fn set_table_down(&self, is_down: bool) {
        let sites = self.instances.values().map(|serving| &serving.site);
        let sites: Vec<Arc<Site>> = sites.cloned().collect();
        self.world.set_table_down(&sites, is_down);
    }

    fn step(&mut self) {
        let group = Arc::clone(&self.world.group);
        let leader = group.leader();
        let name = self.instance();
        let server = self.server();
        let primary = leader.as_deref().unwrap_or(server);
        match self.rng.random_range(0..100) {
            0..=5 => {
                // Only one instance goes on with the primary.
                for other in INSTANCES.iter().filter(|other| **other != name) {
                    group.cut(other, primary);
                }
            }
            6..=9 => group.cut(name, primary),
            10 => group.cut(name, server),
            11..=20 => group.heal(name),
            21 => group.crash(server),
            22..=23 => group.crash(primary),
            24..=33 => {
                for (server, _) in &SERVERS[..self.joined] {
                    group.restart(server);
                }
            }
            34 => group.set_silent(server, true),
            35..=40 => group.set_silent(server, false),
            41..=42 => group.isolate(server, true),
            43..=48 => group.isolate(server, false),
            49 => group.set_lagging(server, true),
            50..=53 => group.set_lagging(server, false),
            54..=55 => group.stall(name, primary, Stall::Requests),
            56..=57 => group.stall(name, primary, Stall::Replies),
            58..=64 => group.end_stalls(name),
            65..=66 => {
                let delay = self.rng.random_range(100..700);
                group.delay_transactions(name, Duration::from_millis(delay));
            }
            67..=70 => group.delay_transactions(name, Duration::ZERO),
            71..=73 => {
                let time = self.rng.random_range(FREEZE_MS);
                self.instances[name].freeze(Duration::from_millis(time));
            }
            74..=77 => {
                let other = self.instance();
                self.switch.cut(name, other);
            }
            78..=82 => self.switch.heal(),
            83 => self.instances[name].site.set_down(true),
            84..=86 => self.instances[name].site.set_down(false),
            87 if self.table_back_at.is_none() => {
                let time = Duration::from_millis(self.rng.random_range(500..6_000));
                self.table_back_at = Some(Instant::now() + time);
                self.set_table_down(true);
            }
            88..=89 => {
                // A replica that restarts has forgotten its pause.
                if let Some(paused) = group.paused().choose(&mut self.rng) {
                    group.resume(paused);
                }
            }
            _ => {}
        }
    }

    /// Does what is due at this time.
    fn advance(&mut self) {
        let now = Instant::now();
        if self.table_back_at.take_if(|at| *at <= now).is_some() {
            self.set_table_down(false);
        }
        let group = Arc::clone(&self.world.group);
        let orders = group.orders().len();
        if orders > self.orders_seen && self.join_at.is_none() && self.joined < SERVERS.len() {
            let delay = self.rng.random_range(JOIN_DELAY_MS);
            self.join_at = Some(now + Duration::from_millis(delay));
        }
        self.orders_seen = orders;
        if group.leader().is_some() && self.join_at.take_if(|at| *at <= now).is_some() {
            let (name, port) = SERVERS[self.joined];
            self.joined += 1;
            group.join(name);
            self.world.set_entry(name, port, false);
        }
    }

    /// Ends all failures.
    fn calm(&mut self) {
        let group = &self.world.group;
        group.end_deposed();
        self.switch.heal();
        for name in INSTANCES {
            group.heal(name);
            group.end_stalls(name);
            group.delay_transactions(name, Duration::ZERO);
        }
        for (name, port) in &SERVERS[..self.joined] {
            group.set_silent(name, false);
            group.isolate(name, false);
            group.set_lagging(name, false);
            group.restart(name);
            self.world.set_entry(name, *port, false);
        }
        self.set_table_down(false);
    }

    /// Returns the first order whose token another instance has used too.
    fn token_used_twice(&self) -> Option<String> {
        let orders = self.world.group.orders();
        let mut holders = BTreeMap::new();
        orders.iter().find_map(|order| {
            let holder = holders.entry(order.token).or_insert(&order.holder);
            (*holder != &order.holder).then(|| format!("{order:?}, and {holder}"))
        })
    }

    fn check(&self, step: u32) -> Result<(), String> {
        let seed = self.seed;
        let lost = self.ledger.lost(&self.world.group).unwrap_or_default();
        if !lost.is_empty() {
            let count = lost.len();
            let orders = self.world.group.orders().len();
            return Err(format!(
                "seed {seed} step {step}: {count} acknowledged writes lost, {orders} orders"
            ));
        }
        match self.token_used_twice() {
            Some(order) => Err(format!(
                "seed {seed} step {step}: token used twice: {order}"
            )),
            None => Ok(()),
        }
    }
}

/// Plays a schedule; returns what was wrong.
async fn play(seed: u64) -> Result<(), String> {
    let mut schedule = Schedule::open(seed).await;
    for step in 0..STEPS {
        schedule.step();
        let next = Instant::now() + STEP;
        while Instant::now() < next {
            schedule.advance();
            sleep(STEP / 10).await;
        }
        schedule.check(step)?;
    }
    schedule.calm();
    let calm = Instant::now();
    loop {
        let before = schedule.ledger.tally().0;
        sleep(STEP * 5).await;
        let is_served = schedule.ledger.tally().0 > before;
        schedule.check(STEPS)?;
        let group = &schedule.world.group;
        let paused = group.paused();
        if is_served && paused.is_empty() {
            let orders = group.orders().len();
            println!(
                "seed {seed}: {:?}, {orders} orders",
                schedule.ledger.tally()
            );
            return Ok(());
        }
        if calm.elapsed() > RECOVERY {
            let leader = group.leader();
            return Err(format!(
                "seed {seed}: not served after all is calm: {leader:?}, paused {paused:?}"
            ));
        }
    }
}

/// Acknowledged writes were lost where instances did not take part in a replacement; two instances used
/// one token; the group did not serve or a replica stayed paused once all failures had ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn replacements_keep_their_promises_with_instances_that_take_no_part() {
    let variable = |name: &str, default| {
        let value = std::env::var(name).ok();
        value.map_or(default, |value| value.parse().expect("a number"))
    };
    let first = variable("YUCCAMOUNT_SEED", 1);
    let seeds = first..first + variable("YUCCAMOUNT_SCHEDULES", SCHEDULES);
    let played: Vec<_> = seeds.map(|seed| tokio::spawn(play(seed))).collect();
    let mut wrong = Vec::new();
    for schedule in played {
        let ended = schedule.await.expect("no schedule panics");
        wrong.extend(ended.err());
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}
