//! Real processes whose connections with one watch of the store fail, while the store answers all
//! other calls.

use hyper::Method;
use platform_standin::caller::{Attempt, Connection};
use platform_standin::calls::call;
use platform_standin::operator::{self, HOST, version_path};
use platform_standin::store::Faults;
use rstest::rstest;
use soak::deployment::{Deployment, Options, Programs};
use soak::injector::account_key;
use soak::plan::Size;
use soak::run;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Time after a disturbance from which all bounds hold again (users' settings).
const TOUCH: Duration = Duration::from_secs(3);
/// Longest time until an acknowledged configuration is in force after a disturbance (users' rules).
const MAX_LAG: Duration = Duration::from_secs(5);
const PATIENCE: Duration = Duration::from_secs(2);
/// Time after a reset in which new connections are silent from their start.
const VANISHING: Duration = Duration::from_millis(500);

/// Requests of the watches of the configuration and of the upstreams.
const CONFIGURATION: &str = "/config?watch=";
const UPSTREAMS: &str = "/servers?watch=";

/// Time for which watches hear of no change before the history is dropped.
const DEAF_MS: u64 = 1_000;
/// Time into it after which the configuration changes.
const CHANGE_DELAY: Duration = Duration::from_millis(300);

/// What happens to the connections with the watches of the configuration.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// They fall silent.
    Silence,
    /// They fall silent, and those with the watches of the upstreams are reset.
    SilenceBesideReset,
    /// They are reset, and those made shortly after are silent.
    ResetAndSilence,
}

impl Trouble {
    async fn strike(self, deployment: &Deployment) {
        let proxies = || deployment.entries.iter().map(|entry| &entry.store);
        match self {
            Self::Silence => proxies().for_each(|store| store.silence_carriers(CONFIGURATION)),
            Self::SilenceBesideReset => proxies().for_each(|store| {
                store.silence_carriers(CONFIGURATION);
                store.reset_carriers(UPSTREAMS);
            }),
            Self::ResetAndSilence => {
                proxies().for_each(|store| {
                    store.set_silencing_new(true);
                    store.reset_carriers(CONFIGURATION);
                });
                sleep(VANISHING).await;
                proxies().for_each(|store| store.set_silencing_new(false));
            }
        }
    }
}

/// Whether an entry VM serves the route that only configuration `version` has.
async fn serves(entry: SocketAddr, version: u64) -> bool {
    let probe = async {
        let path = format!("{}x", version_path(version));
        let attempt = Attempt {
            id: &format!("probe-{version}"),
            host: HOST,
            path: &path,
            key: &account_key(1),
            patience: PATIENCE,
            prompt: None,
            shared_part: None,
            last_event: None,
        };
        let mut connection = Connection::open(entry).await.ok()?;
        Some(connection.send(Method::GET, &attempt).await.ok()?.status)
    };
    timeout(PATIENCE, probe).await.ok().flatten() == Some(200)
}

/// Starts the processes and the first configuration.
async fn start(name: &str, entries: usize) -> (Deployment, PathBuf) {
    let folder = std::env::temp_dir().join(format!("qt-silent-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let programs = Programs::find().unwrap();
    let size = Size { entries, engines: 3, replicas: 3, callers: 0 };
    let deployment = Deployment::start(&programs, &folder, size, 1, Options::default()).unwrap();
    run::configure(deployment.layout.store()).await.expect("the store starts");
    sleep(Duration::from_secs(2)).await;
    (deployment, folder)
}

/// Writes the second configuration and waits until all entry VMs serve it.
async fn assert_change_is_in_force_in_time(deployment: &Deployment) {
    let layout = deployment.layout;
    operator::configure(layout.store(), 2, &[&account_key(1)]).await.unwrap();
    let changed = Instant::now();
    for entry in (0..deployment.size.entries).map(|entry| layout.entry(entry)) {
        while !serves(entry, 2).await {
            assert!(changed.elapsed() <= MAX_LAG, "{entry} does not serve it");
            sleep(Duration::from_millis(50)).await;
        }
    }
    println!("in force after {:?}", changed.elapsed());
}

/// Guards against a configuration that stays out of force because only its watch is silent.
#[rstest]
#[case::of_four(Trouble::Silence, 4)]
#[case::of_one(Trouble::Silence, 1)]
#[case::beside_a_reset_of_the_upstreams(Trouble::SilenceBesideReset, 4)]
#[case::after_a_reset(Trouble::ResetAndSilence, 4)]
#[tokio::test]
async fn a_configuration_is_in_force_in_time_although_its_watch_is_silent(
    #[case] trouble: Trouble,
    #[case] entries: usize,
) {
    let (deployment, folder) = start(&format!("{trouble:?}-{entries}"), entries).await;

    trouble.strike(&deployment).await;
    sleep(TOUCH).await;

    assert_change_is_in_force_in_time(&deployment).await;
    std::fs::remove_dir_all(&folder).unwrap();
}

/// Guards against a configuration that is lost between deaf watches and a dropped history.
#[rstest]
#[case::watches_cut(None)]
#[case::watch_of_the_configuration_silent(Some(vec![CONFIGURATION]))]
#[case::both_watches_silent(Some(vec![CONFIGURATION, UPSTREAMS]))]
#[tokio::test]
async fn a_configuration_is_in_force_in_time_although_the_store_forgets_its_history(
    #[case] silenced: Option<Vec<&str>>,
) {
    let silenced = silenced.unwrap_or_default();
    let (deployment, folder) = start(&format!("compacted-{}", silenced.len()), 4).await;

    let faults = Faults { compact_ms: Some(DEAF_MS), ..Faults::default() };
    let body = serde_json::to_value(faults).unwrap();
    call(deployment.layout.store(), Method::POST, "/faults", &body).await.unwrap();
    for entry in &deployment.entries {
        silenced.iter().for_each(|watch| entry.store.silence_carriers(watch));
    }
    sleep(CHANGE_DELAY).await;

    assert_change_is_in_force_in_time(&deployment).await;
    std::fs::remove_dir_all(&folder).unwrap();
}
