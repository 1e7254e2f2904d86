//! Parts of prompts that crash each engine which begins to answer them.

mod ledger;
mod record;
mod verdicts;

pub use ledger::Ledger;
pub use record::Record;
pub use verdicts::Verdicts;
