//! Arguments of the `yuccaload` binary.

#![expect(
    missing_docs,
    reason = "the macro generates items without documentation"
)]

use std::path::PathBuf;

xflags::xflags! {
    /// Load, faults and checks for a fleet of plain processes.
    cmd yuccaload {
        /// Runs the work of a deployment against a started fleet and writes a report.
        ///
        /// Exit code 1 tells that something that must hold did not.
        cmd run {
            /// lumbrera or tesfaye.
            required --deployment deployment: String
            /// Name of a fault plan, or two with + between them (default calm).
            optional --fault fault: String
            /// Seed of arrivals and faults (default 1).
            optional --seed seed: u64
            /// How long requests arrive (default 20).
            optional --seconds seconds: u64
            /// Directory of the fleet and of the results.
            required --out out: PathBuf
            /// Name of the baseline that the fleet was set up with (default none).
            optional --baseline baseline: String
            /// Revision of the program, for the report.
            optional --revision revision: String
        }
        /// Puts two reports side by side.
        cmd compare {
            /// The first report.json.
            required one: PathBuf
            /// The second report.json.
            required other: PathBuf
        }
        /// Prints the processes of a deployment: name, program and arguments, with tabs between.
        cmd processes {
            /// lumbrera or tesfaye.
            required --deployment deployment: String
        }
        /// Prints the steps of a fault plan that a script has to carry out: milliseconds, signal
        /// or start, instance.
        cmd plan {
            /// lumbrera or tesfaye.
            required --deployment deployment: String
            /// Name of a fault plan.
            required --fault fault: String
            /// Seed of the plan (default 1).
            optional --seed seed: u64
            /// How long requests arrive (default 20).
            optional --seconds seconds: u64
        }
        /// Draws two different faults for each round of a soak.
        cmd draw {
            /// Seed of the draw.
            required --seed seed: u64
            /// The round, from 0.
            required --round round: u64
        }
        /// Loads the settings tree into a started fleet and grants the keys.
        cmd setup {
            /// lumbrera or tesfaye.
            required --deployment deployment: String
            /// none, primary-only or serve-cut-off (default none).
            optional --baseline baseline: String
            /// Directory of the fleet; keys.json is written there.
            required --dir dir: PathBuf
        }
    }
}
