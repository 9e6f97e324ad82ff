//! Runs one instance of the proxy.

use std::process::ExitCode;

/// The exit code after wrong flags or settings.
const WRONG_USE: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    let options = match daemon::conf::parse() {
        Ok(options) => options,
        Err(error) => {
            eprintln!("yuccamountd: {error}");
            return ExitCode::from(WRONG_USE);
        }
    };
    match daemon::run(options).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("yuccamountd: {error}");
            ExitCode::FAILURE
        }
    }
}
