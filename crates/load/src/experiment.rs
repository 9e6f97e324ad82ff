//! One run from the empty tables to the report.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::Error;
use crate::check;
use crate::check::Breach;
use crate::check::Violation;
use crate::fault;
use crate::fault::Fault;
use crate::fault::Injector;
use crate::report;
use crate::report::Material;
use crate::report::Report;
use crate::report::Timeline;
use crate::setup;
use crate::usage;
use crate::work::Entry;
use crate::work::Options;
use crate::work::Probe;
use crate::work::Runner;
use crate::work::callers;

/// Time for replication to settle before the final state is read.
const SETTLE: Duration = Duration::from_secs(2);
/// Time after which a withdrawn key must not work any more.
const WITHDRAWN_WITHIN: Duration = Duration::from_secs(5);

/// Runs an experiment against a started fleet and writes its results.
pub async fn run(
    options: &Options,
    fault: &str,
    baseline: &str,
    revision: &str,
) -> Result<Report, Error> {
    let deployment = &options.deployment;
    let directory = &options.directory;
    prepare(options).await?;
    let keys = setup::read_json(&directory.join("keys.json"))?;
    let reads_before = setup::count_reads(deployment).await?;
    let runner = Runner::spawn(options, keys).await;
    let stage = runner.stage();
    mark_start(directory)?;
    let usage_before = usage::read(directory, deployment).await;
    let steps = fault::plan(deployment, &options.faults, options.seed, options.span);
    let injector = tokio::spawn(Injector::open(runner.stage())?.run(steps));
    let (stop, stopped) = oneshot::channel();
    let timeline = tokio::spawn(Timeline::open(deployment.clone())?.run(stopped));
    let until = stage.start + options.span;
    let probe = tokio::spawn(Probe::open().run(deployment.clone(), until));

    let entries = runner.finish().await;
    let usage_after = usage::read(directory, deployment).await;
    let usage = usage::compare(&usage_before, &usage_after, stage.now());
    let withdrawn = injector.await.unwrap_or_default();
    tokio::time::sleep(SETTLE).await;
    let reads_after = setup::count_reads(deployment).await?;
    let probe = probe.await.unwrap_or_else(|_| Probe::open());

    let mut violations = stage.violations();
    violations.extend(final_checks(options, &entries, &withdrawn).await);
    let _ = stop.send(());
    if let Ok(timeline) = timeline.await {
        timeline.write(&directory.join("timeline.log"))?;
    }
    let report = Report::of(Material {
        deployment,
        fault,
        baseline,
        seed: options.seed,
        revision,
        entries: &entries,
        probe: &probe,
        reads: (
            reads_after.0 - reads_before.0,
            reads_after.1 - reads_before.1,
        ),
        withdrawn: &withdrawn,
        usage,
        violations,
    });
    write_failures(&directory.join("failures.log"), &entries)?;
    setup::write_json(&directory.join("report.json"), &report)?;
    let title = format!("{} {fault} seed {}", deployment.name, options.seed);
    report::plot(&entries, directory, &title)?;
    Ok(report)
}

async fn prepare(options: &Options) -> Result<(), Error> {
    let named = callers(&options.deployment, &options.faults);
    for group in 0..options.deployment.groups.len() {
        let own = named.iter().filter(|(_, route)| route.group == group);
        let names: Vec<String> = own.map(|(name, _)| name.clone()).collect();
        setup::tables(&options.deployment, group, &names).await?;
    }
    Ok(())
}

/// Tells the script that the run has started.
fn mark_start(directory: &Path) -> Result<(), Error> {
    let path = directory.join("started");
    std::fs::write(&path, "").map_err(|error| Error::file("write", &path, error))
}

async fn final_checks(
    options: &Options,
    entries: &[Entry],
    withdrawn: &BTreeMap<usize, Duration>,
) -> Vec<Violation> {
    let deployment = &options.deployment;
    let mut violations = check::check_grants(entries, deployment.accounts);
    match check::read_kept(deployment).await {
        Ok(kept) => violations.extend(check::check_history(entries, &kept)),
        Err(error) => violations.push(violation(Breach::Unchecked, error.to_string())),
    }
    for (account, at) in withdrawn {
        violations.extend(worked_after(entries, *account, *at + WITHDRAWN_WITHIN));
    }
    if options.faults == [Fault::RollingRestart] {
        let cut = entries.iter().filter(|entry| entry.cut);
        violations.extend(cut.map(|entry| {
            let text = format!(
                "request={} done_ms={}",
                entry.request,
                entry.done.as_millis()
            );
            violation(Breach::CutRequest, text)
        }));
    }
    violations.extend(panics(&options.directory));
    violations
}

/// Writes one line for each request that was not answered.
fn write_failures(path: &Path, entries: &[Entry]) -> Result<(), Error> {
    let failed = entries.iter().filter(|entry| !entry.is_answered());
    let lines: Vec<String> = failed
        .map(|entry| {
            format!(
                "due_ms={} sent_ms={:?} done_ms={} request={} kind={} outcome={:?} error={:?}\n",
                entry.intended.as_millis(),
                entry.sent.map(|sent| sent.as_millis()),
                entry.done.as_millis(),
                entry.request,
                entry.kind,
                entry.outcome,
                entry.error
            )
        })
        .collect();
    std::fs::write(path, lines.concat()).map_err(|error| Error::file("write", path, error))
}

fn violation(breach: Breach, text: String) -> Violation {
    Violation { breach, text }
}

/// Returns the first request that was answered under a withdrawn key.
fn worked_after(entries: &[Entry], account: usize, from: Duration) -> Option<Violation> {
    let entry = entries.iter().find(|entry| {
        entry.account == account && entry.is_answered() && entry.sent.is_some_and(|at| at > from)
    })?;
    let text = format!("request={} sent={:?}", entry.request, entry.sent);
    Some(violation(Breach::WithdrawnKey, text))
}

/// Finds processes that stopped on an assertion, by their logs.
fn panics(directory: &Path) -> Vec<Violation> {
    let Ok(files) = std::fs::read_dir(directory.join("logs")) else {
        return Vec::new();
    };
    let mut violations = Vec::new();
    for file in files.flatten() {
        let text = std::fs::read_to_string(file.path()).unwrap_or_default();
        if let Some(line) = text.lines().find(|line| line.contains("panicked at")) {
            let name = file.file_name().to_string_lossy().into_owned();
            violations.push(violation(Breach::Panic, format!("log={name} {line}")));
        }
    }
    violations
}
