//! Callers that read slowly, disconnect, cancel, or use another account's generation, and losses of
//! two parties at once.

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
/// Time within which engine work ends once a generation is cancelled or abandoned.
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
    panic!("no entry VM serves a generation");
}

/// Name of the entry VM that keeps the only answer.
async fn keeper(system: &System) -> String {
    for index in 0..ENTRY_VMS {
        if router(system, index).dump().await.keeper.answers > 0 {
            return entry_name(index);
        }
    }
    panic!("no entry VM keeps an answer");
}

fn kill_busy_engine(system: &System) {
    let busy = system.engines.values().find(|engine| engine.running() > 0);
    busy.expect("an engine has a running stream").kill();
}

/// Streams a generation while `inject` runs, and checks that the answer is complete.
async fn generate_during(system: &Arc<System>, inject: impl Future<Output = ()>) -> Completion {
    let request = request(300);
    let caller = system.caller(ACCOUNT, 0);
    let mut watch = |_: &[String]| {};
    let (completion, ()) = tokio::join!(caller.generate(&request, PATIENCE, &mut watch), inject);
    let completion = completion.unwrap();
    assert_eq!(text::check(&request, &completion.version, &completion.tokens), Ok(()));
    completion
}

#[test]
fn a_slow_reader_gets_few_large_events_and_the_complete_answer() {
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
            if let Event::Tokens { tokens: new_tokens, .. } = event {
                tokens.extend(new_tokens);
            }
        }

        assert_eq!(text::check(&request, "2026.1", &tokens), Ok(()));
        assert!(events < 30, "{events} events were buffered");
    });
}

#[test]
fn engine_work_stops_after_the_grace_period_when_the_caller_disconnects() {
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
fn a_cancel_on_any_entry_vm_stops_engine_work() {
    on_virtual_time(async {
        let system = system().await;
        let (serving, other) = (router(&system, 0), router(&system, 1));
        let caller = client(&serving, ACCOUNT);
        let mut subscription = serving.generate(&caller, request(50_000), None).await.unwrap();
        for _ in 0..5 {
            subscription.events.recv().await;
        }

        let other_account = client(&other, "oslo-nights").account;
        let refusal = other.cancel(&other_account, &subscription.generation).await.unwrap_err();
        let still_running = running(&system);
        other.cancel(&caller.account, &subscription.generation).await.unwrap();
        sleep(CANCEL_LIMIT).await;

        assert_eq!(refusal.code, Code::GenerationUnknown);
        assert_eq!((still_running, running(&system)), (1, 0));
    });
}

#[test]
fn another_account_or_another_body_cannot_read_a_generation() {
    on_virtual_time(async {
        let system = system().await;
        let router = router(&system, 0);
        let mut subscription =
            router.generate(&client(&router, ACCOUNT), request(300), None).await.unwrap();
        subscription.events.recv().await;
        let generation = subscription.generation.clone();
        let last = |next| Some(EventId { generation: generation.clone(), attempt: 1, next });

        let other = client(&router, "oslo-nights");
        let by_other_account = router.generate(&other, request(300), last(0)).await;
        let own = client(&router, ACCOUNT);
        let with_other_body = router.generate(&own, request(301), last(0)).await;
        let mut ahead = router.generate(&own, request(300), last(9_999)).await.unwrap();

        assert_eq!(
            by_other_account.err().map(|refusal| refusal.code),
            Some(Code::GenerationUnknown)
        );
        assert_eq!(with_other_body.err().map(|refusal| refusal.code), Some(Code::BadRequest));
        let refused = ahead.events.recv().await;
        assert!(matches!(refused, Some(Event::Error(r)) if r.code == Code::BadEventId));
        assert!(subscription.events.recv().await.is_some(), "the original stream continues");
    });
}

#[test]
fn losing_router_and_engine_together_costs_one_prefill() {
    on_virtual_time(async {
        let system = system().await;

        let completion = generate_during(&system, async {
            sleep(Duration::from_secs(2)).await;
            let name = serving(&system).await;
            kill_busy_engine(&system);
            system.kill_router(&name);
        })
        .await;

        assert!(completion.reconnects > 0);
        assert_eq!(system.count(Counter::Redispatched), 1);
    });
}

#[test]
fn an_answer_completes_after_losing_its_router_and_its_keeper() {
    on_virtual_time(async {
        let system = system().await;

        let completion = generate_during(&system, async {
            sleep(Duration::from_secs(2)).await;
            let (router, keeper) = (serving(&system).await, keeper(&system).await);
            system.kill_router(&keeper);
            system.kill_router(&router);
        })
        .await;

        assert!(
            completion.generations.len() > 1,
            "the caller starts a new generation with the tokens that it has"
        );
    });
}

#[test]
fn a_killed_keeper_is_replaced_without_a_pause_in_the_answer() {
    on_virtual_time(async {
        let system = system().await;

        let completion = generate_during(&system, async {
            sleep(Duration::from_secs(2)).await;
            let killed = keeper(&system).await;
            system.kill_router(&killed);
            sleep(Duration::from_secs(2)).await;
            assert_ne!(keeper(&system).await, killed);
        })
        .await;

        assert!(
            completion.longest_gap() < Duration::from_millis(400),
            "{:?}",
            completion.longest_gap()
        );
    });
}

#[test]
fn a_router_partitioned_from_its_keeper_continues_the_answer() {
    on_virtual_time(async {
        let system = system().await;

        let completion = generate_during(&system, async {
            sleep(Duration::from_secs(2)).await;
            let (router, keeper) = (serving(&system).await, keeper(&system).await);
            system.network.set_partitioned(&router, &keeper, true);
        })
        .await;

        assert_eq!(completion.reconnects, 0);
        assert!(
            completion.longest_gap() < Duration::from_millis(400),
            "{:?}",
            completion.longest_gap()
        );
    });
}

#[test]
fn a_drained_router_does_not_take_over_an_answer() {
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
        assert!(!subscription.events.is_closed(), "the serving router keeps the generation");
    });
}
