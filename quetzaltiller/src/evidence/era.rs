//! What the return of the store from an older copy did, over all entry VMs.

use super::Line;
use serde::Serialize;
use std::collections::BTreeMap;

/// Change to one era of the store.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct EraChange {
    /// New era.
    pub era: u64,
    /// Number of entry VMs that saw it.
    pub vms: u64,
    /// Highest version that one of them knew before, as `era.revision`.
    pub from: String,
    /// Lowest version that one of them read first, as `era.revision`.
    pub to: String,
    /// Seconds from the first entry VM that saw it to the last.
    pub spread_s: u32,
    /// Highest number of upstreams that an entry VM kept although the copy lacked them.
    pub kept: u64,
    /// Highest number of upstreams that an entry VM disputed.
    pub disputed: u64,
    /// Number of announcements that were written again.
    pub announcements: u64,
}

impl EraChange {
    /// Changes of the era in the lines of all entry VMs, in order.
    pub fn all(lines: &[Line]) -> Vec<Self> {
        let mut changes: BTreeMap<u64, Vec<&Line>> = BTreeMap::new();
        for line in lines.iter().filter(|line| line.event == "store_era_changed") {
            changes.entry(line.number("era").unwrap_or_default()).or_default().push(line);
        }
        let again: Vec<_> =
            lines.iter().filter(|line| line.event == "announcement_repeated").collect();
        let change = |(era, seen): (u64, Vec<&Line>)| {
            let highest =
                |key: &str| seen.iter().filter_map(|line| line.number(key)).max().unwrap_or(0);
            let version = |line: &&Line, era: &str, revision: &str| {
                Some((line.number(era)?, line.number(revision)?))
            };
            let from = seen.iter().filter_map(|line| version(line, "from_era", "from_revision"));
            let to = seen.iter().filter_map(|line| version(line, "era", "revision"));
            let seconds = || seen.iter().filter_map(|line| line.second());
            let (first, last) = (seconds().min(), seconds().max());
            Self {
                era,
                vms: seen.len() as u64,
                from: text(from.max()),
                to: text(to.min()),
                spread_s: last.unwrap_or_default() - first.unwrap_or_default(),
                kept: highest("kept"),
                disputed: highest("disputed"),
                announcements: again.iter().filter(|line| line.number("era") == Some(era)).count()
                    as u64,
            }
        };
        changes.into_iter().map(change).collect()
    }
}

fn text(version: Option<(u64, u64)>) -> String {
    version.map_or_else(|| "-".to_owned(), |(era, revision)| format!("{era}.{revision}"))
}
