//! The tokens of one statement.

use std::sync::Arc;

use sqlparser::tokenizer::Location;
use sqlparser::tokenizer::Token;
use sqlparser::tokenizer::TokenWithSpan;
use sqlparser::tokenizer::Whitespace;

use crate::Error;

/// One statement's tokens.
#[derive(Debug)]
pub struct Piece {
    /// The statement's text without a closing semicolon.
    pub text: Arc<str>,
    /// The tokens without blanks and comments; at least one.
    pub tokens: Vec<TokenWithSpan>,
    /// The texts of the statement's comments, and of those between it and the next one.
    pub comments: Vec<String>,
}

impl Piece {
    /// Returns the token at a place.
    pub fn token(&self, index: usize) -> Option<&Token> {
        self.tokens.get(index).map(|token| &token.token)
    }

    /// Returns the unquoted word at a place, in upper case; an empty text for anything else.
    pub fn word(&self, index: usize) -> String {
        self.token(index).map(word).unwrap_or_default()
    }

    /// Returns true if the unquoted words follow each other somewhere.
    pub fn has_words(&self, words: &[&str]) -> bool {
        (0..self.tokens.len()).any(|start| {
            let mut expected = words.iter().enumerate();
            expected.all(|(offset, expected)| self.word(start + offset) == *expected)
        })
    }

    /// Returns true if one of the functions is called somewhere; names are in lower case.
    pub fn calls(&self, names: &[&str]) -> bool {
        self.tokens.windows(2).any(|pair| {
            let [name, next] = pair else {
                return false;
            };
            let Token::Word(name) = &name.token else {
                return false;
            };
            next.token == Token::LParen && names.contains(&&*name.value.to_lowercase())
        })
    }
}

/// Returns an unquoted word in upper case; an empty text for anything else.
pub fn word(token: &Token) -> String {
    match token {
        Token::Word(word) if word.quote_style.is_none() => word.value.to_uppercase(),
        _ => String::new(),
    }
}

/// Splits the tokens of a text at its semicolons.
pub fn split(text: &str, tokens: Vec<TokenWithSpan>) -> Result<Vec<Piece>, Error> {
    check_strings(&tokens)?;
    let places = Places::new(text);
    let mut pieces: Vec<Piece> = Vec::new();
    let mut current = Vec::new();
    let mut start = 0;
    for token in tokens {
        if token.token != Token::SemiColon {
            current.push(token);
            continue;
        }
        let end = places.offset(token.span.start);
        finish(&mut pieces, &text[start..end], std::mem::take(&mut current));
        start = places.offset(token.span.end);
    }
    finish(&mut pieces, &text[start..], current);
    Ok(pieces)
}

/// Ends a statement; a comment that stands alone belongs to the statement before it.
fn finish(pieces: &mut Vec<Piece>, text: &str, tokens: Vec<TokenWithSpan>) {
    let comments: Vec<_> = tokens.iter().filter_map(comment).collect();
    let tokens: Vec<_> = tokens
        .into_iter()
        .filter(|token| !matches!(token.token, Token::Whitespace(_) | Token::EOF))
        .collect();
    if !tokens.is_empty() {
        return pieces.push(Piece {
            text: Arc::from(text.trim_ascii()),
            tokens,
            comments,
        });
    }
    if let Some(last) = pieces.last_mut() {
        last.comments.extend(comments);
    }
}

fn comment(token: &TokenWithSpan) -> Option<String> {
    match &token.token {
        Token::Whitespace(Whitespace::MultiLineComment(text)) => Some(text.clone()),
        _ => None,
    }
}

/// Refuses a string that goes on after an escaped one: the server applies the escapes to both
/// parts, the tokenizer does not, so the two could see different statements.
fn check_strings(tokens: &[TokenWithSpan]) -> Result<(), Error> {
    let mut escaped = false;
    for token in tokens {
        match &token.token {
            Token::Whitespace(_) => {}
            Token::SingleQuotedString(_) if escaped => {
                let why = "a string that continues an escaped string".to_owned();
                return Err(Error::Syntax { why });
            }
            Token::EscapedStringLiteral(_) | Token::UnicodeStringLiteral(_) => escaped = true,
            _ => escaped = false,
        }
    }
    Ok(())
}

/// Finds the byte offsets of lines and columns.
struct Places<'a> {
    text: &'a str,
    /// The byte offset at which each line begins.
    lines: Vec<usize>,
}

impl<'a> Places<'a> {
    fn new(text: &'a str) -> Self {
        let ends = text.match_indices('\n').map(|(index, _)| index + 1);
        Self {
            text,
            lines: std::iter::once(0).chain(ends).collect(),
        }
    }

    fn offset(&self, location: Location) -> usize {
        let line = usize::try_from(location.line).unwrap_or(usize::MAX);
        let Some(start) = self.lines.get(line.saturating_sub(1)) else {
            return self.text.len();
        };
        let column = usize::try_from(location.column).unwrap_or(usize::MAX);
        let mut chars = self.text[*start..].char_indices();
        let found = chars.nth(column.saturating_sub(1));
        found.map_or(self.text.len(), |(index, _)| start + index)
    }
}
