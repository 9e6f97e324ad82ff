//! The statements of callers and what their answers must say.

use tokio_postgres::Client;
use tokio_postgres::Row;
use tokio_postgres::SimpleQueryMessage;
use tokio_postgres::SimpleQueryRow;
use tokio_postgres::types::Type;

use crate::deployment::Kind;

/// Counts a caller's rows, with the request's id.
const COUNT: &str = "SELECT $1::text AS request, count(*) AS rows, \
    coalesce(max(seq), 0) AS seq, coalesce(min(account), $2::text) AS account \
    FROM items WHERE caller = $3";
/// Reads a caller's version, with the request's id.
const VERSION: &str = "SELECT $1::text AS request, version FROM progress WHERE caller = $2";
/// Parts of the texts of all reads, by which they are told from others that servers count.
pub const READS: [&str; 2] = [
    "FROM items WHERE caller = ",
    "FROM progress WHERE caller = ",
];

const INSERT: &str = "INSERT INTO items (account, caller, seq, request) VALUES ($1, $2, $3, $4)";
const INCREMENT: &str =
    "UPDATE progress SET version = version + 1 WHERE caller = $1 RETURNING version";

/// Returns the id of a transaction's second row.
pub fn second_id(id: &str) -> String {
    format!("{id}.second")
}

/// One request as it is sent.
#[derive(Clone, Debug)]
pub(super) struct Request<'a> {
    pub(super) kind: Kind,
    pub(super) id: &'a str,
    pub(super) account: &'a str,
    pub(super) caller: &'a str,
    /// The number of an inserted row.
    pub(super) seq: i64,
    /// True to send the values within the text.
    pub(super) simple: bool,
}

/// What an answer said.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Answer {
    /// Rows inserted, rows counted or the version.
    pub(super) number: i64,
    /// The highest number of an inserted row that was seen.
    pub(super) seq: i64,
    /// The request's id, if the answer carries it.
    pub(super) request: Option<String>,
    /// The account, if the answer carries it.
    pub(super) account: Option<String>,
}

impl Request<'_> {
    /// Sends the request and reads its answer.
    pub(super) async fn send(&self, client: &Client) -> Result<Answer, tokio_postgres::Error> {
        if self.simple && self.kind != Kind::Transaction {
            return self.send_simple(client).await;
        }
        match self.kind {
            Kind::KeyedInsert => self.insert(client, &self.keyed(INSERT)).await,
            Kind::Insert => self.insert(client, INSERT).await,
            Kind::Transaction => self.transaction(client).await,
            Kind::Increment => self.increment(client).await,
            Kind::Count => self.count(client).await,
            Kind::Version => self.version(client).await,
        }
    }

    fn keyed(&self, text: &str) -> String {
        format!("{text} /*idempotency_key='{}'*/", self.id)
    }

    /// Sends the statement with its values in the text; they hold no quotes.
    async fn send_simple(&self, client: &Client) -> Result<Answer, tokio_postgres::Error> {
        let (id, account, caller) = (quote(self.id), quote(self.account), quote(self.caller));
        let seq = self.seq.to_string();
        let text = match self.kind {
            Kind::KeyedInsert => self.keyed(&fill(INSERT, &[&account, &caller, &seq, &id])),
            Kind::Insert | Kind::Transaction => fill(INSERT, &[&account, &caller, &seq, &id]),
            Kind::Increment => fill(INCREMENT, &[&caller]),
            Kind::Count => fill(COUNT, &[&id, &account, &caller]),
            Kind::Version => fill(VERSION, &[&id, &caller]),
        };
        let messages = client.simple_query(&text).await?;
        let mut answer = Answer::default();
        for message in messages {
            match message {
                SimpleQueryMessage::Row(row) => self.read_simple(&row, &mut answer),
                SimpleQueryMessage::CommandComplete(rows) if !self.kind.returns_rows() => {
                    answer.number = i64::try_from(rows).unwrap_or(i64::MAX);
                }
                _ => {}
            }
        }
        Ok(answer)
    }

    fn read_simple(&self, row: &SimpleQueryRow, answer: &mut Answer) {
        let text = |index: usize| row.get(index).unwrap_or_default().to_owned();
        let number = |index: usize| text(index).parse().unwrap_or(i64::MIN);
        match self.kind {
            Kind::Count => {
                *answer = Answer {
                    request: Some(text(0)),
                    number: number(1),
                    seq: number(2),
                    account: Some(text(3)),
                }
            }
            Kind::Version => {
                answer.request = Some(text(0));
                answer.number = number(1);
            }
            Kind::Increment => answer.number = number(0),
            Kind::KeyedInsert | Kind::Insert | Kind::Transaction => {}
        }
    }

    /// Inserts two rows; an error leaves the transaction to be rolled back.
    async fn transaction(&self, client: &Client) -> Result<Answer, tokio_postgres::Error> {
        client.batch_execute("BEGIN").await?;
        let mut answer = self.insert(client, INSERT).await?;
        let second = second_id(self.id);
        let other = Request {
            id: &second,
            ..self.clone()
        };
        answer.number += other.insert(client, INSERT).await?.number;
        client.batch_execute("COMMIT").await?;
        Ok(answer)
    }

    async fn increment(&self, client: &Client) -> Result<Answer, tokio_postgres::Error> {
        let values = [(&self.caller as _, Type::TEXT)];
        let rows = client.query_typed(INCREMENT, &values).await?;
        let number = first(&rows, |row| row.try_get(0))?;
        Ok(Answer {
            number: number.unwrap_or_default(),
            ..Answer::default()
        })
    }

    async fn insert(&self, client: &Client, text: &str) -> Result<Answer, tokio_postgres::Error> {
        let values = [
            (&self.account as _, Type::TEXT),
            (&self.caller as _, Type::TEXT),
            (&self.seq as _, Type::INT8),
            (&self.id as _, Type::TEXT),
        ];
        let rows = client.execute_typed(text, &values).await?;
        Ok(Answer {
            number: i64::try_from(rows).unwrap_or(i64::MAX),
            ..Answer::default()
        })
    }

    async fn count(&self, client: &Client) -> Result<Answer, tokio_postgres::Error> {
        let values = [
            (&self.id as _, Type::TEXT),
            (&self.account as _, Type::TEXT),
            (&self.caller as _, Type::TEXT),
        ];
        let rows = client.query_typed(COUNT, &values).await?;
        let answer = first(&rows, |row| {
            Ok(Answer {
                request: row.try_get(0)?,
                number: row.try_get(1)?,
                seq: row.try_get(2)?,
                account: row.try_get(3)?,
            })
        })?;
        Ok(answer.unwrap_or_default())
    }

    async fn version(&self, client: &Client) -> Result<Answer, tokio_postgres::Error> {
        let values = [(&self.id as _, Type::TEXT), (&self.caller as _, Type::TEXT)];
        let rows = client.query_typed(VERSION, &values).await?;
        let answer = first(&rows, |row| {
            Ok(Answer {
                request: row.try_get(0)?,
                number: row.try_get(1)?,
                ..Answer::default()
            })
        })?;
        Ok(answer.unwrap_or_default())
    }
}

fn first<T>(
    rows: &[Row],
    read: impl Fn(&Row) -> Result<T, tokio_postgres::Error>,
) -> Result<Option<T>, tokio_postgres::Error> {
    rows.first().map(read).transpose()
}

fn quote(text: &str) -> String {
    format!("'{text}'")
}

/// Puts values in place of `$1` and so on.
fn fill(text: &str, values: &[&str]) -> String {
    let mut filled = text.replace("::text", "");
    for (index, value) in values.iter().enumerate() {
        filled = filled.replace(&format!("${}", index + 1), value);
    }
    filled
}
