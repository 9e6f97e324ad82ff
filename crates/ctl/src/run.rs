//! The run of the program.

use std::io::Write;
use std::process::ExitCode;
use std::sync::Arc;

use crate::Client;
use crate::Command;
use crate::Error;
use crate::Http;
use crate::Options;
use crate::Output;
use crate::arguments;
use crate::changes;
use crate::lists;
use crate::timeline;
use crate::tree;
use crate::zones;

/// The exit code for wrong usage.
const USAGE: u8 = 2;

/// Reads the command line, runs it and returns the exit code.
pub fn main() -> ExitCode {
    let arguments = std::env::args_os().skip(1).collect();
    let options = match arguments::parse(arguments, |name| std::env::var(name).ok()) {
        Ok(options) => options,
        Err(error) => return explain(&error),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime of one thread can be started");
    let client = Client::open(Arc::new(Http::open(&options.token)), options.admin.clone());
    let mut output = Output {
        is_json: options.is_json,
        results: &mut std::io::stdout(),
        notes: &mut std::io::stderr(),
    };
    match runtime.block_on(run(&client, &options, &mut output)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

/// Runs one command.
pub async fn run(client: &Client, options: &Options, output: &mut Output<'_>) -> Result<(), Error> {
    match &options.command {
        Command::TreeGet { path } => tree::get(client, output, path.as_deref()).await,
        Command::TreeApply { file } => tree::apply(client, options, output, file).await,
        Command::TreeDiff { file } => tree::compare(client, output, file).await,
        Command::Set { path, value } => changes::set(client, options, output, path, value).await,
        Command::KeyGrant { account } => changes::grant(client, options, output, account).await,
        Command::KeyWithdraw { account, key } => {
            changes::withdraw(client, options, output, account, key).await
        }
        Command::Change { id } => changes::status(client, output, id).await,
        Command::Groups => lists::groups(client, output).await,
        Command::Handover { group } => lists::handover(client, output, group).await,
        Command::Evacuate { zone, is_undo } => {
            zones::evacuate(client, options, output, zone, *is_undo).await
        }
        Command::Status => zones::status(client, output).await,
        Command::Instances => lists::instances(client, output).await,
        Command::Endpoints => lists::endpoints(client, output).await,
        Command::Sessions => lists::sessions(client, output).await,
        Command::Timeline {
            is_following,
            filter,
        } => timeline::print(client, output, filter, *is_following).await,
    }
}

/// Prints the help or what is wrong with the command line.
fn explain(error: &xflags::Error) -> ExitCode {
    if error.is_help() {
        // Whoever reads the help may stop in the middle.
        let _ = writeln!(std::io::stdout(), "{error}");
        return ExitCode::SUCCESS;
    }
    eprintln!("error: {error}");
    ExitCode::from(USAGE)
}
