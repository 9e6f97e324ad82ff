//! Stand-ins for the platform, a database group, the operator and a caller, and the cases that use them.
//!
//! Usage: `site CASE RECORD`, in the repository's root. It starts instances with the command of the deploy
//! file on loopback addresses and exits with 1 if the case's rule was broken, 0 if it held and 2 if the
//! case could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod caller;
mod cases;
mod group;
mod instance;
mod json;
mod record;
mod store;

use std::process::ExitCode;
use std::thread;
use std::time::Duration;

/// A case that takes longer is ended.
const LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: site CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match record::Record::create(&path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    thread::spawn(|| {
        thread::sleep(LIMIT);
        instance::kill_all();
        std::process::exit(2);
    });
    let verdict = cases::run(&case, &record, has_trouble);
    record.line(&format!("verdict {verdict:?}"));
    match verdict {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(_) => ExitCode::from(2),
    }
}
