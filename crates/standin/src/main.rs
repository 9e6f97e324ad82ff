//! Runs one stand-in until it is stopped.

fn main() -> std::process::ExitCode {
    let args = standin::Standin::from_env_or_exit();
    match standin::run(args) {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error={:?}", error.to_string());
            std::process::ExitCode::from(2)
        }
    }
}
