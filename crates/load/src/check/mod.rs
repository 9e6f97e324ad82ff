//! What must hold, checked against what callers saw and what the database kept.

mod breach;
mod database;
mod floor;
mod grants;
mod history;

pub use breach::Breach;
pub use breach::Violation;
pub use database::Kept;
pub use database::read_kept;
pub use floor::Floor;
pub use grants::check_grants;
pub use history::check_history;
