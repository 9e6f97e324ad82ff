//! The table as one instance reaches it whose datagrams pass a switch.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use async_trait::async_trait;
use relay::failover::Lease;
use store::Condition;
use store::Error;
use store::Memory;
use store::Outcome;
use store::Row;
use store::Table;
use store::Write;

use super::Instance;
use super::Switch;
use super::World;

/// The table as one instance reaches it.
pub struct Site {
    name: Arc<str>,
    table: Arc<Memory>,
    switch: Arc<Switch>,
    is_down: AtomicBool,
    /// How often the instance has written a group's row.
    claims: AtomicU64,
    /// The instance to which no datagram passes once this one has written a group's row.
    cut_at_claim: Mutex<Option<Arc<str>>>,
}

impl Site {
    /// Makes all calls of the instance fail or succeed.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::Relaxed);
    }

    /// Cuts the way to another instance once this one has written the next row of a group.
    pub fn cut_at_claim(&self, to: &str) {
        *self.cut_at_claim.lock().expect("no panic") = Some(Arc::from(to));
    }

    /// Returns how often the instance has written a group's row.
    pub fn claims(&self) -> u64 {
        self.claims.load(Ordering::Relaxed)
    }

    fn check(&self) -> Result<(), Error> {
        if self.is_down.load(Ordering::Relaxed) {
            return Err(Error::Refused {
                step: "call",
                peer: "table".to_owned(),
                why: "down".to_owned(),
            });
        }
        Ok(())
    }

    fn received(&self, row: Row) -> Row {
        Row {
            value: self.switch.received(&self.name, &row.value),
            ..row
        }
    }
}

#[async_trait]
impl Table for Site {
    fn era(&self) -> u64 {
        self.table.era()
    }

    async fn get(&self, key: &str) -> Result<Option<Row>, Error> {
        self.check()?;
        let row = self.table.get(key).await?;
        Ok(row.map(|row| self.received(row)))
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Row>, Error> {
        self.check()?;
        let rows = self.table.list(prefix).await?;
        Ok(rows.into_iter().map(|row| self.received(row)).collect())
    }

    async fn commit(
        &self,
        conditions: Vec<Condition>,
        writes: Vec<Write>,
    ) -> Result<Outcome, Error> {
        self.check()?;
        let is_of_group = writes.iter().any(|write| match write {
            Write::Put { key, .. } | Write::Delete { key } => key.starts_with(Lease::PREFIX),
        });
        let published = writes.into_iter().map(|write| match write {
            Write::Put { key, value } => Write::Put {
                value: self.switch.published(&self.name, &value),
                key,
            },
            delete @ Write::Delete { .. } => delete,
        });
        let outcome = self.table.commit(conditions, published.collect()).await?;
        if is_of_group && let Some(to) = self.cut_at_claim.lock().expect("no panic").take() {
            self.switch.cut(&self.name, &to);
        }
        if is_of_group {
            self.claims.fetch_add(1, Ordering::Relaxed);
        }
        Ok(match outcome {
            Outcome::Conflict { rows } => Outcome::Conflict {
                rows: rows.into_iter().map(|row| self.received(row)).collect(),
            },
            committed => committed,
        })
    }
}

impl World {
    /// Returns the table as an instance reaches it whose datagrams pass `switch`.
    pub async fn open_site(&self, switch: &Arc<Switch>, name: &str) -> Arc<Site> {
        switch.attach(name, self.peer(name)).await;
        Arc::new(Site {
            name: Arc::from(name),
            table: Arc::clone(&self.table),
            switch: Arc::clone(switch),
            is_down: AtomicBool::new(false),
            claims: AtomicU64::new(0),
            cut_at_claim: Mutex::default(),
        })
    }

    /// Starts an instance at a site without waiting until it serves. Its keys stay valid while the
    /// table is down.
    pub fn spawn_at(&self, site: &Arc<Site>) -> Instance {
        let table: Arc<Site> = Arc::clone(site);
        self.start_on(&site.name, None, table, self.directives.clone())
    }

    /// Starts an instance whose datagrams pass a switch, and waits until it serves.
    pub async fn start_at(&self, switch: &Arc<Switch>, name: &str) -> (Instance, Arc<Site>) {
        let site = self.open_site(switch, name).await;
        let instance = self.spawn_at(&site);
        instance.wait().await;
        (instance, site)
    }

    /// Makes the table fail or succeed for all instances at `sites`, and the feeds of rows with it.
    pub fn set_table_down(&self, sites: &[Arc<Site>], is_down: bool) {
        for site in sites {
            site.set_down(is_down);
        }
        self.directives.set_down(is_down);
        self.servers.set_down(is_down);
    }
}
