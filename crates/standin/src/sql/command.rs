//! Splits a text into statements and finds those that SQLite does not run itself.

use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::tokenizer::Token;
use sqlparser::tokenizer::Tokenizer;

use super::Failure;

/// One statement, by how it is run.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Command {
    /// Starts a transaction.
    Begin,
    /// Ends a transaction and keeps its changes.
    Commit,
    /// Ends a transaction and drops its changes.
    Rollback,
    /// Sets, releases or returns to a savepoint.
    Savepoint {
        /// The statement in SQLite's words.
        text: String,
        /// True if it returns to the savepoint.
        back: bool,
    },
    /// Asks for the replication state.
    Status,
    /// Orders a promotion.
    Promote {
        /// The new term.
        term: u64,
    },
    /// Sleeps.
    Sleep {
        /// Seconds, if given in the text; else the first parameter.
        seconds: Option<f64>,
    },
    /// Shows a setting.
    Show {
        /// The setting's name.
        name: String,
    },
    /// Changes something that has no effect here.
    Nothing {
        /// The completion tag.
        tag: &'static str,
    },
    /// Anything else.
    Sql {
        /// The text.
        text: String,
        /// The first word, in capitals.
        verb: String,
    },
}

/// Splits `text` at its semicolons and classifies each statement.
pub(crate) fn parse(text: &str) -> Result<Vec<Command>, Failure> {
    let tokens = Tokenizer::new(&PostgreSqlDialect {}, text)
        .tokenize()
        .map_err(|error| Failure::new("42601", &error.to_string()))?;
    tokens
        .split(|token| *token == Token::SemiColon)
        .filter(|tokens| !tokens.iter().all(is_blank))
        .map(classify)
        .collect()
}

/// Returns a text with `?` in place of its values, so that like statements have like texts.
pub(crate) fn shape(text: &str) -> String {
    let tokens = Tokenizer::new(&PostgreSqlDialect {}, text).tokenize();
    let tokens = tokens.unwrap_or_default();
    tokens
        .iter()
        .map(|token| match token {
            Token::Number(..) | Token::SingleQuotedString(_) | Token::Placeholder(_) => {
                "?".to_owned()
            }
            other => other.to_string(),
        })
        .collect()
}

fn is_blank(token: &Token) -> bool {
    matches!(token, Token::Whitespace(_) | Token::EOF)
}

fn classify(tokens: &[Token]) -> Result<Command, Failure> {
    let words: Vec<String> = tokens
        .iter()
        .filter(|token| !is_blank(token))
        .map(|token| token.to_string().to_uppercase())
        .collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let text: String = tokens.iter().map(Token::to_string).collect();
    let text = text.trim().to_owned();
    Ok(match words.as_slice() {
        ["BEGIN", ..] | ["START", "TRANSACTION", ..] => Command::Begin,
        ["COMMIT" | "END", ..] => Command::Commit,
        ["ROLLBACK", "TO", ..] | ["ROLLBACK", "TRANSACTION" | "WORK", "TO", ..] => {
            Command::Savepoint { text, back: true }
        }
        ["ROLLBACK" | "ABORT", ..] => Command::Rollback,
        ["SAVEPOINT" | "RELEASE", ..] => Command::Savepoint { text, back: false },
        ["SHOW", "YUCCAMOUNT", ".", "STATUS"] => Command::Status,
        ["ALTER", "SYSTEM", "PROMOTE", "TERM", term] => Command::Promote {
            term: term
                .parse()
                .map_err(|_| Failure::new("42601", "the term must be a whole number"))?,
        },
        ["SELECT", "PG_SLEEP", "(", seconds, ")"] => Command::Sleep {
            seconds: seconds.parse().ok(),
        },
        ["SHOW", ..] => Command::Show {
            name: words[1..].concat().to_lowercase(),
        },
        ["SET", ..] => Command::Nothing { tag: "SET" },
        ["RESET", ..] => Command::Nothing { tag: "RESET" },
        ["DISCARD", "ALL"] => Command::Nothing { tag: "DISCARD ALL" },
        ["DEALLOCATE", ..] => Command::Nothing { tag: "DEALLOCATE" },
        [verb, ..] => Command::Sql {
            verb: (*verb).to_owned(),
            text,
        },
        [] => Command::Nothing { tag: "SET" },
    })
}
