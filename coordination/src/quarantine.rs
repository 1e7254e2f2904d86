//! Parts of prompts that crash each engine which begins to answer them.

mod entry;
mod ledger;
mod outages;
mod record;
mod settlements;
mod verdicts;

pub use ledger::Ledger;
pub use record::Record;
pub use verdicts::Verdicts;
