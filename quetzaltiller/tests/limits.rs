//! Tests of limits that upstreams state for all entry VMs together: the tables of 4, 27 and 118
//! entry VMs choose upstreams under pressure, without I/O.

use quetzaltiller::control::Member;
use quetzaltiller::control::Version;
use quetzaltiller::fleet::{Change, Directory};
use quetzaltiller::placement::{Choice, Demand, Peer, Run, Table};
use quetzaltiller::routes;
use quetzaltiller::upstream::Limit;
use rstest::rstest;
use standin::site::{ZONES, configuration, engine, replica};
use std::sync::Arc;
use std::time::Duration;

const START: Duration = Duration::from_secs(100);
const STEP: Duration = Duration::from_millis(20);
const STEPS_PER_S: usize = 50;
/// Time from a request to the head of its answer.
const ANSWER_DELAY: Duration = Duration::from_millis(40);

fn directory() -> Directory {
    let mut directory = Directory::default();
    let listed = ZONES.iter().enumerate().flat_map(|(z, zone)| {
        let number = 100 + z as u8;
        [
            Change::Set(replica(&format!("desk-{zone}"), zone, number)),
            Change::Set(engine(&format!("engine-{zone}"), zone, number + 50)),
        ]
    });
    directory.apply(Version { era: 0, revision: 1 }, listed.collect());
    directory
}

fn table(name: &str, zone: &str) -> Table {
    let mut table = Table::new(name, zone);
    table.configure(Arc::new(routes::Table::from(configuration(1))));
    table.set_upstreams(START, &directory());
    table
}

fn member(number: usize) -> Member {
    let name = format!("entry-{number}");
    let zone = ZONES[number % ZONES.len()].to_owned();
    Member { peer_address: name.clone(), name, zone }
}

/// Tells a table that the entry VMs `alive` of `known` are there.
fn introduce(table: &mut Table, now: Duration, known: &[usize], alive: &[usize]) {
    let own = table.own_name().to_owned();
    let others = |numbers: &[usize]| -> Vec<Member> {
        numbers.iter().map(|n| member(*n)).filter(|member| member.name != own).collect()
    };
    let peer = |member: Member| Peer {
        name: member.name,
        zone: member.zone,
        address: member.peer_address,
        leaving: false,
    };
    table.set_members(now, others(alive).into_iter().map(peer).collect());
    table.set_known(now, others(known));
}

fn tables(count: usize) -> Vec<Table> {
    let all: Vec<_> = (0..count).collect();
    let create = |number: &usize| {
        let own = member(*number);
        let mut table = table(&own.name, &own.zone);
        introduce(&mut table, START, &all, &all);
        table
    };
    all.iter().map(create).collect()
}

fn lookup() -> Demand {
    Demand { service: "desk".to_owned(), ..Demand::default() }
}

/// Run of a generation that resumes earlier work.
fn resumed(number: u64) -> Demand {
    let run = Run { prompt_tokens: 100, footprint: 200, affinity: number, ..Run::default() };
    Demand { service: "drafts".to_owned(), run: Some(run), ..Demand::default() }
}

/// Upstream that states a limit, and the requests that it got in each step.
struct Limited {
    id: &'static str,
    limit: Limit,
    arrivals: Vec<u32>,
    answers: Vec<(Duration, usize)>,
}

impl Limited {
    fn new(id: &'static str, limit: f64) -> Self {
        let limit = Limit::PerSecond(limit);
        Self { id, limit, arrivals: Vec::new(), answers: Vec::new() }
    }

    /// Lets every table in `pressing` choose once and hands out the answers that are due.
    fn step(&mut self, now: Duration, tables: &mut [Table], pressing: &[usize], demand: &Demand) {
        let (due, waiting): (Vec<_>, Vec<_>) =
            self.answers.drain(..).partition(|(sent_at, _)| *sent_at + ANSWER_DELAY <= now);
        self.answers = waiting;
        for (sent_at, at) in due {
            tables[at].record_limit(now, self.id, sent_at, self.limit);
        }
        let mut arrived = 0;
        for at in pressing {
            self.settle_loan(now, tables, *at, demand);
            if let Choice::Found(assignment) = tables[*at].choose(now, demand) {
                let allocations = tables[*at].begin(now, &assignment, demand.run.as_ref());
                allocations.iter().for_each(|allocation| tables[*at].release(allocation));
                if assignment.upstream.id == self.id {
                    arrived += 1;
                    self.answers.push((now, *at));
                }
            }
        }
        self.arrivals.push(arrived);
    }

    /// Asks for a loan as the task does where nothing is open; the answer comes at once.
    fn settle_loan(&self, now: Duration, tables: &mut [Table], at: usize, demand: &Demand) {
        if matches!(tables[at].choose(now, demand), Choice::Found(_)) {
            return;
        }
        let Some((lender, id)) = tables[at].loan(now, &demand.service, None) else {
            return;
        };
        let holder = tables.iter_mut().find(|table| table.own_name() == lender).unwrap();
        if holder.lend(now, &id) {
            tables[at].borrow(now, &id);
        }
    }

    fn most_in_four_seconds(&self, since: usize) -> u32 {
        let windows = self.arrivals[since..].windows(4 * STEPS_PER_S);
        windows.map(|window| window.iter().sum()).max().unwrap()
    }
}

/// Exchanges statements between the entry VMs of a group.
fn gossip(now: Duration, tables: &mut [Table], group: &[usize]) {
    for from in group {
        let statements = tables[*from].statements(now);
        for to in group {
            for (id, statement) in &statements {
                tables[*to].apply_statement(now, id, statement);
            }
        }
    }
}

/// Every entry VM would use the limited upstream alone: the others are lost or leaving.
fn withdraw_others(tables: &mut [Table], id: &str) {
    for table in tables {
        let others: Vec<_> = table.states().keys().filter(|known| *known != id).cloned().collect();
        others.iter().for_each(|other| {
            table.state_mut(other).unwrap().record_departure();
        });
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Cut {
    None,
    /// Half of the entry VMs hear nothing of the others.
    Halves,
    /// Nobody hears of anybody.
    All,
    /// Half of the entry VMs start in the middle and learn of the others half a second later.
    Starting,
}

#[rstest]
fn an_upstream_gets_its_limit_once_from_all_entry_vms(
    #[values(4, 27, 118)] count: usize,
    #[values(0.5, 4.5, 40.0)] limit: f64,
    #[values(Cut::None, Cut::Halves, Cut::All, Cut::Starting)] cut: Cut,
    #[values(lookup(), resumed(1))] demand: Demand,
) {
    let id = if demand.run.is_some() { "engine-a" } else { "desk-a" };
    let mut tables = tables(count);
    withdraw_others(&mut tables, id);
    let all: Vec<_> = (0..count).collect();
    let halves = [all[..count / 2].to_vec(), all[count / 2..].to_vec()];
    let mut upstream = Limited::new(id, limit);

    for step in 0..20 * STEPS_PER_S {
        let now = START + STEP * step as u32;
        if step == 5 * STEPS_PER_S {
            for at in &all {
                let group = match cut {
                    Cut::None | Cut::Starting => &all,
                    Cut::Halves => &halves[usize::from(*at >= count / 2)],
                    Cut::All => &vec![*at],
                };
                introduce(&mut tables[*at], now, &all, group);
            }
            if cut == Cut::Starting {
                for at in &halves[0] {
                    let own = member(*at);
                    tables[*at] = table(&own.name, &own.zone);
                }
                withdraw_others(&mut tables, id);
            }
        }
        if cut == Cut::Starting && step == 5 * STEPS_PER_S + 25 {
            halves[0].iter().for_each(|at| introduce(&mut tables[*at], now, &all, &all));
        }
        if step % 20 == 0 {
            match cut {
                Cut::Halves if step > 5 * STEPS_PER_S => {
                    halves.iter().for_each(|half| gossip(now, &mut tables, half));
                }
                Cut::All if step > 5 * STEPS_PER_S => {}
                _ => gossip(now, &mut tables, &all),
            }
        }
        upstream.step(now, &mut tables, &all, &demand);
    }

    // The users' rule, from 3 s after the limit is first stated: one and a half times what it
    // allows, and 5 requests. Entry VMs that start know no limit until they are told.
    let allowed = (1.5 * limit * 4.0) as u32 + 5;
    let untold = if cut == Cut::Starting { 3 * count as u32 / 2 } else { 0 };
    let most = upstream.most_in_four_seconds(3 * STEPS_PER_S);
    assert!(most <= allowed + untold, "{most} in 4 s, {allowed} allowed");
    let total: u32 = upstream.arrivals[8 * STEPS_PER_S..].iter().sum();
    assert!(f64::from(total) + 1.0 >= 0.07 * limit * 12.0, "starved: {total} in 12 s");
}

/// All callers are at entry VMs that have no part of the limit, and those with a part have none.
#[rstest]
fn entry_vms_without_a_part_borrow_from_those_that_have_one(
    #[values(27, 118)] count: usize,
    #[values(0.5, 4.5)] limit: f64,
) {
    let mut tables = tables(count);
    withdraw_others(&mut tables, "desk-a");
    let all: Vec<_> = (0..count).collect();
    let outside: Vec<_> = all.iter().copied().filter(|n| n % ZONES.len() != 0).collect();
    let mut upstream = Limited::new("desk-a", limit);

    for step in 0..20 * STEPS_PER_S {
        let now = START + STEP * step as u32;
        if step % 20 == 0 {
            gossip(now, &mut tables, &all);
        }
        upstream.step(now, &mut tables, &outside, &lookup());
    }

    let allowed = (1.5 * limit * 4.0) as u32 + 5;
    let most = upstream.most_in_four_seconds(3 * STEPS_PER_S);
    assert!(most <= allowed, "{most} in 4 s, {allowed} allowed");
    let total: u32 = upstream.arrivals[5 * STEPS_PER_S..].iter().sum();
    assert!(f64::from(total) + 1.0 >= 0.5 * limit * 15.0, "starved: {total} in 15 s");
}

/// A lent request that is not sent would add up with those of other entry VMs.
#[test]
fn a_lent_request_is_sent_once_and_soon_or_not_at_all() {
    let mut table = table("entry-0", "a");
    let at = |ms| START + Duration::from_millis(ms);
    table.record_limit(at(0), "desk-a", at(0), Limit::PerSecond(3.0));
    let limit = &mut table.state_mut("desk-a").unwrap().limit;

    limit.borrow(at(100));
    let soon = limit.may_send(at(200));
    let late = limit.may_send(at(700));
    limit.borrow(at(800));
    limit.withdraw(at(810));
    let twice = limit.may_send(at(820));

    assert!(soon && !late && !twice);
}

/// Only an answer shows that a limit has ended, so that one of zero would last for ever.
#[test]
fn a_limit_of_zero_lets_a_request_through_now_and_then() {
    let mut table = table("entry-0", "a");
    table.mark_members_listed(START);
    table.record_limit(START, "desk-a", START, Limit::PerSecond(0.0));

    let open = |ms| table.is_open(START + Duration::from_millis(ms), "desk-a");

    assert!(!open(3_000) && open(4_001));
}

/// Guards against entry VMs that never learn that a limit has ended because they have no part of it
/// and send nothing.
#[rstest]
fn the_end_of_a_limit_is_known_to_all_entry_vms(#[values(4, 27, 118)] count: usize) {
    let mut tables = tables(count);
    let all: Vec<_> = (0..count).collect();
    let mut upstream = Limited::new("desk-a", 4.5);
    let mut play = |upstream: &mut Limited, from: usize, to: usize| {
        for step in from * STEPS_PER_S..to * STEPS_PER_S {
            let now = START + STEP * step as u32;
            if step % 20 == 0 {
                gossip(now, &mut tables, &all);
            }
            upstream.step(now, &mut tables, &all, &lookup());
        }
        tables.iter().filter(|t| t.states()["desk-a"].limit.per_second().is_some()).count()
    };

    let limited = play(&mut upstream, 0, 5);
    upstream.limit = Limit::Unlimited;
    let still_limited = play(&mut upstream, 5, 8);

    assert_eq!(limited, count);
    assert_eq!(still_limited, 0);
}

/// The request was sent before the replica stated its limit; a slow answer overtaken by others
/// would end the limit.
#[test]
fn an_answer_to_an_earlier_request_does_not_end_a_limit() {
    let mut table = table("entry-0", "a");
    let at = |ms| START + Duration::from_millis(ms);
    table.record_limit(at(50), "desk-a", at(20), Limit::PerSecond(3.0));

    let by_late = table.record_limit(at(900), "desk-a", at(10), Limit::Unlimited);
    let by_next = table.record_limit(at(910), "desk-a", at(60), Limit::Unlimited);

    assert!(!by_late && by_next);
}

/// An entry VM that has just started and is cut off from the store and the others would take itself
/// for the only one.
#[test]
fn an_entry_vm_that_knows_no_others_sends_nothing_until_the_store_has_listed_them() {
    let mut table = table("entry-0", "a");
    table.record_limit(START, "desk-a", START, Limit::PerSecond(4.0));
    let later = START + Duration::from_secs(2);

    let before = table.is_open(later, "desk-a");
    table.mark_members_listed(later);
    let after = table.is_open(later + Duration::from_secs(1), "desk-a");

    assert!(!before && after);
}

#[test]
fn callers_refused_by_limits_are_told_to_return_one_after_the_other() {
    let mut table = table("entry-0", "a");
    table.mark_members_listed(START);
    for id in ["desk-a", "desk-b", "desk-c"] {
        table.record_limit(START, id, START, Limit::PerSecond(2.0));
    }

    let refused = matches!(table.choose(START, &lookup()), Choice::Full { .. });
    let offers: Vec<_> = (0..3).map(|_| table.offer(START, "desk").unwrap().as_millis()).collect();

    assert!(refused);
    assert_eq!(offers, [500, 1_000, 1_500]);
}

/// An incarnation that has restarted under its id knows nothing of the limit before.
#[test]
fn a_statement_of_another_incarnation_is_ignored() {
    let mut first = table("entry-0", "a");
    first.record_limit(START, "desk-a", START, Limit::PerSecond(4.0));
    let mut second = table("entry-1", "b");
    let mut statement = first.statements(START)["desk-a"];
    statement.incarnation += 1;

    let applied = second.apply_statement(START, "desk-a", &statement);

    assert!(!applied && second.is_open(START, "desk-a"));
}
