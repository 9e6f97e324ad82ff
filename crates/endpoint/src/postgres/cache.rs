//! The prepared-statement cache of one connection.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use postgres_types::Type;
use tokio_postgres::Client;
use tokio_postgres::Error as Cause;
use tokio_postgres::Statement;

/// The maximum number of prepared statements per connection.
const MAX_STATEMENTS: usize = 64;

/// Prepared statements, keyed by statement text and parameter types.
#[derive(Default)]
pub(super) struct Cache {
    /// Never holds more than `MAX_STATEMENTS` statements.
    statements: Mutex<BTreeMap<Key, Statement>>,
}

type Key = (Arc<str>, Vec<u32>);

impl Cache {
    /// Returns the cached statement, or prepares and caches it.
    ///
    /// If the cache is full, the statement with the smallest key is evicted.
    pub(super) async fn get(
        &self,
        client: &Client,
        text: &str,
        types: &[u32],
    ) -> Result<Statement, Cause> {
        let key = (Arc::from(text), types.to_vec());
        if let Some(statement) = self.lock().get(&key).cloned() {
            return Ok(statement);
        }
        let parameter_types: Vec<Type> = types.iter().map(|oid| type_from_oid(*oid)).collect();
        let statement = client.prepare_typed(text, &parameter_types).await?;
        let mut statements = self.lock();
        if statements.len() >= MAX_STATEMENTS {
            statements.pop_first();
        }
        statements.insert(key, statement.clone());
        Ok(statement)
    }

    /// Removes all statements, for example because the schema may have changed.
    pub(super) fn clear(&self) {
        self.lock().clear();
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Key, Statement>> {
        self.statements
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn type_from_oid(oid: u32) -> Type {
    Type::from_oid(oid).unwrap_or(Type::UNKNOWN)
}
