//! Tests of the built binaries over sockets on loopback, with stand-ins for engines, a service and
//! the platform.

use quetzaltiller::adapters::{Method, Outgoing, fetch};
use quetzaltiller::caller::{Caller, Http, Reply, Unfinished};
use quetzaltiller::evidence::Line;
use quetzaltiller::generation::Request;
use quetzaltiller::objects::Object;
use quetzaltiller::platform::Vm;
use quetzaltiller::refusal::{Code, Ran};
use quetzaltiller::scope::Scope;
use quetzaltiller::service::Call;
use serde_json::{Value, json};
use standin::engine::{Engine, Settings};
use standin::network::Network;
use standin::platform::Platform;
use standin::serve::{serve_engine, serve_platform, serve_service};
use standin::service::{self, Service};
use standin::text;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

const KEY: &str = "oslo-nights-example-key";
/// Loopback address with a port that the kernel selects.
const ANY_PORT: &str = "127.0.0.1:0";
const PATIENCE: Duration = Duration::from_secs(60);

struct Fixture {
    engines: Vec<Engine>,
    service: Service,
    platform: Platform,
    platform_address: String,
    routers: Vec<Daemon>,
    _steward: Daemon,
    folder: PathBuf,
    _scope: Scope,
}

/// A started daemon. Standard output goes to `log`, standard error to a file beside it.
struct Daemon {
    child: Child,
    log: PathBuf,
    started: Line,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Daemon {
    /// Starts a daemon and waits until it has logged where it listens.
    async fn start(binary: &str, folder: &Path, settings: Value) -> Self {
        let name = settings["name"].as_str().unwrap();
        let path = folder.join(format!("{}-{name}.json", binary.rsplit('/').next().unwrap()));
        let log = path.with_extension("log");
        std::fs::write(&path, settings.to_string()).unwrap();
        let mut command = Command::new(binary);
        command.arg("--config").arg(&path).stdout(File::create(&log).unwrap());
        command.stderr(File::create(log.with_extension("err")).unwrap());
        let mut daemon = Self { child: command.spawn().unwrap(), log, started: Line::default() };
        daemon.started = daemon.wait_for_start().await;
        daemon
    }

    async fn wait_for_start(&mut self) -> Line {
        loop {
            self.assert_running();
            let log = std::fs::read_to_string(&self.log).unwrap();
            let complete = log.rsplit_once('\n').map_or("", |(lines, _)| lines);
            let mut events = complete.lines().filter_map(|line| Line::parse("", line));
            if let Some(started) = events.find(|line| line.event.ends_with("_started")) {
                return started;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn assert_running(&mut self) {
        let ended = self.child.try_wait().unwrap();
        let errors = std::fs::read_to_string(self.log.with_extension("err"));
        assert_eq!(ended, None, "{} ended: {errors:?}", self.log.display());
    }

    /// Value of the line that the daemon has logged at its start.
    fn address(&self, key: &str) -> String {
        self.started.value(key).unwrap().to_owned()
    }

    fn terminate(&self) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &id]).status().unwrap().success());
    }
}

impl Fixture {
    async fn start(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("qt-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let (scope, network) = (Scope::default(), Network::new(Duration::ZERO));
        let platform = Platform::new(1);
        let listener = TcpListener::bind(ANY_PORT).await.unwrap();
        let platform_address = listener.local_addr().unwrap().to_string();
        serve_platform(&scope, listener, &platform).unwrap();
        let service = Service::new(service::Settings::default(), 1);
        let mut objects = foundation_objects();
        let mut engines = Vec::new();
        for object in &mut objects {
            let Object::Upstream(upstream) = object else {
                continue;
            };
            let listener = TcpListener::bind(ANY_PORT).await.unwrap();
            upstream.address = listener.local_addr().unwrap().to_string();
            let name = upstream.name.as_str();
            if upstream.pool == "drafts" {
                let settings = Settings::new(name, "drafts", "2026.1");
                let engine = Engine::start(settings, network.clone(), engines.len() as u64);
                serve_engine(&scope, listener, (name, engine.clone()), &network).unwrap();
                engines.push(engine);
            } else {
                serve_service(&scope, listener, (name, service.clone()), &network).unwrap();
            }
        }
        let mut routers = Vec::new();
        for index in 0..2 {
            let settings = router_settings(index, &platform_address);
            routers.push(Daemon::start(env!("CARGO_BIN_EXE_qt-router"), &folder, settings).await);
        }
        let vm = |daemon: &Daemon| Vm {
            name: daemon.address("name"),
            address: daemon.address("peer_address"),
            entry: true,
            leaving: false,
        };
        platform.set_vms(routers.iter().map(vm).collect());
        let settings = json!({
            "name": "entry-0",
            "operator_address": ANY_PORT,
            "platform_address": platform_address,
        });
        let steward = Daemon::start(env!("CARGO_BIN_EXE_qt-steward"), &folder, settings).await;
        let mut fixture = Self {
            engines,
            service,
            platform,
            platform_address,
            routers,
            _steward: steward,
            folder,
            _scope: scope,
        };
        fixture.wait_for_peers().await;
        fixture.apply(&objects).await;
        fixture
    }

    async fn apply(&self, objects: &[Object]) {
        let file = self.folder.join("objects.json");
        std::fs::write(&file, serde_json::to_string(objects).unwrap()).unwrap();
        let path = file.display().to_string();
        let output = self.qtctl(&["apply", "--wait", "--wait-ms", "60000", &path]).await;
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{errors}, logs are in {}", self.folder.display());
    }

    async fn qtctl(&self, args: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_qtctl"));
        command.args(["--platform", &self.platform_address]);
        for router in &self.routers {
            command.args(["--operators", &router.address("operator_address")]);
        }
        command.args(args);
        tokio::task::spawn_blocking(move || command.output().unwrap()).await.unwrap()
    }

    async fn wait_for_peers(&mut self) {
        for index in 0..self.routers.len() {
            loop {
                self.routers.iter_mut().for_each(Daemon::assert_running);
                let router = &self.routers[index];
                let output = self.qtctl(&["dump", &router.address("operator_address")]).await;
                let dump: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
                if dump["members"]["alive"].as_array().is_some_and(|alive| alive.len() == 1) {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    fn caller(&self, key: &str) -> Caller {
        let seeds = self.routers.iter().map(|router| router.address("caller_address")).collect();
        Caller::new(Arc::new(Http::new(key)), seeds)
    }

    /// Waits until a router serves a generation and returns its index.
    async fn serving_router(&self) -> usize {
        loop {
            for (index, router) in self.routers.iter().enumerate() {
                let output = self.qtctl(&["dump", &router.address("operator_address")]).await;
                let dump: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
                if dump["generations"].as_object().is_some_and(|all| !all.is_empty()) {
                    return index;
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Settings of a router whose thresholds allow for pauses of peers and engines on a busy machine, as
/// no test here makes one of these fail without ending it.
fn router_settings(index: usize, platform_address: &str) -> Value {
    let zone = if index == 0 { "zone-a" } else { "zone-b" };
    json!({
        "name": format!("entry-{index}"),
        "zone": zone,
        "caller_address": ANY_PORT,
        "peer_address": ANY_PORT,
        "operator_address": ANY_PORT,
        "platform_address": platform_address,
        "limits": { "max_body_bytes": 4_096 },
        "timing": {
            "entry_lifetime_ms": 300, "peer_timeout_ms": 5_000, "open_timeout_ms": 4_000,
            "min_silence_ms": 4_000, "max_silence_ms": 4_000,
        },
    })
}

/// Objects of the Foundation's example, with only three engines and one service replica.
fn foundation_objects() -> Vec<Object> {
    let text = include_str!("../../examples/foundation/objects.json");
    let objects: Vec<Object> = serde_json::from_str(text).unwrap();
    let listed = ["draft-01", "draft-02", "draft-03", "desk-1"];
    let is_kept = |object: &Object| {
        object.as_upstream().is_none_or(|upstream| listed.contains(&upstream.name.as_str()))
    };
    objects.into_iter().filter(is_kept).collect()
}

fn request(max_tokens: u32) -> Request {
    let prompt = "Wristbands for a harbour festival".into();
    Request { model: "drafts".into(), prompt, max_tokens, ..Request::default() }
}

fn order(key: Option<&str>) -> Call {
    Call {
        method: "POST".into(),
        path: "/orders".into(),
        key: key.map(str::to_owned),
        content_type: None,
        body: "{}".into(),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn no_token_is_lost_or_generated_twice_when_a_router_is_killed() {
    let mut fixture = Fixture::start("kill").await;
    let request = request(300);
    let (streaming, ready) = oneshot::channel();
    let mut streaming = Some(streaming);
    let mut received = 0;
    let mut watch = |tokens: &[String]| {
        received += tokens.len();
        if received > 20
            && let Some(streaming) = streaming.take()
        {
            let _ = streaming.send(());
        }
    };
    let caller = fixture.caller(KEY);

    let generate = caller.generate(&request, PATIENCE, &mut watch);
    let kill = async {
        ready.await.unwrap();
        let serving = fixture.serving_router().await;
        fixture.routers[serving].child.kill().unwrap();
    };
    let (completion, ()) = tokio::join!(generate, kill);

    let completion = completion.unwrap();
    assert!(completion.reconnects > 0);
    assert_eq!(text::check(&request, &completion.version, &completion.tokens), Ok(()));
    let decoded: u64 = fixture.engines.iter().map(|engine| engine.work().decoded).sum();
    assert_eq!(decoded, completion.tokens.len() as u64, "the running stream was reattached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_router_finishes_its_stream() {
    let mut fixture = Fixture::start("leave").await;
    let request = request(120);
    let caller = fixture.caller(KEY);
    let (streaming, ready) = oneshot::channel();
    let mut streaming = Some(streaming);
    let mut watch = |_: &[String]| {
        if let Some(streaming) = streaming.take() {
            let _ = streaming.send(());
        }
    };

    let generate = caller.generate(&request, PATIENCE, &mut watch);
    let leave = async {
        ready.await.unwrap();
        let serving = fixture.serving_router().await;
        fixture.routers[serving].terminate();
        serving
    };
    let (completion, serving) = tokio::join!(generate, leave);

    let completion = completion.unwrap();
    assert_eq!(completion.reconnects, 0);
    assert_eq!(text::check(&request, &completion.version, &completion.tokens), Ok(()));
    assert!(fixture.routers[serving].child.wait().unwrap().success());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_runs_once_and_is_refused_without_the_platform() {
    let fixture = Fixture::start("order").await;
    let caller = fixture.caller(KEY);

    let first = caller.call("order-desk", &order(Some("k-1")), PATIENCE).await;
    let second = caller.call("order-desk", &order(Some("k-1")), PATIENCE).await;
    let other = Call { body: "{\"other\":1}".into(), ..order(Some("k-1")) };
    let reused = caller.call("order-desk", &other, PATIENCE).await;
    let keyless = caller.call("order-desk", &order(None), PATIENCE).await;
    fixture.platform.set_faults(|faults| faults.outage = true);
    let without_store =
        caller.call("order-desk", &order(Some("k-2")), Duration::from_secs(3)).await;

    let (Reply::Answered(first), Reply::Answered(second)) = (first, second) else {
        panic!("the order was not answered");
    };
    assert_eq!(first, second);
    assert_eq!(fixture.service.runs(), [("k-1".to_owned(), 1)].into());
    assert_refused(reused, Code::KeyReused);
    assert_refused(keyless, Code::KeyMissing);
    assert_refused(without_store, Code::StoreUnavailable);
}

/// Posts a body and returns the HTTP status, the code and the `ran` field of the refusal.
async fn post(
    entry: &str,
    key: &str,
    path: &str,
    headers: Vec<(&'static str, &'static str)>,
    body: String,
) -> (u16, String, Value) {
    let mut outgoing = Outgoing::new(Method::POST, path).json(body);
    outgoing = outgoing.header("authorization", format!("Bearer {key}"));
    for (name, value) in headers {
        outgoing = outgoing.header(name, value);
    }
    let response = fetch(entry, outgoing, PATIENCE).await.unwrap();
    let body: Value = serde_json::from_slice(response.body()).unwrap();
    let code = body["code"].as_str().unwrap().to_owned();
    (response.status().as_u16(), code, body["ran"].clone())
}

fn assert_refused(reply: Reply, code: Code) {
    match reply {
        Reply::Refused(refusal) => assert_eq!((refusal.code, refusal.ran), (code, Ran::No)),
        other => panic!("expected {code:?}, got {other:?}"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_is_refused_with_its_status_and_code() {
    let fixture = Fixture::start("bad").await;
    let entry = fixture.routers[0].address("caller_address");
    let post_to_entry = |key, path, headers, body| post(&entry, key, path, headers, body);
    let valid = serde_json::to_string(&request(10)).unwrap();
    let generations = "/v1/generations";
    let forged = ("last-event-id", "00000000000000000000000000000000.1.5");
    let cases = [
        (post_to_entry(KEY, generations, vec![], "{".into()).await, 400, "bad_request", "no"),
        (
            post_to_entry(
                KEY,
                generations,
                vec![],
                "{\"model\":\"drafts\",\"prompt\":\"a\",\"max_tokens\":0}".into(),
            )
            .await,
            400,
            "bad_request",
            "no",
        ),
        (
            post_to_entry("nobody", generations, vec![], valid.clone()).await,
            401,
            "unauthorized",
            "no",
        ),
        (
            post_to_entry("gate-crews-example-key", generations, vec![], valid.clone()).await,
            403,
            "not_allowed",
            "no",
        ),
        (
            post_to_entry(KEY, generations, vec![], "x".repeat(5_000)).await,
            413,
            "body_too_large",
            "no",
        ),
        (
            post_to_entry(KEY, generations, vec![("last-event-id", "nonsense")], valid.clone())
                .await,
            400,
            "bad_event_id",
            "no",
        ),
        (
            post_to_entry(KEY, generations, vec![forged], valid.clone()).await,
            404,
            "generation_unknown",
            "unknown",
        ),
        (
            post_to_entry(KEY, generations, vec![("qt-labels", "tier=gold")], valid.clone()).await,
            403,
            "not_allowed",
            "no",
        ),
        (post_to_entry(KEY, "/v1/nothing", vec![], "{}".into()).await, 404, "not_found", "no"),
        (
            post_to_entry(KEY, "/v1/services/nothing/orders", vec![], "{}".into()).await,
            403,
            "not_allowed",
            "no",
        ),
    ];

    for ((status, code, ran), expected_status, expected_code, expected_ran) in cases {
        assert_eq!((status, code.as_str()), (expected_status, expected_code));
        assert_eq!(ran, expected_ran);
    }
    let unknown_model = Request { model: "none".into(), ..request(10) };
    let refused = fixture.caller(KEY).generate(&unknown_model, PATIENCE, &mut |_| {}).await;
    assert!(
        matches!(refused, Err(Unfinished::Refused(refusal)) if refusal.code == Code::NotAllowed)
    );
}

#[test]
fn all_faults_of_settings_are_reported_together() {
    let path = std::env::temp_dir().join(format!("qt-faults-{}.json", std::process::id()));
    std::fs::write(&path, r#"{"name":"a","zone":7,"peers":["x"],"typo":1}"#).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_qt-router"));

    let output = command.arg("--check").arg("--config").arg(&path).output().unwrap();

    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2));
    for part in ["zone", "peers[0]", "caller_address", "typo"] {
        assert!(text.contains(part), "{part} is not in {text}");
    }
}

#[test]
fn the_examples_are_valid() {
    for deployment in ["foundation", "cooperative"] {
        let folder = format!("{}/../examples/{deployment}", env!("CARGO_MANIFEST_DIR"));
        let objects = format!("{folder}/objects.json");
        let validated =
            Command::new(env!("CARGO_BIN_EXE_qtctl")).args(["validate", &objects]).output();
        assert!(validated.unwrap().status.success());
        for index in 1..=4 {
            for kind in ["router", "steward"] {
                let binary = match kind {
                    "router" => env!("CARGO_BIN_EXE_qt-router"),
                    _ => env!("CARGO_BIN_EXE_qt-steward"),
                };
                let config = format!("{folder}/{kind}-{index}.json");
                let output = Command::new(binary).args(["--check", "--config", &config]).output();
                assert!(output.unwrap().status.success(), "{config}");
            }
        }
    }
}
