//! Runs one statement on SQLite.

use pgwire::api::Type;
use rusqlite::Connection;
use rusqlite::Statement;
use rusqlite::types::Value;

use super::infer;

/// A result column.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Column {
    /// The name.
    pub(crate) name: String,
    /// The PostgreSQL type, if it is known without running the statement.
    pub(crate) kind: Option<Type>,
}

/// What a statement gave.
#[derive(Clone, Debug, Default)]
pub(crate) struct Output {
    /// The columns; empty if the statement returns no rows at all.
    pub(crate) columns: Vec<Column>,
    /// The rows.
    pub(crate) rows: Vec<Vec<Value>>,
    /// Rows changed or returned.
    pub(crate) affected: usize,
    /// True if the statement may change data.
    pub(crate) changes: bool,
}

/// Runs one statement with parameters `$1`, `$2` and so on.
pub(crate) fn execute(
    connection: &Connection,
    text: &str,
    values: &[Value],
) -> rusqlite::Result<Output> {
    let mut statement = connection.prepare_cached(text)?;
    bind(&mut statement, values)?;
    let columns = columns(text, &statement, connection);
    let changes = !statement.readonly();
    let before = connection.total_changes();
    let width = columns.len();
    let mut fetched = Vec::new();
    let mut rows = statement.raw_query();
    while let Some(row) = rows.next()? {
        fetched.push(
            (0..width)
                .map(|index| row.get(index))
                .collect::<Result<_, _>>()?,
        );
    }
    drop(rows);
    let changed = connection.total_changes() - before;
    let affected = if columns.is_empty() {
        usize::try_from(changed).unwrap_or(usize::MAX)
    } else {
        fetched.len()
    };
    Ok(Output {
        columns,
        rows: fetched,
        affected,
        changes,
    })
}

/// Returns the columns that a statement will give.
pub(crate) fn describe(connection: &Connection, text: &str) -> rusqlite::Result<Vec<Column>> {
    let statement = connection.prepare_cached(text)?;
    Ok(columns(text, &statement, connection))
}

fn columns(text: &str, statement: &Statement<'_>, connection: &Connection) -> Vec<Column> {
    let declared: Vec<Column> = statement
        .columns()
        .iter()
        .map(|column| Column {
            name: column.name().to_owned(),
            kind: column.decl_type().map(infer::declared_type),
        })
        .collect();
    infer::fill_columns(text, declared, connection)
}

/// Binds by name, since SQLite numbers `$1` in order of appearance.
fn bind(statement: &mut Statement<'_>, values: &[Value]) -> rusqlite::Result<()> {
    for index in 1..=statement.parameter_count() {
        let name = statement.parameter_name(index).unwrap_or_default();
        let number = parameter_number(name).unwrap_or(index);
        match number.checked_sub(1).and_then(|place| values.get(place)) {
            Some(value) => statement.raw_bind_parameter(index, value)?,
            None => {
                return Err(rusqlite::Error::InvalidParameterCount(values.len(), number));
            }
        }
    }
    Ok(())
}

/// Reads the number of `$1` or `$1::int8`, which SQLite takes as one name.
pub(super) fn parameter_number(name: &str) -> Option<usize> {
    let name = name.strip_prefix('$')?;
    name.split("::").next()?.parse().ok()
}
