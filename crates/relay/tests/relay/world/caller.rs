//! Callers that connect over channels.

use std::sync::Arc;

use async_trait::async_trait;
use relay::Error;
use relay::external::Caller;
use relay::external::Listener;
use relay::message::Code;
use relay::message::Failure;
use relay::message::Message;
use relay::message::Reply;
use relay::message::Statement;
use tokio::sync::Mutex;
use tokio::sync::mpsc;

/// A message from an instance to a caller.
#[derive(Debug)]
enum Sent {
    Accepted,
    Refused(Failure),
    Reply(Reply),
}

struct Connection {
    messages: mpsc::Receiver<Message>,
    sent: mpsc::Sender<Sent>,
}

impl Connection {
    async fn put(&mut self, sent: Sent) -> Result<(), Error> {
        self.sent.send(sent).await.map_err(|_| Error::Broken {
            step: "answer",
            peer: "caller".to_owned(),
            why: "gone".to_owned(),
        })
    }
}

#[async_trait]
impl Caller for Connection {
    async fn receive(&mut self) -> Option<Message> {
        self.messages.recv().await
    }

    async fn send(&mut self, reply: &Reply) -> Result<(), Error> {
        self.put(Sent::Reply(reply.clone())).await
    }

    async fn accept(&mut self) -> Result<(), Error> {
        self.put(Sent::Accepted).await
    }

    async fn refuse(&mut self, failure: &Failure) -> Result<(), Error> {
        self.put(Sent::Refused(failure.clone())).await
    }
}

/// The listener of one instance.
pub struct Acceptor {
    callers: Mutex<mpsc::Receiver<Box<dyn Caller>>>,
}

impl Acceptor {
    /// Opens a listener; callers connect through the sender.
    pub fn open() -> (mpsc::Sender<Box<dyn Caller>>, Self) {
        let (sender, receiver) = mpsc::channel(64);
        let callers = Mutex::new(receiver);
        (sender, Self { callers })
    }
}

#[async_trait]
impl Listener for Acceptor {
    async fn accept(&self) -> Result<Box<dyn Caller>, Error> {
        match self.callers.lock().await.recv().await {
            Some(caller) => Ok(caller),
            None => std::future::pending().await,
        }
    }
}

/// A caller of an instance.
pub struct Client {
    messages: mpsc::Sender<Message>,
    sent: mpsc::Receiver<Sent>,
    next: u64,
}

impl Client {
    /// Connects and begins a session.
    pub async fn connect(
        callers: &mpsc::Sender<Box<dyn Caller>>,
        database: &str,
        key: &str,
    ) -> Result<Self, Failure> {
        let (messages, received) = mpsc::channel(8);
        let (sender, sent) = mpsc::channel(8);
        let connection = Connection {
            messages: received,
            sent: sender,
        };
        let put = callers.send(Box::new(connection)).await;
        assert!(put.is_ok(), "the instance accepts callers");
        let mut client = Self {
            messages,
            sent,
            next: 0,
        };
        let start = Message::Start {
            database: Arc::from(database),
            key: Arc::from(key),
        };
        client.messages.send(start).await.expect("an open session");
        match client.sent.recv().await {
            Some(Sent::Accepted) => Ok(client),
            Some(Sent::Refused(failure)) => Err(failure),
            None => Err(Failure::new(Code::Busy, "the session was closed")),
            other => panic!("the session began with {other:?}"),
        }
    }

    /// Runs a statement; `None` if the session was closed instead.
    pub async fn try_run(&mut self, statement: Statement) -> Option<Reply> {
        self.next += 1;
        let query = Message::Query {
            id: Arc::from(format!("q{}", self.next)),
            statement,
        };
        self.messages.send(query).await.ok()?;
        match self.sent.recv().await? {
            Sent::Reply(reply) => Some(reply),
            other => panic!("a statement was answered with {other:?}"),
        }
    }

    /// Runs a statement.
    pub async fn run(&mut self, statement: Statement) -> Reply {
        self.try_run(statement).await.expect("an open session")
    }

    /// Reads an item and returns its row.
    pub async fn read(&mut self, item: &str) -> Result<String, Failure> {
        let item = Arc::from(item);
        let reply = self.run(Statement::Read { item }).await;
        reply.outcome.map(|_| reply.rows[0].to_string())
    }

    /// Writes an item.
    pub async fn write(&mut self, item: &str, data: &str) -> Result<(), Failure> {
        let arguments = Arc::from(format!("{item} {data}"));
        let reply = self.run(Statement::Write { arguments }).await;
        reply.outcome.map(|_| ())
    }

    /// Sets a value of the session.
    pub async fn set(&mut self, name: &str, value: &str) {
        let (name, value) = (Arc::from(name), Arc::from(value));
        let reply = self.run(Statement::Set { name, value }).await;
        assert!(reply.outcome.is_ok());
    }

    /// Waits until the instance sends or closes; returns whether it closed the session.
    pub async fn is_closed(&mut self) -> bool {
        self.sent.recv().await.is_none()
    }
}
