//! Assignment of slices to instances, through one leased table row per instance.

mod elector;
mod holders;
mod inquiry;
mod lease;
mod manager;
mod plan;
mod requests;
mod row;
mod transaction;
mod view;

pub(super) use manager::Manager;
pub use row::EPOCH_KEY;
pub use row::Member;
pub use row::ROW_PREFIX;
pub use row::Row;
pub use row::registered;
pub use view::Holder;
