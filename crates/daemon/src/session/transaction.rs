//! Explicit transactions and pinned sessions: one connection from first statement to end.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use clock::Span;
use endpoint::Answer;
use endpoint::Error;
use endpoint::Query;
use front::Refusal;
use tokio::time::timeout;

use super::context::Context;
use super::context::Work;
use super::refuse;
use super::variable;
use super::write;
use super::write::Attempt;
use crate::group::Link;

/// The suggestion when to come back if no connection can be pinned.
const RETRY: Span = Span::from_millis(500);

/// A connection that the session keeps between statements.
pub(super) struct Hold {
    pub(super) lease: Link,
    server: Arc<str>,
    /// The term at which the connection was taken.
    term: u64,
}

/// An open transaction.
pub(super) struct Block {
    /// The statement that begins it at the server.
    begin: Arc<str>,
    /// True once it was begun at the server, over the session's held connection.
    is_started: bool,
    /// Only a rollback is accepted any more.
    pub(super) is_failed: bool,
}

impl Block {
    /// Opens a transaction that begins at the server with its first statement.
    pub(super) fn open(begin: Arc<str>) -> Self {
        Self {
            begin,
            is_started: false,
            is_failed: false,
        }
    }
}

/// What a session keeps between statements, besides its context.
#[derive(Default)]
pub(super) struct Keep {
    pub(super) hold: Option<Hold>,
    pub(super) block: Option<Block>,
    /// The connection carries state of the session and is never given back.
    pub(super) is_pinned: bool,
}

impl Keep {
    /// Runs a statement inside the open transaction.
    pub(super) async fn run_in_block(
        &mut self,
        context: &mut Context,
        work: &Work,
        query: &Query,
    ) -> Result<Answer, Refusal> {
        let is_failed = self.block.as_ref().is_some_and(|block| block.is_failed);
        if is_failed {
            let message = "the transaction has failed; only ROLLBACK is accepted";
            return Err(refuse::invalid("25P02", message));
        }
        self.start(context, work).await?;
        let Some(hold) = &mut self.hold else {
            return Err(refuse::restart("its connection was lost"));
        };
        if !hold.is_current(work) {
            self.abort();
            return Err(refuse::restart("the primary was replaced"));
        }
        context.slot.set(hold.lease.canceller());
        let result = timeout(context.left(work.deadline), hold.lease.run(query)).await;
        context.slot.clear();
        match result {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error @ Error::Server { .. })) => {
                if let Some(block) = &mut self.block {
                    block.is_failed = true;
                }
                Err(error.into())
            }
            Ok(Err(error)) => {
                work.handle.on_failure(&hold.server, &error);
                self.abort();
                Err(refuse::restart("its connection was lost"))
            }
            Err(_) => {
                self.abort();
                Err(refuse::restart("a statement took longer than its deadline"))
            }
        }
    }

    /// Commits the open transaction and waits for the proof that it lasts.
    pub(super) async fn commit(
        &mut self,
        context: &mut Context,
        work: &Work,
    ) -> Result<Answer, Refusal> {
        let Some(block) = self.block.take() else {
            return Ok(variable::done("COMMIT"));
        };
        if block.is_failed {
            self.block = Some(block);
            return self.rollback(context, work).await;
        }
        if !block.is_started {
            return Ok(variable::done("COMMIT"));
        }
        let Some(mut hold) = self.hold.take() else {
            return Err(refuse::restart("its connection was lost"));
        };
        if !hold.is_current(work) {
            self.forget_pin(work);
            return Err(refuse::restart("the primary was replaced"));
        }
        let query = Query::Simple {
            text: Arc::from("COMMIT"),
        };
        let server = Arc::clone(&hold.server);
        let term = hold.term;
        let sent = write::send(context, work, &mut hold.lease, &server, term, &query).await;
        self.put_back(context, work, hold, sent.as_ref().err());
        match write::settle(context, work, &server, term, sent).await {
            Attempt::Done(answer) => Ok(answer),
            Attempt::Failed(error) => Err(error.into()),
            Attempt::NotRun(error) => Err(refuse::restart(&error.to_string())),
            Attempt::Unknown(why) => Err(refuse::unknown(&why)),
        }
    }

    /// Rolls the open transaction back.
    pub(super) async fn rollback(
        &mut self,
        context: &mut Context,
        work: &Work,
    ) -> Result<Answer, Refusal> {
        let block = self.block.take();
        let is_started = block.is_some_and(|block| block.is_started);
        let Some(mut hold) = self.hold.take().filter(|_| is_started) else {
            return Ok(variable::done("ROLLBACK"));
        };
        let query = Query::Simple {
            text: Arc::from("ROLLBACK"),
        };
        let result = timeout(context.left(work.deadline), hold.lease.run(&query)).await;
        // Otherwise the connection is dropped, and the server rolls back.
        if matches!(result, Ok(Ok(_))) {
            self.put_back(context, work, hold, None);
        } else {
            self.forget_pin(work);
        }
        Ok(variable::done("ROLLBACK"))
    }

    /// Keeps a connection to the primary for the rest of the session.
    pub(super) async fn pin(&mut self, context: &Context, work: &Work) -> Result<(), Refusal> {
        if self.is_pinned {
            return Ok(());
        }
        self.reserve(context, work)?;
        if self.hold.is_none() {
            let taken = Hold::take(context, work).await;
            if taken.is_err() {
                self.forget_pin(work);
            }
            self.hold = Some(taken?);
        }
        Ok(())
    }

    /// Runs a statement over the pinned connection, outside transactions.
    pub(super) async fn run_pinned(
        &mut self,
        context: &mut Context,
        work: &Work,
        query: &Query,
    ) -> Result<Answer, Refusal> {
        let Some(mut hold) = self.hold.take().filter(|hold| hold.is_current(work)) else {
            self.forget_pin(work);
            return Err(lost());
        };
        let server = Arc::clone(&hold.server);
        let term = hold.term;
        let sent = write::send(context, work, &mut hold.lease, &server, term, query).await;
        self.put_back(context, work, hold, sent.as_ref().err());
        match write::settle(context, work, &server, term, sent).await {
            Attempt::Done(answer) => Ok(answer),
            Attempt::Failed(error) => Err(error.into()),
            Attempt::NotRun(_) => Err(lost()),
            Attempt::Unknown(why) => {
                let refusal = refuse::unknown(&why);
                Err(Refusal {
                    fatal: true,
                    ..refusal
                })
            }
        }
    }

    /// Ends the session: a connection that it still holds is closed.
    pub(super) fn close(&mut self, work: Option<&Work>) {
        self.hold = None;
        if let Some(work) = work {
            self.forget_pin(work);
        }
    }

    /// Begins the transaction at the server, if that was not done yet.
    async fn start(&mut self, context: &mut Context, work: &Work) -> Result<(), Refusal> {
        let begin = match &self.block {
            Some(block) if !block.is_started => Arc::clone(&block.begin),
            _ => return Ok(()),
        };
        let mut hold = match self.hold.take() {
            Some(hold) => hold,
            None => Hold::take(context, work).await?,
        };
        let result = hold.lease.run(&Query::Simple { text: begin }).await;
        if let Err(error) = result {
            work.handle.on_failure(&hold.server, &error);
            self.abort();
            return Err(refuse::restart("its connection was lost"));
        }
        self.hold = Some(hold);
        if let Some(block) = &mut self.block {
            block.is_started = true;
        }
        Ok(())
    }

    /// Fails the transaction and closes its connection, so that the server rolls back.
    fn abort(&mut self) {
        self.hold = None;
        if let Some(block) = &mut self.block {
            block.is_failed = true;
        }
    }

    /// Counts the session among the pinned ones, if there is room.
    fn reserve(&mut self, context: &Context, work: &Work) -> Result<(), Refusal> {
        let primary = work.handle.view(|view, now| view.primary(now));
        let limit = primary.map_or(0, |(server, _)| work.handle.pool.limit(&server));
        let before = work.handle.pinned.fetch_add(1, Ordering::Relaxed);
        // One connection always stays for the sessions that share.
        if before + 1 >= limit {
            work.handle.pinned.fetch_sub(1, Ordering::Relaxed);
            return Err(refuse::busy(&context.group, RETRY));
        }
        self.is_pinned = true;
        Ok(())
    }

    fn forget_pin(&mut self, work: &Work) {
        if std::mem::take(&mut self.is_pinned) {
            work.handle.pinned.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Keeps a pinned connection, gives a clean one back and closes any other.
    fn put_back(&mut self, context: &Context, work: &Work, hold: Hold, failure: Option<&Attempt>) {
        let is_known = matches!(failure, None | Some(Attempt::Failed(_)));
        if self.is_pinned && is_known {
            self.hold = Some(hold);
            return;
        }
        if self.is_pinned {
            log::info!("step=pin what=lost session={}", context.entry.id);
            self.forget_pin(work);
        }
        write::finish(hold.lease, failure);
    }
}

impl Hold {
    async fn take(context: &Context, work: &Work) -> Result<Self, Refusal> {
        let (mut lease, server, term) = write::primary(context, work).await?;
        lease.keep();
        Ok(Self {
            lease,
            server,
            term,
        })
    }

    /// Returns true while the server is the primary of the term at which it was taken.
    fn is_current(&self, work: &Work) -> bool {
        work.handle.is_primary(&self.server, self.term)
    }
}

fn lost() -> Refusal {
    let message = "the session's own connection was lost; connect again";
    Refusal::fatal("08006", message)
}
