//! In any order of chunks from several attempts, the admitted tokens are a prefix of one answer.

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use quetzaltiller::digest::Checksum;
use quetzaltiller::engine::{Body, Chunk};
use quetzaltiller::generation::{Answer as _, Splice, Verdict};

const LENGTH: usize = 12;
const CASES: u32 = 2_000;

/// One step of a case: a chunk from an engine, or the start of the next attempt.
#[derive(Clone, Copy, Debug)]
enum Step {
    Tokens { attempt: u32, from: usize, count: usize },
    End { attempt: u32 },
    Foreign { from: usize },
    NextAttempt,
}

fn step() -> impl Strategy<Value = Step> {
    let tokens = (1..4u32, 0..LENGTH, 1..5usize).prop_map(|(attempt, from, count)| Step::Tokens {
        attempt,
        from,
        count,
    });
    prop_oneof![
        8 => tokens,
        2 => (1..4u32).prop_map(|attempt| Step::End { attempt }),
        1 => (0..LENGTH).prop_map(|from| Step::Foreign { from }),
        1 => Just(Step::NextAttempt),
    ]
}

/// Answers of the attempts' engines; each continues the tokens admitted before it with its own.
struct Engines {
    answers: Vec<Vec<String>>,
}

impl Engines {
    fn begin(&mut self, held: &[String]) {
        let attempt = self.answers.len() + 1;
        let rest = (held.len()..LENGTH).map(|index| format!("a{attempt}i{index} "));
        self.answers.push(held.iter().cloned().chain(rest).collect());
    }

    fn chunk(&self, step: Step) -> Option<Chunk> {
        let answer = |attempt: u32| self.answers.get(attempt as usize - 1);
        let (generation, attempt, body) = match step {
            Step::Tokens { attempt, from, count } => {
                let tokens = answer(attempt)?[from..(from + count).min(LENGTH)].to_vec();
                ("g", attempt, Body::Tokens { index: from as u32, tokens })
            }
            Step::End { attempt } => {
                let checksum = Checksum::of(answer(attempt)?).hex();
                ("g", attempt, Body::Ended { total: LENGTH as u32, checksum })
            }
            Step::Foreign { from } => {
                let tokens = vec!["foreign ".to_owned()];
                ("other", 1, Body::Tokens { index: from as u32, tokens })
            }
            Step::NextAttempt => return None,
        };
        Some(Chunk { generation: generation.into(), attempt, body })
    }
}

#[test]
fn any_order_of_chunks_gives_a_prefix_of_one_answer() {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);

    let result = runner.run(&vec(step(), 0..80), |order| {
        let mut splice = Splice::new("g".into(), 1, 1, Vec::new());
        let mut engines = Engines { answers: Vec::new() };
        engines.begin(&[]);
        let mut whole = false;
        for step in order {
            if matches!(step, Step::NextAttempt) && engines.answers.len() < 3 && !whole {
                engines.begin(splice.tokens());
                splice.begin_attempt();
            }
            let Some(chunk) = engines.chunk(step) else {
                continue;
            };
            let verdict = splice.accept(&chunk);
            prop_assert_ne!(&verdict, &Verdict::Inconsistent);
            whole |= verdict == Verdict::Whole;
        }
        let current = &engines.answers[splice.attempt() as usize - 1];
        prop_assert_eq!(splice.tokens(), &current[..splice.tokens().len()]);
        prop_assert!(!whole || splice.tokens().len() == LENGTH);
        Ok(())
    });

    result.unwrap();
}
