//! Admission of clients: who makes room, and what a body that is refused gets.

use bytes::Bytes;
use coordination::memory::Budget;
use futures::{StreamExt as _, stream};
use quetzaltiller::admission::upload::Upload;
use quetzaltiller::admission::{Admission, Connection, Resources};
use quetzaltiller::clock::Clock;
use quetzaltiller::metrics::{Counter, Metrics};
use quetzaltiller::prelude::*;
use rstest::rstest;
use std::convert::Infallible;

const MAX_BODY: usize = 4 << 20;

struct Fixture {
    admission: Admission,
    metrics: Arc<Metrics>,
}

fn fixture() -> Fixture {
    quetzaltiller::logs::stop();
    let (resources, metrics) = (Resources::default(), Arc::new(Metrics::new(None)));
    let memory: Budget = resources.memory();
    let admission = Admission::new(Clock::default(), resources, &memory, metrics.clone());
    Fixture { admission, metrics }
}

fn upload<'a>(admission: &'a Admission, connection: &'a Connection) -> Upload<'a> {
    Upload {
        admission,
        connection,
        length: None,
        limit: MAX_BODY,
        idle_timeout: Duration::from_secs(15),
        deadline: admission.clock.now() + Duration::from_secs(25),
    }
}

fn admitted() -> Result<String, Refusal> {
    Ok("a".to_owned())
}

fn pieces(count: usize, length: usize) -> Vec<Result<Bytes, Infallible>> {
    vec![Ok(Bytes::from(vec![0; length])); count]
}

/// Guards against silent connections that keep callers out.
#[tokio::test]
async fn a_new_connection_takes_the_place_of_the_longest_idle_one() {
    let Fixture { admission, metrics } = fixture();
    let limit = admission.callers.limit();
    let mut open: Vec<_> = (0..limit).filter_map(|_| admission.callers.open()).collect();

    let new = admission.callers.open();

    assert!(new.is_some() && admission.callers.len() == limit);
    open.remove(0).closed().await;
    assert_eq!(metrics.value(Counter::ConnectionClosed), 1);
}

/// Guards against a connection that is closed while its request is served.
#[tokio::test]
async fn connections_that_serve_requests_keep_their_place() {
    let Fixture { admission, metrics } = fixture();
    let open: Vec<_> = (0..admission.callers.limit())
        .filter_map(|_| admission.callers.open().map(Arc::new))
        .collect();
    let requests: Vec<_> = open.iter().map(Connection::begin_request).collect();
    requests.iter().for_each(|request| request.record_arrival());

    let refused = admission.callers.open().is_none();
    drop(requests);
    let accepted = admission.callers.open().is_some();

    assert_eq!((refused, accepted, metrics.value(Counter::ConnectionRefused)), (true, true, 1));
}

/// Guards against slow bodies that occupy all connections.
#[tokio::test]
async fn a_body_that_has_been_arriving_for_longest_makes_room_if_no_connection_is_idle() {
    let Fixture { admission, .. } = fixture();
    let open: Vec<_> = (0..admission.callers.limit())
        .filter_map(|_| admission.callers.open().map(Arc::new))
        .collect();
    let _requests: Vec<_> = open.iter().map(Connection::begin_request).collect();

    let new = admission.callers.open();

    assert!(new.is_some() && open[0].refusal().is_cancelled());
}

#[rstest]
#[case::announced(Some(100_000_000_000), 1, Code::BodyTooLarge)]
#[case::sent(None, 5, Code::BodyTooLarge)]
#[tokio::test]
async fn a_body_over_the_limit_is_refused(
    #[case] length: Option<u64>,
    #[case] count: usize,
    #[case] code: Code,
) {
    let Fixture { admission, metrics } = fixture();
    let connection = admission.callers.open().unwrap();
    let upload = Upload { length, ..upload(&admission, &connection) };

    let result = upload.receive(stream::iter(pieces(count, 1 << 20)), admitted).await;

    assert_eq!(result.unwrap_err().code, code);
    assert_eq!((metrics.value(Counter::BodyTooLong), admission.bodies.held()), (1, 0));
    assert!(connection.refusal().is_cancelled(), "the connection ends with the answer");
}

/// Guards against a caller that stops and keeps its memory.
#[tokio::test(start_paused = true)]
async fn a_body_that_stalls_is_refused_as_late() {
    let Fixture { admission, metrics } = fixture();
    let connection = admission.callers.open().unwrap();
    let body = stream::iter(pieces(3, 1 << 20)).chain(stream::pending());

    let result = upload(&admission, &connection).receive(body, admitted).await;

    let refusal = result.unwrap_err();
    assert_eq!((refusal.code.status(), refusal.ran), (408, Ran::No));
    assert_eq!((metrics.value(Counter::BodyLate), admission.bodies.held()), (1, 0));
}

/// Guards against the rejection of a body that takes all of the time it may.
#[tokio::test(start_paused = true)]
async fn the_longest_body_at_the_slowest_pace_is_read() {
    let Fixture { admission, .. } = fixture();
    let connection = admission.callers.open().unwrap();
    let body = stream::iter(pieces(24, MAX_BODY / 24)).then(|piece| async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        piece
    });

    let result = upload(&admission, &connection).receive(Box::pin(body), admitted).await;

    assert_eq!(result.map(|body| body.len()), Ok(MAX_BODY / 24 * 24));
}

/// Guards against memory for bodies of requests that no route or account allows.
#[tokio::test]
async fn a_body_is_not_kept_for_a_request_that_is_refused_by_its_head() {
    let Fixture { admission, .. } = fixture();
    let connection = admission.callers.open().unwrap();
    let refuse = || Err(Refusal::not_run(Code::NotFound, "no route"));

    let body = stream::iter(pieces(3, 1 << 20));
    let result = upload(&admission, &connection).receive(body, refuse).await;

    assert_eq!(result.unwrap_err().code, Code::NotFound);
    assert_eq!(admission.bodies.len(), 0);
}

/// Guards against bodies of a crowd that together take more than their share, and against a refusal
/// without a time to come back.
#[tokio::test]
async fn bodies_that_find_no_memory_are_told_when_to_come_back() {
    let Fixture { admission, metrics } = fixture();
    let connection = admission.callers.open().unwrap();
    let mut kept = Vec::new();
    let refusal = loop {
        let body = stream::iter(pieces(4, 1 << 20));
        match upload(&admission, &connection).receive(body, admitted).await {
            Ok(body) => kept.push(body),
            Err(refusal) => break refusal,
        }
    };

    assert_eq!((refusal.code.status(), refusal.ran), (503, Ran::No));
    assert!(refusal.retry_after_ms > 0 && !kept.is_empty());
    assert_eq!(metrics.value(Counter::BodyMemoryUsedUp), 1);
}
