//! Open-loop arrivals: requests come when they are due, answered or not.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::mpsc;

use super::Stage;
use super::caller::Arrival;
use super::caller::Roam;
use crate::deployment::Kind;
use crate::deployment::Role;

/// Part of the requests before which a caller moves to another instance.
const ROAMING: f64 = 0.02;

/// Callers that share one stream of arrivals.
pub(super) struct Arrivals {
    pub(super) stage: Arc<Stage>,
    /// The callers' queues and what they do.
    pub(super) callers: Vec<(mpsc::UnboundedSender<Arrival>, &'static [Role])>,
    /// Arrivals a second.
    pub(super) rate: f64,
    /// When the first one may come.
    pub(super) from: Duration,
    /// When no more come.
    pub(super) until: Duration,
    pub(super) seed: u64,
}

impl Arrivals {
    /// Sends arrivals with exponential gaps until the end.
    pub(super) async fn run(self) {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        let mut due = self.from;
        let mut turn = 0;
        loop {
            due += gap(&mut random, self.rate);
            if due >= self.until || self.callers.is_empty() {
                return;
            }
            let (caller, roles) = &self.callers[turn % self.callers.len()];
            turn += 1;
            let arrival = Arrival {
                intended: due,
                kind: pick(&mut random, roles),
                roam: roam(&mut random),
            };
            tokio::time::sleep_until(self.stage.start + due).await;
            let _ = caller.send(arrival);
        }
    }
}

/// Draws an exponential gap.
fn gap(random: &mut ChaCha8Rng, rate: f64) -> Duration {
    let uniform: f64 = random.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate)
}

fn pick(random: &mut ChaCha8Rng, roles: &[Role]) -> Kind {
    let total: u32 = roles.iter().map(|role| role.weight).sum();
    let mut left = random.random_range(0..total.max(1));
    for role in roles {
        if left < role.weight {
            return role.kind;
        }
        left -= role.weight;
    }
    Kind::Count
}

fn roam(random: &mut ChaCha8Rng) -> Option<Roam> {
    if !random.random_bool(ROAMING) {
        return None;
    }
    let with = random.random_bool(0.5);
    Some(if with {
        Roam::WithToken
    } else {
        Roam::WithoutToken
    })
}
