//! Commands to the servers of a group whose primary is replaced, and what their answers show.

use std::sync::Arc;

use endpoint::Position;
use endpoint::Role;
use futures::StreamExt;
use futures::future::join;
use futures::future::join_all;
use futures::stream::FuturesUnordered;
use tokio::time::sleep;

use crate::external::Status;
use crate::failover::Reason;
use crate::failover::Survey;
use crate::failover::command;
use crate::failover::replacement::Replacement;
use crate::failover::replacement::replacement::RETRY_PAUSE;
use crate::group::Server;
use crate::message::Statement;
use crate::node::lock;
use crate::settings;
use crate::task;

/// Attempts to resume replicas; a server that is back from a partition drops its old connections
/// within three seconds.
const RESUME_ATTEMPTS_MAX: u32 = 40;

impl Replacement<'_> {
    /// Has other instances demote a primary that only this one doesn't reach.
    pub(super) async fn demote_through_others(&mut self, survey: &mut Survey) {
        // A primary that leaves answers this instance, which demotes it itself.
        let Some(old) = self.old.as_ref().filter(|_| !self.reason.is_planned()) else {
            return;
        };
        if self.mediation.instances().is_empty() {
            log::info!(
                "event=primary-not-demoted-by-others group={} server={} why=\"no instance names it\"",
                self.group.name,
                old.name
            );
            return;
        }
        let term = self.next_term(survey);
        let mediation = &self.mediation;
        let demoted = mediation.request(self.node, self.group, old, term).await;
        self.is_handover |= demoted.is_some();
        survey.demoted = demoted.map(|received| (Arc::clone(&old.name), received));
        let current = self.group.server(&old.name);
        survey.is_unproven = !current.is_some_and(|server| self.group.has_led(&server));
    }

    /// Returns whether so many servers besides the old primary answer that one can be chosen.
    pub(super) async fn reaches_successors(&self) -> bool {
        let covered = self.group.covered_holders();
        let mut holders = self.group.commit_holders();
        holders.retain(|name| !covered.contains_key(name));
        let holders = holders.len();
        let departed = self.group.unconfirmed_departures().len();
        let sync_replicas = lock(&self.group.settings).sync_replicas;
        let needed = match self.mediation.instances().is_empty() {
            true => holders.saturating_sub(sync_replicas + departed).max(1),
            // The primary is demoted through others; then one replica may have its whole log.
            false => 1,
        };
        let servers = self.group.servers();
        let mut answers: FuturesUnordered<_> = servers
            .iter()
            .filter(|server| !self.is_old(server))
            .map(|server| command::run_pooled(self.node, server, &Statement::Status))
            .collect();
        let mut answered = 0;
        while let Some(status) = answers.next().await {
            answered += usize::from(status.is_some());
            if answered >= needed {
                return true;
            }
        }
        false
    }

    /// Raises the term of the next attempt's commands if one of `term` had no effect at a server that
    /// answered: it has seen a newer term than its log and status tell, as a promoted server's positions
    /// stay in the earlier term until its first commit.
    pub(super) fn raise_term(&mut self, term: u64) {
        if self.ineffective_commands == 0 {
            return;
        }
        self.ineffective_commands = 0;
        self.term_raises += 1;
        // The steps grow, so that a term far above is reached within the attempts of one replacement.
        self.term = self.term.max(term + self.term_raises - 1);
        log::info!(
            "event=failover-term-raised group={} from={term} to={}",
            self.group.name,
            self.term + 1
        );
    }

    /// Returns a term above every one that this instance knows of.
    pub(super) fn next_term(&self, survey: &Survey) -> u64 {
        self.term.max(survey.acknowledged.term) + 1
    }

    /// Stops servers that may still acknowledge commits, and collects the position of each log.
    pub(super) async fn collect(&mut self, survey: &mut Survey) {
        survey.holders = self.group.commit_holders();
        survey.covered = self.group.covered_holders();
        let servers = self.group.servers();
        survey.leaving = servers
            .iter()
            .filter(|server| server.is_draining() || self.group.is_cold(server))
            .map(|server| Arc::clone(&server.name))
            .collect();
        survey.evacuated = servers
            .iter()
            .filter(|server| server.is_evacuated())
            .map(|server| Arc::clone(&server.name))
            .collect();
        let term = self.next_term(survey);
        self.command_term = term;
        self.statuses.clear();
        // A server paused by an earlier attempt may have restarted since.
        survey.paused.clear();
        survey.receiving.clear();
        let this = &*self;
        // A silent primary is left alone, as it may recover.
        let leaves_old_alone = self.reason == Reason::Silent
            || (survey.demoted.is_some() && !self.reason.is_planned());
        let requests = servers.iter().map(|server| async move {
            let is_old = this.is_old(server);
            let statement = match (is_old, this.is_handover) {
                (true, _) if leaves_old_alone => return (server, true, None),
                (true, _) => Statement::Demote { term },
                (false, true) => Statement::Status,
                (false, false) => Statement::Pause { term },
            };
            (server, is_old, this.run_command(server, &statement).await)
        });
        let departed = self.group.unconfirmed_departures();
        let (replies, departed) = join(
            join_all(requests),
            join_all(
                departed
                    .iter()
                    .map(|(name, entry)| this.stop_departed(name, entry, term)),
            ),
        )
        .await;
        for (name, received) in departed.into_iter().flatten() {
            survey.paused.insert(name, received);
        }
        for (server, is_old, status) in replies {
            self.statuses.push(describe(server, status.as_ref()));
            let Some(status) = status else {
                continue;
            };
            let name = Arc::clone(&server.name);
            self.term = self.term.max(status.term).max(status.paused_term);
            let is_commanded = is_old || !self.is_handover;
            let is_followed = match is_old {
                true => status.role == Role::Replica,
                false => status.role == Role::Primary || status.paused_term > 0,
            };
            self.ineffective_commands += u32::from(is_commanded && !is_followed);
            if status.role == Role::Primary {
                self.on_other_primary(server, term).await;
            } else if is_old {
                survey.demoted = Some((name, status.received));
                survey.is_unproven = !self.group.has_led(server);
            } else if status.paused_term > 0 {
                survey.paused.insert(name, status.received);
            } else {
                survey.receiving.insert(name, status.received);
            }
        }
        self.raise_term(term);
    }

    /// Returns whether a server is the old primary, rather than a later run of it that may lack its log.
    pub(super) fn is_old(&self, server: &Server) -> bool {
        let old = self.old.as_ref();
        old.is_some_and(|old| old.name == server.name)
            && !self.group.has_restarted_since_led(server)
    }

    /// Handles a server other than the old primary that acts as primary.
    pub(super) async fn on_other_primary(&mut self, server: &Arc<Server>, term: u64) {
        let is_first = self.old.is_none() && !self.was_replaced;
        let is_appointed = self.appointed == Some(lock(&server.entry).address);
        if self.is_unchecked() && (is_first || is_appointed) {
            // Either the group has had no other primary, so this one only was not found, or the latest
            // one is back with its log.
            self.old = Some(Arc::clone(server));
            self.reason = Reason::Silent;
            self.believe(Some(server));
        } else if self.is_unchecked() {
            // It has been replaced and was not demoted yet.
            let status = self.run_command(server, &Statement::Demote { term }).await;
            let is_demoted = status.is_none_or(|status| status.role == Role::Replica);
            self.ineffective_commands += u32::from(!is_demoted);
        } else {
            // It leads in a term that this instance doesn't know yet.
            task::leader::probe(self.node, self.group, server).await;
        }
    }

    /// Pauses a departed server and returns its position, or finds that it has stopped.
    pub(super) async fn stop_departed(
        &self,
        name: &Arc<str>,
        entry: &settings::Server,
        term: u64,
    ) -> Option<(Arc<str>, Position)> {
        match command::run_dedicated(
            self.node,
            self.group,
            name,
            entry,
            &Statement::Pause { term },
        )
        .await
        {
            Ok(status) => {
                let status = status.filter(|status| status.paused_term > 0)?;
                Some((Arc::clone(name), status.received))
            }
            Err(error) => {
                if command::shows_server_gone(&error) {
                    self.group.on_departure_confirmed(name);
                }
                None
            }
        }
    }

    /// Resumes paused replicas.
    pub(super) async fn resume(&self, leader: &Arc<str>) {
        for _ in 0..RESUME_ATTEMPTS_MAX {
            let mut is_any_paused = false;
            let servers = self.group.servers();
            let resumed = servers
                .iter()
                .filter(|server| server.name != *leader)
                .map(|server| self.run_command(server, &Statement::Resume));
            for status in join_all(resumed).await {
                is_any_paused |= status.is_none_or(|status| status.paused_term > 0);
            }
            if !is_any_paused {
                lock(&self.group.recheck).on_resumed();
                return;
            }
            sleep(RETRY_PAUSE).await;
        }
        log::warn!("event=replicas-not-resumed group={}", self.group.name);
        // A server that was out of reach for so long may still be paused when it is back.
        lock(&self.group.recheck).on_failed(self.node.now());
    }

    /// Runs a command or status query at a server, on a pooled connection unless it is the old
    /// primary.
    pub(super) async fn run_command(
        &self,
        server: &Arc<Server>,
        statement: &Statement,
    ) -> Option<Status> {
        let is_old = self.old.as_ref().is_some_and(|old| old.name == server.name);
        if !is_old && let Some(status) = command::run_pooled(self.node, server, statement).await {
            return Some(status);
        }
        let entry = lock(&server.entry).clone();
        command::run_dedicated(self.node, self.group, &server.name, &entry, statement)
            .await
            .ok()
            .flatten()
    }
}

/// Describes a server's answer in a survey, for the log.
fn describe(server: &Server, status: Option<&Status>) -> String {
    let born = server.born();
    let Some(status) = status else {
        return format!("{}:born={born},silent", server.name);
    };
    format!(
        "{}:born={born},role={},term={},paused={},received={}",
        server.name, status.role, status.term, status.paused_term, status.received
    )
}
