//! Random schedules of settings changes, slow links, outages and restarts.

use std::sync::Arc;
use std::time::Duration;

use clock::Span;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use relay::message::Statement;
use relay::settings::Revision;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::world::Delivery;
use crate::world::Instance;
use crate::world::KEY;
use crate::world::World;
use crate::world::revision;

/// Schedules that run unless `YUCCAMOUNT_SCHEDULES` says otherwise.
const SCHEDULES: u64 = 60;
/// Steps of a schedule.
const STEPS: u32 = 240;
/// The time of a step.
const STEP: Duration = Duration::from_millis(100);
/// A schedule takes 24 s and the time of its calls.
const PLAY_LIMIT: Duration = Duration::from_secs(300);
/// A change is in force this long after it, if the store was reachable all the while.
const APPLY_BOUND: Duration = Duration::from_secs(5);
/// A withdrawn key runs nothing this long after its withdrawal, whatever happens.
const REVOCATION_BOUND: Duration = Duration::from_secs(5);
/// How long the instances trust keys after a confirmation.
const KEY_GRACE: Span = Span::from_millis(4_900);
/// The key that half of the revisions have withdrawn.
const SOMETIMES: &str = "k2";

/// A revision of the schedule, which only the route `rev-NUMBER` tells from the others.
fn numbered(number: u64) -> Revision {
    let mut next = revision(number);
    let route = Arc::clone(&next.routes["orders"]);
    next.routes.insert(database(number), route);
    if number.is_multiple_of(2) {
        let club = next.accounts.get_mut("club").expect("an account");
        club.keys.clear();
    }
    next
}

fn database(number: u64) -> Arc<str> {
    Arc::from(format!("rev-{number}"))
}

/// What the operator did and what an instance showed.
struct Schedule {
    world: World,
    rng: ChaCha8Rng,
    /// When each revision was written, from revision 1 on.
    written: Vec<Instant>,
    is_down: bool,
    /// Since when replies of the store have arrived whole; `None` while they do not.
    reachable: Option<Instant>,
    /// The revision that the instance showed last; 0 after a restart.
    shown: u64,
}

impl Schedule {
    fn open(seed: u64) -> Self {
        let world = World::open();
        world.set_revision(numbered(1));
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        if rng.random_bool(0.5) {
            world.directives.keep_history();
        }
        Self {
            world,
            rng,
            written: vec![Instant::now()],
            is_down: false,
            reachable: Some(Instant::now()),
            shown: 0,
        }
    }

    fn newest(&self) -> u64 {
        self.written.len() as u64
    }

    /// Returns when `number` was replaced by the next revision.
    fn replaced(&self, number: u64) -> Option<Instant> {
        // CAST: a schedule has few revisions.
        self.written.get(number as usize).copied()
    }

    fn change(&mut self) {
        let number = self.newest() + 1;
        self.world.set_revision(numbered(number));
        self.written.push(Instant::now());
    }

    /// Makes replies slow, up to 1.5 s, or lets them break off.
    fn deliver(&mut self) {
        let is_cut_off = self.rng.random_bool(0.2);
        let delivery = Delivery {
            parts: self.rng.random_range(0..=15),
            pause: Duration::from_millis(self.rng.random_range(0..=100)),
            is_cut_off,
        };
        self.world.directives.set_delivery(delivery);
        if is_cut_off || self.is_down {
            self.reachable = None;
        } else {
            self.reachable.get_or_insert_with(Instant::now);
        }
    }

    fn set_down(&mut self, is_down: bool) {
        self.is_down = is_down;
        self.world.directives.set_down(is_down);
        self.deliver();
    }

    /// Checks the revision in force against what was written.
    async fn check_revision(&mut self, instance: &Instance, context: &str) {
        let now = Instant::now();
        let mut found = None;
        for number in (1..=self.newest()).rev().take(40) {
            if instance.connect_as(&database(number), KEY).await.is_ok() {
                found = Some(number);
                break;
            }
        }
        let Some(number) = found else {
            panic!("{context}: no revision is in force");
        };
        assert!(number >= self.shown, "{context}: the settings went back");
        self.shown = number;
        let is_reachable = self
            .reachable
            .is_some_and(|since| now >= since + APPLY_BOUND);
        let age = self.replaced(number).map(|at| now - at);
        assert!(
            !is_reachable || age.is_none_or(|age| age <= APPLY_BOUND),
            "{context}: revision {number} is in force {age:?} after the next one was written"
        );
    }

    /// Checks whether a write that ran had a key at most `REVOCATION_BOUND` ago.
    fn check_key(&self, ran: Instant, context: &str) {
        let mut odd = (1..=self.newest()).filter(|number| !number.is_multiple_of(2));
        let was_valid = odd.any(|number| {
            self.replaced(number)
                .is_none_or(|at| ran <= at + REVOCATION_BOUND)
        });
        assert!(was_valid, "{context}: a withdrawn key ran a write");
    }
}

async fn play(seed: u64) {
    let mut schedule = Schedule::open(seed);
    let mut instance = schedule.world.start_with_grace("i1", KEY_GRACE).await;
    let mut client = None;
    for step in 0..STEPS {
        let context = format!("seed {seed} step {step}");
        match schedule.rng.random_range(0..100) {
            0..=9 => schedule.change(),
            10..=12 => schedule.deliver(),
            13 => schedule.set_down(true),
            14..=17 => schedule.set_down(false),
            18 if schedule.reachable.is_some() => {
                drop(client.take());
                instance.crash().await;
                instance = schedule.world.start_with_grace("i1", KEY_GRACE).await;
                schedule.shown = 0;
            }
            _ => {}
        }
        schedule.check_revision(&instance, &context).await;
        if client.is_none() {
            client = instance.connect_as("orders", SOMETIMES).await.ok();
        }
        if let Some(open) = &mut client {
            let arguments = Arc::from("x 1");
            let sent = Instant::now();
            match open.try_run(Statement::Write { arguments }).await {
                Some(reply) if reply.outcome.is_ok() => schedule.check_key(sent, &context),
                Some(_) => {}
                None => client = None,
            }
        }
        sleep(STEP).await;
    }
}

/// A change is in force in time, settings never go back, and withdrawn keys stop.
#[test]
fn settings_are_in_force_in_time_whatever_overlaps() {
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
