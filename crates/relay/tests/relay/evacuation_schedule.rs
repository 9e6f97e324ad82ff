//! Random schedules of evacuations, store outages and restarts.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use clock::Span;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use relay::message::Statement;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::world::Instance;
use crate::world::KEY;
use crate::world::World;
use crate::world::revision;

/// Schedules that run unless `YUCCAMOUNT_SCHEDULES` says otherwise.
const SCHEDULES: u64 = 12;
/// Steps of a schedule.
const STEPS: u32 = 300;
/// The time of a step.
const STEP: Duration = Duration::from_millis(100);
/// A schedule takes 30 s and the time of its restarts.
const PLAY_LIMIT: Duration = Duration::from_secs(600);
/// The bound of the instances.
const BOUND: Span = Span::from_secs(5);
/// The zones, each of which has the server of its name.
const ZONES: [&str; 3] = ["a", "b", "c"];
/// The time after which a group whose zones are all in use serves again.
const RECOVERY: Duration = Duration::from_secs(20);

/// The time limit of a statement, and a margin.
const STATEMENT_LIMIT: Duration = Duration::from_secs(4);

/// A time from its begin to its end, if it has ended.
type Interval = (Instant, Option<Instant>);

/// What the operator and the store did.
#[derive(Default)]
struct History {
    evacuations: BTreeMap<&'static str, Vec<Interval>>,
    outages: Vec<Interval>,
}

impl History {
    /// Returns whether a request may reach a server of a zone at `at`.
    fn allows(&self, zone: &str, at: Instant) -> bool {
        let bound: Duration = BOUND.into();
        // Instances that do not reach the store keep their state.
        let is_out =
            |(from, until): &Interval| *from <= at && until.is_none_or(|until| at <= until + bound);
        if self.outages.iter().any(is_out) {
            return true;
        }
        let evacuations = self.evacuations.get(zone).into_iter().flatten();
        let is_over =
            |(from, until): &Interval| *from + bound < at && until.is_none_or(|until| at < until);
        !evacuations.into_iter().any(is_over)
    }
}

fn begin(intervals: &mut Vec<Interval>) {
    intervals.push((Instant::now(), None));
}

fn end(intervals: &mut [Interval]) {
    if let Some((_, until)) = intervals.last_mut() {
        until.get_or_insert_with(Instant::now);
    }
}

fn is_open(intervals: &[Interval]) -> bool {
    intervals.last().is_some_and(|(_, until)| until.is_none())
}

/// Runs statements and transactions until it is aborted.
async fn call(instance: Arc<Instance>, database: &'static str, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    loop {
        sleep(Duration::from_millis(20)).await;
        let Ok(mut client) = instance.connect_as(database, KEY).await else {
            continue;
        };
        loop {
            let read = || Statement::Read {
                item: Arc::from("x"),
            };
            let write = Statement::Write {
                arguments: Arc::from("x 1"),
            };
            let is_read_only = database != "orders";
            let mut statements = vec![match is_read_only {
                true => read(),
                false => write,
            }];
            if rng.random_bool(0.1) {
                let reads = rng.random_range(1..4);
                statements.extend((0..reads).map(|_| read()));
                statements.insert(0, Statement::Begin { is_read_only });
                statements.push(Statement::Commit);
            }
            let mut is_closed = false;
            for statement in statements {
                is_closed |= client.try_run(statement).await.is_none();
                // Transactions last up to a bound and more.
                sleep(Duration::from_millis(rng.random_range(0..2_000))).await;
            }
            if is_closed {
                break;
            }
        }
    }
}

/// An instance and its callers.
struct Member {
    instance: Arc<Instance>,
    callers: Vec<JoinHandle<()>>,
}

impl Member {
    fn open(instance: Instance, rng: &mut ChaCha8Rng) -> Self {
        let instance = Arc::new(instance);
        let databases = [
            "gallery", "orders", "gallery", "orders", "gallery", "status",
        ];
        let callers = databases.into_iter().map(|database| {
            let call = call(Arc::clone(&instance), database, rng.random());
            tokio::spawn(call)
        });
        Self {
            callers: callers.collect(),
            instance,
        }
    }

    async fn crash(self) {
        for caller in self.callers {
            caller.abort();
            let _aborted = caller.await;
        }
        let instance = Arc::into_inner(self.instance).expect("its callers have ended");
        instance.crash().await;
        // Pending statements hold the instance's port until their time limit.
        sleep(STATEMENT_LIMIT).await;
    }
}

async fn play(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let world = match seed % 3 {
        0 => World::open_evacuable_unchecked(BOUND),
        _ => World::open_evacuable(BOUND),
    };
    if seed % 4 == 1 {
        // Servers are cold after the evacuation of their zone.
        let mut settings = revision(2);
        for group in settings.groups.values_mut() {
            group.warmup = Span::from_secs(10);
            group.warmup_rate_milli = 8_000;
        }
        world.set_revision(settings);
    }
    let mut history = History::default();
    let mut members = Vec::new();
    for name in ["i1", "i2", "i3"] {
        let instance = world.start(name).await;
        members.push((name, Member::open(instance, &mut rng)));
    }
    for _ in 0..STEPS {
        let zone = ZONES[rng.random_range(0..ZONES.len())];
        let evacuated = history.evacuations.values();
        let evacuated = evacuated.filter(|intervals| is_open(intervals)).count();
        let intervals = history.evacuations.entry(zone).or_default();
        match rng.random_range(0..100) {
            0..=2 if !is_open(intervals) && evacuated + 1 < ZONES.len() => {
                world.evacuate(zone);
                begin(intervals);
            }
            3..=4 if is_open(intervals) => {
                world.end_evacuation(zone);
                end(intervals);
            }
            5 if !is_open(&history.outages) => {
                world.directives.set_down(true);
                begin(&mut history.outages);
            }
            6..=12 if is_open(&history.outages) => {
                world.directives.set_down(false);
                end(&mut history.outages);
            }
            13 if !is_open(&history.outages) => {
                let index = rng.random_range(0..members.len());
                let (name, member) = members.remove(index);
                member.crash().await;
                let instance = world.spawn(name);
                members.push((name, Member::open(instance, &mut rng)));
            }
            _ => {}
        }
        sleep(STEP).await;
    }
    for run in world.group.runs() {
        assert!(
            history.allows(&run.server, run.at),
            "seed {seed}: {run:?} reached an evacuated zone"
        );
    }
    world.directives.set_down(false);
    for zone in ZONES {
        world.end_evacuation(zone);
    }
    sleep(RECOVERY).await;
    for (name, member) in &members {
        let mut client = member.instance.connect("orders").await;
        let written = client.write("y", "1").await;
        assert!(written.is_ok(), "seed {seed}: {name} {written:?}");
    }
    assert_eq!(world.group.lost(), 0, "seed {seed}: a write is lost");
    assert!(world.group.paused().is_empty(), "seed {seed}");
}

/// No request reaches an evacuated zone after the bound, whatever overlaps, and the group recovers.
#[test]
fn evacuated_zones_are_free_of_requests_in_time_whatever_overlaps() {
    let variable = |name: &str, default| {
        let value = std::env::var(name).ok();
        value.map_or(default, |value| value.parse().expect("a number"))
    };
    let first = variable("YUCCAMOUNT_SEED", 1);
    for seed in first..first + variable("YUCCAMOUNT_SCHEDULES", SCHEDULES) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .expect("a runtime");
        let played = runtime.block_on(async { timeout(PLAY_LIMIT, play(seed)).await });
        assert!(played.is_ok(), "seed {seed}: callers wait for ever");
    }
}
