//! Finds out what a statement needs from its first words, and from the functions that it calls.

use crate::Kind;
use crate::Pin;
use crate::piece::Piece;
use crate::read;
use crate::setting;

/// Functions of advisory locks that outlive a transaction.
const LOCKS: [&str; 7] = [
    "pg_advisory_lock",
    "pg_advisory_lock_shared",
    "pg_advisory_unlock",
    "pg_advisory_unlock_all",
    "pg_advisory_unlock_shared",
    "pg_try_advisory_lock",
    "pg_try_advisory_lock_shared",
];
/// Functions that answer from the state that an earlier statement left on its connection.
const SEQUENCE_STATE: [&str; 2] = ["currval", "lastval"];
/// Words before `TEMP` in statements that create something.
const BEFORE_TEMP: [&str; 5] = ["CREATE", "REPLACE", "LOCAL", "GLOBAL", "INTO"];

/// Finds out what a statement needs.
pub fn classify(piece: &Piece) -> Kind {
    let kind = by_first_word(piece);
    if !matches!(kind, Kind::Read | Kind::Write) {
        return kind;
    }
    if piece.calls(&SEQUENCE_STATE) {
        return refused("currval and lastval depend on the connection; use INSERT ... RETURNING");
    }
    match pin(piece) {
        Some(pin) => Kind::Pin(pin),
        None => kind,
    }
}

fn by_first_word(piece: &Piece) -> Kind {
    match &*piece.word(0) {
        "BEGIN" => begin(piece),
        "START" if piece.word(1) == "TRANSACTION" => begin(piece),
        "COMMIT" | "END" => commit(piece),
        "ROLLBACK" | "ABORT" => rollback(piece),
        "SAVEPOINT" | "RELEASE" => Kind::Savepoint,
        "SET" => setting::set(piece),
        "RESET" => setting::reset(piece),
        "SHOW" => setting::show(piece),
        "DISCARD" => Kind::SessionSet { local: false },
        "COPY" => refused("COPY is not served; use INSERT with several rows"),
        "LISTEN" | "UNLISTEN" => refused("LISTEN is not served; poll a table"),
        "PREPARE" if piece.word(1) == "TRANSACTION" => two_phase(),
        "PREPARE" | "EXECUTE" | "DEALLOCATE" => Kind::Pin(Pin::Prepare),
        "DECLARE" if piece.has_words(&["WITH", "HOLD"]) => Kind::Pin(Pin::Cursor),
        "LOAD" => Kind::Pin(Pin::Setting),
        "DO" => anonymous_block(piece),
        _ if read::is_read(piece) => Kind::Read,
        _ => Kind::Write,
    }
}

fn begin(piece: &Piece) -> Kind {
    // A replica cannot run a serializable transaction.
    let serializable = piece.has_words(&["SERIALIZABLE"]);
    Kind::Begin {
        read_only: piece.has_words(&["READ", "ONLY"]) && !serializable,
    }
}

fn commit(piece: &Piece) -> Kind {
    if piece.word(1) == "PREPARED" {
        return two_phase();
    }
    if chains(piece) {
        return refused("AND CHAIN is not served; send BEGIN after COMMIT");
    }
    Kind::Commit
}

fn rollback(piece: &Piece) -> Kind {
    if piece.word(1) == "PREPARED" {
        return two_phase();
    }
    if piece.has_words(&["TO"]) {
        return Kind::Savepoint;
    }
    if chains(piece) {
        return refused("AND CHAIN is not served; send BEGIN after ROLLBACK");
    }
    Kind::Rollback
}

fn chains(piece: &Piece) -> bool {
    piece.has_words(&["AND", "CHAIN"])
}

fn two_phase() -> Kind {
    refused("two-phase commit is not served; use COMMIT")
}

/// Returns what a `DO` block needs; its body is a string, so its whole text is searched.
fn anonymous_block(piece: &Piece) -> Kind {
    let text = piece.text.to_lowercase();
    if text.contains("advisory") {
        return Kind::Pin(Pin::AdvisoryLock);
    }
    if text.contains("temp") {
        return Kind::Pin(Pin::TempTable);
    }
    let sets = ["set", "prepare", "listen", "hold"];
    if sets.iter().any(|word| text.contains(word)) {
        return Kind::Pin(Pin::Setting);
    }
    Kind::Write
}

/// Returns the state that a statement leaves on its connection.
fn pin(piece: &Piece) -> Option<Pin> {
    if piece.calls(&LOCKS) {
        return Some(Pin::AdvisoryLock);
    }
    if piece.calls(&["set_config"]) {
        return Some(Pin::Setting);
    }
    let names_temp = (1..piece.tokens.len()).any(|index| {
        let before = piece.word(index - 1);
        match &*piece.word(index) {
            "TEMP" | "TEMPORARY" => BEFORE_TEMP.contains(&&*before),
            "PG_TEMP" => true,
            _ => false,
        }
    });
    names_temp.then_some(Pin::TempTable)
}

/// Returns the refusal of a feature.
pub fn refused(why: &'static str) -> Kind {
    Kind::Refused { code: "0A000", why }
}
