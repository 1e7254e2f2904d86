//! Requests that crash each upstream which begins to run them, and parts of prompts that do so.
//!
//! A prompt consists of parts, which other prompts may share. The only evidence is an upstream that
//! ended while an answer began: the request is suspected, and all parts of its prompt, save those
//! whose answers settled lately, that is, went on for longer than a crash would let them. VMs share
//! one [`Record`] for each suspected subject through the store. A [`Ledger`] holds the records that
//! one VM knows and what it alone has seen.
//!
//! A part is condemned once several engines have crashed under it at distinct moments and most
//! engines that crashed then did so under this part. Where others crash as well, as when a zone is
//! lost, it takes more moments; and a part that one request alone brings is not at fault. Parts that only accompany the one at fault share its crashes: a
//! condemned part does not cause a refusal where a part that the request lacks explains its crashes.
//!
//! A request is condemned by three crashes, as it would be too late once it has crashed replicas at
//! several moments, or by four where others crash as well. It is suspected only if it was not
//! answered lately, and refused unless other condemned subjects account for all of its crashes.
//!
//! A part whose answers settle is acquitted, which begins a new round of its record: of two copies
//! the one of the later round holds, and crashes of one round add up. So copies may come late, twice
//! or from a store that went back in time. To acquit a condemned part takes two answers that settle
//! at distinct times, as a delayed connection may make an answer seem settled after its engine has
//! crashed. A request is acquitted by one answer.
//!
//! ```
//! use coordination::quarantine::{Ledger, Subject};
//! use std::time::Duration;
//!
//! let [system_prompt, document, other] = [1, 2, 3].map(Subject::Part);
//! let mut ledger = Ledger::new();
//! for n in 0..4 {
//!     let now = Duration::from_millis(700 * n);
//!     let changed = ledger.record_crash(now, &[system_prompt, document], &format!("engine-{n}"));
//!     assert_eq!(changed, [system_prompt, document]);
//! }
//! let verdicts = ledger.verdicts();
//! assert_eq!(verdicts.refused(&[system_prompt, document]), Some(document));
//! assert_eq!(verdicts.refused(&[system_prompt, other]), None);
//! ```

mod entry;
mod explanation;
mod ledger;
mod outages;
mod record;
mod settlements;
mod subject;
mod verdicts;

pub use ledger::Ledger;
pub use record::Record;
pub use subject::Subject;
pub use verdicts::Verdicts;
