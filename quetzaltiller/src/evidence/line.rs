//! One line of a log.

use serde::Serialize;

const TIME: &str = "time=";
const EVENT: &str = "event";

/// An event and what was logged with it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Line {
    /// Time of day of its entry VM.
    pub time: String,
    /// Entry VM: the word before the time, or the name of the file.
    pub vm: String,
    /// Name of the event.
    pub event: String,
    /// Keys and values in the order of the log.
    pub fields: Vec<(String, String)>,
}

impl Line {
    /// Reads a line of the log of `vm`; none where it is no event.
    pub fn parse(vm: &str, text: &str) -> Option<Self> {
        let begin = text.find(TIME)?;
        let before = text[..begin].split_whitespace().last();
        let mut line = Self { vm: before.unwrap_or(vm).to_owned(), ..Self::default() };
        for (key, value) in (Pairs { rest: &text[begin..] }) {
            match key {
                "time" => line.time = value,
                "level" => {}
                EVENT => line.event = value,
                _ => line.fields.push((key.to_owned(), value)),
            }
        }
        (!line.event.is_empty()).then_some(line)
    }

    /// Value of a key.
    pub fn value(&self, key: &str) -> Option<&str> {
        self.fields.iter().find(|(known, _)| known == key).map(|(_, value)| value.as_str())
    }

    /// Number under a key.
    pub fn number(&self, key: &str) -> Option<u64> {
        self.value(key)?.parse().ok()
    }

    /// The request that it is about.
    pub fn request(&self) -> Option<&str> {
        self.value("request")
    }

    /// Second of the day.
    pub fn second(&self) -> Option<u32> {
        let clock = self.time.split_once('T')?.1;
        let mut parts = clock.split([':', '.']).map(str::parse::<u32>);
        let (hours, minutes, seconds) = (parts.next()?, parts.next()?, parts.next()?);
        Some(hours.ok()? * 3_600 + minutes.ok()? * 60 + seconds.ok()?)
    }
}

/// Splits a text into keys and values. A value ends at a space outside of quotes and brackets.
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
        Some((key, plain(value.trim_end())))
    }
}

/// A value without the marks of optional values and quotes.
fn plain(value: &str) -> String {
    let inner = value.strip_prefix("Some(").and_then(|v| v.strip_suffix(')')).unwrap_or(value);
    let text = inner.strip_prefix('"').and_then(|v| v.strip_suffix('"')).unwrap_or(inner);
    if text == "None" { "-".to_owned() } else { text.to_owned() }
}
