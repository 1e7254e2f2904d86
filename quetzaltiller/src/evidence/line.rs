//! Parser of log lines.

use serde::Serialize;

const TIME_PREFIX: &str = "time=";
const EVENT_KEY: &str = "event";

/// A logged event with its keys and values.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Line {
    /// Date and time by the entry VM's clock, as logged.
    pub time: String,
    /// Entry VM: the word before the time, or the name of the log file if there is none.
    pub vm: String,
    /// Name of the event.
    pub event: String,
    /// Keys and values in the order of the log.
    pub fields: Vec<(String, String)>,
}

impl Line {
    /// Parses a line of the log of `vm`; `None` if it holds no event.
    pub fn parse(vm: &str, text: &str) -> Option<Self> {
        let begin = text.find(TIME_PREFIX)?;
        let before = text[..begin].split_whitespace().last();
        let mut line = Self { vm: before.unwrap_or(vm).to_owned(), ..Self::default() };
        for (key, value) in (Pairs { rest: &text[begin..] }) {
            match key {
                "time" => line.time = value,
                "level" => {}
                EVENT_KEY => line.event = value,
                _ => line.fields.push((key.to_owned(), value)),
            }
        }
        (!line.event.is_empty()).then_some(line)
    }

    /// Value under a key, if present.
    pub fn value(&self, key: &str) -> Option<&str> {
        self.fields.iter().find(|(known, _)| known == key).map(|(_, value)| value.as_str())
    }

    /// Value under a key as a number, if it is one.
    pub fn number(&self, key: &str) -> Option<u64> {
        self.value(key)?.parse().ok()
    }

    /// Id of the request that the line is about.
    pub fn request(&self) -> Option<&str> {
        self.value("request")
    }

    /// Seconds since midnight.
    pub fn second(&self) -> Option<u32> {
        let clock = self.time.split_once('T')?.1;
        let mut parts = clock.split([':', '.']).map(str::parse::<u32>);
        let (hours, minutes, seconds) = (parts.next()?, parts.next()?, parts.next()?);
        Some(hours.ok()? * 3_600 + minutes.ok()? * 60 + seconds.ok()?)
    }
}

/// Iterator over the keys and values of a text; a value ends at a space outside of quotes and
/// brackets.
struct Pairs<'a> {
    rest: &'a str,
}

impl<'a> Iterator for Pairs<'a> {
    type Item = (&'a str, String);

    fn next(&mut self) -> Option<Self::Item> {
        let (key, rest) = self.rest.trim_start().split_once('=')?;
        let (mut quoted, mut escaped, mut depth) = (false, false, 0_u32);
        let end = rest.char_indices().find_map(|(at, char)| {
            match char {
                _ if escaped => escaped = false,
                '\\' if quoted => escaped = true,
                '"' => quoted = !quoted,
                '(' | '[' | '{' if !quoted => depth += 1,
                ')' | ']' | '}' if !quoted => depth = depth.saturating_sub(1),
                ' ' if !quoted && depth == 0 => return Some(at),
                _ => {}
            }
            None
        });
        let (value, rest) = rest.split_at(end.unwrap_or(rest.len()));
        self.rest = rest;
        Some((key, unwrap_value(value.trim_end())))
    }
}

/// Removes `Some(...)` and quotes from a value; `None` becomes `-`.
fn unwrap_value(value: &str) -> String {
    let inner = value.strip_prefix("Some(").and_then(|v| v.strip_suffix(')')).unwrap_or(value);
    let text = inner.strip_prefix('"').and_then(|v| v.strip_suffix('"')).unwrap_or(inner);
    if text == "None" { "-".to_owned() } else { text.to_owned() }
}
