//! The border to the process that the interface administers.

use std::sync::Arc;

use async_trait::async_trait;
use membership::Reason;
use settings::Answer;
use settings::Change;
use timeline::Event;
use timeline::Timestamp;

use crate::ChangeStatus;
use crate::Endpoint;
use crate::Error;
use crate::Granted;
use crate::Group;
use crate::Handover;
use crate::Instance;
use crate::Session;
use crate::TreeView;

/// What operators can see and do at one instance.
#[async_trait]
pub trait Control: Send + Sync {
    /// Returns the tree in force, or `Error::NotNow` before the first.
    async fn tree(&self) -> Result<TreeView, Error>;

    /// Submits a change, or only checks it.
    async fn change(&self, change: Change, dry_run: bool) -> Answer;

    /// Tells what became of a change; `None` if no such change is known.
    async fn change_status(&self, id: &str) -> Result<Option<ChangeStatus>, Error>;

    /// Makes a key for an account, by a change with this id.
    async fn grant_key(
        &self,
        account: &str,
        change: &str,
        operator: &str,
    ) -> Result<Granted, Error>;

    /// Withdraws an account's key, by a change with this id.
    async fn withdraw_key(
        &self,
        account: &str,
        key: &str,
        change: &str,
        operator: &str,
    ) -> Result<Answer, Error>;

    /// Lists the database groups.
    async fn groups(&self) -> Result<Vec<Group>, Error>;

    /// Orders that a group's primary role moves to another server.
    async fn handover(&self, group: &str, operator: &str) -> Result<Handover, Error>;

    /// Lists the known instances, this one included.
    async fn instances(&self) -> Result<Vec<Instance>, Error>;

    /// Lists the database servers.
    async fn endpoints(&self) -> Result<Vec<Endpoint>, Error>;

    /// Lists this instance's sessions.
    async fn sessions(&self) -> Result<Vec<Session>, Error>;

    /// Returns this instance's events later than `after`, oldest first.
    fn events_after(&self, after: Timestamp) -> Vec<Event>;

    /// Records an event of the interface itself.
    fn record(&self, event: Event);

    /// Returns the metrics as OpenMetrics text.
    fn metrics(&self) -> String;

    /// Lists what this instance can't do.
    fn readiness(&self) -> Vec<Reason>;

    /// Returns this instance's name.
    fn instance(&self) -> Arc<str>;
}
