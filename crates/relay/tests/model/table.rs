//! The table: the group's row and the instances' registrations.

use std::sync::Arc;

use relay::failover::Lease;
use store::Row;
use store::Write;
use store::version;

/// The table's content at one moment.
#[derive(Clone, Debug, Default)]
pub struct Content {
    /// The group's row.
    pub lease: Option<Lease>,
    /// The version of the row.
    pub version: u64,
    /// Which instances are registered.
    pub registered: [bool; 2],
}

/// The table, which may return from an older copy.
#[derive(Clone, Debug)]
pub struct Table {
    pub era: u64,
    pub content: Content,
    /// The contents before the last writes, oldest first.
    pub copies: Vec<Content>,
    written: u64,
}

/// Older contents from which the table may return.
const COPIES: usize = 3;

impl Table {
    /// Opens a table with both instances registered and no replacement.
    pub fn open() -> Self {
        Self {
            era: 1,
            content: Content {
                registered: [true, true],
                ..Content::default()
            },
            copies: Vec::new(),
            written: 0,
        }
    }

    /// Returns the row as the product reads it.
    pub fn row(&self) -> Option<Row> {
        let lease = self.content.lease.as_ref()?;
        Some(row(lease, self.content.version))
    }

    /// Writes the row if it still has the version `expected`, 0 if it did not exist; returns its new
    /// version.
    pub fn write(&mut self, expected: u64, lease: &Lease) -> Option<u64> {
        if self.content.version != expected {
            return None;
        }
        self.save();
        self.written += 1;
        self.content.version = version::join(self.era, self.written);
        self.content.lease = Some(lease.clone());
        Some(self.content.version)
    }

    /// Registers an instance.
    pub fn register(&mut self, instance: usize) {
        if !self.content.registered[instance] {
            self.save();
            self.content.registered[instance] = true;
        }
    }

    /// Returns from an older copy.
    pub fn restore(&mut self, copy: usize) {
        self.content = self.copies[copy].clone();
        self.copies.clear();
        self.era += 1;
        if self.content.version > 0 {
            self.content.version = version::join(self.era, version::number(self.content.version));
        }
    }

    fn save(&mut self) {
        self.copies.push(self.content.clone());
        if self.copies.len() > COPIES {
            self.copies.remove(0);
        }
    }
}

/// Returns a row with a lease.
pub fn row(lease: &Lease, version: u64) -> Row {
    let (_, write) = lease.compare_and_set("g", None);
    let value = match write {
        Write::Put { value, .. } => value,
        Write::Delete { .. } => Arc::from(""),
    };
    Row {
        key: Lease::key("g"),
        value,
        version,
    }
}
