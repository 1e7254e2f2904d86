//! `qt-demo --once`: checks a draft that loses its engine, an order placed twice and a lookup.

use crate::ACCOUNT_KEY;
use bench::sockets::System;
use quetzaltiller::caller::{Caller, Http, Reply};
use quetzaltiller::generation::Request;
use quetzaltiller::service::Call;
use standin::text;
use std::error::Error;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Prompt of the draft.
const BRIEF: &str = include_str!("../../examples/foundation/brief.txt");
/// Maximum number of tokens of the draft.
const MAX_TOKENS: u32 = 240;
/// Number of printed tokens after which the engine is killed.
const LOSS_AFTER: usize = 60;
/// Time that the caller waits for each request.
const PATIENCE: Duration = Duration::from_secs(30);
/// Idempotency key of the order.
const ORDER_KEY: &str = "hvalfjord-first-print";
/// Tokens printed on a line.
const TOKENS_PER_LINE: usize = 12;

/// Runs the three checks and prints their results; returns whether all passed.
pub async fn run(system: &System) -> Result<bool, Box<dyn Error>> {
    let caller = Caller::new(Arc::new(Http::new(ACCOUNT_KEY)), system.entries.clone());
    let complete = draft(system, &caller).await?;
    let runs = order(system, &caller).await;
    let lookups = look_up(&caller).await;
    let yes_no = |is_yes| if is_yes { "yes" } else { "no" };
    let ok_failed = |is_ok| if is_ok { "ok" } else { "failed" };
    println!("whole: {}  order runs: {runs}  lookups: {}", yes_no(complete), ok_failed(lookups));
    Ok(complete && runs == 1 && lookups)
}

/// Requests a draft and kills its engine midway; returns whether the answer is complete and another
/// engine completed it.
async fn draft(system: &System, caller: &Caller) -> Result<bool, Box<dyn Error>> {
    let request = Request {
        model: "drafts".into(),
        prompt: BRIEF.into(),
        max_tokens: MAX_TOKENS,
        ..Request::default()
    };
    let (enough_printed, enough_received) = oneshot::channel();
    let mut printer = Printer { printed: 0, enough_printed: Some(enough_printed) };
    let mut watch = |tokens: &[String]| printer.print(tokens);
    let generate = caller.generate(&request, PATIENCE, &mut watch);
    let (result, killed) = tokio::join!(generate, kill_busy_engine(system, enough_received));
    println!("\n");
    let completion = match result {
        Ok(completion) => completion,
        Err(unfinished) => {
            println!("the draft did not end: {unfinished:?}");
            return Ok(false);
        }
    };
    let (killed, replacement) = killed.ok_or("no engine was at work to lose")?;
    let gap = completion.longest_gap().as_millis();
    println!("engine {killed} was lost after about {LOSS_AFTER} tokens; {replacement} went on");
    println!("the caller waited at most {gap} ms between tokens");
    if let Err(index) = text::check(&request, &completion.version, &completion.tokens) {
        println!("token {index} is wrong");
        return Ok(false);
    }
    Ok(killed != replacement)
}

/// Kills the engine that runs the draft once enough tokens were printed. Returns its name and that
/// of the engine that continues the draft, or `None` if there was no engine to kill.
async fn kill_busy_engine(
    system: &System,
    enough_printed: oneshot::Receiver<()>,
) -> Option<(String, String)> {
    timeout(PATIENCE, enough_printed).await.ok()?.ok()?;
    let busy_engine_except = |except: &str| {
        let mut engines = system.engines.iter().filter(|(name, _)| *name != except);
        engines.find(|(_, process)| process.engine.running() > 0).map(|(name, _)| name.clone())
    };
    let killed = busy_engine_except("")?;
    system.engines[&killed].kill();
    for _ in 0..500 {
        tokio::time::sleep(Duration::from_millis(10)).await;
        if let Some(next) = busy_engine_except(&killed) {
            return Some((killed, next));
        }
    }
    Some((killed, "nothing".into()))
}

/// Places the order twice with the same key; returns how often it ran, or 0 if the answers differ.
async fn order(system: &System, caller: &Caller) -> u32 {
    let call = Call {
        method: "POST".into(),
        path: "/orders".into(),
        key: Some(ORDER_KEY.into()),
        content_type: Some("application/json".into()),
        body: r#"{"bands":9000}"#.into(),
    };
    let mut answers = Vec::new();
    for _ in 0..2 {
        match caller.call("order-desk", &call, PATIENCE).await {
            Reply::Answered(answer) if answer.status == 201 => answers.push(answer.body),
            other => println!("the order got {other:?}"),
        }
    }
    if answers.len() != 2 || answers[0] != answers[1] {
        println!("the two answers to the order differ");
        return 0;
    }
    system.service.runs().values().sum()
}

/// Looks the order up; returns whether it was found.
async fn look_up(caller: &Caller) -> bool {
    let path = format!("/orders/{ORDER_KEY}");
    let call = Call { method: "GET".into(), path, key: None, content_type: None, body: "".into() };
    match caller.call("order-desk", &call, PATIENCE).await {
        Reply::Answered(answer) => answer.status == 200,
        _ => false,
    }
}

/// Prints the tokens of the draft and signals when `LOSS_AFTER` of them were printed.
struct Printer {
    printed: usize,
    enough_printed: Option<oneshot::Sender<()>>,
}

impl Printer {
    fn print(&mut self, tokens: &[String]) {
        for token in tokens {
            print!("{token}");
            self.printed += 1;
            if self.printed.is_multiple_of(TOKENS_PER_LINE) {
                println!();
            }
        }
        if self.printed >= LOSS_AFTER
            && let Some(enough_printed) = self.enough_printed.take()
        {
            let _ = enough_printed.send(());
        }
    }
}
