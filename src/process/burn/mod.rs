//! Error budgets of the classes of all contracts, and reports on their use.

#[allow(clippy::module_inception)]
mod burn;
mod html;
mod merge;
mod ring;
mod table;

pub use burn::{ErrorBudgets, MAX_CLASSES};
pub use html::html;
pub use merge::merge;
pub use table::table;
