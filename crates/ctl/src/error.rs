//! Errors and exit codes.

use admin::Problem;
use snafu::Snafu;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The command line is wrong.
    #[snafu(display("{why}"))]
    Usage {
        /// What is wrong.
        why: String,
    },
    /// A local file can't be used.
    #[snafu(display("{file}: {why}"))]
    File {
        /// The file.
        file: String,
        /// The cause.
        why: String,
    },
    /// No answer came from an instance.
    #[snafu(display("{step} at {peer}: {why}"))]
    Unreachable {
        /// What was being done.
        step: String,
        /// The instance's address.
        peer: String,
        /// The cause.
        why: String,
        /// Whether the request may have arrived.
        may_have_arrived: bool,
    },
    /// An instance refused.
    #[snafu(display("{peer}: {}: {}{}", problem.error, problem.detail, place(problem)))]
    Refused {
        /// The instance's address.
        peer: String,
        /// Its answer.
        problem: Box<Problem>,
    },
    /// An instance answered something that this program does not understand.
    #[snafu(display("{step} at {peer}: unexpected answer: {why}: use a program of its version"))]
    Unexpected {
        /// What was being done.
        step: String,
        /// The instance's address.
        peer: String,
        /// The cause.
        why: String,
    },
    /// It is not known whether a change was accepted.
    #[snafu(display(
        "it is unknown whether the change was accepted: repeat with --id {id}: {why}"
    ))]
    Unknown {
        /// The change's id.
        id: String,
        /// The last cause.
        why: String,
    },
    /// A change was accepted but was not seen in force everywhere in time.
    #[snafu(display("the change {id} is accepted, but not yet in force on: {missing}"))]
    NotInForce {
        /// The change's id.
        id: String,
        /// The instances that do not act on it yet.
        missing: String,
    },
    /// The output can't be written.
    #[snafu(display("write output: {why}"))]
    Output {
        /// The cause.
        why: String,
    },
}

impl Error {
    /// Returns the program's exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage { .. } => 2,
            Self::File { .. } | Self::Output { .. } | Self::Unexpected { .. } => 1,
            Self::Unreachable { .. } => 7,
            Self::Unknown { .. } => 5,
            Self::NotInForce { .. } => 6,
            Self::Refused { problem, .. } => match problem.error.as_str() {
                "conflict" => 3,
                "not-done" | "table-behind" => 4,
                "outcome-unknown" => 5,
                "unauthorized" | "forbidden" => 8,
                _ => 1,
            },
        }
    }
}

fn place(problem: &Problem) -> String {
    let mut text = String::new();
    for (name, part) in [
        ("path", &problem.path),
        ("value", &problem.value),
        ("allowed", &problem.allowed),
    ] {
        if let Some(part) = part {
            text.push_str(&format!("\n  {name}={part}"));
        }
    }
    for fault in problem.faults.iter().skip(1) {
        text.push_str(&format!("\n  {fault}"));
    }
    if let Some(revision) = problem.revision {
        text.push_str(&format!("\n  revision={revision}"));
    }
    for record in &problem.since {
        let paths = record.paths.join(",");
        text.push_str(&format!(
            "\n  change={} revision={} operator={} paths={paths}",
            record.id, record.revision, record.operator
        ));
    }
    text
}
