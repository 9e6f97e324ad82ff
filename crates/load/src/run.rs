//! Carries out a command.

use std::process::ExitCode;
use std::time::Duration;

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use strum::IntoEnumIterator;

use crate::Error;
use crate::Yuccaload;
use crate::args;
use crate::args::YuccaloadCmd;
use crate::deployment::Baseline;
use crate::deployment::Deployment;
use crate::deployment::Name;
use crate::deployment::processes;
use crate::experiment;
use crate::fault;
use crate::fault::Action;
use crate::fault::Fault;
use crate::report;
use crate::setup;
use crate::work::Options;

/// Seconds of a run unless it is told otherwise.
const DEFAULT_SECONDS: u64 = 20;
/// Seed unless it is told otherwise.
const DEFAULT_SEED: u64 = 1;

/// Runs the command that the arguments name.
pub fn run(args: Yuccaload) -> Result<ExitCode, Error> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|error| Error::peer("start the runtime", "", error))?;
    match args.subcommand {
        YuccaloadCmd::Run(args) => runtime.block_on(run_experiment(args)),
        YuccaloadCmd::Compare(args) => compare(&args),
        YuccaloadCmd::Processes(args) => print_processes(&args),
        YuccaloadCmd::Plan(args) => print_plan(&args),
        YuccaloadCmd::Draw(args) => {
            println!("{}", draw(args.seed, args.round));
            Ok(ExitCode::SUCCESS)
        }
        YuccaloadCmd::Setup(args) => {
            let deployment = deployment(&args.deployment)?;
            let baseline = baseline(args.baseline.as_deref())?;
            runtime.block_on(setup::setup(&deployment, baseline, &args.dir))?;
            Ok(ExitCode::SUCCESS)
        }
    }
}

async fn run_experiment(args: args::Run) -> Result<ExitCode, Error> {
    let fault = args.fault.unwrap_or_else(|| Fault::Calm.to_string());
    let options = Options {
        deployment: deployment(&args.deployment)?,
        faults: fault::parse(&fault)?,
        seed: args.seed.unwrap_or(DEFAULT_SEED),
        span: span(args.seconds),
        directory: args.out,
    };
    let baseline = baseline(args.baseline.as_deref())?.to_string();
    let revision = args.revision.unwrap_or_else(|| "unknown".to_owned());
    let report = experiment::run(&options, &fault, &baseline, &revision).await?;
    print!("{}", report::table(&report));
    let broken = !report.violations.is_empty();
    Ok(if broken {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    })
}

fn compare(args: &args::Compare) -> Result<ExitCode, Error> {
    let one = setup::read_json(&args.one)?;
    let other = setup::read_json(&args.other)?;
    print!("{}", report::compare(&one, &other));
    Ok(ExitCode::SUCCESS)
}

fn print_processes(args: &args::Processes) -> Result<ExitCode, Error> {
    for process in processes(&deployment(&args.deployment)?) {
        println!(
            "{}\t{}\t{}",
            process.name,
            process.program,
            process.args.join(" ")
        );
    }
    Ok(ExitCode::SUCCESS)
}

fn print_plan(args: &args::Plan) -> Result<ExitCode, Error> {
    let deployment = deployment(&args.deployment)?;
    let faults = fault::parse(&args.fault)?;
    let seed = args.seed.unwrap_or(DEFAULT_SEED);
    for step in fault::plan(&deployment, &faults, seed, span(args.seconds)) {
        let at = step.at.as_millis();
        match step.action {
            Action::Signal { instance, signal } => {
                println!("{at}\t{signal}\t{}", deployment.instance(instance));
            }
            Action::Start { instance } => {
                println!("{at}\tstart\t{}", deployment.instance(instance));
            }
            _ => {}
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Draws two faults for one round of a soak.
fn draw(seed: u64, round: u64) -> String {
    let mut random = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_009).wrapping_add(round));
    let faults: Vec<Fault> = Fault::iter()
        .filter(|fault| *fault != Fault::Calm)
        .collect();
    let drawn: Vec<String> = faults
        .choose_multiple(&mut random, 2)
        .map(ToString::to_string)
        .collect();
    drawn.join("+")
}

fn span(seconds: Option<u64>) -> Duration {
    Duration::from_secs(seconds.unwrap_or(DEFAULT_SECONDS))
}

fn deployment(text: &str) -> Result<Deployment, Error> {
    parse("--deployment", text, Name::iter()).map(Deployment::of)
}

fn baseline(text: Option<&str>) -> Result<Baseline, Error> {
    match text {
        None => Ok(Baseline::None),
        Some(text) => parse("--baseline", text, Baseline::iter()),
    }
}

fn parse<T: std::str::FromStr + std::fmt::Display>(
    flag: &'static str,
    text: &str,
    known: impl Iterator<Item = T>,
) -> Result<T, Error> {
    text.parse().map_err(|_| {
        let known: Vec<String> = known.map(|name| name.to_string()).collect();
        Error::Flag {
            flag,
            value: text.to_owned(),
            allowed: known.join(", "),
        }
    })
}
