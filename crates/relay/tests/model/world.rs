//! The events that may happen to two instances and a group, and the invariants.

use clock::Span;
use relay::failover::Reason;

use crate::cluster::SERVERS;
use crate::commit;
use crate::commit::Stage;
use crate::instance::Instance;
use crate::replacement;
use crate::replacement::Fate;
use crate::replacement::Replacement;
use crate::rules::Limits;
use crate::rules::Rules;
use crate::search::Model;
use crate::state::Late;
use crate::state::State;

/// A third of a leader lease and its margin.
pub const SHORT: Span = Span::from_millis(850);
/// Longer than a row stands still before its holder is presumed dead.
const LONG: Span = Span::from_millis(3_600);
/// Rounds after which everything must have ended once there are no faults.
const CALM_ROUNDS: usize = 60;

/// What may happen. Instances and servers are given by index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// 850 ms pass; instances read the table and probe the servers that they reach.
    Pass,
    /// 3.6 s pass.
    PassLong,
    /// An instance no longer reaches a server.
    Cut(usize, usize),
    Heal(usize, usize),
    CutPeers,
    HealPeers,
    /// An instance no longer reaches the table.
    CutTable(usize),
    HealTable(usize),
    /// A server ends without notice.
    Crash(usize),
    Start(usize),
    /// A replica restarts and forgets its pause.
    Restart(usize),
    /// A crashed server is back under another id.
    Move(usize),
    /// A server ends for good.
    Vanish(usize),
    /// A server starts again without its log.
    Wipe(usize),
    /// The last server joins.
    Join,
    /// An instance learns of the server that joined.
    Learn(usize),
    /// The primary announces that it leaves.
    Drain,
    Freeze(usize),
    Thaw(usize),
    Kill(usize),
    Run(usize),
    /// The table returns from a copy.
    Return(usize),
    /// A row is read and its arrival delayed.
    Read(usize),
    Arrive(usize),
    /// A late call is carried out.
    Carry(usize),
    /// An instance sends a commit.
    Send(usize),
    /// A replica receives the primary's log.
    Receive(usize),
    /// The primary's answer to a commit arrives.
    Answer(usize),
    /// The primary's answer to a commit is lost.
    Lose(usize),
    /// An instance begins a replacement.
    Begin(usize),
    /// An instance goes on with its replacement.
    Step(usize, Fate),
    /// An accepted order takes effect.
    Promote(usize),
}

/// The model.
#[derive(Clone, Copy, Debug)]
pub struct World {
    pub rules: Rules,
    pub limits: Limits,
}

impl Model for World {
    type State = State;
    type Event = Event;

    fn start(&self) -> State {
        State::open(&self.rules)
    }

    fn events(&self, state: &State) -> Vec<Event> {
        let mut events = Vec::new();
        for instance in 0..2 {
            self.instance_events(state, instance, &mut events);
        }
        for number in 0..state.commits.len() {
            let commit = &state.commits[number];
            let instance = &state.instances[commit.instance];
            let is_awaited = instance.is_active() && instance.incarnation == commit.incarnation;
            if commit.stage == Stage::Confirmed && is_awaited {
                events.push(Event::Answer(number));
            }
        }
        for server in 0..SERVERS {
            if state.cluster.can_receive(server) {
                events.push(Event::Receive(server));
            }
        }
        events.extend((0..state.cluster.orders.len()).map(Event::Promote));
        let may_arrive = |call: &Late| match call {
            Late::Delayed(_, until) => until.is_none_or(|until| state.now < until),
            _ => true,
        };
        let calls = (0..state.late.len()).filter(|call| may_arrive(&state.late[*call]));
        events.extend(calls.map(Event::Carry));
        if state.ticks < self.limits.ticks {
            events.push(Event::Pass);
            if self.limits.has_long_pauses {
                events.push(Event::PassLong);
            }
        }
        if state.changes < self.limits.changes {
            let leader = &state.cluster.servers[state.cluster.leader];
            if !state.cluster.servers[SERVERS - 1].has_joined {
                events.push(Event::Join);
            }
            if leader.is_up && !leader.is_draining {
                events.push(Event::Drain);
            }
        }
        for server in 0..SERVERS {
            let server_state = &state.cluster.servers[server];
            if server_state.has_joined && !server_state.is_up && !server_state.is_gone {
                events.push(Event::Start(server));
                if self.limits.has_moves && !state.cluster.servers[SERVERS - 1].has_joined {
                    events.push(Event::Move(server));
                }
            }
        }
        if state.are_peers_cut && self.limits.is_fine {
            events.push(Event::HealPeers);
        }
        if state.faults < self.limits.faults {
            self.faults(state, &mut events);
        }
        events
    }

    fn apply(&self, state: &State, event: &Event) -> State {
        let mut after = state.clone();
        self.change(&mut after, *event);
        commit::settle(&self.rules, &mut after);
        after
    }

    fn broken(&self, state: &State) -> Option<String> {
        if let Some(why) = state.cluster.broken {
            return Some(why.to_owned());
        }
        let log = state.cluster.leader_log();
        let lost = state.commits.iter().enumerate().find(|(number, commit)| {
            commit.stage == Stage::Acknowledged
                && !log.iter().any(|(_, received)| received == number)
        });
        lost.map(|(number, _)| format!("LOST: commit {number} was acknowledged"))
    }

    fn weight(&self, event: &Event) -> usize {
        // Where every link and call may fail, the faults would be used up before a replacement orders.
        let scale = if self.limits.is_fine { 5 } else { 1 };
        match event {
            Event::Step(_, Fate::Done) => 12 * scale,
            Event::Begin(_) => 6 * scale,
            Event::Send(_) | Event::Receive(_) | Event::Answer(_) | Event::Promote(_) => 4 * scale,
            Event::Pass | Event::Join => 3 * scale,
            Event::Step(..) => scale,
            event if is_fault(*event) => 1,
            _ => scale,
        }
    }

    fn unfinished(&self, state: &State) -> Option<String> {
        let mut state = state.clone();
        self.calm(&mut state);
        for _ in 0..CALM_ROUNDS {
            self.calm_round(&mut state);
            if let Some(why) = self.broken(&state) {
                return Some(format!("{why}, once all was calm"));
            }
        }
        let leader = &state.cluster.servers[state.cluster.leader];
        if !leader.is_primary || !leader.is_up {
            return Some("the group has no primary".to_owned());
        }
        if state
            .instances
            .iter()
            .any(|instance| instance.leader() != Some(state.cluster.leader))
        {
            return Some("an instance does not know the primary".to_owned());
        }
        let paused = (0..SERVERS).find(|server| state.cluster.servers[*server].paused > 0);
        paused.map(|server| format!("server {server} stays paused"))
    }
}

impl World {
    fn instance_events(&self, state: &State, index: usize, events: &mut Vec<Event>) {
        let instance = &state.instances[index];
        if !instance.is_up {
            events.push(Event::Run(index));
            return;
        }
        if instance.is_frozen {
            events.push(Event::Thaw(index));
            return;
        }
        if state.cluster.servers[SERVERS - 1].has_joined
            && instance.reaches_table
            && !instance.knows[SERVERS - 1]
        {
            events.push(Event::Learn(index));
        }
        if instance.unread.is_some() {
            events.push(Event::Arrive(index));
        }
        if state.commits.len() < self.limits.commits && commit::target(state, index).is_some() {
            events.push(Event::Send(index));
        }
        if let Some(replacement) = &instance.replacement {
            let fates = replacement.fates().iter();
            let is_free = state.faults < self.limits.faults;
            let is_command = replacement.sends_commands();
            let may_happen = |fate: Fate| match fate {
                Fate::Done => true,
                Fate::Lost => is_free,
                Fate::Unheard => is_free && self.limits.is_fine,
                Fate::Late if is_command => is_free && self.limits.has_late_commands,
                Fate::Late => is_free && self.limits.has_late_calls,
                Fate::Delayed => is_free && self.limits.has_delayed_orders,
            };
            let fates = fates.filter(|fate| may_happen(**fate));
            events.extend(fates.map(|fate| Event::Step(index, *fate)));
        } else if reason(state, &mut instance.clone()).is_some() {
            events.push(Event::Begin(index));
        }
        for server in 0..SERVERS {
            if !instance.reaches[server] && self.limits.is_fine {
                events.push(Event::Heal(index, server));
            }
        }
        if !instance.reaches_table && self.limits.is_fine {
            events.push(Event::HealTable(index));
        }
    }

    fn faults(&self, state: &State, events: &mut Vec<Event>) {
        if !state.are_peers_cut && self.limits.is_fine {
            events.push(Event::CutPeers);
        }
        for index in 0..2 {
            let instance = &state.instances[index];
            if !instance.is_active() {
                continue;
            }
            if instance.reaches_table && instance.follows_rows {
                events.push(Event::CutTable(index));
            }
            if self.limits.is_fine
                && instance.follows_rows
                && instance.unread.is_none()
                && instance.reaches_table
            {
                events.push(Event::Read(index));
            }
            for server in 0..SERVERS {
                let is_explored = index == 0 && server == state.cluster.leader;
                let is_explored = is_explored || self.limits.is_fine;
                if is_explored && instance.reaches[server] && instance.knows[server] {
                    events.push(Event::Cut(index, server));
                }
            }
            if self.limits.has_instance_faults {
                events.extend([Event::Freeze(index), Event::Kill(index)]);
            }
        }
        for server in 0..SERVERS {
            if state.cluster.servers[server].is_up {
                let is_leader = server == state.cluster.leader;
                if is_leader || self.limits.is_fine {
                    events.push(Event::Crash(server));
                }
                if !is_leader {
                    events.push(Event::Restart(server));
                }
            }
        }
        if state.losses < self.limits.losses {
            for server in 0..SERVERS {
                let server_state = &state.cluster.servers[server];
                if server_state.has_joined {
                    events.extend([Event::Vanish(server), Event::Wipe(server)]);
                }
            }
        }
        if self.limits.has_returns {
            events.extend((0..state.table.copies.len()).map(Event::Return));
        }
        for (number, commit) in state.commits.iter().enumerate() {
            if commit.stage == Stage::Confirmed {
                events.push(Event::Lose(number));
            }
        }
    }

    pub fn change(&self, state: &mut State, event: Event) {
        let fencing = self.rules.fencing;
        state.faults += u8::from(is_fault(event));
        match event {
            Event::Pass => self.pass(state, SHORT),
            Event::PassLong => self.pass(state, LONG),
            Event::Cut(instance, server) => state.instances[instance].reaches[server] = false,
            Event::Heal(instance, server) => state.instances[instance].reaches[server] = true,
            Event::CutPeers => state.are_peers_cut = true,
            Event::HealPeers => state.are_peers_cut = false,
            Event::CutTable(instance) => state.instances[instance].reaches_table = false,
            Event::HealTable(instance) => {
                state.instances[instance].reaches_table = true;
                state.learn(instance);
            }
            Event::Crash(server) => state.cluster.servers[server].is_up = false,
            Event::Start(server) | Event::Restart(server) => {
                let is_forgotten = self.limits.is_demotion_forgotten;
                state.cluster.restart(server, is_forgotten);
            }
            Event::Vanish(server) => {
                state.losses += 1;
                let server = &mut state.cluster.servers[server];
                server.is_up = false;
                server.is_gone = true;
            }
            Event::Wipe(server) => {
                state.losses += 1;
                state.cluster.wipe(server);
            }
            Event::Move(server) => {
                let is_forgotten = self.limits.is_demotion_forgotten;
                state.cluster.move_to_joiner(server, is_forgotten);
            }
            Event::Join => {
                state.changes += 1;
                let server = &mut state.cluster.servers[SERVERS - 1];
                server.has_joined = true;
                server.is_up = true;
                state.cluster.follow(SERVERS - 1);
            }
            Event::Learn(instance) => state.learn(instance),
            Event::Drain => {
                state.changes += 1;
                let leader = state.cluster.leader;
                state.cluster.servers[leader].is_draining = true;
            }
            Event::Freeze(instance) => state.instances[instance].is_frozen = true,
            Event::Thaw(instance) => state.instances[instance].is_frozen = false,
            Event::Kill(instance) => {
                state.instances[instance].is_up = false;
                state.instances[instance].replacement = None;
            }
            Event::Run(instance) => self.run(state, instance),
            Event::Return(copy) => state.table.restore(copy),
            Event::Read(instance) => {
                let read = (state.now, state.table.content.clone());
                state.instances[instance].unread = Some(read);
            }
            Event::Arrive(instance) => {
                if let Some((begun, content)) = state.instances[instance].unread.take() {
                    state.apply_read(instance, begun, &content);
                }
            }
            Event::Carry(call) => {
                let call = state.late.remove(call);
                state.carry(fencing, call);
            }
            Event::Send(instance) => commit::send(state, instance),
            Event::Receive(server) => {
                state.cluster.receive(server);
                commit::confirm(state, server);
            }
            Event::Answer(number) => commit::answer(state, number, self.limits.has_ends),
            Event::Lose(number) => state.commits[number].stage = Stage::InDoubt,
            Event::Begin(instance) => {
                if let Some(reason) = observe(state, instance) {
                    let replacement = Replacement::open(state, instance, reason);
                    if reason == Reason::Unfinished {
                        let now = state.now;
                        state.instances[instance].recheck.step(now);
                    }
                    state.instances[instance].replacement = Some(replacement);
                }
            }
            Event::Step(instance, fate) => {
                replacement::step(&self.rules, &self.limits, state, instance, fate);
            }
            Event::Promote(order) => state.cluster.promote(fencing, order),
        }
    }

    pub fn run(&self, state: &mut State, instance: usize) {
        let knows = std::array::from_fn(|server| state.cluster.servers[server].has_joined);
        let incarnation = state.instances[instance].incarnation + 2;
        let mut started = Instance::open(state.now, incarnation, knows, &self.rules);
        started.moved = state.cluster.moved;
        state.instances[instance] = started;
    }

    pub fn pass(&self, state: &mut State, span: Span) {
        // The platform carries out an accepted order within some hundred milliseconds.
        while !state.cluster.orders.is_empty() {
            state.cluster.promote(self.rules.fencing, 0);
        }
        state.ticks += 1;
        state.now = state.now + span;
        for instance in 0..2 {
            if state.instances[instance].is_active() {
                state.learn(instance);
                state.read(instance);
                state.probe(instance);
                // Starts the detector's own waiting times.
                observe(state, instance);
            }
        }
    }
}

/// Returns why an instance would begin a replacement.
fn reason(state: &State, instance: &mut Instance) -> Option<Reason> {
    let leader = instance.leader();
    let servers = &state.cluster.servers;
    let is_leaving =
        leader.is_some_and(|leader| servers[leader].is_draining && servers[leader].is_up);
    let is_stuck = leader == Some(state.cluster.leader)
        && (0..SERVERS).all(|server| {
            server == state.cluster.leader
                || !servers[server].has_joined
                || !servers[server].is_up
                || servers[server].paused > 0
        });
    instance.reason(state.now, is_leaving, is_stuck)
}

/// Lets an instance's detector see the present state; returns why it would begin a replacement.
fn observe(state: &mut State, index: usize) -> Option<Reason> {
    let mut instance = state.instances[index].clone();
    let reason = reason(state, &mut instance);
    state.instances[index] = instance;
    reason
}

/// Returns whether an event counts towards the limit of faults.
fn is_fault(event: Event) -> bool {
    match event {
        Event::Cut(..)
        | Event::CutPeers
        | Event::CutTable(_)
        | Event::Crash(_)
        | Event::Restart(_)
        | Event::Vanish(_)
        | Event::Wipe(_)
        | Event::Freeze(_)
        | Event::Kill(_)
        | Event::Return(_)
        | Event::Read(_)
        | Event::Lose(_) => true,
        Event::Step(_, fate) => fate != Fate::Done,
        _ => false,
    }
}
