//! The administration interface's view of this process.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use admin::ChangeStatus;
use admin::Endpoint;
use admin::Error;
use admin::Granted;
use admin::Group;
use admin::Handover;
use admin::Instance;
use admin::Session;
use admin::Tokens;
use admin::TreeView;
use async_trait::async_trait;
use axum::Router;
use clock::Span;
use membership::HEARTBEAT_TIMEOUT;
use membership::Health;
use membership::Reason;
use settings::Answer;
use settings::Change;
use settings::Source;
use settings::State;
use settings::Store;
use timeline::Event;
use timeline::Timestamp;

use super::keys;
use super::lists;
use crate::error;
use crate::node::Node;
use crate::node::lock;
use crate::task;

/// A table that gave no answer for this long is reported.
const TABLE_SILENCE: Span = Span::from_millis(2_000);

/// Administers this process.
pub struct Control {
    pub(super) node: Arc<Node>,
    pub(super) store: Store,
}

/// Returns the administration interface of this process.
pub fn router(node: &Arc<Node>) -> Result<Router, error::Error> {
    let options = &node.options;
    let tokens = format!(
        "reader:read:{},writer:write:{}",
        options.admin_token_read, options.admin_token_write
    );
    let tokens = Tokens::parse(&tokens).map_err(|_| error::Error::Flag {
        flag: "--admin-token-read, --admin-token-write".to_owned(),
        value: "(hidden)".to_owned(),
        allowed: "16 bytes or more without commas".to_owned(),
    })?;
    let control = Control::open(Arc::clone(node));
    Ok(admin::router(Arc::new(control), tokens))
}

impl Control {
    /// Opens the administration of a process.
    pub fn open(node: Arc<Node>) -> Self {
        let store = Store::open(Arc::clone(&node.table));
        Self { node, store }
    }

    /// Tells that the instance may grant no request of any account.
    fn without_share(&self) -> Option<Reason> {
        let now = self.node.now();
        let slices = lock(&self.node.limiter).schedule().slice_count(now);
        let has_accounts = self
            .node
            .held()
            .is_some_and(|held| !held.tree.accounts.is_empty());
        (slices == 0 && has_accounts).then(|| Reason {
            name: Arc::from("no-rate-share"),
            is_blocking: true,
            detail: "no slices of the rates are held: every account's requests are refused"
                .to_owned(),
        })
    }
}

#[async_trait]
impl admin::Control for Control {
    async fn tree(&self) -> Result<TreeView, Error> {
        let held = self.node.held().ok_or_else(no_settings)?;
        Ok(TreeView {
            revision: held.snapshot.revision,
            hash: Arc::clone(&held.snapshot.hash),
            tree: Arc::clone(&held.tree),
        })
    }

    async fn change(&self, change: Change, dry_run: bool) -> Answer {
        let held = lock(&self.node.holder).revision();
        let wall_ms = self.node.clock.wall_ms();
        let answer = self.store.submit(change, held, wall_ms, dry_run).await;
        if let Answer::Accepted {
            snapshot: Some(snapshot),
            ..
        } = &answer
        {
            let origin = Arc::clone(&self.node.options.name);
            task::accept_snapshot(&self.node, snapshot, Source::Table, &origin);
        }
        answer
    }

    async fn change_status(&self, id: &str) -> Result<Option<ChangeStatus>, Error> {
        let record = self.store.record(id).await;
        let record = record.map_err(|cause| not_now("read the change", &cause))?;
        let Some(record) = record else {
            return Ok(None);
        };
        let now = self.node.now();
        let instances = {
            let holder = lock(&self.node.holder);
            holder.in_force(now, record.revision, now - HEARTBEAT_TIMEOUT)
        };
        Ok(Some(ChangeStatus {
            is_everywhere: instances
                .iter()
                .all(|standing| standing.state == State::InForce),
            record,
            instances,
        }))
    }

    async fn grant_key(
        &self,
        account: &str,
        change: &str,
        operator: &str,
    ) -> Result<Granted, Error> {
        keys::grant(self, account, change, operator).await
    }

    async fn withdraw_key(
        &self,
        account: &str,
        key: &str,
        change: &str,
        operator: &str,
    ) -> Result<Answer, Error> {
        keys::withdraw(self, account, key, change, operator).await
    }

    async fn groups(&self) -> Result<Vec<Group>, Error> {
        Ok(lists::groups(&self.node))
    }

    async fn handover(&self, group: &str, operator: &str) -> Result<Handover, Error> {
        let handle = self.node.group(group).ok_or(Error::Missing {
            path: "group",
            name: group.to_owned(),
        })?;
        let primary = handle.view(|view, now| view.primary(now));
        let (primary, term) =
            primary.ok_or_else(|| not_now("hand-over", &"no primary is known"))?;
        let why = format!("ordered by {operator}");
        handle.input(|view, now| view.request_handover(now, &why, &primary));
        Ok(Handover {
            group: Arc::from(group),
            term: term + 1,
            order: Arc::from(format!("{group}-{}", term + 1)),
        })
    }

    async fn instances(&self) -> Result<Vec<Instance>, Error> {
        Ok(lists::instances(&self.node))
    }

    async fn endpoints(&self) -> Result<Vec<Endpoint>, Error> {
        Ok(lists::endpoints(&self.node))
    }

    async fn sessions(&self) -> Result<Vec<Session>, Error> {
        Ok(lists::sessions(&self.node))
    }

    fn events_after(&self, after: Timestamp) -> Vec<Event> {
        self.node.ring.events_after(after)
    }

    fn record(&self, event: Event) {
        self.node.ring.record(event);
    }

    fn metrics(&self) -> String {
        self.node.meter.text(&self.node)
    }

    fn readiness(&self) -> Vec<Reason> {
        let now = self.node.now();
        let held = self.node.held();
        let has_usable_settings = held
            .as_ref()
            .is_some_and(|held| self.node.has_usable_settings(&held.tree.resolve_root()));
        let (is_leased, is_replaced) = {
            let renewer = lock(&self.node.renewer);
            (renewer.is_valid(now), renewer.is_replaced())
        };
        let (is_table_silent, silent_zones) = {
            let members = lock(&self.node.members);
            let is_silent = members.is_table_silent(now, TABLE_SILENCE);
            (is_silent, members.silent_zones(now))
        };
        let mut reasons = membership::readiness(&Health {
            has_usable_settings,
            has_settings: held.is_some(),
            is_leased,
            is_replaced,
            is_stopping: self.node.is_stopping.load(Ordering::Relaxed),
            is_table_silent,
            silent_zones,
        });
        reasons.extend(self.without_share());
        reasons
    }

    fn instance(&self) -> Arc<str> {
        Arc::clone(&self.node.options.name)
    }
}

/// The instance cannot do it now, and did nothing.
pub(super) fn not_now(step: &'static str, why: &dyn std::fmt::Display) -> Error {
    Error::NotNow {
        step,
        why: why.to_string(),
        retry_after_ms: 500,
    }
}

/// The instance holds no settings.
pub(super) fn no_settings() -> Error {
    not_now("read the settings", &"this instance holds none yet")
}
