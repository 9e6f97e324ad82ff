//! The command line and the environment.

use std::ffi::OsString;
use std::path::PathBuf;
use std::time::Duration;

use ::timeline::Kind;
use admin::Filter;

use crate::Command;
use crate::Error;
use crate::Options;

/// The addresses of the administration interfaces, with commas between them.
const ADMIN_VARIABLE: &str = "YUCCAMOUNT_ADMIN";
/// The operator's token.
const TOKEN_VARIABLE: &str = "YUCCAMOUNT_TOKEN";
/// How long to wait for a change to be in force, unless it is given.
const WAIT_TIMEOUT_S: u64 = 30;

xflags::xflags! {
    /// Administers yuccamount.
    ///
    /// Settings come from options or, for the first two, from the environment: YUCCAMOUNT_ADMIN
    /// and YUCCAMOUNT_TOKEN.
    ///
    /// Each change has an id, which is printed before it is sent. The same command with --id ID
    /// tells what became of the change, and never makes it twice.
    ///
    /// Exit codes: 0 done; 1 refused, nothing was done; 2 wrong usage; 3 conflict with another
    /// change, nothing was done; 4 not done for now, try again later; 5 unknown whether the change
    /// was accepted, repeat with its id; 6 accepted, but not in force everywhere in time; 7 no
    /// instance could be reached, nothing was done; 8 the token does not allow it.
    cmd yuccactl {
        /// Address of an administration interface, as IP:PORT; give several for more instances.
        repeated --admin address: String
        /// The operator's token.
        optional --token token: String
        /// Print JSON, for programs.
        optional --json
        /// After a change, wait until it is in force on all instances.
        optional --wait
        /// Seconds to wait at most with --wait, 30 if not given.
        optional --timeout seconds: u64
        /// The id of the change, to repeat one or to choose it.
        optional --id id: String
        /// The revision that the change is made against, the present one if not given.
        optional --base revision: u64
        /// Only check the change.
        optional --dry-run

        /// The tree of settings.
        cmd tree {
            /// Prints the tree in force.
            cmd get {
                /// Only this part of it, with / between names.
                optional path: String
            }
            /// Replaces the whole tree by that of a file, in one change.
            cmd apply {
                /// A JSON file with the whole tree; - reads from standard input.
                required file: PathBuf
            }
            /// Prints what apply would change.
            cmd diff {
                /// A JSON file with the whole tree; - reads from standard input.
                required file: PathBuf
            }
        }
        /// Sets one value of the tree.
        cmd set {
            /// Where, with / between names, such as accounts/club/values/rate_per_s.
            required path: String
            /// The value as JSON, or a text; null removes what is there.
            required value: String
        }
        /// The keys of client accounts.
        cmd key {
            /// Makes a key and prints it, this once.
            cmd grant {
                /// The client account.
                required account: String
            }
            /// Withdraws a key.
            cmd withdraw {
                /// The client account.
                required account: String
                /// The key's id.
                required key: String
            }
        }
        /// Tells what became of a change and where it is in force.
        cmd change {
            /// The change's id.
            required change: String
        }
        /// Lists the database groups.
        cmd groups {}
        /// Moves a group's primary role to another server.
        cmd handover {
            /// The group.
            required group: String
        }
        /// Sends nothing more to the servers of an availability zone.
        cmd evacuate {
            /// Take the evacuation back.
            optional --undo
            /// The zone.
            required zone: String
        }
        /// Lists the availability zones: their servers, their primaries, which are evacuated.
        cmd status {}
        /// Lists the instances.
        cmd instances {}
        /// Lists the database servers as one instance sees them.
        cmd endpoints {}
        /// Lists the sessions of all instances given by --admin.
        cmd sessions {}
        /// Prints the events of all instances given by --admin, in order.
        cmd timeline {
            /// Go on printing events as they come.
            optional --follow
            /// Only events of this kind.
            optional --kind kind: String
            /// Only events of this group.
            optional --group group: String
            /// Only events of this account.
            optional --account account: String
            /// Only events of this change.
            optional --change change: String
            /// Only events of this request.
            optional --request request: String
            /// Only events later than this, in milliseconds since the Unix epoch.
            optional --after milliseconds: u64
        }
    }
}

/// Reads the command line; `environment` returns a variable's value.
pub(crate) fn parse(
    arguments: Vec<OsString>,
    environment: impl Fn(&str) -> Option<String>,
) -> Result<Options, xflags::Error> {
    let flags = Yuccactl::from_vec_(arguments)?;
    let mut admin = flags.admin;
    if admin.is_empty() {
        let listed = environment(ADMIN_VARIABLE).unwrap_or_default();
        let addresses = listed.split(',').filter(|address| !address.is_empty());
        admin.extend(addresses.map(|address| address.trim().to_owned()));
    }
    let token = flags.token.or_else(|| environment(TOKEN_VARIABLE));
    if admin.is_empty() {
        return Err(usage(format!(
            "give --admin IP:PORT or set {ADMIN_VARIABLE}"
        )));
    }
    let token = token.ok_or_else(|| usage(format!("give --token or set {TOKEN_VARIABLE}")))?;
    Ok(Options {
        admin,
        token,
        is_json: flags.json,
        is_waiting: flags.wait,
        wait_timeout: Duration::from_secs(flags.timeout.unwrap_or(WAIT_TIMEOUT_S)),
        id: flags.id,
        base: flags.base,
        is_dry_run: flags.dry_run,
        command: command(flags.subcommand)?,
    })
}

impl Options {
    /// Reads a command line; `environment` returns a variable's value.
    pub fn parse(
        arguments: &[&str],
        environment: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, Error> {
        let arguments = arguments.iter().map(Into::into).collect();
        Ok(parse(arguments, environment)?)
    }
}

fn command(flags: YuccactlCmd) -> Result<Command, xflags::Error> {
    Ok(match flags {
        YuccactlCmd::Tree(tree) => match tree.subcommand {
            TreeCmd::Get(get) => Command::TreeGet { path: get.path },
            TreeCmd::Apply(apply) => Command::TreeApply { file: apply.file },
            TreeCmd::Diff(diff) => Command::TreeDiff { file: diff.file },
        },
        YuccactlCmd::Set(set) => Command::Set {
            path: set.path,
            value: set.value,
        },
        YuccactlCmd::Key(key) => match key.subcommand {
            KeyCmd::Grant(grant) => Command::KeyGrant {
                account: grant.account,
            },
            KeyCmd::Withdraw(withdraw) => Command::KeyWithdraw {
                account: withdraw.account,
                key: withdraw.key,
            },
        },
        YuccactlCmd::Change(change) => Command::Change { id: change.change },
        YuccactlCmd::Groups(_) => Command::Groups,
        YuccactlCmd::Handover(handover) => Command::Handover {
            group: handover.group,
        },
        YuccactlCmd::Evacuate(evacuate) => Command::Evacuate {
            zone: evacuate.zone,
            is_undo: evacuate.undo,
        },
        YuccactlCmd::Status(_) => Command::Status,
        YuccactlCmd::Instances(_) => Command::Instances,
        YuccactlCmd::Endpoints(_) => Command::Endpoints,
        YuccactlCmd::Sessions(_) => Command::Sessions,
        YuccactlCmd::Timeline(timeline) => Command::Timeline {
            is_following: timeline.follow,
            filter: filter(timeline)?,
        },
    })
}

fn filter(flags: Timeline) -> Result<Filter, xflags::Error> {
    let kind = flags.kind.map(|kind| kind.parse::<Kind>()).transpose();
    let kind = kind.map_err(|_| usage("--kind: no such kind of event".to_owned()))?;
    Ok(Filter {
        after_ms: flags.after,
        kind,
        group: flags.group,
        account: flags.account,
        change: flags.change,
        request: flags.request,
        ..Filter::default()
    })
}

fn usage(text: String) -> xflags::Error {
    xflags::Error::new(format!("{text}; see --help"))
}

impl From<xflags::Error> for Error {
    fn from(error: xflags::Error) -> Self {
        Self::Usage {
            why: error.to_string(),
        }
    }
}
