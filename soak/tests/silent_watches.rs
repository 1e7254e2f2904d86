//! Real processes whose connections with one watch of the store fail, while the store answers all
//! other calls.

use hyper::Method;
use platform_standin::caller::{Attempt, Connection};
use platform_standin::operator::{self, HOST, version_path};
use rstest::rstest;
use soak::deployment::{Deployment, Options, Programs};
use soak::injector::account_key;
use soak::plan::Size;
use soak::run;
use std::net::SocketAddr;
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
    let folder = format!("qt-silent-{trouble:?}-{entries}-{}", std::process::id());
    let folder = std::env::temp_dir().join(folder);
    std::fs::create_dir_all(&folder).unwrap();
    let programs = Programs::find().unwrap();
    let size = Size { entries, engines: 3, replicas: 3, callers: 0 };
    let deployment = Deployment::start(&programs, &folder, size, 1, Options::default()).unwrap();
    let layout = deployment.layout;
    run::configure(layout.store()).await.expect("the store starts");
    sleep(Duration::from_secs(2)).await;

    trouble.strike(&deployment).await;
    sleep(TOUCH).await;
    operator::configure(layout.store(), 2, &[&account_key(1)]).await.unwrap();

    let changed = Instant::now();
    for entry in (0..entries).map(|entry| layout.entry(entry)) {
        while !serves(entry, 2).await {
            assert!(changed.elapsed() <= MAX_LAG, "{entry} does not serve it");
            sleep(Duration::from_millis(50)).await;
        }
    }
    println!("in force after {:?}", changed.elapsed());
    std::fs::remove_dir_all(&folder).unwrap();
}
