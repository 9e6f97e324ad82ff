//! Finds the PostgreSQL types of parameters and columns, which SQLite does not know.

use std::collections::BTreeMap;
use std::ops::ControlFlow;

use pgwire::api::Type;
use rusqlite::Connection;
use sqlparser::ast::BinaryOperator;
use sqlparser::ast::Expr;
use sqlparser::ast::Insert;
use sqlparser::ast::Query;
use sqlparser::ast::SelectItem;
use sqlparser::ast::SetExpr;
use sqlparser::ast::Statement;
use sqlparser::ast::TableObject;
use sqlparser::ast::Value;
use sqlparser::ast::Visit;
use sqlparser::ast::Visitor;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;

use super::Column;

/// Maps a declared column type by SQLite's own affinity rules.
pub(super) fn declared_type(declared: &str) -> Type {
    let declared = declared.to_uppercase();
    let has = |part: &str| declared.contains(part);
    if has("INT") || has("SERIAL") {
        Type::INT8
    } else if has("BOOL") {
        Type::BOOL
    } else if has("REAL") || has("FLOA") || has("DOUB") {
        Type::FLOAT8
    } else if has("BLOB") || has("BYTEA") {
        Type::BYTEA
    } else {
        Type::TEXT
    }
}

/// Fills in the types of columns that have no declared type.
pub(super) fn fill_columns(text: &str, mut columns: Vec<Column>, on: &Connection) -> Vec<Column> {
    if columns.iter().all(|column| column.kind.is_some()) {
        return columns;
    }
    let Some(statement) = parse(text) else {
        return columns;
    };
    let known = Known::load(on);
    let items = projection(&statement);
    for (column, item) in columns.iter_mut().zip(items) {
        if column.kind.is_none() {
            column.kind = known.item_type(item);
        }
    }
    columns
}

/// Returns the types of a statement's parameters, text where nothing tells.
pub(crate) fn parameter_types(connection: &Connection, text: &str) -> Vec<Type> {
    let Ok(prepared) = connection.prepare_cached(text) else {
        return Vec::new();
    };
    let count = (1..=prepared.parameter_count())
        .filter_map(|index| super::execute::parameter_number(prepared.parameter_name(index)?))
        .max()
        .unwrap_or_default();
    let mut finder = Finder {
        known: Known::load(connection),
        types: vec![None; count],
    };
    if count > 0
        && let Some(statement) = parse(text)
    {
        let _ = statement.visit(&mut finder);
    }
    let types = finder.types.into_iter();
    types.map(|kind| kind.unwrap_or(Type::TEXT)).collect()
}

fn parse(text: &str) -> Option<Statement> {
    let mut statements = Parser::parse_sql(&PostgreSqlDialect {}, text).ok()?;
    statements.pop()
}

/// Returns the items that a statement selects or returns.
fn projection(statement: &Statement) -> &[SelectItem] {
    match statement {
        Statement::Query(query) => selected(query),
        Statement::Insert(insert) => insert.returning.as_deref().unwrap_or_default(),
        Statement::Update { returning, .. } => returning.as_deref().unwrap_or_default(),
        Statement::Delete(delete) => delete.returning.as_deref().unwrap_or_default(),
        _ => &[],
    }
}

fn selected(query: &Query) -> &[SelectItem] {
    match &*query.body {
        SetExpr::Select(select) => &select.projection,
        SetExpr::Query(inner) => selected(inner),
        _ => &[],
    }
}

/// The columns of all tables, by table and name.
struct Known {
    tables: BTreeMap<String, Vec<(String, Type)>>,
}

impl Known {
    fn load(connection: &Connection) -> Self {
        let tables = load_tables(connection).unwrap_or_default();
        Self { tables }
    }

    fn column(&self, name: &str) -> Option<Type> {
        let columns = self.tables.values().flatten();
        columns
            .filter(|(column, _)| column.eq_ignore_ascii_case(name))
            .map(|(_, kind)| kind.clone())
            .next()
    }

    fn item_type(&self, item: &SelectItem) -> Option<Type> {
        match item {
            SelectItem::UnnamedExpr(expr) | SelectItem::ExprWithAlias { expr, .. } => {
                self.expr_type(expr)
            }
            _ => None,
        }
    }

    fn expr_type(&self, expr: &Expr) -> Option<Type> {
        match expr {
            Expr::Identifier(name) => self.column(&name.value),
            Expr::CompoundIdentifier(parts) => self.column(&parts.last()?.value),
            Expr::Nested(inner) => self.expr_type(inner),
            Expr::Cast { data_type, .. } => Some(declared_type(&data_type.to_string())),
            Expr::Value(value) => value_type(&value.value),
            Expr::Function(function) => self.function_type(&function.to_string()),
            Expr::BinaryOp { left, right, op } => match op {
                BinaryOperator::StringConcat => Some(Type::TEXT),
                _ => self.expr_type(left).or_else(|| self.expr_type(right)),
            },
            _ => None,
        }
    }

    /// Guesses by the function's name, then by the first column that it mentions.
    fn function_type(&self, call: &str) -> Option<Type> {
        let (name, rest) = call.split_once('(')?;
        match name.to_lowercase().as_str() {
            "count" | "length" | "changes" => Some(Type::INT8),
            "avg" | "total" => Some(Type::FLOAT8),
            "sum" | "max" | "min" | "coalesce" | "abs" => {
                let words = rest.split(|c: char| !c.is_alphanumeric() && c != '_');
                words.filter_map(|word| self.column(word)).next()
            }
            _ => None,
        }
    }
}

fn load_tables(connection: &Connection) -> rusqlite::Result<BTreeMap<String, Vec<(String, Type)>>> {
    let text = "SELECT m.name, c.name, c.type FROM sqlite_schema m, pragma_table_info(m.name) c \
                WHERE m.type = 'table' ORDER BY m.name, c.cid";
    let mut statement = connection.prepare_cached(text)?;
    let mut rows = statement.query(())?;
    let mut tables: BTreeMap<String, Vec<(String, Type)>> = BTreeMap::new();
    while let Some(row) = rows.next()? {
        let declared: String = row.get(2)?;
        let column = (row.get(1)?, declared_type(&declared));
        tables.entry(row.get(0)?).or_default().push(column);
    }
    Ok(tables)
}

fn value_type(value: &Value) -> Option<Type> {
    match value {
        Value::Number(digits, _) if digits.contains(['.', 'e', 'E']) => Some(Type::FLOAT8),
        Value::Number(..) => Some(Type::INT8),
        Value::SingleQuotedString(_) => Some(Type::TEXT),
        Value::Boolean(_) => Some(Type::BOOL),
        _ => None,
    }
}

/// Collects the types of parameters from where they stand.
struct Finder {
    known: Known,
    types: Vec<Option<Type>>,
}

impl Finder {
    fn set(&mut self, expr: &Expr, kind: Option<Type>) {
        let Expr::Value(value) = expr else {
            return;
        };
        let Value::Placeholder(name) = &value.value else {
            return;
        };
        let number = super::execute::parameter_number(name).unwrap_or_default();
        let place = number
            .checked_sub(1)
            .and_then(|index| self.types.get_mut(index));
        if let Some(place) = place
            && place.is_none()
        {
            *place = kind;
        }
    }

    fn pair(&mut self, one: &Expr, other: &Expr) {
        let kind = self.known.expr_type(other);
        self.set(one, kind);
        let kind = self.known.expr_type(one);
        self.set(other, kind);
    }

    fn insert(&mut self, insert: &Insert) {
        let TableObject::TableName(name) = &insert.table else {
            return;
        };
        let Some(SetExpr::Values(values)) = insert.source.as_ref().map(|query| &*query.body) else {
            return;
        };
        let table = name.to_string().trim_matches('"').to_lowercase();
        let columns = self.known.tables.get(&table).cloned().unwrap_or_default();
        for row in &values.rows {
            for (index, expr) in row.iter().enumerate() {
                let kind = match insert.columns.get(index) {
                    Some(column) => self.known.column(&column.value),
                    None => columns.get(index).map(|(_, kind)| kind.clone()),
                };
                self.set(expr, kind);
            }
        }
    }
}

impl Visitor for Finder {
    type Break = ();

    fn pre_visit_statement(&mut self, statement: &Statement) -> ControlFlow<()> {
        match statement {
            Statement::Insert(insert) => self.insert(insert),
            Statement::Update { assignments, .. } => {
                for assignment in assignments {
                    let column = assignment.target.to_string();
                    let kind = self.known.column(&column);
                    self.set(&assignment.value, kind);
                }
            }
            _ => {}
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        let clause = query.limit_clause.as_ref().map(ToString::to_string);
        let words = clause.unwrap_or_default();
        for word in words.split_whitespace() {
            let number = super::execute::parameter_number(word).unwrap_or_default();
            let place = number
                .checked_sub(1)
                .and_then(|index| self.types.get_mut(index));
            if let Some(place) = place {
                *place = Some(Type::INT8);
            }
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<()> {
        match expr {
            Expr::BinaryOp { left, right, .. } => self.pair(left, right),
            Expr::Cast {
                expr, data_type, ..
            } => {
                self.set(expr, Some(declared_type(&data_type.to_string())));
            }
            Expr::Between {
                expr, low, high, ..
            } => {
                self.pair(low, expr);
                self.pair(high, expr);
            }
            Expr::InList { expr, list, .. } => {
                for item in list {
                    self.pair(item, expr);
                }
            }
            _ => {}
        }
        ControlFlow::Continue(())
    }
}
