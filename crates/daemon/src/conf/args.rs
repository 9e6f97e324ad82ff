//! Flags and environment variables, and their checks.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use super::Options;
use crate::error::Error;

/// The prefix of environment variables.
const PREFIX: &str = "YUCCAMOUNT_";

/// The shortest fleet secret that is accepted, in bytes.
const SECRET_BYTES_MIN: usize = 16;

mod flags {
    xflags::xflags! {
        /// Runs one instance of the yuccamount database proxy.
        ///
        /// Each flag may also be given by an environment variable: --fleet-secret by
        /// YUCCAMOUNT_FLEET_SECRET and so on. A flag goes before its variable.
        cmd yuccamountd {
            /// The instance's name, unique in the fleet.
            optional --name name: String
            /// The availability zone.
            optional --zone zone: String
            /// Where callers connect, IP:PORT (default 127.0.0.1:6432).
            optional --listen address: String
            /// Where other instances connect, IP:PORT (default 127.0.0.1:7000).
            optional --peer address: String
            /// Where operators connect, IP:PORT (default 127.0.0.1:8000).
            optional --admin address: String
            /// The base address of the platform's service, http://IP:PORT.
            optional --platform url: String
            /// The fleet's name (default yuccamount).
            optional --fleet fleet: String
            /// The secret that all instances of the fleet share, 16 bytes or more.
            optional --fleet-secret secret: String
            /// The secret before the last rotation.
            optional --previous-fleet-secret secret: String
            /// The proxy's own user at endpoints (default yucca).
            optional --endpoint-user user: String
            /// The proxy's own password at endpoints.
            optional --endpoint-password password: String
            /// The operators' token for reading.
            optional --admin-token-read token: String
            /// The operators' token for reading and writing.
            optional --admin-token-write token: String
            /// The certificate chain for callers, a PEM file; with --tls-key.
            optional --tls-cert file: String
            /// The private key for callers, a PEM file; with --tls-cert.
            optional --tls-key file: String
            /// Connects to ADDRESS by way of OTHER, both IP:PORT; may be repeated.
            /// In the environment, pairs are separated by commas.
            repeated --via pair: String
            /// The address of another instance, IP:PORT, to ask at the start; may be repeated.
            /// In the environment, addresses are separated by commas.
            repeated --join address: String
            /// error, warn, info, debug or trace (default info).
            optional --log-level level: String
        }
    }
}

/// Reads the process's flags and environment; exits after `--help`.
pub fn parse() -> Result<Options, Error> {
    let flags = flags::Yuccamountd::from_env_or_exit();
    check(flags, &|name| std::env::var(name).ok())
}

/// Reads flags given as a list, for tests.
#[doc(hidden)]
pub fn parse_from(args: &[&str], environment: &BTreeMap<String, String>) -> Result<Options, Error> {
    let args = args.iter().map(std::ffi::OsString::from).collect();
    let flags = flags::Yuccamountd::from_vec(args).map_err(|cause| Error::Flag {
        flag: "command line".to_owned(),
        value: String::new(),
        allowed: cause.to_string(),
    })?;
    check(flags, &|name| environment.get(name).cloned())
}

/// Looks a value up in the flags, then in the environment.
struct Source<'a> {
    environment: &'a dyn Fn(&str) -> Option<String>,
}

impl Source<'_> {
    fn optional(&self, flag: &str, value: Option<String>) -> Option<String> {
        value.or_else(|| {
            let name = format!("{PREFIX}{}", flag.replace('-', "_").to_uppercase());
            (self.environment)(&name)
        })
    }

    fn required(&self, flag: &str, value: Option<String>) -> Result<String, Error> {
        let found = self.optional(flag, value).unwrap_or_default();
        if found.is_empty() {
            return Err(wrong(flag, "", "a value is required"));
        }
        Ok(found)
    }

    fn address(&self, flag: &str, value: Option<String>, default: &str) -> Result<Arc<str>, Error> {
        let found = self.optional(flag, value);
        let found = found.unwrap_or_else(|| default.to_owned());
        check_address(flag, &found)
    }

    fn name(&self, flag: &str, value: Option<String>) -> Result<Arc<str>, Error> {
        let found = self.required(flag, value)?;
        let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if found.chars().all(is_plain) {
            return Ok(Arc::from(found));
        }
        Err(wrong(flag, &found, "letters, digits, '-', '_' and '.'"))
    }
}

fn check(
    flags: flags::Yuccamountd,
    environment: &dyn Fn(&str) -> Option<String>,
) -> Result<Options, Error> {
    let source = Source { environment };
    let platform = source.required("platform", flags.platform)?;
    if !platform.starts_with("http://") && !platform.starts_with("https://") {
        return Err(wrong(
            "platform",
            &platform,
            "an address such as http://IP:PORT",
        ));
    }
    let secret = source.required("fleet-secret", flags.fleet_secret)?;
    if secret.len() < SECRET_BYTES_MIN {
        return Err(wrong("fleet-secret", "(hidden)", "16 bytes or more"));
    }
    let previous = source.optional("previous-fleet-secret", flags.previous_fleet_secret);
    let user = source.optional("endpoint-user", flags.endpoint_user);
    let fleet = source.optional("fleet", flags.fleet);
    Ok(Options {
        name: source.name("name", flags.name)?,
        zone: source.name("zone", flags.zone)?,
        listen: source.address("listen", flags.listen, "127.0.0.1:6432")?,
        peer: source.address("peer", flags.peer, "127.0.0.1:7000")?,
        admin: source.address("admin", flags.admin, "127.0.0.1:8000")?,
        platform: Arc::from(platform),
        fleet: Arc::from(fleet.unwrap_or_else(|| "yuccamount".to_owned())),
        fleet_secret: Arc::from(secret),
        previous_fleet_secret: previous.map(Arc::from),
        endpoint_user: Arc::from(user.unwrap_or_else(|| "yucca".to_owned())),
        endpoint_password: Arc::from(
            source.required("endpoint-password", flags.endpoint_password)?,
        ),
        admin_token_read: Arc::from(source.required("admin-token-read", flags.admin_token_read)?),
        admin_token_write: Arc::from(
            source.required("admin-token-write", flags.admin_token_write)?,
        ),
        tls: tls(
            source.optional("tls-cert", flags.tls_cert),
            source.optional("tls-key", flags.tls_key),
        )?,
        via: via(flags.via, source.optional("via", None))?,
        join: join(flags.join, source.optional("join", None))?,
        log_level: level(source.optional("log-level", flags.log_level))?,
    })
}

fn tls(cert: Option<String>, key: Option<String>) -> Result<Option<(PathBuf, PathBuf)>, Error> {
    match (cert, key) {
        (None, None) => Ok(None),
        (Some(cert), Some(key)) => Ok(Some((PathBuf::from(cert), PathBuf::from(key)))),
        (Some(cert), None) => Err(wrong("tls-cert", &cert, "only together with --tls-key")),
        (None, Some(key)) => Err(wrong("tls-key", &key, "only together with --tls-cert")),
    }
}

fn via(
    flags: Vec<String>,
    environment: Option<String>,
) -> Result<BTreeMap<Arc<str>, Arc<str>>, Error> {
    let mut map = BTreeMap::new();
    for pair in listed(flags, environment) {
        let Some((from, to)) = pair.split_once('=') else {
            return Err(wrong("via", &pair, "ADDRESS=OTHER"));
        };
        map.insert(check_address("via", from)?, check_address("via", to)?);
    }
    Ok(map)
}

fn join(flags: Vec<String>, environment: Option<String>) -> Result<Vec<Arc<str>>, Error> {
    listed(flags, environment)
        .iter()
        .map(|address| check_address("join", address))
        .collect()
}

/// Returns the values of a repeated flag, or those of its variable.
fn listed(flags: Vec<String>, environment: Option<String>) -> Vec<String> {
    if !flags.is_empty() {
        return flags;
    }
    let text = environment.unwrap_or_default();
    let parts = text.split(',').filter(|part| !part.is_empty());
    parts.map(str::to_owned).collect()
}

fn level(value: Option<String>) -> Result<log::LevelFilter, Error> {
    let Some(value) = value else {
        return Ok(log::LevelFilter::Info);
    };
    value
        .parse()
        .map_err(|_| wrong("log-level", &value, "error, warn, info, debug or trace"))
}

fn check_address(flag: &str, value: &str) -> Result<Arc<str>, Error> {
    match value.parse::<SocketAddr>() {
        Ok(_) => Ok(Arc::from(value)),
        Err(_) => Err(wrong(flag, value, "an IP number and a port, IP:PORT")),
    }
}

fn wrong(flag: &str, value: &str, allowed: &str) -> Error {
    Error::Flag {
        flag: format!("--{flag}"),
        value: value.to_owned(),
        allowed: allowed.to_owned(),
    }
}
