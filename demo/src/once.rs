//! `qt-demo --once`: a draft that loses its engine, an order placed twice, a lookup; all checked.

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

const BRIEF: &str = include_str!("../../examples/foundation/brief.txt");
const MAX_TOKENS: u32 = 240;
/// Tokens after which the engine is lost.
const LOSS_AFTER: usize = 60;
const PATIENCE: Duration = Duration::from_secs(30);
const ORDER_KEY: &str = "hvalfjord-first-print";
const WORDS_A_LINE: usize = 12;

/// Runs the three checks; tells whether all held.
pub async fn run(system: &System) -> Result<bool, Box<dyn Error>> {
    let caller = Caller::new(Arc::new(Http::new(ACCOUNT_KEY)), system.entries.clone());
    let whole = draft(system, &caller).await?;
    let runs = order(system, &caller).await;
    let lookups = look_up(&caller).await;
    let yes_no = |yes| if yes { "yes" } else { "no" };
    let ok_failed = |ok| if ok { "ok" } else { "failed" };
    println!("whole: {}  order runs: {runs}  lookups: {}", yes_no(whole), ok_failed(lookups));
    Ok(whole && runs == 1 && lookups)
}

async fn draft(system: &System, caller: &Caller) -> Result<bool, Box<dyn Error>> {
    let request = Request {
        model: "drafts".into(),
        prompt: BRIEF.into(),
        max_tokens: MAX_TOKENS,
        ..Request::default()
    };
    let (enough, lose) = oneshot::channel();
    let mut printer = Printer { printed: 0, enough: Some(enough) };
    let mut watch = |tokens: &[String]| printer.print(tokens);
    let generate = caller.generate(&request, PATIENCE, &mut watch);
    let (result, lost) = tokio::join!(generate, lose_engine(system, lose));
    println!("\n");
    let whole = match result {
        Ok(whole) => whole,
        Err(unfinished) => {
            println!("the draft did not end: {unfinished:?}");
            return Ok(false);
        }
    };
    let (lost, went_on) = lost.ok_or("no engine was at work to lose")?;
    let gap = whole.longest_gap().as_millis();
    println!("engine {lost} was lost after about {LOSS_AFTER} tokens; {went_on} went on");
    println!("the caller waited at most {gap} ms between tokens");
    if let Err(index) = text::check(&request, &whole.version, &whole.tokens) {
        println!("token {index} is wrong");
        return Ok(false);
    }
    Ok(lost != went_on)
}

/// Kills the engine that is at work once enough tokens came; tells its name and the next one's.
async fn lose_engine(system: &System, enough: oneshot::Receiver<()>) -> Option<(String, String)> {
    timeout(PATIENCE, enough).await.ok()?.ok()?;
    let busy = |except: &str| {
        let mut engines = system.engines.iter().filter(|(name, _)| *name != except);
        engines.find(|(_, process)| process.engine.running() > 0).map(|(name, _)| name.clone())
    };
    let lost = busy("")?;
    system.engines[&lost].kill();
    for _ in 0..500 {
        tokio::time::sleep(Duration::from_millis(10)).await;
        if let Some(next) = busy(&lost) {
            return Some((lost, next));
        }
    }
    Some((lost, "nothing".into()))
}

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

async fn look_up(caller: &Caller) -> bool {
    let path = format!("/orders/{ORDER_KEY}");
    let call = Call { method: "GET".into(), path, key: None, content_type: None, body: "".into() };
    match caller.call("order-desk", &call, PATIENCE).await {
        Reply::Answered(answer) => answer.status == 200,
        _ => false,
    }
}

struct Printer {
    printed: usize,
    enough: Option<oneshot::Sender<()>>,
}

impl Printer {
    fn print(&mut self, tokens: &[String]) {
        for token in tokens {
            print!("{token}");
            self.printed += 1;
            if self.printed.is_multiple_of(WORDS_A_LINE) {
                println!();
            }
        }
        if self.printed >= LOSS_AFTER
            && let Some(enough) = self.enough.take()
        {
            let _ = enough.send(());
        }
    }
}
