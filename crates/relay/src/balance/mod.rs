//! Placement of reads: which server of a group a read is sent to. There is no I/O in it.

mod average;
mod balance;
mod candidate;
mod loads;
mod record;
mod standing;

pub use average::Average;
pub use balance::Balance;
pub use balance::Change;
pub use candidate::Candidate;
pub use loads::Counts;
pub use loads::LOADS_AGE_MAX;
pub use loads::LOADS_HALF_LIFE;
pub use loads::Loads;
pub use loads::largest;
pub use record::Record;
pub use record::Summary;
pub use standing::Standing;
pub use standing::State;
