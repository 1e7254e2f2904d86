//! Which process an address is taken to belong to, by signs of life of known age.

use async_trait::async_trait;
use quetzaltiller::clock::Clock;
use quetzaltiller::control::Version;
use quetzaltiller::fleet::{Change, Directory, Upstream};
use quetzaltiller::placement::{
    Booked, Booking, Dependencies, Placer, Question, Registrar, Sign, State, Successor, Table,
};
use quetzaltiller::routes;
use quetzaltiller::scope::Scope;
use rstest::rstest;
use standin::fleet::Fleet;
use standin::site::{EVENTS, configuration, engine, replica};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Time after the end of a process in which no other service gets its address.
const REUSE: Duration = Duration::from_secs(2);

struct NoRegistrar;

#[async_trait]
impl Registrar for NoRegistrar {
    async fn book(&self, _booking: &Booking) -> Option<Booked> {
        None
    }

    async fn borrow(&self, _lender: &str, _upstream: &str) -> bool {
        false
    }
}

/// A placer over a fleet.
struct Fixture {
    fleet: Fleet,
    clock: Clock,
    placer: Placer,
    successors: mpsc::UnboundedReceiver<Successor>,
    scope: Scope,
}

impl Fixture {
    /// Starts a placer that knows `upstream`, which runs.
    async fn start(upstream: &Upstream) -> Self {
        quetzaltiller::logs::stop();
        let (fleet, clock, scope) = (Fleet::default(), Clock::default(), Scope::default());
        fleet.insert(upstream.clone(), EVENTS);
        let mut table = Table::new("entry-a", "a");
        table.configure(Arc::new(routes::Table::from(configuration(1))));
        let (sender, successors) = mpsc::unbounded_channel();
        let dependencies = Dependencies {
            clock,
            table,
            client: Arc::new(fleet.clone()),
            reuse_after: REUSE,
            successors: sender,
            registrar: Arc::new(NoRegistrar),
        };
        let placer = Placer::start(&scope, dependencies);
        let mut directory = Directory::default();
        directory.apply(Version { era: 0, revision: 1 }, vec![Change::Set(upstream.clone())]);
        placer.set_upstreams(Arc::new(directory));
        sleep(Duration::from_secs(3)).await;
        Self { fleet, clock, placer, successors, scope }
    }

    /// Ends `upstream`; a process with `id` of another service starts at its address after `REUSE`.
    fn replace(&self, upstream: &Upstream, id: &str) {
        self.fleet.crash(&upstream.id, false);
        let (fleet, stranger) =
            (self.fleet.clone(), Upstream { id: id.into(), ..upstream.clone() });
        self.scope.spawn(async move {
            sleep(REUSE).await;
            fleet.insert(stranger, 0);
        });
    }

    async fn state(&self, id: &str) -> State {
        self.placer.dump().await.remove(id).unwrap()
    }
}

/// A sign of life of an ended upstream is handled shortly before its address has another owner; the
/// upstream sent it before its end. Guards against dating the sign by the time of its handling.
#[rstest]
#[case::event_of_an_engine(engine("owner", "a", 1), true)]
#[case::answer_of_an_engine(engine("owner", "a", 1), false)]
#[case::event_of_a_replica(replica("owner", "a", 1), true)]
#[case::answer_of_a_replica(replica("owner", "a", 1), false)]
#[tokio::test(start_paused = true)]
async fn an_old_sign_of_life_does_not_prolong_the_ownership_of_an_address(
    #[case] upstream: Upstream,
    #[case] is_event: bool,
    #[values(300, 800, 1_500, 1_900)] late_ms: u64,
) {
    let mut fixture = Fixture::start(&upstream).await;
    let asked_at = fixture.clock.uptime();

    fixture.replace(&upstream, "stranger");
    sleep(Duration::from_millis(late_ms)).await;
    if is_event {
        fixture.placer.record_event("owner");
    } else {
        fixture.placer.record_success("owner", asked_at);
    }
    fixture.placer.record_disconnect("owner");
    sleep(Duration::from_secs(5)).await;

    assert!(fixture.successors.try_recv().is_err());
}

/// The owner restarts under another id while its address can only be its own. Guards against finding
/// no successor any more.
#[rstest]
#[case::engine(engine("owner", "a", 1))]
#[case::replica(replica("owner", "a", 1))]
#[tokio::test(start_paused = true)]
async fn a_restart_within_the_time_of_ownership_is_a_successor(
    #[case] upstream: Upstream,
    #[values(200, 1_000, 1_600)] restarts_after_ms: u64,
) {
    let mut fixture = Fixture::start(&upstream).await;

    fixture.placer.record_success("owner", fixture.clock.uptime());
    fixture.fleet.crash("owner", false);
    fixture.placer.record_disconnect("owner");
    sleep(Duration::from_millis(restarts_after_ms)).await;
    fixture.fleet.restart("owner", "next");
    sleep(Duration::from_secs(4)).await;

    let successor = fixture.successors.try_recv().unwrap();
    assert_eq!((successor.lost.as_str(), successor.upstream.id.as_str()), ("owner", "next"));
}

/// An engine is taken for lost while its streams deliver events. Guards against avoiding it until the
/// loss is forgotten, and against taking events of an ended engine for its return.
#[rstest]
#[case::that_runs(false)]
#[case::that_has_ended(true)]
#[tokio::test(start_paused = true)]
async fn an_event_of_a_lost_engine_leads_to_a_check(#[case] has_ended: bool) {
    let upstream = engine("owner", "a", 1);
    let fixture = Fixture::start(&upstream).await;
    if has_ended {
        fixture.replace(&upstream, "stranger");
        sleep(REUSE).await;
    }

    fixture.placer.record_unreachable("owner");
    let lost = fixture.state("owner").await.is_unproven();
    fixture.placer.record_event("owner");
    sleep(Duration::from_millis(100)).await;
    let unproven = fixture.state("owner").await.is_unproven();

    assert!(lost);
    assert_eq!(unproven, has_ended);
}

/// Answers arrive in another order than their questions were sent. Guards against an older sign that
/// replaces a newer one, and against one from before a loss that ends it.
#[test]
fn the_latest_question_that_was_answered_counts() {
    let at = Duration::from_secs;
    let sign = |asked_at| Sign { answered: Question::Request, asked_at: at(asked_at) };
    let mut state = State::new(at(1), Arc::new(engine("owner", "a", 1)));

    state.record_proof(at(9), sign(5));
    state.record_proof(at(10), sign(3));
    let proof = state.proof;
    state.mark_lost(at(11));
    state.record_proof(at(12), sign(8));
    let lost = state.is_unproven();
    state.record_proof(at(13), sign(12));

    assert_eq!(proof, Some(sign(5)));
    assert!(lost && !state.is_unproven());
}
