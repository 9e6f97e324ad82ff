//! Primaries that instances use while others replace them: no commit may be acknowledged to a caller
//! that the promoted server lacks.

use std::sync::Arc;
use std::time::Duration;

use test_case::test_case;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::world::Instance;
use crate::world::Ledger;
use crate::world::Site;
use crate::world::Stall;
use crate::world::Switch;
use crate::world::World;
use crate::world::Writers;

/// The limit of each wait for something that a test needs.
const WAIT_MAX: Duration = Duration::from_secs(15);
/// How long a lost promotion order is repeated before one takes effect.
const ORDERS_LOST_FOR: Duration = Duration::from_millis(1_200);
/// How long after a promotion late answers are awaited.
const LATE_ANSWER_TIME: Duration = Duration::from_millis(3_500);

/// A group with an instance that replaces its primary, and what callers were told.
struct Scenario {
    world: World,
    switch: Arc<Switch>,
    ledger: Arc<Ledger>,
    /// The instance that replaces the primary, and the table as it reaches it.
    replacing: (Instance, Arc<Site>),
}

impl Scenario {
    async fn open(world: World) -> Self {
        let switch = Switch::open();
        let replacing = world.start_at(&switch, "i1").await;
        Self {
            world,
            switch,
            ledger: Ledger::open(),
            replacing,
        }
    }

    /// Starts an instance whose callers write all the time.
    async fn start_writing(&self, name: &str) -> (Instance, Writers) {
        let (instance, _site) = self.world.start_at(&self.switch, name).await;
        let writers = self.write_through(&instance).await;
        (instance, writers)
    }

    async fn write_through(&self, instance: &Instance) -> Writers {
        let pause = Duration::from_millis(10);
        self.ledger.write_through(instance, 4, pause).await
    }

    /// Waits until the instances have read each other's registrations.
    async fn wait_for_discovery(&self) {
        sleep(Duration::from_secs(4)).await;
    }

    async fn wait_until(&self, what: &str, holds: impl Fn(&World) -> bool) {
        let begun = Instant::now();
        while !holds(&self.world) {
            assert!(begun.elapsed() < WAIT_MAX, "{what} within {WAIT_MAX:?}");
            sleep(Duration::from_millis(2)).await;
        }
    }

    async fn wait_for_order(&self) {
        self.wait_until("an order", |world| !world.group.orders().is_empty())
            .await;
    }

    /// Adds a replica that receives from the primary at once and registers shortly after.
    async fn join(&self) {
        // A demoted primary has no replicas.
        if self.world.group.leader().is_none() {
            return;
        }
        self.world.group.join("d");
        sleep(Duration::from_millis(100)).await;
        self.world.set_entry("d", 4, false);
    }

    /// Waits until another server leads, and checks what callers were told.
    async fn end(&self) {
        self.wait_until("a promotion", |world| {
            let leader = world.group.leader();
            leader.is_some_and(|leader| &*leader != "a")
        })
        .await;
        sleep(LATE_ANSWER_TIME).await;
        self.check();
    }

    fn check(&self) {
        let lost = self.ledger.lost(&self.world.group).expect("a leader");
        let count = lost.len();
        assert!(
            lost.is_empty(),
            "{count} acknowledged writes are lost: {lost:?}"
        );
        println!("{:?}", self.ledger.tally());
    }
}

/// Commits were acknowledged at a primary that nobody was asked to demote, as each commit waited for a
/// late replica and no proof of its leadership was recent: the incident of issue 47.
#[test_case(World::open(); "fences are checked")]
#[test_case(World::open_unchecked(); "fences are unchecked")]
#[tokio::test]
async fn no_commit_is_lost_with_a_primary_whose_proofs_are_old(world: World) {
    let scenario = Scenario::open(world).await;
    let (other, writers) = scenario.start_writing("i2").await;
    scenario.wait_for_discovery().await;
    let group = &scenario.world.group;
    group.delay_transactions("i2", Duration::from_millis(600));
    // More callers, so that the primary answers some statement of the instance all the time.
    let pause = Duration::from_millis(70);
    let more = scenario.ledger.write_through(&other, 6, pause).await;
    sleep(Duration::from_millis(1_500)).await;
    group.cut("i1", "a");
    scenario.wait_for_order().await;
    group.delay_transactions("i2", Duration::ZERO);
    scenario.join().await;
    scenario.end().await;
    drop((writers, more));
}

/// The same where the views of the other instances are lost on the way.
#[test_case(World::open(); "fences are checked")]
#[test_case(World::open_unchecked(); "fences are unchecked")]
#[tokio::test]
async fn no_commit_is_lost_with_a_primary_of_which_no_view_arrives(world: World) {
    let scenario = Scenario::open(world).await;
    let (_other, _writers) = scenario.start_writing("i2").await;
    scenario.wait_for_discovery().await;
    scenario.switch.cut("i2", "i1");
    scenario.world.group.cut("i1", "a");
    scenario.wait_for_order().await;
    scenario.switch.heal();
    scenario.join().await;
    scenario.end().await;
}

/// The request to demote the primary was lost, and the instance that reaches it acknowledged commits
/// with a replica that had joined.
#[test_case(World::open(); "fences are checked")]
#[test_case(World::open_unchecked(); "fences are unchecked")]
#[tokio::test]
async fn no_commit_is_lost_where_the_request_to_demote_the_primary_is_lost(world: World) {
    let scenario = Scenario::open(world).await;
    let (_other, _writers) = scenario.start_writing("i2").await;
    scenario.wait_for_discovery().await;
    scenario.replacing.1.cut_at_claim("i2");
    scenario.world.group.cut("i1", "a");
    scenario.wait_for_order().await;
    scenario.join().await;
    scenario.end().await;
}

/// A crashed primary was back before its replacement took effect, and the instances used it again.
#[test_case(World::open(); "fences are checked")]
#[test_case(World::open_unchecked(); "fences are unchecked")]
#[tokio::test]
async fn no_commit_is_lost_with_a_crashed_primary_that_is_back_before_its_replacement(
    world: World,
) {
    let scenario = Scenario::open(world).await;
    let _writers = scenario.write_through(&scenario.replacing.0).await;
    let (_other, _other_writers) = scenario.start_writing("i2").await;
    scenario.wait_for_discovery().await;
    let group = &scenario.world.group;
    group.lose_orders();
    group.crash("a");
    scenario.wait_for_order().await;
    group.restart("a");
    scenario.join().await;
    sleep(ORDERS_LOST_FOR).await;
    group.take_orders();
    scenario.end().await;
}

/// A paused replica forgot its pause while the promotion was pending, and an instance that had not
/// reached the primary when views were asked committed there.
#[test_case(World::open(); "fences are checked")]
#[test_case(World::open_unchecked(); "fences are unchecked")]
#[tokio::test]
async fn no_commit_is_lost_with_a_paused_replica_that_restarts(world: World) {
    let scenario = Scenario::open(world).await;
    let (other, writers) = scenario.start_writing("i2").await;
    scenario.wait_for_discovery().await;
    drop(writers);
    let group = &scenario.world.group;
    group.lose_orders();
    for instance in ["i1", "i2"] {
        group.cut(instance, "a");
    }
    scenario.wait_for_order().await;
    let order = group.orders()[0].clone();
    let bystander = match &*order.holder {
        "i1" => (&other, "i2"),
        _ => (&scenario.replacing.0, "i1"),
    };
    let restarted = ["b", "c"].into_iter().find(|name| **name != *order.server);
    group.heal(bystander.1);
    group.resume(restarted.expect("another replica"));
    let _writers = scenario.write_through(bystander.0).await;
    // The instance tries servers that did not answer it again after up to 1.6 s.
    sleep(ORDERS_LOST_FOR + Duration::from_secs(2)).await;
    group.take_orders();
    scenario.end().await;
}

/// An instance that started while the primary was replaced took it for the leader and acknowledged
/// commits there with a replica that had joined.
#[test_case(World::open(); "fences are checked")]
#[test_case(World::open_unchecked(); "fences are unchecked")]
#[tokio::test]
async fn no_commit_is_lost_through_an_instance_that_starts_during_a_replacement(world: World) {
    let scenario = Scenario::open(world).await;
    let mut client = scenario.replacing.0.connect("orders").await;
    assert!(scenario.ledger.write(&mut client).await);
    scenario.world.group.lose_orders();
    scenario.world.group.cut("i1", "a");
    scenario.wait_for_order().await;
    scenario.join().await;
    let site = scenario.world.open_site(&scenario.switch, "i2").await;
    let starting = scenario.world.spawn_at(&site);
    sleep(Duration::from_millis(300)).await;
    let _writers = scenario.write_through(&starting).await;
    sleep(ORDERS_LOST_FOR).await;
    scenario.world.group.take_orders();
    scenario.end().await;
}

/// An instance that reached neither the table nor the instance that replaced the primary went on
/// acknowledging commits there.
#[test_case(World::open(), false; "fences are checked")]
#[test_case(World::open_unchecked(), false; "fences are unchecked")]
#[test_case(World::open(), true; "it reaches the primary only and fences are checked")]
#[test_case(World::open_unchecked(), true; "it reaches the primary only and fences are unchecked")]
#[tokio::test]
async fn no_commit_is_lost_through_an_instance_that_is_cut_off_with_the_primary(
    world: World,
    reaches_primary_only: bool,
) {
    let scenario = Scenario::open(world).await;
    let (apart, outpost) = scenario.world.start_apart("i2").await;
    let _writers = scenario.write_through(&apart).await;
    scenario.wait_for_discovery().await;
    let group = &scenario.world.group;
    outpost.cut();
    if reaches_primary_only {
        group.cut("i2", "b");
        group.cut("i2", "c");
    }
    group.cut("i1", "a");
    scenario.wait_for_order().await;
    scenario.join().await;
    scenario.end().await;
}

/// A commit was sent before the replacement and ran with a replica that joined meanwhile; its answer
/// arrived after the promotion had taken effect and was passed on.
#[test_case(World::open(); "fences are checked")]
#[test_case(World::open_unchecked(); "fences are unchecked")]
#[tokio::test]
async fn no_commit_is_lost_whose_answer_arrives_after_the_promotion(world: World) {
    let scenario = Scenario::open(world).await;
    let (_other, _writers) = scenario.start_writing("i2").await;
    scenario.wait_for_discovery().await;
    let group = &scenario.world.group;
    let site = &scenario.replacing.1;
    let claims = site.claims();
    group.cut("i1", "a");
    scenario
        .wait_until("a claim", |_| site.claims() > claims)
        .await;
    group.stall("i2", "a", Stall::Requests);
    scenario.wait_for_order().await;
    group.join("d");
    group.stall("i2", "a", Stall::Replies);
    scenario
        .wait_until("a promotion", |world| {
            let leader = world.group.leader();
            leader.is_some_and(|leader| &*leader != "a")
        })
        .await;
    sleep(Duration::from_millis(50)).await;
    group.end_stalls("i2");
    scenario.end().await;
}
