//! Runs one command of the load tool.

fn main() -> std::process::ExitCode {
    let args = load::Yuccaload::from_env_or_exit();
    match load::run(args) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("error={:?}", error.to_string());
            std::process::ExitCode::from(2)
        }
    }
}
