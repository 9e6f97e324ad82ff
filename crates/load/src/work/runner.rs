//! Runs all callers of a deployment.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::Entry;
use super::Stage;
use super::arrivals::Arrivals;
use super::caller::Arrival;
use super::caller::Caller;
use crate::deployment::Deployment;
use crate::deployment::Role;
use crate::deployment::Route;
use crate::fault::Fault;

/// Part of its rate that an account offers when it does not flood.
const OFFERED: f64 = 0.6;
/// How many times its rate an account offers in a flood.
const FLOOD: f64 = 5.0;
/// Requests a second of one caller, by which callers are counted.
const CALLER_RATE: u64 = 5;
/// Part of the run at which a flood starts and ends.
const FLOOD_SPAN: (f64, f64) = (0.25, 0.75);
/// Time for callers to connect before the run starts.
const WARM_UP: Duration = Duration::from_secs(2);

/// What a run does.
#[derive(Clone, Debug)]
pub struct Options {
    /// The deployment.
    pub deployment: Deployment,
    /// The faults.
    pub faults: Vec<Fault>,
    /// The seed.
    pub seed: u64,
    /// How long requests arrive.
    pub span: Duration,
    /// Where results are written.
    pub directory: PathBuf,
}

/// The tasks of a run.
pub struct Runner {
    stage: Arc<Stage>,
    callers: JoinSet<Vec<Entry>>,
    arrivals: JoinSet<()>,
    span: Duration,
}

/// Returns the names and routes of all callers.
pub fn callers(deployment: &Deployment, faults: &[Fault]) -> Vec<(String, Route)> {
    let mut callers = Vec::new();
    for (account, settings) in deployment.accounts.iter().enumerate() {
        let regular = (settings.rate / CALLER_RATE).max(deployment.groups.len() as u64);
        let flooding = faults.contains(&Fault::Flood) && account == deployment.flooding_account();
        let extra = if flooding { settings.rate / 2 } else { 0 };
        for number in 0..regular + extra {
            let flood = number >= regular;
            let group = pick_group(deployment, number, flood);
            let word = if flood { "flood" } else { "c" };
            let name = format!("{}.{word}{number}", settings.name);
            callers.push((name, Route { account, group }));
        }
    }
    callers
}

/// Spreads callers over the groups by weight; a flood goes to the last group.
fn pick_group(deployment: &Deployment, number: u64, flood: bool) -> usize {
    if flood {
        return deployment.groups.len() - 1;
    }
    let weights = deployment.groups.iter().enumerate();
    let spread: Vec<usize> = weights
        .flat_map(|(group, settings)| vec![group; settings.weight as usize])
        .collect();
    // CAST: numbers of callers are small. The step reaches every group early.
    spread[(number as usize * 3) % spread.len()]
}

impl Runner {
    /// Connects all callers and starts the arrivals once the stage starts.
    pub async fn spawn(options: &Options, keys: crate::setup::Keys) -> Self {
        let start = Instant::now() + WARM_UP;
        let deployment = options.deployment.clone();
        let stage = Arc::new(Stage::open(deployment, keys, options.seed, start));
        let mut runner = Self {
            stage,
            callers: JoinSet::new(),
            arrivals: JoinSet::new(),
            span: options.span,
        };
        let named = callers(&options.deployment, &options.faults);
        let mut queues: Vec<Vec<_>> = vec![Vec::new(); options.deployment.accounts.len()];
        let mut floods: Vec<Vec<_>> = vec![Vec::new(); options.deployment.accounts.len()];
        for (number, (name, route)) in named.iter().enumerate() {
            let flood = name.contains(".flood");
            let sender = runner.caller(name, *route, number);
            let roles = roles(&options.deployment, *route, flood);
            let queues = if flood { &mut floods } else { &mut queues };
            queues[route.account].push((sender, roles));
        }
        for (account, callers) in queues.into_iter().enumerate() {
            let rate = options.deployment.accounts[account].rate as f64 * OFFERED;
            runner.arrive(callers, rate, (0.0, 1.0), account);
        }
        for (account, callers) in floods.into_iter().enumerate() {
            let rate = options.deployment.accounts[account].rate as f64 * (FLOOD - OFFERED);
            runner.arrive(callers, rate, FLOOD_SPAN, account + 1_000);
        }
        tokio::time::sleep_until(start).await;
        runner
    }

    /// Returns what all callers share.
    pub fn stage(&self) -> Arc<Stage> {
        Arc::clone(&self.stage)
    }

    fn caller(
        &mut self,
        name: &str,
        route: Route,
        number: usize,
    ) -> mpsc::UnboundedSender<Arrival> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let mut caller = Caller::open(Arc::clone(&self.stage), route, name, number);
        self.callers.spawn(async move {
            caller.warm().await;
            caller.run(receiver).await
        });
        sender
    }

    fn arrive(
        &mut self,
        callers: Vec<(mpsc::UnboundedSender<Arrival>, &'static [Role])>,
        rate: f64,
        part: (f64, f64),
        number: usize,
    ) {
        let arrivals = Arrivals {
            stage: Arc::clone(&self.stage),
            callers,
            rate,
            from: self.span.mul_f64(part.0),
            until: self.span.mul_f64(part.1),
            seed: self
                .stage
                .seed
                .wrapping_mul(7_919)
                .wrapping_add(number as u64),
        };
        self.arrivals.spawn(arrivals.run());
    }

    /// Waits until all requests have ended; prints a line each second.
    pub async fn finish(mut self) -> Vec<Entry> {
        let stage = Arc::clone(&self.stage);
        let progress = tokio::spawn(async move { progress(&stage).await });
        while self.arrivals.join_next().await.is_some() {}
        let mut entries = Vec::new();
        while let Some(done) = self.callers.join_next().await {
            entries.extend(done.unwrap_or_default());
        }
        progress.abort();
        entries.sort_by_key(|entry| entry.intended);
        entries
    }
}

/// What a caller does; one that floods only looks up.
fn roles(deployment: &Deployment, route: Route, flood: bool) -> &'static [Role] {
    let roles = deployment.groups[route.group].roles;
    if !flood {
        return roles;
    }
    let first = roles.iter().position(|role| !role.kind.is_write());
    first.map_or(roles, |index| &roles[index..=index])
}

async fn progress(stage: &Stage) {
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let answered = stage.answered.load(Ordering::Relaxed);
        let others = stage.others.load(Ordering::Relaxed);
        let violations = stage.violations().len();
        eprintln!(
            "second={} answered={answered} others={others} violations={violations}",
            stage.now().as_secs()
        );
    }
}
