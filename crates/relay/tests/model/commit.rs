//! A caller's commit and the rule by which an instance acknowledges it.

use clock::Time;
use endpoint::Position;
use relay::group::Acknowledgement;

use crate::cluster::Command;
use crate::cluster::SERVERS;
use crate::rules::Rules;
use crate::state::State;

/// What has become of a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The server has not answered.
    Sent,
    /// A replica has it, so the server answers with success.
    Confirmed,
    /// The instance has the answer and waits.
    Answered,
    /// The caller has been told that it succeeded.
    Acknowledged,
    /// The caller has been told that its outcome is unknown.
    InDoubt,
}

/// A caller's commit.
#[derive(Clone, Debug)]
pub struct Commit {
    pub instance: usize,
    pub incarnation: u64,
    pub server: usize,
    /// The runs of the servers when it was sent.
    runs: [u64; SERVERS],
    pub position: Position,
    pub sent: Time,
    /// The token of the latest replacement when it was sent; `None` if one may have been under way.
    pub token: Option<u64>,
    pub stage: Stage,
}

/// Has an instance send a commit to the server that it believes to lead.
pub fn send(state: &mut State, instance: usize) {
    let Some(server) = target(state, instance) else {
        return;
    };
    let number = state.commits.len();
    let runs = state.cluster.runs();
    let leader = &mut state.cluster.servers[server];
    let term = leader.term;
    leader.log.push((term, number));
    let sender = &state.instances[instance];
    state.commits.push(Commit {
        instance,
        incarnation: sender.incarnation,
        server,
        runs,
        position: leader.received(),
        sent: state.now,
        token: sender.lease.token(),
        stage: Stage::Sent,
    });
}

/// Returns the server at which an instance commits.
pub fn target(state: &State, instance: usize) -> Option<usize> {
    let sender = &state.instances[instance];
    let server = sender.leader().filter(|server| sender.reaches[*server])?;
    let leader = &state.cluster.servers[server];
    (leader.is_up && leader.is_primary).then_some(server)
}

/// Has the primary confirm the commits that a replica has received.
pub fn confirm(state: &mut State, replica: usize) {
    let leader = state.cluster.leader;
    if !state.cluster.servers[leader].is_primary {
        return;
    }
    let log = &state.cluster.servers[replica].log;
    for (number, commit) in state.commits.iter_mut().enumerate() {
        let is_received = log.iter().any(|(_, received)| *received == number);
        if commit.server == leader && commit.stage == Stage::Sent && is_received {
            commit.stage = Stage::Confirmed;
        }
    }
}

/// Has the primary's answer arrive. The primary may have written it any time after the replica received
/// the commit, with the end that its log had by then if `has_ends` is set.
pub fn answer(state: &mut State, number: usize, has_ends: bool) {
    let commit = &mut state.commits[number];
    commit.stage = Stage::Answered;
    let server = &state.cluster.servers[commit.server];
    let holds = server.log.iter().any(|(_, received)| *received == number);
    if has_ends && server.is_up && server.is_primary && holds {
        commit.position = server.received();
    }
}

/// Acknowledges the commits whose instances may do so now.
pub fn settle(rules: &Rules, state: &mut State) {
    for number in 0..state.commits.len() {
        let commit = &state.commits[number];
        let instance = &state.instances[commit.instance];
        if commit.stage != Stage::Answered || !instance.is_active() {
            continue;
        }
        if instance.incarnation != commit.incarnation {
            state.commits[number].stage = Stage::InDoubt;
            continue;
        }
        if let Some(stage) = outcome(rules, state, number) {
            state.commits[number].stage = stage;
        }
        if state.commits[number].stage == Stage::Acknowledged {
            let commit = state.commits[number].clone();
            let now = state.now;
            let instance = &mut state.instances[commit.instance];
            instance.on_proof(now, commit.sent, commit.server, commit.position);
            let leadership = &mut instance.leadership;
            leadership.on_acknowledged(commit.sent, commit.position);
            state.cluster.on_acknowledged(commit.runs);
        }
    }
}

fn outcome(rules: &Rules, state: &mut State, number: usize) -> Option<Stage> {
    let commit = state.commits[number].clone();
    if !rules.has_lease {
        return Some(Stage::Acknowledged);
    }
    let instance = &state.instances[commit.instance];
    let address = Some(instance.address_of(commit.server));
    match instance
        .lease
        .acknowledgement(state.now, commit.token, address, commit.position)
    {
        Acknowledgement::Safe => Some(Stage::Acknowledged),
        Acknowledgement::Doubtful => Some(Stage::InDoubt),
        Acknowledgement::Undecided => None,
        Acknowledgement::Unproven => is_replicated(state, &commit).then_some(Stage::Acknowledged),
    }
}

/// Returns whether all replicas that the instance knows hold the commit and follow its primary.
fn is_replicated(state: &mut State, commit: &Commit) -> bool {
    (0..SERVERS).all(|server| {
        let is_counted = state.instances[commit.instance].knows[server] && server != commit.server;
        if !is_counted {
            return true;
        }
        let status = state.command(commit.instance, server, Command::Status);
        status.is_some_and(|status| {
            !status.is_primary
                && status.paused == 0
                && status.term == commit.position.term
                && status.received >= commit.position
        })
    })
}
