//! Runs a stand-in as a process.

use std::sync::Arc;
use std::time::Duration;

use crate::Error;
use crate::Standin;
use crate::args;
use crate::control;
use crate::group::Group;
use crate::group::Options;
use crate::link;
use crate::store;

/// Runs the stand-in that the arguments name until the process is stopped.
pub fn run(args: Standin) -> Result<(), Error> {
    start_log()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKERS)
        .enable_all()
        .build()
        .map_err(|source| setup("start the runtime", source))?;
    runtime.block_on(serve(args))
}

/// Threads of one stand-in.
const WORKERS: usize = 2;

async fn serve(args: Standin) -> Result<(), Error> {
    match args.subcommand {
        args::StandinCmd::Group(group) => serve_group(group).await,
        args::StandinCmd::Platform(platform) => serve_platform(platform).await,
        args::StandinCmd::Link(link) => serve_links(link).await,
    }
}

async fn serve_group(args: args::Group) -> Result<(), Error> {
    let mut options = Options::new(&args.name, args.server);
    if options.servers.is_empty() {
        return Err(Error::Flag {
            flag: "--server",
            value: String::new(),
            allowed: "at least one IP number and port",
        });
    }
    options.slots = args.slots.unwrap_or(options.slots);
    options.connections = args.connections.unwrap_or(options.connections);
    options.connect_ms = args.connect_ms.unwrap_or(options.connect_ms);
    options.lag_ms = args.lag_ms.unwrap_or(options.lag_ms);
    options.link_ms = args.link_ms.unwrap_or(options.link_ms);
    options.work_ms = args.work_ms.unwrap_or(options.work_ms);
    options.user = args.user.map_or(options.user, Arc::from);
    options.password = args.password.map_or(options.password, Arc::from);
    let group = Group::spawn(options).await?;
    let bound = control::bind(args.control, control::group(group)).await?;
    log::info!("kind=start group={} control={bound}", args.name);
    std::future::pending().await
}

async fn serve_platform(args: args::Platform) -> Result<(), Error> {
    let service = store::Service::open();
    let bound = control::bind(args.listen, store::routes(Arc::clone(&service))).await?;
    control::bind(args.control, store::control(service)).await?;
    log::info!("kind=start what=platform listen={bound}");
    std::future::pending().await
}

async fn serve_links(args: args::Link) -> Result<(), Error> {
    let mut routes = args.route;
    if let (Some(listen), Some(to)) = (args.listen, args.to) {
        routes.push(link::Route {
            listen,
            to,
            from_zone: Some(Arc::from("a")),
            to_zone: Arc::from("b"),
        });
    }
    let options = link::Options {
        routes,
        zones: args.zone,
        delay: delay("--delay-ms", args.delay_ms)?,
        client_delay: delay("--client-delay-ms", args.client_delay_ms)?,
        bytes_per_s: args.bytes_per_s,
    };
    let links = link::Links::spawn(options).await?;
    let bound = control::bind(args.control, link::control(links)).await?;
    log::info!("kind=start what=links control={bound}");
    std::future::pending().await
}

fn delay(flag: &'static str, ms: Option<f64>) -> Result<Duration, Error> {
    let ms = ms.unwrap_or_default();
    Duration::try_from_secs_f64(ms / 1_000.0).map_err(|_| Error::Flag {
        flag,
        value: ms.to_string(),
        allowed: "0 or more milliseconds",
    })
}

fn start_log() -> Result<(), Error> {
    fern::Dispatch::new()
        .level(log::LevelFilter::Info)
        .chain(std::io::stderr())
        .apply()
        .map_err(|source| setup("start the log", source))
}

fn setup(step: &'static str, why: impl ToString) -> Error {
    let why = why.to_string();
    Error::Setup { step, why }
}
