//! Condemned subjects whose crashes others account for.
//!
//! A part that was only present shares all but one of its crashes with the part at fault. A request
//! that was only present shares all of them, with one part or with several requests; all but one if
//! it was acquitted before. Where requests explain each other, one that alone has some crash holds,
//! then one that was acquitted less often, then the one with more crashes: the other gets a crash of
//! its own should it be at fault too.

use super::{Record, Subject};
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BTreeSet};

/// By condemned subject that other requests don't explain, the parts that each explain it alone.
pub(super) fn explanations(
    condemned: &BTreeMap<Subject, &Record>,
) -> BTreeMap<Subject, BTreeSet<Subject>> {
    let (parts, requests) = condemned.iter().partition::<Vec<_>, _>(|(s, _)| !s.is_request());
    let parts_by_crash = subjects_by_crash(&parts);
    let requests_by_crash = subjects_by_crash(&requests);
    let is_alone = |(_, record): &(&Subject, &&Record)| {
        record.crashes().any(|crash| requests_by_crash[crash].len() == 1)
    };
    let alone = requests.iter().filter(|request| is_alone(request));
    let alone = alone.map(|(request, _)| **request).collect::<BTreeSet<_>>();
    let rank = |record: &Record| (Reverse(record.round()), record.crashes().len());
    let is_explained = |(subject, record): &(&Subject, &&Record)| {
        let was_acquitted = record.round() > 0;
        let holds = |other: &Subject| {
            let order = rank(condemned[other]).cmp(&rank(record));
            let is_alone = alone.contains(other) && condemned[other].round() == record.round();
            let is_before = order == Ordering::Equal && other < *subject;
            order == Ordering::Greater || (other != *subject && (is_alone || is_before))
        };
        let unexplained =
            record.crashes().filter(|crash| !requests_by_crash[crash].iter().any(holds));
        unexplained.count() <= usize::from(was_acquitted)
    };
    let requests = requests.iter().copied().filter(|request| !is_explained(request));
    let all = parts.iter().copied().chain(requests);
    let explaining = all.map(|(subject, record)| {
        let others = record.indicators().filter_map(|crash| parts_by_crash.get(crash)).flatten();
        let accounts = |other: &Subject| match subject {
            Subject::Part(_) => condemned[other].explains(record),
            Subject::Request(_) => record.is_covered_by(condemned[other]),
        };
        let others = others.filter(|other| *other != subject && accounts(other));
        (*subject, others.copied().collect())
    });
    explaining.collect()
}

fn subjects_by_crash<'a>(records: &[(&Subject, &&'a Record)]) -> BTreeMap<&'a str, Vec<Subject>> {
    let mut by_crash = BTreeMap::<_, Vec<_>>::new();
    for (subject, record) in records {
        for crash in record.crashes() {
            by_crash.entry(crash).or_default().push(**subject);
        }
    }
    by_crash
}
