//! Callers that are slow, leave, cancel or meddle, and losses of two parties together.

use bench::deployment::{Deployment, key};
use bench::load::Target as _;
use bench::run::on_virtual_time;
use bench::system::{ENTRY_VMS, System, Tuning, entry_name};
use quetzaltiller::caller::Completion;
use quetzaltiller::generation::{Event, EventId, Request};
use quetzaltiller::metrics::Counter;
use quetzaltiller::objects::Labels;
use quetzaltiller::refusal::{Code, Ran};
use quetzaltiller::router::{Caller, Router};
use standin::engine::Engine;
use standin::text;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

const ACCOUNT: &str = "roskilde-crew";
const PATIENCE: Duration = Duration::from_secs(30);
/// Engine work of a generation that nobody wants ends within this time.
const CANCEL_LIMIT: Duration = Duration::from_secs(1);

async fn system() -> Arc<System> {
    quetzaltiller::logs::stop();
    System::start(Deployment::Foundation, 1, Tuning::default()).await
}

fn request(max_tokens: u32) -> Request {
    let prompt = "A short brief for wristbands".into();
    Request { model: "drafts".into(), prompt, max_tokens, ..Request::default() }
}

fn client(router: &Router, account: &str) -> Caller {
    let account = router.authenticate(&key(account)).unwrap();
    Caller { account, labels: Labels::new(), patience: None }
}

fn router(system: &System, index: usize) -> Arc<Router> {
    system.hub.get(&entry_name(index)).unwrap()
}

fn running(system: &System) -> usize {
    system.engines.values().map(Engine::running).sum()
}

/// Name of the entry VM that serves the only generation.
async fn serving(system: &System) -> String {
    for index in 0..ENTRY_VMS {
        if !router(system, index).dump().await.generations.is_empty() {
            return entry_name(index);
        }
    }
    panic!("nobody serves");
}

/// Name of the entry VM that keeps the only answer.
async fn keeper(system: &System) -> String {
    for index in 0..ENTRY_VMS {
        if router(system, index).dump().await.keeper.answers > 0 {
            return entry_name(index);
        }
    }
    panic!("nobody keeps");
}

fn kill_busy_engine(system: &System) {
    let busy = system.engines.values().find(|engine| engine.running() > 0);
    busy.expect("an engine is at work").kill();
}

/// Streams a generation while `strike` acts; the answer must be whole.
async fn generate_during(system: &Arc<System>, strike: impl Future<Output = ()>) -> Completion {
    let request = request(300);
    let caller = system.caller(ACCOUNT, 0);
    let mut watch = |_: &[String]| {};
    let (whole, ()) = tokio::join!(caller.generate(&request, PATIENCE, &mut watch), strike);
    let whole = whole.unwrap();
    assert_eq!(text::check(&request, &whole.version, &whole.tokens), Ok(()));
    whole
}

#[test]
fn a_slow_reader_gets_few_large_events_and_the_whole_answer() {
    on_virtual_time(async {
        let system = system().await;
        let router = router(&system, 0);
        let request = request(400);

        let mut subscription =
            router.generate(&client(&router, ACCOUNT), request.clone(), None).await.unwrap();
        let (mut tokens, mut events) = (Vec::new(), 0);
        while let Some(event) = subscription.events.recv().await {
            sleep(Duration::from_secs(2)).await;
            events += 1;
            if let Event::Tokens { tokens: fresh, .. } = event {
                tokens.extend(fresh);
            }
        }

        assert_eq!(text::check(&request, "2026.1", &tokens), Ok(()));
        assert!(events < 30, "{events} events wait in memory");
    });
}

#[test]
fn a_caller_that_leaves_stops_engine_work_after_the_grace() {
    on_virtual_time(async {
        let system = system().await;
        let router = router(&system, 0);
        let caller = client(&router, ACCOUNT);

        let mut subscription = router.generate(&caller, request(50_000), None).await.unwrap();
        subscription.events.recv().await;
        drop(subscription);
        sleep(router.config().timing.orphan_grace - Duration::from_millis(100)).await;
        let before = running(&system);
        sleep(CANCEL_LIMIT).await;

        assert_eq!((before, running(&system)), (1, 0));
    });
}

#[test]
fn a_cancel_at_any_entry_vm_stops_engine_work() {
    on_virtual_time(async {
        let system = system().await;
        let (serving, other) = (router(&system, 0), router(&system, 1));
        let caller = client(&serving, ACCOUNT);
        let mut subscription = serving.generate(&caller, request(50_000), None).await.unwrap();
        for _ in 0..5 {
            subscription.events.recv().await;
        }

        let meddled = client(&other, "oslo-nights").account;
        let meddling = other.cancel(&meddled, &subscription.generation).await.unwrap_err();
        let still_running = running(&system);
        other.cancel(&caller.account, &subscription.generation).await.unwrap();
        sleep(CANCEL_LIMIT).await;

        assert_eq!(meddling.code, Code::GenerationUnknown);
        assert_eq!((still_running, running(&system)), (1, 0));
    });
}

#[test]
fn another_account_and_another_body_get_nothing_of_a_generation() {
    on_virtual_time(async {
        let system = system().await;
        let router = router(&system, 0);
        let mut subscription =
            router.generate(&client(&router, ACCOUNT), request(300), None).await.unwrap();
        subscription.events.recv().await;
        let generation = subscription.generation.clone();
        let last = |next| Some(EventId { generation: generation.clone(), attempt: 1, next });

        let other = client(&router, "oslo-nights");
        let foreign = router.generate(&other, request(300), last(0)).await;
        let own = client(&router, ACCOUNT);
        let changed = router.generate(&own, request(301), last(0)).await;
        let mut ahead = router.generate(&own, request(300), last(9_999)).await.unwrap();

        assert_eq!(foreign.err().map(|refusal| refusal.code), Some(Code::GenerationUnknown));
        assert_eq!(changed.err().map(|refusal| refusal.code), Some(Code::BadRequest));
        let refused = ahead.events.recv().await;
        assert!(matches!(refused, Some(Event::Error(r)) if r.code == Code::BadEventId));
        assert!(subscription.events.recv().await.is_some(), "the stream itself goes on");
    });
}

#[test]
fn router_and_engine_that_die_together_cost_one_prefill() {
    on_virtual_time(async {
        let system = system().await;

        let whole = generate_during(&system, async {
            sleep(Duration::from_secs(2)).await;
            let name = serving(&system).await;
            kill_busy_engine(&system);
            system.kill_router(&name);
        })
        .await;

        assert!(whole.reconnects > 0);
        assert_eq!(system.count(Counter::Redispatched), 1);
    });
}

#[test]
fn an_answer_survives_its_router_and_its_keeper() {
    on_virtual_time(async {
        let system = system().await;

        let whole = generate_during(&system, async {
            sleep(Duration::from_secs(2)).await;
            let (router, keeper) = (serving(&system).await, keeper(&system).await);
            system.kill_router(&keeper);
            system.kill_router(&router);
        })
        .await;

        assert!(whole.generations.len() > 1, "the caller's own tokens began a new generation");
    });
}

#[test]
fn a_dead_keeper_is_replaced_without_a_break() {
    on_virtual_time(async {
        let system = system().await;

        let whole = generate_during(&system, async {
            sleep(Duration::from_secs(2)).await;
            let lost = keeper(&system).await;
            system.kill_router(&lost);
            sleep(Duration::from_secs(2)).await;
            assert_ne!(keeper(&system).await, lost);
        })
        .await;

        assert!(whole.longest_gap() < Duration::from_millis(400), "{:?}", whole.longest_gap());
    });
}

#[test]
fn a_router_parted_from_its_keeper_goes_on() {
    on_virtual_time(async {
        let system = system().await;

        let whole = generate_during(&system, async {
            sleep(Duration::from_secs(2)).await;
            let (router, keeper) = (serving(&system).await, keeper(&system).await);
            system.network.set_partitioned(&router, &keeper, true);
        })
        .await;

        assert_eq!(whole.reconnects, 0);
        assert!(whole.longest_gap() < Duration::from_millis(400), "{:?}", whole.longest_gap());
    });
}

#[test]
fn a_router_that_has_closed_takes_no_answer_over() {
    on_virtual_time(async {
        let system = system().await;
        let (serving, leaving) = (router(&system, 0), router(&system, 1));
        let caller = client(&serving, ACCOUNT);
        let mut subscription = serving.generate(&caller, request(2_000), None).await.unwrap();
        for _ in 0..5 {
            subscription.events.recv().await;
        }
        let generation = subscription.generation.clone();
        let last = EventId { generation, attempt: 1, next: 1 };

        leaving.drain().await;
        let refused = leaving.generate(&caller, request(2_000), Some(last)).await.err().unwrap();

        assert_eq!((refused.code, refused.ran), (Code::Leaving, Ran::No));
        assert!(!refused.entries.is_empty());
        assert!(!subscription.events.is_closed(), "the owner was not fenced off");
    });
}
