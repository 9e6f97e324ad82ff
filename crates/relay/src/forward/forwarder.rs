//! Forwards statements to other instances of the zone.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Duration;

use clock::Span;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::forward::Loss;
use crate::forward::Next;
use crate::forward::Router;
use crate::forward::link::Ending;
use crate::forward::link::Link;
use crate::forward::message::Call;
use crate::forward::message::Decline;
use crate::message::Code;
use crate::message::Failure;
use crate::message::Reply;
use crate::message::State;
use crate::message::Statement;
use crate::node::Node;
use crate::node::lock;
use crate::session::Job;

/// Statements that this instance runs for others at a time.
const RUNNING_MAX: usize = 256;
/// Statements with more text and values than this are not forwarded.
const STATEMENT_BYTES_MAX: usize = 64 << 10;
/// The receiver's time limit ends this much earlier, so that its rejection arrives in time.
const REPLY_MARGIN: Span = Span::from_millis(10);
/// The interval of checks whether the peer is silent.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The interval of checks for peers without a link.
const LINK_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The links by the name and the address of the peer.
type Links = BTreeMap<(Arc<str>, SocketAddr), Arc<Link>>;

/// Forwards statements to other instances of the zone.
pub struct Forwarder {
    /// Decides which instance runs a statement.
    pub router: Mutex<Router>,
    /// Notified when the members of the zone change.
    pub changed: Notify,
    links: Mutex<Links>,
    /// The fleet's secret, once it is known.
    secret: OnceLock<Arc<[u8]>>,
    /// Permits for statements that this instance runs for others.
    pub(super) slots: Arc<Semaphore>,
}

impl Forwarder {
    /// Opens a forwarder that knows no peers.
    pub fn open(name: &Arc<str>) -> Self {
        Self {
            router: Mutex::new(Router::open(name)),
            changed: Notify::new(),
            links: Mutex::default(),
            secret: OnceLock::new(),
            slots: Arc::new(Semaphore::new(RUNNING_MAX)),
        }
    }

    /// Sets the fleet's secret; only the first call has an effect.
    pub fn set_secret(&self, secret: &[u8]) {
        self.secret.get_or_init(|| Arc::from(secret));
        self.changed.notify_one();
    }

    /// Returns the fleet's secret.
    pub(super) fn secret(&self) -> Option<Arc<[u8]>> {
        self.secret.get().cloned()
    }

    /// Returns how many statements run for other instances or have unsent replies.
    pub fn running(&self) -> usize {
        RUNNING_MAX - self.slots.available_permits()
    }
}

/// Keeps a link to each peer while statements of any group are forwarded.
pub async fn keep_links(node: Arc<Node>) {
    let mut tasks: JoinSet<(Arc<str>, SocketAddr)> = JoinSet::new();
    let forwarder = &node.forwarder;
    // Links of a former run of this task have ended with it.
    lock(&forwarder.links).clear();
    loop {
        let addresses = {
            let router = lock(&forwarder.router);
            let is_active = router.is_active() && forwarder.secret().is_some();
            if is_active {
                router.addresses()
            } else {
                BTreeMap::new()
            }
        };
        for (name, address) in addresses {
            let key = (Arc::clone(&name), address);
            let mut links = lock(&forwarder.links);
            if links.contains_key(&key) {
                continue;
            }
            let (link, queued) = Link::open(&name, address);
            links.insert(key.clone(), Arc::clone(&link));
            let node = Arc::clone(&node);
            tasks.spawn(async move {
                link.run(node, queued).await;
                key
            });
        }
        let _elapsed = timeout(LINK_CHECK_INTERVAL, forwarder.changed.notified()).await;
        while let Some(ended) = tasks.try_join_next() {
            if let Ok(key) = ended {
                lock(&forwarder.links).remove(&key);
            }
        }
    }
}

/// Runs a statement outside a transaction at the responsible instance; `None` if it is to run at
/// this one, in which case it did not run anywhere or is a read.
pub async fn run(job: &Job<'_>, database: &Arc<str>) -> Option<Reply> {
    let node = job.node;
    let forwarder = &node.forwarder;
    let now = node.now();
    let (peer, address) = {
        let mut router = lock(&forwarder.router);
        let peer = router.responsible(now, job.account, &job.group.name)?;
        let address = router.peer(&peer)?.address;
        (peer, address)
    };
    let link = lock(&forwarder.links)
        .get(&(Arc::clone(&peer), address))
        .cloned()?;
    let call = call(job, database)?;
    let Some(mut ticket) = link.submit(call) else {
        node.metrics.forward_failure("not-connected");
        return None;
    };
    node.metrics.forwarded.inc();
    let is_write = job.is_write();
    let ending = loop {
        let given_up = tokio::select! {
            biased;
            ended = &mut ticket.ended => break ended.unwrap_or(Ending::Lost(Loss::Broken)),
            () = sleep_until(job.deadline) => ticket.give_up(Loss::Expired, is_write),
            () = sleep(SILENCE_CHECK_INTERVAL) => {
                let is_silent = lock(&forwarder.router)
                    .peer(&peer)
                    .is_some_and(|peer| peer.is_silent(node.now()));
                is_silent.then(|| ticket.give_up(Loss::Silent, is_write)).flatten()
            }
        };
        if let Some(ending) = given_up {
            break ending;
        }
    };
    let reply = match ending {
        Ending::Answer(Ok(reply)) if is_rejected_in_vain(job, &reply) => {
            node.metrics.forward_failure("rejected");
            None
        }
        Ending::Answer(Ok(reply)) => Some(reply),
        Ending::Answer(Err(decline)) => {
            node.metrics.forward_failure(&decline.to_string());
            if decline == Decline::Stopping {
                lock(&forwarder.router).change(&peer, address, crate::forward::Peer::on_stopping);
            }
            None
        }
        Ending::Lost(loss) => {
            node.metrics.forward_failure(&loss.to_string());
            job.log_attempt(&peer, &format!("forwarded, reply lost: {loss}"));
            lost(loss.next(is_write))
        }
    };
    if reply.is_none() {
        // The statement counts for the load of this instance after all.
        node.metrics.run_after_forward.inc();
    }
    reply
}

/// Returns whether the peer rejected the statement while this instance has room for it.
fn is_rejected_in_vain(job: &Job<'_>, reply: &Reply) -> bool {
    if reply.code() != Some(Code::Busy) || job.is_expired() {
        return false;
    }
    let servers = match job.is_write() {
        true => job.group.leader().into_iter().collect(),
        false => job.group.servers(),
    };
    let has_room = |server: &Arc<crate::group::Server>| server.pool.has_room(job.account);
    servers.iter().any(has_room)
}

/// Returns the reply to a statement without a reply of the peer.
fn lost(next: Next) -> Option<Reply> {
    let failure = match next {
        Next::Run => return None,
        Next::Wait | Next::InDoubt => Failure::new(
            Code::InDoubt,
            "the write may have taken effect: the instance that ran it did not answer",
        ),
        Next::Timeout => Failure::new(
            Code::Timeout,
            "the instance that ran the read did not answer within the statement's limit",
        ),
    };
    Some(Reply::failed(failure, State::Idle))
}

/// Returns the call for a statement, unless it is too long or there is too little time.
fn call(job: &Job<'_>, database: &Arc<str>) -> Option<Call> {
    let text = match job.statement {
        Statement::Read { item } => item.len(),
        Statement::Write { arguments } | Statement::Execute { arguments, .. } => arguments.len(),
        _ => return None,
    };
    let values = job.values.iter();
    let bytes = text
        + job.definition.map_or(0, |definition| definition.text.len())
        + values
            .map(|(name, value)| name.len() + value.len())
            .sum::<usize>();
    let remaining = job.deadline.saturating_duration_since(Instant::now());
    // CAST: time limits are far below 2^64 microseconds.
    let remaining_us = remaining.as_micros() as u64;
    let margin_us = REPLY_MARGIN.as_micros();
    if bytes > STATEMENT_BYTES_MAX || remaining_us <= 2 * margin_us {
        return None;
    }
    Some(Call {
        id: Arc::clone(job.id),
        account: Arc::clone(job.account),
        key: Arc::clone(job.key),
        database: Arc::clone(database),
        statement: job.statement.clone(),
        definition: job.definition.cloned(),
        values: job.values.clone(),
        last_commit: job.last_commit,
        age_us: job.node.now().since(job.arrived).as_micros(),
        remaining_us: remaining_us - margin_us,
        revision: job.node.revision().number,
    })
}
