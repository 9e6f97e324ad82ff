//! The log: one line of key=value pairs per event, on standard output.

use fern::Dispatch;

use crate::Error;

/// Sets up the log of this process.
pub fn open(instance: &str, level: log::LevelFilter) -> Result<(), Error> {
    let instance = instance.to_owned();
    Dispatch::new()
        .format(move |out, message, record| {
            out.finish(format_args!(
                "level={} instance={instance} {message}",
                record.level()
            ));
        })
        .level(log::LevelFilter::Warn)
        .level_for("relay", level)
        .level_for("platform", level)
        .level_for("yuccamount_edge", level)
        .chain(std::io::stdout())
        .apply()
        .map_err(|cause| Error::Setup {
            step: "open the log",
            why: cause.to_string(),
        })
}
