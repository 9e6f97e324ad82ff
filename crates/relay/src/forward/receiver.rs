//! Runs statements for other instances.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use clock::Span;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::Error;
use crate::forward::channel;
use crate::forward::channel::Side;
use crate::forward::message::Call;
use crate::forward::message::Decline;
use crate::forward::message::End;
use crate::forward::message::Message;
use crate::message::Code;
use crate::message::Failure;
use crate::message::Reply;
use crate::message::State;
use crate::message::Statement;
use crate::node::Node;
use crate::session::Job;

/// Maximum number of connections; a zone has fewer instances.
const CONNECTIONS_MAX: usize = 128;
/// Messages that wait to be sent on one connection.
const QUEUE_MAX: usize = 256;
/// Time limit for sending one message.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// A message with rows is sent once it has this many bytes.
const ROWS_BYTES: usize = 1 << 20;

/// A message to send; the permit of the statement that it ends is returned once it is sent.
type Outgoing = (Message, Option<Arc<OwnedSemaphorePermit>>);

/// Accepts connections of other instances until the process ends.
pub async fn run(node: Arc<Node>, listener: Arc<TcpListener>) {
    let mut connections = JoinSet::new();
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                while connections.try_join_next().is_some() {}
                if connections.len() >= CONNECTIONS_MAX {
                    continue;
                }
                let node = Arc::clone(&node);
                connections.spawn(async move {
                    if let Err(error) = serve(&node, stream).await {
                        node.logger.info(format_args!(
                            "event=forward-origin-lost from={address} why=\"{error}\""
                        ));
                    }
                });
            }
            Err(error) => {
                log::warn!("event=forward-accept-failed why=\"{error}\"");
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn serve(node: &Arc<Node>, stream: TcpStream) -> Result<(), Error> {
    // The origin tries again.
    let Some(secret) = node.forwarder.secret() else {
        return Ok(());
    };
    let name = &node.options.name;
    let (mut sender, mut receiver, _) =
        channel::open(stream, Side::Receiver, &secret, name, None).await?;
    let (queue, mut queued) = mpsc::channel::<Outgoing>(QUEUE_MAX);
    let write = async {
        while let Some((message, permit)) = queued.recv().await {
            let sent = timeout(SEND_TIMEOUT, sender.send(&message)).await;
            sent.map_err(|_| Error::Timeout {
                step: "send a message",
                peer: "instance".to_owned(),
            })??;
            drop(permit);
        }
        Ok(())
    };
    let read = async {
        loop {
            match receiver.receive().await? {
                Message::Ping => {
                    // A full queue shows that the instance is alive as well.
                    let _full = queue.try_send((Message::Pong, None));
                }
                Message::Call { id, call } => accept(node, &queue, id, *call),
                Message::Pong | Message::Rows { .. } | Message::End { .. } => {}
            }
        }
    };
    tokio::select! {
        ended = write => ended,
        ended = read => ended,
    }
}

/// Runs a statement to its end, even if the connection breaks meanwhile.
fn accept(node: &Arc<Node>, queue: &mpsc::Sender<Outgoing>, id: u64, call: Call) {
    let node = Arc::clone(node);
    let queue = queue.clone();
    let permit = Arc::clone(&node.forwarder.slots).try_acquire_owned();
    tokio::spawn(async move {
        let permit = permit.ok().map(Arc::new);
        let answer = match permit {
            Some(_) => answer(&node, call).await,
            None => Err(Decline::Full),
        };
        let messages = match answer {
            Ok(reply) => Message::answer(id, reply, ROWS_BYTES),
            Err(decline) => vec![Message::End {
                id,
                end: End::Declined(decline),
            }],
        };
        for message in messages {
            if queue.send((message, permit.clone())).await.is_err() {
                return;
            }
        }
    });
}

async fn answer(node: &Arc<Node>, call: Call) -> Result<Reply, Decline> {
    if node.is_stopping.load(Ordering::Relaxed) {
        return Err(Decline::Stopping);
    }
    if node.revision().number < call.revision {
        return Err(Decline::OlderSettings);
    }
    let is_single = matches!(
        call.statement,
        Statement::Read { .. } | Statement::Write { .. } | Statement::Execute { .. }
    );
    if !is_single {
        let failure = Failure::new(Code::Malformed, "not a single statement");
        return Ok(Reply::failed(failure, State::Idle));
    }
    let route = match node.route(&call.database) {
        Ok(route) => route,
        Err(failure) => return Ok(Reply::failed(failure, State::Idle)),
    };
    match node.check_key(&call.account, &call.key, &route) {
        Ok(()) => {}
        Err(failure) if failure.code == Code::Busy => return Err(Decline::KeyUnknown),
        Err(failure) => return Ok(Reply::failed(failure, State::Idle)),
    }
    let Some(group) = node.group(&route.group) else {
        return Ok(Reply::failed(node.unknown_database(), State::Idle));
    };
    let remaining = Span::from_micros(call.remaining_us).min(route.statement_timeout);
    let job = Job {
        node,
        group: &group,
        route: &route,
        account: &call.account,
        key: &call.key,
        id: &call.id,
        statement: &call.statement,
        definition: call.definition.as_ref(),
        values: &call.values,
        // Without the time on the wire, so that a floor is never earlier than necessary.
        arrived: node.now() - Span::from_micros(call.age_us),
        deadline: Instant::now() + remaining.into(),
        last_commit: call.last_commit,
    };
    node.metrics.run_for_others.inc();
    Ok(job.run().await)
}
