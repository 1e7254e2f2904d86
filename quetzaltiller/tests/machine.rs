//! Reactions of the generation's state machine to single failures of engines and connections.

use coordination::detector::Bounds;
use coordination::wait_policy::WaitPolicy;
use quetzaltiller::digest::Checksum;
use quetzaltiller::engine::{Body, Chunk, Error};
use quetzaltiller::generation::{
    Answer as _, Effect, Input, Machine, Opening, Outcome, Place, Probe, Settings, Splice, Start,
};
use quetzaltiller::refusal::Code;
use rstest::rstest;
use std::time::Duration;

const SILENCE: Bounds =
    Bounds { min: Duration::from_millis(80), max: Duration::from_millis(1_000) };

fn settings(weight: f64) -> Settings {
    Settings {
        wait_policy: WaitPolicy { weight, max: Duration::from_millis(3_000) },
        prefill_tokens_per_s: 1_000.0,
        prompt_tokens: 1_000,
        open_timeout: Duration::from_millis(1_000),
        deadline: Duration::from_secs(30),
        silence: SILENCE,
        probe: Probe::Reattach,
        pause: None,
        resumable: true,
    }
}

/// A machine and its current time.
struct Fixture {
    machine: Machine,
    now: Duration,
}

impl Fixture {
    /// A generation that runs on connection 1 of `first`, with the first token admitted.
    fn running(weight: f64) -> Self {
        let splice = Splice::new("g".into(), 1, 1, Vec::new());
        let (machine, effects) =
            Machine::new(Duration::ZERO, splice, settings(weight), Start::Fresh);
        assert!(matches!(effects[..], [Effect::Place { resumed: false, .. }]));
        let mut fixture = Self { machine, now: Duration::ZERO };
        fixture.place("first", 1);
        fixture.send(Input::Opened(1));
        fixture.tokens(1, 1, 0, &["t0 "]);
        fixture
    }

    fn send(&mut self, input: Input) -> Vec<Effect> {
        self.machine.advance(self.now, input)
    }

    fn place(&mut self, upstream: &str, conn: u32) {
        let effects = self.send(Input::Placed(Place {
            upstream: upstream.into(),
            version: "v1".into(),
            ..Place::default()
        }));
        let open = Effect::Open { conn, opening: Opening::Submit, upstream: upstream.into() };
        assert_eq!(effects, [open]);
    }

    fn tokens(&mut self, conn: u32, attempt: u32, index: u32, tokens: &[&str]) -> Vec<Effect> {
        let tokens = tokens.iter().map(ToString::to_string).collect();
        self.chunk(conn, "g", attempt, Body::Tokens { index, tokens })
    }

    fn chunk(&mut self, conn: u32, generation: &str, attempt: u32, body: Body) -> Vec<Effect> {
        self.send(Input::Chunk(conn, Chunk { generation: generation.into(), attempt, body }))
    }

    fn end(&mut self, conn: u32, attempt: u32, total: u32) -> Vec<Effect> {
        let checksum = Checksum::of(self.machine.splice().tokens()).hex();
        self.chunk(conn, "g", attempt, Body::Ended { total, checksum })
    }

    /// Advances the time to the machine's next wake-up and sends a tick.
    fn wake(&mut self) -> Vec<Effect> {
        self.now = self.machine.wake_at().expect("the machine waits");
        self.send(Input::Tick)
    }

    /// Loses the engine of connection `conn`: the connection is reset, and the reattach is refused.
    fn lose_engine(&mut self, conn: u32) -> Vec<Effect> {
        let effects = self.send(Input::Failed(conn, Error::Reset));
        assert!(has_opening(&effects, Opening::Reattach));
        self.send(Input::Failed(conn + 1, Error::Refused))
    }
}

fn has_opening(effects: &[Effect], wanted: Opening) -> bool {
    effects.iter().any(|e| matches!(e, Effect::Open { opening, .. } if *opening == wanted))
}

fn has_resumed_place(effects: &[Effect]) -> bool {
    effects.iter().any(|e| matches!(e, Effect::Place { resumed: true, .. }))
}

fn outcome(effects: &[Effect]) -> Option<Outcome> {
    effects.iter().find_map(|effect| match effect {
        Effect::Finish(outcome) => Some(*outcome),
        _ => None,
    })
}

#[test]
fn an_engine_that_dies_during_the_last_chunk_is_replaced() {
    let mut fixture = Fixture::running(1.0);
    fixture.tokens(1, 1, 1, &["t1 "]);

    let effects = fixture.lose_engine(1);
    fixture.place("second", 3);
    let end = fixture.end(3, 2, 2);

    assert!(has_resumed_place(&effects));
    assert_eq!(outcome(&end), Some(Outcome::Whole));
    assert_eq!(fixture.machine.splice().tokens(), ["t0 ", "t1 "]);
}

#[test]
fn two_engines_that_die_in_a_row_are_both_avoided() {
    let mut fixture = Fixture::running(1.0);
    fixture.lose_engine(1);
    fixture.place("second", 3);
    fixture.send(Input::Opened(3));

    let effects = fixture.lose_engine(3);

    let avoid = effects.iter().find_map(|effect| match effect {
        Effect::Place { avoid, .. } => Some(avoid.clone()),
        _ => None,
    });
    assert_eq!(avoid, Some(vec!["first".into(), "second".into()]));
}

#[test]
fn a_listed_engine_that_refuses_connections_is_replaced_without_a_cancel() {
    let mut fixture = Fixture::running(1.0);
    fixture.lose_engine(1);
    fixture.place("second", 3);

    let effects = fixture.send(Input::Failed(3, Error::Refused));

    assert!(has_resumed_place(&effects));
    assert!(!effects.iter().any(|effect| matches!(effect, Effect::Cancel { .. })));
}

#[test]
fn an_engine_that_answers_for_another_generation_is_replaced() {
    let mut fixture = Fixture::running(1.0);
    let body = Body::Tokens { index: 1, tokens: vec!["x ".into()] };

    let effects = fixture.chunk(1, "other", 1, body);

    assert!(has_resumed_place(&effects));
    assert_eq!(fixture.machine.splice().tokens(), ["t0 "]);
}

#[test]
fn a_total_below_the_sent_tokens_fails_the_generation() {
    let mut fixture = Fixture::running(1.0);
    fixture.tokens(1, 1, 1, &["t1 ", "t2 "]);

    let effects = fixture.end(1, 1, 2);

    assert_eq!(outcome(&effects), Some(Outcome::Failed(Code::EngineInconsistent)));
}

#[test]
fn tokens_beyond_the_total_are_ignored_after_the_end() {
    let mut fixture = Fixture::running(1.0);
    assert_eq!(outcome(&fixture.end(1, 1, 1)), Some(Outcome::Whole));

    let effects = fixture.tokens(1, 1, 1, &["t1 "]);

    assert!(effects.is_empty());
    assert_eq!(fixture.machine.splice().next(), 1);
}

#[test]
fn a_chunk_of_an_old_attempt_changes_nothing() {
    let mut fixture = Fixture::running(1.0);
    fixture.lose_engine(1);
    fixture.place("second", 3);
    fixture.send(Input::Opened(3));
    fixture.tokens(3, 2, 1, &["new "]);

    fixture.tokens(1, 1, 1, &["old ", "old "]);

    assert_eq!(fixture.machine.splice().tokens(), ["t0 ", "new "]);
}

#[test]
fn silence_is_answered_by_reattaching_and_the_stream_goes_on() {
    let mut fixture = Fixture::running(1.0);

    let probe = fixture.wake();
    fixture.send(Input::Opened(2));
    fixture.tokens(2, 1, 1, &["t1 "]);

    assert!(has_opening(&probe, Opening::Reattach));
    assert_eq!(fixture.machine.stats().redispatched, 0);
    assert_eq!(fixture.machine.splice().next(), 2);
}

#[test]
fn tokens_on_the_old_connection_end_the_suspicion() {
    let mut fixture = Fixture::running(1.0);
    fixture.wake();

    let effects = fixture.tokens(1, 1, 1, &["t1 "]);

    assert_eq!(effects, [Effect::Close(2)]);
    assert_eq!(fixture.machine.stats().false_suspicions, 1);
}

#[rstest]
#[case::high_weight(10.0, Duration::from_millis(1_200))]
#[case::equal_weight(1.0, Duration::from_millis(2_200))]
#[case::low_weight(0.01, Duration::from_millis(3_200))]
fn a_silent_engine_is_replaced_when_the_wait_has_cost_a_prefill(
    #[case] weight: f64,
    #[case] latest: Duration,
) {
    let mut fixture = Fixture::running(weight);

    while fixture.machine.stats().redispatched == 0 {
        fixture.wake();
    }

    // The prefill of 1,000 tokens costs a second; the first silence is detected after another
    // second.
    assert!(fixture.now <= latest, "{:?}", fixture.now);
    assert!(fixture.now >= latest - Duration::from_millis(1_200), "{:?}", fixture.now);
}

#[test]
fn an_engine_that_restarted_is_replaced_at_once() {
    let mut fixture = Fixture::running(0.01);
    fixture.send(Input::Failed(1, Error::Reset));

    let effects = fixture.send(Input::Failed(2, Error::UnknownStream));

    assert!(has_resumed_place(&effects));
}

#[test]
fn another_version_is_not_used_for_the_second_attempt() {
    let mut fixture = Fixture::running(1.0);
    fixture.lose_engine(1);
    fixture.place("second", 3);

    let effects = fixture.send(Input::Failed(3, Error::OtherVersion));

    assert!(has_resumed_place(&effects));
    assert_eq!(fixture.machine.version(), Some("v1"));
}

#[test]
fn a_generation_fails_when_no_engine_is_left() {
    let mut fixture = Fixture::running(1.0);
    fixture.lose_engine(1);

    let effects = fixture.send(Input::Unplaced(Code::NoUpstream));

    assert_eq!(outcome(&effects), Some(Outcome::Failed(Code::NoUpstream)));
}

#[test]
fn a_fenced_owner_ends_without_cancelling_the_attempt() {
    let mut fixture = Fixture::running(1.0);

    let effects = fixture.send(Input::Fenced);

    assert_eq!(outcome(&effects), Some(Outcome::Superseded));
    assert!(!effects.iter().any(|effect| matches!(effect, Effect::Cancel { .. })));
}

#[test]
fn a_cancel_stops_the_current_attempt_only() {
    let mut fixture = Fixture::running(1.0);
    fixture.lose_engine(1);
    fixture.place("second", 3);

    let effects = fixture.send(Input::Cancel);

    assert!(effects.contains(&Effect::Cancel { upstream: "second".into(), attempt: 2 }));
    assert_eq!(outcome(&effects), Some(Outcome::Cancelled));
}

#[test]
fn an_answer_taken_over_begins_by_reattaching() {
    let splice = Splice::new("g".into(), 1, 2 << 16, vec!["t0 ".into()]);
    let start = Start::TakenOver("first".into(), "v1".into());

    let (mut machine, effects) = Machine::new(Duration::ZERO, splice, settings(1.0), start);
    let replaced = machine.advance(Duration::ZERO, Input::Failed(1, Error::Refused));

    assert!(has_opening(&effects, Opening::Reattach));
    assert!(has_resumed_place(&replaced));
    assert_eq!(machine.splice().attempt(), 2 << 16);
}
