//! The continuation of a trace without faults.

use crate::cluster::SERVERS;
use crate::commit;
use crate::commit::Stage;
use crate::replacement::Fate;
use crate::replacement::Step;
use crate::state::State;
use crate::world::Event;
use crate::world::SHORT;
use crate::world::World;

/// Steps of a replacement in a round without faults.
const STEPS_PER_ROUND: usize = 12;

impl World {
    /// Ends all faults.
    pub fn calm(&self, state: &mut State) {
        while let Some(call) = state.late.pop() {
            state.carry(self.rules.fencing, call);
        }
        state.are_peers_cut = false;
        for server in 0..SERVERS {
            let server_state = &state.cluster.servers[server];
            if server_state.has_joined && !server_state.is_up && !server_state.is_gone {
                state
                    .cluster
                    .restart(server, self.limits.is_demotion_forgotten);
            }
        }
        for index in 0..2 {
            if !state.instances[index].is_up {
                self.run(state, index);
            }
            let instance = &mut state.instances[index];
            instance.is_frozen = false;
            instance.reaches = [true; SERVERS];
            instance.reaches_table = true;
            let is_unread = instance.unread.is_some();
            state.learn(index);
            if is_unread {
                self.change(state, Event::Arrive(index));
            }
        }
    }

    /// Lets everything that can happen without faults happen once.
    pub fn calm_round(&self, state: &mut State) {
        for index in 0..2 {
            if state.instances[index].replacement.is_none() {
                self.change(state, Event::Begin(index));
            }
            for _ in 0..STEPS_PER_ROUND {
                self.change(state, Event::Step(index, Fate::Done));
                let is_promoting = state.instances[index]
                    .replacement
                    .as_ref()
                    .is_some_and(|replacement| matches!(replacement.step, Step::Proof { .. }));
                if is_promoting {
                    break;
                }
            }
        }
        for server in 0..SERVERS {
            if state.cluster.can_receive(server) {
                self.change(state, Event::Receive(server));
            }
        }
        for number in 0..state.commits.len() {
            if state.commits[number].stage == Stage::Confirmed {
                self.change(state, Event::Answer(number));
            }
        }
        commit::settle(&self.rules, state);
        self.pass(state, SHORT);
        state.faults = 0;
        state.ticks = 0;
    }
}
