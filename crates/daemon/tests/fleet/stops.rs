//! Planned stops and starts.

use admin::Control as _;
use clock::Boot;
use clock::Clock;
use store::Table;

use super::support::Fleet;
use super::support::column;
use super::support::run;
use super::support::until;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_planned_stop_lets_a_transaction_end() {
    let mut fleet = Fleet::open(50, 2).await;
    fleet.create_table().await;
    let leaving = fleet.client(1).await;
    run(&leaving, "BEGIN").await;
    run(&leaving, "INSERT INTO entries VALUES (1, 'x')").await;
    let instance = fleet.instances.remove(1);
    let stopped = tokio::spawn(instance.stop());
    tokio::time::sleep(std::time::Duration::from_millis(600)).await;
    run(&leaving, "INSERT INTO entries VALUES (2, 'y')").await;
    run(&leaving, "COMMIT").await;
    stopped.await.unwrap();
    let other = fleet.client(0).await;
    let rows = run(&other, "SELECT id FROM entries").await;
    assert_eq!(column(&rows).len(), 2);
    let row = Table::get(&*fleet.platform_client(), "instance/i2").await;
    assert_eq!(row, Ok(None), "the lease was given back");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_instance_starts_while_the_table_is_down() {
    let mut fleet = Fleet::open(51, 2).await;
    fleet.create_table().await;
    fleet.platform.switch(|switches| switches.down = true);
    fleet.start(3).await;
    let control = fleet.control(2);
    until("settings without the table", || async {
        control.tree().await.is_ok_and(|view| view.revision >= 2)
    })
    .await;
}

/// Guards against proofs and leases that stand still with the clock of a suspended machine.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_time_of_an_instance_includes_suspensions() {
    let fleet = Fleet::open(55, 1).await;
    let before = Boot.now();
    let now = fleet.instances[0].node().now();
    assert!(before <= now && now <= Boot.now(), "{now:?}");
}
