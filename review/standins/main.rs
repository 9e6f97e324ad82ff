//! Stand-ins and scripts of the review; see `review/REPORT.md`.

mod client;
mod cut;
mod database;
mod edge;
mod end;
mod http;
mod json;
mod record;
mod smuggle;
mod store;
mod token;
mod world;

use std::process::ExitCode;

use world::Verdict;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let record = arguments.next().unwrap_or_else(|| "record.txt".to_owned());
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let run = match case.as_str() {
        "end" => end::run,
        "smuggle" => smuggle::run,
        "cut" => cut::run,
        "token" => token::run,
        _ => {
            eprintln!("usage: standins CASE RECORD");
            return ExitCode::from(2);
        }
    };
    let verdict = world::play(&record, has_trouble, run);
    match verdict {
        Verdict::Held(why) => {
            println!("held: {why}");
            ExitCode::SUCCESS
        }
        Verdict::Broken(why) => {
            println!("broken: {why}");
            ExitCode::from(1)
        }
        Verdict::NotRun(why) => {
            println!("could not run: {why}");
            ExitCode::from(2)
        }
    }
}
