//! The steps of a replacement, in the order of `failover::replacement`.

use std::collections::BTreeSet;
use std::sync::Arc;

use clock::Time;
use endpoint::Position;
use relay::failover::Lease;
use relay::failover::Mediation;
use relay::failover::Opinion;
use relay::failover::Phase;
use relay::failover::Reason;
use relay::failover::Revocation;
use relay::failover::Survey;
use relay::group::COMMIT_LEASE;
use relay::group::LEADER_LEASE;
use relay::peers::View;

use crate::cluster;
use crate::cluster::SERVERS;
use crate::instance;
use crate::rules::Limits;
use crate::rules::Rules;
use crate::state::Late;
use crate::state::State;

/// What becomes of the calls of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// They are carried out and answered, as far as the links allow.
    Done,
    /// They are lost.
    Lost,
    /// They are carried out, but the answers are lost.
    Unheard,
    /// They are given up and carried out later.
    Late,
    /// They are given up and arrive later.
    Delayed,
}

/// The next step of a replacement.
#[derive(Clone, Debug)]
pub enum Step {
    Views,
    Read,
    Write { expected: u64, lease: Lease },
    List,
    Recover,
    Mediate,
    Revoke,
    Survey { next: usize },
    Decide,
    Order { server: usize },
    Proof { server: usize, until: Time },
    Record { leader: usize },
    Resume { leader: usize },
    Release { is_settled: bool },
    End,
}

/// The failover lease that an instance holds.
#[derive(Clone, Debug)]
pub struct Claim {
    pub lease: Lease,
    pub version: u64,
    pub renewed: Time,
    pub is_predecessor_unfinished: bool,
}

/// One attempt of an instance to replace the primary.
#[derive(Clone, Debug)]
pub struct Replacement {
    pub step: Step,
    pub reason: Reason,
    pub old: Option<usize>,
    pub term: u64,
    pub mediation: Mediation,
    pub claim: Option<Claim>,
    pub revocation: Option<Revocation>,
    pub survey: Survey,
    pub acknowledged: Position,
    pub known_token: u64,
    pub is_handover: bool,
    /// Planned attempts in which the old primary was not demoted.
    pub undemoted: u8,
    pub is_retried: bool,
    pub is_unanswered: bool,
    pub was_replaced: bool,
    /// Until when replicas are resumed; `None` before the first attempt.
    pub resumes_until: Option<Time>,
}

/// The surroundings of a step.
pub struct Scene<'a> {
    pub rules: &'a Rules,
    pub limits: &'a Limits,
    pub state: &'a mut State,
    pub instance: usize,
    pub fate: Fate,
}

impl Replacement {
    /// Opens a replacement of the primary that an instance knows.
    pub fn open(state: &State, instance: usize, reason: Reason) -> Self {
        let opener = &state.instances[instance];
        Self {
            step: match reason {
                Reason::Unfinished => Step::Read,
                _ => Step::Views,
            },
            reason,
            old: opener.leader(),
            term: opener.leadership.term(),
            mediation: Mediation::default(),
            claim: None,
            revocation: None,
            survey: Survey {
                sync_replicas: 1,
                ..Survey::default()
            },
            acknowledged: opener.leadership.acknowledged(),
            known_token: opener.token(),
            is_handover: reason.is_planned(),
            undemoted: 0,
            is_retried: false,
            is_unanswered: false,
            was_replaced: false,
            resumes_until: None,
        }
    }

    /// Returns what may become of the calls of the next step.
    pub fn fates(&self) -> &'static [Fate] {
        match self.step {
            Step::Views | Step::Read | Step::List => &[Fate::Done, Fate::Lost],
            Step::Revoke => &[Fate::Done, Fate::Lost, Fate::Unheard],
            Step::Mediate | Step::Survey { .. } | Step::Resume { .. } => {
                &[Fate::Done, Fate::Lost, Fate::Unheard, Fate::Late]
            }
            Step::Write { .. } => &[Fate::Done, Fate::Lost, Fate::Late],
            Step::Order { .. } => &[
                Fate::Done,
                Fate::Lost,
                Fate::Unheard,
                Fate::Late,
                Fate::Delayed,
            ],
            Step::Recover
            | Step::Decide
            | Step::Proof { .. }
            | Step::Record { .. }
            | Step::Release { .. }
            | Step::End => &[Fate::Done],
        }
    }

    /// Returns whether the calls of the next step are commands to servers.
    pub fn sends_commands(&self) -> bool {
        matches!(
            self.step,
            Step::Mediate | Step::Survey { .. } | Step::Resume { .. }
        )
    }
}

/// Runs the next step of an instance's replacement.
pub fn step(rules: &Rules, limits: &Limits, state: &mut State, instance: usize, fate: Fate) {
    let Some(mut replacement) = state.instances[instance].replacement.take() else {
        return;
    };
    let mut scene = Scene {
        rules,
        limits,
        state,
        instance,
        fate,
    };
    replacement.step = replacement.run(&mut scene);
    scene.fate = Fate::Done;
    while replacement.is_followed_at_once(&scene) {
        replacement.step = replacement.run(&mut scene);
    }
    if matches!(replacement.step, Step::End) {
        let now = state.now;
        let instance = &mut state.instances[instance];
        instance.lease.set_candidate(None);
        if replacement.reason == Reason::Unfinished {
            return;
        }
        instance.on_attempt_ended(now);
        return;
    }
    state.instances[instance].replacement = Some(replacement);
}

impl Replacement {
    fn run(&mut self, scene: &mut Scene<'_>) -> Step {
        match self.step.clone() {
            Step::Views => self.on_views(scene),
            Step::Read => self.on_read(scene),
            Step::Write { expected, lease } => self.on_write(scene, expected, lease),
            Step::List => self.on_list(scene),
            Step::Recover => self.on_recover(scene),
            Step::Mediate => self.on_mediate(scene),
            Step::Revoke => self.on_revoke(scene),
            Step::Survey { next } => self.on_survey(scene, next),
            Step::Decide => self.on_decide(scene),
            Step::Order { server } => self.on_order(scene, server),
            Step::Proof { server, until } => self.on_proof(scene, server, until),
            Step::Record { leader } => self.on_record(scene, leader),
            Step::Resume { leader } => self.on_resume(scene, leader),
            Step::Release { is_settled } => self.on_release(scene, is_settled),
            Step::End => Step::End,
        }
    }

    /// Returns whether the next step happens together with the one before it, as nothing that happens
    /// in between makes a difference to it.
    fn is_followed_at_once(&self, scene: &Scene<'_>) -> bool {
        match self.step {
            Step::Recover => !self.is_retried,
            Step::Release { .. } => true,
            Step::Read | Step::Write { .. } => !scene.limits.is_fine,
            Step::Revoke => self.revocation.is_none() && !scene.limits.is_fine,
            Step::Decide => scene.rules.is_survey_last && !scene.limits.is_fine,
            _ => false,
        }
    }

    fn on_views(&mut self, scene: &mut Scene<'_>) -> Step {
        let other = 1 - scene.instance;
        let mut views: Vec<(_, View)> = Vec::new();
        if scene.fate == Fate::Done && scene.state.reaches_other(scene.instance) {
            let now = scene.state.now;
            let view = scene.state.instances[other].view(now);
            views.push((instance::address(other), view));
        }
        let old = self.old.map(cluster::name);
        if scene.rules.has_mediation {
            self.mediation = Mediation::open(&views, old.as_ref());
        }
        let views: Vec<View> = views.into_iter().map(|(_, view)| view).collect();
        let opinion = Opinion::of(&views, old.as_ref());
        if opinion.contradicts(self.reason) {
            if let Some(old) = old.filter(|_| opinion.newer > 0) {
                let leadership = &mut scene.state.instances[scene.instance].leadership;
                leadership.on_not_leader(&old);
            }
            return Step::End;
        }
        if !self.reason.is_planned() && !self.reaches_successors(scene) {
            return Step::End;
        }
        self.acknowledged = self.acknowledged.max(opinion.acknowledged);
        self.known_token = self.known_token.max(opinion.token);
        Step::Read
    }

    fn on_read(&mut self, scene: &mut Scene<'_>) -> Step {
        let (now, index) = (scene.state.now, scene.instance);
        if !scene.state.instances[index].reaches_table || scene.fate == Fate::Lost {
            return self.on_not_acquired(scene);
        }
        let row = scene.state.table.row();
        let mut before = row.as_ref().and_then(Lease::parse);
        let shown = before
            .clone()
            .map(|lease| scene.state.instances[index].settled(lease));
        let mut phase = shown.map_or(Phase::Done, |lease| lease.phase);
        let mut is_barred = false;
        if self.reason == Reason::Unfinished {
            if phase == Phase::Done {
                if !scene.state.instances[index].recheck.may_have_paused() {
                    return Step::End;
                }
                // The leader stays.
                phase = Phase::Appointed;
            }
            is_barred = phase == Phase::Working && scene.rules.is_unchecked();
        }
        let may = scene.state.instances[index].may_acquire(now, index, row.as_ref());
        if is_barred || !may {
            return self.on_not_acquired(scene);
        }
        let newest = scene.state.instances[index].newest.clone();
        let token = |lease: &Option<Lease>| lease.as_ref().map(|lease| lease.token);
        if token(&newest) > token(&before) {
            before = newest;
        }
        let before = before.map(|lease| scene.state.instances[index].settled(lease));
        let known = self.known_token.max(token(&before).unwrap_or_default());
        let token = match scene.rules.has_eras {
            true => Lease::next_token(scene.state.table.era, row.as_ref(), known),
            false => known + 1,
        };
        let is_unfinished = before
            .as_ref()
            .is_some_and(|lease| lease.phase == Phase::Working);
        let has_request = before
            .as_ref()
            .is_some_and(|before| before.requested.is_some());
        let may_have_requested = is_unfinished && (!scene.rules.is_unchecked() || has_request);
        let reign = match (&before, may_have_requested) {
            (_, true) => Some(token),
            (Some(before), false) => before.reign.or(Some(before.token)),
            (None, false) => Some(0),
        };
        let acquirer = &scene.state.instances[index];
        let lease = Lease {
            holder: instance::name(index),
            incarnation: acquirer.incarnation,
            address: Some(instance::address(index)),
            token,
            phase: match self.reason {
                Reason::Unfinished => phase,
                _ => Phase::Working,
            },
            commit_holders: acquirer.commit_holders(),
            evidence: None,
            leader: before.as_ref().and_then(|before| before.leader),
            reign,
            end: before
                .as_ref()
                .filter(|_| !may_have_requested)
                .and_then(|before| before.end),
            requested: before
                .filter(|_| is_unfinished)
                .and_then(|before| before.requested),
            unanswered: None,
        };
        self.claim = Some(Claim {
            lease: lease.clone(),
            version: 0,
            renewed: now,
            is_predecessor_unfinished: is_unfinished,
        });
        let expected = row.map_or(0, |row| row.version);
        Step::Write { expected, lease }
    }

    /// Ends an attempt that has not acquired the lease.
    fn on_not_acquired(&self, scene: &mut Scene<'_>) -> Step {
        if self.reason == Reason::Unfinished {
            let now = scene.state.now;
            let recheck = &mut scene.state.instances[scene.instance].recheck;
            recheck.on_replacement(now);
        }
        Step::End
    }

    fn on_write(&mut self, scene: &mut Scene<'_>, expected: u64, lease: Lease) -> Step {
        let (now, index) = (scene.state.now, scene.instance);
        if scene.fate == Fate::Late {
            scene.state.late.push(Late::Write(expected, lease));
            return self.on_not_acquired(scene);
        }
        if scene.fate == Fate::Lost || !scene.state.instances[index].reaches_table {
            return self.on_not_acquired(scene);
        }
        let Some(written) = scene.state.table.write(expected, &lease) else {
            return self.on_not_acquired(scene);
        };
        if scene.rules.has_eras && !lease.is_of_era(written) {
            return self.on_not_acquired(scene);
        }
        scene.state.instances[index].on_lease(&lease);
        let claim = self
            .claim
            .as_mut()
            .expect("a claim is written once it is made");
        claim.version = written;
        claim.renewed = now;
        if self.reason == Reason::Unfinished {
            return Step::Recover;
        }
        if !scene.rules.follows_rows() {
            return Step::Recover;
        }
        if scene.rules.is_unchecked() && !self.take_appointed(scene) {
            let is_settled = lease.leader.is_some();
            return Step::Release { is_settled };
        }
        scene.state.instances[index].revoke(lease.token);
        Step::List
    }

    fn take_appointed(&mut self, scene: &mut Scene<'_>) -> bool {
        let lease = &self.claim.as_ref().expect("the claim is held").lease;
        self.was_replaced = lease.leader.is_some() || lease.requested.is_some();
        if let Some(address) = lease.leader {
            let instance = &scene.state.instances[scene.instance];
            let appointed = (0..SERVERS)
                .find(|server| instance.knows[*server] && instance.address_of(*server) == address);
            if self.old.is_some() && appointed.is_some() && self.old != appointed {
                return false;
            }
            self.old = appointed;
            if self.old.is_some() && self.reason == Reason::Missing {
                self.reason = Reason::Silent;
            }
        }
        self.believe(scene, self.old);
        true
    }

    pub fn believe(&self, scene: &mut Scene<'_>, server: Option<usize>) {
        if scene.rules.follows_rows() {
            let instance = &mut scene.state.instances[scene.instance];
            let address = server.map(|server| instance.address_of(server));
            instance.lease.set_candidate(address);
        }
    }

    fn on_list(&mut self, scene: &mut Scene<'_>) -> Step {
        let other = 1 - scene.instance;
        let is_read =
            scene.fate == Fate::Done && scene.state.instances[scene.instance].reaches_table;
        let is_registered = scene.state.table.content.registered[other];
        let others = is_registered.then(|| instance::name(other));
        let names: Option<BTreeSet<Arc<str>>> = is_read.then(|| others.into_iter().collect());
        let lease = match scene.rules.is_unchecked() {
            true => LEADER_LEASE,
            false => COMMIT_LEASE,
        };
        self.revocation = Some(Revocation::open(scene.state.now, lease, names));
        Step::Recover
    }
}
