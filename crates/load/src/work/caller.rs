//! One caller: a session that sends one request after the other and roams between instances.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::Entry;
use super::Outcome;
use super::Stage;
use super::request::Answer;
use super::request::Request;
use super::session::Login;
use super::session::Session;
use super::session::cause;
use crate::check::Breach;
use crate::check::Floor;
use crate::deployment::Kind;
use crate::deployment::Route;

/// A request that is due.
pub(super) struct Arrival {
    pub(super) intended: Duration,
    pub(super) kind: Kind,
    /// Whether the caller moves to another instance first.
    pub(super) roam: Option<Roam>,
}

/// How a caller moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Roam {
    /// Shows its token at the new instance.
    WithToken,
    /// Shows nothing.
    WithoutToken,
}

/// How long after its deadline a caller still waits for an answer.
const PATIENCE: Duration = Duration::from_millis(1_000);
/// How long a caller repeats a request under its idempotency key.
const REPEAT_FOR: Duration = Duration::from_secs(15);
/// Pause before connecting or repeating again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Time for the last reported token to be read.
const TOKEN_PAUSE: Duration = Duration::from_millis(5);

/// A caller and what it knows.
pub(super) struct Caller {
    stage: Arc<Stage>,
    route: Route,
    name: Arc<str>,
    database: String,
    /// The index of the instance that it talks to.
    instance: usize,
    session: Option<Session>,
    token: Option<String>,
    floor: Floor,
    /// True if it speaks the simple query protocol, as every fourth caller does.
    simple: bool,
    /// The number of the next inserted row and request.
    next: i64,
    random: ChaCha8Rng,
    entries: Vec<Entry>,
}

/// How one attempt ended.
struct Attempt {
    outcome: Outcome,
    answer: Option<Answer>,
    cut: bool,
    error: Option<String>,
}

impl Caller {
    pub(super) fn open(stage: Arc<Stage>, route: Route, name: &str, number: usize) -> Self {
        let deployment = &stage.deployment;
        let group = deployment.groups[route.group].name;
        let database = format!("{}/{group}", deployment.service);
        let instance = number % deployment.instances.len();
        let seed = stage
            .seed
            .wrapping_mul(1_000_003)
            .wrapping_add(number as u64);
        Self {
            route,
            name: Arc::from(name),
            database,
            instance,
            session: None,
            token: None,
            floor: Floor::default(),
            simple: number % 4 == 3,
            next: 1,
            random: ChaCha8Rng::seed_from_u64(seed),
            entries: Vec::new(),
            stage,
        }
    }

    /// Connects ahead of the first request.
    pub(super) async fn warm(&mut self) {
        let until = Instant::now() + PATIENCE;
        let _ = self.connect(until).await;
    }

    /// Sends what is due until the arrivals end; returns what became of it.
    pub(super) async fn run(mut self, mut due: mpsc::UnboundedReceiver<Arrival>) -> Vec<Entry> {
        while let Some(arrival) = due.recv().await {
            if let Some(roam) = arrival.roam {
                self.roam(roam).await;
            }
            self.request(&arrival).await;
        }
        self.entries
    }

    async fn roam(&mut self, roam: Roam) {
        tokio::time::sleep(TOKEN_PAUSE).await;
        self.leave();
        if roam == Roam::WithoutToken {
            self.token = None;
        }
    }

    /// Drops the connection, keeps the token and turns to another instance.
    fn leave(&mut self) {
        if let Some(session) = self.session.take() {
            self.token = session.token().or(self.token.take());
        }
        let count = self.stage.deployment.instances.len();
        let step = self.random.random_range(1..count);
        self.instance = (self.instance + step) % count;
    }

    /// Makes sure that there is a connection; returns the SQLSTATE of a refused login.
    async fn connect(&mut self, until: Instant) -> Result<(), Option<String>> {
        if let Some(session) = &self.session
            && session.client.is_closed()
        {
            self.leave();
        }
        while self.session.is_none() {
            let stage = Arc::clone(&self.stage);
            let account = stage.deployment.accounts[self.route.account].name;
            let login = Login {
                address: &stage.deployment.client_link(self.instance),
                account,
                key: stage.keys.get(account).map_or("", |key| &key.key),
                database: &self.database,
                token: self.token.as_deref(),
            };
            match Session::open(&login).await {
                Ok(session) => self.session = Some(session),
                Err(code) if code.starts_with("28") => return Err(Some(code)),
                Err(_) if Instant::now() >= until => return Err(None),
                Err(_) => {
                    self.leave();
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
        Ok(())
    }

    async fn request(&mut self, arrival: &Arrival) {
        let number = self.next;
        self.next += 1;
        let id = format!("{}.{number}", self.name);
        let due = self.stage.start + arrival.intended;
        let deadline = due + Duration::from_millis(self.stage.deployment.deadline_ms);
        let mut sent = None;
        let mut repeated = false;
        let (mut cut, mut outcome) = (false, Outcome::Unsent);
        let mut error = None;
        loop {
            let keyed_again = repeated && Instant::now() < due + REPEAT_FOR;
            if Instant::now() >= deadline && !keyed_again {
                break;
            }
            match self.connect(deadline.max(Instant::now())).await {
                Ok(()) => {}
                Err(Some(code)) => {
                    outcome = if repeated {
                        outcome
                    } else {
                        Outcome::NotRun { code }
                    };
                    break;
                }
                Err(None) => continue,
            }
            sent = sent.or(Some(self.stage.now()));
            let attempt = self.attempt(arrival.kind, &id, number, deadline).await;
            cut |= attempt.cut;
            error = attempt.error.or(error);
            outcome = settle(&outcome, attempt.outcome, repeated);
            if let Some(answer) = &attempt.answer {
                self.check(arrival.kind, &id, number, answer, repeated);
            }
            if outcome != Outcome::Unknown || arrival.kind != Kind::KeyedInsert {
                break;
            }
            repeated = true;
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        let done = self.stage.now();
        self.stage.count(outcome == Outcome::Answered);
        self.entries.push(Entry {
            account: self.route.account,
            group: self.route.group,
            caller: Arc::clone(&self.name),
            kind: arrival.kind,
            request: id,
            intended: arrival.intended,
            sent,
            done,
            outcome,
            repeated,
            cut,
            error,
        });
    }

    async fn attempt(&mut self, kind: Kind, id: &str, seq: i64, deadline: Instant) -> Attempt {
        let Some(session) = &self.session else {
            return ended(Outcome::Unsent);
        };
        let request = Request {
            kind,
            id,
            account: self.stage.deployment.accounts[self.route.account].name,
            caller: &self.name,
            seq,
            simple: self.simple,
        };
        let until = deadline.max(Instant::now()) + PATIENCE;
        let result = tokio::time::timeout_at(until, request.send(&session.client)).await;
        match result {
            Ok(Ok(answer)) => Attempt {
                answer: Some(answer),
                ..ended(Outcome::Answered)
            },
            Ok(Err(error)) => {
                let mut attempt = classify(&error);
                attempt.error = Some(format!("i{}: {}", self.instance + 1, explain(&error)));
                let moves = match &attempt.outcome {
                    Outcome::NotRun { code } => code == CANNOT_CONNECT_NOW,
                    _ => attempt.cut,
                };
                if kind == Kind::Transaction && !session.client.is_closed() {
                    // Without a transaction open this has no effect.
                    let end = session.client.batch_execute("ROLLBACK");
                    let _ = tokio::time::timeout(PATIENCE, end).await;
                }
                if moves || session.client.is_closed() {
                    self.leave();
                }
                attempt
            }
            Err(_) => {
                let error = format!("i{}: no answer in time", self.instance + 1);
                self.leave();
                Attempt {
                    error: Some(error),
                    ..ended(Outcome::Unknown)
                }
            }
        }
    }

    /// Compares an answer with what the caller sent and knows.
    fn check(&mut self, kind: Kind, id: &str, seq: i64, answer: &Answer, repeated: bool) {
        let account = self.stage.deployment.accounts[self.route.account].name;
        if answer
            .request
            .as_deref()
            .is_some_and(|request| request != id)
        {
            let text = format!("request={id} got={:?}", answer.request);
            self.stage.violate(Breach::WrongAnswer, text);
        }
        if answer
            .account
            .as_deref()
            .is_some_and(|name| name != account)
        {
            let text = format!("request={id} account={account} got={:?}", answer.account);
            self.stage.violate(Breach::WrongAccount, text);
        }
        let breach = match kind {
            Kind::KeyedInsert | Kind::Insert | Kind::Transaction => {
                let rows = if kind == Kind::Transaction { 2 } else { 1 };
                self.floor.on_insert(rows, seq);
                if answer.number != rows {
                    let text = format!("request={id} rows={} repeated={repeated}", answer.number);
                    self.stage.violate(Breach::WrongAnswer, text);
                }
                None
            }
            Kind::Increment => self.floor.on_version(answer.number, true),
            Kind::Count => self.floor.on_count(answer.number, answer.seq),
            Kind::Version => self.floor.on_version(answer.number, false),
        };
        if let Some(breach) = breach {
            let text = format!(
                "request={id} kind={kind} instance={} {breach}",
                self.instance + 1
            );
            self.stage.violate(Breach::StaleRead, text);
        }
    }
}

/// Combines the outcomes of a request that was sent more than once.
///
/// "Not run" of a repeat says nothing about the first time.
fn settle(before: &Outcome, now: Outcome, repeated: bool) -> Outcome {
    match now {
        Outcome::Answered => Outcome::Answered,
        Outcome::NotRun { .. } | Outcome::Unsent if repeated => before.clone(),
        other => other,
    }
}

fn ended(outcome: Outcome) -> Attempt {
    Attempt {
        outcome,
        answer: None,
        cut: false,
        error: None,
    }
}

fn explain(error: &tokio_postgres::Error) -> String {
    match error.as_db_error() {
        None => error.to_string(),
        Some(inner) => format!("{} {}", inner.message(), inner.detail().unwrap_or_default()),
    }
}

/// The SQLSTATE after which a balancer would turn to another instance.
const CANNOT_CONNECT_NOW: &str = "57P03";
/// The SQLSTATE of a statement whose outcome is unknown.
const UNKNOWN_OUTCOME: &str = "08007";

fn classify(error: &tokio_postgres::Error) -> Attempt {
    let Some(inner) = error.as_db_error() else {
        return Attempt {
            cut: true,
            ..ended(Outcome::Unknown)
        };
    };
    let code = cause(error);
    if inner
        .detail()
        .is_some_and(|detail| detail.contains("not-run=true"))
    {
        return ended(Outcome::NotRun { code });
    }
    if code == UNKNOWN_OUTCOME {
        return ended(Outcome::Unknown);
    }
    ended(Outcome::Failed { code })
}
