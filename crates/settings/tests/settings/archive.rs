//! Snapshots in the object store.

use std::sync::Arc;

use settings::Archive;
use settings::SLOTS;
use settings::Snapshot;
use store::Memory;
use store::Objects;

fn snapshot(revision: u64) -> Snapshot {
    Snapshot::of(revision, "c", &crate::sample::tree())
}

async fn damage(memory: &Memory, name: &str, body: &[u8]) {
    let version = Objects::get(memory, name).await.unwrap();
    let version = version.map(|object| object.version);
    let put = memory.put(name, Arc::from(body), version).await.unwrap();
    assert!(put.is_some());
}

#[tokio::test]
async fn the_latest_whole_snapshot_is_found_past_damaged_ones() {
    let memory = Memory::open();
    let objects: Arc<Memory> = Arc::clone(&memory);
    let archive = Archive::open(objects);
    assert!(archive.load().await.latest.is_none());
    for revision in 1..=SLOTS + 2 {
        assert_eq!(archive.save(&snapshot(revision)).await, Ok(true));
    }
    let found = archive.load().await;
    assert_eq!(found.latest, Some(snapshot(SLOTS + 2)));
    let text = snapshot(SLOTS + 2).to_text();
    let half = &text.as_bytes()[..text.len() / 2];
    damage(&memory, "settings/snapshot-2", half).await;
    let found = archive.load().await;
    assert_eq!(found.latest, Some(snapshot(SLOTS + 1)));
    assert_eq!(&*found.faults[0].0, "settings/snapshot-2");
}

#[tokio::test]
async fn an_older_snapshot_replaces_no_later_one_but_a_damaged_one_is_replaced() {
    let memory = Memory::open();
    let objects: Arc<Memory> = Arc::clone(&memory);
    let archive = Archive::open(objects);
    assert_eq!(archive.save(&snapshot(SLOTS + 1)).await, Ok(true));
    assert_eq!(archive.save(&snapshot(1)).await, Ok(false));
    assert_eq!(archive.save(&snapshot(SLOTS + 1)).await, Ok(false));
    damage(&memory, "settings/snapshot-1", b"garbage").await;
    assert_eq!(archive.save(&snapshot(1)).await, Ok(true));
    assert_eq!(archive.load().await.latest, Some(snapshot(1)));
}
