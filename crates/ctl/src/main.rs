//! The operators' command-line program.

fn main() -> std::process::ExitCode {
    ctl::main()
}
