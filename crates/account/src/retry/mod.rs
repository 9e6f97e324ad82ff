//! Retry budgets, which keep retries from amplifying an overload.

mod budget;
mod budgets;

pub use budget::Budget;
pub use budgets::Budgets;
pub use budgets::Policy;
