//! Decides whether a query surely changes nothing.

use std::ops::ControlFlow;

use sqlparser::ast::Expr;
use sqlparser::ast::ObjectName;
use sqlparser::ast::Query;
use sqlparser::ast::SetExpr;
use sqlparser::ast::Statement;
use sqlparser::ast::TableFactor;
use sqlparser::ast::Visit;
use sqlparser::ast::Visitor;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::keywords::Keyword;
use sqlparser::parser::Parser;
use sqlparser::tokenizer::Token;

use crate::function;
use crate::piece::Piece;

/// Tokens that may each add a level to the syntax tree; a deeper tree could exhaust the stack.
const MAX_OPERATORS: usize = 1_000;
/// Parentheses within each other; the parser's time grows fast with them.
const MAX_NESTING: usize = 16;

/// Returns true if the statement is a query that surely changes nothing.
pub fn is_read(piece: &Piece) -> bool {
    let may_read = matches!(&*piece.word(0), "SELECT" | "WITH" | "VALUES" | "EXPLAIN")
        || piece.token(0) == Some(&Token::LParen);
    if !may_read || !is_small(piece) {
        return false;
    }
    let mut parser =
        Parser::new(&PostgreSqlDialect {}).with_tokens_with_locations(piece.tokens.clone());
    let Ok(statement) = parser.parse_statement() else {
        return false;
    };
    parser.peek_token().token == Token::EOF && reads(&statement)
}

/// Returns true if the syntax tree will be of moderate depth.
fn is_small(piece: &Piece) -> bool {
    let mut operators = 0;
    let mut nesting = 0_usize;
    for token in &piece.tokens {
        match &token.token {
            Token::LParen | Token::LBracket => nesting += 1,
            Token::RParen | Token::RBracket => nesting = nesting.saturating_sub(1),
            Token::Word(word) if word.keyword == Keyword::NoKeyword => {}
            Token::Comma | Token::Period | Token::Number(..) => {}
            Token::SingleQuotedString(_) | Token::Placeholder(_) => {}
            _ => operators += 1,
        }
        if nesting > MAX_NESTING || operators > MAX_OPERATORS {
            return false;
        }
    }
    true
}

fn reads(statement: &Statement) -> bool {
    match statement {
        Statement::Query(query) => query.visit(&mut Search).is_continue(),
        Statement::Explain {
            analyze: false,
            options,
            statement,
            ..
        } => {
            let analyzes = options
                .iter()
                .flatten()
                .any(|option| option.name.value.eq_ignore_ascii_case("analyze"));
            !analyzes && matches!(**statement, Statement::Query(_)) && reads(statement)
        }
        _ => false,
    }
}

/// Breaks off at the first part of a query that may change something.
struct Search;

impl Visitor for Search {
    type Break = ();

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        allow(
            query.locks.is_empty()
                && query.for_clause.is_none()
                && query.pipe_operators.is_empty()
                && selects(&query.body),
        )
    }

    fn pre_visit_table_factor(&mut self, factor: &TableFactor) -> ControlFlow<()> {
        allow(match factor {
            TableFactor::Table {
                name,
                args: Some(_),
                ..
            } => is_pure(name),
            TableFactor::Table { args: None, .. }
            | TableFactor::Derived { .. }
            | TableFactor::UNNEST { .. }
            | TableFactor::NestedJoin { .. } => true,
            TableFactor::Function { name, .. } => is_pure(name),
            _ => false,
        })
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<()> {
        allow(match expr {
            Expr::Function(function) => is_pure(&function.name),
            _ => true,
        })
    }
}

fn allow(allowed: bool) -> ControlFlow<()> {
    if allowed {
        ControlFlow::Continue(())
    } else {
        ControlFlow::Break(())
    }
}

/// Returns true if the query's body neither changes rows nor creates a table.
fn selects(body: &SetExpr) -> bool {
    match body {
        SetExpr::Select(select) => select.into.is_none(),
        SetExpr::SetOperation { left, right, .. } => selects(left) && selects(right),
        SetExpr::Query(_) | SetExpr::Values(_) | SetExpr::Table(_) => true,
        SetExpr::Insert(_) | SetExpr::Update(_) | SetExpr::Delete(_) | SetExpr::Merge(_) => false,
    }
}

/// Returns true for a function of PostgreSQL that changes nothing.
fn is_pure(name: &ObjectName) -> bool {
    let mut parts: Vec<_> = Vec::with_capacity(name.0.len());
    for part in &name.0 {
        match part.as_ident() {
            Some(ident) => parts.push(ident.value.to_lowercase()),
            None => return false,
        }
    }
    match parts.as_slice() {
        [name] => function::is_pure(name),
        [schema, name] => schema == "pg_catalog" && function::is_pure(name),
        _ => false,
    }
}
