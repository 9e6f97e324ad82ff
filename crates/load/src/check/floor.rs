//! The least that a caller's reads must show.

/// What one caller has written and seen.
#[derive(Clone, Debug, Default)]
pub struct Floor {
    /// Inserts that were acknowledged.
    inserted: i64,
    /// The highest number of an acknowledged insert.
    highest: i64,
    /// The most rows that a read showed.
    rows_seen: i64,
    /// The highest version that was acknowledged or read.
    version: i64,
}

impl Floor {
    /// Takes note of an acknowledged insert.
    pub fn on_insert(&mut self, rows: i64, number: i64) {
        self.inserted += rows;
        self.highest = self.highest.max(number);
    }

    /// Checks an answer to a count; returns what is wrong.
    pub fn on_count(&mut self, rows: i64, highest: i64) -> Option<String> {
        let least = self.inserted.max(self.rows_seen);
        let wrong = rows < least || highest < self.highest;
        let text = format!(
            "rows={rows} least={least} acknowledged={} highest={highest} least_highest={}",
            self.inserted, self.highest
        );
        self.rows_seen = self.rows_seen.max(rows);
        wrong.then_some(text)
    }

    /// Checks a version that was read, or made by an increment; returns what is wrong.
    pub fn on_version(&mut self, version: i64, incremented: bool) -> Option<String> {
        let least = self.version + i64::from(incremented);
        let wrong = version < least;
        self.version = self.version.max(version);
        wrong.then(|| format!("version={version} least={least}"))
    }
}
