//! Tests of the choice among upstreams under load and after losses, without I/O.

use quetzaltiller::control::Version;
use quetzaltiller::fleet::{Change, Directory, Upstream};
use quetzaltiller::placement::{
    Assignment, Booking, Choice, Demand, Load, Peer, Reported, Run, Table,
};
use quetzaltiller::routes;
use rstest::rstest;
use standin::site::{ZONES, configuration, engine};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);
const TOKENS: u32 = 9_000;

/// Table of an entry VM in zone a, with `engines` engines in each of three zones.
fn table(engines: usize) -> Table {
    let mut table = Table::new("entry-a", "a");
    table.configure(Arc::new(routes::Table::from(configuration(1))));
    table.set_upstreams(NOW, &directory(engines));
    table
}

fn directory(engines: usize) -> Directory {
    let mut directory = Directory::default();
    let listed = ZONES.iter().enumerate().flat_map(|(z, zone)| {
        (0..engines).map(move |n| (format!("engine-{zone}-{n}"), zone, z * 50 + n))
    });
    let changes =
        listed.map(|(id, zone, number)| Change::Set(engine(&id, zone, number as u8))).collect();
    directory.apply(Version { era: 0, revision: 1 }, changes);
    directory
}

fn demand(affinity: u64) -> Demand {
    let run = Run {
        prompt_tokens: 8_000,
        footprint: TOKENS,
        affinity,
        wants_backup: true,
        ..Run::default()
    };
    Demand { service: "drafts".to_owned(), run: Some(run), ..Demand::default() }
}

fn pick(table: &Table, now: Duration, demand: &Demand) -> Assignment {
    match table.choose(now, demand) {
        Choice::Found(pick) => pick,
        other => panic!("nothing found: {other:?}"),
    }
}

/// Places a run and records it as started.
fn place(table: &mut Table, now: Duration, affinity: u64) -> Assignment {
    let demand = demand(affinity);
    let pick = pick(table, now, &demand);
    table.begin(now, &pick, demand.run.as_ref());
    pick
}

/// After the loss of a zone, the others hold twice their usual copies. A copy in the zone of its
/// run would be lost together with the run.
#[test]
fn copies_go_to_another_zone_even_if_all_others_are_crowded() {
    let mut table = table(3);
    let lost: Vec<_> =
        table.states().keys().filter(|id| id.starts_with("engine-b")).cloned().collect();
    lost.iter().for_each(|id| assert!(table.state_mut(id).unwrap().mark_lost(NOW)));

    let picks: Vec<_> = (0..20).map(|n| place(&mut table, NOW, n)).collect();

    let zones = picks.iter().map(|pick| {
        (pick.upstream.zone.clone(), pick.backup.as_ref().map(|backup| backup.zone.clone()))
    });
    for (zone, copy) in zones {
        assert!(copy.as_ref().is_some_and(|copy| *copy != zone), "{zone} and {copy:?}");
    }
}

/// Callers return after all entry VMs were killed and a part of the engines was removed. The memory
/// holds 48 runs or copies; if each run got a copy, it would be full at 24 runs.
#[test]
fn copies_leave_room_for_runs_where_all_engines_are_crowded() {
    let mut table = table(2);

    let mut placed = Vec::new();
    let retry_after = loop {
        let mut demand = demand(placed.len() as u64);
        let with_long_objective =
            |run: Run| Run { objective: Some(Duration::from_secs(60)), ..run };
        demand.run = demand.run.map(with_long_objective);
        match table.choose(NOW, &demand) {
            Choice::Found(pick) => {
                table.begin(NOW, &pick, demand.run.as_ref());
                placed.push(pick);
            }
            Choice::Full { retry_after } => break retry_after,
            Choice::NoUpstream => panic!("engines are gone"),
        }
    };

    let copied = placed.iter().filter(|pick| pick.backup.is_some()).count();
    assert!(placed.len() >= 27, "{} runs, {copied} of them with a copy", placed.len());
    assert!(copied >= 18, "{} runs, {copied} of them with a copy", placed.len());
    // A run takes 5 s, and each engine has four or five.
    assert!(retry_after >= Duration::from_millis(900), "{retry_after:?}");
}

#[test]
fn no_copy_goes_to_an_address_whose_process_was_lost_and_not_seen_since() {
    let mut table = table(1);
    assert!(table.state_mut("engine-b-0").unwrap().mark_lost(NOW));
    let later = NOW + Duration::from_secs(60);

    let copies: Vec<_> = (0..20).map(|n| pick(&table, later, &demand(n)).backup).collect();

    assert!(copies.iter().flatten().all(|copy| copy.id != "engine-b-0"), "{copies:?}");
    assert!(copies.iter().flatten().count() > 0);
}

/// Tables of `entries` entry VMs in each zone that know each other, with `engines` engines in each
/// zone.
fn tables(entries: usize, engines: usize) -> Vec<Table> {
    let peers = || {
        let of_zone = |zone: &'static str| {
            (0..entries).map(move |n| Peer {
                name: format!("entry-{zone}-{n}"),
                zone: zone.to_owned(),
                address: format!("entry-{zone}-{n}"),
                leaving: false,
            })
        };
        ZONES.into_iter().flat_map(of_zone)
    };
    let table = |own: Peer| {
        let mut table = Table::new(&own.name, &own.zone);
        table.configure(Arc::new(routes::Table::from(configuration(1))));
        table.set_upstreams(NOW, &directory(engines));
        table.set_members(NOW, peers().filter(|peer| peer.name != own.name).collect());
        table
    };
    peers().map(table).collect()
}

/// Places a run as the task does. Bookings arrive at once; loads are not exchanged.
fn place_booked(tables: &mut [Table], at: usize, affinity: u64) -> Assignment {
    let demand = demand(affinity);
    let run = demand.run.clone().unwrap();
    for _ in 0..3 {
        let pick = pick(&tables[at], NOW, &demand);
        let Some(booking) = tables[at].booking(NOW, &pick, &run) else {
            tables[at].begin(NOW, &pick, Some(&run));
            return pick;
        };
        let registrar = tables.iter().position(|t| t.own_name() == booking.registrar).unwrap();
        let booked = tables[registrar].book(NOW, &booking).unwrap();
        let state = tables[at].state_mut(&booking.upstream).unwrap();
        state.apply_correction(NOW, booked.backlog, booked.memory);
        if booked.accepted {
            tables[at].begin(NOW, &pick, Some(&run));
            return pick;
        }
    }
    pick(&tables[at], NOW, &demand)
}

/// Two zones are lost and callers return to all entry VMs at once, before these know what the
/// others have placed in the third zone. Without bookings, many prompts would be placed on the same
/// engine.
#[test]
fn prompts_placed_at_once_by_many_entry_vms_do_not_pile_up_on_one_engine() {
    let mut tables = tables(8, 20);
    for table in &mut tables {
        let lost: Vec<_> =
            table.states().keys().filter(|id| !id.starts_with("engine-c")).cloned().collect();
        lost.iter().for_each(|id| assert!(table.state_mut(id).unwrap().mark_lost(NOW)));
    }

    let mut prompts: BTreeMap<String, u32> = BTreeMap::new();
    for n in 0..40_u64 {
        let at = n as usize % tables.len();
        let pick = place_booked(&mut tables, at, n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        *prompts.entry(pick.upstream.id.clone()).or_default() += 1;
    }

    let most = prompts.values().max().copied().unwrap_or_default();
    assert!(most <= 3, "{most} of 40 prompts met at one of 20 engines: {prompts:?}");
}

#[test]
fn each_engine_has_one_registrar_on_which_all_entry_vms_agree() {
    let tables = tables(4, 6);

    for id in tables[0].states().keys() {
        let upstream = tables[0].states()[id].upstream.clone();
        let pick = Assignment {
            upstream,
            backup: None,
            has_copy: false,
            wait: Duration::ZERO,
            uncontended: false,
        };
        let run = demand(1).run.unwrap();
        let registrars: BTreeSet<_> = tables
            .iter()
            .map(|table| match table.booking(NOW, &pick, &run) {
                Some(booking) => booking.registrar,
                None => table.own_name().to_owned(),
            })
            .collect();
        assert_eq!(registrars.len(), 1, "{id}: {registrars:?}");
    }
}

#[test]
fn a_registrar_declines_a_prompt_that_would_wait_longer_than_its_limit() {
    let mut table = table(1);
    let booking = booking(Duration::from_millis(200));

    let first = table.book(NOW, &booking).unwrap();
    let second = table.book(NOW, &booking).unwrap();
    let later = table.book(NOW + booking.prefill, &booking).unwrap();

    assert!(first.accepted && later.accepted);
    assert_eq!((second.accepted, second.backlog), (false, booking.prefill));
}

fn booking(limit: Duration) -> Booking {
    Booking {
        registrar: String::new(),
        upstream: "engine-a-0".to_owned(),
        prefill: Duration::from_secs(1),
        tokens: TOKENS,
        limit,
    }
}

/// Entry VMs of other zones place runs on an engine before it has reported any of them. Without the
/// bookings, the engine's memory would be overfilled.
#[test]
fn a_registrar_declines_a_run_that_would_find_no_room_in_memory() {
    let mut table = table(1);
    let booking = booking(Duration::from_secs(60));
    let nearly_empty = Reported { tokens: 9_000, requests: 1, unread: 0 };
    table.state_mut("engine-a-0").unwrap().record_report(NOW, nearly_empty);

    let accepted = (0..12).filter(|_| table.book(NOW, &booking).unwrap().accepted).count();

    // Nine tenths of 88,000 tokens may be filled; 9,000 are in use.
    assert_eq!(accepted, 7);
}

/// All engines are full, as after the loss of two zones. A resumed run, which has no objective, is
/// queued at an engine instead of being refused.
#[test]
fn a_resumed_run_is_placed_although_all_engines_are_full() {
    let mut table = table(1);
    let full = Reported { tokens: 88_000, requests: 10, unread: 0 };
    let ids: Vec<_> = table.states().keys().cloned().collect();
    ids.iter().for_each(|id| table.state_mut(id).unwrap().record_report(NOW, full));
    let mut new = demand(1);
    new.run.as_mut().unwrap().objective = Some(Duration::from_millis(4_500));

    let refused = table.choose(NOW, &new);
    let placed = table.choose(NOW, &demand(1));

    assert!(matches!(refused, Choice::Full { .. }), "{refused:?}");
    assert!(matches!(placed, Choice::Found(_)), "{placed:?}");
}

/// Engines are slower or faster than the initial speed. An entry VM learns their speed from prompts
/// that did not wait, within two prompts as well as after many.
#[rstest]
#[case::slower(2.0, 150)]
#[case::faster(40.0, 150)]
#[case::slower_at_once(2.0, 2)]
#[case::faster_at_once(40.0, 2)]
fn the_speed_of_engines_is_learned(#[case] tokens_per_ms: f64, #[case] prompts: u32) {
    let mut table = table(1);
    let took = Duration::from_secs_f64(8_000.0 / tokens_per_ms / 1_000.0);

    (0..prompts).for_each(|_| table.observe_prefill(8_000, took));
    let expected = pick(&table, NOW, &demand(1)).wait;

    let ratio = expected.as_secs_f64() / took.as_secs_f64();
    assert!((0.9..1.1).contains(&ratio), "{expected:?} for {took:?}");
}

/// Callers repeat requests whose prompts engines still have cached. Their short prefill times would
/// make engines look faster than they are.
#[test]
fn a_cached_prompt_does_not_change_the_measured_speed_of_engines() {
    let mut table = table(1);
    let known = pick(&table, NOW, &demand(1)).wait;

    (0..20).for_each(|_| table.observe_prefill(8_000, Duration::from_millis(33)));
    let expected = pick(&table, NOW, &demand(1)).wait;

    assert_eq!(expected, known);
}

/// There are more runs than engines in the own zone. A prompt that is read beside a run stalls the
/// run for a part of a second, which costs more than sending the prompt to an idle engine of
/// another zone.
#[test]
fn a_prompt_is_read_at_an_idle_engine_of_another_zone_rather_than_beside_a_run() {
    let mut table = table(2);

    let picks: Vec<_> = (0..6)
        .map(|n| place(&mut table, NOW + Duration::from_millis(1_500) * n, u64::from(n)))
        .collect();

    let engines: BTreeSet<_> = picks.iter().map(|pick| &pick.upstream.id).collect();
    assert_eq!(engines.len(), 6, "{engines:?}");
}

#[test]
fn engines_that_do_not_make_copies_on_request_get_no_copies() {
    let mut table = table(2);
    let primary = engine("engine-a-0", "a", 0);
    let able = table.choose_copy(NOW, &demand(1), &primary);

    let mut content = configuration(2);
    content.services.iter_mut().filter_map(|s| s.engine.as_mut()).for_each(|e| e.moves = false);
    table.configure(Arc::new(routes::Table::from(content)));
    let unable = table.choose_copy(NOW, &demand(1), &primary);

    assert!(able.is_some());
    assert_eq!(unable, None);
}

fn peer(name: &str, zone: &str) -> Peer {
    let (name, zone, address) = (name.to_owned(), zone.to_owned(), format!("{name}:7"));
    Peer { name, zone, address, leaving: false }
}

fn loads(ids: &[&str]) -> BTreeMap<String, Load> {
    let load = Load { in_flight: 1, tokens: TOKENS, ..Load::default() };
    ids.iter().map(|id| ((*id).to_owned(), load)).collect()
}

#[rstest]
#[case::no_longer_sends_it(&["engine-a-1"], true, [0, TOKENS])]
#[case::still_sends_it(&["engine-a-0", "engine-a-1"], true, [TOKENS, TOKENS])]
#[case::is_gone(&["engine-a-0", "engine-a-1"], false, [0, 0])]
fn the_load_of_another_entry_vm_counts_until_that_one(
    #[case] later: &[&str],
    #[case] alive: bool,
    #[case] expected: [u32; 2],
) {
    let mut table = table(2);
    table.set_members(NOW, vec![peer("entry-b", "a"), peer("entry-c", "a")]);
    table.record_loads(NOW, "entry-b", &loads(&["engine-a-0"]));

    table.record_loads(NOW, "entry-b", &loads(later));
    if !alive {
        table.set_members(NOW, vec![peer("entry-c", "a")]);
    }

    let memory = ["engine-a-0", "engine-a-1"].map(|id| table.states()[id].memory(NOW));
    assert_eq!(memory, expected);
}

fn lookup() -> Demand {
    Demand { service: "desk".to_owned(), ..Demand::default() }
}

/// Table of an entry VM in zone a, with one replica of a plain service in each zone.
fn replicas() -> Table {
    let mut table = Table::new("entry-a", "a");
    table.configure(Arc::new(routes::Table::from(configuration(1))));
    let mut directory = Directory::default();
    let listed = ZONES.iter().enumerate();
    let replica = |(z, zone): (usize, &&str)| {
        Change::Set(standin::site::replica(&format!("desk-{zone}"), zone, 200 + z as u8))
    };
    directory.apply(Version { era: 0, revision: 1 }, listed.map(replica).collect());
    table.set_upstreams(NOW, &directory);
    table
}

/// A full replica refuses requests and announces for how long; until then, requests to it would
/// fail.
#[test]
fn a_closed_replica_gets_no_requests_until_it_opens() {
    let mut table = replicas();
    let until = NOW + Duration::from_secs(2);
    table.state_mut("desk-a").unwrap().close(until);

    let during: Vec<_> =
        (0..20).map(|_| pick(&table, NOW, &lookup()).upstream.id.clone()).collect();
    let after = pick(&table, until, &lookup()).upstream.id.clone();

    assert!(during.iter().all(|id| id != "desk-a"), "{during:?}");
    assert_eq!(after, "desk-a");
}

#[test]
fn if_all_replicas_are_closed_retry_after_is_the_time_until_the_first_opens() {
    let mut table = replicas();
    for (id, seconds) in [("desk-a", 5), ("desk-b", 2), ("desk-c", 9)] {
        table.state_mut(id).unwrap().close(NOW + Duration::from_secs(seconds));
    }

    let choice = table.choose(NOW, &lookup());

    assert_eq!(choice, Choice::Full { retry_after: Duration::from_secs(2) });
}

/// The engines of two zones have announced that they accept no requests for 3 s. Runs, copies and
/// polls go to the engines that are left.
#[test]
fn closed_engines_get_no_run_no_copy_and_no_poll() {
    let mut table = table(2);
    let closed: Vec<_> =
        table.states().keys().filter(|id| !id.starts_with("engine-b")).cloned().collect();
    for id in &closed {
        table.state_mut(id).unwrap().close(NOW + Duration::from_secs(3));
    }

    let picks: Vec<_> = (0..20).map(|n| pick(&table, NOW, &demand(n))).collect();
    let polled = table.engines_to_poll(NOW);

    for pick in picks {
        assert!(pick.upstream.id.starts_with("engine-b"), "{pick:?}");
        assert!(pick.backup.iter().all(|copy| copy.id.starts_with("engine-b")), "{pick:?}");
    }
    assert!(polled.iter().all(|engine| engine.id.starts_with("engine-b")), "{polled:?}");
}

/// The directory is late and lists an upstream as ready that has announced that it leaves. It would
/// get new work until the directory catches up.
#[test]
fn an_announced_departure_outlasts_listings_of_the_same_incarnation() {
    let mut table = replicas();
    let listed = table.states()["desk-a"].upstream.clone();
    assert!(table.state_mut("desk-a").unwrap().record_departure());
    let mut directory = Directory::default();
    let ready = |incarnation| Change::Set(Upstream { incarnation, ..(*listed).clone() });

    directory.apply(Version { era: 0, revision: 2 }, vec![ready(listed.incarnation)]);
    table.set_upstreams(NOW, &directory);
    let same = table.states()["desk-a"].is_leaving();
    directory.apply(Version { era: 0, revision: 3 }, vec![ready(listed.incarnation + 1)]);
    table.set_upstreams(NOW, &directory);
    let restarted = table.states()["desk-a"].is_leaving();

    assert!(same && !restarted, "{same} {restarted}");
}

/// The prefill of a prompt alone exceeds its objective, on idle engines. If the prompt were
/// refused, its caller would repeat it and be refused again until it gives up.
#[test]
fn a_prompt_that_is_late_on_any_engine_is_served_by_an_idle_one() {
    let table = table(2);
    let mut huge = demand(1);
    let run = huge.run.as_mut().unwrap();
    run.prompt_tokens = 40_000;
    run.objective = Some(Duration::from_millis(4_500));
    run.deadline = Some(Duration::from_secs(25));

    let pick = pick(&table, NOW, &huge);

    assert_eq!(pick.wait, Duration::from_secs(5));
}

/// The prefill of a prompt alone exceeds its objective, and other prompts are queued, which would
/// miss their objectives behind it.
#[test]
fn a_prompt_that_is_late_on_any_engine_is_refused_while_others_are_queued() {
    let mut table = table(1);
    (0..6).for_each(|n| drop(place(&mut table, NOW, n)));
    let mut huge = demand(1);
    let run = huge.run.as_mut().unwrap();
    run.prompt_tokens = 40_000;
    run.objective = Some(Duration::from_millis(4_500));

    let choice = table.choose(NOW, &huge);

    let Choice::Full { retry_after } = choice else { panic!("{choice:?}") };
    assert!(retry_after >= Duration::from_secs(1), "{retry_after:?}");
}

/// Reading a prompt is wasted if its caller's deadline passes before the first event.
#[rstest]
#[case::in_time(1_200, true)]
#[case::too_late(900, false)]
fn a_run_that_can_not_begin_before_its_deadline_is_refused_at_once(
    #[case] left_ms: u64,
    #[case] served: bool,
) {
    let table = table(2);
    let mut demand = demand(1);
    demand.run.as_mut().unwrap().deadline = Some(Duration::from_millis(left_ms));

    let choice = table.choose(NOW, &demand);

    assert_eq!(matches!(choice, Choice::Found(_)), served, "{choice:?}");
}

/// Prompts are shorter or longer than the initial mean. Reports contain only the number of unread
/// prompts, so the backlog depends on their mean length.
#[rstest]
#[case::shorter(2_000)]
#[case::longer(32_000)]
fn the_backlog_of_a_report_follows_the_mean_length_of_prompts(#[case] tokens: u32) {
    let mut table = table(1);
    let mut demand_of_length = demand(1);
    demand_of_length.run.as_mut().unwrap().prompt_tokens = tokens;
    for _ in 0..150 {
        let pick = pick(&table, NOW, &demand_of_length);
        let allocations = table.begin(NOW, &pick, demand_of_length.run.as_ref());
        allocations.iter().for_each(|allocation| table.release(allocation));
    }
    let later = NOW + Duration::from_secs(3_600);
    let waiting = Reported { tokens: 9_000, requests: 2, unread: 2 };
    table.state_mut("engine-a-0").unwrap().record_report(later, waiting);

    let backlog = table.states()["engine-a-0"].backlog(later, table.speed());

    let expected = 2.0 * 0.7 * f64::from(tokens) / 8.0;
    let ratio = backlog.as_secs_f64() * 1_000.0 / expected;
    assert!((0.9..1.1).contains(&ratio), "{backlog:?} for {expected} ms");
}
