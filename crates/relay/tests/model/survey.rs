//! The steps of a replacement up to the survey of the logs.

use std::sync::Arc;

use clock::Span;
use relay::failover::Phase;
use relay::failover::Reason;

use crate::cluster;
use crate::cluster::Command;
use crate::cluster::SERVERS;
use crate::cluster::Status;
use crate::instance;
use crate::replacement::Fate;
use crate::replacement::Replacement;
use crate::replacement::Scene;
use crate::replacement::Step;
use crate::state::Late;

const LEASE_RENEWAL_PERIOD: Span = Span::from_millis(1_000);

impl Replacement {
    /// Goes on with the old primary if it leads again; else continues the attempt.
    pub fn on_recover(&mut self, scene: &mut Scene<'_>) -> Step {
        let now = scene.state.now;
        let claim = self.claim.as_ref().expect("the claim is held");
        if now >= claim.renewed + LEASE_RENEWAL_PERIOD && !self.renew(scene, Phase::Working) {
            return Step::Release { is_settled: false };
        }
        let is_finishing = self.reason == Reason::Unfinished;
        if is_finishing || self.reason == Reason::Silent {
            let requested = self.requested_earlier(scene);
            let is_other = requested.is_some_and(|requested| Some(requested) != self.old);
            let old = self.old.filter(|_| !is_other);
            if let Some(old) = old.filter(|old| self.proves(scene, *old)) {
                let claim = self.claim.as_ref().expect("the claim is held");
                let is_pending = match scene.rules.is_unchecked() {
                    true => claim.lease.requested.is_some(),
                    false => claim.is_predecessor_unfinished,
                };
                if is_pending && !self.request(scene, old, None) {
                    return Step::Release { is_settled: false };
                }
                return match (is_pending, is_finishing) {
                    (true, _) => Step::Order { server: old },
                    (false, true) => self.finish(scene, old),
                    (false, false) => Step::Record { leader: old },
                };
            }
        }
        if is_finishing {
            return Step::Release { is_settled: false };
        }
        if self.reason.is_planned() {
            return self.begin_survey();
        }
        if self.is_retried || self.mediation.instances().is_empty() {
            return Step::Revoke;
        }
        Step::Mediate
    }

    /// Returns whether so many servers besides the old primary answer that one can be chosen.
    pub fn reaches_successors(&self, scene: &mut Scene<'_>) -> bool {
        let prober = &scene.state.instances[scene.instance];
        let (knows, holders) = (prober.knows, prober.commit_holders().len());
        let needed = match self.mediation.instances().is_empty() {
            true => holders.saturating_sub(self.survey.sync_replicas).max(1),
            // The primary is demoted through the other; then one replica may have its whole log.
            false => 1,
        };
        let answered = (0..SERVERS).filter(|server| {
            knows[*server]
                && Some(*server) != self.old
                && scene
                    .state
                    .command(scene.instance, *server, Command::Status)
                    .is_some()
        });
        answered.count() >= needed
    }

    pub fn proves(&self, scene: &mut Scene<'_>, server: usize) -> bool {
        let now = scene.state.now;
        let answer = scene.state.command(scene.instance, server, Command::Status);
        let Some(status) = answer.filter(|status| status.is_primary) else {
            return false;
        };
        let prober = &mut scene.state.instances[scene.instance];
        prober.on_proof(now, now, server, status.received);
        prober.leadership.proven_at() >= now && prober.leader() == Some(server)
    }

    pub fn on_mediate(&mut self, scene: &mut Scene<'_>) -> Step {
        let other = 1 - scene.instance;
        let Some(old) = self.old else {
            return Step::Revoke;
        };
        let knows = scene.state.instances[scene.instance].knows;
        let reaches_replica = (0..SERVERS).any(|server| {
            let is_asked = server != old && knows[server];
            let status =
                is_asked.then(|| scene.state.command(scene.instance, server, Command::Status));
            status.flatten().is_some()
        });
        let is_sent = scene.fate != Fate::Lost && scene.state.reaches_other(scene.instance);
        if !reaches_replica || !is_sent {
            return Step::Revoke;
        }
        let demote = Command::Demote(self.next_term());
        if scene.fate == Fate::Late {
            scene.state.late.push(Late::Command(old, demote));
            return Step::Revoke;
        }
        let answer = scene.state.command(other, old, demote);
        if let Some(status) = answer.filter(|status| !status.is_primary) {
            let leadership = &mut scene.state.instances[other].leadership;
            leadership.on_not_leader(&cluster::name(old));
            if scene.fate == Fate::Done {
                self.survey.demoted = Some((cluster::name(old), status.received));
                self.survey.is_unproven =
                    scene.rules.has_runs && scene.state.cluster.is_other_run(old);
                self.is_handover = true;
            }
        }
        Step::Revoke
    }

    pub fn next_term(&self) -> u64 {
        self.term.max(self.acknowledged.term) + 1
    }

    pub fn on_revoke(&mut self, scene: &mut Scene<'_>) -> Step {
        let other = 1 - scene.instance;
        let token = self.claim.as_ref().map_or(0, |claim| claim.lease.token);
        let is_heard = scene.fate != Fate::Lost && scene.state.reaches_other(scene.instance);
        let name = instance::name(other);
        if let Some(revocation) = &mut self.revocation
            && revocation.awaited().contains(&name)
            && is_heard
        {
            scene.state.instances[other].revoke(token);
            if scene.fate == Fate::Done {
                revocation.on_given_up(&name);
                let leadership = &scene.state.instances[other].leadership;
                self.acknowledged = self.acknowledged.max(leadership.acknowledged());
            }
        }
        if self.reason.is_planned() {
            return Step::Decide;
        }
        if scene.rules.is_survey_last && !self.is_retired(scene) {
            self.is_retried = true;
            return Step::Recover;
        }
        self.begin_survey()
    }

    /// Forgets the answers of an earlier attempt, as a paused server may have restarted since.
    fn begin_survey(&mut self) -> Step {
        self.survey.paused.clear();
        self.survey.receiving.clear();
        Step::Survey { next: 0 }
    }

    /// Returns whether the other instance relies on the old primary no more.
    pub fn is_retired(&self, scene: &Scene<'_>) -> bool {
        let revocation = self.revocation.as_ref();
        revocation.is_none_or(|revocation| revocation.has_ended(scene.state.now))
    }

    pub fn on_survey(&mut self, scene: &mut Scene<'_>, next: usize) -> Step {
        let surveyor = &scene.state.instances[scene.instance];
        let knows = surveyor.knows;
        if scene.rules.has_bound {
            self.survey.acknowledged = self.acknowledged;
        }
        self.survey.holders = surveyor.commit_holders();
        let cluster = &scene.state.cluster;
        let servers = &cluster.servers;
        if scene.rules.has_runs {
            let other_runs = (0..SERVERS).filter(|server| cluster.is_other_run(*server));
            let former_runs =
                other_runs.map(|server| Arc::from(format!("{}@", cluster::name(server))));
            self.survey.holders.extend(former_runs);
            self.survey.is_complete =
                (0..SERVERS).all(|server| knows[server] || !servers[server].has_joined);
        }
        self.survey.leaving = (0..SERVERS)
            .filter(|server| knows[*server] && servers[*server].is_draining)
            .map(cluster::name)
            .collect();
        let term = self.next_term();
        for (server, is_known) in knows.into_iter().enumerate().skip(next) {
            if is_known {
                self.survey_server(scene, server, term);
                if scene.limits.is_fine && server + 1 < SERVERS {
                    return Step::Survey { next: server + 1 };
                }
            }
        }
        match self.reason.is_planned() {
            // The other instance acknowledges what the primary committed before it was demoted.
            true => Step::Revoke,
            false => Step::Decide,
        }
    }

    pub fn survey_server(&mut self, scene: &mut Scene<'_>, server: usize, term: u64) {
        let leaves_old_alone = self.reason == Reason::Silent
            || (self.survey.demoted.is_some() && !self.reason.is_planned());
        let has_restarted = scene.rules.has_runs && scene.state.cluster.is_other_run(server);
        let is_old = self.old == Some(server) && !(leaves_old_alone && has_restarted);
        let command = match (is_old, self.is_handover) {
            (true, _) if leaves_old_alone => return,
            (true, _) => Command::Demote(term),
            (false, true) => Command::Status,
            (false, false) => Command::Pause(term),
        };
        if scene.fate == Fate::Late && command != Command::Status {
            scene.state.late.push(Late::Command(server, command));
        }
        if matches!(scene.fate, Fate::Lost | Fate::Late) {
            return;
        }
        let answer = scene.state.command(scene.instance, server, command);
        let Some(status) = answer.filter(|_| scene.fate == Fate::Done) else {
            return;
        };
        let name = cluster::name(server);
        self.term = self.term.max(status.term).max(status.paused);
        if status.is_primary {
            self.on_other_primary(scene, server, term, status);
        } else if is_old {
            self.survey.demoted = Some((name, status.received));
            self.survey.is_unproven =
                scene.rules.has_runs && scene.state.cluster.is_other_run(server);
        } else if status.paused > 0 {
            self.survey.paused.insert(name, status.received);
        } else {
            self.survey.receiving.insert(name, status.received);
        }
    }

    pub fn on_other_primary(
        &mut self,
        scene: &mut Scene<'_>,
        server: usize,
        term: u64,
        status: Status,
    ) {
        let is_unchecked = scene.rules.is_unchecked();
        if is_unchecked && self.old.is_none() && !self.was_replaced {
            self.old = Some(server);
            self.reason = Reason::Silent;
            self.believe(scene, self.old);
        } else if is_unchecked {
            scene
                .state
                .command(scene.instance, server, Command::Demote(term));
        } else {
            self.believe(scene, Some(server));
            let now = scene.state.now;
            scene.state.instances[scene.instance].on_proof(now, now, server, status.received);
        }
    }

    pub fn requested_earlier(&self, scene: &Scene<'_>) -> Option<usize> {
        let requested = self.claim.as_ref()?.lease.requested.as_ref()?;
        let server = cluster::index(requested);
        let is_known = scene.state.instances[scene.instance].knows[server];
        (scene.rules.is_unchecked() && is_known).then_some(server)
    }
}
