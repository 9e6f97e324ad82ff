//! Which slices of all accounts this instance holds, by one leased row an instance.

mod elector;
mod plan;
mod requests;
mod row;
mod share;
mod tenure;
mod transaction;
mod view;

pub use row::EPOCH_KEY;
pub use row::Member;
pub use row::ROW_PREFIX;
pub use row::Row;
pub(super) use share::Share;
pub use view::Holder;
