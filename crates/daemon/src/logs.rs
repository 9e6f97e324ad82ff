//! The log: one line of key=value pairs an event, on standard error.

use fern::Dispatch;

use crate::error::Error;

/// The file in which the peer transport's library panics when a peer hangs up early.
const DIAL_FILE: &str = "src/protocols/mod.rs";

/// The library that does so.
const DIAL_LIBRARY: &str = "anng-0.1";

/// Logs the library's panic on an early hang-up as the failed dial that it is.
///
/// The panic stays inside the dialling thread, and the caller gets an error. All other panics are
/// reported as usual.
fn note_library_panics() {
    let usual = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        let file = info.location().map_or("", |location| location.file());
        if file.contains(DIAL_LIBRARY) && file.ends_with(DIAL_FILE) {
            log::warn!("step=dial what=peer-hung-up");
            return;
        }
        usual(info);
    }));
}

/// Sets the log up for this process.
pub fn open(level: log::LevelFilter) -> Result<(), Error> {
    let dispatch = Dispatch::new()
        .format(|out, message, record| {
            out.finish(format_args!(
                "level={} module={} {message}",
                record.level(),
                record.target()
            ));
        })
        .level(level)
        .level_for("tokio_postgres", log::LevelFilter::Warn)
        .level_for("pgwire", log::LevelFilter::Warn)
        .level_for("anng", log::LevelFilter::Error)
        .chain(std::io::stderr());
    note_library_panics();
    dispatch.apply().map_err(|cause| Error::Setup {
        step: "log",
        why: cause.to_string(),
    })
}
