//! Snapshots in the object store, from which an instance can start while the table is down.

use std::sync::Arc;

use store::Object;
use store::Objects;

use crate::Error;
use crate::Snapshot;

/// Objects that are written in turn, so that a damaged one leaves earlier ones.
pub const SLOTS: u64 = 4;

/// The snapshots in the object store.
pub struct Archive {
    objects: Arc<dyn Objects>,
}

/// What was found in the object store.
#[derive(Debug, Default)]
pub struct Found {
    /// The latest snapshot whose hash is right.
    pub latest: Option<Snapshot>,
    /// Why objects were passed over, each with its name.
    pub faults: Vec<(Arc<str>, Error)>,
}

impl Archive {
    /// Opens the snapshots of a fleet.
    pub fn open(objects: Arc<dyn Objects>) -> Self {
        Self { objects }
    }

    /// Reads all slots and returns the latest snapshot that is whole.
    pub async fn load(&self) -> Found {
        let mut found = Found::default();
        for slot in 0..SLOTS {
            let name = slot_name(slot);
            match self.read(&name).await {
                Ok(Some((_, Ok(snapshot)))) => found.offer(snapshot),
                Ok(Some((_, Err(error)))) | Err(error) => found.faults.push((name, error)),
                Ok(None) => {}
            }
        }
        found
    }

    /// Writes a snapshot unless its slot holds the same or a later one.
    ///
    /// Returns true if it was written. A damaged object is replaced.
    pub async fn save(&self, snapshot: &Snapshot) -> Result<bool, Error> {
        let name = slot_name(snapshot.revision % SLOTS);
        let present = self.read(&name).await?;
        if let Some((_, Ok(stored))) = &present
            && stored.revision >= snapshot.revision
        {
            return Ok(false);
        }
        let expected = present.map(|(object, _)| object.version);
        let body = Arc::from(snapshot.to_text().into_bytes());
        let put = self.objects.put(&name, body, expected).await;
        let version = put.map_err(|error| unavailable("write snapshot", &error))?;
        Ok(version.is_some())
    }

    async fn read(&self, name: &str) -> Result<Option<(Object, Result<Snapshot, Error>)>, Error> {
        let object = self.objects.get(name).await;
        let object = object.map_err(|error| unavailable("read snapshot", &error))?;
        Ok(object.map(|object| {
            let snapshot = Snapshot::read(&object.body);
            (object, snapshot)
        }))
    }
}

impl Found {
    fn offer(&mut self, snapshot: Snapshot) {
        let is_later = self
            .latest
            .as_ref()
            .is_none_or(|latest| snapshot.revision > latest.revision);
        if is_later {
            self.latest = Some(snapshot);
        }
    }
}

fn slot_name(slot: u64) -> Arc<str> {
    Arc::from(format!("settings/snapshot-{slot}"))
}

fn unavailable(step: &'static str, error: &store::Error) -> Error {
    Error::Unavailable {
        step,
        why: error.to_string(),
    }
}
