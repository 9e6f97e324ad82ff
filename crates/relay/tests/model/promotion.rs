//! The steps of a replacement from the choice of a server on.

use clock::Span;
use clock::Time;
use endpoint::Position;
use relay::external::Outcome;
use relay::failover::Choice;
use relay::failover::Phase;
use relay::failover::Reason;
use relay::group::Appointment;

use crate::cluster;
use crate::cluster::Command;
use crate::cluster::Order;
use crate::cluster::SERVERS;
use crate::replacement::Fate;
use crate::replacement::Replacement;
use crate::replacement::Scene;
use crate::replacement::Step;
use crate::state::Late;

const RENEWAL_MAX_AGE: Span = Span::from_millis(2_000);
/// Attempts to demote a primary that leaves before it counts as silent.
const DEMOTION_ATTEMPTS_MAX: u8 = 2;
const PROOF_TIMEOUT: Span = Span::from_millis(2_500);
/// The 40 attempts of the product take 4 s if a server refuses and 34 s if it doesn't answer.
const RESUMPTION_TIME: Span = Span::from_secs(20);
const REQUEST_TIMEOUT: Span = Span::from_millis(1_200);

impl Replacement {
    pub fn on_decide(&mut self, scene: &mut Scene<'_>) -> Step {
        if self.reason.is_planned() && !self.survey.has_whole_log() {
            self.undemoted += 1;
            if self.undemoted >= DEMOTION_ATTEMPTS_MAX {
                // It may have failed; then only paused replicas prove what was acknowledged.
                self.reason = Reason::Silent;
                self.is_handover = false;
            }
        }
        let leader = scene.state.instances[scene.instance].leader();
        if let Some(leader) = leader.filter(|leader| Some(*leader) != self.old)
            && !scene.rules.is_unchecked()
        {
            // A pending promotion of an earlier holder may replace it.
            let claim = self.claim.as_ref().expect("the claim is held");
            if claim.is_predecessor_unfinished {
                return match self.request(scene, leader, None) {
                    true => Step::Order { server: leader },
                    false => Step::Release { is_settled: false },
                };
            }
            return Step::Record { leader };
        }
        let choice = match self.requested_earlier(scene) {
            Some(server) => Choice::Promote(cluster::name(server)),
            None => self.survey.choose(),
        };
        if let Choice::Promote(chosen) = choice
            && self.is_retired(scene)
        {
            let server = cluster::index(&chosen);
            // A pending promotion may roll the server back before this one takes effect.
            let claim = self.claim.as_ref().expect("the claim is held");
            let end = self.survey.position(&chosen);
            let end = end.filter(|_| !claim.is_predecessor_unfinished);
            if !self.request(scene, server, end) {
                return Step::Release { is_settled: false };
            }
            return Step::Order { server };
        }
        self.is_retried = true;
        self.is_handover = self.reason.is_planned();
        Step::Recover
    }

    /// Writes the server to the row where a successor must know it; returns whether it is there.
    pub fn request(&mut self, scene: &mut Scene<'_>, server: usize, end: Option<Position>) -> bool {
        let claim = self.claim.as_mut().expect("the claim is held");
        claim.lease.reign = Some(claim.lease.token);
        claim.lease.end = end;
        if !scene.rules.is_unchecked() {
            return true;
        }
        claim.lease.requested = Some(cluster::name(server));
        self.renew(scene, Phase::Working)
    }

    pub fn renew(&mut self, scene: &mut Scene<'_>, phase: Phase) -> bool {
        let claim = self.claim.as_mut().expect("the claim is held");
        if !scene.state.instances[scene.instance].reaches_table {
            return false;
        }
        claim.lease.phase = phase;
        let Some(written) = scene.state.table.write(claim.version, &claim.lease) else {
            return false;
        };
        claim.version = written;
        claim.renewed = scene.state.now;
        let lease = claim.lease.clone();
        scene.state.instances[scene.instance].on_lease(&lease);
        true
    }

    pub fn is_current(&self, scene: &Scene<'_>) -> bool {
        let claim = self.claim.as_ref().expect("the claim is held");
        scene.state.now < claim.renewed + RENEWAL_MAX_AGE
    }

    pub fn on_order(&mut self, scene: &mut Scene<'_>, server: usize) -> Step {
        let is_unchecked = scene.rules.is_unchecked();
        if is_unchecked && !self.is_current(scene) && !self.renew(scene, Phase::Working) {
            return Step::Release { is_settled: false };
        }
        let claim = self.claim.as_mut().expect("the claim is held");
        let order = Order {
            server,
            holder: (scene.instance, claim.lease.incarnation),
            token: claim.lease.token,
        };
        let outcome = match scene.fate {
            Fate::Done | Fate::Unheard => {
                Some(scene.state.cluster.order(scene.rules.fencing, order, false))
            }
            Fate::Late => {
                scene.state.late.push(Late::Order(order));
                None
            }
            Fate::Delayed => {
                let deadline = scene.state.now + REQUEST_TIMEOUT;
                let until = scene.rules.has_order_deadline.then_some(deadline);
                scene.state.late.push(Late::Delayed(order, until));
                None
            }
            Fate::Lost => None,
        };
        match outcome.filter(|_| scene.fate == Fate::Done) {
            Some(Outcome::Done) => {
                self.believe(scene, Some(server));
                let until = scene.state.now + PROOF_TIMEOUT;
                Step::Proof { server, until }
            }
            Some(Outcome::Rejected) => {
                if !self.is_unanswered {
                    claim.lease.requested = None;
                }
                Step::Release { is_settled: false }
            }
            Some(Outcome::Deferred | Outcome::Unsent) | None => {
                self.is_unanswered = true;
                Step::Order { server }
            }
        }
    }

    pub fn on_proof(&mut self, scene: &mut Scene<'_>, server: usize, until: Time) -> Step {
        if !self.proves(scene, server) && scene.state.now < until {
            return Step::Proof { server, until };
        }
        match self.reason {
            Reason::Unfinished => self.finish(scene, server),
            _ => Step::Record { leader: server },
        }
    }

    /// Ends a replacement of an earlier holder.
    pub fn finish(&mut self, scene: &mut Scene<'_>, leader: usize) -> Step {
        self.settle(scene, leader);
        Step::Resume { leader }
    }

    /// Lets the instances that hear it rely on the leader.
    fn settle(&mut self, scene: &mut Scene<'_>, leader: usize) {
        let claim = self.claim.as_mut().expect("the claim is held");
        let instance = &scene.state.instances[scene.instance];
        claim.lease.leader = Some(instance.address_of(leader));
        claim.lease.requested = None;
        if !scene.rules.follows_rows() {
            return;
        }
        let appointment = Appointment {
            is_settled: true,
            ..claim.lease.appointment()
        };
        let reaches_other = scene.state.reaches_other(scene.instance);
        for (index, instance) in scene.state.instances.iter_mut().enumerate() {
            if index == scene.instance || reaches_other {
                instance.lease.on_announced(appointment);
            }
        }
    }

    pub fn on_record(&mut self, scene: &mut Scene<'_>, leader: usize) -> Step {
        // Repeated while the row can't be written, as the announcement may have been lost.
        self.settle(scene, leader);
        if !scene.rules.follows_rows() {
            return Step::Resume { leader };
        }
        if self.renew(scene, Phase::Appointed) || !self.is_current(scene) {
            return Step::Resume { leader };
        }
        Step::Record { leader }
    }

    pub fn on_resume(&mut self, scene: &mut Scene<'_>, leader: usize) -> Step {
        let mut is_any_paused = scene.fate != Fate::Done;
        for server in 0..SERVERS {
            let is_asked = scene.state.instances[scene.instance].knows[server] && server != leader;
            let resume = Command::Resume;
            if is_asked && scene.fate == Fate::Late {
                scene.state.late.push(Late::Command(server, resume));
            } else if is_asked && scene.fate != Fate::Lost {
                let answer = scene.state.command(scene.instance, server, resume);
                is_any_paused |= answer.is_none_or(|status| status.paused > 0);
            }
        }
        if !is_any_paused {
            let recheck = &mut scene.state.instances[scene.instance].recheck;
            recheck.on_resumed();
            return Step::Release { is_settled: true };
        }
        let now = scene.state.now;
        let until = *self.resumes_until.get_or_insert(now + RESUMPTION_TIME);
        match now < until {
            true => Step::Resume { leader },
            false => {
                scene.state.instances[scene.instance].recheck.on_failed(now);
                Step::Release { is_settled: true }
            }
        }
    }

    pub fn on_release(&mut self, scene: &mut Scene<'_>, is_settled: bool) -> Step {
        let claim = self.claim.as_ref().expect("the claim is held");
        let is_unchanged = claim.lease.reign != Some(claim.lease.token);
        let phase = match (is_settled, is_unchanged) {
            (true, _) => Phase::Done,
            (false, true) => Phase::Appointed,
            (false, false) => Phase::Working,
        };
        let now = scene.state.now;
        if !is_settled {
            let recheck = &mut scene.state.instances[scene.instance].recheck;
            recheck.on_failed(now);
        }
        if !self.renew(scene, phase) {
            // The row may show the replacement as under way for ever.
            let recheck = &mut scene.state.instances[scene.instance].recheck;
            recheck.on_replacement(now);
        }
        Step::End
    }
}
